//! The expected response time of a request at a target, for
//! [`Placement::ExpectedTime`](super::Placement::ExpectedTime).
//!
//! The queue counts before it forms, since the reports that it is estimated from are older than the
//! latest arrivals.

use super::target::Target;
use crate::ids::WorkKind;

/// The time in the queue when all slots are in use, in service times. It includes the delay that the
/// request causes to those after it.
const FULL_QUEUE_SERVICE_TIMES: f64 = 3.0;
/// The ratio of a target's service time to the usual one above which the target counts as slow, so
/// that other zones are used.
const SLOW_FACTOR: f64 = 2.0;
/// The time without an answer, in service times, after which a target counts as stalled.
const STALL_SERVICE_TIMES: f64 = 3.0;
/// The age of a report, in service times, after which 1/e is left of the difference between the
/// reported number of requests and the mean of the reported ones.
const REPORT_MEMORY_SERVICE_TIMES: f64 = 0.25;
/// The time in which a reported queue halves without a new report, so that a target that was full is
/// used again.
const QUEUE_HALF_LIFE_US: f64 = 2_000_000.0;
/// The maximum age of a report in [`ExpectedTime::feedback_delay_us`].
const REPORT_AGE_MAX_US: f64 = 1_000_000.0;

/// Which estimate of the number of requests at a target is used.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadEstimate {
    /// The latest reported number.
    Latest,
    /// A number that approaches the mean of the reported ones with the age of the latest report.
    /// Targets of a zone are compared by it, since the lower of two old reports is often outdated.
    Smoothed,
}

/// The parts of the expected response time at a target.
pub(super) struct ExpectedTime {
    service_us: f64,
    /// The service time that is expected of any target.
    usual_us: f64,
    /// The time in the queue, until the rate limit allows the request, and until a stalled target
    /// goes on.
    wait_us: f64,
    distance_us: f64,
    failure_factor: f64,
    /// The exponent of the occupancy in the time in the queue.
    exponent: f64,
    report_age_us: f64,
}

impl ExpectedTime {
    /// Computes the expected time of one more request of a kind of work whose mean service time at
    /// all targets is `typical_us`.
    pub(super) fn new(
        target: &Target,
        now_us: u64,
        kind: WorkKind,
        typical_us: Option<f64>,
        distance_us: f64,
        estimate: LoadEstimate,
    ) -> Self {
        let service_us = target.kind_time_us(now_us, kind, typical_us).max(1.0);
        let limit = f64::from(target.limit().max(1));
        let exponent = queue_exponent(limit);
        let occupancy = expected_requests(target, now_us, limit, service_us, estimate) / limit;
        let queue_us = service_us * queue_service_times(occupancy, exponent);
        let rate_wait_us = target.rate_wait_us(now_us) as f64;
        Self {
            service_us,
            usual_us: typical_us.unwrap_or(service_us).max(1.0),
            wait_us: queue_us + rate_wait_us + overdue_us(target, now_us, service_us),
            distance_us,
            failure_factor: target.failure_factor(now_us),
            exponent,
            report_age_us: target.report_age_us(now_us),
        }
    }

    /// Returns the whole response time, by which the targets of a zone are compared.
    pub(super) fn response_us(&self) -> f64 {
        (self.service_us + self.wait_us + self.distance_us) * self.failure_factor
    }

    /// Returns the time that an idle target in the own zone would save, by which zones are compared.
    /// Ordinary differences in speed are no reason to use another zone.
    pub(super) fn delay_us(&self) -> f64 {
        let slow_us = (self.service_us - SLOW_FACTOR * self.usual_us).max(0.0);
        let failures_us = self.service_us * (self.failure_factor - 1.0);
        self.wait_us + slow_us + self.distance_us + failures_us
    }

    /// Returns the share of the limit in use at which a target of the own zone with the usual
    /// service time has the same delay.
    pub(super) fn equivalent_occupancy(&self) -> f64 {
        let full_us = FULL_QUEUE_SERVICE_TIMES * self.usual_us;
        (self.delay_us() / full_us).powf(1.0 / self.exponent)
    }

    /// Returns by how much the occupancy usually differs from the reported one.
    pub(super) fn occupancy_spread(&self) -> f64 {
        1.0 / self.exponent
    }

    /// Returns the time after which a change in the sent requests shows in the reports.
    pub(super) fn feedback_delay_us(&self) -> f64 {
        self.service_us + self.report_age_us.min(REPORT_AGE_MAX_US)
    }
}

/// Returns the expected number of requests at the target after one more.
fn expected_requests(
    target: &Target,
    now_us: u64,
    limit: f64,
    service_us: f64,
    estimate: LoadEstimate,
) -> f64 {
    let sent = f64::from(target.sent_since_report());
    let Some(reported) = target.reported_requests() else {
        // Until the first report, one request at a time shows how fast the target is.
        return sent * limit;
    };
    let age_us = target.report_age_us(now_us);
    let requests = match estimate {
        LoadEstimate::Latest => reported.latest,
        LoadEstimate::Smoothed => {
            let kept = (-age_us / (REPORT_MEMORY_SERVICE_TIMES * service_us)).exp();
            reported.mean + (reported.latest - reported.mean) * kept
        }
    };
    let queued = (requests - limit).max(0.0);
    let queued_kept = match queued > 0.0 {
        true => queued * 0.5_f64.powf(age_us / QUEUE_HALF_LIFE_US),
        false => 0.0,
    };
    requests.min(limit) + queued_kept + sent + 1.0
}

/// Returns the exponent of the occupancy in the mean queue length of a system with as many servers
/// and random arrivals, by Sakasegawa's approximation.
fn queue_exponent(limit: f64) -> f64 {
    (2.0 * (limit + 1.0)).sqrt()
}

/// Returns the time in the queue, in service times.
fn queue_service_times(occupancy: f64, exponent: f64) -> f64 {
    let before_full = occupancy.min(1.0).powf(exponent);
    let queued = exponent * (occupancy - 1.0).max(0.0);
    FULL_QUEUE_SERVICE_TIMES * (before_full + queued)
}

/// Returns for how long an answer to this daemon is overdue, in microseconds.
fn overdue_us(target: &Target, now_us: u64, service_us: f64) -> f64 {
    let Some(silent_us) = target.silent_us(now_us) else {
        return 0.0;
    };
    let usual_us = service_us.max(target.decayed_latency_us(now_us));
    (silent_us as f64 - STALL_SERVICE_TIMES * usual_us).max(0.0)
}
