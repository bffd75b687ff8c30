//! Remembers the starts of the target, and which of them announced that they are leaving.

use super::Announcement;
use super::instance_record::{InstanceRecord, InstanceStarts};
use crate::ids::InstanceId;
use crate::sorted::SortedMap;

/// The maximum number of instances that are remembered; the one recorded first is forgotten first.
const INSTANCES_MAX: usize = 256;

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

    /// Returns whether any start departed.
    pub fn has_any(&self) -> bool {
        self.instances.values().any(InstanceRecord::has_departed)
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
