//! Calls that wait for a configuration that this daemon knows to be newer than its own.

use super::Entry;
use crate::config::{self, Config};
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::request::CallRequest;

/// The tag of the timer that ends the wait.
pub(super) const DEFER_TIMER_TAG: u64 = u64::MAX;

/// Calls that wait, in the order of their arrival.
#[derive(Default)]
pub(super) struct DeferredCalls {
    calls: Vec<DeferredCall>,
    is_timer_set: bool,
    /// Whether a wait was in vain; calls wait again once the configuration changed.
    has_timed_out: bool,
}

/// A call that waits.
struct DeferredCall {
    key: CallKey,
    request: CallRequest,
    deferred_us: u64,
}

impl DeferredCalls {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Forgets a call whose caller went away; returns whether it was here.
    pub(super) fn remove(&mut self, key: CallKey) -> bool {
        let before = self.calls.len();
        self.calls.retain(|held| held.key != key);
        self.calls.len() < before
    }
}

impl Entry {
    /// Takes a call now, or once the newer configuration is here.
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
        context.count(Counter::plain("calls_held"));
        let deferred_us = context.now_us();
        self.deferred.calls.push(DeferredCall {
            key,
            request,
            deferred_us,
        });
        if !self.deferred.is_timer_set {
            self.deferred.is_timer_set = true;
            context.timer(
                u64::from(self.settings.config_wait_ms) * 1_000,
                DEFER_TIMER_TAG,
            );
        }
    }

    /// The configuration changed: calls go on, and later ones may wait again.
    pub(super) fn handle_config_change(&mut self, context: &mut Context<'_>) {
        self.deferred.has_timed_out = false;
        if !is_behind(context) {
            self.release_deferred(context);
        }
    }

    /// The wait was in vain: what is in force holds.
    pub(super) fn stop_deferring(&mut self, context: &mut Context<'_>) {
        self.deferred.is_timer_set = false;
        self.deferred.has_timed_out = is_behind(context);
        self.release_deferred(context);
    }

    fn release_deferred(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        for held in std::mem::take(&mut self.deferred.calls) {
            let mut request = held.request;
            let waited_ms = u32::try_from((now_us - held.deferred_us) / 1_000).unwrap_or(u32::MAX);
            if let Some(left_ms) = &mut request.deadline_left_ms {
                *left_ms = left_ms.saturating_sub(waited_ms);
            }
            self.start_call(context, held.key, request);
        }
    }
}

fn is_behind(context: &mut Context<'_>) -> bool {
    context
        .find::<Config>(config::NAME)
        .is_some_and(|config| config.is_behind())
}
