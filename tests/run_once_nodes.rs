//! Payments through complete daemons, under one kind of fault at a time: callers retry with the
//! same claim, or with the same ticket until it is refused.
//!
//! `cargo test --test run_once_nodes -- --nocapture` prints the table of docs/design/run-once.md.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;

use dragonflylug::calls::entry;
use dragonflylug::ids::{CallKey, MemberId, RequestId};
use dragonflylug::kernel::{CallReply, Event, Notice, TargetOutcome};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::node::build_kernel;
use dragonflylug::request::{Answer, ClaimKey, RunKey};
use dragonflylug::settings::Settings;
use dragonflylug::verdict::{RefusalReason, Verdict};
use network::{ChildCall, Network, PlatformFault, ok_answer};
use nodes::{CONVERGENCE_US, address, announcement, call, reply, request};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "payouts";
const ENTRIES: usize = 2;
const GUARDS: usize = 3;
const PAYMENTS: usize = 200;
/// The time between the starts of two payments.
const PAYMENT_INTERVAL_US: u64 = 50_000;
const TICK_US: u64 = 5_000;
const DEADLINE_MS: u32 = 1_000;
/// The time after which a caller considers its attempt lost and retries.
const CALLER_TIMEOUT_US: u64 = 1_500_000;
const RETRY_AFTER_US: u64 = 1_000_000;
const ATTEMPTS_MAX: usize = 6;

/// The kind of fault that is injected during a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    GuardKilled,
    GuardPaused,
    EntryPaused,
    SlowTarget,
    TableDown,
    TableSlow,
    PlatformResponsesLost,
    CutLink,
    All,
}

/// The progress of a payment.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Waiting {
        until_us: u64,
    },
    Calling {
        call: u64,
        entry: usize,
        sent_us: u64,
    },
    Ended(Verdict),
}

/// One payment of a caller that retries with the same claim, or with the same ticket until it is
/// refused.
struct Payment {
    stage: Stage,
    run_key: RunKey,
    uses_tickets: bool,
    attempts: usize,
    /// Whether all attempts so far ended as not run, so that the next counts as a first attempt.
    is_first_attempt: bool,
}

/// The number of payments of one simulation by verdict, and how often targets ran them.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    ran: usize,
    not_run: usize,
    doubted_and_ran: usize,
    doubted_and_not_run: usize,
    runs: usize,
}

struct Simulation {
    net: Network,
    guards: Vec<usize>,
    payments: Vec<Payment>,
    rng: ChaCha8Rng,
    next_call: u64,
    next_member: u64,
    fault: Fault,
    fault_ends_us: u64,
}

