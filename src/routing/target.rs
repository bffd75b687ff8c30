//! The state of one target in a router: membership, load reports, latency and health.

use std::net::SocketAddr;

use super::distance::ZoneIndex;
use super::health::Health;
use super::kind_times::KindTimes;
use super::{AttemptOutcome, RoutingSettings, slow_start};
use crate::ids::{MemberId, ServiceName, WorkKind};
use crate::membership::{Member, MemberState};
use crate::request::{LoadReport, Rank};

slotmap::new_key_type! {
    /// The key of a target in the router's slot map.
    pub(super) struct TargetKey;
}

/// The weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// The latency that is assumed for a target that has not answered yet. A mean latency does not
/// decay below it, and a lower one does not decay at all.
const LATENCY_INITIAL_US: f64 = 1_000.0;
/// The factor by which a mean latency decays over [`LATENCY_DECAY_US`] without a new sample.
const LATENCY_DECAY_FACTOR: f64 = 0.5;
/// The time over which a mean latency without a new sample falls to half.
const LATENCY_DECAY_US: f64 = 1_000_000.0;
/// The time in which a share of failures halves without a new failure or report, so that a target
/// that failed is used again.
const FAILURE_HALF_LIFE_US: f64 = 2_000_000.0;
/// The share of successes below which a target counts as one that loses answers.
const LOSING_SUCCESS_SHARE: f64 = 0.8;
/// The minimum share of successes in the cost, which is divided by the square of that share.
const SUCCESS_SHARE_FLOOR: f64 = 0.05;

/// The additional weight of queued requests in the cost: a request that joins a queue also delays
/// those that arrive after it, so a free slot at a slower target is better for all of them.
const QUEUED_WEIGHT: f64 = 1.0;

/// The time from the first failure to reach a daemon until its first probe.
const PROBE_INTERVAL_FIRST_US: u64 = 250_000;
/// The maximum interval between two probes of such a daemon.
const PROBE_INTERVAL_MAX_US: u64 = 2_000_000;

/// The time constant of the mean number of reported requests.
const REPORTED_MEAN_US: f64 = 500_000.0;

/// The last load report of a guard.
struct Report {
    load: LoadReport,
    received_us: u64,
    /// The moving average of the reported numbers of requests.
    mean_requests: f64,
}

/// The numbers of requests at a target, running and queued, that its guard reported.
#[derive(Clone, Copy)]
pub(super) struct ReportedRequests {
    pub(super) latest: f64,
    pub(super) mean: f64,
}

/// One target with its state.
pub(super) struct Target {
    pub(super) member: MemberId,
    pub(super) address: SocketAddr,
    pub(super) service: ServiceName,
    /// The availability zone.
    pub(super) zone: ZoneIndex,
    pub(super) state: MemberState,
    pub(super) health: Health,
    /// The incarnation in the last update, a number that the member itself raises.
    incarnation: u32,
    slots: u32,
    ready_since_us: u64,
    in_flight: u32,
    /// The number of requests of this daemon that were sent after the last report was received.
    sent_since_report: u32,
    /// When a request of this daemon last ended, or was sent while no other was in flight.
    silent_since_us: u64,
    mean_latency_us: Option<f64>,
    latency_sampled_us: u64,
    kind_times: KindTimes,
    /// When a request of this daemon last failed.
    failed_us: u64,
    report: Option<Report>,
    /// The probe schedule of its daemon, if that could not be reached.
    pub(super) probe_schedule: Option<ProbeSchedule>,
}

/// When a daemon that could not be reached is probed next.
#[derive(Clone, Copy)]
pub(super) struct ProbeSchedule {
    interval_us: u64,
    next_probe_us: u64,
}

impl ProbeSchedule {
    fn new(now_us: u64) -> Self {
        Self {
            interval_us: PROBE_INTERVAL_FIRST_US,
            next_probe_us: now_us + PROBE_INTERVAL_FIRST_US,
        }
    }

