//! The host of a node: carries out its effects over sockets and hands it what arrives.

pub mod caller;
pub mod daemon;
mod decisions;
pub mod end_to_end;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod server;
pub mod sidecar;
pub mod target;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

use crate::calls;
use crate::ids::{CallKey, InboundKey, InstanceId, OutboundKey};
use crate::kernel::{CallReply, Effect, Event, Input, Kernel, LinkError, Notice, StateChange};
use crate::metrics::MetricSink;
use crate::operator::OperatorReply;
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::HttpRequest;
use crate::routes::RouteSource;
use crate::sorted::SortedMap;
use crate::table::{
    BoxFuture, ObjectRequest, ObjectResponse, ObjectStore, PlatformError, TableRequest,
    TableResponse, TableStore,
};
use crate::target::Announcement;
use decisions::DecisionLog;

/// A clock that only goes forward.
pub trait Clock: Send + Sync {
    /// Returns the time since the node's start.
    fn now_us(&self) -> u64;
}

/// The clock of the machine; it counts the time for which the machine was suspended.
pub struct MonotonicClock {
    start: Duration,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self { start: boot_time() }
    }
}

impl Clock for MonotonicClock {
    fn now_us(&self) -> u64 {
        let elapsed = boot_time().saturating_sub(self.start);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }
}

/// Returns the time since the machine's boot, suspensions included.
fn boot_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(_) => Duration::ZERO,
    }
}

/// NodeAdapters to other daemons.
pub trait PeerLink: Send + Sync {
    /// Asks the daemon at an address.
    fn request(
        &self,
        to: SocketAddr,
        question: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<PeerResponse, LinkError>>;
}

/// The link to the target beside the daemon.
pub trait TargetLink: Send + Sync {
    /// Sends a request to the target that handle_announcement itself last.
    fn send(&self, request: TargetRequest) -> BoxFuture<'_, crate::kernel::TargetOutcome>;

    /// Asks the target at its health path who it is; none where it is not well or not there.
    fn probe<'a>(&'a self, _path: &'a str) -> BoxFuture<'a, Option<InstanceId>> {
        Box::pin(async { None })
    }

    /// Takes in what the target said of itself last.
    fn handle_announcement(&self, _announcement: &Announcement) {}
}

/// A request for the target beside the daemon.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// The request.
    pub http: HttpRequest,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The time allowed for the answer.
    pub timeout: Duration,
}

/// What a host puts at the borders of a node.
pub struct NodeAdapters {
    /// The clock.
    pub clock: Box<dyn Clock>,
    /// The links to other daemons.
    pub peers: Box<dyn PeerLink>,
    /// The link to the target.
    pub target: Arc<dyn TargetLink>,
    /// The platform's table.
    pub table: Box<dyn TableStore>,
    /// The platform's object store.
    pub objects: Box<dyn ObjectStore>,
    /// The source of route tables.
    pub routes: Box<dyn RouteSource>,
    /// The counters.
    pub metrics: Arc<dyn MetricSink>,
}

/// A node that runs on sockets and the machine's clock.
pub struct Node {
    kernel: Mutex<Kernel>,
    adapters: NodeAdapters,
    waiting: Mutex<Waiting>,
    decisions: DecisionLog,
    timers_changed: Notify,
    stopped: Notify,
    stop_requested: watch::Sender<bool>,
    runtime: OnceLock<tokio::runtime::Handle>,
}

/// Who waits for what the node will say.
#[derive(Default)]
struct Waiting {
    next_key: u64,
    callers: SortedMap<CallKey, oneshot::Sender<CallReply>>,
    operators: SortedMap<CallKey, std::sync::mpsc::Sender<OperatorReply>>,
    inbound: SortedMap<InboundKey, oneshot::Sender<PeerResponse>>,
    asks: SortedMap<OutboundKey, AbortHandle>,
    targets: SortedMap<CallKey, AbortHandle>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Makes a node of a kernel and its links; [`Node::start`] sets it going.
    pub fn new(kernel: Kernel, adapters: NodeAdapters) -> Arc<Self> {
        Arc::new(Self {
            kernel: Mutex::new(kernel),
            adapters,
            waiting: Mutex::default(),
            decisions: DecisionLog::default(),
            timers_changed: Notify::new(),
            stopped: Notify::new(),
            stop_requested: watch::Sender::new(false),
            runtime: OnceLock::new(),
        })
    }

