//! Retries over a whole call graph: the bound on further tries, against retries at each hop.
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

/// How a hop decides on a further try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// By tokens: all that are left go down with each call.
    Tokens,
    /// By tokens: half of what is left goes down with each call.
    HalfTokens,
    /// By a number of retries of its own.
    EachHop,
}

/// What happens to answers on their way up.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// The share of tries that fail at the deepest service.
    failed_percent: u32,
    lost_percent: u32,
    late_percent: u32,
}

/// A call graph in which each service calls `fan_out` others, down to `depth`.
struct Graph {
    policy: Policy,
    depth: usize,
    fan_out: u32,
    faults: Faults,
    rng: ChaCha8Rng,
    tries_at: Vec<u64>,
    further_tries: u64,
}

impl Graph {
    fn new(policy: Policy, depth: usize, fan_out: u32, faults: Faults, seed: u64) -> Self {
        Self {
            policy,
            depth,
            fan_out,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tries_at: vec![0; depth + 1],
            further_tries: 0,
        }
    }

    fn happens(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    /// Calls the service at a depth until it answers or no retry is left; returns what is unspent.
    fn call(&mut self, depth: usize, tokens: u32) -> (bool, u32) {
        let retries = match self.policy {
            Policy::EachHop => RETRIES,
            Policy::Tokens | Policy::HalfTokens => tokens,
        };
        let mut own = Allowance::new(retries);
        loop {
            self.tries_at[depth] += 1;
            let (is_answered, was_late) = self.try_once(depth, &mut own);
            if is_answered {
                return (true, own.left());
            }
            let is_over = was_late && self.policy != Policy::EachHop;
            if is_over || !own.spend() {
                return (false, own.left());
            }
            self.further_tries += 1;
        }
    }

    /// One try: hands tokens down and takes back what the answer returns, once.
    fn try_once(&mut self, depth: usize, own: &mut Allowance) -> (bool, bool) {
        let handed = match self.policy {
            Policy::Tokens => own.grant(own.left()),
            Policy::HalfTokens => own.grant(own.left().div_ceil(2)),
            Policy::EachHop => 0,
        };
        let (is_answered, unspent) = self.serve(depth, handed);
        if self.happens(self.faults.lost_percent) {
            return (false, false);
        }
        if self.happens(self.faults.late_percent) {
            return (false, true);
        }
        own.refund(unspent);
        (is_answered, false)
    }

    /// Serves a request at a depth: its calls run side by side and share its tokens.
    fn serve(&mut self, depth: usize, tokens: u32) -> (bool, u32) {
        if depth == self.depth {
            return (!self.happens(self.faults.failed_percent), tokens);
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

#[test]
fn further_tries_of_a_chain_do_not_grow_with_its_depth() {
    println!("depth | tokens: further, at the deepest | each hop: further, at the deepest");
    for depth in [1, 2, 4, 6, 8, 10, 19] {
        let mut graph = Graph::new(Policy::Tokens, depth, 1, ALL_FAIL, 1);
        graph.call(1, RETRIES);
        assert_eq!(graph.further_tries, u64::from(RETRIES));
        let deepest = graph.tries_at[depth];
        assert_eq!(deepest, 1 + u64::from(RETRIES));
        if depth > 10 {
            println!("{depth} | {}, {deepest} | not run", graph.further_tries);
            continue;
        }
        let mut naive = Graph::new(Policy::EachHop, depth, 1, ALL_FAIL, 1);
        naive.call(1, RETRIES);
        let (further, naive_deepest) = (naive.further_tries, naive.tries_at[depth]);
        assert_eq!(naive_deepest, 4_u64.pow(depth as u32));
        let tokens = graph.further_tries;
        println!("{depth} | {tokens}, {deepest} | {further}, {naive_deepest}");
    }
}

#[test]
fn a_chain_of_nineteen_stays_within_its_tokens_and_answers_more_where_half_stay() {
    let roots = 10_000;
    println!("failed%, lost% | policy | answered of {roots} | further tries");
    for (failed_percent, lost_percent) in [(30, 0), (30, 1), (0, 3)] {
        let faults = Faults {
            failed_percent,
            lost_percent,
            late_percent: 0,
        };
        let mut answered_by = Vec::new();
        for policy in [Policy::Tokens, Policy::HalfTokens] {
            let (mut answered, mut further) = (0, 0);
            for seed in 0..roots {
                let mut graph = Graph::new(policy, 19, 1, faults, seed);
                answered += u64::from(graph.call(1, RETRIES).0);
                further += graph.further_tries;
            }
            println!("{failed_percent}, {lost_percent} | {policy:?} | {answered} | {further}");
            assert!(further <= roots * u64::from(RETRIES));
            answered_by.push(answered);
        }
        let is_half_better = answered_by[1] > answered_by[0];
        assert!(lost_percent == 0 || is_half_better, "{answered_by:?}");
    }
}

/// Asks a peer when it starts, and takes back two tokens at each answer.
struct Asker(Arc<Mutex<Allowance>>);

impl Service for Asker {
    fn name(&self) -> &'static str {
        "asker"
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
fn an_answer_that_comes_twice_returns_its_tokens_once() {
    let allowance = Arc::new(Mutex::new(Allowance::new(4)));
    let mut kernel = Kernel::new(1);
    kernel.register(Box::new(Asker(allowance.clone())));
    let effects = kernel.start(0);
    let [Effect::SendPeerRequest { key: ask, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    for _ in 0..2 {
        let block = TicketBlock {
            tickets: Vec::new(),
        };
        let result = Ok(PeerResponse::Tickets(block));
        kernel.handle(1, Input::PeerResponse { key: ask, result });
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
    fn no_graph_makes_more_further_tries_than_its_root_has(
        policy in prop_oneof![Just(Policy::Tokens), Just(Policy::HalfTokens)],
        depth in 1_usize..6,
        fan_out in 1_u32..4,
        tokens in 0_u32..8,
        percents in prop::array::uniform3(0_u32..100),
        seed in any::<u64>(),
    ) {
        let [failed_percent, lost_percent, late_percent] = percents;
        let faults = Faults { failed_percent, lost_percent, late_percent };
        let mut graph = Graph::new(policy, depth, fan_out, faults, seed);
        let (_, left) = graph.call(1, tokens);
        prop_assert!(graph.further_tries + u64::from(left) <= u64::from(tokens));
    }
}
