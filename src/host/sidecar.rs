//! A daemon whose platform-specific parts are passed to it as adapters: the call format, the
//! target, the table, the object store and the source of routes.
//!
//! [`super::daemon`] is the daemon with the built-in ones.

mod stored_departures;
mod target_tracker;

pub use target_tracker::TargetTracker;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::AbortHandle;

use super::caller::{CallCodec, CallerLimits, CallerServer};
use super::daemon::{StartError, bind};
use super::peer::{PeerLimits, PeerLinks, PeerServer};
use super::response_budget::ResponseBudget;
use super::{MonotonicClock, Node, NodeAdapters, TargetTransport, lock};
use crate::ids::{MemberId, ServiceName};
use crate::kernel::{Input, Kernel, Notice};
use crate::membership::{Member, MemberState};
use crate::metrics::MetricSink;
use crate::node::build_sidecar_kernel;
use crate::routes::{self, RouteSource, Routes};
use crate::settings::Settings;
use crate::table::{ObjectStore, TableStore};
use target_tracker::TargetSettings;

/// How long to wait for a connection to a daemon of the same region before a call goes to another
/// target.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a link may receive no complete response, while one is due, before the daemon is pinged.
const PEER_PING_AFTER: Duration = Duration::from_millis(150);

/// How long to wait for the response to a ping.
const PEER_PING_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause between the last required "not ready" response and the stop, for calls that are
/// already on their way; there is no pause if the callers' timeout was reached.
const LAST_CALLS_DELAY: Duration = Duration::from_millis(150);

/// The settings of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// The settings of the node; the sidecar listens on `caller_address` and `peer_address`.
    pub node: Settings,
    /// The service of the target.
    pub service: ServiceName,
    /// The address of the target.
    pub target_address: std::net::SocketAddr,
    /// How long the target may send no report before it counts as lost.
    pub target_report_timeout_ms: u32,
    /// The maximum time that a graceful shutdown waits until callers use other daemons.
    pub callers_leave_timeout_ms: u32,
    /// The number of "not ready" responses after which callers use other daemons.
    pub not_ready_responses: u32,
    /// The maximum duration of a graceful shutdown, even with requests in flight.
    pub stop_timeout_ms: u32,
    /// The maximum total size of the request bodies in memory.
    pub bodies_bytes_max: usize,
}

/// The adapters through which a sidecar reaches its platform.
pub struct PlatformAdapters {
    /// The HTTP representation of calls.
    pub codec: Arc<dyn CallCodec>,
    /// The transport for requests to the target.
    pub target: Arc<dyn TargetTransport>,
    /// The table of the platform.
    pub table: Box<dyn TableStore>,
    /// The object store of the platform.
    pub objects: Box<dyn ObjectStore>,
    /// The source of route tables.
    pub routes: Box<dyn RouteSource>,
    /// The sink for counters and latencies.
    pub metrics: Arc<dyn MetricSink>,
    /// The memory for the bodies of responses, of the target and of other daemons.
    pub budget: Arc<ResponseBudget>,
}

/// A running daemon whose platform-specific parts are adapters.
pub struct Sidecar {
    settings: SidecarSettings,
    node: Arc<Node>,
    target: Arc<TargetTracker>,
    caller_server: Arc<CallerServer>,
    is_stop_requested: AtomicBool,
    stop_begun: Notify,
    not_ready_count: watch::Sender<u32>,
    tasks: Mutex<Vec<AbortHandle>>,
}

