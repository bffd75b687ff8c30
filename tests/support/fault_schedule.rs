//! Draws the schedule of a soak test: which fault affects which component, and when it starts and
//! ends.

use dragonflylug_standins::platform::FaultMode;
use dragonflylug_standins::target::TargetMode;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The time between two draws of a fault; a draw for a component that is still faulty is skipped.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..700;

/// How long a fault lasts.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2_500;

/// The minimum time between the end of a fault and the next fault of the same component.
const FAULT_FREE_MS: u64 = 300;

/// The time from the start of a target's drain until the target is replaced.
const DRAIN_DURATION_MS: u64 = 3_500;

/// How long a target names a rate limit, and the limit in requests per second.
const LIMIT_DURATION_MS: std::ops::Range<u64> = 4_000..6_000;
const LIMIT_PER_S: std::ops::Range<u32> = 5..40;

/// The time between two draws of a limit.
const LIMIT_INTERVAL_MS: std::ops::Range<u64> = 500..3_000;

/// The index of a daemon: entries come first, then guards.
pub type DaemonIndex = usize;

/// An action that starts or ends a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Stops a process without notice until it is resumed.
    Pause(DaemonIndex),
    Resume(DaemonIndex),
    /// Kills a process, which is started again later.
    Kill(DaemonIndex),
    /// Requests a graceful shutdown of a process, which is started again later.
    Terminate(DaemonIndex),
    Start(DaemonIndex),
    /// Makes the open connections to a guard permanently silent.
    SilenceConnections(DaemonIndex),
    /// Cuts the connections to a guard until they are restored.
    CutConnections(DaemonIndex),
    RestoreConnections(DaemonIndex),
    /// Makes the target beside a guard fail in a mode until it is repaired.
    BreakTarget(DaemonIndex, TargetMode),
    RepairTarget(DaemonIndex),
    /// Makes the answers of the target beside a guard name a rate limit until it is lifted.
    LimitTarget(DaemonIndex, u32),
    LiftLimit(DaemonIndex),
    /// Drains the target beside a guard; both are replaced later.
    DrainTarget(DaemonIndex),
    Replace(DaemonIndex),
    /// Makes the platform's table and object store fail in a mode until they are repaired.
    BreakPlatform(FaultMode),
    RepairPlatform,
}

/// The number of daemons that a schedule affects.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCounts {
    pub entries: usize,
    pub guards: usize,
}

/// Draws the actions of a soak test with their times, sorted by time. Faults of different
/// components overlap, and all of them start before `duration_ms`.
pub fn draw_schedule(
    rng: &mut ChaCha8Rng,
    counts: DaemonCounts,
    duration_ms: u64,
) -> Vec<(u64, FaultAction)> {
    let daemons = counts.entries + counts.guards;
    // The platform's table and object store have the index after the last daemon.
    let mut free_from_ms = vec![0; daemons + 1];
    let mut actions = Vec::new();
    let mut now_ms = 0;
    loop {
        now_ms += rng.random_range(FAULT_INTERVAL_MS);
        if now_ms >= duration_ms {
            break;
        }
        let component = rng.random_range(0..=daemons);
        if free_from_ms[component] > now_ms {
            continue;
        }
        let (start, end) = draw_fault(rng, counts, component);
        let fault_duration_ms = match start {
            FaultAction::DrainTarget(_) => DRAIN_DURATION_MS,
            _ => rng.random_range(FAULT_DURATION_MS),
        };
        let end_ms = now_ms + fault_duration_ms;
        actions.push((now_ms, start));
        free_from_ms[component] = end_ms + FAULT_FREE_MS;
        if let Some(end) = end {
            actions.push((end_ms, end));
        }
    }
    actions.sort_by_key(|(time_ms, _)| *time_ms);
    actions
}

/// Draws when targets name a rate limit and for how long. Limits overlap with all faults.
pub fn draw_limits(
    rng: &mut ChaCha8Rng,
    counts: DaemonCounts,
    duration_ms: u64,
) -> Vec<(u64, FaultAction)> {
    let mut free_from_ms = vec![0; counts.guards];
    let mut actions = Vec::new();
    let mut now_ms = rng.random_range(LIMIT_INTERVAL_MS);
    while now_ms < duration_ms {
        let guard = rng.random_range(0..counts.guards);
        let end_ms = now_ms + rng.random_range(LIMIT_DURATION_MS);
        let per_s = rng.random_range(LIMIT_PER_S);
        if free_from_ms[guard] <= now_ms {
            free_from_ms[guard] = end_ms;
            let index = counts.entries + guard;
            actions.push((now_ms, FaultAction::LimitTarget(index, per_s)));
            actions.push((end_ms, FaultAction::LiftLimit(index)));
        }
        now_ms += rng.random_range(LIMIT_INTERVAL_MS);
    }
    actions
}

/// Draws a fault of a component: the action that starts it and the one that ends it. Silenced
/// connections stay silent, so that fault has no end.
fn draw_fault(
    rng: &mut ChaCha8Rng,
    counts: DaemonCounts,
    component: usize,
) -> (FaultAction, Option<FaultAction>) {
    if component == counts.entries + counts.guards {
        let modes = [FaultMode::Down, FaultMode::Slow, FaultMode::AnswerLost];
        let mode = modes[rng.random_range(0..modes.len())];
        return (
            FaultAction::BreakPlatform(mode),
            Some(FaultAction::RepairPlatform),
        );
    }
    let process_faults = [
        (
            FaultAction::Pause(component),
            Some(FaultAction::Resume(component)),
        ),
        (
            FaultAction::Kill(component),
            Some(FaultAction::Start(component)),
        ),
        (
            FaultAction::Terminate(component),
            Some(FaultAction::Start(component)),
        ),
    ];
    if component < counts.entries {
        return process_faults[rng.random_range(0..process_faults.len())];
    }
    let modes = [TargetMode::Hang, TargetMode::Error, TargetMode::CutAnswer];
    let mode = modes[rng.random_range(0..modes.len())];
    let guard_faults = [
        (FaultAction::SilenceConnections(component), None),
        (
            FaultAction::CutConnections(component),
            Some(FaultAction::RestoreConnections(component)),
        ),
        (
            FaultAction::BreakTarget(component, mode),
            Some(FaultAction::RepairTarget(component)),
        ),
        (
            FaultAction::DrainTarget(component),
            Some(FaultAction::Replace(component)),
        ),
    ];
    let index = rng.random_range(0..process_faults.len() + guard_faults.len());
    match process_faults.get(index) {
        Some(fault) => *fault,
        None => guard_faults[index - process_faults.len()],
    }
}
