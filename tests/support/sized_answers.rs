//! A node behind a real listener that answers each call with as many bytes as the call requests.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dragonflylug::calls;
use dragonflylug::host::metrics::Metrics;
use dragonflylug::host::peer::{PeerLimits, PeerLinks, PeerServer};
use dragonflylug::host::platform::PlatformClient;
use dragonflylug::host::response_budget::ResponseBudget;
use dragonflylug::host::target::TargetClient;
use dragonflylug::host::{MonotonicClock, Node, NodeAdapters};
use dragonflylug::ids::{MemberId, Priority, RequestId, RootId};
use dragonflylug::kernel::{Context, Event, Kernel, Service};
use dragonflylug::peer::{PeerRequest, PeerResponse};
use dragonflylug::request::{Answer, HttpRequest, LoadReport, PeerCall, PeerReply, RunKey};
use dragonflylug::routes::NoRouteSource;
use dragonflylug::verdict::Verdict;
use tokio::net::TcpListener;

/// The maximum size of a body.
pub const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The maximum total size of the bodies in memory: eight of the largest.
pub const BODIES_BYTES_MAX: usize = 8 * BODY_BYTES_MAX;

/// The timeout of a request; no test waits until it expires.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Answers each call with as many bytes as the path of the call says.
struct SizedAnswerService;

impl Service for SizedAnswerService {
    fn name(&self) -> &'static str {
        calls::guard::NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        let Event::PeerRequest {
            inbound,
            request: PeerRequest::Call(call),
        } = event
        else {
            return;
        };
        let bytes: usize = call.http.path[1..].parse().unwrap();
        let reply = PeerReply {
            verdict: Verdict::Ran(Answer::new(200, Vec::new(), vec![7; bytes].into())),
            retries_unspent: 0,
            has_failed_child: false,
            holder: None,
            load: LoadReport::default(),
            guard_us: 0,
            config_version: 0,
            condition: None,
        };
        context.respond(inbound, PeerResponse::Call(Box::new(reply)));
    }
}

/// Creates a request for an answer with a number of bytes.
pub fn sized_request(bytes: usize) -> PeerRequest {
    PeerRequest::Call(Box::new(PeerCall {
        from: MemberId(1),
        service: "filler".into(),
        caller: "caller".into(),
        request: RequestId(1),
        root: RootId(1),
        depth: 0,
        priority: Priority::Normal,
        deadline_left_ms: 60_000,
        retries: 0,
        is_idempotent: true,
        run_key: RunKey::None,
        config_version: 0,
        trace_id: None,
        route: None,
        is_repeat: false,
        shed_basis: None,
        principal: None,
        known_condition: None,
        http: HttpRequest {
            method: "GET".to_string(),
            path: format!("/{bytes}"),
            headers: Vec::new(),
            body: Default::default(),
        },
    }))
}

/// Starts a node that answers with [`SizedAnswerService`] and returns its peer address.
pub async fn start_sized_answer_node() -> SocketAddr {
    let mut kernel = Kernel::new(1);
    kernel.register(Box::new(SizedAnswerService));
    let platform = PlatformClient::new("http://127.0.0.1:1", REQUEST_TIMEOUT);
    let target = Arc::new(TargetClient::default());
    let adapters = NodeAdapters {
        departures: Box::new(Arc::clone(&target)),
        clock: Box::new(MonotonicClock::default()),
        peers: Box::new(PeerLinks::new(
            PeerLimits::default(),
            ResponseBudget::new(BODIES_BYTES_MAX),
        )),
        target,
        table: Box::new(platform.clone()),
        objects: Box::new(platform),
        routes: Box::new(NoRouteSource),
        metrics: Arc::new(Metrics::new().unwrap()),
    };
    let node = Node::new(kernel, adapters);
    node.start();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(PeerServer::new(node, BODY_BYTES_MAX, BODIES_BYTES_MAX).serve(listener));
    address
}

/// Creates links that carry bodies of up to [`BODY_BYTES_MAX`].
pub fn peer_links() -> PeerLinks {
    let limits = PeerLimits {
        body_bytes_max: BODY_BYTES_MAX,
        ..PeerLimits::default()
    };
    PeerLinks::new(limits, ResponseBudget::new(BODIES_BYTES_MAX))
}
