//! Traffic split: divides a route's requests among services in proportion to their weights.

use rand::RngExt;

use super::{Route, WeightedService};
use crate::ids::{RouteName, ServiceName};
use crate::sorted::SortedMap;

/// The step of a low-discrepancy sequence from 0 to 1: the fractional part of the golden ratio.
const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_749_895;

/// The position of each route in its sequence.
#[derive(Default)]
pub(super) struct TrafficSplits {
    positions: SortedMap<RouteName, f64>,
}

impl TrafficSplits {
    /// Picks the service that handles the route's next request; `None` if the route has none.
    ///
    /// The sequence of each route starts at a random position.
    pub(super) fn pick(&mut self, route: &Route, rng: &mut impl RngExt) -> Option<ServiceName> {
        if let [only] = route.split.as_slice() {
            return Some(only.service.clone());
        }
        let start = || rng.random_range(0.0..1.0);
        let position = self.positions.get_or_insert_with(route.name.clone(), start);
        *position = (*position + GOLDEN_RATIO_STEP).fract();
        service_at(&route.split, *position)
    }
}

/// Returns the service at a position from 0 to 1 along the cumulative weights.
fn service_at(split: &[WeightedService], position: f64) -> Option<ServiceName> {
    let mut weight_sum = 0;
    for weighted in split {
        weight_sum += u64::from(weighted.weight);
    }
    let mut remaining = position * weight_sum as f64;
    for weighted in split {
        remaining -= f64::from(weighted.weight);
        if remaining < 0.0 {
            return Some(weighted.service.clone());
        }
    }
    split.last().map(|weighted| weighted.service.clone())
}
