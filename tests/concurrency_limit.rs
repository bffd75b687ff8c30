//! The learned concurrency limit on a model of one target under virtual time: its goodput within
//! deadlines compared with that of the best fixed limit and of the trial limit.
//!
//! The demand exceeds what the target can do. Above its knee a target takes longer for each call
//! that starts.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::admission::{
    Admission, AdmissionOutcome, AdmissionSettings, Arrival, CallOutcome, LimitPolicy,
};
use dragonflylug::ids::{CallKey, Priority, WorkKind};
use dragonflylug::request::Rank;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SECOND_US: u64 = 1_000_000;
const SLOTS: u32 = 70;
/// The demand over what all slots can do without a slowdown.
const DEMAND: f64 = 1.3;
/// The time after a change, or after the start, in which the limit may be learned.
const LEARNING_S: u64 = 5;
const STALL_US: u64 = 600_000;

/// The kinds of work: their service times and the times in which their callers need answers.
const SERVICE_US: [f64; 3] = [15_000.0, 250_000.0, 15_000.0];
const DEADLINE_US: [u64; 3] = [400_000, 1_500_000, 1_500_000];
/// The kind whose calls wait for calls that the target makes.
const CALLER: usize = 2;

/// How the target behaves, and which kinds of work it gets, from a time on.
#[derive(Clone, Copy)]
struct Phase {
    from_s: u64,
    /// The number of concurrent calls above which calls are slower by `factor`.
    knee: u32,
    factor: f64,
    speed: f64,
    /// The share of each kind in the demand.
    mix: [f64; 3],
    /// How long a call of the kind `CALLER` waits for other services.
    deeper_us: f64,
    /// The minimum goodput, over that of the best fixed limit.
    of_best: f64,
    /// The minimum goodput, over that of the trial limit.
    of_trial: f64,
}

const STEADY: Phase = Phase {
    from_s: 0,
    knee: SLOTS,
    factor: 1.0,
    speed: 1.0,
    mix: [1.0, 0.0, 0.0],
    deeper_us: 0.0,
    of_best: 0.95,
    of_trial: 0.0,
};

const NO_KNEE: Phase = Phase {
    of_trial: 0.9,
    ..STEADY
};

#[derive(Clone)]
struct Case {
    phases: Vec<Phase>,
    stall_at_s: Option<u64>,
    end_s: u64,
}

const fn knee(share: f64, factor: f64) -> Phase {
    Phase {
        knee: (SLOTS as f64 * share) as u32,
        factor,
        ..STEADY
    }
}

fn phases(phases: &[Phase]) -> Case {
    Case {
        phases: phases.to_vec(),
        stall_at_s: None,
        end_s: phases[phases.len() - 1].from_s + 2 * LEARNING_S,
    }
}

/// A call at the target.
struct Running {
    call: CallKey,
    ends_us: u64,
    outcome: CallOutcome,
}

/// A target, its guard's admission and its callers.
struct Model<'a> {
    case: &'a Case,
    admission: Admission,
    rng: SmallRng,
    now_us: u64,
    running: Vec<Running>,
    /// Kind and deadline of each call, by its key.
    calls: Vec<(usize, u64)>,
    good_times_us: Vec<u64>,
}

