//! Runs calls: the [`entry`] role accepts them from callers, chooses targets and retries; the
//! [`guard`] role admits them at the target beside its daemon and runs them.

pub mod entry;
pub mod guard;
mod stop_limit;

use std::net::SocketAddr;

use crate::config::{self, Config};
use crate::kernel::Context;
use crate::routes::{self, Routes};

/// Returns the version of this daemon's active configuration: of the route table if the daemon is
/// configured by one (0 until it has received a table), else of the service records.
fn config_version(context: &mut Context<'_>) -> u64 {
    if let Some(routes) = context.find::<Routes>(routes::NAME) {
        return routes.version();
    }
    let config = context.find::<Config>(config::NAME);
    config.map_or(0, |config| config.version())
}

/// Fetches the configuration of a peer if the version in the peer's message is newer than this
/// daemon's.
///
/// A version counts either route tables or service records. A daemon has only one of the two
/// services, and the version is passed to that one.
fn fetch_config_if_newer(context: &mut Context<'_>, version: u64, from: SocketAddr) {
    context.with_service(config::NAME, |config: &mut Config, context| {
        config.record_peer_version(context, version, from);
    });
    context.with_service(routes::NAME, |routes: &mut Routes, context| {
        routes.fetch_if_newer(context, version, from);
    });
}
