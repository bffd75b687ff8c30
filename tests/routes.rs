//! Route tables: how requests are matched, the traffic split by weights, and the propagation of
//! versions; a node never goes back to a lower version.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use dragonflylug::routes::{self, Resolution, RouteUpdate, Routes};
use dragonflylug::settings::Settings;
use dragonflylug::table::{Epoch, RowVersion};
use network::Network;
use nodes::{CONVERGENCE_US, NodeSpec, add_node_with_routes};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routed::{route, route_table};

/// A host and path, and the name of the route that must match them.
struct MatchCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

fn check_match(case: MatchCase) {
    let table = route_table(
        1,
        vec![
            route("deep", "a.example", "/one/two/", &[("bookings", 1)]),
            route("shallow", "a.example", "/one/", &[("bookings", 1)]),
            route("root", "b.example", "/", &[("bookings", 1)]),
        ],
    );
    let found = table.find(case.host, case.path);
    let name = found.map(|route| route.name.as_str().to_string());
    assert_eq!(name.as_deref(), case.route);
}

cases! { check_match:
    longest_prefix_is_matched => MatchCase { host: "a.example", path: "/one/two/x", route: Some("deep") },
    shorter_prefix_matches_other_paths => MatchCase { host: "a.example", path: "/one/twofold", route: Some("shallow") },
    prefix_itself_is_matched => MatchCase { host: "a.example", path: "/one/", route: Some("shallow") },
    path_without_the_final_slash_is_not_matched => MatchCase { host: "a.example", path: "/one", route: None },
    other_host_has_other_routes => MatchCase { host: "b.example", path: "/one/two/x", route: Some("root") },
    unknown_host_has_no_route => MatchCase { host: "c.example", path: "/one/", route: None },
}

#[test]
fn each_service_gets_requests_by_its_weight() {
    let split = [("bookings", 90), ("permits", 10)];
    let mut network = Network::new(500);
    network.route_table = Some(route_table(1, vec![route("split", "a", "/", &split)]));
    let node = add_node_with_routes(&mut network, &Settings::default(), &node_spec(1));
    network.run_until(CONVERGENCE_US);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut to_permits = 0;
    for _ in 0..300 {
        let routes: &mut Routes = network.nodes[node].kernel.find(routes::NAME).unwrap();
        let Resolution::Matched { service, .. } = routes.resolve("a", "/x", None, &mut rng) else {
            panic!("no route");
        };
        to_permits += u32::from(service.as_str() == "permits");
    }
    assert!((27..=33).contains(&to_permits), "{to_permits} of 300");
}

#[test]
fn requests_are_not_resolved_without_a_table() {
    let mut network = Network::new(500);
    network.can_reach_routes = Box::new(|_| false);
    let node = add_node_with_routes(&mut network, &Settings::default(), &node_spec(1));
    network.run_until(CONVERGENCE_US);
    let routes: &mut Routes = network.nodes[node].kernel.find(routes::NAME).unwrap();
    let resolved = routes.resolve("a", "/", None, &mut ChaCha8Rng::seed_from_u64(1));
    assert_eq!(resolved, Resolution::NoTable);
}

#[test]
fn a_node_cut_off_from_the_source_gets_the_table_from_peers() {
    let mut network = Network::new(500);
    network.route_table = Some(route_table(
        7,
        vec![route("one", "a", "/", &[("bookings", 1)])],
    ));
    network.can_reach_routes = Box::new(|node| node != 2);
    for number in 1..=4 {
        add_node_with_routes(&mut network, &Settings::default(), &node_spec(number));
    }
    network.run_until(CONVERGENCE_US);
    assert_eq!(version(&mut network, 2), 7);
    let newer = route_table(9, vec![route("one", "a", "/", &[("permits", 1)])]);
    let sent_us = network.now_us;
    network.deliver_route_update(0, update_of(newer));
    let is_updated = network.run_while(sent_us + 2_000_000, |network| version(network, 2) != 9);
    assert!(is_updated, "node 2 has no new table after 2 s");
}

#[test]
fn a_lower_version_is_ignored() {
    let mut network = Network::new(500);
    network.route_table = Some(route_table(7, Vec::new()));
    let node = add_node_with_routes(&mut network, &Settings::default(), &node_spec(1));
    network.run_until(CONVERGENCE_US);
    network.deliver_route_update(node, update_of(route_table(6, Vec::new())));
    assert_eq!(version(&mut network, node), 7);
}

#[test]
fn the_table_is_read_again_after_the_history_is_lost() {
    let mut network = Network::new(500);
    network.route_table = Some(route_table(7, Vec::new()));
    let node = add_node_with_routes(&mut network, &Settings::default(), &node_spec(1));
    network.run_until(CONVERGENCE_US);
    network.route_table = Some(route_table(8, Vec::new()));
    let history_lost = RouteUpdate {
        position: None,
        table: None,
    };
    network.deliver_route_update(node, history_lost);
    network.run_until(CONVERGENCE_US + 1_000_000);
    assert_eq!(version(&mut network, node), 8);
}

// Guards against a watch that goes on after a position of a former epoch, and so misses a table.
#[test]
fn the_table_is_read_again_in_a_new_epoch_of_the_source() {
    let mut network = Network::new(500);
    network.route_table = Some(route_table(7, Vec::new()));
    let node = add_node_with_routes(&mut network, &Settings::default(), &node_spec(1));
    network.run_until(CONVERGENCE_US);
    network.epoch = Epoch(2);
    network.route_table = Some(route_table(8, Vec::new()));
    let later_change = RouteUpdate {
        position: Some(RowVersion {
            epoch: Epoch(2),
            number: 5,
        }),
        table: None,
    };
    network.deliver_route_update(node, later_change);
    network.run_until(CONVERGENCE_US + 1_000_000);
    assert_eq!(version(&mut network, node), 8);
}

// Guards against a table of a restored copy that replaces a newer one.
#[test]
fn a_lower_version_is_ignored_in_a_new_epoch_too() {
    let mut network = Network::new(500);
    network.route_table = Some(route_table(7, Vec::new()));
    let node = add_node_with_routes(&mut network, &Settings::default(), &node_spec(1));
    network.run_until(CONVERGENCE_US);
    network.epoch = Epoch(2);
    network.route_table = Some(route_table(6, Vec::new()));
    network.deliver_route_update(node, RouteUpdate::history_lost());
    network.run_until(CONVERGENCE_US + 1_000_000);
    assert_eq!(version(&mut network, node), 7);
}

fn node_spec(number: u16) -> NodeSpec<'static> {
    NodeSpec {
        number,
        zone: "zone-1",
        service: None,
        slots: 0,
    }
}

fn update_of(table: dragonflylug::routes::RouteTable) -> RouteUpdate {
    RouteUpdate {
        position: Some(RowVersion::without_epoch(2)),
        table: Some(table),
    }
}

fn version(network: &mut Network, node: usize) -> u64 {
    let routes: &mut Routes = network.nodes[node].kernel.find(routes::NAME).unwrap();
    routes.version()
}