    /// Starts the node's services and its timers; must run inside a tokio runtime.
    pub fn start(self: &Arc<Self>) {
        let _ = self.runtime.set(tokio::runtime::Handle::current());
        let effects = lock(&self.kernel).start(self.adapters.clock.now_us());
        self.apply_effects(effects);
        let node = Arc::clone(self);
        tokio::spawn(async move { node.run_timers().await });
    }

    /// Hands an input to the node and carries out what it says.
    pub fn submit(self: &Arc<Self>, input: Input) {
        if matches!(input, Input::Notice(Notice::StopRequested)) {
            self.stop_requested.send_replace(true);
        }
        let (effects, is_timer_sooner) = {
            let mut kernel = lock(&self.kernel);
            let before_us = kernel.next_timer_us();
            let effects = kernel.handle(self.adapters.clock.now_us(), input);
            (effects, kernel.next_timer_us() != before_us)
        };
        if is_timer_sooner {
            self.timers_changed.notify_one();
        }
        self.apply_effects(effects);
    }

    /// Hands an input to the node from a thread outside the runtime.
    pub fn submit_from_thread(self: &Arc<Self>, input: Input) {
        let Some(runtime) = self.runtime.get() else {
            return;
        };
        let node = Arc::clone(self);
        runtime.spawn(async move { node.submit(input) });
    }

    /// Returns the place that counters are added to.
    pub fn metrics(&self) -> &dyn MetricSink {
        self.adapters.metrics.as_ref()
    }

    /// Reads the node's services.
    pub fn inspect<R>(&self, read: impl FnOnce(&mut Kernel) -> R) -> R {
        read(&mut lock(&self.kernel))
    }