impl Model<'_> {
    fn phase(&self) -> Phase {
        let begun = |phase: &&Phase| phase.from_s * SECOND_US <= self.now_us;
        *self.case.phases.iter().rfind(begun).unwrap()
    }

    fn run(mut self) -> Vec<u64> {
        let mut arrival_us = 0;
        let stall_us = self.case.stall_at_s.map(|at_s| at_s * SECOND_US);
        let mut next_stall_us = stall_us;
        while self.now_us < self.case.end_s * SECOND_US {
            let first = (0..self.running.len()).min_by_key(|index| self.running[*index].ends_us);
            let end_us = first.map_or(u64::MAX, |first| self.running[first].ends_us);
            if let Some(at_us) = next_stall_us.filter(|at_us| *at_us <= end_us.min(arrival_us)) {
                next_stall_us = None;
                self.now_us = at_us;
                self.delay_running();
            } else if end_us <= arrival_us {
                self.now_us = end_us;
                let ended = self.running.swap_remove(first.unwrap());
                self.end(ended);
            } else {
                self.now_us = arrival_us;
                arrival_us += self.arrive();
            }
        }
        self.good_times_us
    }

    /// Lets a call arrive and returns the time until the next one.
    fn arrive(&mut self) -> u64 {
        let phase = self.phase();
        let mut pick = self.rng.random_range(0.0..1.0);
        let mut kind = 0;
        while kind < CALLER && pick >= phase.mix[kind] {
            pick -= phase.mix[kind];
            kind += 1;
        }
        let call = CallKey(self.calls.len() as u64);
        let deadline_us = self.now_us + DEADLINE_US[kind];
        self.calls.push((kind, deadline_us));
        let arrival = Arrival {
            call,
            rank: Rank {
                priority: Priority::Normal,
                root_rank: 0,
            },
            deadline_us,
            kind: WorkKind(kind as u64 + 1),
        };
        if self.admission.offer(self.now_us, arrival).outcome == AdmissionOutcome::Start {
            self.start(call);
        }
        let mut mean_us = 0.0;
        for (share, service_us) in phase.mix.iter().zip(SERVICE_US) {
            mean_us += share * service_us / phase.speed;
        }
        let gap_us = mean_us / f64::from(SLOTS) / DEMAND;
        (-gap_us * self.rng.random_range(f64::EPSILON..1.0).ln()) as u64
    }

    fn start(&mut self, call: CallKey) {
        let phase = self.phase();
        let (kind, deadline_us) = self.calls[call.0 as usize];
        let is_slow = self.running.len() as u32 >= phase.knee;
        let factor = if is_slow { phase.factor } else { 1.0 };
        let jitter = self.rng.random_range(0.5..1.5);
        let mut service_us = SERVICE_US[kind] * jitter * factor / phase.speed;
        if kind == CALLER {
            service_us += phase.deeper_us;
            self.admission.record_child_calls(call);
        }
        let stall_us = self.case.stall_at_s.map_or(0, |at_s| at_s * SECOND_US);
        let stalled_us = (stall_us + STALL_US).saturating_sub(self.now_us);
        let is_stalled = stall_us > 0 && self.now_us >= stall_us;
        let resumes_us = self.now_us + if is_stalled { stalled_us } else { 0 };
        let answered_us = resumes_us + service_us as u64;
        self.running.push(Running {
            call,
            ends_us: answered_us.min(deadline_us),
            outcome: outcome_at(answered_us, deadline_us),
        });
    }

    /// Delays all calls at the target by a stall.
    fn delay_running(&mut self) {
        for running in &mut self.running {
            let answered_us = running.ends_us + STALL_US;
            let deadline_us = self.calls[running.call.0 as usize].1;
            running.ends_us = answered_us.min(deadline_us);
            running.outcome = outcome_at(answered_us, deadline_us);
        }
    }

    fn end(&mut self, ended: Running) {
        if ended.outcome == CallOutcome::Answered {
            self.good_times_us.push(self.now_us);
        }
        let dequeued = self
            .admission
            .finish(self.now_us, ended.call, ended.outcome);
        for call in dequeued.started {
            self.start(call);
        }
    }
}

fn outcome_at(answered_us: u64, deadline_us: u64) -> CallOutcome {
    match answered_us < deadline_us {
        true => CallOutcome::Answered,
        false => CallOutcome::Failed,
    }
}

