//! The counters and latency histograms of a daemon.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::ServiceName;
use crate::verdict::{DoubtReason, RefusalReason};

/// The name and label that identify a counter. A [`MetricSink`] holds its value, which only grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Counter {
    /// The metric's name without prefix.
    pub name: &'static str,
    /// The label, if the metric has one.
    pub label: Option<Label>,
}

/// A label of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Label {
    /// The label's name.
    pub name: &'static str,
    /// The label's value.
    pub value: &'static str,
}

/// Why a request was sent to a guard again.
#[apply(value!)]
pub enum RetryReason {
    /// The guard refused and another target may accept the request.
    Refused,
    /// The target itself refused; the request counts as an arrival at that target.
    TargetRefused,
    /// The target is leaving and the request was forwarded to another; up to a limit, this spends
    /// no retry.
    Forwarded,
    /// No connection to the guard could be made.
    Unreachable,
    /// The connection was lost and the request is idempotent.
    ConnectionLost,
    /// The target ended and the request is idempotent.
    TargetEnded,
    /// The answer was truncated or altered and the request is idempotent.
    BrokenAnswer,
    /// The answer was slow and a hedge was sent.
    Hedge,
    /// The kept answer is requested again from the daemon that stores it; nothing runs twice.
    KeptAnswer,
}

impl RetryReason {
    /// Returns whether the request may have been sent, but its answer was lost or damaged on the
    /// way, so that the fault may lie with the link instead of the target.
    pub fn is_answer_lost(self) -> bool {
        matches!(
            self,
            Self::ConnectionLost | Self::TargetEnded | Self::BrokenAnswer
        )
    }

    /// Returns whether the failed attempt reached no target. `KeptAnswer` does not count: it
    /// follows an attempt that may have run.
    pub fn reached_no_target(self) -> bool {
        matches!(self, Self::Refused | Self::Unreachable | Self::Forwarded)
    }

    /// Returns the code used in metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::TargetRefused => "target_refused",
            Self::Forwarded => "handed_on",
            Self::Unreachable => "unreachable",
            Self::ConnectionLost => "connection_lost",
            Self::TargetEnded => "target_ended",
            Self::BrokenAnswer => "broken_answer",
            Self::Hedge => "hedge",
            Self::KeptAnswer => "kept_answer",
        }
    }
}

impl Counter {
    /// Creates a counter without a label.
    pub const fn unlabelled(name: &'static str) -> Self {
        Self { name, label: None }
    }

    /// Creates a counter with a label.
    pub const fn labelled(name: &'static str, label: &'static str, value: &'static str) -> Self {
        Self {
            name,
            label: Some(Label { name: label, value }),
        }
    }

    /// Creates the counter of refusals for a reason.
    pub fn refusal(reason: RefusalReason) -> Self {
        Self::labelled("refusals", "reason", reason.code())
    }

    /// Creates the counter of unknown outcomes for a reason.
    pub fn doubt(reason: DoubtReason) -> Self {
        Self::labelled("doubts", "reason", reason.code())
    }

    /// Creates the counter of refusals by a guard for a reason.
    pub fn guard_refusal(reason: RefusalReason) -> Self {
        Self::labelled("guard_refusals", "reason", reason.code())
    }

    /// Creates the counter of unknown outcomes at a guard for a reason.
    pub fn guard_doubt(reason: DoubtReason) -> Self {
        Self::labelled("guard_doubts", "reason", reason.code())
    }

    /// Creates the counter of retries for a reason.
    pub fn retry(reason: RetryReason) -> Self {
        Self::labelled("retries", "reason", reason.code())
    }
}

/// A latency that is recorded in a histogram for each service.
#[apply(value!)]
pub enum Latency {
    /// From a call's arrival at the entry daemon to the reply.
    Call,
    /// From a request's arrival at the guard to its start at the target.
    Queue,
    /// From a request's start at the target to its answer.
    Target,
}

impl Latency {
    /// Returns the metric's name without prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Call => "call_latency_ms",
            Self::Queue => "queue_wait_ms",
            Self::Target => "target_latency_ms",
        }
    }
}

/// A value that rises and falls.
#[apply(value!)]
pub enum Gauge {
    /// The rate limit of the target beside the daemon, in requests per second; infinite without one.
    TargetRateLimit,
    /// The concurrency limit of the target beside the daemon; set with the limit policy `learned`.
    TargetConcurrencyLimit,
}

impl Gauge {
    /// Returns the metric's name without prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::TargetRateLimit => "target_rate_limit_per_s",
            Self::TargetConcurrencyLimit => "target_concurrency_limit",
        }
    }
}

/// A sink for counters, gauges and latencies.
pub trait MetricSink: Send + Sync {
    /// Adds to a counter.
    fn add(&self, counter: Counter, by: u64);

    /// Sets a gauge.
    fn set(&self, gauge: Gauge, value: f64);

    /// Records a latency of a service in its histogram.
    fn observe(&self, latency: Latency, service: &ServiceName, ms: u64);
}
