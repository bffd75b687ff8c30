//! Small stand-ins for the platform and the targets.

pub mod platform;
pub mod relay;
pub mod target;
