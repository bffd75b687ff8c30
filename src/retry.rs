//! Retries: the allowance of a root request and the budget of a caller.

mod allowance;
mod budget;
mod ledger;

pub use allowance::Allowance;
pub use ledger::{RetryLedger, RetrySettings};

/// The name of the retry service.
pub const NAME: &str = "retry";
