//! Runs each daemon of the demo on a separate thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};

use super::DemoError;
use crate::config::{self, Config, Submission, SubmitOutcome};
use crate::host::Node;
use crate::host::daemon::{Addresses, Daemon};
use crate::host::metrics::Metrics;
use crate::kernel::{Event, Input, Notice};
use crate::membership::{self, MemberState, Membership};
use crate::operator::{OperatorReply, OperatorRequest};
use crate::settings::Settings;

/// The operator token of the demo's daemons.
const TOKEN: &str = "demo-operator-token";

/// The names of the counters that the demo prints.
const PRINTED_COUNTERS: [&str; 4] = [
    "dragonflylug_refusals",
    "dragonflylug_doubts",
    "dragonflylug_retries",
    "dragonflylug_answers",
];

/// A daemon that runs on a separate thread.
pub(super) struct DaemonThread {
    handle: DaemonHandle,
    zone: String,
}

/// The parts of a daemon that the demo uses from another thread.
struct DaemonHandle {
    addresses: Addresses,
    node: Arc<Node>,
    metrics: Arc<Metrics>,
}

impl DaemonThread {
    /// Starts a daemon in an availability zone and waits until it listens.
    pub(super) fn start(platform: SocketAddr, zone: &str) -> Result<Self, DemoError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            caller_address: any,
            operator_address: any,
            peer_address: any,
            announce_address: any,
            operator_token: TOKEN.to_string(),
            platform_url: format!("http://{platform}"),
            availability_zone: zone.into(),
            ..Settings::default()
        };
        let (sender, receiver) = channel();
        std::thread::spawn(move || run(&settings, &sender));
        let handle = receiver.recv()??;
        Ok(Self {
            handle,
            zone: zone.to_string(),
        })
    }

    pub(super) fn addresses(&self) -> Addresses {
        self.handle.addresses
    }

    /// Returns the number of alive members with a target.
    pub(super) fn alive_target_count(&self) -> usize {
        self.handle.node.inspect(|kernel| {
            let Some(membership) = kernel.find::<Membership>(membership::NAME) else {
                return 0;
            };
            let has_alive_target = |member: &&crate::membership::Member| {
                member.service.is_some() && member.state == MemberState::Alive
            };
            membership.members().filter(has_alive_target).count()
        })
    }

    pub(super) fn config_version(&self) -> u64 {
        self.handle.node.inspect(|kernel| {
            kernel
                .find::<Config>(config::NAME)
                .map_or(0, |config| config.version())
        })
    }

    /// Submits records and returns the version under which they were accepted.
    pub(super) fn submit(&self, submission: Submission) -> Result<u64, DemoError> {
        let node = &self.handle.node;
        let (call, receiver) = node.open_operator_request();
        let request = OperatorRequest::Submit(submission);
        let event = Event::OperatorRequest { call, request };
        node.submit_from_thread(Input::Event(config::NAME, event));
        match receiver.recv()? {
            OperatorReply::Submitted(SubmitOutcome::Accepted { version }) => Ok(version),
            other => Err(format!("the daemon did not accept the records: {other:?}").into()),
        }
    }

    /// Formats the counters of answers, refusals, doubts and retries, one per line, with the
    /// availability zone of the daemon.
    pub(super) fn format_counter_lines(&self) -> Vec<String> {
        let text = self.handle.metrics.text();
        let mut printed = Vec::new();
        for line in text.lines() {
            if !PRINTED_COUNTERS.iter().any(|name| line.starts_with(name)) {
                continue;
            }
            let line = line.replace(",otel_scope_name=\"dragonflylug\"", "");
            printed.push(format!(
                "  {} {}",
                self.zone,
                line.replace("{otel_scope_name=\"dragonflylug\"}", "")
            ));
        }
        printed
    }

    /// Requests a graceful shutdown without waiting for it.
    pub(super) fn stop(&self) {
        self.handle
            .node
            .submit_from_thread(Input::Notice(Notice::StopRequested));
    }
}

/// Starts a daemon, sends its handle or the error of its start, and runs the daemon until its
/// graceful shutdown ends.
fn run(settings: &Settings, sender: &Sender<Result<DaemonHandle, DemoError>>) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = sender.send(Err(error.into()));
            return;
        }
    };
    runtime.block_on(async {
        match Daemon::start(settings).await {
            Ok(daemon) => {
                let _ = sender.send(Ok(DaemonHandle {
                    addresses: daemon.addresses(),
                    node: Arc::clone(daemon.node()),
                    metrics: Arc::clone(daemon.metrics()),
                }));
                daemon.stopped().await;
            }
            Err(error) => {
                let _ = sender.send(Err(error));
            }
        }
    });
}
