//! What operators ask of the configuration service.

use super::service::{Config, Purpose, tag};
use super::submit::{Submit, SubmitStep};
use super::{Submission, SubmitOutcome};
use crate::ids::CallKey;
use crate::kernel::{Context, Effect};
use crate::metrics::Counter;
use crate::operator::{OperatorReply, OperatorRequest};
use crate::table::{PlatformError, TableResponse};

/// The delay before a submission asks the table again, for each try so far.
const SUBMIT_RETRY_US: u64 = 100_000;

impl Config {
    pub(super) fn operator_asked(
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
            OperatorRequest::Submit(submission) => self.begin_submit(context, call, submission),
        }
    }

    fn begin_submit(&mut self, context: &mut Context<'_>, call: CallKey, submission: Submission) {
        if let Err(error) = submission.check(self.settings.schema_version_max) {
            let outcome = SubmitOutcome::Invalid {
                field: error.field,
                problem: error.problem,
            };
            reply_submitted(context, call, outcome);
            return;
        }
        let key = context.new_key();
        let submit = Submit::new(call, submission, self.settings.changes_kept);
        self.submits.insert(key, submit);
        self.ask_submit(context, key);
    }

    pub(super) fn ask_submit(&mut self, context: &mut Context<'_>, key: u64) {
        let Some(submit) = self.submits.get(&key) else {
            return;
        };
        let timeout_us = self.settings.table_timeout_ms * 1_000;
        let ask = context.send_table_request(submit.request(), timeout_us);
        self.asks.insert(ask, Purpose::Submit(key));
    }

    pub(super) fn submit_answered(
        &mut self,
        context: &mut Context<'_>,
        key: u64,
        result: Result<TableResponse, PlatformError>,
    ) {
        let oldest_reader = self.roster.schema_version(self.settings.schema_version_max);
        let Some(submit) = self.submits.get_mut(&key) else {
            return;
        };
        let call = submit.call;
        match submit.take(result, oldest_reader) {
            SubmitStep::Ask => self.ask_submit(context, key),
            SubmitStep::AskLater => {
                let delay_us = SUBMIT_RETRY_US * u64::from(submit.tries());
                context.set_timer(delay_us, tag::SUBMIT + key);
            }
            SubmitStep::Reply(outcome) => {
                self.submits.remove(&key);
                self.note_outcome(context, &outcome);
                reply_submitted(context, call, outcome);
            }
            SubmitStep::Accepted(change) => {
                self.submits.remove(&key);
                let version = change.version;
                let applied = self.apply(context, vec![change]);
                let outcome = SubmitOutcome::Accepted { version };
                if applied.is_err() {
                    self.note_outcome(context, &outcome);
                }
                reply_submitted(context, call, outcome);
            }
        }
    }

    /// An outcome tells of a version that this daemon may not have.
    fn note_outcome(&mut self, context: &mut Context<'_>, outcome: &SubmitOutcome) {
        let (SubmitOutcome::Accepted { version } | SubmitOutcome::Conflict { version }) = outcome
        else {
            return;
        };
        if *version > self.state.version {
            self.set_behind(context, *version);
            self.fetch_table(context);
        }
    }
}

fn reply_submitted(context: &mut Context<'_>, call: CallKey, outcome: SubmitOutcome) {
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
