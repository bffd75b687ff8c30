//! Tracks the target beside a sidecar: its reports, its departure, probes and silence.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, mpsc, watch};

use crate::host::{Clock, DepartureSink, MonotonicClock, Node, TargetTransport, lock};
use crate::ids::{InstanceId, ServiceName};
use crate::kernel::{Input, Notice};
use crate::routes::{self, Routes};
use crate::table::RowVersion;
use crate::target::{Announcement, ReportOutcome, TargetReport, TargetStart, TargetWatch};

/// How often the sidecar checks that the target still reports.
const TARGET_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The slots that a target is assumed to have if it responds to a probe and has not reported yet.
const SLOTS_BEFORE_REPORT: u32 = 16;

/// The time between the first probes of a target that has not reported yet.
const FIRST_PROBE_PERIOD: Duration = Duration::from_millis(100);

/// The number of first probes; an attempt before the route table gives the health path sends none.
const FIRST_PROBES: u32 = 10;

/// The time between two later probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// How long to wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of connections that the target is assumed to accept per slot.
const CONNECTIONS_PER_SLOT: u32 = 4;

/// The target beside a sidecar, as its settings describe it.
#[derive(Clone, Debug)]
pub(super) struct TargetSettings {
    /// The service of the target.
    pub(super) service: ServiceName,
    /// The address of the target.
    pub(super) address: SocketAddr,
    /// How long the target may send no report before it counts as lost.
    pub(super) report_timeout_ms: u32,
}

/// Tracks the target beside a sidecar and announces each change of it to the node.
pub struct TargetTracker {
    pub(super) settings: TargetSettings,
    pub(super) node: Arc<Node>,
    pub(super) transport: Arc<dyn TargetTransport>,
    pub(super) watch: Mutex<TargetWatch>,
    pub(super) clock: MonotonicClock,
    /// Notifies the task that probes the target.
    report_unconfirmed: Notify,
    /// The version of the row with the stored departures, if there is one.
    pub(super) row_version: Mutex<Option<RowVersion>>,
    /// The revision of the departures that is stored.
    pub(super) stored_revision: watch::Sender<u64>,
    /// Notifies the task that stores the departures.
    pub(super) departure_recorded: Notify,
    /// Notifies the task that stores the departures of a new start.
    pub(super) start_recorded: Notify,
    /// Notifies the task that watches for the end of a target of which an unknown start left.
    pub(super) hold_recorded: Notify,
}

impl DepartureSink for mpsc::UnboundedSender<TargetStart> {
    fn record(&self, start: TargetStart) {
        if self.send(start).is_err() {
            log::debug!(target: "dragonflylug", "a departure was not recorded: the sidecar stops");
        }
    }
}

impl TargetTracker {
    pub(super) fn new(
        settings: TargetSettings,
        node: Arc<Node>,
        transport: Arc<dyn TargetTransport>,
    ) -> Arc<Self> {
        let clock = MonotonicClock::default();
        Arc::new(Self {
            settings,
            node,
            transport,
            watch: Mutex::new(TargetWatch::starting_at(clock.now_us())),
            clock,
            report_unconfirmed: Notify::new(),
            row_version: Mutex::default(),
            stored_revision: watch::Sender::new(0),
            departure_recorded: Notify::new(),
            start_recorded: Notify::new(),
            hold_recorded: Notify::new(),
        })
    }

    /// Records the departures that the target announced in its answers, until the task is aborted.
    pub(super) async fn record_departures(
        self: Arc<Self>,
        mut departures: mpsc::UnboundedReceiver<TargetStart>,
    ) {
        while let Some(start) = departures.recv().await {
            let Some(instance) = start.instance else {
                continue;
            };
            self.record_departure(&instance, start.started_at_ms).await;
        }
    }

    /// Records a report of the target and returns what it changed. If it says that the target is
    /// leaving, new work stops immediately, and the future waits for a bounded time until that is
    /// stored.
    pub async fn record_report(self: &Arc<Self>, report: TargetReport) -> ReportOutcome {
        let is_leaving = report.is_leaving;
        let outcome = self.apply_report(report);
        if is_leaving {
            self.notify_departure();
            self.wait_until_stored().await;
        }
        outcome
    }

    /// Records the notice that an instance of the target is leaving. New work for it stops
    /// immediately, and the future waits for a bounded time until that is stored.
    pub async fn record_departure(
        self: &Arc<Self>,
        instance: &InstanceId,
        started_at_ms: Option<u64>,
    ) {
        let now_us = self.clock.now_us();
        let is_current = lock(&self.watch).record_departure(now_us, instance, started_at_ms);
        log::info!(
            target: "dragonflylug",
            subject = "target",
            instance = instance.as_str(),
            started_at_ms,
            is_current;
            "notice that the target leaves"
        );
        if is_current {
            self.announce();
        }
        self.notify_departure();
        self.wait_until_stored().await;
    }

