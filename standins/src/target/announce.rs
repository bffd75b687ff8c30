//! Announcements of the target stand-in to the daemon beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde::Serialize;

use super::state::State;

/// The body of an announcement.
#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    instance: &'a str,
    is_draining: bool,
}

/// Announces the target immediately, after each period and whenever the announcement changes.
pub(super) async fn run(daemon: SocketAddr, address: SocketAddr, state: Arc<State>) {
    let period = Duration::from_millis(state.config.announce_period_ms);
    loop {
        let changed = state.announcement_changed.notified();
        let _ = tokio::time::timeout(period, announce(daemon, address, &state)).await;
        let _ = tokio::time::timeout(period, changed).await;
    }
}

/// Sends one announcement; errors are ignored, and the next period sends another.
async fn announce(daemon: SocketAddr, address: SocketAddr, state: &State) {
    let Some(instance) = state.instance() else {
        return;
    };
    let announcement = Announcement {
        service: &state.config.service,
        address,
        slots: state.config.slots,
        connections: state.config.connections,
        instance: &instance,
        is_draining: state.is_draining(),
    };
    let Ok(body) = serde_json::to_vec(&announcement) else {
        return;
    };
    let request = Request::post(format!("http://{daemon}/announce"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return };
    let Ok(response) = state.client.request(request).await else {
        return;
    };
    let _ = response.into_body().collect().await;
}
