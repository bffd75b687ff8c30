//! Keeps requests that may end the target from it, or apart from each other.

use super::{Guard, RECHECK_HELD_TIMER, STANDINGS_CHANGED, Stage};
use crate::admission::CallOutcome;
use crate::calls::guard;
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::quarantine::{self, Quarantine, RequestContent, Standing};
use crate::verdict::{Refusal, RefusalReason};

/// How long a request is held back before it is refused, so that another target gets it.
const HOLD_MAX_US: u64 = 500_000;

impl Guard {
    /// Returns how a request is judged by the reports of ended targets.
    fn standing(&self, context: &mut Context<'_>, key: CallKey) -> Standing {
        let now_us = context.now_us();
        let quarantine = context.find::<Quarantine>(quarantine::NAME);
        let (Some(quarantine), Some(guard_call)) = (quarantine, self.calls.get(&key)) else {
            return Standing::Clear;
        };
        let content = RequestContent::of_peer_call(&guard_call.peer_call);
        quarantine.standing(now_us, &content)
    }

    /// Returns the refusal of a request that ended its targets.
    pub(super) fn find_quarantine_refusal(
        &self,
        context: &mut Context<'_>,
        key: CallKey,
    ) -> Option<Refusal> {
        quarantine::refusal(self.standing(context, key))
    }

    /// Returns whether a request must not be sent now: it is a suspect, and another suspect is at the
    /// target.
    pub(super) fn must_be_held(&self, context: &mut Context<'_>, key: CallKey) -> bool {
        if self.standing(context, key) != Standing::Suspect {
            return false;
        }
        for other in self.running.values() {
            if *other != key && self.standing(context, *other) != Standing::Clear {
                return true;
            }
        }
        false
    }

    /// Holds an admitted request back until no other suspect is at the target.
    pub(super) fn hold(&mut self, context: &mut Context<'_>, key: CallKey) {
        let now_us = context.now_us();
        if let Some(guard_call) = self.calls.get_mut(&key) {
            guard_call.stage = Stage::Held;
            guard_call.held_since_us.get_or_insert(now_us);
        }
        self.held.push(key);
        context.set_timer(HOLD_MAX_US, RECHECK_HELD_TIMER);
        self.release(context, key, CallOutcome::Cancelled);
    }

    /// Judges the held requests again once the current event is handled.
    pub(super) fn schedule_recheck(&self, context: &mut Context<'_>) {
        if !self.held.is_empty() {
            context.queue_event(guard::NAME, STANDINGS_CHANGED);
        }
    }

    /// Admits the held requests that may be sent now, and refuses those that waited for too long.
    pub(super) fn recheck_held(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        for key in std::mem::take(&mut self.held) {
            let Some(guard_call) = self.calls.get(&key) else {
                continue;
            };
            if guard_call.stage != Stage::Held {
                continue;
            }
            let held_since_us = guard_call.held_since_us.unwrap_or(now_us);
            if !self.must_be_held(context, key) {
                self.admit(context, key);
                continue;
            }
            if now_us < held_since_us + HOLD_MAX_US {
                self.held.push(key);
                continue;
            }
            let refusal = self.refusal(RefusalReason::Isolated, true);
            self.refuse(context, key, refusal);
        }
    }

    /// Refuses the held requests of a target that leaves.
    pub(super) fn refuse_held(&mut self, context: &mut Context<'_>) {
        for key in std::mem::take(&mut self.held) {
            let is_held = self
                .calls
                .get(&key)
                .is_some_and(|guard_call| guard_call.stage == Stage::Held);
            if is_held {
                let refusal = self.refusal(RefusalReason::Leaving, true);
                self.refuse(context, key, refusal);
            }
        }
    }
}
