//! A complete daemon with the built-in call format and platform client: its node, its servers and
//! its graceful shutdown.

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
use super::response_budget::ResponseBudget;
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

/// The maximum total size of the bodies that wait for their next chunk, and of those that arrive in
/// chunks.
const PEER_BODIES_BYTES_MAX: usize = 128 * 1024 * 1024;

/// How long a graceful shutdown waits for the last responses to reach the sockets.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    addresses: Addresses,
    metrics: Arc<Metrics>,
    call_servers: Vec<Arc<CallerServer>>,
    tasks: Vec<AbortHandle>,
}

/// The addresses on which a daemon listens.
#[apply(value!)]
pub struct Addresses {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for the target beside the daemon: its announcements and its own calls.
    pub announce: SocketAddr,
    /// The address for other daemons.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
}

impl Daemon {
    /// Starts a daemon inside the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the metrics exporter cannot be registered.
    pub async fn start(settings: &Settings) -> Result<Self, StartError> {
        let caller_listener = bind(settings.caller_address).await?;
        let announce_listener = bind(settings.announce_address).await?;
        let peer_listener = bind(settings.peer_address).await?;
        let peer_address = peer_listener.local_addr()?;
        let metrics = Arc::new(Metrics::new()?);
        let target = Arc::new(TargetClient::default());
        let sink: Arc<dyn MetricSink> = metrics.clone();
        let advertised_address = settings.peer_advertised_address.unwrap_or(peer_address);
        let kernel = new_kernel(settings, advertised_address);
        let node = Node::new(kernel, new_adapters(settings, target.clone(), sink.clone()));
        let operator_address = OperatorServer::start(
            settings.operator_address,
            settings.operator_token.clone(),
            Arc::clone(&node),
            Arc::clone(&metrics),
        )?;
        let addresses = Addresses {
            caller: caller_listener.local_addr()?,
            announce: announce_listener.local_addr()?,
            peer: peer_address,
            operator: operator_address,
        };
        let limits = caller_limits(settings);
        let codec: Arc<dyn CallCodec> = Arc::new(NativeCallCodec);
        let caller_server = CallerServer::new(Arc::clone(&node), limits, Arc::clone(&codec), None);
        let target_server = CallerServer::new(Arc::clone(&node), limits, codec, Some(target));
        let serve_peers = PeerServer::new(
            Arc::clone(&node),
            settings.body_bytes_max,
            PEER_BODIES_BYTES_MAX,
        )
        .serve(peer_listener);
        let tasks = vec![
            tokio::spawn(Arc::clone(&caller_server).serve(caller_listener)).abort_handle(),
            tokio::spawn(Arc::clone(&target_server).serve(announce_listener)).abort_handle(),
            tokio::spawn(Arc::clone(&target_server).watch_target()).abort_handle(),
            tokio::spawn(serve_peers).abort_handle(),
        ];
        node.start();
        Ok(Self {
            node,
            addresses,
            metrics,
            call_servers: vec![caller_server, target_server],
            tasks,
        })
    }

    /// Returns the addresses on which the daemon listens.
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

    /// Begins a graceful shutdown.
    pub fn request_stop(&self) {
        self.node.submit(Input::Notice(Notice::StopRequested));
    }

    /// Waits until a graceful shutdown has finished all work, then closes the listeners and waits
    /// for a bounded time until the open connections have ended.
    pub async fn stopped(&self) {
        self.node.stopped().await;
        self.close_listeners();
        for server in &self.call_servers {
            server.drain().await;
        }
        tokio::time::sleep(FLUSH_DELAY).await;
    }

    /// Closes the listeners immediately.
    pub fn close_listeners(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Runs a daemon until it has stopped or a second signal requests an immediate end; first prints
/// its addresses as one line of JSON.
///
/// # Errors
///
/// Fails if the daemon cannot start.
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

/// Runs until the daemon has stopped: the first SIGTERM or SIGINT begins a graceful shutdown, and
/// at a second one the function returns without waiting for its end.
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

/// Binds a listener; the error names the address.
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
        pipelined_per_connection_max: settings.pipelined_per_connection_max,
        pipelined_max: settings.pipelined_max,
        ..CallerLimits::default()
    }
}

fn new_adapters(
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
        peers: Box::new(PeerLinks::new(
            PeerLimits {
                body_bytes_max,
                ..PeerLimits::default()
            },
            ResponseBudget::new(PEER_BODIES_BYTES_MAX),
        )),
        target: target.clone(),
        departures: Box::new(target),
        table: Box::new(platform.clone()),
        objects: Box::new(platform),
        routes: Box::new(NoRouteSource),
        metrics,
    }
}

/// Creates the node's kernel under a new random member id.
fn new_kernel(settings: &Settings, peer_address: SocketAddr) -> Kernel {
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
