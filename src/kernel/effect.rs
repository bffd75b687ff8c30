//! The effects that the kernel returns to the host, and the notices that services publish.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::ConfigView;
use crate::decision::Decision;
use crate::ids::{CallKey, InboundKey, MemberId, OutboundKey, ServiceName};
use crate::membership::Member;
use crate::metrics::{Counter, Gauge, Latency};
use crate::operator::OperatorReply;
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::HttpRequest;
use crate::routes::RouteTable;
use crate::table::{ObjectRequest, RowVersion, TableRequest};
use crate::target::{Announcement, TargetStart};
use crate::verdict::Verdict;

/// An action for the host to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request to the daemon at an address.
    SendPeerRequest {
        /// The key of the request.
        key: OutboundKey,
        /// The peer address.
        to: SocketAddr,
        /// The request.
        request: PeerRequest,
        /// The timeout of the request.
        timeout_us: u64,
    },
    /// Cancel an outbound request.
    CancelRequest {
        /// The key of the request.
        key: OutboundKey,
    },
    /// Respond to a request of a peer.
    SendPeerResponse {
        /// The key of the request.
        inbound: InboundKey,
        /// The response.
        response: PeerResponse,
    },
    /// Send a request to the platform's table.
    SendTableRequest {
        /// The key of the request.
        key: OutboundKey,
        /// The request.
        request: TableRequest,
        /// The timeout of the request.
        timeout_us: u64,
    },
    /// Send a request to the platform's object store.
    SendObjectRequest {
        /// The key of the request.
        key: OutboundKey,
        /// The request.
        request: ObjectRequest,
        /// The timeout of the request.
        timeout_us: u64,
    },
    /// Read the route table, or wait for an update after a position in the history of the route
    /// source.
    ReadRoutes {
        /// The key of the request.
        key: OutboundKey,
        /// The position after which to continue; `None` reads the current table.
        after: Option<RowVersion>,
        /// How long the source may wait for an update.
        wait_ms: u32,
        /// The timeout of the request.
        timeout_us: u64,
    },
    /// Reply to a caller.
    ReplyToCaller {
        /// The key of the call.
        call: CallKey,
        /// The reply.
        reply: Box<CallReply>,
    },
    /// Reply to an operator.
    ReplyToOperator {
        /// The key of the operator's request.
        call: CallKey,
        /// The reply.
        reply: Box<OperatorReply>,
    },
    /// Send a request to the target beside the daemon.
    SendTargetRequest {
        /// The key of the call.
        call: CallKey,
        /// The request.
        http: HttpRequest,
        /// Whether the request may run more than once.
        is_idempotent: bool,
        /// How long the target may take to answer.
        timeout_us: u64,
        /// The time after which the request must not be sent any more.
        send_within_us: u64,
    },
    /// Cancel a request at the target.
    CancelTargetRequest {
        /// The key of the call.
        call: CallKey,
    },
    /// Add to a counter.
    Count(Counter, u64),
    /// Set a gauge.
    Set(Gauge, f64),
    /// Record a latency of a service, in milliseconds, in its histogram.
    Observe(Latency, ServiceName, u64),
    /// Log a state change.
    LogStateChange(StateChange),
    /// Log a decision on a request.
    LogDecision(Box<Decision>),
    /// Remember that a start of the target said that it is leaving, also in later processes.
    RecordDeparture(TargetStart),
    /// The graceful shutdown is complete: the node has nothing in flight, so the process may exit.
    ReadyToExit,
}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallReply {
    /// The outcome.
    pub verdict: Verdict,
    /// The retries that the caller may still spend on this request.
    pub retries_left: u32,
    /// Tickets issued for requests that must run at most once.
    pub tickets: Vec<crate::run_once::Ticket>,
}

/// A notice that is delivered to all services of a node.
#[derive(Clone, Debug)]
pub enum Notice {
    /// A member joined or changed.
    MemberChanged(Member),
    /// A member left, failed or was removed from the membership.
    MemberGone(MemberId),
    /// A higher version of the configuration became active.
    ConfigChanged(Arc<ConfigView>),
    /// A higher version of the route table became active.
    RoutesChanged(Arc<RouteTable>),
    /// The target beside the daemon announced itself or changed.
    TargetAnnounced(Announcement),
    /// The target beside the daemon stopped announcing itself.
    TargetSilent,
    /// A graceful shutdown is under way, and the process ends within a time, even with requests in
    /// flight. New work is still accepted if it can finish.
    StopAnnounced {
        /// The time.
        time_limit_us: u64,
    },
    /// A graceful shutdown began: no new work is accepted.
    StopRequested,
    /// The platform's store was restored from an older copy: rows that were written since are gone.
    StoreRestored,
    /// The process resumed after a pause: timers and link states are unreliable.
    Resumed {
        /// The time since the due time of the next timer or since the last call of the kernel,
        /// whichever is later.
        paused_us: u64,
    },
}

/// A state change that is logged for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// The part of the node that changed.
    pub subject: &'static str,
    /// What changed, in a few words.
    pub change: &'static str,
    /// The member, service or record concerned, with the relevant figures.
    pub detail: String,
}

impl StateChange {
    /// Creates a state change.
    pub fn new(subject: &'static str, change: &'static str, detail: impl Into<String>) -> Self {
        Self {
            subject,
            change,
            detail: detail.into(),
        }
    }

    /// Creates a state change that concerns a service.
    pub fn of_service(subject: &'static str, change: &'static str, service: &ServiceName) -> Self {
        Self::new(subject, change, service.as_str())
    }
}
