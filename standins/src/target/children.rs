//! The child calls that a request makes through the daemon beside the target.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::WORK_US_HEADER;
use super::config::{Behaviour, ChildCall};
use super::execution::IncomingRequest;
use super::state::State;

/// The header that names the request that makes a child call.
const PARENT_HEADER: &str = "x-dragonflylug-parent";

/// The client for child calls and announcements.
pub(super) type DaemonClient = Client<HttpConnector, Full<Bytes>>;

/// The combined result of the child calls of a request.
#[derive(Default)]
pub(super) struct ChildResults {
    /// The work that the successful child calls report, including that of their own child calls.
    pub(super) work_us: u64,
    pub(super) is_failed: bool,
}

impl ChildResults {
    /// Adds the work of a child call; `None` for one that failed.
    fn add(&mut self, work_us: Option<u64>) {
        self.work_us += work_us.unwrap_or(0);
        self.is_failed |= work_us.is_none();
    }
}

/// Creates a client that keeps connections alive.
pub(super) fn build_client() -> DaemonClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Makes the child calls of a request. In sequence, no further call starts after a failed one; in
/// parallel, all calls start at once. A call whose request cannot be built counts as failed, and no
/// call after it starts.
pub(super) async fn call_all(
    state: &State,
    behaviour: &Behaviour,
    parent: &IncomingRequest,
) -> ChildResults {
    let mut children = ChildResults::default();
    let Some(daemon) = state.config.announce_address else {
        return children;
    };
    let mut running = tokio::task::JoinSet::new();
    for (index, child) in behaviour.children.iter().enumerate() {
        let Some(request) = build_request(daemon, child, parent, index) else {
            children.is_failed = true;
            break;
        };
        running.spawn(exchange(state.client.clone(), request));
        if behaviour.are_children_parallel {
            continue;
        }
        if let Some(Ok(work_us)) = running.join_next().await {
            children.add(work_us);
        }
        if children.is_failed {
            break;
        }
    }
    while let Some(ended) = running.join_next().await {
        children.add(ended.ok().flatten());
    }
    children
}

fn build_request(
    daemon: SocketAddr,
    child: &ChildCall,
    parent: &IncomingRequest,
    index: usize,
) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{daemon}/{}{}", child.service, child.path);
    let mut builder = Request::builder().method(child.method.as_str()).uri(uri);
    if let Some(request_id) = parent.request_id() {
        builder = builder.header(PARENT_HEADER, request_id);
    }
    let body = match parent.key() {
        Some(key) => serde_json::json!({ "key": format!("{key}/{index}") }).to_string(),
        None => String::new(),
    };
    builder.body(Full::new(Bytes::from(body))).ok()
}

/// Sends a call and returns the work that its answer reports, including its child calls, or `None`
/// if the call failed.
async fn exchange(client: DaemonClient, request: Request<Full<Bytes>>) -> Option<u64> {
    let response = client.request(request).await.ok()?;
    let is_ok = response.status() < StatusCode::BAD_REQUEST;
    let work_us = response
        .headers()
        .get(WORK_US_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    response.into_body().collect().await.ok()?;
    is_ok.then_some(work_us.unwrap_or(0))
}