    /// Says whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop_requested.borrow()
    }

    /// Waits until a planned stop begins.
    pub async fn stop_requested(&self) {
        let mut requested = self.stop_requested.subscribe();
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// Waits until a planned stop has ended all work.
    pub async fn stopped(&self) {
        self.stopped.notified().await;
    }

    /// Registers a caller that waits for a reply.
    pub fn open_call(&self) -> (CallKey, oneshot::Receiver<CallReply>) {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = lock(&self.waiting);
        let key = CallKey(waiting.new_key());
        waiting.callers.insert(key, sender);
        (key, receiver)
    }

    /// Forgets a caller that went away.
    pub fn drop_call(self: &Arc<Self>, key: CallKey) {
        if lock(&self.waiting).callers.remove(&key).is_some() {
            self.submit(Input::Event(calls::entry::NAME, Event::CallerGone(key)));
        }
    }

    /// Registers an operator that waits for a reply.
    pub fn open_operator_request(&self) -> (CallKey, std::sync::mpsc::Receiver<OperatorReply>) {
        let (sender, receiver) = std::sync::mpsc::channel();
        let mut waiting = lock(&self.waiting);
        let key = CallKey(waiting.new_key());
        waiting.operators.insert(key, sender);
        (key, receiver)
    }

    /// Registers a peer that waits for an answer.
    pub fn open_peer_request(&self) -> (InboundKey, oneshot::Receiver<PeerResponse>) {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = lock(&self.waiting);
        let key = InboundKey(waiting.new_key());
        waiting.inbound.insert(key, sender);
        (key, receiver)
    }

    /// Forgets a peer that gave its question up.
    pub fn drop_peer_request(self: &Arc<Self>, key: InboundKey) {
        if lock(&self.waiting).inbound.remove(&key).is_some() {
            self.submit(Input::Event(calls::NAME, Event::PeerRequestCancelled(key)));
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

    fn apply_effects(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::SendPeerRequest {
                key: ask,
                to,
                request: question,
                timeout_us,
            } => {
                self.ask(ask, to, question, timeout_us);
            }
            Effect::CancelRequest { key: ask } => {
                let handle = lock(&self.waiting).asks.remove(&ask);
                abort(handle);
            }
            Effect::SendPeerResponse {
                inbound,
                response: answer,
            } => {
                if let Some(sender) = lock(&self.waiting).inbound.remove(&inbound) {
                    let _ = sender.send(answer);
                }
            }
            Effect::SendTableRequest {
                key: ask,
                request,
                timeout_us,
            } => self.table(ask, request, timeout_us),
            Effect::SendObjectRequest {
                key: ask,
                request,
                timeout_us,
            } => self.object(ask, request, timeout_us),
            Effect::ReadRoutes {
                key: ask,
                after,
                wait_ms,
                timeout_us,
            } => self.read_routes(ask, after, wait_ms, timeout_us),
            Effect::ReplyToCaller { call, reply } => {
                if let Some(sender) = lock(&self.waiting).callers.remove(&call) {
                    let _ = sender.send(*reply);
                }
            }
            Effect::ReplyToOperator { call, reply } => {
                if let Some(sender) = lock(&self.waiting).operators.remove(&call) {
                    let _ = sender.send(*reply);
                }
            }
            Effect::SendTargetRequest {
                call,
                http,
                is_idempotent,
                timeout_us,
            } => {
                let request = TargetRequest {
                    http,
                    is_idempotent,
                    timeout: Duration::from_micros(timeout_us),
                };
                self.target(call, request);
            }
            Effect::CancelTargetRequest { call } => {
                let handle = lock(&self.waiting).targets.remove(&call);
                abort(handle);
            }
            Effect::Count(counter, by) => self.adapters.metrics.add(counter, by),
            Effect::Observe(latency, service, ms) => {
                self.adapters.metrics.observe(latency, &service, ms);
            }
            Effect::LogStateChange(change) => write_log(&change),
            Effect::LogDecision(decision) => {
                self.decisions
                    .write(self.adapters.clock.now_us(), &decision);
            }
            Effect::Stopped => self.stopped.notify_one(),
        }
    }

    fn ask(
        self: &Arc<Self>,
        ask: OutboundKey,
        to: SocketAddr,
        question: PeerRequest,
        timeout_us: u64,
    ) {
        let node = Arc::clone(self);
        let timeout = Duration::from_micros(timeout_us);
        let task = tokio::spawn(async move {
            let result = node.adapters.peers.request(to, question, timeout).await;
            lock(&node.waiting).asks.remove(&ask);
            node.submit(Input::PeerResponse { key: ask, result });
        });
        lock(&self.waiting).asks.insert(ask, task.abort_handle());
    }

    fn target(self: &Arc<Self>, call: CallKey, request: TargetRequest) {
        let node = Arc::clone(self);
        let task = tokio::spawn(async move {
            let outcome = node.adapters.target.send(request).await;
            lock(&node.waiting).targets.remove(&call);
            let event = Event::TargetAnswered { call, outcome };
            node.submit(Input::Event(calls::NAME, event));
        });
        lock(&self.waiting)
            .targets
            .insert(call, task.abort_handle());
    }

    fn read_routes(
        self: &Arc<Self>,
        ask: OutboundKey,
        after: Option<u64>,
        wait_ms: u32,
        timeout_us: u64,
    ) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let limit = Duration::from_micros(timeout_us);
            let wait = Duration::from_millis(u64::from(wait_ms));
            let news = tokio::time::timeout(limit, node.adapters.routes.next(after, wait)).await;
            let result = news.unwrap_or(Err(PlatformError::Lost));
            node.submit(Input::RoutesRead { key: ask, result });
        });
    }

    fn table(self: &Arc<Self>, ask: OutboundKey, request: TableRequest, timeout_us: u64) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let limit = Duration::from_micros(timeout_us);
            let answer = tokio::time::timeout(limit, node.adapters.table.request(request)).await;
            let result: Result<TableResponse, PlatformError> =
                answer.unwrap_or(Err(PlatformError::Lost));
            node.submit(Input::TableResponse { key: ask, result });
        });
    }

    fn object(self: &Arc<Self>, ask: OutboundKey, request: ObjectRequest, timeout_us: u64) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let limit = Duration::from_micros(timeout_us);
            let answer = tokio::time::timeout(limit, node.adapters.objects.request(request)).await;
            let result: Result<ObjectResponse, PlatformError> =
                answer.unwrap_or(Err(PlatformError::Lost));
            node.submit(Input::ObjectResponse { key: ask, result });
        });
    }
}

impl Waiting {
    fn new_key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }
}

fn abort(handle: Option<AbortHandle>) {
    if let Some(handle) = handle {
        handle.abort();
    }
}

fn write_log(change: &StateChange) {
    log::info!(target: "dragonflylug", subject = change.subject; "{}: {}", change.change, change.detail);
}
