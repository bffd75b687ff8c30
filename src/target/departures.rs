//! Remembers the starts of the target, and which of them announced that they are leaving.

use macro_rules_attribute::apply;

use super::Announcement;
use crate::derives::message;
use crate::ids::InstanceId;
use crate::sorted::SortedMap;

/// The maximum number of instances that are remembered; the one recorded first is forgotten first.
const INSTANCES_MAX: usize = 256;

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
struct InstanceRecord {
    /// The latest start that departed, if its start time is known.
    departed_start_ms: Option<u64>,
    /// The latest start that reported, also to a former process of the daemon.
    latest_start_ms: Option<u64>,
    /// Until when every start of the instance counts as departed, because a departure gave no start
    /// time and no start was known; `None` if there was no such departure.
    hold_until_us: Option<u64>,
    recorded_us: u64,
}

impl InstanceRecord {
    fn is_held(&self, now_us: u64) -> bool {
        self.hold_until_us.is_some_and(|until_us| now_us < until_us)
    }

    fn has_departed(&self) -> bool {
        self.departed_start_ms.is_some() || self.hold_until_us.is_some()
    }

    /// Records a departure; returns whether it was not known yet. Without a start time it is that of
    /// the latest start that is known; if there is none, all starts are held.
    fn record_departure(&mut self, now_us: u64, started_at_ms: Option<u64>) -> bool {
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
    fn merge(&mut self, now_us: u64, stored: &InstanceStarts) {
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

    fn starts(&self, now_us: u64, instance: &InstanceId) -> InstanceStarts {
        let until_us = self.hold_until_us.filter(|_| self.is_held(now_us));
        InstanceStarts {
            instance: instance.clone(),
            departed_start_ms: self.departed_start_ms,
            latest_start_ms: self.latest_start_ms,
            hold_left_us: until_us.map(|until_us| until_us - now_us),
        }
    }
}

/// The starts of the target, and which of them announced that they are leaving.
///
/// A departure is never revoked: it applies to its start, to all earlier starts of the instance,
/// and to reports of the instance that give no start time.
#[derive(Default)]
pub struct Departures {
    instances: SortedMap<InstanceId, InstanceRecord>,
    revision: u64,
}

impl Departures {
    /// Records that a start of an instance is leaving; `started_at_ms` is `None` if it is unknown
    /// which start that is.
    pub fn record(&mut self, now_us: u64, instance: &InstanceId, started_at_ms: Option<u64>) {
        let record = self.record_of(now_us, instance);
        if record.record_departure(now_us, started_at_ms) {
            self.revision += 1;
        }
        self.forget_oldest();
    }

    /// Records that a start of an instance reported, so that a later departure without a start time
    /// is known to be of this start.
    pub fn record_start(&mut self, now_us: u64, instance: &InstanceId, started_at_ms: u64) {
        let record = self.record_of(now_us, instance);
        if Some(started_at_ms) > record.latest_start_ms {
            record.latest_start_ms = Some(started_at_ms);
            self.revision += 1;
        }
        self.forget_oldest();
    }

    /// Adds what a former process of the daemon stored.
    pub fn merge(&mut self, now_us: u64, stored: &InstanceStarts) {
        let record = self.record_of(now_us, &stored.instance);
        let before = record.starts(now_us, &stored.instance);
        record.merge(now_us, stored);
        if record.starts(now_us, &stored.instance) != before {
            self.revision += 1;
        }
        self.forget_oldest();
    }

    /// Ends the holds, because the target's process has ended: no start that left can be reached.
    /// Returns whether there was one.
    pub fn end_holds(&mut self, now_us: u64) -> bool {
        let has_hold = self.has_hold(now_us);
        for (_, record) in self.instances.iter_mut() {
            record.hold_until_us = record.hold_until_us.map(|until_us| until_us.min(now_us));
        }
        self.revision += u64::from(has_hold);
        has_hold
    }

    /// Returns whether all starts of an instance count as departed because an unknown one left.
    pub fn is_held(&self, now_us: u64, instance: &InstanceId) -> bool {
        let record = self.instances.get(instance);
        record.is_some_and(|record| record.is_held(now_us))
    }

    /// Returns whether all starts of any instance count as departed.
    pub fn has_hold(&self, now_us: u64) -> bool {
        self.instances.values().any(|record| record.is_held(now_us))
    }

    /// Returns whether an announcement counts, and records its instance if it drains. One that an
    /// instance is ready does not count after it drained; without an instance every one counts.
    pub fn accept(&mut self, now_us: u64, announcement: &Announcement) -> bool {
        let Some(instance) = &announcement.instance else {
            return true;
        };
        if announcement.is_draining {
            self.record(now_us, instance, None);
            return true;
        }
        !self.cover(now_us, instance, None)
    }

    /// Returns a number that grows with each start or departure that was not recorded before.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what is known of the `instances_max` instances that were recorded last, in the order of
    /// their identifiers.
    pub fn latest(&self, now_us: u64, instances_max: usize) -> Vec<InstanceStarts> {
        let mut latest: Vec<_> = self.instances.iter().collect();
        latest.sort_by_key(|(_, record)| std::cmp::Reverse(record.recorded_us));
        latest.truncate(instances_max);
        latest.sort_by_key(|(instance, _)| *instance);
        let mut starts = Vec::new();
        for (instance, record) in latest {
            starts.push(record.starts(now_us, instance));
        }
        starts
    }

    /// Returns whether a report may come from a start that is leaving; `started_at_ms` is `None` if
    /// the report gives no start time.
    pub fn cover(&self, now_us: u64, instance: &InstanceId, started_at_ms: Option<u64>) -> bool {
        let Some(record) = self.instances.get(instance) else {
            return false;
        };
        let Some(started_at_ms) = started_at_ms else {
            return record.has_departed();
        };
        record.is_held(now_us) || record.departed_start_ms >= Some(started_at_ms)
    }

    fn record_of(&mut self, now_us: u64, instance: &InstanceId) -> &mut InstanceRecord {
        let record = self
            .instances
            .get_or_insert_with(instance.clone(), InstanceRecord::default);
        record.recorded_us = now_us;
        record
    }

    /// Forgets the instance that was recorded first, if there are too many.
    fn forget_oldest(&mut self) {
        if self.instances.len() <= INSTANCES_MAX {
            return;
        }
        let oldest = self
            .instances
            .iter()
            .min_by_key(|(_, record)| record.recorded_us)
            .map(|(instance, _)| instance.clone());
        if let Some(instance) = oldest {
            self.instances.remove(&instance);
        }
    }
}
