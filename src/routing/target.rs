//! What a router knows of one target.

use std::net::SocketAddr;

use super::health::Health;
use super::{AttemptOutcome, RoutingSettings, slow_start};
use crate::ids::{MemberId, ServiceName};
use crate::membership::{Member, MemberState};
use crate::request::{LoadReport, Rank};

slotmap::new_key_type! {
    /// The place of a target in the arena.
    pub(super) struct TargetKey;
}

/// The weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// The latency that is assumed of a target that has not answered yet.
const LATENCY_FIRST_US: f64 = 1_000.0;
/// The share of a latency that is left after [`LATENCY_FADE_US`] without a new one.
const LATENCY_FADE_SHARE: f64 = 0.5;
/// The time over which a latency without a new one loses half of its weight.
const LATENCY_FADE_US: f64 = 1_000_000.0;
/// The least share of successes that a score is divided by.
const SUCCESS_SHARE_FLOOR: f64 = 0.05;

/// The first pause before a daemon that could not be reached is asked for a sign of life.
const PROBE_PAUSE_FIRST_US: u64 = 250_000;
/// The longest such pause.
const PROBE_PAUSE_MAX_US: u64 = 2_000_000;

/// The last word of a guard.
struct Report {
    load: LoadReport,
    at_us: u64,
}

/// One target with what its answers say of it.
pub(super) struct Target {
    pub(super) member: MemberId,
    pub(super) address: SocketAddr,
    pub(super) service: ServiceName,
    pub(super) state: MemberState,
    pub(super) health: Health,
    incarnation: u32,
    slots: u32,
    ready_since_us: u64,
    in_flight: u32,
    latency_us: Option<f64>,
    latency_at_us: u64,
    report: Option<Report>,
    pub(super) unreachable: Option<Unreachable>,
}

/// A daemon that could not be reached, and when it is asked again.
#[derive(Clone, Copy)]
pub(super) struct Unreachable {
    pause_us: u64,
    next_us: u64,
}

impl Unreachable {
    fn new(now_us: u64) -> Self {
        Self {
            pause_us: PROBE_PAUSE_FIRST_US,
            next_us: now_us + PROBE_PAUSE_FIRST_US,
        }
    }

    /// Says whether it is to be asked now; the pause until the next time is longer.
    pub(super) fn is_due(&mut self, now_us: u64) -> bool {
        if now_us < self.next_us {
            return false;
        }
        self.pause_us = (self.pause_us * 2).min(PROBE_PAUSE_MAX_US);
        self.next_us = now_us + self.pause_us;
        true
    }
}

impl Target {
    pub(super) fn new(now_us: u64, member: &Member, service: ServiceName) -> Self {
        Self {
            member: member.id,
            address: member.address,
            service,
            state: member.state,
            health: Health::default(),
            incarnation: member.incarnation,
            slots: member.slots,
            ready_since_us: now_us,
            in_flight: 0,
            latency_us: None,
            latency_at_us: now_us,
            report: None,
            unreachable: None,
        }
    }

    /// Takes in news of the member; one that takes work again is brought up slowly.
    pub(super) fn update(&mut self, now_us: u64, member: &Member) {
        let was_ready = self.takes_work();
        if member.incarnation > self.incarnation {
            self.forget_report();
        }
        self.address = member.address;
        self.state = member.state;
        self.incarnation = member.incarnation;
        self.slots = member.slots;
        if !was_ready && self.takes_work() {
            self.ready_since_us = now_us;
        }
    }

    pub(super) fn forget_report(&mut self) {
        self.report = None;
    }

    pub(super) fn record_sent(&mut self, _now_us: u64) {
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
        match load {
            Some(load) => self.reached(now_us, load),
            None if outcome == AttemptOutcome::Unreachable => {
                self.unreachable
                    .get_or_insert_with(|| Unreachable::new(now_us));
            }
            None => {}
        }
        self.health.record(outcome);
        self.record_latency(now_us, outcome, latency_us as f64);
    }

