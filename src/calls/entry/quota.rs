//! Takes a token of the organisation's quota for a request before it is sent.

use super::Entry;
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::organisations::Principal;
use crate::quota::{self, Outcome, Quotas, Take};
use crate::request::CallRequest;
use crate::routes::{self, Routes};
use crate::verdict::{RefusalReason, Verdict};

/// The token of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Token {
    /// The call needs none.
    NotNeeded,
    /// The call waits for its token.
    Awaited,
    /// The call has a token, which another may use until it expires if the call does not run.
    Taken {
        /// When it expires.
        expires_us: u64,
    },
}

impl Token {
    /// Returns the state of a new request.
    pub(super) fn of_request(context: &mut Context<'_>, request: &CallRequest) -> Self {
        let routed = request.routed.as_ref();
        let principal = routed.and_then(|routed| routed.principal.as_ref());
        let quotas = context.find::<Quotas>(quota::NAME);
        let is_limited = match (principal, quotas) {
            (Some(principal), Some(quotas)) => quotas.is_limited(&principal.organisation),
            _ => false,
        };
        match is_limited {
            true => Self::Awaited,
            false => Self::NotNeeded,
        }
    }
}

impl Entry {
    /// Takes a token for a call that needs one; the call goes on at once or when it has the token.
    pub(super) fn take_token(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let Some(organisation) = call.organisation().cloned() else {
            return;
        };
        let priority = call.plan.priority;
        let left_us = call.plan.deadline_us.saturating_sub(context.now_us());
        let take = context.with_service(quota::NAME, |quotas: &mut Quotas, context| {
            quotas.take(context, &organisation, key, priority, left_us)
        });
        let outcome = match take {
            Some(Take::Waiting) => return,
            Some(Take::Granted(expires_us)) => Outcome::Granted(expires_us),
            Some(Take::Exceeded { retry_after_ms }) => Outcome::Exceeded { retry_after_ms },
            None => Outcome::Unavailable,
        };
        self.apply_quota_outcome(context, key, outcome);
    }

    /// Continues or refuses a call that waited for a token. The token of a call that is over
    /// meanwhile stays unused.
    pub(super) fn apply_quota_outcome(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        outcome: Outcome,
    ) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if call.token != Token::Awaited {
            return;
        }
        let verdict = match outcome {
            Outcome::Granted(expires_us) => {
                call.token = Token::Taken { expires_us };
                self.start_with_token(context, key);
                return;
            }
            Outcome::Exceeded { retry_after_ms } => {
                Verdict::not_run(RefusalReason::QuotaExceeded, retry_after_ms)
            }
            Outcome::Unavailable => {
                let retry_after_ms = self.settings.retry_after_ms;
                Verdict::not_run(RefusalReason::QuotaUnavailable, retry_after_ms)
            }
        };
        self.finish(context, key, verdict);
    }

    /// Sends a call that has its token, unless its key was withdrawn while it waited.
    fn start_with_token(&mut self, context: &mut Context<'_>, key: CallKey) {
        let principal = self.calls.get(&key).and_then(|call| call.principal());
        if !principal.is_some_and(|principal| is_accepted(context, principal)) {
            let verdict = Verdict::not_run(RefusalReason::Unauthorized, 0);
            self.finish(context, key, verdict);
            return;
        }
        if let Some(call) = self.calls.get_mut(&key)
            && let Ok(allowance) = call.plan.open_allowance(context, &call.request)
        {
            call.allowance = allowance;
        }
        self.begin_attempts(context, key);
    }

    /// Gives up the wait of a call that is over, and gives back its token if it did not run.
    pub(super) fn return_token(
        &self,
        context: &mut Context<'_>,
        key: CallKey,
        call: &super::EntryCall,
        verdict: &Verdict,
    ) {
        let Some(organisation) = call.organisation().cloned() else {
            return;
        };
        let expires_us = match call.token {
            Token::NotNeeded => return,
            Token::Awaited => None,
            Token::Taken { expires_us } => Some(expires_us),
        };
        context.with_service(quota::NAME, |quotas: &mut Quotas, context| {
            match (expires_us, verdict) {
                (None, _) => quotas.cancel(&organisation, key),
                (Some(expires_us), Verdict::NotRun(_)) => {
                    quotas.give_back(context, &organisation, expires_us);
                }
                _ => {}
            }
        });
    }
}

/// Returns whether the key of a principal is still held by its organisation.
fn is_accepted(context: &mut Context<'_>, principal: &Principal) -> bool {
    let routes = context.find::<Routes>(routes::NAME);
    let organisations = routes.and_then(|routes| routes.organisations());
    organisations.is_some_and(|organisations| organisations.accepts(principal))
}
