//! The host of a node: runs the node's kernel, which does no I/O itself, on a tokio runtime.
//!
//! It feeds the kernel with requests, responses and timer events, and applies the effects that the
//! kernel returns over sockets.

pub mod caller;
mod clock;
pub mod daemon;
mod decisions;
mod effects;
pub mod end_check;
pub mod header_forwarding;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod response_budget;
pub mod send_permit;
pub mod server;
pub mod sidecar;
pub mod target;

pub use clock::{Clock, MonotonicClock};

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

use crate::calls;
use crate::ids::{CallKey, InboundKey, InstanceId, OutboundKey};
use crate::kernel::{CallReply, Event, Input, Kernel, LinkError, Notice, TargetOutcome};
use crate::metrics::MetricSink;
use crate::operator::OperatorReply;
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::HttpRequest;
use crate::routes::RouteSource;
use crate::sorted::SortedMap;
use crate::table::{BoxFuture, ObjectStore, TableStore};
use crate::target::{Announcement, AnswerSignals, TargetStart};
use decisions::DecisionLog;
use send_permit::SendPermit;

/// Sends requests to other daemons.
pub trait PeerTransport: Send + Sync {
    /// Sends a request to the daemon at an address and waits for its response.
    fn request(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<PeerResponse, LinkError>>;
}

/// The transport for requests to the target beside the daemon.
pub trait TargetTransport: Send + Sync {
    /// Sends a request to the target that last announced itself.
    fn send(&self, request: TargetRequest) -> BoxFuture<'_, TargetReply>;

    /// Queries the health path of the target for the identifier of its instance; returns `None` if
    /// the target is unhealthy or unreachable, or if the implementation has no health check.
    fn probe<'a>(&'a self, _path: &'a str) -> BoxFuture<'a, Option<InstanceId>> {
        Box::pin(async { None })
    }

    /// Returns whether the target's process has certainly ended, because nothing listens at its
    /// address.
    fn has_ended(&self) -> BoxFuture<'_, bool> {
        Box::pin(async { false })
    }

    /// Handles the latest announcement of the target.
    fn handle_announcement(&self, _announcement: &Announcement) {}
}

/// Remembers which starts of the target said in their answers that they are leaving.
pub trait DepartureSink: Send + Sync {
    /// Records the departure of a start.
    fn record(&self, start: TargetStart);
}

/// A request for the target beside the daemon.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// The request.
    pub http: HttpRequest,
    /// Whether the request is idempotent, so that it may run more than once.
    pub is_idempotent: bool,
    /// How long to wait for the whole answer.
    pub timeout: Duration,
    /// The permission to send it, to be checked before the first byte.
    pub permit: SendPermit,
}

/// How a request to the target ended.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetReply {
    /// The outcome.
    pub outcome: TargetOutcome,
    /// What the answer, if there is one, says of the target.
    pub signals: AnswerSignals,
}

impl From<TargetOutcome> for TargetReply {
    fn from(outcome: TargetOutcome) -> Self {
        Self {
            outcome,
            signals: AnswerSignals::default(),
        }
    }
}

/// The adapters through which a node reaches everything outside its kernel.
pub struct NodeAdapters {
    /// The clock.
    pub clock: Box<dyn Clock>,
    /// The transport for requests to other daemons.
    pub peers: Box<dyn PeerTransport>,
    /// The transport for requests to the target.
    pub target: Arc<dyn TargetTransport>,
    /// The memory of the target's departures.
    pub departures: Box<dyn DepartureSink>,
    /// The table of the platform.
    pub table: Box<dyn TableStore>,
    /// The object store of the platform.
    pub objects: Box<dyn ObjectStore>,
    /// The source of route tables.
    pub routes: Box<dyn RouteSource>,
    /// The sink for counters and latencies.
    pub metrics: Arc<dyn MetricSink>,
}

/// A node that runs on sockets and a real clock.
pub struct Node {
    kernel: Mutex<Kernel>,
    adapters: NodeAdapters,
    pending: Mutex<PendingWork>,
    decisions: DecisionLog,
    timers_changed: Notify,
    stopped: Notify,
    stop_requested: watch::Sender<bool>,
    runtime: OnceLock<tokio::runtime::Handle>,
}

/// The work that waits for an output of the kernel, and the tasks that run its effects.
#[derive(Default)]
struct PendingWork {
    next_key: u64,
    calls: SortedMap<CallKey, oneshot::Sender<CallReply>>,
    operator_requests: SortedMap<CallKey, std::sync::mpsc::Sender<OperatorReply>>,
    inbound: SortedMap<InboundKey, oneshot::Sender<PeerResponse>>,
    outbound: SortedMap<OutboundKey, AbortHandle>,
    target_requests: SortedMap<CallKey, AbortHandle>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates a node from a kernel and its adapters; [`Node::start`] starts it.
    pub fn new(kernel: Kernel, adapters: NodeAdapters) -> Arc<Self> {
        Arc::new(Self {
            kernel: Mutex::new(kernel),
            adapters,
            pending: Mutex::default(),
            decisions: DecisionLog::default(),
            timers_changed: Notify::new(),
            stopped: Notify::new(),
            stop_requested: watch::Sender::new(false),
            runtime: OnceLock::new(),
        })
    }

