//! The bound of a quota, and requests of an organisation.

#![allow(dead_code)]

use dragonflylug::ids::{OrganisationName, Priority};
use dragonflylug::organisations::{KeyDigest, Organisation, Organisations, Principal, Quota};

pub const SECOND_US: u64 = 1_000_000;

/// The window, the overage and the slack of the invariant.
pub const WINDOW_US: u64 = 5 * SECOND_US;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

pub const ORGANISATION: &str = "harbour";
pub const KEY: &str = "harbour-key";

/// Returns the number of requests that may run in one window.
pub fn bound(quota: Quota) -> usize {
    let window_s = WINDOW_US as f64 / SECOND_US as f64;
    let requests = (quota.rate_per_s * window_s + quota.burst) * (1.0 + OVERAGE) + SLACK;
    requests as usize
}

/// Returns the greatest number of runs in any window; the times need no order.
pub fn most_in_a_window(mut times_us: Vec<u64>) -> usize {
    times_us.sort_unstable();
    let mut most = 0;
    let mut first = 0;
    for (index, time_us) in times_us.iter().enumerate() {
        while times_us[first] + WINDOW_US < *time_us {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// Creates the only organisation, with a quota.
pub fn organisations(keys: &[&str], quota: Quota) -> Organisations {
    let organisation = Organisation {
        name: ORGANISATION.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        importance: None,
        quota: Some(quota),
    };
    Organisations::new(vec![organisation]).expect("the organisation is valid")
}

/// Returns the sender of requests of the organisation.
pub fn principal() -> Principal {
    Principal {
        organisation: OrganisationName::from(ORGANISATION),
        key: KeyDigest::of(KEY),
    }
}

/// The priority of requests where it does not matter.
pub const PRIORITY: Priority = Priority::Normal;
