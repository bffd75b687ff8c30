//! The course of a call: at the daemon that takes it and at the daemon beside the target.

pub mod entry;
pub mod guard;

pub use guard::NAME;
