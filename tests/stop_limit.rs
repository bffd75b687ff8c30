//! The time limit of a planned stop: a request that can't finish before the process ends is refused as
//! not run, while others are served to the end.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/routed.rs"]
mod routed;

use dragonflylug::kernel::{CallReply, Notice};
use dragonflylug::routes::RouteTerms;
use dragonflylug::settings::Settings;
use dragonflylug::verdict::Verdict;
use network::Network;
use nodes::{CONVERGENCE_US, NodeSpec, add_node_with_routes, call, reply};
use routed::{READ, ok_outcome, route_table, routed_request};

const SECOND_US: u64 = 1_000_000;

/// How long after the stop signal the process ends.
const TIME_LIMIT_US: u64 = 5_750_000;

/// How long after the stop signal the callers use other daemons.
const CALLERS_LEFT_US: u64 = 1_200_000;

/// The node that stops, with a target that calls the second service.
const STOPPING: usize = 0;
/// The node with the target of the second service.
const CALLED: usize = 1;
/// The node of the client.
const CLIENT: usize = 2;

/// The service of the target beside the node that stops, and the one that it calls.
const CALLER_SERVICE: &str = "desk";
const CALLED_SERVICE: &str = "ledger";

const LONG_READ: RouteTerms = RouteTerms {
    timeout_ms: 20_000,
    ..READ
};

/// Which way a request takes to or through the node that stops.
#[derive(Clone, Copy, PartialEq)]
enum Path {
    /// A call of the target beside it.
    ChildCall,
    /// A request of a client of its VM.
    ClientRequest,
    /// A request that another daemon sends to its target.
    PeerRequest,
}

/// A request that comes after the stop signal, and how long requests of its kind take.
struct StopCase {
    path: Path,
    work_us: u64,
    /// How long requests of the kind took before; 0 if there were none.
    earlier_us: u64,
    after_signal_us: u64,
    deadline_ms: u32,
    is_answered: bool,
}

const CHILD_CALL: StopCase = StopCase {
    path: Path::ChildCall,
    deadline_ms: 8_000,
    work_us: 3_400_000,
    earlier_us: 3_400_000,
    after_signal_us: 3_200_000,
    is_answered: false,
};

fn network() -> Network {
    network_with(40)
}

/// Creates a network whose targets have a number of slots.
fn network_with(slots: u32) -> Network {
    let mut network = Network::new(500);
    network.route_table = Some(route_table(1, Vec::new()));
    let services = [Some(CALLER_SERVICE), Some(CALLED_SERVICE), None];
    for (number, service) in services.into_iter().enumerate() {
        let spec = NodeSpec {
            number: 1 + number as u16,
            zone: "zone-1",
            service,
            slots,
        };
        add_node_with_routes(&mut network, &Settings::default(), &spec);
    }
    network.run_until(CONVERGENCE_US);
    network
}

fn set_work(network: &mut Network, node: usize, work_us: u64) {
    network.nodes[node].target = Box::new(move |_, _| (ok_outcome(), work_us));
}

fn send(network: &mut Network, path: Path, deadline_ms: u32, key: u64) {
    let (node, service) = match path {
        Path::PeerRequest => (CLIENT, CALLER_SERVICE),
        Path::ChildCall | Path::ClientRequest => (STOPPING, CALLED_SERVICE),
    };
    let mut request = routed_request(service, LONG_READ, key);
    request.deadline_left_ms = Some(deadline_ms);
    call(network, node, key, request);
}

fn run_for(network: &mut Network, for_us: u64) {
    let until_us = network.now_us + for_us;
    network.run_until(until_us);
}

/// Keeps the target of the stopping node at work on a request whose caller waits longer than any
/// other, so that calls may come from it.
fn start_parent(network: &mut Network) {
    set_work(network, STOPPING, 15 * SECOND_US);
    let mut parent = routed_request(CALLER_SERVICE, LONG_READ, 1);
    parent.deadline_left_ms = Some(18_000);
    call(network, CLIENT, 1, parent);
    run_for(network, 10_000);
}

fn check_stop(case: StopCase) {
    let mut network = network();
    if case.path == Path::ChildCall {
        start_parent(&mut network);
    }
    let worked = match case.path {
        Path::PeerRequest => STOPPING,
        Path::ChildCall | Path::ClientRequest => CALLED,
    };
    if case.earlier_us > 0 {
        set_work(&mut network, worked, case.earlier_us);
        for key in 10..20 {
            send(&mut network, case.path, case.deadline_ms, key);
        }
        run_for(&mut network, case.earlier_us + SECOND_US / 2);
    }
    set_work(&mut network, worked, case.work_us);
    let signal_us = network.now_us;
    network.deliver_notice(
        STOPPING,
        Notice::StopAnnounced {
            time_limit_us: TIME_LIMIT_US,
        },
    );
    let first_us = case.after_signal_us.min(CALLERS_LEFT_US);
    network.run_until(signal_us + first_us);
    if case.after_signal_us >= CALLERS_LEFT_US {
        network.deliver_notice(STOPPING, Notice::StopRequested);
    }
    network.run_until(signal_us + case.after_signal_us);
    send(&mut network, case.path, case.deadline_ms, 100);
    network.run_until(signal_us + TIME_LIMIT_US);
    let replied = match case.path {
        Path::PeerRequest => reply(&network, CLIENT, 100),
        Path::ChildCall | Path::ClientRequest => reply(&network, STOPPING, 100),
    };
    check_reply(replied, case.is_answered);
}

