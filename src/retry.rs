//! Bounds retries: by an allowance for each request, by a budget for each caller, and by a budget
//! for each service that this daemon calls.
//!
//! The calls below an unrouted root request share its allowance, and budgets of callers bound the
//! retries of unrouted root requests. Each routed request has an allowance of its own, and budgets
//! of services bound the repeats of routed requests.
//!
//! Without these bounds, retries at each hop make the attempts at the deepest service grow
//! exponentially with the depth of the call graph.

mod allowance;
mod caller_budget;
mod caller_budgets;
mod origins;
mod service_budgets;
mod slices;

pub use allowance::Allowance;
pub use caller_budgets::{CallerBudgetSettings, CallerBudgets};
pub use origins::ArrivalCounts;
pub use service_budgets::{ServiceBudgetSettings, ServiceBudgets};

/// The name of the kernel service that keeps the retry budgets of callers.
pub const CALLER_BUDGETS_NAME: &str = "retry";

/// The name of the kernel service that keeps the budgets of repeats to each called service.
pub const SERVICE_BUDGETS_NAME: &str = "retry_services";
