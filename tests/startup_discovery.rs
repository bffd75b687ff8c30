//! Daemons that start at the same moment in several zones find each other in seconds.

#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;

use dragonflylug::membership::{self, Membership, MembershipSettings};
use dragonflylug::settings::Settings;
use network::Network;
use nodes::{NodePlan, add_sidecar};

const ZONES: [&str; 4] = ["zone-1", "zone-2", "zone-3", "zone-4"];
const DAEMONS: u16 = 17;
const SECOND_US: u64 = 1_000_000;
/// The time from a start to the first calls.
const MET_WITHIN_US: u64 = 3 * SECOND_US;
/// A group of this size is known to each of its members before others are.
const CONTACTS_MAX: u32 = 1;

/// Starts all daemons while the table is slow and returns the fewest members that one knows.
fn fewest_known(all_rows_max: u32) -> usize {
    let settings = Settings {
        membership: MembershipSettings {
            all_rows_max,
            contacts_max: CONTACTS_MAX,
            sync_period_ms: 3_600_000,
            ..MembershipSettings::default()
        },
        ..Settings::default()
    };
    let mut network = Network::new(500);
    for number in 0..DAEMONS {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let plan = NodePlan {
            number: 1 + number,
            zone,
            service: Some("bookings"),
            slots: 17,
        };
        add_sidecar(&mut network, &settings, &plan);
    }
    network.run_until(MET_WITHIN_US);
    let mut fewest = usize::MAX;
    for node in 0..network.nodes.len() {
        let kernel = &mut network.nodes[node].kernel;
        let membership: &mut Membership = kernel.find(membership::NAME).unwrap();
        fewest = fewest.min(membership.len());
    }
    fewest
}

#[test]
fn all_meet_before_the_first_calls() {
    assert_eq!(fewest_known(500), usize::from(DAEMONS));
}

#[test]
fn without_a_read_of_all_rows_some_stay_apart() {
    let fewest = fewest_known(0);
    assert!(fewest < usize::from(DAEMONS), "{fewest}");
}