    /// Returns whether a probe is due now; if so, schedules the next one after twice the interval.
    pub(super) fn advance_if_due(&mut self, now_us: u64) -> bool {
        if now_us < self.next_probe_us {
            return false;
        }
        self.interval_us = (self.interval_us * 2).min(PROBE_INTERVAL_MAX_US);
        self.next_probe_us = now_us + self.interval_us;
        true
    }
}

impl Target {
    pub(super) fn new(now_us: u64, member: &Member, service: ServiceName, zone: ZoneIndex) -> Self {
        Self {
            member: member.id,
            address: member.address,
            service,
            zone,
            state: member.state,
            health: Health::default(),
            incarnation: member.incarnation,
            slots: member.slots,
            ready_since_us: now_us,
            in_flight: 0,
            sent_since_report: 0,
            silent_since_us: now_us,
            mean_latency_us: None,
            latency_sampled_us: now_us,
            kind_times: KindTimes::default(),
            failed_us: now_us,
            report: None,
            probe_schedule: None,
        }
    }

    /// Applies an update of the member.
    ///
    /// Slow start begins anew if the update makes the target accept requests again, but not if a
    /// load report does.
    pub(super) fn update(&mut self, now_us: u64, member: &Member) {
        let was_accepting = self.accepts_requests();
        if member.incarnation > self.incarnation {
            self.discard_report();
        }
        self.address = member.address;
        self.state = member.state;
        self.incarnation = member.incarnation;
        self.slots = member.slots;
        if !was_accepting && self.accepts_requests() {
            self.ready_since_us = now_us;
        }
    }

    pub(super) fn discard_report(&mut self) {
        self.report = None;
    }

    pub(super) fn record_sent(&mut self, now_us: u64) {
        if self.is_idle() {
            self.silent_since_us = now_us;
        }
        self.sent_since_report = self.sent_since_report.saturating_add(1);
        self.in_flight += 1;
    }

    pub(super) fn record_outcome(
        &mut self,
        now_us: u64,
        outcome: AttemptOutcome,
        latency_us: u64,
        load: Option<LoadReport>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.silent_since_us = now_us;
        match load {
            Some(load) => self.record_reachable(now_us, load),
            None if outcome == AttemptOutcome::Unreachable => {
                self.probe_schedule
                    .get_or_insert_with(|| ProbeSchedule::new(now_us));
            }
            None => {}
        }
        if outcome.is_success() == Some(false) {
            self.failed_us = now_us;
        }
        self.health.record(outcome);
        self.record_latency(now_us, outcome, latency_us as f64);
    }

    /// Records the service time of a kind of work that the guard reported.
    pub(super) fn record_kind_time(&mut self, now_us: u64, kind: WorkKind, service_us: u32) {
        self.kind_times.record(now_us, kind, service_us);
    }

    /// Records that the daemon is reachable, with the load report of its guard.
    pub(super) fn record_reachable(&mut self, now_us: u64, load: LoadReport) {
        self.probe_schedule = None;
        self.sent_since_report = 0;
        let requests = requests_of(&load);
        let mean_requests = self.report.as_ref().map_or(requests, |report| {
            let gap_us = now_us.saturating_sub(report.received_us) as f64;
            let kept = (-gap_us / REPORTED_MEAN_US).exp();
            requests + (report.mean_requests - requests) * kept
        });
        self.report = Some(Report {
            load,
            received_us: now_us,
            mean_requests,
        });
    }

    /// Updates the mean latency. Errors may be fast, so only answers lower it.
    fn record_latency(&mut self, now_us: u64, outcome: AttemptOutcome, latency_us: f64) {
        if outcome == AttemptOutcome::Refused {
            return;
        }
        let Some(mean_us) = self.mean_latency_us else {
            if outcome == AttemptOutcome::Answered {
                self.mean_latency_us = Some(latency_us);
                self.latency_sampled_us = now_us;
            }
            return;
        };
        if outcome != AttemptOutcome::Answered && latency_us < mean_us {
            return;
        }
        self.mean_latency_us = Some(mean_us + LATENCY_WEIGHT * (latency_us - mean_us));
        self.latency_sampled_us = now_us;
    }

