//! Run-once under random orders of tries, late copies, faults, pauses and restarts.

#[path = "support/network.rs"]
mod network;
#[path = "support/runner.rs"]
mod runner;

use dragonflylug::calls;
use dragonflylug::ids::CallKey;
use dragonflylug::kernel::{Event, TargetOutcome};
use dragonflylug::peer::PeerRequest;
use dragonflylug::request::RunKey;
use dragonflylug::run_once::{NAME, RunOnce, RunOnceSettings, Ticket, VoidRequest};
use dragonflylug::verdict::Verdict;
use network::{Network, PlatformFault, ok_answer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use runner::{add_node, claim, request};

const PLACES: usize = 3;
const KEYS: usize = 4;
/// Keys below this are tickets, the others are claims.
const TICKETS: usize = 2;
const KEPT_BYTES_MAX: usize = 800;

/// Something that happens to the daemons or to the callers.
#[derive(Clone, Debug)]
enum Step {
    Try {
        key: usize,
        place: usize,
        delay_us: u64,
    },
    Copy {
        key: usize,
        place: usize,
    },
    Cancel {
        key: usize,
    },
    Void {
        key: usize,
    },
    Queue {
        place: usize,
        is_on: bool,
    },
    Restart {
        place: usize,
    },
    Pause {
        place: usize,
        for_us: u64,
    },
    Fault(PlatformFault),
    Target {
        place: usize,
        mode: u8,
    },
    Wait {
        for_us: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let place = 0..PLACES;
    let key = 0..KEYS;
    let fault = prop_oneof![
        Just(PlatformFault::None),
        Just(PlatformFault::Down),
        Just(PlatformFault::AnswerLost),
        (1_000_u64..900_000).prop_map(PlatformFault::Slow),
    ];
    let step = prop_oneof![
        8 => (key.clone(), place.clone(), 0_u64..400_000)
            .prop_map(|(key, place, delay_us)| Step::Try { key, place, delay_us }),
        3 => (key.clone(), place.clone()).prop_map(|(key, place)| Step::Copy { key, place }),
        2 => key.clone().prop_map(|key| Step::Cancel { key }),
        2 => key.prop_map(|key| Step::Void { key }),
        3 => (place.clone(), any::<bool>())
            .prop_map(|(place, is_on)| Step::Queue { place, is_on }),
        1 => place.clone().prop_map(|place| Step::Restart { place }),
        1 => (place.clone(), 0_u64..2_000_000)
            .prop_map(|(place, for_us)| Step::Pause { place, for_us }),
        2 => fault.prop_map(Step::Fault),
        2 => (place, 0_u8..3).prop_map(|(place, mode)| Step::Target { place, mode }),
        8 => (0_u64..700_000).prop_map(|for_us| Step::Wait { for_us }),
    ];
    prop::collection::vec(step, 1..60)
}

/// One try of a key by its caller.
struct Try {
    call: u64,
    node: usize,
    sent_us: u64,
    is_first_try: bool,
}

/// A call on its way to a node.
struct Delivery {
    at_us: u64,
    place: usize,
    call: u64,
    path: String,
    run_key: RunKey,
}

struct World {
    net: Network,
    /// The node of the present incarnation at each place.
    current: Vec<usize>,
    tickets: Vec<Option<(usize, Ticket)>>,
    tries: Vec<Vec<Try>>,
    deliveries: Vec<Delivery>,
    next_call: u64,
    next_member: u64,
}

fn settings() -> RunOnceSettings {
    RunOnceSettings {
        kept_answers_bytes_max: KEPT_BYTES_MAX,
        ticket_ranges_max: 4,
        ..RunOnceSettings::default()
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            net: Network::new(500),
            current: vec![0; PLACES],
            tickets: vec![None; KEYS],
            tries: (0..KEYS).map(|_| Vec::new()).collect(),
            deliveries: Vec::new(),
            next_call: 0,
            next_member: 0,
        };
        for place in 0..PLACES {
            world.start(place);
        }
        world
    }

    fn start(&mut self, place: usize) {
        self.next_member += 1;
        self.current[place] = add_node(&mut self.net, place, self.next_member, settings());
    }

    fn run_until(&mut self, until_us: u64) {
        loop {
            self.deliveries.sort_by_key(|delivery| delivery.at_us);
            if self
                .deliveries
                .first()
                .is_none_or(|first| first.at_us > until_us)
            {
                break;
            }
            let mut delivery = self.deliveries.remove(0);
            self.net.run_until(delivery.at_us.max(self.net.now_us));
            let node = self.current[delivery.place];
            let paused_until_us = self.net.nodes[node].paused_until_us;
            if paused_until_us > self.net.now_us {
                delivery.at_us = paused_until_us;
                self.deliveries.push(delivery);
                continue;
            }
            let event = Event::CallArrived {
                call: CallKey(delivery.call),
                request: Box::new(request(&delivery.path, delivery.run_key)),
            };
            self.net.event(node, calls::NAME, event);
        }
        self.net.run_until(until_us);
    }

    fn run_key(&mut self, key: usize, place: usize, is_first_try: bool) -> (RunKey, usize) {
        if key >= TICKETS {
            return (claim(&key.to_string(), is_first_try), place);
        }
        let (place, ticket) = match self.tickets[key] {
            Some(taken) => taken,
            None => {
                let now_us = self.net.now_us;
                let kernel = &mut self.net.nodes[self.current[place]].kernel;
                let run_once = kernel.find::<RunOnce>(NAME).unwrap();
                (place, run_once.issue(now_us, 1).tickets[0])
            }
        };
        self.tickets[key] = Some((place, ticket));
        (RunKey::Ticket(ticket), place)
    }

    fn deliver(&mut self, key: usize, place: usize, delay_us: u64, is_first_try: bool) -> Try {
        let (run_key, place) = self.run_key(key, place, is_first_try);
        self.next_call += 1;
        let call = self.next_call;
        self.deliveries.push(Delivery {
            at_us: self.net.now_us + delay_us,
            place,
            call,
            path: format!("/{key}"),
            run_key,
        });
        Try {
            call,
            node: self.current[place],
            sent_us: self.net.now_us,
            is_first_try,
        }
    }

    /// A caller says "first try" where it heard that each earlier try did not run.
    fn is_fresh(&self, key: usize) -> bool {
        for one in &self.tries[key] {
            match self.heard(one.call) {
                Some((_, Verdict::NotRun(_))) => {}
                _ => return false,
            }
        }
        true
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Try {
                key,
                place,
                delay_us,
            } => {
                let is_first_try = self.is_fresh(key);
                let sent = self.deliver(key, place, delay_us, is_first_try);
                self.tries[key].push(sent);
            }
            // A first try has one copy; an entry daemon marks each further one as a repeat.
            Step::Copy { key, place } => {
                let has_repeats = self.tries[key].iter().any(|one| !one.is_first_try);
                if has_repeats || (key < TICKETS && !self.tries[key].is_empty()) {
                    self.deliver(key, place, 0, false);
                }
            }
            Step::Cancel { key } => {
                if let Some(last) = self.tries[key].last() {
                    let gone = Event::CallerGone(CallKey(last.call));
                    self.net.event(last.node, calls::NAME, gone);
                }
            }
            Step::Void { key } => {
                if let Some((place, ticket)) = self.tickets[key] {
                    let inbound = dragonflylug::ids::InboundKey(u64::MAX);
                    let question = PeerRequest::Void(VoidRequest { ticket });
                    let event = Event::PeerRequest {
                        inbound,
                        request: question,
                    };
                    self.net.event(self.current[place], NAME, event);
                }
            }
            Step::Queue { place, is_on } => {
                let event = Event::Timer(u64::from(is_on));
                self.net.event(self.current[place], calls::NAME, event);
            }
            Step::Restart { place } => {
                self.net.kill(self.current[place]);
                self.start(place);
            }
            Step::Pause { place, for_us } => {
                let until_us = self.net.now_us + for_us;
                self.net.pause(self.current[place], until_us);
            }
            Step::Fault(fault) => self.net.platform_fault = fault,
            Step::Target { place, mode } => {
                self.net.nodes[self.current[place]].target = Box::new(move |_, _| match mode {
                    0 => (TargetOutcome::Answered(ok_answer()), 10_000),
                    1 => (TargetOutcome::Answered(ok_answer()), 900_000),
                    _ => (TargetOutcome::NotSent, 1_000),
                });
            }
            Step::Wait { for_us } => self.run_until(self.net.now_us + for_us),
        }
    }

    /// Ends all faults and lets everything come to rest.
    fn settle(&mut self) {
        self.net.platform_fault = PlatformFault::None;
        for place in 0..PLACES {
            self.step(Step::Queue {
                place,
                is_on: false,
            });
        }
        self.run_until(self.net.now_us + 10_000_000);
    }

    fn run_times(&self, key: usize) -> Vec<u64> {
        let path = format!("/{key}");
        let mut times = Vec::new();
        for node in &self.net.nodes {
            for (at_us, http) in &node.runs {
                if http.path == path {
                    times.push(*at_us);
                }
            }
        }
        times
    }

    fn heard(&self, call: u64) -> Option<(u64, &Verdict)> {
        for node in &self.net.nodes {
            for (at_us, key, reply) in &node.replies {
                if *key == CallKey(call) {
                    return Some((*at_us, &reply.verdict));
                }
            }
        }
        None
    }

    /// A caller believes the verdict of its latest try, until it sends another.
    fn check(&self, key: usize) {
        let runs = self.run_times(key);
        assert!(runs.len() <= 1, "key {key} ran at {runs:?}");
        for (at, one) in self.tries[key].iter().enumerate() {
            let Some((heard_us, verdict)) = self.heard(one.call) else {
                continue;
            };
            let next_us = self.tries[key]
                .get(at + 1)
                .map_or(u64::MAX, |next| next.sent_us);
            if heard_us > next_us && key >= TICKETS {
                continue;
            }
            let until_us = if key < TICKETS { u64::MAX } else { next_us };
            match verdict {
                Verdict::NotRun(refusal) => {
                    let ran = runs.iter().any(|run_us| *run_us < until_us);
                    assert!(
                        !ran,
                        "key {key}, {refusal:?} at {heard_us}, ran at {runs:?}"
                    );
                }
                Verdict::Ran(_) => assert_eq!(runs.len(), 1, "key {key} did not run"),
                Verdict::MayHaveRun(_) => {}
            }
        }
    }

    fn check_memory(&mut self) {
        for place in 0..PLACES {
            let kernel = &mut self.net.nodes[self.current[place]].kernel;
            let run_once = kernel.find::<RunOnce>(NAME).unwrap();
            assert!(run_once.kept_bytes() <= KEPT_BYTES_MAX);
        }
    }
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
    fn no_key_runs_twice_and_no_refused_one_runs(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        world.settle();
        for key in 0..KEYS {
            world.check(key);
        }
        world.check_memory();
    }
}
