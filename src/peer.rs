//! The requests and responses that daemons exchange.

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::request::{LoadReport, PeerCall, PeerReply};
use crate::run_once::{TicketBlock, TicketRequest, VoidOutcome, VoidRequest};
use crate::{calls, config, membership, quarantine, quota, routes, run_once};

/// A request from one daemon to another.
#[apply(message!)]
pub enum PeerRequest {
    /// Run a request on the target beside the receiver.
    Call(Box<PeerCall>),
    /// Report the load of the target beside the receiver.
    Load,
    /// Issue tickets for requests that the receiver will run at most once.
    Tickets(TicketRequest),
    /// Void a ticket if its request was not sent to the target.
    Void(VoidRequest),
    /// A membership message.
    Membership(membership::Message),
    /// A configuration message.
    Config(config::Message),
    /// A message about route tables.
    Routes(routes::Message),
    /// A message about quarantined requests.
    Quarantine(quarantine::Message),
    /// A message about quotas.
    Quota(quota::Message),
}

impl PeerRequest {
    /// Returns the name of the service that handles the request.
    pub fn service(&self) -> &'static str {
        match self {
            Self::Call(_) | Self::Load => calls::guard::NAME,
            Self::Tickets(_) | Self::Void(_) => run_once::NAME,
            Self::Membership(_) => membership::NAME,
            Self::Config(_) => config::NAME,
            Self::Routes(_) => routes::NAME,
            Self::Quarantine(_) => quarantine::NAME,
            Self::Quota(_) => quota::NAME,
        }
    }
}

/// A response to a [`PeerRequest`].
#[apply(message!)]
pub enum PeerResponse {
    /// The guard's reply to a call.
    Call(Box<PeerReply>),
    /// The load of the target.
    Load(LoadReport),
    /// The tickets that were issued.
    Tickets(TicketBlock),
    /// The outcome of the request to void a ticket.
    Void(VoidOutcome),
    /// A membership message.
    Membership(membership::Message),
    /// A configuration message.
    Config(config::Message),
    /// A message about route tables.
    Routes(routes::Message),
    /// A message about quarantined requests.
    Quarantine(quarantine::Message),
    /// A message about quotas.
    Quota(quota::Message),
}
