//! Remembers which starts of the target announced that they are leaving.

use crate::ids::InstanceId;
use crate::sorted::SortedMap;

/// The maximum number of instances that are remembered; the oldest departure is forgotten first.
const INSTANCES_MAX: usize = 256;

/// How long after a departure of an unknown start all reports of the instance are ignored. Reports
/// may be late by seconds, and a target runs on for some seconds after its departure.
const UNKNOWN_START_HOLD_US: u64 = 30_000_000;

/// The departures of one instance, which may have had several starts.
struct InstanceDepartures {
    /// The latest start that departed, if its start time is known.
    last_started_at_ms: Option<u64>,
    /// Until when every start of the instance counts as departed, because a departure gave no start
    /// time and the start was not known.
    hold_until_us: u64,
    recorded_us: u64,
}

/// The starts of the target that announced that they are leaving.
///
/// A departure is never revoked: it applies to its start, to all earlier starts of the instance,
/// and to reports of the instance that give no start time.
#[derive(Default)]
pub struct Departures {
    instances: SortedMap<InstanceId, InstanceDepartures>,
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
        departed.recorded_us = now_us;
        match started_at_ms {
            Some(_) => departed.last_started_at_ms = departed.last_started_at_ms.max(started_at_ms),
            None => departed.hold_until_us = now_us + UNKNOWN_START_HOLD_US,
        }
        if self.instances.len() > INSTANCES_MAX {
            self.forget_oldest();
        }
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
        let is_held = now_us < departed.hold_until_us;
        is_held || departed.last_started_at_ms >= Some(started_at_ms)
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
