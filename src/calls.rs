//! The course of a call: at the daemon that takes it and at the daemon beside the target.

pub mod entry;
pub mod guard;

pub use guard::NAME;

use std::net::SocketAddr;

use crate::config::{self, Config};
use crate::kernel::Context;
use crate::routes::{self, Routes};

/// Returns the version of the configuration, or of the route table, that this node goes by.
fn config_version(context: &mut Context<'_>) -> u64 {
    if let Some(routes) = context.find::<Routes>(routes::NAME) {
        return routes.version();
    }
    let config = context.find::<Config>(config::NAME);
    config.map_or(0, |config| config.version())
}

/// Takes in the version that a message of a peer carried.
fn note_config_version(context: &mut Context<'_>, version: u64, from: SocketAddr) {
    context.with_service(config::NAME, |config: &mut Config, context| {
        config.note_version(context, version, from);
    });
    context.with_service(routes::NAME, |routes: &mut Routes, context| {
        routes.note_version(context, version, from);
    });
}
