//! Retries: the allowance of a root request and the budget of a caller.

/// The name of the retry service.
pub const NAME: &str = "retry";
