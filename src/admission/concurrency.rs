//! The interface of a concurrency limit, and what selects one.

use macro_rules_attribute::apply;

use super::learned::LearnedLimit;
use super::limit::TrialLimit;
use super::{AdmissionSettings, CallOutcome};
use crate::derives::value;
use crate::ids::WorkKind;

/// The maximum number of slots that is accepted from a target; a larger announcement is capped.
pub(super) const SLOTS_MAX: u32 = 1_000_000;

/// How the concurrency limit of a target is found.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
#[derive(Default)]
pub enum LimitPolicy {
    /// All usable slots, and a trial of 80 percent when the target appears congested.
    #[default]
    Trial,
    /// The concurrency with the highest goodput within deadlines, learned from all calls.
    Learned,
}

/// A call that ended at the target.
#[apply(value!)]
pub(super) struct EndedCall {
    pub(super) kind: WorkKind,
    pub(super) started_us: u64,
    pub(super) deadline_us: u64,
    /// The number of calls at the target when it started, itself included.
    pub(super) concurrency: u32,
    pub(super) outcome: CallOutcome,
    /// Whether the limit was reached when it ended.
    pub(super) is_saturated: bool,
    /// Whether it may have waited for calls that the target itself made.
    pub(super) has_child_calls: bool,
}

/// A limit on the number of concurrent calls at a target, at most the slots that may be used.
pub(super) trait ConcurrencyLimit: Send {
    /// Sets the number of slots that may be used; 0 if the target is not ready.
    fn set_slots(&mut self, now_us: u64, slots: u32);

    /// Returns the limit on the calls that start now.
    fn current(&self) -> u32;

    /// Returns the limit for load reports, the gauge and estimates of waits: the current one, or
    /// for a limit with short trials the one outside them.
    fn settled(&self) -> u32 {
        self.current()
    }

    /// Records that a call starts; `concurrency` is the number of calls at the target with it.
    fn record_start(&mut self, now_us: u64, concurrency: u32);

    /// Records that a call ended.
    fn record_end(&mut self, now_us: u64, call: EndedCall);
}

/// Creates the limit that the settings select, for a target without slots.
pub(super) fn new_limit(settings: &AdmissionSettings) -> Box<dyn ConcurrencyLimit> {
    match settings.limit_policy {
        LimitPolicy::Trial => Box::new(TrialLimit::new(
            settings.limit_min,
            settings.tries_lower_limit,
        )),
        LimitPolicy::Learned => Box::new(LearnedLimit::new(settings.limit_min)),
    }
}
