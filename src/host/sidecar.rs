//! A daemon beside one target on a platform that has its own forms: the adapters are given.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

use super::caller::{CallCodec, CallerLimits, CallerServer};
use super::daemon::{StartError, bind};
use super::peer::{PeerLimits, PeerLinks, PeerServer};
use super::{Clock, MonotonicClock, Node, NodeAdapters, TargetLink, lock};
use crate::ids::{InstanceId, MemberId, ServiceName};
use crate::kernel::{Input, Kernel, Notice};
use crate::membership::{Member, MemberState};
use crate::metrics::MetricSink;
use crate::node::build_sidecar_kernel;
use crate::routes::{self, RouteSource, Routes};
use crate::settings::Settings;
use crate::table::{ObjectStore, TableStore};
use crate::target::{Announcement, ReportOutcome, TargetReport, TargetWatch};

/// The time between two looks whether the target still reports.
const TARGET_LOOK_PERIOD: Duration = Duration::from_millis(500);

/// The time to connect to a daemon of the same region before a call is placed elsewhere.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The time without any answer, while one is due, after which a daemon is asked for a sign of life.
const PEER_PING_AFTER: Duration = Duration::from_millis(150);

/// The time for that sign.
const PEER_PING_TIMEOUT: Duration = Duration::from_millis(300);

/// The time in which the last calls arrive after callers were sent elsewhere.
const LAST_CALLS: Duration = Duration::from_millis(150);

/// The slots that are assumed of a target that answers a probe and has not reported yet.
const SLOTS_BEFORE_REPORT: u32 = 16;

/// The time between two probes of a target that has not reported yet.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// The probes of a target that has not reported yet.
const PROBES_MAX: u32 = 10;

/// The connections that the target is assumed to accept, for each of its slots.
const CONNECTIONS_PER_SLOT: u32 = 4;

/// What bounds a sidecar beside the settings of its node.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// The settings of the node; `caller_address` and `peer_address` are listened on.
    pub node: Settings,
    /// The service of the target.
    pub service: ServiceName,
    /// The address of the target.
    pub target_address: std::net::SocketAddr,
    /// The time without a report after which the target counts as lost.
    pub target_report_timeout_ms: u32,
    /// The longest time for which a planned stop waits until callers go elsewhere.
    pub callers_leave_timeout_ms: u32,
    /// The answers "not ready" after which callers go elsewhere.
    pub not_ready_responses: u32,
    /// The time after which a planned stop ends, whatever is in flight.
    pub stop_max_ms: u32,
    /// The bytes of request bodies that are held at once.
    pub bodies_bytes_max: usize,
}

/// What a sidecar takes from its platform.
pub struct PlatformAdapters {
    /// The HTTP form of calls.
    pub codec: Arc<dyn CallCodec>,
    /// The link to the target.
    pub target: Arc<dyn TargetLink>,
    /// The table of rows.
    pub table: Box<dyn TableStore>,
    /// The object store.
    pub objects: Box<dyn ObjectStore>,
    /// The source of route tables.
    pub routes: Box<dyn RouteSource>,
    /// The counters.
    pub metrics: Arc<dyn MetricSink>,
}

/// A running sidecar.
pub struct Sidecar {
    settings: SidecarSettings,
    node: Arc<Node>,
    target: Arc<dyn TargetLink>,
    watch: Mutex<TargetWatch>,
    clock: MonotonicClock,
    callers: Arc<CallerServer>,
    is_leaving: AtomicBool,
    stop_begun: Notify,
    not_ready_told: watch::Sender<u32>,
    tasks: Mutex<Vec<AbortHandle>>,
}

impl Sidecar {
    /// Starts a sidecar inside the present tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound.
    pub async fn start(
        settings: SidecarSettings,
        adapters: PlatformAdapters,
    ) -> Result<Arc<Self>, StartError> {
        let callers = bind(settings.node.caller_address).await?;
        let peers = bind(settings.node.peer_address).await?;
        let (codec, target) = (adapters.codec, Arc::clone(&adapters.target));
        let node_adapters = NodeAdapters {
            clock: Box::new(MonotonicClock::default()),
            peers: Box::new(PeerLinks::new(PeerLimits {
                body_bytes_max: settings.node.body_bytes_max,
                connect_timeout: PEER_CONNECT_TIMEOUT,
                ping_after: PEER_PING_AFTER,
                ping_timeout: PEER_PING_TIMEOUT,
                ..PeerLimits::default()
            })),
            target: adapters.target,
            table: adapters.table,
            objects: adapters.objects,
            routes: adapters.routes,
            metrics: adapters.metrics,
        };
        let node = Node::new(build_kernel(&settings.node), node_adapters);
        let limits = CallerLimits {
            connections_max: settings.node.call_connections_max,
            body_bytes_max: settings.node.body_bytes_max,
            read_timeout: Duration::from_millis(settings.node.read_timeout_ms),
            idle_timeout: Duration::from_millis(settings.node.idle_timeout_ms),
            bodies_bytes_max: settings.bodies_bytes_max,
        };
        let host = CallerServer::new(Arc::clone(&node), limits, codec, None);
        let sidecar = Arc::new(Self {
            settings,
            node,
            target,
            watch: Mutex::default(),
            clock: MonotonicClock::default(),
            callers: host,
            is_leaving: AtomicBool::new(false),
            stop_begun: Notify::new(),
            not_ready_told: watch::Sender::new(0),
            tasks: Mutex::default(),
        });
        sidecar.spawn_tasks(callers, peers);
        sidecar.node.start();
        Ok(sidecar)
    }

