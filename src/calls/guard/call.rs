//! A request at the guard, from its arrival to the reply.

use crate::decision::{Decision, DecisionInputs, Step};
use crate::ids::InboundKey;
use crate::kernel::Context;
use crate::request::PeerCall;
use crate::retry::Allowance;
use crate::run_once::ClaimHolder;

/// A request at the guard.
pub(super) struct GuardCall {
    pub(super) inbound: InboundKey,
    pub(super) peer_call: PeerCall,
    pub(super) arrived_us: u64,
    pub(super) started_us: u64,
    pub(super) deadline_us: u64,
    pub(super) allowance: Allowance,
    pub(super) stage: Stage,
    pub(super) has_failed_child: bool,
    /// Whether a child call that names the request as its parent began.
    pub(super) has_child_calls: bool,
    /// Whether the entry daemon no longer waits for the reply.
    pub(super) is_abandoned: bool,
    /// When the request was first held back from the target.
    pub(super) held_since_us: Option<u64>,
    pub(super) holder: Option<ClaimHolder>,
}

impl GuardCall {
    /// Logs a decision on the request if it is routed. `is_ordinary` marks lines that are dropped
    /// first if there are too many.
    pub(super) fn log_decision(
        &self,
        context: &mut Context<'_>,
        step: Step,
        outcome: &'static str,
        is_ordinary: bool,
        inputs: DecisionInputs,
    ) {
        let Some(subject) = self.peer_call.decision_subject() else {
            return;
        };
        context.log_decision(Decision {
            subject,
            step,
            outcome,
            is_ordinary,
            inputs,
        });
    }
}

/// The progress of a request at the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No decision was made yet.
    New,
    /// It waits until its claim is decided in the platform's table.
    AwaitingClaim,
    /// It waits for the verdict of another call with the same key.
    Joined,
    /// It waits in the admission queue.
    Queued,
    /// It was admitted, and waits until another request is no longer at the target.
    Held,
    /// It was sent to the target.
    Sent,
}
