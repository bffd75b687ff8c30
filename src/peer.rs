//! The questions and answers between daemons.

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::request::{LoadReport, PeerCall, PeerReply};
use crate::run_once::{TicketBlock, TicketRequest, VoidOutcome, VoidRequest};
use crate::{calls, config, membership, routes, run_once};

/// A question from one daemon to another.
#[apply(message!)]
pub enum PeerRequest {
    /// Run a request on the target beside you.
    Call(Box<PeerCall>),
    /// Tell the load of the target beside you.
    Load,
    /// Issue tickets for requests that you will run at most once.
    Tickets(TicketRequest),
    /// Make a ticket void if its request was not sent to the target.
    Void(VoidRequest),
    /// A membership message.
    Membership(membership::Message),
    /// A configuration message.
    Config(config::Message),
    /// A message about route tables.
    Routes(routes::Message),
}

impl PeerRequest {
    /// Returns the name of the service that answers.
    pub fn service(&self) -> &'static str {
        match self {
            Self::Call(_) | Self::Load => calls::NAME,
            Self::Tickets(_) | Self::Void(_) => run_once::NAME,
            Self::Membership(_) => membership::NAME,
            Self::Config(_) => config::NAME,
            Self::Routes(_) => routes::NAME,
        }
    }
}

/// An answer to a [`PeerRequest`].
#[apply(message!)]
pub enum PeerResponse {
    /// The reply to a call.
    Call(Box<PeerReply>),
    /// The load of the target.
    Load(LoadReport),
    /// The tickets that were issued.
    Tickets(TicketBlock),
    /// What became of a ticket that was to be void.
    Void(VoidOutcome),
    /// A membership message.
    Membership(membership::Message),
    /// A configuration message.
    Config(config::Message),
    /// A message about route tables.
    Routes(routes::Message),
}
