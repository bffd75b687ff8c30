//! Admits requests, sends them to the target and releases their slots.

use super::{Guard, RELEASE_TIMER, Stage};
use crate::admission::{self, Admission, AdmissionOutcome, Arrival, CallOutcome, DequeuedCalls};
use crate::decision::Step;
use crate::headers;
use crate::ids::{CallKey, WorkKind};
use crate::kernel::{Context, Effect};
use crate::metrics::{Counter, Latency};
use crate::pressure::{self, Pressures};
use crate::request::{Header, HttpRequest, PeerCall, RunKey};
use crate::run_once::{self, RunOnce};
use crate::verdict::{Refusal, RefusalReason};

/// How long a request that was admitted may take until it is sent. A target gets its last queued
/// calls 1 s after it said that it leaves, and nothing 2 s after it.
const SEND_WITHIN_US: u64 = 500_000;

impl Guard {
    pub(super) fn admit(&mut self, context: &mut Context<'_>, key: CallKey) {
        if let Some(refusal) = self.find_refusal(context.now_us(), key) {
            self.refuse(context, key, refusal);
            return;
        }
        let Some(guard_call) = self.calls.get_mut(&key) else {
            return;
        };
        if guard_call.is_abandoned {
            let refusal = self.refusal(RefusalReason::Cancelled, false);
            self.refuse(context, key, refusal);
            return;
        }
        let rank = guard_call.peer_call.rank();
        let arrival = Arrival {
            call: key,
            rank,
            deadline_us: guard_call.deadline_us,
            kind: WorkKind::of_route(guard_call.peer_call.route.as_ref()),
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
        self.set_release_timer(context);
    }

    /// Sends a request to the target; the only place that moves a request from queued to sent.
    ///
    /// Once a request was sent, its verdict may be `NotRun` only if the target's outcome proves
    /// that it did not run. If its deadline has passed, the target has been leaving for too long, its
    /// key was withdrawn or the request is quarantined, it is refused instead. If its ticket became
    /// void, only its slot is released; the run-once service decides on it.
    pub(super) fn send(&mut self, context: &mut Context<'_>, key: CallKey) {
        let now_us = context.now_us();
        let refusal = self
            .find_late_refusal(now_us, key)
            .or_else(|| self.find_withdrawn_key_refusal(context, key))
            .or_else(|| self.find_quarantine_refusal(context, key));
        if let Some(refusal) = refusal {
            self.release(context, key, CallOutcome::Cancelled);
            self.refuse(context, key, refusal);
            return;
        }
        if self.must_be_held(context, key) {
            self.hold(context, key);
            return;
        }
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let timeout_us = guard_call.deadline_us - now_us;
        let request = guard_call.peer_call.request;
        let is_idempotent = guard_call.peer_call.is_idempotent;
        let is_run_once = guard_call.peer_call.run_key != RunKey::None;
        let http = with_context_headers(&guard_call.peer_call, timeout_us);
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
        let route = guard_call.peer_call.route.clone();
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
            context.observe(Latency::Queue, &guard_call.peer_call.service, waited_us);
        }
        if let Some(guard_call) = self.calls.get(&key) {
            let inputs = self.decision_inputs(context, guard_call);
            guard_call.log_decision(context, Step::Started, "sent", true, inputs);
        }
        context.count(Counter::unlabelled("target_requests"));
        context.emit(Effect::SendTargetRequest {
            call: key,
            http,
            is_idempotent,
            timeout_us,
            send_within_us: SEND_WITHIN_US,
        });
    }

    /// Returns the refusal of an admitted request that it is too late to send.
    fn find_late_refusal(&self, now_us: u64, key: CallKey) -> Option<Refusal> {
        if self.calls.get(&key)?.deadline_us <= now_us {
            return Some(self.refusal(RefusalReason::Deadline, false));
        }
        if self.refuses_queued(now_us) || self.ends_before_answer(now_us, key) {
            return Some(self.refusal(RefusalReason::Leaving, true));
        }
        None
    }

    /// Releases the slot of a request at the target and starts queued requests.
    pub(super) fn release(&mut self, context: &mut Context<'_>, key: CallKey, ended: CallOutcome) {
        let now_us = context.now_us();
        self.record_child_calls(context, key);
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let released = admission.finish(now_us, key, ended);
        self.report_limit(context);
        self.apply_released(context, released);
    }

    pub(super) fn apply_released(&mut self, context: &mut Context<'_>, released: DequeuedCalls) {
        for evicted in released.evicted {
            self.refuse(context, evicted.call, evicted.refusal);
        }
        for started in released.started {
            self.send(context, started);
        }
        self.set_release_timer(context);
    }

    /// Starts or refuses the queued calls that are due for release.
    pub(super) fn release_due_calls(&mut self, context: &mut Context<'_>) {
        self.release_timer_us = None;
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let released = admission.update_queue(now_us);
        self.apply_released(context, released);
    }

    /// Sets the timer for the next release from the queue, unless one is set that fires sooner.
    pub(super) fn set_release_timer(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let Some(admission) = context.find::<Admission>(admission::NAME) else {
            return;
        };
        let Some(release_us) = admission.next_queue_update_us(now_us) else {
            return;
        };
        let release_us = release_us.max(now_us);
        if self
            .release_timer_us
            .is_some_and(|set_us| set_us <= release_us)
        {
            return;
        }
        self.release_timer_us = Some(release_us);
        context.set_timer(release_us - now_us, RELEASE_TIMER);
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
