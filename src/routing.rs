//! Routing: which target takes a request.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::MemberId;

/// The name of the routing service.
pub const NAME: &str = "routing";

/// The target that takes a request.
#[apply(value!)]
pub struct Choice {
    /// The daemon beside the target.
    pub member: MemberId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// How a try at a target ended.
#[apply(value!)]
pub enum TryOutcome {
    /// With a whole answer that is no server error.
    Answered,
    /// With a server error from the target.
    TargetError,
    /// With a refusal of the guard.
    Refused,
    /// Without an answer.
    Lost,
    /// No connection could be made.
    NotSent,
    /// The entry daemon gave up on it.
    Cancelled,
}
