//! What the host tells the kernel.

use macro_rules_attribute::apply;

use super::Notice;
use crate::derives::value;
use crate::ids::{AskKey, CallKey, InboundKey};
use crate::operator::OperatorRequest;
use crate::peer::{PeerAnswer, PeerQuestion};
use crate::request::{Answer, CallRequest};
use crate::routes::RouteUpdate;
use crate::run_once::ClaimDecision;
use crate::table::{ObjectResponse, PlatformError, TableResponse};

/// An input of the host.
#[derive(Clone, Debug)]
pub enum Input {
    /// An event for the service of a name.
    Event(&'static str, Event),
    /// A question of a peer; its kind names the service.
    Asked {
        /// The key to answer by.
        inbound: InboundKey,
        /// The question.
        question: PeerQuestion,
    },
    /// A peer's answer, for the service that asked.
    Answered {
        /// The key of the question.
        ask: AskKey,
        /// The answer, or what the link knows.
        result: Result<PeerAnswer, LinkError>,
    },
    /// The table's answer, for the service that asked.
    TableAnswered {
        /// The key of the question.
        ask: AskKey,
        /// The answer, or what the link knows.
        result: Result<TableResponse, PlatformError>,
    },
    /// The object store's answer, for the service that asked.
    ObjectAnswered {
        /// The key of the question.
        ask: AskKey,
        /// The answer, or what the link knows.
        result: Result<ObjectResponse, PlatformError>,
    },
    /// The answer of the source of route tables, for the service that asked.
    RoutesRead {
        /// The key of the question.
        ask: AskKey,
        /// The news, or what the link knows.
        result: Result<RouteUpdate, PlatformError>,
    },
    /// News for all services.
    Notice(Notice),
}

/// An event that a service handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts.
    Started,
    /// News for all services.
    Notice(Notice),
    /// A timer of this service is due.
    Timer(u64),
    /// A peer asks.
    Asked {
        /// The key to answer by.
        inbound: InboundKey,
        /// The question.
        question: PeerQuestion,
    },
    /// A peer went away before its question was answered.
    AskDropped(InboundKey),
    /// A peer answered a question of this service.
    Answered {
        /// The key of the question.
        ask: AskKey,
        /// The answer, or what the link knows.
        result: Result<PeerAnswer, LinkError>,
    },
    /// The table answered.
    TableAnswered {
        /// The key of the question.
        ask: AskKey,
        /// The answer, or what the link knows.
        result: Result<TableResponse, PlatformError>,
    },
    /// The object store answered.
    ObjectAnswered {
        /// The key of the question.
        ask: AskKey,
        /// The answer, or what the link knows.
        result: Result<ObjectResponse, PlatformError>,
    },
    /// The source of route tables answered.
    RoutesRead {
        /// The key of the question.
        ask: AskKey,
        /// The news, or what the link knows.
        result: Result<RouteUpdate, PlatformError>,
    },
    /// A caller, or the target beside the daemon, calls.
    CallArrived {
        /// The key to reply by.
        call: CallKey,
        /// The request.
        request: Box<CallRequest>,
    },
    /// The caller of a call went away.
    CallerGone(CallKey),
    /// The table decided on a claim that a call waits for.
    ClaimDecided(ClaimDecision),
    /// An operator asks.
    OperatorAsked {
        /// The key to reply by.
        call: CallKey,
        /// The request.
        request: OperatorRequest,
    },
    /// The target beside the daemon ended a request.
    TargetAnswered {
        /// The key of the call.
        call: CallKey,
        /// What came of it.
        outcome: TargetOutcome,
    },
}

/// What came of a request that was handed to the target beside the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetOutcome {
    /// The whole answer arrived.
    Answered(Answer),
    /// Nothing was sent: no connection could be made.
    NotSent,
    /// The target said that it did not run the request.
    Refused,
    /// Something was sent and no whole answer came.
    Lost,
}

/// What a link knows about a question that got no answer.
#[apply(value!)]
pub enum LinkError {
    /// Nothing was sent.
    NotSent,
    /// The question may have arrived.
    Lost,
    /// The time allowed for an answer passed; the question may have arrived.
    TimedOut,
}
