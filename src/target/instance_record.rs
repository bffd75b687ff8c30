//! What is remembered of one instance of the target, which may have had several starts.

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::ids::InstanceId;

/// How long after a departure of an unknown start all reports of the instance are ignored, unless the
/// target's process is seen to have ended. Reports may be late by seconds, and a target runs on for
/// some seconds after its departure.
const UNKNOWN_START_HOLD_US: u64 = 30_000_000;

/// What is known of the starts of an instance.
#[apply(message!)]
pub struct InstanceStarts {
    /// The instance.
    pub instance: InstanceId,
    /// The latest start that left, if its start time is known.
    pub departed_start_ms: Option<u64>,
    /// The latest start that reported.
    pub latest_start_ms: Option<u64>,
    /// How much longer every start counts as departed, because an unknown start left.
    pub hold_left_us: Option<u64>,
}

impl InstanceStarts {
    /// Returns the departure of a start; `started_at_ms` is `None` if it is unknown which start it was.
    pub fn departed(instance: InstanceId, started_at_ms: Option<u64>) -> Self {
        Self {
            instance,
            departed_start_ms: started_at_ms,
            latest_start_ms: started_at_ms,
            hold_left_us: started_at_ms.is_none().then_some(UNKNOWN_START_HOLD_US),
        }
    }
}

/// The record of one instance, which may have had several starts.
#[derive(Default)]
pub(super) struct InstanceRecord {
    /// The latest start that departed, if its start time is known.
    pub(super) departed_start_ms: Option<u64>,
    /// The latest start that reported, also to a former process of the daemon.
    pub(super) latest_start_ms: Option<u64>,
    /// Until when every start of the instance counts as departed, because a departure gave no start
    /// time and no start was known; `None` if there was no such departure.
    pub(super) hold_until_us: Option<u64>,
    pub(super) recorded_us: u64,
}

impl InstanceRecord {
    pub(super) fn is_held(&self, now_us: u64) -> bool {
        self.hold_until_us.is_some_and(|until_us| now_us < until_us)
    }

    pub(super) fn has_departed(&self) -> bool {
        self.departed_start_ms.is_some() || self.hold_until_us.is_some()
    }

    /// Records a departure; returns whether it was not known yet. Without a start time it is that of
    /// the latest start that is known; if there is none, all starts are held.
    pub(super) fn record_departure(&mut self, now_us: u64, started_at_ms: Option<u64>) -> bool {
        let Some(started_at_ms) = started_at_ms.or(self.latest_start_ms) else {
            let was_held = self.is_held(now_us);
            self.hold_until_us = Some(now_us + UNKNOWN_START_HOLD_US);
            return !was_held;
        };
        let is_new = Some(started_at_ms) > self.departed_start_ms;
        self.departed_start_ms = self.departed_start_ms.max(Some(started_at_ms));
        self.latest_start_ms = self.latest_start_ms.max(self.departed_start_ms);
        is_new
    }

    /// Adds what a former process knew. Its latest start is the one whose departure gave no start time
    /// to this process, before any start had reported.
    pub(super) fn merge(&mut self, now_us: u64, stored: &InstanceStarts) {
        let is_hold_own = self.is_held(now_us);
        self.latest_start_ms = self.latest_start_ms.max(stored.latest_start_ms);
        self.departed_start_ms = self.departed_start_ms.max(stored.departed_start_ms);
        if is_hold_own && stored.latest_start_ms.is_some() {
            self.hold_until_us = None;
            self.departed_start_ms = self.departed_start_ms.max(stored.latest_start_ms);
        }
        if let Some(left_us) = stored.hold_left_us {
            let until_us = now_us + left_us.min(UNKNOWN_START_HOLD_US);
            self.hold_until_us = self.hold_until_us.max(Some(until_us));
        }
    }

    pub(super) fn starts(&self, now_us: u64, instance: &InstanceId) -> InstanceStarts {
        let until_us = self.hold_until_us.filter(|_| self.is_held(now_us));
        InstanceStarts {
            instance: instance.clone(),
            departed_start_ms: self.departed_start_ms,
            latest_start_ms: self.latest_start_ms,
            hold_left_us: until_us.map(|until_us| until_us - now_us),
        }
    }
}
