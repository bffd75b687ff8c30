//! Graceful shutdown of a guard: it accepts no new work and drains what is in flight.

use super::{Guard, REFUSE_QUEUED_TIMER, STOP_CHECK_TIMER, Stage};
use crate::admission::{self, Admission, CancelOutcome};
use crate::calls::entry::{self, Entry};
use crate::calls::stop_limit::Estimate;
use crate::ids::{CallKey, WorkKind};
use crate::kernel::{Context, Effect, StateChange};
use crate::run_once::{self, RunOnce};
use crate::verdict::RefusalReason;

/// The time between two checks whether all work has ended.
const STOP_CHECK_PERIOD_US: u64 = 50_000;

/// How long a leaving target still starts queued calls; after that they are refused.
const REFUSE_QUEUED_AFTER_US: u64 = 1_000_000;

/// How long after the linger time a stop still waits for unused claims to be released in the
/// platform's table.
const CLAIM_RELEASE_WAIT_US: u64 = 5_000_000;

/// The progress of a planned stop.
#[derive(Default)]
pub(super) struct PlannedStop {
    linger_until_us: Option<u64>,
    is_complete: bool,
}

impl PlannedStop {
    pub(super) fn start(&mut self, linger_until_us: u64) {
        self.linger_until_us.get_or_insert(linger_until_us);
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.linger_until_us.is_some()
    }
}

impl Guard {
    /// Records whether the target accepts new work, after a notice that may have changed it.
    pub(super) fn update_leaving(&mut self, context: &mut Context<'_>) {
        if !self.is_leaving() {
            self.leaving_since_us = None;
            return;
        }
        if self.leaving_since_us.is_none() {
            self.leaving_since_us = Some(context.now_us());
            context.set_timer(REFUSE_QUEUED_AFTER_US, REFUSE_QUEUED_TIMER);
        }
    }

    /// Returns whether the target has been leaving for so long that it gets no queued calls either.
    pub(super) fn refuses_queued(&self, now_us: u64) -> bool {
        self.leaving_since_us
            .is_some_and(|since_us| now_us >= since_us + REFUSE_QUEUED_AFTER_US)
    }

    /// Refuses the calls that are still queued, so that entry daemons send them to other targets.
    pub(super) fn refuse_queued(&mut self, context: &mut Context<'_>) {
        if !self.refuses_queued(context.now_us()) {
            return;
        }
        let mut queued = Vec::new();
        for (key, guard_call) in self.calls.iter() {
            if guard_call.stage == Stage::Queued {
                queued.push(*key);
            }
        }
        self.refuse_held(context);
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

    /// Returns whether the process may end before a request that is sent now has its answer.
    pub(super) fn ends_before_answer(&self, now_us: u64, key: CallKey) -> bool {
        let Some(guard_call) = self.calls.get(&key) else {
            return false;
        };
        let kind = WorkKind::of_route(guard_call.peer_call.route.as_ref());
        let left_us = guard_call.deadline_us.saturating_sub(now_us);
        self.stop_limit
            .ends_before(now_us, kind, left_us, Estimate::Longest)
    }

    /// Stops the daemon once nothing is in flight and peers have had time to learn of the stop.
    ///
    /// It also waits for a bounded time until unused claims are released.
    pub(super) fn check_stop_complete(&mut self, context: &mut Context<'_>) {
        let Some(linger_until_us) = self.planned_stop.linger_until_us else {
            return;
        };
        if self.planned_stop.is_complete {
            return;
        }
        let entry_calls = context
            .find::<Entry>(entry::NAME)
            .map_or(0, |entry| entry.len());
        let in_flight = entry_calls + self.calls.len();
        let run_once = context.find::<RunOnce>(run_once::NAME);
        let are_claims_released = run_once.is_none_or(|run_once| run_once.is_idle())
            || context.now_us() >= linger_until_us + CLAIM_RELEASE_WAIT_US;
        if context.now_us() < linger_until_us || in_flight > 0 || !are_claims_released {
            context.set_timer(STOP_CHECK_PERIOD_US, STOP_CHECK_TIMER);
            return;
        }
        self.planned_stop.is_complete = true;
        context.log(StateChange::new(
            "guard",
            "planned stop is complete",
            "no call is in flight",
        ));
        context.emit(Effect::ReadyToExit);
    }
}
