//! Handlers of operators' requests: reading the records and submitting a change.

use super::service::{Config, RequestPurpose, tag};
use super::submit_transaction::{SubmitStep, SubmitTransaction};
use super::{Submission, SubmitOutcome};
use crate::ids::CallKey;
use crate::kernel::{Context, Effect};
use crate::metrics::Counter;
use crate::operator::{OperatorReply, OperatorRequest};
use crate::table::{PlatformError, TableResponse};

/// The step of the linear backoff of a submission at the table: the delay grows by it with each
/// failed attempt.
const SUBMIT_BACKOFF_STEP_US: u64 = 100_000;

impl Config {
    pub(super) fn handle_operator_request(
        &mut self,
        context: &mut Context<'_>,
        call: CallKey,
        request: OperatorRequest,
    ) {
        match request {
            OperatorRequest::Records => {
                let reply = Box::new(OperatorReply::Records((*self.view()).clone()));
                context.emit(Effect::ReplyToOperator { call, reply });
            }
            OperatorRequest::Submit(submission) => self.begin_submission(context, call, submission),
        }
    }

    fn begin_submission(
        &mut self,
        context: &mut Context<'_>,
        call: CallKey,
        submission: Submission,
    ) {
        if let Err(error) = submission.check(self.settings.schema_version_max) {
            let outcome = SubmitOutcome::Invalid {
                field: error.field,
                problem: error.problem,
            };
            reply_with_outcome(context, call, outcome);
            return;
        }
        let key = context.new_key();
        let transaction = SubmitTransaction::new(call, submission, self.settings.changes_kept);
        self.submissions.insert(key, transaction);
        self.send_submission(context, key);
    }

    pub(super) fn send_submission(&mut self, context: &mut Context<'_>, key: u64) {
        let Some(transaction) = self.submissions.get(&key) else {
            return;
        };
        let timeout_us = self.settings.table_timeout_ms * 1_000;
        let outbound = context.send_table_request(transaction.request(), timeout_us);
        self.pending_requests
            .insert(outbound, RequestPurpose::Submit(key));
    }

    pub(super) fn handle_submission_response(
        &mut self,
        context: &mut Context<'_>,
        key: u64,
        result: Result<TableResponse, PlatformError>,
    ) {
        let common_schema_version = self
            .peers
            .common_schema_version(self.settings.schema_version_max);
        let Some(transaction) = self.submissions.get_mut(&key) else {
            return;
        };
        let call = transaction.call;
        match transaction.handle_response(result, common_schema_version) {
            SubmitStep::Send => self.send_submission(context, key),
            SubmitStep::SendLater => {
                let delay_us = SUBMIT_BACKOFF_STEP_US * u64::from(transaction.failed_attempts());
                context.set_timer(delay_us, tag::SUBMIT_BASE + key);
            }
            SubmitStep::Reply(outcome) => {
                self.submissions.remove(&key);
                self.fetch_version_in_outcome(context, &outcome);
                reply_with_outcome(context, call, outcome);
            }
            SubmitStep::Accepted(change) => {
                self.submissions.remove(&key);
                let version = change.version;
                let applied = self.apply(context, vec![change]);
                let outcome = SubmitOutcome::Accepted { version };
                if applied.is_err() {
                    self.fetch_version_in_outcome(context, &outcome);
                }
                reply_with_outcome(context, call, outcome);
            }
        }
    }

    /// Fetches the version named in an outcome if this daemon does not have it yet.
    fn fetch_version_in_outcome(&mut self, context: &mut Context<'_>, outcome: &SubmitOutcome) {
        let (SubmitOutcome::Accepted { version } | SubmitOutcome::Conflict { version }) = outcome
        else {
            return;
        };
        if *version > self.state.version {
            self.observe_version(context, *version);
            self.start_table_fetch(context);
        }
    }
}

fn reply_with_outcome(context: &mut Context<'_>, call: CallKey, outcome: SubmitOutcome) {
    let name = match outcome {
        SubmitOutcome::Accepted { .. } => "accepted",
        SubmitOutcome::Conflict { .. } => "conflict",
        SubmitOutcome::Invalid { .. } => "invalid",
        SubmitOutcome::Unavailable => "unavailable",
        SubmitOutcome::Unknown => "unknown",
    };
    context.count(Counter::labelled("config_submissions", "outcome", name));
    let reply = Box::new(OperatorReply::Submitted(outcome));
    context.emit(Effect::ReplyToOperator { call, reply });
}
