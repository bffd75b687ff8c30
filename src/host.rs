//! The hosts: they carry out effects and hold no policy.

pub mod platform;
