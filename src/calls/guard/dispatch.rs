//! Admits requests, sends them to the target and releases their slots.

use super::{EXPIRY_TIMER, Guard, Stage};
use crate::admission::{self, Admission, AdmissionOutcome, Arrival, CallOutcome, DequeuedCalls};
use crate::decision::Step;
use crate::headers;
use crate::ids::{CallKey, WorkKind};
use crate::kernel::{Context, Effect};
use crate::metrics::Latency;
use crate::pressure::{self, Pressures};
use crate::request::{Header, HttpRequest, PeerCall, RunKey};
use crate::run_once::{self, RunOnce};
use crate::verdict::RefusalReason;

impl Guard {
    pub(super) fn admit(&mut self, context: &mut Context<'_>, key: CallKey) {
        if let Some(refusal) = self.find_refusal(key) {
            self.refuse(context, key, refusal);
            return;
        }
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        if guard_call.is_orphaned {
            let refusal = self.refusal(RefusalReason::Cancelled, false);
            self.refuse(context, key, refusal);
            return;
        }
        let rank = guard_call.call.rank();
        let arrival = Arrival {
            call: key,
            rank,
            deadline_us: guard_call.deadline_us,
            kind: WorkKind::of_route(guard_call.call.route.as_ref()),
        };
        guard_call.stage = Stage::Queued;
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let offer = admission.offer(now_us, arrival);
        match offer.outcome {
            AdmissionOutcome::Start => self.send(context, key),
            AdmissionOutcome::Queued => {}
            AdmissionOutcome::Refused(refusal) => self.refuse(context, key, refusal),
        }
        for evicted in offer.evicted {
            self.refuse(context, evicted.call, evicted.refusal);
        }
        self.set_expiry_timer(context);
    }

    /// Sends a request to the target; the only place that moves a request from queued to sent.
    ///
    /// After it, only an outcome which says that the request did not run may give "not run".
    pub(super) fn send(&mut self, context: &mut Context<'_>, key: CallKey) {
        let now_us = context.now_us();
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        if guard_call.deadline_us <= now_us {
            let refusal = self.refusal(RefusalReason::Deadline, false);
            self.release(context, key, CallOutcome::Cancelled);
            self.refuse(context, key, refusal);
            return;
        }
        let timeout_us = guard_call.deadline_us - now_us;
        let request = guard_call.call.request;
        let is_idempotent = guard_call.call.is_idempotent;
        let is_run_once = guard_call.call.run_key != RunKey::None;
        let http = with_context_headers(&guard_call.call, timeout_us);
        let late_us = u64::from(self.settings.late_answer_ms) * 1_000;
        let timeout_us = if is_run_once {
            timeout_us + late_us
        } else {
            timeout_us
        };
        if is_run_once && !mark_sent(context, key) {
            self.release(context, key, CallOutcome::Cancelled);
            return;
        }
        let route = guard_call.call.route.clone();
        self.set_stage(key, Stage::Sent);
        if let Some(route) = &route
            && let Some(pressures) = context.find::<Pressures>(pressure::NAME)
        {
            pressures.call_rates().record_start(now_us, route);
        }
        self.running.insert(request, key);
        if let Some(guard_call) = self.calls.get_mut(&key) {
            guard_call.started_us = now_us;
            let waited_us = now_us.saturating_sub(guard_call.arrived_us);
            context.observe(Latency::Queue, &guard_call.call.service, waited_us);
        }
        if let Some(guard_call) = self.calls.get(&key) {
            let facts = self.facts(context, guard_call);
            guard_call.log_decision(context, Step::Started, "sent", true, facts);
        }
        context.emit(Effect::SendTargetRequest {
            call: key,
            http,
            is_idempotent,
            timeout_us,
        });
    }

    /// Releases the slot of a request at the target and starts queued requests.
    pub(super) fn release(&mut self, context: &mut Context<'_>, key: CallKey, ended: CallOutcome) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let released = admission.finish(now_us, key, ended);
        self.apply_released(context, released);
    }

    pub(super) fn apply_released(&mut self, context: &mut Context<'_>, released: DequeuedCalls) {
        for evicted in released.evicted {
            self.refuse(context, evicted.call, evicted.refusal);
        }
        for started in released.started {
            self.send(context, started);
        }
        self.set_expiry_timer(context);
    }

    pub(super) fn expire_queued(&mut self, context: &mut Context<'_>) {
        self.expiry_timer_us = None;
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let released = admission.update_queue(now_us);
        self.apply_released(context, released);
    }

    /// Sets the timer for the next expiry in the queue, unless one is set that fires sooner.
    pub(super) fn set_expiry_timer(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let Some(expiry_us) = admission.next_queue_update_us() else {
            return;
        };
        let expiry_us = expiry_us.max(now_us);
        if self
            .expiry_timer_us
            .is_some_and(|set_us| set_us <= expiry_us)
        {
            return;
        }
        self.expiry_timer_us = Some(expiry_us);
        context.set_timer(expiry_us - now_us, EXPIRY_TIMER);
    }
}

/// Records that a request which runs at most once is sent; returns false if it may not be sent.
fn mark_sent(context: &mut Context<'_>, key: CallKey) -> bool {
    let run_once = context.find::<RunOnce>(run_once::NAME);
    run_once.is_some_and(|run_once| run_once.mark_sent(key))
}

fn with_context_headers(call: &PeerCall, timeout_us: u64) -> HttpRequest {
    let mut http = call.http.clone();
    let mut add = |name: &str, value: String| {
        http.headers.push(Header {
            name: name.to_string(),
            value,
        });
    };
    add(headers::REQUEST, headers::format_request_id(call.request));
    add(headers::DEADLINE_MS, (timeout_us / 1_000).to_string());
    http
}