    /// Returns the age of the last report in microseconds, or the time since the target was ready
    /// if there is no report.
    pub(super) fn report_age_us(&self, now_us: u64) -> f64 {
        let received_us = self.report.as_ref().map(|report| report.received_us);
        now_us.saturating_sub(received_us.unwrap_or(self.ready_since_us)) as f64
    }

    /// Returns the numbers of requests that the guard reported, if it has reported any.
    pub(super) fn reported_requests(&self) -> Option<ReportedRequests> {
        let report = self.report.as_ref()?;
        Some(ReportedRequests {
            latest: requests_of(&report.load),
            mean: report.mean_requests,
        })
    }

    /// Returns the reported concurrency limit, or the number of slots without a report.
    pub(super) fn limit(&self) -> u32 {
        self.report
            .as_ref()
            .map_or(self.slots, |report| report.load.limit)
    }

    /// Returns the number of requests in flight that the last report does not include.
    pub(super) fn sent_since_report(&self) -> u32 {
        self.sent_since_report.min(self.in_flight)
    }

    /// Returns the time in microseconds for which none of the requests in flight has ended; `None`
    /// if none is in flight.
    pub(super) fn silent_us(&self, now_us: u64) -> Option<u64> {
        (self.in_flight > 0).then(|| now_us.saturating_sub(self.silent_since_us))
    }

    /// Returns whether no request of this daemon is at the target.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Returns whether the target accepts new requests at all.
    pub(super) fn accepts_requests(&self) -> bool {
        let is_leaving = self
            .report
            .as_ref()
            .is_some_and(|report| report.load.is_leaving);
        let is_available = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        is_available && self.slots > 0 && !is_leaving
    }

