//! Daemons that start at the same moment in several availability zones discover each other within
//! seconds.

#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;

use dragonflylug::membership::{self, Membership, MembershipSettings};
use dragonflylug::settings::Settings;
use network::Network;
use nodes::{NodeSpec, add_node_with_routes};

const ZONES: [&str; 4] = ["zone-1", "zone-2", "zone-3", "zone-4"];
const DAEMONS: u16 = 17;
const SECOND_US: u64 = 1_000_000;
/// The time from the start of the daemons within which all must discover each other, since the
/// first calls may arrive then.
const DISCOVERY_MAX_US: u64 = 3 * SECOND_US;
/// The maximum number of table rows that a daemon reads for its first contacts; with so few,
/// daemons first form small groups whose members know only each other.
const CONTACTS_MAX: u32 = 1;

/// Starts all daemons at the same moment and returns the smallest number of members that any of
/// them has in its roster after that time.
fn min_members_known(all_rows_max: u32) -> usize {
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
        let spec = NodeSpec {
            number: 1 + number,
            zone,
            service: Some("bookings"),
            slots: 17,
        };
        add_node_with_routes(&mut network, &settings, &spec);
    }
    network.run_until(DISCOVERY_MAX_US);
    let mut min_members = usize::MAX;
    for node in 0..network.nodes.len() {
        let kernel = &mut network.nodes[node].kernel;
        let membership: &mut Membership = kernel.find(membership::NAME).unwrap();
        min_members = min_members.min(membership.len());
    }
    min_members
}

#[test]
fn all_daemons_discover_each_other_within_three_seconds() {
    assert_eq!(min_members_known(500), usize::from(DAEMONS));
}

#[test]
fn some_daemons_stay_undiscovered_without_a_read_of_all_rows() {
    let min_members = min_members_known(0);
    assert!(min_members < usize::from(DAEMONS), "{min_members}");
}