fn check_reply(reply: Option<CallReply>, is_answered: bool) {
    let verdict = reply.expect("a reply before the process ends").verdict;
    match is_answered {
        true => assert!(matches!(verdict, Verdict::Ran(_)), "{verdict:?}"),
        false => assert!(matches!(verdict, Verdict::NotRun(_)), "{verdict:?}"),
    }
}

// Guards against requests that a stopping daemon accepts, passes on and cuts when its process ends.
cases! { check_stop:
    child_call_that_cannot_finish_is_refused => CHILD_CALL,
    child_call_that_can_finish_is_answered => StopCase {
        after_signal_us: 1_000_000, is_answered: true, ..CHILD_CALL
    },
    child_call_with_a_near_deadline_is_answered_late_in_the_stop => StopCase {
        work_us: 50_000, earlier_us: 50_000, after_signal_us: 5_200_000, deadline_ms: 300,
        is_answered: true, ..CHILD_CALL
    },
    child_call_of_unknown_duration_is_refused_by_its_deadline => StopCase {
        earlier_us: 0, ..CHILD_CALL
    },
    client_request_that_cannot_finish_is_refused => StopCase {
        path: Path::ClientRequest,
        work_us: 5_400_000, earlier_us: 5_400_000, after_signal_us: 1_000_000, ..CHILD_CALL
    },
    client_request_that_can_finish_is_answered => StopCase {
        path: Path::ClientRequest, after_signal_us: 1_000_000, is_answered: true, ..CHILD_CALL
    },
    request_of_a_peer_that_cannot_finish_is_refused => StopCase {
        path: Path::PeerRequest,
        work_us: 5_400_000, earlier_us: 5_400_000, after_signal_us: 1_000_000, ..CHILD_CALL
    },
    request_of_a_peer_that_can_finish_is_answered => StopCase {
        path: Path::PeerRequest, after_signal_us: 1_000_000, is_answered: true, ..CHILD_CALL
    },
}

/// A request that takes much longer than its like did, and comes late in the stop.
const SLOW_LATE: StopCase = StopCase {
    work_us: 2_900_000,
    earlier_us: 300_000,
    after_signal_us: 3_000_000,
    ..CHILD_CALL
};

// Guards against a request that is cut because it takes longer than all recent ones of its kind did.
cases! { check_stop:
    slow_child_call_is_cut_late_in_the_stop => SLOW_LATE,
    slow_client_request_is_cut_late_in_the_stop => StopCase { path: Path::ClientRequest, ..SLOW_LATE },
    short_child_call_with_a_late_deadline_is_cut_late_in_the_stop => StopCase {
        work_us: 700_000, earlier_us: 50_000, after_signal_us: 5_200_000, ..SLOW_LATE
    },
}

/// When a request comes to the guard of the full target, and when the target has room for it.
const QUEUED_AFTER_US: u64 = 2_400_000;
const ROOM_AFTER_US: u64 = 2_650_000;

/// Guards against a queued request of a peer that starts late in a stop, takes longer than its like did
/// and is cut.
#[test]
fn queued_request_of_a_peer_is_sent_late_in_the_stop() {
    let mut network = network_with(1);
    set_work(&mut network, STOPPING, 100_000);
    send(&mut network, Path::PeerRequest, 8_000, 10);
    run_for(&mut network, SECOND_US);
    let signal_us = network.now_us;
    network.deliver_notice(
        STOPPING,
        Notice::StopAnnounced {
            time_limit_us: TIME_LIMIT_US,
        },
    );
    network.run_until(signal_us + QUEUED_AFTER_US - 10_000);
    set_work(&mut network, STOPPING, ROOM_AFTER_US - QUEUED_AFTER_US);
    send(&mut network, Path::PeerRequest, 8_000, 11);
    network.run_until(signal_us + QUEUED_AFTER_US);
    set_work(&mut network, STOPPING, 3_200_000);
    send(&mut network, Path::PeerRequest, 8_000, 100);
    network.run_until(signal_us + ROOM_AFTER_US - 50_000);
    network.deliver_notice(STOPPING, Notice::StopRequested);
    network.run_until(signal_us + TIME_LIMIT_US);
    check_reply(reply(&network, CLIENT, 11), true);
    check_reply(reply(&network, CLIENT, 100), false);
}