/// Returns the times of the good answers with a limit policy and a number of slots; the trial
/// policy tries lower limits only with all slots.
fn run(case: &Case, limit_policy: LimitPolicy, slots: u32, tries_lower_limit: bool) -> Vec<u64> {
    let settings = AdmissionSettings {
        limit_policy,
        tries_lower_limit,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(settings);
    admission.set_slots(0, slots);
    let model = Model {
        case,
        admission,
        rng: SmallRng::seed_from_u64(7),
        now_us: 0,
        running: Vec::new(),
        calls: Vec::new(),
        good_times_us: Vec::new(),
    };
    model.run()
}

fn check(case: Case) {
    let learned = run(&case, LimitPolicy::Learned, SLOTS, false);
    let trial = run(&case, LimitPolicy::Trial, SLOTS, true);
    let mut fixed = Vec::new();
    let mut limits: Vec<u32> = (1..=5).map(|fifth| SLOTS * fifth / 5).collect();
    limits.extend(case.phases.iter().map(|phase| phase.knee));
    limits.sort_unstable();
    limits.dedup();
    for limit in limits {
        fixed.push(run(&case, LimitPolicy::Trial, limit, false));
    }
    for (index, phase) in case.phases.iter().enumerate() {
        let next = case.phases.get(index + 1);
        let until_us = next.map_or(case.end_s, |next| next.from_s) * SECOND_US;
        let from_us = (phase.from_s + LEARNING_S) * SECOND_US;
        let good = |times_us: &Vec<u64>| {
            let is_within = |time_us: &&u64| (from_us..until_us).contains(*time_us);
            times_us.iter().filter(is_within).count() as f64
        };
        let best = fixed.iter().map(good).fold(0.0, f64::max);
        let of_best = good(&learned) / best;
        let of_trial = good(&learned) / good(&trial);
        println!("phase {index}: {of_best:.3} of the best, {of_trial:.3} of the trial limit");
        assert!(of_best >= phase.of_best, "{of_best:.3} of the best limit");
        assert!(of_trial >= phase.of_trial, "{of_trial:.3} of the trial");
    }
}

cases! {
    check:
    // The limit stays at the slots, since a step down from there shows no gain.
    a_low_mild_knee => phases(&[knee(0.3, 1.3)]),
    a_low_steep_knee => phases(&[knee(0.3, 4.0)]),
    a_middle_mild_knee => phases(&[knee(0.6, 1.3)]),
    a_middle_steep_knee => phases(&[knee(0.6, 4.0)]),
    // Steps are too coarse for the last slots.
    a_high_mild_knee => phases(&[knee(0.95, 1.3)]),
    a_high_steep_knee => phases(&[knee(0.95, 4.0)]),
    // The limit follows only down, or only with the next sweep.
    a_knee_that_moves_up_and_down => phases(&[
        knee(0.3, 4.0),
        Phase { from_s: 15, ..knee(0.8, 4.0) },
        Phase { from_s: 30, ..knee(0.4, 4.0) },
    ]),
    // The late calls of the stall are taken for a knee.
    a_stall => Case { stall_at_s: Some(8), ..phases(&[NO_KNEE]) },
    a_stall_at_a_knee => Case { stall_at_s: Some(8), ..phases(&[knee(0.6, 4.0)]) },
    // Longer work is taken for slowness.
    a_mix_that_becomes_long => phases(&[
        NO_KNEE,
        Phase { from_s: 10, mix: [0.3, 0.7, 0.0], ..NO_KNEE },
    ]),
    // The wait for another service is taken for slowness at this concurrency.
    a_slow_deeper_service => phases(&[
        Phase { mix: [0.5, 0.0, 0.5], ..NO_KNEE },
        Phase { from_s: 10, mix: [0.5, 0.0, 0.5], deeper_us: 200_000.0, ..NO_KNEE },
    ]),
    // The limit or the floor of the times is kept from the former speed.
    a_target_that_becomes_faster => phases(&[
        knee(0.6, 4.0),
        Phase { from_s: 10, speed: 3.0, ..knee(0.9, 4.0) },
    ]),
    // Trials of lower limits cost more than they can bring.
    no_knee => phases(&[NO_KNEE]),
    no_knee_with_long_work => phases(&[Phase { mix: [0.0, 1.0, 0.0], ..NO_KNEE }]),
}
