//! Runs calls: the [`entry`] role accepts them from callers, chooses targets and retries; the
//! [`guard`] role admits them at the target beside its daemon and runs them.

pub mod entry;
pub mod guard;

use std::net::SocketAddr;

use crate::config::{self, Config};
use crate::kernel::Context;
use crate::routes::{self, Routes};

/// Returns the version of the configuration that is in force on this node: of its route table if it
/// has one, else of the service records.
fn config_version(context: &mut Context<'_>) -> u64 {
    if let Some(routes) = context.find::<Routes>(routes::NAME) {
        return routes.version();
    }
    let config = context.find::<Config>(config::NAME);
    config.map_or(0, |config| config.version())
}

/// Records the configuration version in a peer's message, so that this node fetches a newer one.
fn record_config_version(context: &mut Context<'_>, version: u64, from: SocketAddr) {
    context.with_service(config::NAME, |config: &mut Config, context| {
        config.record_peer_version(context, version, from);
    });
    context.with_service(routes::NAME, |routes: &mut Routes, context| {
        routes.fetch_if_newer(context, version, from);
    });
}
