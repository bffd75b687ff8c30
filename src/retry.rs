//! Retries: the allowance of a root request and the budget of a caller.

mod allowance;
mod budget;
mod ledger;
mod service_budgets;

pub use allowance::Allowance;
pub use ledger::{RetryLedger, RetrySettings};
pub use service_budgets::{ServiceBudgetSettings, ServiceBudgets};

/// The name of the retry service.
pub const NAME: &str = "retry";

/// The name of the service that keeps the repeats of each service within a budget.
pub const SERVICE_BUDGETS_NAME: &str = "retry_services";