    /// Takes in a sign of life with the guard's word on its load.
    pub(super) fn reached(&mut self, now_us: u64, load: LoadReport) {
        self.unreachable = None;
        self.report = Some(Report {
            load,
            at_us: now_us,
        });
    }

    /// Errors may be fast, so only answers lower the latency.
    fn record_latency(&mut self, now_us: u64, outcome: AttemptOutcome, latency_us: f64) {
        if outcome == AttemptOutcome::Refused {
            return;
        }
        let Some(mean_us) = self.latency_us else {
            if outcome == AttemptOutcome::Answered {
                self.latency_us = Some(latency_us);
                self.latency_at_us = now_us;
            }
            return;
        };
        if outcome != AttemptOutcome::Answered && latency_us < mean_us {
            return;
        }
        self.latency_us = Some(mean_us + LATENCY_WEIGHT * (latency_us - mean_us));
        self.latency_at_us = now_us;
    }

    /// Says whether no request of this daemon is at the target.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Says whether the target takes new work at all.
    pub(super) fn takes_work(&self) -> bool {
        let is_leaving = self
            .report
            .as_ref()
            .is_some_and(|report| report.load.is_leaving);
        let is_present = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        is_present && self.slots > 0 && !is_leaving
    }

    /// Says whether the guard's last word, if it is fresh, refuses a rank.
    pub(super) fn refuses(&self, now_us: u64, rank: Rank, settings: &RoutingSettings) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let fresh_us = u64::from(settings.threshold_fresh_ms) * 1_000;
        now_us.saturating_sub(report.at_us) <= fresh_us && rank < report.load.threshold
    }

    /// Returns the expected load after one more request, as a share of the limit.
    pub(super) fn load(&self, now_us: u64, settings: &RoutingSettings) -> f64 {
        let (others, limit) = match &self.report {
            Some(report) => (
                report.load.in_flight.saturating_add(report.load.queued),
                report.load.limit.max(1),
            ),
            None => (0, self.slots.max(1)),
        };
        let requests = self.in_flight.max(others).saturating_add(1);
        let age_us = now_us.saturating_sub(self.ready_since_us);
        let share = slow_start::share(age_us, settings.slow_start_ms);
        f64::from(requests) / (f64::from(limit) * share)
    }

    /// Returns the cost of sending a request here; the least is the best.
    pub(super) fn score(&self, now_us: u64, settings: &RoutingSettings) -> f64 {
        let success_share = self.health.success_share().max(SUCCESS_SHARE_FLOOR);
        let load = self.load(now_us, settings);
        self.service_time(now_us) * (1.0 + load) / (success_share * success_share)
    }

    /// Returns the slots, for picks in proportion to size.
    pub(super) fn slots(&self) -> u64 {
        u64::from(self.slots)
    }

    /// Returns how long a queue at the guard takes to drain.
    pub(super) fn drain_ms(&self, now_us: u64) -> u32 {
        let Some(report) = &self.report else {
            return 0;
        };
        let turns = (f64::from(report.load.queued) + 1.0) / f64::from(report.load.limit.max(1));
        (turns * self.latency(now_us) / 1_000.0) as u32
    }

    /// Returns the time that the target takes for a request: the guard's word on it before what
    /// this daemon measured, since a guard sees the requests of all daemons.
    fn service_time(&self, now_us: u64) -> f64 {
        match &self.report {
            Some(report) if report.load.service_us > 0 => f64::from(report.load.service_us),
            _ => self.latency(now_us),
        }
    }

    /// An old latency fades, so that a target that was slow is tried again.
    fn latency(&self, now_us: u64) -> f64 {
        let Some(mean_us) = self.latency_us else {
            return LATENCY_FIRST_US;
        };
        let age_us = now_us.saturating_sub(self.latency_at_us) as f64;
        let faded_us = mean_us * LATENCY_FADE_SHARE.powf(age_us / LATENCY_FADE_US);
        faded_us.max(LATENCY_FIRST_US.min(mean_us))
    }
}
