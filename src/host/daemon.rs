//! A whole daemon: its node, its listeners and its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use super::caller::{CallCodec, CallerLimits, CallerServer};
use super::http::NativeCallCodec;
use super::metrics::Metrics;
use super::operator::OperatorServer;
use super::peer::{PeerLimits, PeerLinks, PeerServer};
use super::platform::PlatformClient;
use super::target::TargetClient;
use super::{MonotonicClock, Node, NodeAdapters};
use crate::derives::value;
use crate::ids::MemberId;
use crate::kernel::{Input, Kernel, Notice};
use crate::membership::{Member, MemberState};
use crate::metrics::MetricSink;
use crate::node::build_kernel;
use crate::routes::NoRouteSource;
use crate::settings::Settings;

/// Why a daemon could not start.
pub type StartError = Box<dyn std::error::Error + Send + Sync>;

/// The time for the last answers to leave after a planned stop.
const FLUSH: Duration = Duration::from_millis(100);

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    addresses: Addresses,
    metrics: Arc<Metrics>,
    callers: Vec<Arc<CallerServer>>,
    tasks: Vec<AbortHandle>,
}

/// The addresses that a daemon listens on.
#[apply(value!)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For the target beside it.
    pub announce: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

impl Daemon {
    /// Starts a daemon inside the present tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound or a client cannot be made.
    pub async fn start(settings: &Settings) -> Result<Self, StartError> {
        let caller = bind(settings.caller_address).await?;
        let announce = bind(settings.announce_address).await?;
        let peer = bind(settings.peer_address).await?;
        let peer_address = peer.local_addr()?;
        let metrics = Arc::new(Metrics::new()?);
        let target = Arc::new(TargetClient::default());
        let sink: Arc<dyn MetricSink> = metrics.clone();
        let advertised = settings.peer_advertised_address.unwrap_or(peer_address);
        let kernel = make_own_kernel(settings, advertised);
        let node = Node::new(
            kernel,
            make_adapters(settings, target.clone(), sink.clone()),
        );
        let operator = OperatorServer::start(
            settings.operator_address,
            settings.operator_token.clone(),
            Arc::clone(&node),
            Arc::clone(&metrics),
        )?;
        let addresses = Addresses {
            caller: caller.local_addr()?,
            announce: announce.local_addr()?,
            peer: peer_address,
            operator,
        };
        let limits = caller_limits(settings);
        let codec: Arc<dyn CallCodec> = Arc::new(NativeCallCodec);
        let callers = CallerServer::new(Arc::clone(&node), limits, Arc::clone(&codec), None);
        let targets = CallerServer::new(Arc::clone(&node), limits, codec, Some(target));
        let peers = PeerServer::new(Arc::clone(&node), settings.body_bytes_max).serve(peer);
        let tasks = vec![
            tokio::spawn(Arc::clone(&callers).serve(caller)).abort_handle(),
            tokio::spawn(Arc::clone(&targets).serve(announce)).abort_handle(),
            tokio::spawn(Arc::clone(&targets).watch_target()).abort_handle(),
            tokio::spawn(peers).abort_handle(),
        ];
        node.start();
        Ok(Self {
            node,
            addresses,
            metrics,
            callers: vec![callers, targets],
            tasks,
        })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the daemon's node.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the daemon's counters.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Begins a planned stop.
    pub fn request_stop(&self) {
        self.node.submit(Input::Notice(Notice::StopRequested));
    }

    /// Waits until a planned stop has ended all work, then closes the listeners.
    pub async fn stopped(&self) {
        self.node.stopped().await;
        self.end();
        for callers in &self.callers {
            callers.drain().await;
        }
        tokio::time::sleep(FLUSH).await;
    }

    /// Closes the listeners at once.
    pub fn end(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Runs a daemon until it is stopped; prints its addresses as one line of JSON first.
///
/// # Errors
///
/// Fails where the daemon cannot start.
pub fn run(settings: &Settings) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let daemon = Daemon::start(settings).await?;
        let addresses = serde_json::to_string(&daemon.addresses())?;
        println!("{addresses}");
        log::info!(target: "dragonflylug", "started: {addresses}");
        serve_until_stopped(&daemon).await?;
        log::info!(target: "dragonflylug", "stopped");
        Ok(())
    })
}

/// The first SIGTERM or SIGINT begins a planned stop, a second one ends the process at once.
async fn serve_until_stopped(daemon: &Daemon) -> Result<(), StartError> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut is_stopping = false;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.stopped() => return Ok(()),
        }
        if is_stopping {
            return Ok(());
        }
        is_stopping = true;
        daemon.request_stop();
    }
}

/// Listens on an address; the error names it.
pub(super) async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| format!("cannot listen on {address}: {error}").into())
}

fn caller_limits(settings: &Settings) -> CallerLimits {
    CallerLimits {
        connections_max: settings.call_connections_max,
        body_bytes_max: settings.body_bytes_max,
        read_timeout: Duration::from_millis(settings.read_timeout_ms),
        idle_timeout: Duration::from_millis(settings.idle_timeout_ms),
        ..CallerLimits::default()
    }
}

fn make_adapters(
    settings: &Settings,
    target: Arc<TargetClient>,
    metrics: Arc<dyn MetricSink>,
) -> NodeAdapters {
    let body_bytes_max = settings.body_bytes_max;
    let platform = PlatformClient::new(
        &settings.platform_url,
        Duration::from_millis(settings.platform_timeout_ms),
    );
    NodeAdapters {
        clock: Box::new(MonotonicClock::default()),
        peers: Box::new(PeerLinks::new(PeerLimits {
            body_bytes_max,
            ..PeerLimits::default()
        })),
        target,
        table: Box::new(platform.clone()),
        objects: Box::new(platform),
        routes: Box::new(NoRouteSource),
        metrics,
    }
}

/// Makes the node's kernel under a new member id.
fn make_own_kernel(settings: &Settings, peer_address: SocketAddr) -> Kernel {
    let mut rng = rand::rng();
    let own = Member {
        id: MemberId(rng.next_u64()),
        address: peer_address,
        availability_zone: settings.availability_zone.clone(),
        service: None,
        slots: 0,
        state: MemberState::Alive,
        incarnation: 0,
        schema_version: settings.config.schema_version_max,
    };
    build_kernel(settings, own, rng.next_u64())
}
