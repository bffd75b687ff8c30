//! Counters, by name and one label.

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::ServiceName;
use crate::verdict::{DoubtReason, RefusalReason};

/// A counter that only grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Counter {
    /// The metric's name without prefix.
    pub name: &'static str,
    /// The label, where the metric has one.
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

/// Why a request was tried again.
#[apply(value!)]
pub enum RetryReason {
    /// The guard refused and another target may take the request.
    Refused,
    /// The target itself refused; it counts as an arrival there.
    TargetRefused,
    /// The target is leaving; this spends no retry.
    Forwarded,
    /// No connection to the guard could be made.
    Unreachable,
    /// The connection was lost and the request is idempotent.
    ConnectionLost,
    /// The answer was cut or altered and the request is idempotent.
    BrokenAnswer,
    /// A slow answer was hedged.
    Hedge,
    /// The answer is asked again from the daemon that keeps it; nothing runs twice.
    KeptAnswer,
}

impl RetryReason {
    /// Says whether the link failed, and not the target.
    pub fn is_link_failure(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::BrokenAnswer)
    }

    /// Says whether the request reached no target.
    pub fn is_without_arrival(self) -> bool {
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
            Self::BrokenAnswer => "broken_answer",
            Self::Hedge => "hedge",
            Self::KeptAnswer => "kept_answer",
        }
    }
}

impl Counter {
    /// Makes a counter without a label.
    pub const fn unlabelled(name: &'static str) -> Self {
        Self { name, label: None }
    }

    /// Makes a counter with a label.
    pub const fn labelled(name: &'static str, label: &'static str, value: &'static str) -> Self {
        Self {
            name,
            label: Some(Label { name: label, value }),
        }
    }

    /// Counts a refusal by its reason.
    pub fn refusal(reason: RefusalReason) -> Self {
        Self::labelled("refusals", "reason", reason.code())
    }

    /// Counts an outcome that is not known, by its reason.
    pub fn doubt(reason: DoubtReason) -> Self {
        Self::labelled("doubts", "reason", reason.code())
    }

    /// Counts a guard's refusal by its reason.
    pub fn guard_refusal(reason: RefusalReason) -> Self {
        Self::labelled("guard_refusals", "reason", reason.code())
    }

    /// Counts an outcome that a guard does not know, by its reason.
    pub fn guard_doubt(reason: DoubtReason) -> Self {
        Self::labelled("guard_doubts", "reason", reason.code())
    }

    /// Counts a further try by its reason.
    pub fn retry(reason: RetryReason) -> Self {
        Self::labelled("retries", "reason", reason.code())
    }
}

/// A latency that is kept as a histogram, by service.
#[apply(value!)]
pub enum Latency {
    /// From a call's arrival at the entry daemon to the reply.
    Call,
    /// From a request's arrival at the guard to its start at the target.
    Queue,
    /// From its start at the target to its answer.
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

/// A place that counters are added to.
pub trait MetricSink: Send + Sync {
    /// Adds to a counter.
    fn add(&self, counter: Counter, by: u64);

    /// Adds a latency of a service to its histogram.
    fn observe(&self, latency: Latency, service: &ServiceName, ms: u64);
}
