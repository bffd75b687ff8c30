//! Tracks what the current start of the target has said of itself in its answers.

use macro_rules_attribute::apply;

use super::Announcement;
use super::signals::{AnswerSignals, RateLimitSignal, RequestRate};
use crate::derives::{message, value};
use crate::ids::InstanceId;

/// What is known of the rate that a target accepts.
#[apply(value!)]
#[derive(Default)]
pub enum RateLimitState {
    /// No answer was conclusive yet.
    #[default]
    Unknown,
    /// It names no limit.
    Unlimited,
    /// It accepts this rate from all daemons together.
    Limited(RequestRate),
}

impl RateLimitState {
    /// Returns the limit, if there is one.
    fn limit(self) -> Option<RequestRate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unknown | Self::Unlimited => None,
        }
    }

    /// Returns whether the target is not known to accept only this rate or less.
    fn is_above(self, rate: RequestRate) -> bool {
        match self {
            Self::Limited(known) => known > rate,
            Self::Unknown | Self::Unlimited => true,
        }
    }
}

/// A start of a target.
#[apply(message!)]
#[derive(Default)]
pub struct TargetStart {
    /// The instance, if the target gives one.
    pub instance: Option<InstanceId>,
    /// The time of the start on the target's clock; `None` if it is not known.
    pub started_at_ms: Option<u64>,
}

impl TargetStart {
    /// Returns whether both may be the same start: an unknown start time matches each.
    pub fn may_be(&self, other: &Self) -> bool {
        let is_same_time = match (self.started_at_ms, other.started_at_ms) {
            (Some(own_ms), Some(other_ms)) => own_ms == other_ms,
            _ => true,
        };
        self.instance == other.instance && is_same_time
    }
}

/// What a start of a target has said of itself in its answers.
#[apply(message!)]
#[derive(Default)]
pub struct TargetCondition {
    /// The start.
    pub start: TargetStart,
    /// The rate that it accepts.
    pub rate_limit: RateLimitState,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Orders the conditions that one daemon reports; grows with each change.
    pub revision: u64,
}

impl TargetCondition {
    /// Returns whether the target neither names a rate limit nor leaves.
    pub fn is_ordinary(&self) -> bool {
        !self.is_leaving && !matches!(self.rate_limit, RateLimitState::Limited(_))
    }

    /// Adds what an earlier report of the same start said and this one does not know.
    pub fn add_unknown_from(&mut self, earlier: &Self) {
        self.is_leaving |= earlier.is_leaving;
        if self.rate_limit == RateLimitState::Unknown {
            self.rate_limit = earlier.rate_limit;
        }
    }
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConditionChange {
    /// Whether the known rate limit is another one.
    pub is_rate_limit_changed: bool,
    /// Whether the target was not known to be leaving.
    pub has_begun_to_leave: bool,
}

/// Tracks the condition of the current start from answers that may overtake each other.
#[derive(Default)]
pub struct ConditionTracker {
    condition: TargetCondition,
    /// Since when the start is the current one.
    since_us: u64,
    /// Whether an answer to this daemon said what the rate limit is.
    is_rate_observed: bool,
    /// When the latest answer that named a limit arrived.
    limited_at_us: u64,
}

impl ConditionTracker {
    /// Returns what is known of the current start.
    pub fn condition(&self) -> &TargetCondition {
        &self.condition
    }

    /// Records an announcement; nothing that a former start said applies to another one.
    pub fn record_announcement(&mut self, now_us: u64, announcement: &Announcement) {
        let start = TargetStart {
            instance: announcement.instance.clone(),
            started_at_ms: announcement.started_at_ms,
        };
        if self.is_other_start(&start, announcement.is_draining) {
            self.begin_start(now_us);
        }
        let started_at_ms = start.started_at_ms.or(self.condition.start.started_at_ms);
        self.condition.start = TargetStart {
            started_at_ms,
            ..start
        };
    }

    /// Returns whether a start is certainly not the current one. A start whose time was not known and
    /// that left is not the one that is announced as ready, as a departure is never taken back.
    fn is_other_start(&self, start: &TargetStart, is_draining: bool) -> bool {
        let current = &self.condition.start;
        let is_later_start = current.started_at_ms.is_none() && start.started_at_ms.is_some();
        let has_left = self.condition.is_leaving && !is_draining;
        !current.may_be(start) || (is_later_start && has_left)
    }

    /// Records that the target stopped announcing itself. Without an identifier its next announcement
    /// cannot be told from that of another start, so nothing of this one is kept.
    pub fn record_silence(&mut self, now_us: u64) {
        if self.condition.start.instance.is_none() {
            self.begin_start(now_us);
        }
    }

    /// Forgets what the former start said.
    fn begin_start(&mut self, now_us: u64) {
        *self = Self {
            since_us: now_us,
            limited_at_us: now_us,
            is_rate_observed: false,
            condition: TargetCondition {
                revision: self.condition.revision + 1,
                ..TargetCondition::default()
            },
        };
    }

    /// Records what an answer to a request said that was sent at `sent_us`.
    ///
    /// An answer without a limit lifts one only if its request was sent after the latest answer that
    /// named a limit had arrived; an earlier one may have been overtaken.
    pub fn record_signals(
        &mut self,
        now_us: u64,
        sent_us: u64,
        signals: AnswerSignals,
    ) -> ConditionChange {
        if sent_us < self.since_us {
            return ConditionChange::default();
        }
        let before = self.condition.clone();
        match signals.rate_limit {
            RateLimitSignal::Limited(rate) => {
                self.limited_at_us = now_us;
                self.condition.rate_limit = RateLimitState::Limited(rate);
                self.is_rate_observed = true;
            }
            RateLimitSignal::Unlimited if sent_us > self.limited_at_us => {
                self.condition.rate_limit = RateLimitState::Unlimited;
                self.is_rate_observed = true;
            }
            _ => {}
        }
        self.condition.is_leaving |= signals.is_leaving;
        self.change_since(&before)
    }

    /// Records what another daemon was told of this start, unless an answer to this daemon said
    /// otherwise. Of several limits the lowest counts, as it is not known which one is the latest.
    pub fn inherit(&mut self, now_us: u64, known: &TargetCondition) -> ConditionChange {
        if !self.condition.start.may_be(&known.start) {
            return ConditionChange::default();
        }
        let before = self.condition.clone();
        if let RateLimitState::Limited(rate) = known.rate_limit
            && !self.is_rate_observed
            && self.condition.rate_limit.is_above(rate)
        {
            self.condition.rate_limit = RateLimitState::Limited(rate);
            self.limited_at_us = now_us;
        }
        if known.is_leaving {
            self.condition.is_leaving = true;
            let started_at_ms = self.condition.start.started_at_ms;
            self.condition.start.started_at_ms = started_at_ms.or(known.start.started_at_ms);
        }
        self.change_since(&before)
    }

    fn change_since(&mut self, before: &TargetCondition) -> ConditionChange {
        if *before != self.condition {
            self.condition.revision += 1;
        }
        ConditionChange {
            is_rate_limit_changed: before.rate_limit.limit() != self.condition.rate_limit.limit(),
            has_begun_to_leave: before.is_leaving != self.condition.is_leaving,
        }
    }
}