impl Simulation {
    fn new(fault: Fault, uses_tickets: bool, seed: u64) -> Self {
        let mut simulation = Self {
            net: Network::new(500),
            guards: Vec::new(),
            payments: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_call: 0,
            next_member: 0,
            fault,
            fault_ends_us: 0,
        };
        for number in 0..ENTRIES {
            simulation.add_node(number as u16, false);
        }
        for number in ENTRIES..ENTRIES + GUARDS {
            let guard = simulation.add_node(number as u16, true);
            simulation.guards.push(guard);
        }
        simulation.net.run_until(CONVERGENCE_US);
        for index in 0..PAYMENTS {
            let until_us = CONVERGENCE_US + index as u64 * PAYMENT_INTERVAL_US;
            simulation.payments.push(Payment {
                stage: Stage::Waiting { until_us },
                run_key: RunKey::None,
                uses_tickets,
                attempts: 0,
                is_first_attempt: true,
            });
        }
        simulation
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn add_node(&mut self, number: u16, has_target: bool) -> usize {
        self.next_member += 1;
        let settings = Settings::default();
        let own = Member {
            id: MemberId(1_000 + self.next_member),
            address: address(number),
            availability_zone: "a".into(),
            service: None,
            slots: 0,
            state: MemberState::Alive,
            incarnation: 0,
            schema_version: settings.config.schema_version_max,
        };
        let kernel = build_kernel(&settings, own, self.next_member);
        let node = self.net.add(address(number), kernel);
        self.net.nodes[node].target =
            Box::new(|_, _| (TargetOutcome::Answered(ok_answer()), 20_000));
        if has_target {
            let announced = Notice::TargetAnnounced(announcement(SERVICE, 8));
            self.net.deliver_notice(node, announced);
        }
        node
    }

    /// Ends the current fault when its time is over, and starts a new one at random.
    fn update_fault(&mut self) {
        let now_us = self.net.now_us;
        if now_us < self.fault_ends_us {
            return;
        }
        self.net.platform_fault = PlatformFault::None;
        self.net.link_filter = Box::new(|_, _| true);
        let is_over = now_us > CONVERGENCE_US + PAYMENTS as u64 * PAYMENT_INTERVAL_US;
        if is_over || self.random_below(1_000) >= 5 {
            return;
        }
        let duration_us = 100_000 + self.random_below(1_900_000);
        self.fault_ends_us = now_us + duration_us;
        let index = self.random_below(GUARDS as u64) as usize;
        let guard = self.guards[index];
        let kinds = [
            Fault::GuardKilled,
            Fault::GuardPaused,
            Fault::EntryPaused,
            Fault::SlowTarget,
            Fault::TableDown,
            Fault::TableSlow,
            Fault::PlatformResponsesLost,
            Fault::CutLink,
        ];
        let fault = match self.fault {
            Fault::All => kinds[self.random_below(kinds.len() as u64) as usize],
            fault => fault,
        };
        match fault {
            Fault::None | Fault::All => {}
            Fault::GuardKilled => {
                self.net.kill(guard);
                self.guards[index] = self.add_node((ENTRIES + index) as u16, true);
            }
            Fault::GuardPaused => self.net.pause(guard, now_us + duration_us),
            Fault::EntryPaused => self.net.pause(index % ENTRIES, now_us + duration_us),
            Fault::SlowTarget => {
                self.net.nodes[guard].target = Box::new(move |at_us, _| {
                    let rest_us = (now_us + duration_us).saturating_sub(at_us);
                    (TargetOutcome::Answered(ok_answer()), 20_000 + rest_us)
                });
            }
            Fault::TableDown => self.net.platform_fault = PlatformFault::TableDown,
            Fault::TableSlow => self.net.platform_fault = PlatformFault::Slow(duration_us / 2),
            Fault::PlatformResponsesLost => self.net.platform_fault = PlatformFault::ResponseLost,
            Fault::CutLink => {
                self.net.link_filter = Box::new(move |from, to| from != guard && to != guard)
            }
        }
    }

    fn start_attempt(&mut self, index: usize) {
        self.next_call += 1;
        let key = self.next_call;
        let entry = self.random_below(ENTRIES as u64) as usize;
        let payment = &mut self.payments[index];
        if !payment.uses_tickets {
            payment.run_key = RunKey::Claim(ClaimKey {
                key: format!("payment {index}"),
                is_first_attempt: payment.is_first_attempt,
            });
        }
        let mut sent = request(SERVICE, "POST", &format!("/pay/{index}"));
        sent.request = Some(RequestId(index as u64));
        sent.run_key = payment.run_key.clone();
        sent.is_repeat = payment.attempts > 0;
        sent.deadline_left_ms = Some(DEADLINE_MS);
        payment.attempts += 1;
        payment.stage = Stage::Calling {
            call: key,
            entry,
            sent_us: self.net.now_us,
        };
        call(&mut self.net, entry, key, sent);
    }

    fn handle_reply(&mut self, index: usize, reply: CallReply) {
        let now_us = self.net.now_us;
        let payment = &mut self.payments[index];
        payment.is_first_attempt &= matches!(reply.verdict, Verdict::NotRun(_));
        if let Verdict::NotRun(refusal) = &reply.verdict
            && payment.uses_tickets
        {
            payment.run_key = RunKey::None;
            if refusal.reason == RefusalReason::TicketNeeded {
                payment.run_key = RunKey::Ticket(reply.tickets[0]);
                payment.attempts -= 1;
                payment.stage = Stage::Waiting { until_us: now_us };
                return;
            }
        }
        let is_over = matches!(reply.verdict, Verdict::Ran(_)) || payment.attempts >= ATTEMPTS_MAX;
        payment.stage = if is_over {
            Stage::Ended(reply.verdict)
        } else {
            Stage::Waiting {
                until_us: now_us + RETRY_AFTER_US,
            }
        };
    }

    fn step(&mut self, index: usize) {
        let now_us = self.net.now_us;
        match self.payments[index].stage.clone() {
            Stage::Waiting { until_us } if until_us <= now_us => self.start_attempt(index),
            Stage::Calling {
                call,
                entry,
                sent_us,
            } => {
                if let Some(reply) = reply(&self.net, entry, call) {
                    self.handle_reply(index, reply);
                } else if now_us > sent_us + CALLER_TIMEOUT_US {
                    let gone = Event::CallerGone(CallKey(call));
                    self.net.deliver_event(entry, entry::NAME, gone);
                    let until_us = now_us;
                    self.payments[index].is_first_attempt = false;
                    self.payments[index].stage = Stage::Waiting { until_us };
                }
            }
            Stage::Waiting { .. } | Stage::Ended(_) => {}
        }
    }

    fn run(&mut self) {
        let until_us = self.net.now_us + PAYMENTS as u64 * PAYMENT_INTERVAL_US + 60_000_000;
        while self.net.now_us < until_us {
            self.update_fault();
            for index in 0..PAYMENTS {
                self.step(index);
            }
            let is_ended = |payment: &Payment| matches!(payment.stage, Stage::Ended(_));
            if self.payments.iter().all(is_ended) {
                break;
            }
            self.net.run_until(self.net.now_us + TICK_US);
        }
        self.net.run_until(self.net.now_us + 5_000_000);
    }

    fn runs_of(&self, index: usize) -> usize {
        let path = format!("/pay/{index}");
        let mut runs = 0;
        for node in &self.net.nodes {
            runs += node
                .runs
                .iter()
                .filter(|(_, http)| http.path == path)
                .count();
        }
        runs
    }

    /// Checks each payment's verdict against the runs at the targets, and counts the verdicts.
    fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for (index, payment) in self.payments.iter().enumerate() {
            let runs = self.runs_of(index);
            tally.runs += runs;
            assert!(runs <= 1, "payment {index} ran {runs} times");
            let Stage::Ended(verdict) = &payment.stage else {
                panic!("payment {index} is {:?}", payment.stage);
            };
            match verdict {
                Verdict::Ran(_) => {
                    assert_eq!(runs, 1, "payment {index} did not run");
                    tally.ran += 1;
                }
                Verdict::NotRun(refusal) => {
                    assert_eq!(runs, 0, "payment {index} ran: {refusal:?}");
                    tally.not_run += 1;
                }
                Verdict::MayHaveRun(_) if runs == 1 => tally.doubted_and_ran += 1,
                Verdict::MayHaveRun(_) => tally.doubted_and_not_run += 1,
            }
        }
        tally
    }
}

