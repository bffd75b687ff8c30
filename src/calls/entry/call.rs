//! A call that an entry daemon has accepted.

use super::PendingRequest;
use super::plan::Plan;
use super::quota::Token;
use crate::calls;
use crate::decision::{Decision, DecisionInputs, Step};
use crate::ids::{MemberId, OutboundKey};
use crate::kernel::Context;
use crate::pressure::{self, ArrivingRequest, Pressures, ShedBasis};
use crate::request::{CallRequest, RunKey};
use crate::retry::Allowance;
use crate::verdict::Doubt;

/// A call that this daemon has accepted.
pub(super) struct EntryCall {
    pub(super) request: CallRequest,
    pub(super) plan: Plan,
    pub(super) accepted_us: u64,
    /// The run key that attempts carry: the key of the request, or a ticket that this daemon added.
    pub(super) run_key: RunKey,
    /// Whether this daemon obtained the ticket for this call, so that no earlier repeat of the
    /// request has used it.
    pub(super) is_own_ticket: bool,
    pub(super) allowance: Allowance,
    pub(super) pending_requests: Vec<PendingRequest>,
    /// The members that the request was sent to, or that were asked for tickets without success;
    /// the latest is last. The router chooses none of them. Cleared if a lost connection is to be
    /// retried and no other target is left.
    pub(super) excluded_members: Vec<MemberId>,
    /// How many attempts after a refusal by a leaving target spent no retry.
    pub(super) free_forwards: u32,
    /// How many attempts after one that reached no target spent no retry.
    pub(super) free_placements: u32,
    /// Whether guards count the attempts as repeats: a retry was spent, or the call was attributed
    /// to a repeat that runs at the target beside this daemon.
    pub(super) counts_as_repeat: bool,
    /// What decides whether the call is shed; `None` if it is never shed.
    pub(super) arriving: Option<ArrivingRequest>,
    /// The token of the organisation's quota.
    pub(super) token: Token,
    pub(super) was_sent: bool,
    /// The doubt of the latest attempt that may have run. Without a run key it takes precedence
    /// over a later refusal.
    pub(super) doubt: Option<Doubt>,
}

impl EntryCall {
    /// Returns whether the request must run at most once and has no run key yet.
    pub(super) fn needs_ticket(&self) -> bool {
        let is_once = !self.plan.policy.is_idempotent && self.request.routed.is_none();
        is_once && self.run_key == RunKey::None
    }

    pub(super) fn is_unkeyed(&self) -> bool {
        self.run_key == RunKey::None
    }

    /// Returns the inputs that all logged decisions on the call have in common.
    pub(super) fn decision_inputs(&self, context: &mut Context<'_>) -> DecisionInputs {
        let now_us = context.now_us();
        let left_us = self.plan.deadline_us.saturating_sub(now_us);
        DecisionInputs {
            left_ms: u32::try_from(left_us / 1_000).unwrap_or(u32::MAX),
            elapsed_ms: u32::try_from((now_us - self.accepted_us) / 1_000).unwrap_or(u32::MAX),
            config_version: calls::config_version(context),
            ..DecisionInputs::default()
        }
    }

    /// Logs a decision on the call if it is routed. `is_ordinary` marks lines that are dropped first
    /// if there are too many.
    pub(super) fn log_decision(
        &self,
        context: &mut Context<'_>,
        step: Step,
        outcome: &'static str,
        is_ordinary: bool,
        inputs: DecisionInputs,
    ) {
        let Some(subject) = self.request.decision_subject() else {
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

    /// Returns what the decision not to shed the call is based on; `None` if it is never shed.
    pub(super) fn shed_basis(&self, context: &mut Context<'_>) -> Option<ShedBasis> {
        let request = self.arriving?;
        let route = self.route()?;
        let now_us = context.now_us();
        let pressures = context.find::<Pressures>(pressure::NAME)?;
        Some(pressures.shed_basis(now_us, &route, request, self.organisation()))
    }

    pub(super) fn remove_pending_request(
        &mut self,
        outbound_key: OutboundKey,
    ) -> Option<PendingRequest> {
        let index = self
            .pending_requests
            .iter()
            .position(|pending| pending.outbound_key == outbound_key)?;
        Some(self.pending_requests.swap_remove(index))
    }
}
