//! Targets that leave under load: they get no new work after two seconds, and no call is aborted.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;

use std::cell::Cell;
use std::rc::Rc;

use dragonflylug::ids::CallKey;
use dragonflylug::kernel::{CallReply, Notice, TargetOutcome};
use dragonflylug::peer::PeerRequest;
use dragonflylug::request::{CallRequest, RunKey};
use dragonflylug::settings::Settings;
use dragonflylug::verdict::Verdict;
use network::{Network, PlatformFault, ok_answer};
use nodes::{CONVERGENCE_US, NodeSpec, add_node, announcement, call, request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "bookings";
const SLOTS: u32 = 40;
/// The slots of each target in the cases in which they are only a few more than its concurrent
/// calls.
const FEW_SLOTS: u32 = 16;
const TICK_US: u64 = 4_000;
const DEADLINE_MS: u32 = 8_000;
const SHORT_US: u64 = 100_000;
const LONG_US: u64 = 2_500_000;
/// How long after the notice a leaving target may still get new work.
const NEW_WORK_MAX_US: u64 = 2_000_000;
/// The time between the receipt of a ticket and its use.
const TICKET_USE_DELAY_US: u64 = 100_000;
/// A payment must run after fewer refusals without a new ticket than this.
const PAYMENT_REFUSALS_LIMIT: u32 = 6;

/// How a node leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    Stop,
    TargetDrain,
}

/// Nodes that leave, and the faults during that time.
struct LeavingCase {
    leave: Leave,
    leaving: &'static [usize],
    is_gossip_lost: bool,
    /// Whether an entry joins after the leave began, while reads of the table return the rows of
    /// before it.
    has_late_entry_with_stale_rows: bool,
    platform: PlatformFault,
    /// The retries of a root request.
    retries: u32,
}

/// A call that waits for its reply, or a payment that waits to use its ticket.
struct PendingCall {
    node: usize,
    key: CallKey,
    request: CallRequest,
    /// The number of refusals of the payment whose reply carried no ticket.
    refusals: u32,
}

/// An open-loop load: calls are sent at a fixed rate, whether or not earlier ones have ended.
struct Callers {
    rng: ChaCha8Rng,
    entries: Vec<usize>,
    next_key: u64,
    waiting: Vec<PendingCall>,
    /// Payments that have a ticket, with the time at which they use it.
    delayed_payments: Vec<(u64, PendingCall)>,
    replies_read: Vec<usize>,
    ran: usize,
    /// The number of such refusals of all payments.
    refused: usize,
}

