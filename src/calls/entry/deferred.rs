//! Defers calls while the active service records of this daemon are out of date or unconfirmed.
//!
//! Route tables are not considered: calls on a daemon with a route table are never deferred.

use super::Entry;
use crate::config::{self, Config};
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::request::CallRequest;

/// The tag of the timer that ends a deferral.
pub(super) const DEFER_TIMER_TAG: u64 = u64::MAX;

/// The deferred calls, in the order of their arrival.
#[derive(Default)]
pub(super) struct DeferredCalls {
    calls: Vec<DeferredCall>,
    is_timer_set: bool,
    /// Whether a deferral timed out before the newer configuration came. From then on no call is
    /// deferred until the configuration changes.
    has_timed_out: bool,
}

/// A deferred call.
struct DeferredCall {
    key: CallKey,
    request: CallRequest,
    deferred_us: u64,
}

impl DeferredCalls {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Removes a call whose caller went away; returns whether the call was deferred.
    pub(super) fn remove(&mut self, key: CallKey) -> bool {
        let before = self.calls.len();
        self.calls.retain(|deferred| deferred.key != key);
        self.calls.len() < before
    }
}

impl Entry {
    /// Starts a call now, or defers it until the newer configuration is active.
    pub(super) fn accept_or_defer(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
        request: CallRequest,
    ) {
        if self.deferred.has_timed_out || !is_behind(context) {
            self.start_call(context, key, request);
            return;
        }
        context.count(Counter::unlabelled("calls_held"));
        let deferred_us = context.now_us();
        self.deferred.calls.push(DeferredCall {
            key,
            request,
            deferred_us,
        });
        if !self.deferred.is_timer_set {
            self.deferred.is_timer_set = true;
            context.set_timer(
                u64::from(self.settings.config_wait_ms) * 1_000,
                DEFER_TIMER_TAG,
            );
        }
    }

    /// Allows deferral again, and starts the deferred calls if the changed configuration is up to
    /// date.
    pub(super) fn handle_config_change(&mut self, context: &mut Context<'_>) {
        self.deferred.has_timed_out = false;
        if !is_behind(context) {
            self.release_deferred(context);
        }
    }

    /// Starts the deferred calls under the active configuration, when the timer expires.
    ///
    /// The timer is not reset if the newer configuration comes earlier, so it also ends a deferral
    /// that began after that.
    pub(super) fn stop_deferring(&mut self, context: &mut Context<'_>) {
        self.deferred.is_timer_set = false;
        self.deferred.has_timed_out = is_behind(context);
        self.release_deferred(context);
    }

    fn release_deferred(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        for deferred in std::mem::take(&mut self.deferred.calls) {
            let mut request = deferred.request;
            let waited_ms =
                u32::try_from((now_us - deferred.deferred_us) / 1_000).unwrap_or(u32::MAX);
            if let Some(left_ms) = &mut request.deadline_left_ms {
                *left_ms = left_ms.saturating_sub(waited_ms);
            }
            self.start_call(context, deferred.key, request);
        }
    }
}

fn is_behind(context: &mut Context<'_>) -> bool {
    context
        .find::<Config>(config::NAME)
        .is_some_and(|config| config.is_behind())
}
