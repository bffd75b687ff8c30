//! Tests that whole nodes keep the quota of an organisation, and say why they refuse a request.

#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/quota_bound.rs"]
mod quota_bound;
#[path = "support/routed.rs"]
mod routed;
#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::calls::entry::{self, Entry};
use dragonflylug::ids::CallKey;
use dragonflylug::kernel::Event;
use dragonflylug::organisations::Quota;
use dragonflylug::peer::PeerRequest;
use dragonflylug::quota::{OrganisationHash, QuotaSettings, View};
use dragonflylug::routes::RouteUpdate;
use dragonflylug::settings::Settings;
use dragonflylug::verdict::{RefusalReason, Verdict};

use dragonflylug::table::RowVersion;
use network::Network;
use nodes::{NodeSpec, add_node_with_routes, address, call, exchange, reply};
use quota_bound::{
    KEY, ORGANISATION, SECOND_US, bound, most_in_a_window, organisations, principal,
};
use routed::{READ, route, route_table, routed_request};

const SERVICE: &str = "bookings";
const NODES: u16 = 4;
const DELAY_US: u64 = 1_000;

const QUOTA: Quota = Quota {
    rate_per_s: 40.0,
    burst: 10.0,
};

/// When all nodes know each other and lend their shares.
const SETTLED_US: u64 = 15 * SECOND_US;

fn table(version: u64, keys: &[&str]) -> dragonflylug::routes::RouteTable {
    let routes = vec![route(SERVICE, "shop.example", "/", &[(SERVICE, 1)])];
    let mut table = route_table(version, routes);
    table.organisations = Some(organisations(keys, QUOTA));
    table
}

/// Creates settled nodes, each beside a target.
fn settled() -> Network {
    let mut network = Network::new(DELAY_US);
    network.route_table = Some(table(1, &[KEY]));
    for number in 0..NODES {
        let spec = NodeSpec {
            number,
            zone: "zone-1",
            service: Some(SERVICE),
            slots: 200,
        };
        add_node_with_routes(&mut network, &Settings::default(), &spec);
    }
    network.run_until(SETTLED_US);
    network
}

fn request(id: u64) -> dragonflylug::request::CallRequest {
    let mut request = routed_request(SERVICE, READ, id);
    if let Some(routed) = &mut request.routed {
        routed.principal = Some(principal());
    }
    request
}

/// Returns the node that owns the organisation while all are live.
fn owner() -> usize {
    let mut view = View::new(QuotaSettings::default(), 0, nodes_id(0), address(0));
    for number in 1..NODES {
        view.record_member(0, address(number), nodes_id(number), false);
    }
    let owner = view.owner(OrganisationHash::of(&ORGANISATION.into()));
    let is_owner = |number: &u16| Some(address(*number)) == owner;
    usize::from((0..NODES).find(is_owner).expect("a node is the owner"))
}

fn nodes_id(number: u16) -> dragonflylug::ids::MemberId {
    dragonflylug::ids::MemberId(1_000 + u64::from(number))
}

/// Sends requests at a rate to each of some nodes; the keys begin at `first_key`.
fn send(network: &mut Network, to: &[usize], rate_per_s: u64, seconds: u64, first_key: u64) -> u64 {
    let mut key = first_key;
    let until_us = network.now_us + seconds * SECOND_US;
    while network.now_us < until_us {
        for node in to {
            call(network, *node, key, request(key));
            key += 1;
        }
        let next_us = network.now_us + SECOND_US / rate_per_s;
        network.run_until(next_us);
    }
    key - first_key
}

fn runs_us(network: &Network) -> Vec<u64> {
    let runs = network.nodes.iter().flat_map(|node| &node.runs);
    runs.map(|(at_us, _)| *at_us).collect()
}

/// Returns how many requests of a node were refused for a reason.
fn refused(network: &Network, node: usize, expected: RefusalReason) -> usize {
    let is_expected = |verdict: &Verdict| matches!(verdict, Verdict::NotRun(refusal) if refusal.reason == expected);
    let replies = &network.nodes[node].replies;
    replies
        .iter()
        .filter(|reply| is_expected(&reply.2.verdict))
        .count()
}

/// A fault at the start of the load.
enum Fault {
    None,
    OwnerKilled,
    /// One node that is not the owner loses all links.
    CutOff,
    /// The nodes lose the links between two halves.
    Partition,
    /// All nodes are paused for 5 s, one after another.
    Pauses,
}

