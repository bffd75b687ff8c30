//! Reports which requests were at the target when it ended.

use std::collections::VecDeque;

use super::{Guard, Stage};
use crate::ids::{CallKey, InstanceId, MemberId};
use crate::kernel::{Context, StateChange};
use crate::quarantine::{self, Quarantine, RequestContent, RequestFingerprint};

/// How long a cancelled request may still run at the target.
const CANCELLED_RUN_US: u64 = 1_000_000;

/// The maximum number of cancelled requests that are remembered.
const CANCELLED_MAX: usize = 256;

/// Two ends of the target that are no more than this apart count as one.
const SAME_END_US: u64 = 500_000;

/// The maximum number of requests in the log line of an end.
const LOGGED_REQUESTS_MAX: usize = 16;

/// A start of the target, by its instance identifier and the time of its start.
type StartId = (Option<InstanceId>, Option<u64>);

/// What the guard remembers for its reports.
#[derive(Default)]
pub(super) struct TargetEnds {
    /// Requests that were cancelled at the target, with the times.
    cancelled: VecDeque<(u64, RequestFingerprint)>,
    last: Option<TargetEnd>,
}

/// An end of the target that was reported.
struct TargetEnd {
    at_us: u64,
    start: StartId,
}

impl Guard {
    /// Remembers a request that is cancelled at the target, where it may still run.
    pub(super) fn remember_cancelled(&mut self, context: &mut Context<'_>, key: CallKey) {
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let request = RequestContent::of_peer_call(&guard_call.peer_call).fingerprint();
        let cancelled = &mut self.ends.cancelled;
        if cancelled.len() >= CANCELLED_MAX {
            cancelled.pop_front();
        }
        cancelled.push_back((context.now_us(), request));
    }

    /// Reports that the target ended with all requests that it had, unless that end was reported or
    /// the target had said that it leaves.
    pub(super) fn record_end(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        if self.is_leaving() || self.is_end_reported(now_us) {
            return;
        }
        let start = self.current_start();
        self.ends.last = Some(TargetEnd {
            at_us: now_us,
            start,
        });
        let requests = self.requests_at_target(now_us);
        let entries = self.entries_at_target();
        self.log_end_of_target(context, requests.len());
        let Some(target) = &self.target else {
            return;
        };
        let service = target.service.clone();
        context.with_service(quarantine::NAME, |quarantine: &mut Quarantine, context| {
            quarantine.record_end(context, &service, requests, &entries);
        });
    }

    /// Returns the requests at the target, and those that were cancelled a moment ago.
    fn requests_at_target(&mut self, now_us: u64) -> Vec<RequestFingerprint> {
        let mut requests = Vec::new();
        for guard_call in self.calls.values() {
            if guard_call.stage == Stage::Sent {
                requests.push(RequestContent::of_peer_call(&guard_call.peer_call).fingerprint());
            }
        }
        for (cancelled_us, request) in self.ends.cancelled.drain(..) {
            if now_us < cancelled_us + CANCELLED_RUN_US {
                requests.push(request);
            }
        }
        requests
    }

    /// Returns the entry daemons of the requests at the target.
    fn entries_at_target(&self) -> Vec<MemberId> {
        let mut entries = Vec::new();
        for guard_call in self.calls.values() {
            let entry = guard_call.peer_call.from;
            if guard_call.stage == Stage::Sent && !entries.contains(&entry) {
                entries.push(entry);
            }
        }
        entries
    }

    /// Logs some of the requests at the target with the identifiers that their callers gave.
    fn log_end_of_target(&self, context: &mut Context<'_>, count: usize) {
        let mut logged = Vec::new();
        for guard_call in self.calls.values() {
            let trace_id = guard_call.peer_call.trace_id.as_ref();
            let Some(trace_id) = trace_id.filter(|_| guard_call.stage == Stage::Sent) else {
                continue;
            };
            if logged.len() == LOGGED_REQUESTS_MAX {
                break;
            }
            let request = RequestContent::of_peer_call(&guard_call.peer_call).fingerprint();
            logged.push(format!("{request}={trace_id}"));
        }
        let detail = format!("{count} requests: {}", logged.join(" "));
        context.log(StateChange::new("target", "the target ended", detail));
    }

    /// Records that the target ran a request to its answer.
    pub(super) fn record_completion(&mut self, context: &mut Context<'_>, key: CallKey) {
        if let Some(end) = &self.ends.last
            && end.start == self.current_start()
            && context.now_us() > end.at_us + SAME_END_US
        {
            self.ends.last = None;
        }
        let Some(guard_call) = self.calls.get(&key) else {
            return;
        };
        let content = RequestContent::of_peer_call(&guard_call.peer_call);
        context.with_service(quarantine::NAME, |quarantine: &mut Quarantine, context| {
            quarantine.record_completion(context, &content);
        });
    }

    /// Returns whether the end of the current start was reported, or another end just before.
    fn is_end_reported(&self, now_us: u64) -> bool {
        let Some(end) = &self.ends.last else {
            return false;
        };
        let is_known = end.start.0.is_some();
        now_us <= end.at_us + SAME_END_US || (is_known && end.start == self.current_start())
    }

    fn current_start(&self) -> StartId {
        let target = self.target.as_ref();
        (
            target.and_then(|target| target.instance.clone()),
            target.and_then(|target| target.started_at_ms),
        )
    }
}
