//! Retries over a whole call graph: retry tokens bound them, compared with retries at each hop.
//!
//! `cargo test --test retry_graph -- --nocapture` prints the table of docs/design/retry.md.

use std::sync::{Arc, Mutex};

use dragonflylug::kernel::{Context, Effect, Event, Input, Kernel, Service};
use dragonflylug::peer::{PeerRequest, PeerResponse};
use dragonflylug::retry::Allowance;
use dragonflylug::run_once::{TicketBlock, TicketRequest};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RETRIES: u32 = 3;

/// How a hop decides on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// By tokens: each call is granted all that are left.
    Tokens,
    /// By tokens: each call is granted half of what is left.
    HalfTokens,
    /// By a fixed number of retries at each hop.
    EachHop,
}

/// The shares of attempts that fail and of answers that are lost or late.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// The share of attempts that fail at the deepest service.
    failed_percent: u32,
    lost_percent: u32,
    late_percent: u32,
}

/// Simulates requests over a call graph in which each service calls `fan_out` others, down to
/// `depth`.
struct GraphSimulation {
    policy: Policy,
    depth: usize,
    fan_out: u32,
    faults: Faults,
    rng: ChaCha8Rng,
    attempts_by_depth: Vec<u64>,
    retries: u64,
}

impl GraphSimulation {
    fn new(policy: Policy, depth: usize, fan_out: u32, faults: Faults, seed: u64) -> Self {
        Self {
            policy,
            depth,
            fan_out,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            attempts_by_depth: vec![0; depth + 1],
            retries: 0,
        }
    }