    /// Starts the node's services and its timer task; must be called inside a tokio runtime.
    pub fn start(self: &Arc<Self>) {
        let _ = self.runtime.set(tokio::runtime::Handle::current());
        let effects = lock(&self.kernel).start(self.adapters.clock.now_us());
        self.apply_effects(effects);
        let node = Arc::clone(self);
        tokio::spawn(async move { node.run_timers().await });
        let node = Arc::clone(self);
        tokio::spawn(async move { node.watch_restorations().await });
    }

    /// Passes an input to the kernel and applies the effects that it returns.
    pub fn submit(self: &Arc<Self>, input: Input) {
        if matches!(input, Input::Notice(Notice::StopRequested)) {
            self.stop_requested.send_replace(true);
        }
        let (effects, is_timer_changed) = {
            let mut kernel = lock(&self.kernel);
            let before_us = kernel.next_timer_us();
            let effects = kernel.handle(self.adapters.clock.now_us(), input);
            (effects, kernel.next_timer_us() != before_us)
        };
        if is_timer_changed {
            self.timers_changed.notify_one();
        }
        self.apply_effects(effects);
    }

    /// Passes an input to the kernel from a thread outside the runtime; before [`Node::start`] the
    /// input is discarded.
    pub fn submit_from_thread(self: &Arc<Self>, input: Input) {
        let Some(runtime) = self.runtime.get() else {
            return;
        };
        let node = Arc::clone(self);
        runtime.spawn(async move { node.submit(input) });
    }

    /// Returns the time on the node's clock.
    pub fn now_us(&self) -> u64 {
        self.adapters.clock.now_us()
    }

    /// Returns the sink for counters and latencies.
    pub fn metrics(&self) -> &dyn MetricSink {
        self.adapters.metrics.as_ref()
    }

    /// Calls a function with the locked kernel, to read the state of its services.
    pub fn inspect<R>(&self, read: impl FnOnce(&mut Kernel) -> R) -> R {
        read(&mut lock(&self.kernel))
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop_requested.borrow()
    }

    /// Returns a receiver that holds whether a graceful shutdown has begun.
    pub fn watch_stop(&self) -> watch::Receiver<bool> {
        self.stop_requested.subscribe()
    }

    /// Waits until a graceful shutdown has finished all work.
    pub async fn stopped(&self) {
        self.stopped.notified().await;
    }

    /// Registers a call whose caller waits for a reply.
    pub fn open_call(&self) -> (CallKey, oneshot::Receiver<CallReply>) {
        let (sender, receiver) = oneshot::channel();
        let mut pending = lock(&self.pending);
        let key = CallKey(pending.new_key());
        pending.calls.insert(key, sender);
        (key, receiver)
    }

    /// Cancels a call whose caller disconnected; does nothing if it was replied to.
    pub fn cancel_call(self: &Arc<Self>, key: CallKey) {
        if lock(&self.pending).calls.remove(&key).is_some() {
            self.submit(Input::Event(calls::entry::NAME, Event::CallerGone(key)));
        }
    }

    /// Registers an operator request that waits for a reply.
    pub fn open_operator_request(&self) -> (CallKey, std::sync::mpsc::Receiver<OperatorReply>) {
        let (sender, receiver) = std::sync::mpsc::channel();
        let mut pending = lock(&self.pending);
        let key = CallKey(pending.new_key());
        pending.operator_requests.insert(key, sender);
        (key, receiver)
    }

    /// Registers an incoming peer request that waits for a response.
    pub fn open_peer_request(&self) -> (InboundKey, oneshot::Receiver<PeerResponse>) {
        let (sender, receiver) = oneshot::channel();
        let mut pending = lock(&self.pending);
        let key = InboundKey(pending.new_key());
        pending.inbound.insert(key, sender);
        (key, receiver)
    }

    /// Cancels an incoming peer request that the peer gave up; does nothing if it was answered.
    pub fn cancel_peer_request(self: &Arc<Self>, key: InboundKey) {
        if lock(&self.pending).inbound.remove(&key).is_some() {
            self.submit(Input::Event(
                calls::guard::NAME,
                Event::PeerRequestCancelled(key),
            ));
        }
    }

    /// Tells the services of each restoration of the store.
    async fn watch_restorations(self: Arc<Self>) {
        let mut restorations = self.adapters.table.watch_restorations();
        while restorations.changed().await.is_ok() {
            self.submit(Input::Notice(Notice::StoreRestored));
        }
    }

    async fn run_timers(self: Arc<Self>) {
        loop {
            let next_us = lock(&self.kernel).next_timer_us();
            let wait_us = next_us.map(|at_us| at_us.saturating_sub(self.adapters.clock.now_us()));
            let changed = self.timers_changed.notified();
            match wait_us {
                None => changed.await,
                Some(0) => {}
                Some(wait_us) => {
                    let _ = tokio::time::timeout(Duration::from_micros(wait_us), changed).await;
                }
            }
            let effects = lock(&self.kernel).advance(self.adapters.clock.now_us());
            self.apply_effects(effects);
        }
    }
}

impl PendingWork {
    fn new_key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }
}
