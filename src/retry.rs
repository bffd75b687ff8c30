//! Bounds retries: by an allowance for each root request, by a budget for each caller, and by a
//! budget for each service that this daemon calls.
//!
//! Without these bounds, retries at each hop make the attempts at the deepest service grow
//! exponentially with the depth of the call graph.

mod allowance;
mod budget;
mod ledger;
mod service_budgets;

pub use allowance::Allowance;
pub use ledger::{RetryLedger, RetrySettings};
pub use service_budgets::{ServiceBudgetSettings, ServiceBudgets};

/// The name of the retry service.
pub const NAME: &str = "retry";

/// The name of the service that keeps the repeats sent to each service within a budget.
pub const SERVICE_BUDGETS_NAME: &str = "retry_services";
