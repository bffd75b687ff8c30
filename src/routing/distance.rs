//! The network distance to each availability zone, as this daemon measures it.

use crate::ids::AvailabilityZone;

/// The extra round-trip time that is assumed for another zone without a measurement.
const DISTANCE_INITIAL_US: f64 = 1_000.0;
/// The maximum of a sample, and thereby of the mean.
const DISTANCE_MAX_US: f64 = 30_000.0;
/// The weight of a new sample in the mean distance.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The mean round-trip time to each availability zone without the time at the guard.
pub(super) struct Distances {
    zones: Vec<ZoneDistance>,
}

struct ZoneDistance {
    zone: AvailabilityZone,
    /// `None` without a measurement.
    mean_us: Option<f64>,
}

/// The index of a zone in [`Distances`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct ZoneIndex(usize);

impl ZoneIndex {
    /// The zone of the daemon itself.
    const OWN: Self = Self(0);

    /// Returns whether this is not the daemon's own zone.
    pub(super) fn is_other(self) -> bool {
        self != Self::OWN
    }
}

impl Distances {
    pub(super) fn new(own_zone: AvailabilityZone) -> Self {
        let own = ZoneDistance {
            zone: own_zone,
            mean_us: Some(0.0),
        };
        Self { zones: vec![own] }
    }

    /// Returns the index of a zone, which is added if it is not known yet.
    pub(super) fn index_of(&mut self, zone: &AvailabilityZone) -> ZoneIndex {
        if let Some(index) = self.zones.iter().position(|other| other.zone == *zone) {
            return ZoneIndex(index);
        }
        self.zones.push(ZoneDistance {
            zone: zone.clone(),
            mean_us: None,
        });
        ZoneIndex(self.zones.len() - 1)
    }

    /// Records the time from sending a request to its response, without the time at the guard.
    pub(super) fn record(&mut self, index: ZoneIndex, network_us: u64) {
        let sample_us = (network_us as f64).min(DISTANCE_MAX_US);
        let mean_us = &mut self.zones[index.0].mean_us;
        let before_us = mean_us.unwrap_or(sample_us);
        *mean_us = Some(before_us + SAMPLE_WEIGHT * (sample_us - before_us));
    }

    /// Returns how much longer a round trip to a zone takes than one within the own zone, in
    /// microseconds.
    pub(super) fn extra_us(&self, index: ZoneIndex) -> f64 {
        if index == ZoneIndex::OWN {
            return 0.0;
        }
        let own_us = self.zones[0].mean_us.unwrap_or(0.0);
        match self.zones[index.0].mean_us {
            Some(mean_us) => (mean_us - own_us).max(0.0),
            None => DISTANCE_INITIAL_US,
        }
    }

    /// Returns the least extra round-trip time to another zone in microseconds; infinite if there
    /// is none.
    pub(super) fn least_extra_us(&self) -> f64 {
        let mut least_us = f64::INFINITY;
        for index in 1..self.zones.len() {
            least_us = least_us.min(self.extra_us(ZoneIndex(index)));
        }
        least_us
    }
}
