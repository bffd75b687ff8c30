//! The inputs that the host passes to the kernel, and the events that services handle.

use macro_rules_attribute::apply;

use super::Notice;
use crate::derives::value;
use crate::ids::{CallKey, InboundKey, OutboundKey};
use crate::operator::OperatorRequest;
use crate::peer::{PeerRequest, PeerResponse};
use crate::quota::QuotaDecision;
use crate::request::{Answer, CallRequest};
use crate::routes::RouteUpdate;
use crate::run_once::ClaimDecision;
use crate::table::{ObjectResponse, PlatformError, TableResponse};
use crate::target::AnswerSignals;

/// An input from the host.
#[derive(Clone, Debug)]
pub enum Input {
    /// An event for the service of the given name.
    Event(&'static str, Event),
    /// A request of a peer; its kind determines the service that handles it.
    PeerRequest {
        /// The key to respond with.
        inbound: InboundKey,
        /// The request.
        request: PeerRequest,
    },
    /// A peer's response, for the service that sent the request.
    PeerResponse {
        /// The key of the request.
        key: OutboundKey,
        /// The response, or how the exchange over the link failed.
        result: Result<PeerResponse, LinkError>,
    },
    /// The table's response, for the service that sent the request.
    TableResponse {
        /// The key of the request.
        key: OutboundKey,
        /// The response, or why there is none.
        result: Result<TableResponse, PlatformError>,
        /// The time on the clock of the table, as in
        /// [`TableStore::now_ms`](crate::table::TableStore::now_ms).
        table_now_ms: Option<u64>,
    },
    /// The object store's response, for the service that sent the request.
    ObjectResponse {
        /// The key of the request.
        key: OutboundKey,
        /// The response, or why there is none.
        result: Result<ObjectResponse, PlatformError>,
    },
    /// The response of the route source, for the routes service.
    RoutesRead {
        /// The key of the request.
        key: OutboundKey,
        /// The update, or why there is none.
        result: Result<RouteUpdate, PlatformError>,
    },
    /// A notice for all services.
    Notice(Notice),
}

/// An event that a service handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts.
    Started,
    /// A notice for all services.
    Notice(Notice),
    /// A timer of this service is due.
    Timer(u64),
    /// A peer sent a request.
    PeerRequest {
        /// The key to respond with.
        inbound: InboundKey,
        /// The request.
        request: PeerRequest,
    },
    /// A peer request was cancelled, or its peer disconnected, before the response.
    PeerRequestCancelled(InboundKey),
    /// A peer responded to a request of this service.
    PeerResponse {
        /// The key of the request.
        key: OutboundKey,
        /// The response, or how the exchange over the link failed.
        result: Result<PeerResponse, LinkError>,
    },
    /// The table responded.
    TableResponse {
        /// The key of the request.
        key: OutboundKey,
        /// The response, or why there is none.
        result: Result<TableResponse, PlatformError>,
    },
    /// The object store responded.
    ObjectResponse {
        /// The key of the request.
        key: OutboundKey,
        /// The response, or why there is none.
        result: Result<ObjectResponse, PlatformError>,
    },
    /// The route source responded.
    RoutesRead {
        /// The key of the request.
        key: OutboundKey,
        /// The update, or why there is none.
        result: Result<RouteUpdate, PlatformError>,
    },
    /// A call arrived from a caller or from the target beside the daemon.
    CallArrived {
        /// The key to reply with.
        call: CallKey,
        /// The request.
        request: Box<CallRequest>,
    },
    /// The caller of a call disconnected.
    CallerGone(CallKey),
    /// The table decided on a claim that a call waits for.
    ClaimDecided(ClaimDecision),
    /// A request that waited for a token of its organisation's quota got one, or gets none.
    QuotaDecided(QuotaDecision),
    /// An operator sent a request.
    OperatorRequest {
        /// The key to reply with.
        call: CallKey,
        /// The request.
        request: OperatorRequest,
    },
    /// A request at the target beside the daemon ended, with or without an answer.
    TargetRequestEnded {
        /// The key of the call.
        call: CallKey,
        /// The outcome.
        outcome: TargetOutcome,
        /// What the answer, if there is one, says of the target.
        signals: AnswerSignals,
    },
}

/// The outcome of a request that was sent to the target beside the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetOutcome {
    /// The whole answer arrived.
    Answered(Answer),
    /// Nothing was sent: no connection could be made.
    NotSent,
    /// The target reported that it did not run the request.
    Refused,
    /// A part of the request may have been sent, but no complete answer arrived.
    Lost,
    /// As [`Self::Lost`], because the target's process ended.
    Ended,
}

/// Why a peer request got no response.
#[apply(value!)]
pub enum LinkError {
    /// Nothing was sent.
    NotSent,
    /// The connection was lost; the request may have arrived.
    Lost,
    /// The timeout passed; the request may have arrived.
    TimedOut,
}
