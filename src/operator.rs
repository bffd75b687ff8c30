//! The requests of operators to a daemon, and the replies.

use macro_rules_attribute::apply;

use crate::config::{ConfigView, Submission, SubmitOutcome};
use crate::derives::message;

/// A request of an operator that a service of the node handles.
#[apply(message!)]
pub enum OperatorRequest {
    /// Submit configuration records.
    Submit(Submission),
    /// Read the active configuration.
    Records,
}

/// A reply to an [`OperatorRequest`].
#[apply(message!)]
pub enum OperatorReply {
    /// The outcome of a submission.
    Submitted(SubmitOutcome),
    /// The active configuration.
    Records(ConfigView),
}
