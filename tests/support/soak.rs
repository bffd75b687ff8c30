//! The schedule of a soak: which fault strikes what, when, and when it ends.

use dragonflylug_standins::platform::FaultMode;
use dragonflylug_standins::target::TargetMode;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The time between two faults.
const GAP_MS: std::ops::Range<u64> = 100..700;

/// The time that a fault lasts.
const LASTS_MS: std::ops::Range<u64> = 200..2_500;

/// The time after the end of a fault before the same part is struck again.
const REST_MS: u64 = 300;

/// The time from the beginning of a target's drain to its end.
const DRAIN_LASTS_MS: u64 = 3_500;

/// A daemon by its place: entries first, then guards.
pub type DaemonAt = usize;

/// What is done to the system from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Stops a process without notice until it is resumed.
    Pause(DaemonAt),
    Resume(DaemonAt),
    /// Kills a process; it is started again later.
    Kill(DaemonAt),
    /// Asks a process to end; it is started again later.
    Terminate(DaemonAt),
    Start(DaemonAt),
    /// Makes the open connections to a guard silent for good.
    Silence(DaemonAt),
    /// Cuts the connections to a guard until they are restored.
    Cut(DaemonAt),
    Restore(DaemonAt),
    /// Makes the target beside a guard misbehave until it is mended.
    Spoil(DaemonAt, TargetMode),
    Mend(DaemonAt),
    /// Lets the target beside a guard leave; both are replaced later.
    Drain(DaemonAt),
    Replace(DaemonAt),
    /// Makes the platform's store misbehave until it is mended.
    SpoilStore(FaultMode),
    MendStore,
}

/// The number of processes that a schedule strikes.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    pub entries: usize,
    pub guards: usize,
}

/// Draws the actions of a soak, in order of time; faults of different parts overlap.
pub fn schedule(rng: &mut ChaCha8Rng, places: Places, until_ms: u64) -> Vec<(u64, Action)> {
    let daemons = places.entries + places.guards;
    // The store stands behind the last daemon.
    let mut free_from_ms = vec![0; daemons + 1];
    let mut actions = Vec::new();
    let mut now_ms = 0;
    loop {
        now_ms += rng.random_range(GAP_MS);
        if now_ms >= until_ms {
            break;
        }
        let part = rng.random_range(0..=daemons);
        if free_from_ms[part] > now_ms {
            continue;
        }
        let (begin, end) = draw(rng, places, part);
        let lasts_ms = match begin {
            Action::Drain(_) => DRAIN_LASTS_MS,
            _ => rng.random_range(LASTS_MS),
        };
        let ends_ms = now_ms + lasts_ms;
        actions.push((now_ms, begin));
        free_from_ms[part] = ends_ms + REST_MS;
        if let Some(end) = end {
            actions.push((ends_ms, end));
        }
    }
    actions.sort_by_key(|(at_ms, _)| *at_ms);
    actions
}

/// Draws what happens to one part, and what ends it.
fn draw(rng: &mut ChaCha8Rng, places: Places, part: usize) -> (Action, Option<Action>) {
    if part == places.entries + places.guards {
        let modes = [FaultMode::Down, FaultMode::Slow, FaultMode::AnswerLost];
        let mode = modes[rng.random_range(0..modes.len())];
        return (Action::SpoilStore(mode), Some(Action::MendStore));
    }
    let of_process = [
        (Action::Pause(part), Some(Action::Resume(part))),
        (Action::Kill(part), Some(Action::Start(part))),
        (Action::Terminate(part), Some(Action::Start(part))),
    ];
    if part < places.entries {
        return of_process[rng.random_range(0..of_process.len())];
    }
    let modes = [TargetMode::Hang, TargetMode::Error, TargetMode::CutAnswer];
    let mode = modes[rng.random_range(0..modes.len())];
    let of_guard = [
        (Action::Silence(part), None),
        (Action::Cut(part), Some(Action::Restore(part))),
        (Action::Spoil(part, mode), Some(Action::Mend(part))),
        (Action::Drain(part), Some(Action::Replace(part))),
    ];
    let at = rng.random_range(0..of_process.len() + of_guard.len());
    match of_process.get(at) {
        Some(drawn) => *drawn,
        None => of_guard[at - of_process.len()],
    }
}