    fn draw_with_percent(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    /// Calls the service at a depth until it answers or no retry is left; returns whether it
    /// answered and the number of unspent tokens.
    fn call(&mut self, depth: usize, tokens: u32) -> (bool, u32) {
        let retries = match self.policy {
            Policy::EachHop => RETRIES,
            Policy::Tokens | Policy::HalfTokens => tokens,
        };
        let mut own = Allowance::new(retries);
        loop {
            self.attempts_by_depth[depth] += 1;
            let (is_answered, was_late) = self.attempt_call(depth, &mut own);
            if is_answered {
                return (true, own.left());
            }
            let is_expired = was_late && self.policy != Policy::EachHop;
            if is_expired || !own.spend() {
                return (false, own.left());
            }
            self.retries += 1;
        }
    }

    /// Makes one attempt: grants tokens to the call and refunds the unspent tokens that its answer
    /// returns.
    ///
    /// Returns whether the call was answered in time, and whether its answer was late.
    fn attempt_call(&mut self, depth: usize, own: &mut Allowance) -> (bool, bool) {
        let granted = match self.policy {
            Policy::Tokens => own.grant(own.left()),
            Policy::HalfTokens => own.grant(own.left().div_ceil(2)),
            Policy::EachHop => 0,
        };
        let (is_answered, unspent) = self.serve(depth, granted);
        if self.draw_with_percent(self.faults.lost_percent) {
            return (false, false);
        }
        if self.draw_with_percent(self.faults.late_percent) {
            return (false, true);
        }
        own.refund(unspent);
        (is_answered, false)
    }

    /// Serves a request at a depth; its calls run in parallel and share its tokens.
    fn serve(&mut self, depth: usize, tokens: u32) -> (bool, u32) {
        if depth == self.depth {
            return (!self.draw_with_percent(self.faults.failed_percent), tokens);
        }
        let mut own = Allowance::new(tokens);
        let mut is_answered = true;
        let mut shares = Vec::new();
        for child in 0..self.fan_out {
            shares.push(own.grant(own.left().div_ceil(self.fan_out - child)));
        }
        for share in shares {
            let (is_child_answered, unspent) = self.call(depth + 1, share);
            own.refund(unspent);
            is_answered &= is_child_answered;
        }
        (is_answered, own.left())
    }
}

const ALL_FAIL: Faults = Faults {
    failed_percent: 100,
    lost_percent: 0,
    late_percent: 0,
};

/// With 3 retries at each hop instead, there are 4 to the power of the depth attempts at the
/// deepest service.
#[test]
fn retries_in_a_chain_do_not_grow_with_its_depth() {
    println!("depth | tokens: retries, deepest attempts | each hop: retries, deepest attempts");
    for depth in [1, 2, 4, 6, 8, 10, 19] {
        let mut graph = GraphSimulation::new(Policy::Tokens, depth, 1, ALL_FAIL, 1);
        graph.call(1, RETRIES);
        assert_eq!(graph.retries, u64::from(RETRIES));
        let deepest = graph.attempts_by_depth[depth];
        assert_eq!(deepest, 1 + u64::from(RETRIES));
        if depth > 10 {
            println!("{depth} | {}, {deepest} | not run", graph.retries);
            continue;
        }
        let mut each_hop = GraphSimulation::new(Policy::EachHop, depth, 1, ALL_FAIL, 1);
        each_hop.call(1, RETRIES);
        let (retries, each_hop_deepest) = (each_hop.retries, each_hop.attempts_by_depth[depth]);
        assert_eq!(each_hop_deepest, 4_u64.pow(depth as u32));
        let tokens = graph.retries;
        println!("{depth} | {tokens}, {deepest} | {retries}, {each_hop_deepest}");
    }
}

/// If a call holds all tokens and its answer is lost, no token is left for a retry above it. No
/// policy may make more retries than there are tokens.
#[test]
fn granting_half_of_the_tokens_answers_more_in_a_deep_chain_with_lost_answers() {
    let roots = 10_000;
    println!("failed%, lost% | policy | answered of {roots} | retries");
    for (failed_percent, lost_percent) in [(30, 0), (30, 1), (0, 3)] {
        let faults = Faults {
            failed_percent,
            lost_percent,
            late_percent: 0,
        };
        let mut answered_by = Vec::new();
        for policy in [Policy::Tokens, Policy::HalfTokens] {
            let (mut answered, mut retries) = (0, 0);
            for seed in 0..roots {
                let mut graph = GraphSimulation::new(policy, 19, 1, faults, seed);
                answered += u64::from(graph.call(1, RETRIES).0);
                retries += graph.retries;
            }
            println!("{failed_percent}, {lost_percent} | {policy:?} | {answered} | {retries}");
            assert!(retries <= roots * u64::from(RETRIES));
            answered_by.push(answered);
        }
        let is_better_with_half = answered_by[1] > answered_by[0];
        assert!(lost_percent == 0 || is_better_with_half, "{answered_by:?}");
    }
}

/// Sends a peer request when it starts, and refunds two tokens at each peer response.
struct Requester(Arc<Mutex<Allowance>>);

impl Service for Requester {
    fn name(&self) -> &'static str {
        "requester"
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        let mut allowance = self.0.lock().unwrap();
        match event {
            Event::Started => {
                let request = TicketRequest {
                    service: "s".into(),
                    count: 1,
                };
                let to = ([127, 0, 0, 1], 1).into();
                context.send_request(to, PeerRequest::Tickets(request), 1_000);
                assert_eq!(allowance.grant(2), 2);
                assert_eq!(allowance.grant(2), 2);
            }
            Event::PeerResponse { .. } => allowance.refund(2),
            _ => {}
        }
    }
}

#[test]
fn a_duplicate_peer_response_refunds_its_tokens_once() {
    let allowance = Arc::new(Mutex::new(Allowance::new(4)));
    let mut kernel = Kernel::new(1);
    kernel.register(Box::new(Requester(allowance.clone())));
    let effects = kernel.start(0);
    let [Effect::SendPeerRequest { key, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    for _ in 0..2 {
        let block = TicketBlock {
            tickets: Vec::new(),
        };
        let result = Ok(PeerResponse::Tickets(block));
        kernel.handle(1, Input::PeerResponse { key, result });
    }
    assert_eq!(allowance.lock().unwrap().left(), 2);
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    })]

    #[test]
    fn no_graph_makes_more_retries_than_its_root_has_tokens(
        policy in prop_oneof![Just(Policy::Tokens), Just(Policy::HalfTokens)],
        depth in 1_usize..6,
        fan_out in 1_u32..4,
        tokens in 0_u32..8,
        percents in prop::array::uniform3(0_u32..100),
        seed in any::<u64>(),
    ) {
        let [failed_percent, lost_percent, late_percent] = percents;
        let faults = Faults { failed_percent, lost_percent, late_percent };
        let mut graph = GraphSimulation::new(policy, depth, fan_out, faults, seed);
        let (_, left) = graph.call(1, tokens);
        prop_assert!(graph.retries + u64::from(left) <= u64::from(tokens));
    }
}