fn check_payments(fault: Fault) {
    for uses_tickets in [true, false] {
        let mut total = Tally::default();
        for seed in 0..5 {
            let mut simulation = Simulation::new(fault, uses_tickets, seed);
            simulation.run();
            let tally = simulation.tally();
            total.ran += tally.ran;
            total.not_run += tally.not_run;
            total.doubted_and_ran += tally.doubted_and_ran;
            total.doubted_and_not_run += tally.doubted_and_not_run;
            total.runs += tally.runs;
        }
        let kind = if uses_tickets { "ticket" } else { "claim" };
        println!("{fault:?}, {kind}: {total:?}");
        assert!(fault != Fault::None || total.ran == 5 * PAYMENTS);
    }
}

/// A target repeats a child call while it works on a run-once request. The repeat must not make the
/// child run twice.
#[test]
fn a_child_that_its_parent_repeats_runs_once() {
    let mut simulation = Simulation::new(Fault::None, true, 1);
    let parent = simulation.guards[0];
    simulation
        .net
        .deliver_notice(parent, Notice::TargetAnnounced(announcement("orders", 8)));
    let mut child = request(SERVICE, "POST", "/pay/child");
    child.request = Some(RequestId(77));
    let child = ChildCall {
        request: child,
        sends_parent_id: true,
    };
    simulation.net.nodes[parent].child_calls = vec![child.clone(), child];
    simulation
        .net
        .run_until(simulation.net.now_us + CONVERGENCE_US);
    let mut order = request("orders", "POST", "/order");
    order.request = Some(RequestId(1));
    let needed = nodes::exchange(&mut simulation.net, 0, 1, order.clone());
    order.run_key = RunKey::Ticket(needed.tickets[0]);
    let done = nodes::exchange(&mut simulation.net, 0, 2, order);
    assert!(matches!(done.verdict, Verdict::Ran(_)), "{done:?}");
    let mut runs = 0;
    for node in &simulation.net.nodes {
        let children = node
            .runs
            .iter()
            .filter(|(_, http)| http.path == "/pay/child");
        runs += children.count();
    }
    assert_eq!(runs, 1);
}

