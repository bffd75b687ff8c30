//! What operators ask of a daemon.

use macro_rules_attribute::apply;

use crate::config::{ConfigView, Submission, SubmitOutcome};
use crate::derives::message;

/// A request of an operator that a service of the node answers.
#[apply(message!)]
pub enum OperatorRequest {
    /// Submit configuration records.
    Submit(Submission),
    /// Read the configuration in force.
    Records,
}

/// A reply to an [`OperatorRequest`].
#[apply(message!)]
pub enum OperatorReply {
    /// What became of a submission.
    Submitted(SubmitOutcome),
    /// The configuration in force.
    Records(ConfigView),
}