    fn apply_report(self: &Arc<Self>, report: TargetReport) -> ReportOutcome {
        let now_us = self.clock.now_us();
        let outcome = lock(&self.watch).record_report(now_us, report.clone());
        log::info!(
            target: "dragonflylug",
            subject = "target",
            instance = report.instance.as_str(),
            started_at_ms = report.started_at_ms,
            sequence = report.sequence,
            is_leaving = report.is_leaving,
            outcome = outcome.name();
            "report of the target"
        );
        match outcome {
            ReportOutcome::Changed => self.use_start(),
            ReportOutcome::Unconfirmed => self.report_unconfirmed.notify_one(),
            ReportOutcome::Stale | ReportOutcome::Unchanged => {}
        }
        outcome
    }

    /// Announces the current start and has it stored if it is new; at once if an earlier start of its
    /// instance left, so that a later departure is known to be of this one.
    fn use_start(self: &Arc<Self>) {
        self.announce();
        if !self.has_unstored_departures() {
            return;
        }
        match lock(&self.watch).succeeds_departed_start() {
            true => self.departure_recorded.notify_one(),
            false => self.start_recorded.notify_one(),
        }
    }

    pub(super) fn announce(self: &Arc<Self>) {
        let Some(report) = lock(&self.watch).confirmed_report().cloned() else {
            return;
        };
        let announcement = Announcement {
            service: report.service,
            address: self.settings.address,
            slots: report.slots,
            connections: report.slots.saturating_mul(CONNECTIONS_PER_SLOT),
            is_draining: report.is_leaving,
            instance: Some(report.instance),
            started_at_ms: report.started_at_ms,
        };
        self.transport.handle_announcement(&announcement);
        self.node
            .submit(Input::Notice(Notice::TargetAnnounced(announcement)));
    }

    /// Probes for a target that is already running, so that a daemon that restarts beside it does
    /// not have to wait for its next report, and probes each target whose report may be late.
    pub(super) async fn probe(self: Arc<Self>) {
        for _ in 0..FIRST_PROBES {
            tokio::time::sleep(FIRST_PROBE_PERIOD).await;
            if lock(&self.watch).confirmed_report().is_some() {
                break;
            }
            self.send_probe().await;
        }
        loop {
            self.report_unconfirmed.notified().await;
            while lock(&self.watch).is_unconfirmed() {
                self.send_probe().await;
                tokio::time::sleep(PROBE_PERIOD).await;
            }
        }
    }

    async fn send_probe(self: &Arc<Self>) {
        let Some(path) = self.health_path() else {
            return;
        };
        let probe = self.transport.probe(&path);
        if let Ok(Some(instance)) = tokio::time::timeout(PROBE_TIMEOUT, probe).await {
            self.apply_probe(instance);
        }
    }

    fn apply_probe(self: &Arc<Self>, instance: InstanceId) {
        let report = TargetReport {
            instance: instance.clone(),
            started_at_ms: None,
            sequence: 0,
            service: self.settings.service.clone(),
            slots: SLOTS_BEFORE_REPORT,
            is_leaving: false,
        };
        let outcome = lock(&self.watch).record_probe(self.clock.now_us(), report);
        log::info!(
            target: "dragonflylug",
            subject = "target",
            instance = instance.as_str(),
            outcome = outcome.name();
            "probe of the target succeeded"
        );
        if outcome == ReportOutcome::Changed {
            self.use_start();
        }
    }

    fn health_path(&self) -> Option<String> {
        self.node.inspect(|kernel| {
            let table = kernel.find::<Routes>(routes::NAME)?.table()?;
            let service_terms = table.service(&self.settings.service)?;
            Some(service_terms.health_path.clone())
        })
    }

    pub(super) async fn watch_for_silence(self: Arc<Self>) {
        let silence_us = u64::from(self.settings.report_timeout_ms) * 1_000;
        loop {
            tokio::time::sleep(TARGET_CHECK_PERIOD).await;
            let now_us = self.clock.now_us();
            if lock(&self.watch).remove_if_silent(now_us, silence_us) {
                log::info!(target: "dragonflylug", subject = "target"; "the target counts as lost: no report in time");
                self.node.submit(Input::Notice(Notice::TargetSilent));
            }
        }
    }
}
