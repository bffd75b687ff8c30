//! What child calls inherit from the running request that makes them, and the retries it grants.

use super::Guard;
use crate::ids::{CallKey, Priority, RequestId, RootId};
use crate::request::RunKey;

/// The tolerance when the time left of a child call is compared with its parent's deadline.
const CHILD_DEADLINE_SLACK_US: u64 = 20_000;

/// The properties of a running request that its child calls inherit.
#[derive(Clone, Debug, PartialEq)]
pub struct Parent {
    /// The guard's key of the call that runs the request.
    pub call_key: CallKey,
    /// The identifier of the request.
    pub request_id: RequestId,
    /// The root of its call graph.
    pub root: RootId,
    /// Its depth below the root.
    pub depth: u8,
    /// The priority of the root.
    pub priority: Priority,
    /// The time at which the answer is due.
    pub deadline_us: u64,
    /// Whether it runs at most once.
    pub is_run_once: bool,
}

impl Guard {
    /// Returns the running request with an identifier.
    pub fn parent(&self, request_id: RequestId) -> Option<Parent> {
        let key = self.running.get(&request_id)?;
        let guard_call = self.calls.get(key)?;
        Some(Parent {
            call_key: *key,
            request_id,
            root: guard_call.peer_call.root,
            depth: guard_call.peer_call.depth,
            priority: guard_call.peer_call.priority,
            deadline_us: guard_call.deadline_us,
            is_run_once: guard_call.peer_call.run_key != RunKey::None,
        })
    }

    /// Returns the share of repeats among the requests that run.
    pub fn repeat_share(&self) -> f64 {
        let mut repeats = 0;
        for key in self.running.values() {
            repeats += u32::from(
                self.calls
                    .get(key)
                    .is_some_and(|call| call.peer_call.is_repeat),
            );
        }
        f64::from(repeats) / self.running.len().max(1) as f64
    }

    /// Returns whether a running request could have made a call that has `left_ms` left.
    pub fn may_have_called(&self, now_us: u64, left_ms: u32) -> bool {
        let ends_us = now_us + u64::from(left_ms) * 1_000;
        for key in self.running.values() {
            let deadline_us = self.calls.get(key).map_or(0, |call| call.deadline_us);
            if ends_us <= deadline_us + CHILD_DEADLINE_SLACK_US {
                return true;
            }
        }
        false
    }

    /// Grants half of a running request's remaining retries, rounded up, to one child call, and
    /// records that the request makes calls.
    pub fn grant_retries(&mut self, parent_id: RequestId) -> u32 {
        let Some(key) = self.running.get(&parent_id) else {
            return 0;
        };
        let Some(guard_call) = self.calls.get_mut(key) else {
            return 0;
        };
        guard_call.has_child_calls = true;
        let wanted = guard_call.allowance.left().div_ceil(2);
        guard_call.allowance.grant(wanted)
    }

    /// Refunds the retries that a child call did not spend, and records whether it failed.
    pub fn finish_child(&mut self, parent_id: RequestId, retries_unspent: u32, is_failed: bool) {
        let Some(key) = self.running.get(&parent_id) else {
            return;
        };
        let Some(guard_call) = self.calls.get_mut(key) else {
            return;
        };
        guard_call.allowance.refund(retries_unspent);
        guard_call.has_failed_child |= is_failed;
    }
}
