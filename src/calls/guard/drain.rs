//! The planned stop of a guard: no new work, and the end of what is in flight.

use super::{DRAIN_TIMER, Guard, Stage};
use crate::admission::{self, Admission, CancelOutcome};
use crate::calls::entry::{self, Entry};
use crate::kernel::{Context, Effect, StateChange};
use crate::run_once::{self, RunOnce};
use crate::verdict::RefusalReason;

/// The time between two looks whether all work has ended.
const LOOK_PERIOD_US: u64 = 50_000;

/// The time after which a target that is leaving starts none of the calls that wait for it.
pub(super) const HAND_ON_AFTER_US: u64 = 1_000_000;

/// The time beyond the linger for which the table may still take back unused claims.
const CLAIMS_WAIT_US: u64 = 5_000_000;

/// How far a planned stop has come.
#[derive(Default)]
pub(super) struct Drain {
    linger_until_us: Option<u64>,
    is_over: bool,
}

impl Drain {
    pub(super) fn start(&mut self, linger_until_us: u64) {
        self.linger_until_us.get_or_insert(linger_until_us);
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.linger_until_us.is_some()
    }
}

impl Guard {
    /// Refuses the calls that still wait, so that other targets take them.
    pub(super) fn hand_on_queued(&mut self, context: &mut Context<'_>) {
        if !self.is_leaving() {
            return;
        }
        let mut queued = Vec::new();
        for (key, guard_call) in self.calls.iter() {
            if guard_call.stage == Stage::Queued {
                queued.push(*key);
            }
        }
        let now_us = context.now_us();
        for key in queued {
            let Some(admission) = context.find::<Admission>(admission::NAME) else {
                return;
            };
            if admission.cancel(now_us, key) != CancelOutcome::RemovedFromQueue {
                continue;
            }
            let refusal = self.refusal(RefusalReason::Leaving, true);
            self.refuse(context, key, refusal);
        }
    }

    /// Ends the node once nothing is in flight and peers had time to learn of the stop.
    pub(super) fn look_for_end(&mut self, context: &mut Context<'_>) {
        let Some(linger_until_us) = self.drain.linger_until_us else {
            return;
        };
        if self.drain.is_over {
            return;
        }
        let entry_calls = context
            .find::<Entry>(entry::NAME)
            .map_or(0, |entry| entry.len());
        let in_flight = entry_calls + self.calls.len();
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let is_settled = run_once.is_none_or(|run_once| run_once.is_idle())
            || context.now_us() >= linger_until_us + CLAIMS_WAIT_US;
        if context.now_us() < linger_until_us || in_flight > 0 || !is_settled {
            context.set_timer(LOOK_PERIOD_US, DRAIN_TIMER);
            return;
        }
        self.drain.is_over = true;
        context.log(StateChange::new("guard", "stopped", "nothing is in flight"));
        context.emit(Effect::Stopped);
    }
}
