//! The course of a call: at the daemon that takes it and at the daemon beside the target.

/// The name of the service that runs calls.
pub const NAME: &str = "calls";
