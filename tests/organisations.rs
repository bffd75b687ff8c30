//! Organisations: which keys are accepted, with which importance, and that a withdrawn key stops a
//! request which another daemon has accepted.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use dragonflylug::organisations::{
    KeyDigest, Organisation, Organisations, OrganisationsError, Principal, Quota,
};
use dragonflylug::routes::{self, Resolution, RouteTable, RouteUpdate, Routes};
use dragonflylug::settings::Settings;
use dragonflylug::table::RowVersion;
use dragonflylug::verdict::{RefusalReason, Verdict};
use network::Network;
use nodes::{CONVERGENCE_US, NodeSpec, add_node_with_routes, exchange};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routed::{READ, route, route_table, routed_request};

const SERVICE: &str = "bookings";

fn organisation(name: &str, keys: &[&str], importance: Option<u32>) -> Organisation {
    let mut digests = Vec::new();
    for key in keys {
        digests.push(KeyDigest::of(key));
    }
    Organisation {
        name: name.into(),
        keys: digests,
        importance,
        quota: None,
    }
}

fn with_rate(rate_per_s: f64) -> Organisation {
    Organisation {
        quota: Some(Quota {
            rate_per_s,
            burst: 1.0,
        }),
        ..organisation("a", &["1"], None)
    }
}

fn check_invalid(case: (Vec<Organisation>, OrganisationsError)) {
    assert_eq!(Organisations::new(case.0), Err(case.1));
}

cases! { check_invalid:
    two_organisations_with_one_key_are_rejected => (
        vec![organisation("a", &["1", "2"], None), organisation("b", &["2"], None)],
        OrganisationsError::SharedKey("a".into(), "b".into()),
    ),
    two_organisations_with_one_name_are_rejected => (
        vec![organisation("a", &["1"], None), organisation("a", &["2"], None)],
        OrganisationsError::SameName("a".into()),
    ),
    negative_rate_is_rejected => (vec![with_rate(-1.0)], OrganisationsError::InvalidQuota("a".into())),
    rate_that_is_no_number_is_rejected => (vec![with_rate(f64::NAN)], OrganisationsError::InvalidQuota("a".into())),
}

/// The importance of two organisations and two routes.
struct RankCase {
    first: (u32, u32),
    then: (u32, u32),
    expected: std::cmp::Ordering,
}

fn check_rank(case: RankCase) {
    let both = [
        organisation("0", &["k0"], Some(0)),
        organisation("1", &["k1"], Some(1)),
    ];
    let organisations = Organisations::new(both.to_vec()).unwrap();
    let importance = |of: (u32, u32)| organisations.importance(&both[of.0 as usize], of.1);
    assert_eq!(
        importance(case.first).cmp(&importance(case.then)),
        case.expected
    );
}

cases! { check_rank:
    organisation_decides_before_the_route => RankCase { first: (0, 2), then: (1, 1), expected: std::cmp::Ordering::Less },
    urgent_route_does_not_pass_a_more_important_organisation => RankCase { first: (0, 2), then: (1, 0), expected: std::cmp::Ordering::Equal },
    route_decides_within_an_organisation => RankCase { first: (1, 0), then: (1, 1), expected: std::cmp::Ordering::Less },
    unknown_importances_of_routes_come_last => RankCase { first: (1, 1), then: (1, 99), expected: std::cmp::Ordering::Less },
}

#[test]
fn route_decides_where_all_organisations_are_equal() {
    let only = organisation("a", &["1"], Some(1));
    let organisations = Organisations::new(vec![only.clone()]).unwrap();
    assert_eq!(organisations.importance(&only, 0), 0);
}

/// Returns a table with a route that needs a key and one that needs none.
fn table(version: u64, organisations: Vec<Organisation>) -> RouteTable {
    let mut open = route("open", "a", "/open/", &[(SERVICE, 1)]);
    open.is_anonymous = true;
    let routes = vec![route("closed", "a", "/", &[(SERVICE, 1)]), open];
    route_table(version, routes).with_organisations(Organisations::new(organisations).unwrap())
}

/// Starts a node beside no target that cannot read newer tables, and one beside a target.
fn network(organisations: Vec<Organisation>) -> Network {
    let mut network = Network::new(500);
    network.route_table = Some(table(1, organisations));
    for number in 1..=2 {
        let spec = NodeSpec {
            number,
            zone: "zone-1",
            service: (number == 2).then_some(SERVICE),
            slots: 8,
        };
        add_node_with_routes(&mut network, &Settings::default(), &spec);
    }
    network.run_until(CONVERGENCE_US);
    network
}

fn check_resolution(case: (&str, Option<&str>, Option<Option<&str>>)) {
    let (path, key, expected) = case;
    let mut network = network(vec![organisation("x", &["1"], None)]);
    let routes: &mut Routes = network.nodes[0].kernel.find(routes::NAME).unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let found = match routes.resolve("a", path, key.map(KeyDigest::of), &mut rng) {
        Resolution::Matched { principal, .. } => Some(principal.map(|found| found.organisation)),
        Resolution::Unauthorized => None,
        other => panic!("{other:?}"),
    };
    let expected = expected.map(|name| name.map(Into::into));
    assert_eq!(found, expected);
}

cases! { check_resolution:
    known_key_is_accepted => ("/x", Some("1"), Some(Some("x"))),
    unknown_key_is_rejected => ("/x", Some("2"), None),
    missing_key_is_rejected => ("/x", None, None),
    anonymous_route_needs_no_key => ("/open/x", None, Some(None)),
    anonymous_route_takes_an_unknown_key_for_none => ("/open/x", Some("2"), Some(None)),
    anonymous_route_still_tells_the_organisation => ("/open/x", Some("1"), Some(Some("x"))),
}

/// Sends a request that the first node accepted with a key, after the second node has another table.
fn verdict_after(newer: RouteTable) -> Verdict {
    let mut network = network(vec![organisation("x", &["1"], None)]);
    network.request_filter =
        Box::new(|_, _, request| !matches!(request, dragonflylug::peer::PeerRequest::Routes(_)));
    let update = RouteUpdate {
        position: Some(RowVersion::without_epoch(2)),
        table: Some(newer),
    };
    network.deliver_route_update(1, update);
    let mut request = routed_request(SERVICE, READ, 1);
    request.routed.as_mut().unwrap().principal = Some(Principal {
        organisation: "x".into(),
        key: KeyDigest::of("1"),
    });
    exchange(&mut network, 0, 1, request).verdict
}

#[test]
fn withdrawn_key_stops_at_the_guard_though_the_entry_has_not_heard_of_it() {
    let verdict = verdict_after(table(2, vec![organisation("x", &["2"], None)]));
    let Verdict::NotRun(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Unauthorized);
}

#[test]
fn key_that_is_still_held_is_served_beside_a_newer_table() {
    let verdict = verdict_after(table(2, vec![organisation("x", &["1", "2"], None)]));
    assert_eq!(verdict.name(), "ran");
}