    fn spawn_tasks(self: &Arc<Self>, callers: TcpListener, peers: TcpListener) {
        let body_bytes_max = self.settings.node.body_bytes_max;
        let peer_host = PeerServer::new(Arc::clone(&self.node), body_bytes_max).serve(peers);
        let tasks = vec![
            tokio::spawn(Arc::clone(&self.callers).serve(callers)).abort_handle(),
            tokio::spawn(peer_host).abort_handle(),
            tokio::spawn(Arc::clone(self).watch_target()).abort_handle(),
            tokio::spawn(Arc::clone(self).probe_target()).abort_handle(),
        ];
        *lock(&self.tasks) = tasks;
    }

    /// Returns the sidecar's node.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Tells the platform whether callers should come here.
    pub fn handle_readiness_check(&self) -> bool {
        if self.is_leaving.load(Ordering::Relaxed) {
            self.not_ready_told.send_modify(|told| *told += 1);
            return false;
        }
        self.node.inspect(|kernel| {
            let routes = kernel.find::<Routes>(routes::NAME);
            routes.is_some_and(|routes| routes.table().is_some())
        })
    }

    /// Takes in a report of the target.
    pub fn handle_target_report(self: &Arc<Self>, report: TargetReport) -> ReportOutcome {
        let now_us = self.clock.now_us();
        let heard = lock(&self.watch).record_report(now_us, report);
        if heard == ReportOutcome::Changed {
            self.tell_target();
        }
        heard
    }

    /// Takes in that a start of the target leaves; new work stops at once.
    pub fn handle_target_leaving(self: &Arc<Self>, instance: &InstanceId, born_ms: Option<u64>) {
        if lock(&self.watch).record_leaving(instance, born_ms) {
            self.tell_target();
        }
    }

    fn tell_target(self: &Arc<Self>) {
        let Some(report) = lock(&self.watch).report().cloned() else {
            return;
        };
        let announcement = Announcement {
            service: report.service,
            address: self.settings.target_address,
            slots: report.slots,
            connections: report.slots.saturating_mul(CONNECTIONS_PER_SLOT),
            is_draining: report.is_leaving,
            instance: Some(report.instance),
        };
        self.target.handle_announcement(&announcement);
        self.node
            .submit(Input::Notice(Notice::TargetAnnounced(announcement)));
    }

    /// Asks a target that runs already who it is, so that a daemon that restarts beside it need
    /// not wait for the target's next report.
    async fn probe_target(self: Arc<Self>) {
        for _ in 0..PROBES_MAX {
            tokio::time::sleep(PROBE_PERIOD).await;
            if lock(&self.watch).report().is_some() {
                return;
            }
            let Some(path) = self.health_path() else {
                continue;
            };
            let Some(instance) = self.target.probe(&path).await else {
                continue;
            };
            self.handle_target_report(TargetReport {
                instance,
                started_at_ms: None,
                sequence: 0,
                service: self.settings.service.clone(),
                slots: SLOTS_BEFORE_REPORT,
                is_leaving: false,
            });
            return;
        }
    }

    fn health_path(&self) -> Option<String> {
        self.node.inspect(|kernel| {
            let table = kernel.find::<Routes>(routes::NAME)?.table()?;
            let terms = table.service(&self.settings.service)?;
            Some(terms.health_path.clone())
        })
    }

    async fn watch_target(self: Arc<Self>) {
        let silence_us = u64::from(self.settings.target_report_timeout_ms) * 1_000;
        loop {
            tokio::time::sleep(TARGET_LOOK_PERIOD).await;
            let now_us = self.clock.now_us();
            if lock(&self.watch).remove_if_silent(now_us, silence_us) {
                self.node.submit(Input::Notice(Notice::TargetSilent));
            }
        }
    }

    /// Begins a planned stop: callers are sent elsewhere first, while the target is still used.
    pub fn request_stop(self: &Arc<Self>) {
        if self.is_leaving.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!(target: "dragonflylug", "a planned stop begins");
        self.callers.close_after_response();
        self.stop_begun.notify_one();
        tokio::spawn(Arc::clone(self).stop_after_callers());
    }

    async fn stop_after_callers(self: Arc<Self>) {
        let mut told = self.not_ready_told.subscribe();
        let answers = self.settings.not_ready_responses;
        let all_told = told.wait_for(|told| *told >= answers);
        let leave_max = Duration::from_millis(u64::from(self.settings.callers_leave_timeout_ms));
        let in_time = tokio::time::timeout(leave_max, all_told).await.is_ok();
        if in_time {
            tokio::time::sleep(LAST_CALLS).await;
        }
        log::info!(target: "dragonflylug", in_time; "callers were sent elsewhere");
        self.node.submit(Input::Notice(Notice::StopRequested));
    }

    /// Waits until a planned stop has ended all work, or its time is over.
    pub async fn stopped(&self) {
        self.stop_begun.notified().await;
        let stop_max = Duration::from_millis(u64::from(self.settings.stop_max_ms));
        let ended = async {
            self.node.stopped().await;
            self.end();
            self.callers.drain().await;
        };
        if tokio::time::timeout(stop_max, ended).await.is_err() {
            log::warn!(target: "dragonflylug", "the planned stop ends with work in flight");
        }
        self.end();
    }

    fn end(&self) {
        for task in lock(&self.tasks).iter() {
            task.abort();
        }
    }
}

/// Makes the node's kernel under a new member id.
fn build_kernel(settings: &Settings) -> Kernel {
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