impl Sidecar {
    /// Starts a sidecar inside the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(
        settings: SidecarSettings,
        adapters: PlatformAdapters,
    ) -> Result<Arc<Self>, StartError> {
        let caller_listener = bind(settings.node.caller_address).await?;
        let peer_listener = bind(settings.node.peer_address).await?;
        let (codec, target) = (adapters.codec, Arc::clone(&adapters.target));
        let (departures, new_departures) = mpsc::unbounded_channel();
        let node_adapters = NodeAdapters {
            clock: Box::new(MonotonicClock::default()),
            peers: Box::new(PeerLinks::new(peer_limits(&settings.node), adapters.budget)),
            target: adapters.target,
            departures: Box::new(departures),
            table: adapters.table,
            objects: adapters.objects,
            routes: adapters.routes,
            metrics: adapters.metrics,
        };
        let node = Node::new(new_kernel(&settings.node), node_adapters);
        let limits = CallerLimits {
            connections_max: settings.node.call_connections_max,
            body_bytes_max: settings.node.body_bytes_max,
            read_timeout: Duration::from_millis(settings.node.read_timeout_ms),
            idle_timeout: Duration::from_millis(settings.node.idle_timeout_ms),
            bodies_bytes_max: settings.bodies_bytes_max,
            pipelined_per_connection_max: settings.node.pipelined_per_connection_max,
            pipelined_max: settings.node.pipelined_max,
        };
        let caller_server = CallerServer::new(Arc::clone(&node), limits, codec, None);
        let target_settings = TargetSettings {
            service: settings.service.clone(),
            address: settings.target_address,
            report_timeout_ms: settings.target_report_timeout_ms,
        };
        let sidecar = Arc::new(Self {
            settings,
            target: TargetTracker::new(target_settings, Arc::clone(&node), target),
            node,
            caller_server,
            is_stop_requested: AtomicBool::new(false),
            stop_begun: Notify::new(),
            not_ready_count: watch::Sender::new(0),
            tasks: Mutex::default(),
        });
        sidecar.spawn_tasks(caller_listener, peer_listener);
        let record = Arc::clone(&sidecar.target).record_departures(new_departures);
        lock(&sidecar.tasks).push(tokio::spawn(record).abort_handle());
        sidecar.node.start();
        Ok(sidecar)
    }

    fn spawn_tasks(self: &Arc<Self>, caller_listener: TcpListener, peer_listener: TcpListener) {
        let body_bytes_max = self.settings.node.body_bytes_max;
        let serve_peers = PeerServer::new(
            Arc::clone(&self.node),
            body_bytes_max,
            self.settings.bodies_bytes_max,
        )
        .serve(peer_listener);
        let tasks = vec![
            tokio::spawn(Arc::clone(&self.caller_server).serve(caller_listener)).abort_handle(),
            tokio::spawn(serve_peers).abort_handle(),
            tokio::spawn(Arc::clone(&self.target).watch_for_silence()).abort_handle(),
            tokio::spawn(Arc::clone(&self.target).probe()).abort_handle(),
            tokio::spawn(Arc::clone(&self.target).keep_departures()).abort_handle(),
            tokio::spawn(Arc::clone(&self.target).watch_for_end()).abort_handle(),
        ];
        *lock(&self.tasks) = tasks;
    }

    /// Returns the sidecar's node.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Handles a readiness check of the platform: returns whether callers may use this daemon.
    /// During a graceful shutdown it returns false and counts the response.
    pub fn handle_readiness_check(&self) -> bool {
        if self.is_stop_requested.load(Ordering::Relaxed) {
            self.not_ready_count.send_modify(|count| *count += 1);
            return false;
        }
        self.node.inspect(|kernel| {
            let routes = kernel.find::<Routes>(routes::NAME);
            routes.is_some_and(|routes| routes.table().is_some())
        })
    }

    /// Returns what is known of the target beside the sidecar.
    pub fn target(&self) -> &Arc<TargetTracker> {
        &self.target
    }

    /// Begins a graceful shutdown: callers are first sent to other daemons, while the target is
    /// still used.
    pub fn request_stop(self: &Arc<Self>) {
        if self.is_stop_requested.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!(target: "dragonflylug", "a planned stop begins");
        self.caller_server.close_after_response();
        self.node.submit(Input::Notice(Notice::StopAnnounced {
            time_limit_us: u64::from(self.settings.stop_timeout_ms) * 1_000,
        }));
        self.stop_begun.notify_one();
        tokio::spawn(Arc::clone(self).stop_after_callers_left());
    }

    async fn stop_after_callers_left(self: Arc<Self>) {
        let mut not_ready_count = self.not_ready_count.subscribe();
        let responses_needed = self.settings.not_ready_responses;
        let all_sent = not_ready_count.wait_for(|count| *count >= responses_needed);
        let leave_timeout =
            Duration::from_millis(u64::from(self.settings.callers_leave_timeout_ms));
        let in_time = tokio::time::timeout(leave_timeout, all_sent).await.is_ok();
        if in_time {
            tokio::time::sleep(LAST_CALLS_DELAY).await;
        }
        log::info!(target: "dragonflylug", in_time; "planned stop: finished waiting for callers to switch to other daemons");
        self.node.submit(Input::Notice(Notice::StopRequested));
    }

    /// Waits until a graceful shutdown has finished all work or reached its time limit.
    pub async fn stopped(&self) {
        self.stop_begun.notified().await;
        let stop_timeout = Duration::from_millis(u64::from(self.settings.stop_timeout_ms));
        let finish = async {
            self.node.stopped().await;
            self.abort_tasks();
            self.caller_server.drain().await;
            self.target.delete_departures_if_ended().await;
        };
        if tokio::time::timeout(stop_timeout, finish).await.is_err() {
            log::warn!(target: "dragonflylug", "planned stop: time limit reached before all requests finished and all connections closed");
        }
        self.abort_tasks();
    }

    fn abort_tasks(&self) {
        for task in lock(&self.tasks).iter() {
            task.abort();
        }
    }
}

fn peer_limits(settings: &Settings) -> PeerLimits {
    PeerLimits {
        body_bytes_max: settings.body_bytes_max,
        connect_timeout: PEER_CONNECT_TIMEOUT,
        ping_after: PEER_PING_AFTER,
        ping_timeout: PEER_PING_TIMEOUT,
        ..PeerLimits::default()
    }
}

/// Creates the node's kernel under a new random member id.
fn new_kernel(settings: &Settings) -> Kernel {
    let mut rng = rand::rng();
    let own = Member {
        id: MemberId(rng.next_u64()),
        address: settings.peer_address,
        availability_zone: settings.availability_zone.clone(),
        service: None,
        slots: 0,
        state: MemberState::Alive,
        incarnation: 0,
        schema_version: settings.config.schema_version_max,
    };
    build_sidecar_kernel(settings, own, rng.next_u64())
}
