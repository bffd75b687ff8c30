//! Calls that wait for a configuration that this daemon knows to be newer than its own.

use super::Entry;
use crate::config::{self, Config};
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::metrics::Counter;
use crate::request::CallRequest;

/// The tag of the timer that ends the wait.
pub(super) const HOLD_TAG: u64 = u64::MAX;

/// Calls that wait, in the order of their arrival.
#[derive(Default)]
pub(super) struct Hold {
    calls: Vec<HeldCall>,
    is_timer_set: bool,
    /// Whether a wait was in vain; calls wait again once the configuration changed.
    is_over: bool,
}

/// A call that waits.
struct HeldCall {
    key: CallKey,
    request: CallRequest,
    since_us: u64,
}

impl Hold {
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
    pub(super) fn take(&mut self, context: &mut Context<'_>, key: CallKey, request: CallRequest) {
        if self.hold.is_over || !is_behind(context) {
            self.arrive(context, key, request);
            return;
        }
        context.count(Counter::unlabelled("calls_held"));
        let since_us = context.now_us();
        self.hold.calls.push(HeldCall {
            key,
            request,
            since_us,
        });
        if !self.hold.is_timer_set {
            self.hold.is_timer_set = true;
            context.set_timer(u64::from(self.settings.config_wait_ms) * 1_000, HOLD_TAG);
        }
    }

    /// The configuration changed: calls go on, and later ones may wait again.
    pub(super) fn end_hold(&mut self, context: &mut Context<'_>) {
        self.hold.is_over = false;
        if !is_behind(context) {
            self.release_held(context);
        }
    }

    /// The wait was in vain: what is in force holds.
    pub(super) fn give_up_hold(&mut self, context: &mut Context<'_>) {
        self.hold.is_timer_set = false;
        self.hold.is_over = is_behind(context);
        self.release_held(context);
    }

    fn release_held(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        for held in std::mem::take(&mut self.hold.calls) {
            let mut request = held.request;
            let waited_ms = u32::try_from((now_us - held.since_us) / 1_000).unwrap_or(u32::MAX);
            if let Some(left_ms) = &mut request.deadline_left_ms {
                *left_ms = left_ms.saturating_sub(waited_ms);
            }
            self.arrive(context, held.key, request);
        }
    }
}

fn is_behind(context: &mut Context<'_>) -> bool {
    context
        .find::<Config>(config::NAME)
        .is_some_and(|config| config.is_behind())
}
