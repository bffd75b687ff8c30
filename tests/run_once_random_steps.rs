//! At-most-once execution under random sequences of attempts, late copies, faults, pauses and
//! restarts.

#[path = "support/network.rs"]
mod network;
#[path = "support/peer_calls.rs"]
mod peer_calls;
#[path = "support/run_once_driver.rs"]
mod run_once_driver;

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
use run_once_driver::{add_node, claim, request};

const DAEMONS: usize = 3;
const KEYS: usize = 4;
/// The number of keys that are tickets; keys with this or a higher index are claims.
const TICKET_KEYS: usize = 2;
const KEPT_BYTES_MAX: usize = 800;

/// An event at the daemons, the platform, the targets or the callers.
#[derive(Clone, Debug)]
enum Step {
    /// The caller of a key sends it, as a first attempt or as a retry.
    Attempt {
        key: usize,
        daemon: usize,
        delay_us: u64,
    },
    /// Another copy of a request that was sent before arrives.
    Duplicate {
        key: usize,
        daemon: usize,
    },
    /// The caller gives up its latest attempt.
    Cancel {
        key: usize,
    },
    Void {
        key: usize,
    },
    /// The `RunOnceDriver` of the daemon starts or stops holding calls.
    SetHolding {
        daemon: usize,
        is_holding: bool,
    },
    Restart {
        daemon: usize,
    },
    Pause {
        daemon: usize,
        duration_us: u64,
    },
    Fault(PlatformFault),
    /// The target answers after 10 ms (0), after 900 ms (1) or can't be reached (2).
    SetTarget {
        daemon: usize,
        mode: u8,
    },
    Wait {
        duration_us: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let daemon = 0..DAEMONS;
    let key = 0..KEYS;
    let fault = prop_oneof![
        Just(PlatformFault::None),
        Just(PlatformFault::Down),
        Just(PlatformFault::ResponseLost),
        (1_000_u64..900_000).prop_map(PlatformFault::Slow),
    ];
    let step = prop_oneof![
        8 => (key.clone(), daemon.clone(), 0_u64..400_000)
            .prop_map(|(key, daemon, delay_us)| Step::Attempt { key, daemon, delay_us }),
        3 => (key.clone(), daemon.clone())
            .prop_map(|(key, daemon)| Step::Duplicate { key, daemon }),
        2 => key.clone().prop_map(|key| Step::Cancel { key }),
        2 => key.prop_map(|key| Step::Void { key }),
        3 => (daemon.clone(), any::<bool>())
            .prop_map(|(daemon, is_holding)| Step::SetHolding { daemon, is_holding }),
        1 => daemon.clone().prop_map(|daemon| Step::Restart { daemon }),
        1 => (daemon.clone(), 0_u64..2_000_000)
            .prop_map(|(daemon, duration_us)| Step::Pause { daemon, duration_us }),
        2 => fault.prop_map(Step::Fault),
        2 => (daemon, 0_u8..3).prop_map(|(daemon, mode)| Step::SetTarget { daemon, mode }),
        8 => (0_u64..700_000).prop_map(|duration_us| Step::Wait { duration_us }),
    ];
    prop::collection::vec(step, 1..60)
}

/// One attempt of a caller to have the request of a key run.
struct Attempt {
    call: u64,
    node: usize,
    sent_us: u64,
    is_first_attempt: bool,
}

/// A call on its way to a daemon; the node is the one that runs the daemon when the call arrives.
struct Delivery {
    at_us: u64,
    daemon: usize,
    call: u64,
    path: String,
    run_key: RunKey,
}

struct Simulation {
    net: Network,
    /// The node of the current process of each daemon.
    current: Vec<usize>,
    /// The ticket of each key, and the daemon that issued it.
    tickets: Vec<Option<(usize, Ticket)>>,
    attempts: Vec<Vec<Attempt>>,
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

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            net: Network::new(500),
            current: vec![0; DAEMONS],
            tickets: vec![None; KEYS],
            attempts: (0..KEYS).map(|_| Vec::new()).collect(),
            deliveries: Vec::new(),
            next_call: 0,
            next_member: 0,
        };
        for daemon in 0..DAEMONS {
            simulation.start(daemon);
        }
        simulation
    }

    fn start(&mut self, daemon: usize) {
        self.next_member += 1;
        self.current[daemon] = add_node(&mut self.net, daemon, self.next_member, settings());
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
            let node = self.current[delivery.daemon];
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
            self.net.deliver_event(node, calls::guard::NAME, event);
        }
        self.net.run_until(until_us);
    }

    fn run_key(&mut self, key: usize, daemon: usize, is_first_attempt: bool) -> (RunKey, usize) {
        if key >= TICKET_KEYS {
            return (claim(&key.to_string(), is_first_attempt), daemon);
        }
        let (daemon, ticket) = match self.tickets[key] {
            Some(issued) => issued,
            None => {
                let now_us = self.net.now_us;
                let kernel = &mut self.net.nodes[self.current[daemon]].kernel;
                let run_once = kernel.find::<RunOnce>(NAME).unwrap();
                (daemon, run_once.issue_tickets(now_us, 1).tickets[0])
            }
        };
        self.tickets[key] = Some((daemon, ticket));
        (RunKey::Ticket(ticket), daemon)
    }

    fn schedule_delivery(
        &mut self,
        key: usize,
        daemon: usize,
        delay_us: u64,
        is_first_attempt: bool,
    ) -> Attempt {
        let (run_key, daemon) = self.run_key(key, daemon, is_first_attempt);
        self.next_call += 1;
        let call = self.next_call;
        self.deliveries.push(Delivery {
            at_us: self.net.now_us + delay_us,
            daemon,
            call,
            path: format!("/{key}"),
            run_key,
        });
        Attempt {
            call,
            node: self.current[daemon],
            sent_us: self.net.now_us,
            is_first_attempt,
        }
    }

    /// Returns whether the caller marks its next attempt as a first one: each earlier attempt must
    /// have been reported as not run.
    fn is_first_attempt(&self, key: usize) -> bool {
        for attempt in &self.attempts[key] {
            match self.find_reply(attempt.call) {
                Some((_, Verdict::NotRun(_))) => {}
                _ => return false,
            }
        }
        true
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Attempt {
                key,
                daemon,
                delay_us,
            } => {
                let is_first_attempt = self.is_first_attempt(key);
                let sent = self.schedule_delivery(key, daemon, delay_us, is_first_attempt);
                self.attempts[key].push(sent);
            }
            // Only one copy is a first attempt, because entry daemons mark all others as repeats.
            Step::Duplicate { key, daemon } => {
                let has_repeats = self.attempts[key]
                    .iter()
                    .any(|attempt| !attempt.is_first_attempt);
                if has_repeats || (key < TICKET_KEYS && !self.attempts[key].is_empty()) {
                    self.schedule_delivery(key, daemon, 0, false);
                }
            }
            Step::Cancel { key } => {
                if let Some(last) = self.attempts[key].last() {
                    let gone = Event::CallerGone(CallKey(last.call));
                    self.net.deliver_event(last.node, calls::guard::NAME, gone);
                }
            }
            Step::Void { key } => {
                if let Some((daemon, ticket)) = self.tickets[key] {
                    let inbound = dragonflylug::ids::InboundKey(u64::MAX);
                    let request = PeerRequest::Void(VoidRequest { ticket });
                    let event = Event::PeerRequest { inbound, request };
                    self.net.deliver_event(self.current[daemon], NAME, event);
                }
            }
            Step::SetHolding { daemon, is_holding } => {
                let event = Event::Timer(u64::from(is_holding));
                self.net
                    .deliver_event(self.current[daemon], calls::guard::NAME, event);
            }
            Step::Restart { daemon } => {
                self.net.kill(self.current[daemon]);
                self.start(daemon);
            }
            Step::Pause {
                daemon,
                duration_us,
            } => {
                let until_us = self.net.now_us + duration_us;
                self.net.pause(self.current[daemon], until_us);
            }
            Step::Fault(fault) => self.net.platform_fault = fault,
            Step::SetTarget { daemon, mode } => {
                self.net.nodes[self.current[daemon]].target = Box::new(move |_, _| match mode {
                    0 => (TargetOutcome::Answered(ok_answer()), 10_000),
                    1 => (TargetOutcome::Answered(ok_answer()), 900_000),
                    _ => (TargetOutcome::NotSent, 1_000),
                });
            }
            Step::Wait { duration_us } => self.run_until(self.net.now_us + duration_us),
        }
    }

    /// Ends the platform fault and the holding of calls, and runs for 10 s, in which calls
    /// complete.
    fn finish(&mut self) {
        self.net.platform_fault = PlatformFault::None;
        for daemon in 0..DAEMONS {
            self.step(Step::SetHolding {
                daemon,
                is_holding: false,
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

    fn find_reply(&self, call: u64) -> Option<(u64, &Verdict)> {
        for node in &self.net.nodes {
            for (at_us, key, reply) in &node.replies {
                if *key == CallKey(call) {
                    return Some((*at_us, &reply.verdict));
                }
            }
        }
        None
    }

    /// Checks that a key ran at most once and as its verdicts say.
    ///
    /// The verdict of a claim must hold only until its caller sends the next attempt, the verdict
    /// of a ticket must hold to the end.
    fn check(&self, key: usize) {
        let runs = self.run_times(key);
        assert!(runs.len() <= 1, "key {key} ran at {runs:?}");
        for (index, attempt) in self.attempts[key].iter().enumerate() {
            let Some((replied_us, verdict)) = self.find_reply(attempt.call) else {
                continue;
            };
            let next_us = self.attempts[key]
                .get(index + 1)
                .map_or(u64::MAX, |next| next.sent_us);
            if replied_us > next_us && key >= TICKET_KEYS {
                continue;
            }
            let until_us = if key < TICKET_KEYS { u64::MAX } else { next_us };
            match verdict {
                Verdict::NotRun(refusal) => {
                    let ran = runs.iter().any(|run_us| *run_us < until_us);
                    assert!(
                        !ran,
                        "key {key}, {refusal:?} at {replied_us}, ran at {runs:?}"
                    );
                }
                Verdict::Ran(_) => assert_eq!(runs.len(), 1, "key {key} did not run"),
                Verdict::MayHaveRun(_) => {}
            }
        }
    }

    fn check_memory(&mut self) {
        for daemon in 0..DAEMONS {
            let kernel = &mut self.net.nodes[self.current[daemon]].kernel;
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
    fn no_key_runs_twice_and_no_refused_key_runs(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        simulation.finish();
        for key in 0..KEYS {
            simulation.check(key);
        }
        simulation.check_memory();
    }
}