impl Callers {
    fn new(entries: Vec<usize>) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(6),
            entries,
            next_key: 0,
            waiting: Vec::new(),
            delayed_payments: Vec::new(),
            replies_read: Vec::new(),
            ran: 0,
            refused: 0,
        }
    }

    /// Sends one call each tick for a time; calls `observe` after each tick.
    fn run(&mut self, network: &mut Network, for_us: u64, mut observe: impl FnMut(&mut Network)) {
        let until_us = network.now_us + for_us;
        while network.now_us < until_us {
            let is_payment = self.rng.random_bool(0.2);
            let method = if is_payment { "POST" } else { "GET" };
            let mut request = request(SERVICE, method, "/");
            request.deadline_left_ms = Some(DEADLINE_MS);
            self.send(network, request, 0);
            self.advance(network, &mut observe);
        }
    }

    /// Runs the network until all calls have ended or a bound has passed; fails if a call that was
    /// sent has no reply then. Payments that still wait to use their ticket are not checked.
    fn finish_calls(&mut self, network: &mut Network, mut observe: impl FnMut(&mut Network)) {
        let until_us = network.now_us + 2 * u64::from(DEADLINE_MS) * 1_000;
        while self.waiting.len() + self.delayed_payments.len() > 0 && network.now_us < until_us {
            self.advance(network, &mut observe);
        }
        assert!(
            self.waiting.is_empty(),
            "{} calls have no reply",
            self.waiting.len()
        );
    }

    fn advance(&mut self, network: &mut Network, observe: &mut impl FnMut(&mut Network)) {
        network.run_until(network.now_us + TICK_US);
        observe(network);
        self.read_replies(network);
        while let Some((_, waiting)) = self
            .delayed_payments
            .pop_if(|(due_us, _)| *due_us <= network.now_us)
        {
            self.use_ticket(network, waiting);
        }
    }

    fn send(&mut self, network: &mut Network, request: CallRequest, refusals: u32) {
        let index = self.rng.random_range(0..self.entries.len());
        self.send_to(network, self.entries[index], request, refusals);
    }

    fn send_to(&mut self, network: &mut Network, node: usize, request: CallRequest, refusals: u32) {
        self.next_key += 1;
        let waiting = PendingCall {
            node,
            key: CallKey(self.next_key),
            request: request.clone(),
            refusals,
        };
        call(network, waiting.node, self.next_key, request);
        self.waiting.push(waiting);
    }

    fn read_replies(&mut self, network: &mut Network) {
        self.replies_read.resize(network.nodes.len(), 0);
        for node in 0..network.nodes.len() {
            while let Some((_, key, reply)) =
                network.nodes[node].replies.get(self.replies_read[node])
            {
                let (key, reply) = (*key, reply.clone());
                self.replies_read[node] += 1;
                let is_same_call = |call: &PendingCall| call.node == node && call.key == key;
                let index = self.waiting.iter().position(is_same_call);
                let waiting = self
                    .waiting
                    .swap_remove(index.expect("one reply for each call"));
                self.handle_reply(network, waiting, reply);
            }
        }
    }

    /// If a payment did not run, uses the ticket of the reply or, if it has none, sends the payment
    /// again without a ticket.
    /// Every other call must have run.
    fn handle_reply(&mut self, network: &mut Network, mut waiting: PendingCall, reply: CallReply) {
        let refusal = match reply.verdict {
            Verdict::Ran(_) => {
                self.ran += 1;
                return;
            }
            Verdict::NotRun(refusal) if waiting.request.http.method == "POST" => refusal,
            verdict => panic!("{verdict:?} at {} us", network.now_us),
        };
        assert!(waiting.refusals < PAYMENT_REFUSALS_LIMIT, "{refusal:?}");
        if let Some(ticket) = reply.tickets.first() {
            waiting.request.run_key = RunKey::Ticket(*ticket);
            let due_us = network.now_us + TICKET_USE_DELAY_US;
            self.delayed_payments.insert(0, (due_us, waiting));
            return;
        }
        self.refused += 1;
        assert!(refusal.retry_after_ms > 0, "{refusal:?}");
        waiting.request.run_key = RunKey::None;
        self.send(network, waiting.request, waiting.refusals + 1);
    }

    /// Sends a payment with its ticket to the daemon that returned the ticket, as long as that
    /// daemon accepts calls: others may not have learned of a new issuer yet.
    fn use_ticket(&mut self, network: &mut Network, waiting: PendingCall) {
        let index = self.rng.random_range(0..self.entries.len());
        let node = match self.entries.contains(&waiting.node) {
            true => waiting.node,
            false => self.entries[index],
        };
        self.send_to(network, node, waiting.request, waiting.refusals);
    }
}

/// Sets a target whose every fiftieth request is long; returns a cell with the end time of its last
/// request.
fn set_target(network: &mut Network, node: usize) -> Rc<Cell<u64>> {
    let last_end_us = Rc::new(Cell::new(0));
    let shared_end_us = Rc::clone(&last_end_us);
    let mut count = 0;
    network.nodes[node].target = Box::new(move |now_us, _| {
        count += 1;
        let service_us = if count % 50 == 0 { LONG_US } else { SHORT_US };
        shared_end_us.set(shared_end_us.get().max(now_us + service_us));
        (TargetOutcome::Answered(ok_answer()), service_us)
    });
    last_end_us
}

fn settings(retries: u32) -> Settings {
    let mut settings = Settings::default();
    settings.entry.retries = retries;
    settings
}

/// Adds a guard with a number, a zone and a number of slots.
fn add_guard(network: &mut Network, settings: &Settings, guard: (u16, &str, u32)) -> usize {
    let (number, zone, slots) = guard;
    let spec = NodeSpec {
        number,
        zone,
        service: Some(SERVICE),
        slots,
    };
    add_node(network, settings, &spec)
}

fn add_entry(network: &mut Network, settings: &Settings, number: u16, zone: &str) -> usize {
    let spec = NodeSpec {
        number,
        zone,
        service: None,
        slots: 0,
    };
    add_node(network, settings, &spec)
}

fn leave(network: &mut Network, node: usize, kind: Leave) {
    let notice = match kind {
        Leave::Stop => Notice::StopRequested,
        Leave::TargetDrain => {
            let mut announcement = announcement(SERVICE, SLOTS);
            announcement.is_draining = true;
            Notice::TargetAnnounced(announcement)
        }
    };
    network.deliver_notice(node, notice);
}

/// A node that was requested to leave.
struct LeavingNode {
    node: usize,
    last_end_us: Rc<Cell<u64>>,
    stopped_us: Option<u64>,
}

/// Kills each node that has reported its stop, as the daemon's process would exit.
fn kill_stopped(network: &mut Network, leaving_nodes: &mut [LeavingNode]) {
    for one in leaving_nodes {
        if one.stopped_us.is_none() && network.nodes[one.node].is_stopped {
            one.stopped_us = Some(network.now_us);
            network.kill(one.node);
        }
    }
}