/// A second request that uses the idempotency key of the first, and the answer that it gets.
struct KeyReuse {
    caller: &'static str,
    path: &'static str,
    answer: Option<&'static str>,
}

fn check_reuse(reuse: KeyReuse) {
    let mut simulation = Simulation::new(Fault::None, false, 1);
    for guard in simulation.guards.clone() {
        simulation.net.nodes[guard].target = Box::new(|_, http| {
            let answer = Answer::new(200, Vec::new(), http.path.clone().into());
            (TargetOutcome::Answered(answer), 1_000)
        });
    }
    let mut verdicts = Vec::new();
    for (key, caller, path) in [(1, "clerk", "/pay/1"), (2, reuse.caller, reuse.path)] {
        let mut sent = request(SERVICE, "POST", path);
        sent.caller = caller.into();
        sent.run_key = RunKey::Claim(ClaimKey {
            key: "k".to_string(),
            is_first_attempt: false,
        });
        verdicts.push(nodes::exchange(&mut simulation.net, 0, key, sent).verdict);
    }
    let answer = match &verdicts[1] {
        Verdict::Ran(answer) => Some(std::str::from_utf8(&answer.body).unwrap()),
        _ => None,
    };
    assert_eq!(answer, reuse.answer);
}

cases! { check_reuse:
    a_repeat_gets_the_kept_answer => KeyReuse {
        caller: "clerk", path: "/pay/1", answer: Some("/pay/1"),
    },
    another_caller_with_the_same_key_gets_its_own_answer => KeyReuse {
        caller: "mosque", path: "/pay/2", answer: Some("/pay/2"),
    },
    a_key_reused_for_another_request_gets_no_answer => KeyReuse {
        caller: "clerk", path: "/pay/2", answer: None,
    },
}

cases! { check_payments:
    without_a_fault => Fault::None,
    while_guards_are_killed => Fault::GuardKilled,
    while_guards_are_paused => Fault::GuardPaused,
    while_entries_are_paused => Fault::EntryPaused,
    while_targets_are_slow => Fault::SlowTarget,
    while_the_table_is_down => Fault::TableDown,
    while_the_table_is_slow => Fault::TableSlow,
    while_platform_responses_are_lost => Fault::PlatformResponsesLost,
    while_links_are_cut => Fault::CutLink,
    under_all_faults_in_turn => Fault::All,
}
