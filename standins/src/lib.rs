//! Stand-ins for the platform and the targets, and a relay that injects network faults, for tests
//! and the demo.

pub mod platform;
pub mod relay;
pub mod target;