/// Checks that a node stopped after the end of its last request and within the bound.
fn check_stop(one: &LeavingNode, requested_us: u64) {
    let stopped_us = one.stopped_us.expect("the node stops");
    let last_end_us = one.last_end_us.get();
    assert!(stopped_us >= last_end_us, "{stopped_us} < {last_end_us}");
    let linger_us = u64::from(Settings::default().guard.stop_linger_ms) * 1_000;
    let stop_duration_us = stopped_us - requested_us;
    assert!(
        stop_duration_us <= linger_us + LONG_US,
        "{stop_duration_us} us"
    );
    println!("stopped after {stop_duration_us} us");
}

/// Checks that a target got no new work after the bound.
fn check_new_work(network: &Network, node: usize, requested_us: u64) {
    let last_us = network.nodes[node]
        .runs
        .iter()
        .map(|(at_us, _)| *at_us)
        .max();
    let last_us = last_us.expect("the target had work before");
    let after_us = last_us.saturating_sub(requested_us);
    println!("last new work {after_us} us after the notice");
    assert!(after_us <= NEW_WORK_MAX_US, "new work {after_us} us after");
}

fn check_leaving(case: LeavingCase) {
    let mut network = Network::new(500);
    let settings = settings(case.retries);
    for (number, zone) in [(1, "a"), (2, "b")] {
        add_entry(&mut network, &settings, number, zone);
    }
    let mut ends = Vec::new();
    for (number, zone) in [(3, "a"), (4, "b"), (5, "c"), (6, "a")] {
        let node = add_guard(&mut network, &settings, (number, zone, SLOTS));
        ends.push((node, set_target(&mut network, node)));
    }
    network.run_until(CONVERGENCE_US);
    let mut callers = Callers::new((0..6).collect());
    callers.run(&mut network, 2_000_000, |_| {});

    network.platform_fault = case.platform;
    if case.is_gossip_lost {
        let leaving = case.leaving;
        network.request_filter = Box::new(move |from, to, request| {
            let is_leaving_link = leaving.contains(&from) || leaving.contains(&to);
            !(is_leaving_link && matches!(request, PeerRequest::Membership(_)))
        });
    }
    if case.has_late_entry_with_stale_rows {
        network.stale_rows = Some(network.rows.clone());
    }
    let requested_us = network.now_us;
    let mut leaving_nodes = Vec::new();
    for (node, last_end_us) in ends {
        if !case.leaving.contains(&node) {
            continue;
        }
        leave(&mut network, node, case.leave);
        leaving_nodes.push(LeavingNode {
            node,
            last_end_us,
            stopped_us: None,
        });
    }
    if case.leave == Leave::Stop {
        callers.entries.retain(|node| !case.leaving.contains(node));
    }
    if case.has_late_entry_with_stale_rows {
        let late = add_entry(&mut network, &settings, 7, "c");
        callers.run(&mut network, 1_000_000, |network| {
            kill_stopped(network, &mut leaving_nodes);
        });
        callers.entries.push(late);
    }
    callers.run(&mut network, 4_000_000, |network| {
        kill_stopped(network, &mut leaving_nodes);
    });
    callers.finish_calls(&mut network, |network| {
        kill_stopped(network, &mut leaving_nodes)
    });
    for one in &leaving_nodes {
        check_new_work(&network, one.node, requested_us);
        match case.leave {
            Leave::Stop => check_stop(one, requested_us),
            Leave::TargetDrain => assert!(one.stopped_us.is_none()),
        }
    }
    println!(
        "{} calls ran, {} refusals of payments carried no ticket",
        callers.ran, callers.refused
    );
}

const BASELINE: LeavingCase = LeavingCase {
    leave: Leave::Stop,
    leaving: &[2],
    is_gossip_lost: false,
    has_late_entry_with_stale_rows: false,
    platform: PlatformFault::None,
    retries: 3,
};

