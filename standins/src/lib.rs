//! Stand-ins for the platform and the targets, and a relay that injects network faults, for tests
//! and the demo.
//!
//! The stand-ins speak the HTTP formats of the daemon with the built-in adapters, `dragonflylugd`,
//! and not those of the platform that the crate `dragonflylug-platform` adapts to.

pub mod platform;
pub mod relay;
pub mod target;