/// Guards against more runs than the quota allows over all nodes, and against refusing much more
/// than needed where there is no fault.
fn check_bound(fault: Fault) {
    let mut network = settled();
    let owner = owner();
    match fault {
        Fault::None => {}
        Fault::OwnerKilled => network.kill_and_close_connections(owner),
        Fault::CutOff => {
            let cut = (owner + 1) % usize::from(NODES);
            network.link_filter = Box::new(move |from, to| from != cut && to != cut);
        }
        Fault::Partition => network.link_filter = Box::new(|from, to| from % 2 == to % 2),
        Fault::Pauses => {
            for node in 0..usize::from(NODES) {
                let until_us = network.now_us + 5 * SECOND_US + node as u64 * 700_000;
                network.pause(node, until_us);
            }
        }
    }
    let all: Vec<usize> = (0..usize::from(NODES))
        .filter(|node| network.nodes[*node].is_up)
        .collect();
    send(&mut network, &all, 20, 30, 1);
    let runs_us = runs_us(&network);
    let most = most_in_a_window(runs_us.clone());
    assert!(
        most <= bound(QUOTA),
        "{most} runs, {} allowed",
        bound(QUOTA)
    );
    let last_us = network.now_us - 10 * SECOND_US;
    let late = runs_us.iter().filter(|at_us| **at_us >= last_us).count() as f64;
    let utilisation = late / 10.0 / QUOTA.rate_per_s;
    let expected = match fault {
        Fault::None | Fault::Pauses => 0.97,
        Fault::OwnerKilled | Fault::CutOff => 0.7,
        Fault::Partition => 0.8,
    };
    assert!(utilisation >= expected, "{utilisation} of the quota used");
}

cases! { check_bound:
    runs_stay_within_the_quota_and_use_it => Fault::None,
    runs_stay_within_the_quota_when_its_owner_is_killed => Fault::OwnerKilled,
    runs_stay_within_the_quota_when_a_node_is_cut_off => Fault::CutOff,
    runs_stay_within_the_quota_in_a_partition => Fault::Partition,
    runs_stay_within_the_quota_across_pauses => Fault::Pauses,
}

/// Guards against a refusal over the quota that looks like overload or names a time that is too
/// short to have a token, and against tokens taken by requests of no organisation.
#[test]
fn a_request_over_the_quota_is_told_when_a_token_is_there() {
    let mut network = settled();
    for key in 1..200 {
        call(&mut network, 0, key, request(key));
    }
    let now_us = network.now_us + SECOND_US / 2;
    network.run_until(now_us);
    let verdict = reply(&network, 0, 199)
        .expect("the last is answered")
        .verdict;
    let Verdict::NotRun(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::QuotaExceeded);
    assert!((1..=25).contains(&refusal.retry_after_ms), "{refusal:?}");
    let other = routed_request(SERVICE, READ, 1_000);
    let verdict = exchange(&mut network, 0, 1_000, other).verdict;
    assert!(matches!(verdict, Verdict::Ran(_)), "{verdict:?}");
}

/// What happens to a request while it waits for a token.
enum WhileWaiting {
    KeyWithdrawn,
    CallerGone,
    Nothing,
}

/// Guards against a request that runs with a withdrawn key, waits on without its caller or waits
/// for ever.
fn check_waiting((event, expected): (WhileWaiting, RefusalReason)) {
    let mut network = settled();
    let node = (owner() + 1) % usize::from(NODES);
    let is_slow = matches!(event, WhileWaiting::KeyWithdrawn);
    network.request_filter = Box::new(move |from, _, request| {
        let is_quota = matches!(request, PeerRequest::Quota(_));
        is_slow || !is_quota || from != node
    });
    network.delay_us = if is_slow { 50_000 } else { DELAY_US };
    call(&mut network, node, 1, request(1));
    let entry = network.nodes[node].kernel.find::<Entry>(entry::NAME);
    assert_eq!(entry.map(|entry| entry.len()), Some(1));
    match event {
        WhileWaiting::KeyWithdrawn => {
            let update = RouteUpdate {
                position: Some(RowVersion::without_epoch(2)),
                table: Some(table(2, &["other-key"])),
            };
            network.deliver_route_update(node, update);
        }
        WhileWaiting::CallerGone => {
            network.deliver_event(node, entry::NAME, Event::CallerGone(CallKey(1)));
        }
        WhileWaiting::Nothing => {}
    }
    let until_us = network.now_us + SECOND_US;
    network.run_until(until_us);
    assert_eq!(refused(&network, node, expected), 1);
    assert!(runs_us(&network).is_empty());
    let entry = network.nodes[node].kernel.find::<Entry>(entry::NAME);
    assert_eq!(entry.map(|entry| entry.len()), Some(0));
}

cases! { check_waiting:
    a_key_that_is_withdrawn_while_a_request_waits => (WhileWaiting::KeyWithdrawn, RefusalReason::Unauthorized),
    a_caller_that_leaves_while_its_request_waits => (WhileWaiting::CallerGone, RefusalReason::Cancelled),
    an_owner_that_does_not_answer => (WhileWaiting::Nothing, RefusalReason::QuotaUnavailable),
}

/// Guards against refusals that go on after the death of an owner.
#[test]
fn the_next_daemon_takes_over_from_a_killed_owner() {
    let mut network = settled();
    let (owner, node) = (owner(), (owner() + 1) % usize::from(NODES));
    network.kill_and_close_connections(owner);
    let verdict = exchange(&mut network, node, 1, request(1)).verdict;
    assert!(
        matches!(verdict, Verdict::NotRun(refusal) if refusal.reason == RefusalReason::QuotaUnavailable)
    );
    let until_us = network.now_us + 15 * SECOND_US;
    network.run_until(until_us);
    let sent = send(&mut network, &[node], 10, 5, 100);
    let refused = network.nodes[node]
        .replies
        .iter()
        .filter(|reply| reply.1.0 >= 100);
    let refused = refused.filter(|reply| !matches!(reply.2.verdict, Verdict::Ran(_)));
    assert!(refused.count() as u64 <= sent / 10);
}