cases! { check_leaving:
    a_planned_stop => BASELINE,
    a_target_that_drains => LeavingCase { leave: Leave::TargetDrain, ..BASELINE },
    a_planned_stop_with_gossip_lost => LeavingCase { is_gossip_lost: true, ..BASELINE },
    a_target_that_drains_with_gossip_lost => LeavingCase {
        leave: Leave::TargetDrain, is_gossip_lost: true, ..BASELINE
    },
    an_entry_that_joins_with_stale_rows_and_gossip_lost => LeavingCase {
        is_gossip_lost: true, has_late_entry_with_stale_rows: true, ..BASELINE
    },
    a_draining_target_and_an_entry_with_stale_rows_and_gossip_lost => LeavingCase {
        leave: Leave::TargetDrain,
        is_gossip_lost: true,
        has_late_entry_with_stale_rows: true,
        ..BASELINE
    },
    a_planned_stop_with_the_platform_down => LeavingCase {
        platform: PlatformFault::Down, ..BASELINE
    },
    a_target_that_drains_with_the_platform_down => LeavingCase {
        leave: Leave::TargetDrain, platform: PlatformFault::Down, ..BASELINE
    },
    a_planned_stop_with_the_table_responses_lost => LeavingCase {
        platform: PlatformFault::ResponseLost, ..BASELINE
    },
    two_stops_at_once => LeavingCase { leaving: &[2, 5], ..BASELINE },
    two_stops_at_once_with_gossip_lost_and_the_platform_down => LeavingCase {
        leaving: &[2, 3], is_gossip_lost: true, platform: PlatformFault::Down, ..BASELINE
    },
    a_planned_stop_and_calls_without_retries_with_gossip_lost => LeavingCase {
        is_gossip_lost: true, retries: 0, ..BASELINE
    },
    two_draining_targets_and_calls_without_retries_with_gossip_lost => LeavingCase {
        leave: Leave::TargetDrain, leaving: &[2, 3], is_gossip_lost: true, retries: 0, ..BASELINE
    },
}

/// No call may fail while the nodes of each zone in turn are stopped and replaced.
fn check_rolling_restart(slots: u32) {
    let settings = settings(3);
    let mut network = Network::new(500);
    let mut zones = Vec::new();
    let mut number = 0;
    for zone in ["a", "b", "c"] {
        let mut nodes = Vec::new();
        for _ in 0..2 {
            number += 1;
            let node = add_guard(&mut network, &settings, (number, zone, slots));
            nodes.push((node, set_target(&mut network, node)));
        }
        zones.push((zone, nodes));
    }
    network.run_until(CONVERGENCE_US);
    let mut callers = Callers::new((0..6).collect());
    callers.run(&mut network, 1_000_000, |_| {});
    for (zone, nodes) in zones {
        let requested_us = network.now_us;
        let mut leaving_nodes = Vec::new();
        for (node, last_end_us) in nodes {
            leave(&mut network, node, Leave::Stop);
            callers.entries.retain(|entry| *entry != node);
            leaving_nodes.push(LeavingNode {
                node,
                last_end_us,
                stopped_us: None,
            });
        }
        callers.run(&mut network, 5_000_000, |network| {
            kill_stopped(network, &mut leaving_nodes);
        });
        for one in &leaving_nodes {
            check_new_work(&network, one.node, requested_us);
            check_stop(one, requested_us);
            number += 1;
            let node = add_guard(&mut network, &settings, (number, zone, slots));
            set_target(&mut network, node);
            callers.run(&mut network, 2_000_000, |_| {});
            callers.entries.push(node);
        }
    }
    callers.finish_calls(&mut network, |_| {});
    println!(
        "{} calls ran, {} refusals of payments carried no ticket",
        callers.ran, callers.refused
    );
}

cases! { check_rolling_restart:
    rolling_restart_of_zones_with_many_slots_at_each_target => SLOTS,
    rolling_restart_of_zones_with_few_slots_at_each_target => FEW_SLOTS,
}

/// Calls that are queued at a leaving target which has become slow must go to another target in
/// time.
fn check_queued_calls_move_to_another_target(kind: Leave) {
    let mut network = Network::new(500);
    let settings = settings(3);
    let entry = add_entry(&mut network, &settings, 1, "a");
    let slow = add_guard(&mut network, &settings, (2, "a", 2));
    network.run_until(CONVERGENCE_US);
    let mut callers = Callers::new(vec![entry]);
    callers.run(&mut network, 200_000, |_| {});
    callers.finish_calls(&mut network, |_| {});
    network.nodes[slow].runs.clear();
    network.nodes[slow].target =
        Box::new(|_, _| (TargetOutcome::Answered(ok_answer()), 2 * LONG_US));
    let other = add_guard(&mut network, &settings, (3, "b", SLOTS));
    let mut waiting = request(SERVICE, "GET", "/");
    waiting.deadline_left_ms = Some(4 * DEADLINE_MS);
    for _ in 0..4 {
        callers.send(&mut network, waiting.clone(), 0);
    }
    network.run_until(network.now_us + 1_000_000);
    assert_eq!(network.nodes[slow].runs.len(), 2);
    assert_eq!(network.nodes[other].runs.len(), 0);
    let requested_us = network.now_us;
    leave(&mut network, slow, kind);
    callers.finish_calls(&mut network, |_| {});
    check_new_work(&network, slow, requested_us);
    assert_eq!(network.nodes[other].runs.len(), 2);
}

cases! { check_queued_calls_move_to_another_target:
    calls_queued_at_a_stopping_target_go_to_another => Leave::Stop,
    calls_queued_at_a_draining_target_go_to_another => Leave::TargetDrain,
}
