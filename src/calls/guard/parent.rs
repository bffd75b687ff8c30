//! What a running request lends to the calls that its target makes.

use super::Guard;
use crate::ids::{CallKey, Priority, RequestId, RootId};
use crate::request::RunKey;

/// The error of the time that a call tells against that of the request that it is made for.
const CHILD_SLACK_US: u64 = 20_000;

/// A running request, as its child calls see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Parent {
    /// The call that runs it.
    pub call: CallKey,
    /// The request.
    pub request: RequestId,
    /// The root of its call graph.
    pub root: RootId,
    /// Its depth below the root.
    pub depth: u8,
    /// The importance of the root.
    pub priority: Priority,
    /// The time by which its answer must be there.
    pub deadline_us: u64,
    /// Whether it runs at most once.
    pub is_run_once: bool,
}

impl Guard {
    /// Returns the running request of an identifier.
    pub fn parent(&self, request: RequestId) -> Option<Parent> {
        let key = self.running.get(&request)?;
        let guard_call = self.calls.get(key)?;
        Some(Parent {
            call: *key,
            request,
            root: guard_call.call.root,
            depth: guard_call.call.depth,
            priority: guard_call.call.priority,
            deadline_us: guard_call.deadline_us,
            is_run_once: guard_call.call.run_key != RunKey::None,
        })
    }

    /// Returns the share of repeats among the requests that run.
    pub fn repeat_share(&self) -> f64 {
        let mut repeats = 0;
        for key in self.running.values() {
            repeats += u32::from(self.calls.get(key).is_some_and(|call| call.call.is_repeat));
        }
        f64::from(repeats) / self.running.len().max(1) as f64
    }

    /// Says whether a request that runs now could have made a call with this much time left.
    pub fn may_have_called(&self, now_us: u64, left_ms: u32) -> bool {
        let ends_us = now_us + u64::from(left_ms) * 1_000;
        for key in self.running.values() {
            let deadline_us = self.calls.get(key).map_or(0, |call| call.deadline_us);
            if ends_us <= deadline_us + CHILD_SLACK_US {
                return true;
            }
        }
        false
    }

    /// Takes half of the retries that a running request has left for one child call.
    pub fn lend_retries(&mut self, request: RequestId) -> u32 {
        let Some(key) = self.running.get(&request) else {
            return 0;
        };
        let Some(guard_call) = self.calls.get_mut(key) else {
            return 0;
        };
        let wanted = guard_call.allowance.left().div_ceil(2);
        guard_call.allowance.hand_down(wanted)
    }

    /// Takes back what a child call did not spend, and notes whether it failed.
    pub fn end_child(&mut self, request: RequestId, retries_unspent: u32, is_failed: bool) {
        let Some(key) = self.running.get(&request) else {
            return;
        };
        let Some(guard_call) = self.calls.get_mut(key) else {
            return;
        };
        guard_call.allowance.give_back(retries_unspent);
        guard_call.has_failed_child |= is_failed;
    }
}
