//! Remembers which starts of the target announced that they are leaving.

use macro_rules_attribute::apply;

use super::Announcement;
use crate::derives::message;
use crate::ids::InstanceId;
use crate::sorted::SortedMap;

/// The maximum number of instances that are remembered; the oldest departure is forgotten first.
const INSTANCES_MAX: usize = 256;

/// How long after a departure of an unknown start all reports of the instance are ignored. Reports
/// may be late by seconds, and a target runs on for some seconds after its departure.
const UNKNOWN_START_HOLD_US: u64 = 30_000_000;

/// A departure of a start of the target.
#[apply(message!)]
pub struct Departure {
    /// The instance that left.
    pub instance: InstanceId,
    /// The time of the start that left; `None` if it is unknown which start that was.
    pub started_at_ms: Option<u64>,
}

/// The departures of one instance, which may have had several starts.
struct InstanceDepartures {
    /// The latest start that departed, if its start time is known.
    last_started_at_ms: Option<u64>,
    /// Until when every start of the instance counts as departed, because a departure gave no start
    /// time and the start was not known.
    hold_until_us: u64,
    recorded_us: u64,
}

impl InstanceDepartures {
    /// Records a departure; returns whether it was not known yet.
    fn record(&mut self, now_us: u64, started_at_ms: Option<u64>) -> bool {
        self.recorded_us = now_us;
        if started_at_ms.is_none() {
            let was_held = self.is_held(now_us);
            self.hold_until_us = now_us + UNKNOWN_START_HOLD_US;
            return !was_held;
        }
        let is_new = started_at_ms > self.last_started_at_ms;
        self.last_started_at_ms = self.last_started_at_ms.max(started_at_ms);
        is_new
    }

    fn is_held(&self, now_us: u64) -> bool {
        now_us < self.hold_until_us
    }

    /// Returns the start times of the departures; `None` stands for an unknown start.
    fn starts(&self, now_us: u64) -> Vec<Option<u64>> {
        let mut starts = Vec::new();
        if self.last_started_at_ms.is_some() {
            starts.push(self.last_started_at_ms);
        }
        if self.is_held(now_us) {
            starts.push(None);
        }
        starts
    }
}

/// The starts of the target that announced that they are leaving.
///
/// A departure is never revoked: it applies to its start, to all earlier starts of the instance,
/// and to reports of the instance that give no start time.
#[derive(Default)]
pub struct Departures {
    instances: SortedMap<InstanceId, InstanceDepartures>,
    revision: u64,
}

impl Departures {
    /// Records that a start of an instance is leaving; `started_at_ms` is `None` if it is unknown
    /// which start that is.
    pub fn record(&mut self, now_us: u64, instance: &InstanceId, started_at_ms: Option<u64>) {
        let departed = self
            .instances
            .get_or_insert_with(instance.clone(), || InstanceDepartures {
                last_started_at_ms: None,
                hold_until_us: 0,
                recorded_us: now_us,
            });
        if departed.record(now_us, started_at_ms) {
            self.revision += 1;
        }
        if self.instances.len() > INSTANCES_MAX {
            self.forget_oldest();
        }
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

    /// Returns a number that grows with each departure that was not recorded before.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the departures of the `instances_max` instances that left last.
    pub fn latest(&self, now_us: u64, instances_max: usize) -> Vec<Departure> {
        let mut latest: Vec<_> = self.instances.iter().collect();
        latest.sort_by_key(|(_, departed)| std::cmp::Reverse(departed.recorded_us));
        latest.truncate(instances_max);
        let mut departures = Vec::new();
        for (instance, departed) in latest {
            for started_at_ms in departed.starts(now_us) {
                departures.push(Departure {
                    instance: instance.clone(),
                    started_at_ms,
                });
            }
        }
        departures
    }

    /// Returns whether a report may come from a start that is leaving; `started_at_ms` is `None` if
    /// the report gives no start time.
    pub fn cover(&self, now_us: u64, instance: &InstanceId, started_at_ms: Option<u64>) -> bool {
        let Some(departed) = self.instances.get(instance) else {
            return false;
        };
        let Some(started_at_ms) = started_at_ms else {
            return true;
        };
        departed.is_held(now_us) || departed.last_started_at_ms >= Some(started_at_ms)
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .instances
            .iter()
            .min_by_key(|(_, departed)| departed.recorded_us)
            .map(|(instance, _)| instance.clone());
        if let Some(instance) = oldest {
            self.instances.remove(&instance);
        }
    }
}