    /// Returns whether the guard's last report is recent and its threshold is above a rank, so that
    /// the guard would probably refuse a request of that rank.
    pub(super) fn has_threshold_above(
        &self,
        now_us: u64,
        rank: Rank,
        settings: &RoutingSettings,
    ) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let fresh_us = u64::from(settings.threshold_fresh_ms) * 1_000;
        let max_age_us = fresh_us.max(u64::from(report.load.rate_wait_us));
        now_us.saturating_sub(report.received_us) <= max_age_us && rank < report.load.threshold
    }

    /// Returns the time until the target's rate limit lets a further request start, by the last
    /// report; 0 without a limit.
    pub(super) fn rate_wait_us(&self, now_us: u64) -> u64 {
        let Some(report) = &self.report else {
            return 0;
        };
        let age_us = now_us.saturating_sub(report.received_us);
        u64::from(report.load.rate_wait_us).saturating_sub(age_us)
    }

    /// Returns the expected load after one more request, as a share of the limit.
    pub(super) fn load(&self, now_us: u64, settings: &RoutingSettings) -> f64 {
        let (reported, limit) = match &self.report {
            Some(report) => (
                report.load.in_flight.saturating_add(report.load.queued),
                report.load.limit.max(1),
            ),
            None => (0, self.slots.max(1)),
        };
        let requests = self.in_flight.max(reported).saturating_add(1);
        let age_us = now_us.saturating_sub(self.ready_since_us);
        let share = slow_start::share(age_us, settings.slow_start_ms);
        f64::from(requests) / (f64::from(limit) * share)
    }

    /// Returns whether so many answers of the target were lost that another target should be compared.
    pub(super) fn loses_answers(&self, now_us: u64) -> bool {
        self.success_share(now_us) < LOSING_SUCCESS_SHARE
    }

    /// Returns the share of successes: that of this daemon's own requests, or that of all requests by
    /// the guard's report if it is lower. Failures fade with their age.
    fn success_share(&self, now_us: u64) -> f64 {
        let faded = |share: f64, since_us: u64| {
            let age_us = now_us.saturating_sub(since_us) as f64;
            share * 0.5_f64.powf(age_us / FAILURE_HALF_LIFE_US)
        };
        let failed = faded(1.0 - self.health.success_share(), self.failed_us);
        let lost = self.report.as_ref().map_or(0.0, |report| {
            let lost = f64::from(report.load.lost_permille) / 1_000.0;
            faded(lost, report.received_us)
        });
        1.0 - failed.max(lost)
    }

    /// Returns the cost of sending a request to this target; the lowest cost is the best.
    ///
    /// `typical_us` is the mean service time of the request's kind at all targets, if it is known.
    pub(super) fn cost(
        &self,
        now_us: u64,
        settings: &RoutingSettings,
        kind: WorkKind,
        typical_us: Option<f64>,
    ) -> f64 {
        let load = self.load(now_us, settings);
        let service_us = self.kind_time_us(now_us, kind, typical_us);
        let queued = (load - 1.0).max(0.0);
        let time_us = service_us * (1.0 + load + QUEUED_WEIGHT * queued);
        let rate_wait_us = self.rate_wait_us(now_us) as f64;
        (time_us + rate_wait_us) * self.failure_factor(now_us)
    }

    /// Returns the service time of a kind of work in microseconds, or that of all work if the
    /// typical time of the kind is not known.
    pub(super) fn kind_time_us(&self, now_us: u64, kind: WorkKind, typical_us: Option<f64>) -> f64 {
        match typical_us {
            Some(typical_us) => self.kind_times.time_us(now_us, kind, typical_us),
            None => self.service_time_us(now_us),
        }
    }

    /// Returns the factor by which failures and lost answers raise the cost of the target.
    pub(super) fn failure_factor(&self, now_us: u64) -> f64 {
        let success_share = self.success_share(now_us).max(SUCCESS_SHARE_FLOOR);
        1.0 / (success_share * success_share)
    }

    /// Returns the number of slots, as the weight of the target in random picks.
    pub(super) fn slots(&self) -> u64 {
        u64::from(self.slots)
    }

    /// Returns the number of slots in thousandths, multiplied by the slow-start share until the
    /// first report arrives.
    pub(super) fn slots_permille(&self, now_us: u64, settings: &RoutingSettings) -> u64 {
        if self.report.is_some() {
            return self.slots() * 1_000;
        }
        let age_us = now_us.saturating_sub(self.ready_since_us);
        let share = slow_start::share(age_us, settings.slow_start_ms);
        (self.slots() as f64 * 1_000.0 * share) as u64
    }

    /// Returns how long the queue at the guard takes to drain at the latency that this daemon
    /// measured, or at the rate limit of the target; 0 without a load report.
    pub(super) fn drain_ms(&self, now_us: u64) -> u32 {
        let Some(report) = &self.report else {
            return 0;
        };
        let rounds = (f64::from(report.load.queued) + 1.0) / f64::from(report.load.limit.max(1));
        let drain_ms = (rounds * self.decayed_latency_us(now_us) / 1_000.0) as u32;
        let rate_wait_ms = self.rate_wait_us(now_us) / 1_000;
        drain_ms.max(u32::try_from(rate_wait_ms).unwrap_or(u32::MAX))
    }

    /// Returns the service time of the target. The value that the guard reports is preferred to the
    /// latency that this daemon measured, since a guard measures the requests of all daemons.
    fn service_time_us(&self, now_us: u64) -> f64 {
        match &self.report {
            Some(report) if report.load.service_us > 0 => f64::from(report.load.service_us),
            _ => self.decayed_latency_us(now_us),
        }
    }

    /// Returns the mean latency, which decays with age so that a target that was slow is used
    /// again.
    pub(super) fn decayed_latency_us(&self, now_us: u64) -> f64 {
        let Some(mean_us) = self.mean_latency_us else {
            return LATENCY_INITIAL_US;
        };
        let age_us = now_us.saturating_sub(self.latency_sampled_us) as f64;
        let decayed_us = mean_us * LATENCY_DECAY_FACTOR.powf(age_us / LATENCY_DECAY_US);
        decayed_us.max(LATENCY_INITIAL_US.min(mean_us))
    }
}

fn requests_of(load: &LoadReport) -> f64 {
    f64::from(load.in_flight) + f64::from(load.queued)
}
