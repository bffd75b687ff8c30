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

/// Within this time of its acknowledgement a table is in force (`config_apply`), and this much later if
/// the source was disturbed before (`outer`).
const APPLY_US: u64 = 2_000_000;
const OUTER_US: u64 = 5_000_000;

/// How long the source is without disturbance before a table must be in force in time (`stable`).
const STABLE_US: u64 = 3_000_000;

/// How the source is disturbed at some age of the nodes, and what follows.
struct DisturbedSource {
    /// The number of nodes, in three availability zones.
    nodes: u16,
    age_us: u64,
    disturb: fn(&mut Network),
    /// How long after the disturbance a table is published, and when it must be in force after that.
    calm_us: u64,
    in_force_us: u64,
}

/// Three zones take turns.
fn zone_of(number: u16) -> &'static str {
    ["zone-1", "zone-2", "zone-3"][usize::from(number % 3)]
}

fn check_table_is_in_force(case: DisturbedSource) {
    let mut network = Network::new(500);
    network.epoch = Epoch(1);
    network.route_table = Some(route_table(7, Vec::new()));
    for number in 1..=case.nodes {
        let spec = NodeSpec {
            zone: zone_of(number),
            ..node_spec(number)
        };
        add_node_with_routes(&mut network, &Settings::default(), &spec);
    }
    network.run_until(case.age_us);
    (case.disturb)(&mut network);
    network.run_until(network.now_us + case.calm_us);
    network.publish_routes(route_table(8, Vec::new()));
    network.run_until(network.now_us + case.in_force_us);
    for node in 0..usize::from(case.nodes) {
        if network.nodes[node].is_up {
            assert_eq!(version(&mut network, node), 8, "node {node}");
        }
    }
}

/// The source is silent for 4.5 s; what was open then stays without an answer.
fn be_silent(network: &mut Network) {
    network.set_routes_silent(true);
    network.run_until(network.now_us + 4_500_000);
    network.set_routes_silent(false);
}

/// The first nodes, which poll, can no longer reach the source, which is restored.
fn restore_out_of_reach_of_the_first(network: &mut Network) {
    network.can_reach_routes = Box::new(|node| node >= 10);
    network.restore_routes();
}

/// The first nodes end, and the source is restored.
fn restore_after_the_end_of_the_first(network: &mut Network) {
    for node in 0..9 {
        network.kill(node);
    }
    network.restore_routes();
}

// Guards against a watch that waits on, after a position that the restored source gave out again or on
// a connection that delivers nothing further, while nothing else is read from the source.
cases! { check_table_is_in_force:
    table_after_a_restoration_at_young_nodes => DisturbedSource {
        nodes: 4, age_us: 6_000_000, disturb: Network::restore_routes, calm_us: 0, in_force_us: APPLY_US + OUTER_US,
    },
    table_after_a_restoration_at_old_nodes => DisturbedSource {
        nodes: 4, age_us: 600_000_000, disturb: Network::restore_routes, calm_us: 0, in_force_us: APPLY_US + OUTER_US,
    },
    table_after_a_restoration_at_many_nodes => DisturbedSource {
        nodes: 60, age_us: 60_000_000, disturb: Network::restore_routes, calm_us: 0, in_force_us: APPLY_US + OUTER_US,
    },
    table_after_a_restoration_at_a_single_node => DisturbedSource {
        nodes: 1, age_us: 60_000_000, disturb: Network::restore_routes, calm_us: 0, in_force_us: APPLY_US + OUTER_US,
    },
    table_after_a_restoration_that_no_poller_can_see => DisturbedSource {
        nodes: 60, age_us: 60_000_000, disturb: restore_out_of_reach_of_the_first, calm_us: 15_000_000, in_force_us: APPLY_US,
    },
    table_after_a_restoration_and_the_end_of_all_pollers => DisturbedSource {
        nodes: 60, age_us: 60_000_000, disturb: restore_after_the_end_of_the_first, calm_us: 0, in_force_us: APPLY_US + OUTER_US,
    },
    table_after_a_silence => DisturbedSource {
        nodes: 4, age_us: 60_000_000, disturb: be_silent, calm_us: STABLE_US, in_force_us: APPLY_US,
    },
    table_after_a_silence_at_many_nodes => DisturbedSource {
        nodes: 60, age_us: 60_000_000, disturb: be_silent, calm_us: STABLE_US, in_force_us: APPLY_US,
    },
}

/// Starts nodes in three availability zones and returns the number of reads of the source in each of the
/// seconds after a time.
fn reads_in_each_second(
    nodes: u16,
    settings: &Settings,
    after_us: u64,
    act: fn(&mut Network),
) -> Vec<u64> {
    let mut network = Network::new(500);
    network.epoch = Epoch(1);
    network.route_table = Some(route_table(7, Vec::new()));
    for number in 1..=nodes {
        let spec = NodeSpec {
            zone: zone_of(number),
            ..node_spec(number)
        };
        add_node_with_routes(&mut network, settings, &spec);
    }
    network.run_until(after_us);
    act(&mut network);
    let mut reads = Vec::new();
    for _ in 0..100 {
        let before = network.route_reads;
        network.run_until(network.now_us + 1_000_000);
        reads.push(network.route_reads - before);
    }
    reads
}

// Guards against reads of the source that grow with the daemons as those of pollers would: 17,000 of them
// must stay within 2,000 a second.
#[test]
fn reads_of_the_source_grow_little_with_the_nodes() {
    let settings = Settings::default();
    let pollers_per_s =
        3 * settings.routes.pollers_per_zone as u64 * 1_000 / u64::from(settings.routes.poll_ms);
    for nodes in [6, 60, 300] {
        let reads = reads_in_each_second(nodes, &settings, 60_000_000, |_| {});
        let total: u64 = reads.iter().sum();
        println!(
            "{nodes} nodes: {} reads a second",
            total as f64 / reads.len() as f64
        );
        let watches = u64::from(nodes) * 100_000 / u64::from(settings.routes.watch_ms);
        assert!(
            total <= pollers_per_s * 100 + watches + 10,
            "{total} reads, {nodes} nodes"
        );
    }
}

// Guards against all daemons reading at once what a restored source lost.
#[test]
fn reads_after_a_restoration_are_spread_by_the_number_of_nodes() {
    let mut settings = Settings::default();
    settings.routes.reads_per_s_max = 10;
    let reads = reads_in_each_second(60, &settings, 60_000_000, Network::restore_routes);
    let pollers = 3 * settings.routes.pollers_per_zone as u64;
    let most = reads.iter().max().copied().unwrap_or_default();
    assert!(most <= 2 * 10 + 3 * pollers, "{reads:?}");
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
