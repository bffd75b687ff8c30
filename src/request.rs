//! Requests and answers that callers, daemons and targets exchange.

use std::ops::RangeInclusive;

use bytes::Bytes;
use macro_rules_attribute::apply;

use crate::decision::DecisionSubject;
use crate::derives::{message, value};
use crate::ids::{Caller, MemberId, Priority, RequestId, RootId, RouteName, ServiceName, TraceId};
use crate::organisations::Principal;
use crate::pressure::ShedBasis;
use crate::retry::ArrivalCounts;
use crate::routes::RouteTerms;
use crate::run_once::{ClaimHolder, Ticket};
use crate::target::TargetCondition;

/// An HTTP header that is forwarded.
#[apply(message!)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: String,
}

/// An HTTP request for a target.
#[apply(message!)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path and query relative to the service, starting with `/`.
    pub path: String,
    /// The headers that are forwarded.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

/// A complete HTTP answer of a target.
#[apply(message!)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
    /// The xxh3 digest of status and body, computed by the daemon beside the target.
    pub digest: u64,
}

impl Answer {
    /// The statuses that an answer may have. HTTP has no others, apart from those of interim responses.
    pub const STATUSES: RangeInclusive<u16> = 200..=599;

    /// Creates an answer and computes its digest.
    pub fn new(status: u16, headers: Vec<Header>, body: Bytes) -> Self {
        let digest = Self::digest_of(status, &body);
        Self {
            status,
            headers,
            body,
            digest,
        }
    }

    /// Returns whether the status is one of an answer and the digest matches, so that status and body
    /// are those that the target sent.
    pub fn is_intact(&self) -> bool {
        Self::STATUSES.contains(&self.status)
            && self.digest == Self::digest_of(self.status, &self.body)
    }

    fn digest_of(status: u16, body: &[u8]) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(body, u64::from(status))
    }
}

/// How a caller identifies a request that must run at most once.
#[apply(message!)]
pub enum RunKey {
    /// No key; the policy of the request determines whether it may run more than once.
    None,
    /// A ticket; only the daemon that issued it may run the request.
    Ticket(Ticket),
    /// An idempotency key that the caller chose, claimed in the platform's table.
    Claim(ClaimKey),
}

/// A caller's idempotency key.
#[apply(message!)]
pub struct ClaimKey {
    /// The key, unchanged from the request.
    pub key: String,
    /// Whether the caller states that it never sent this key before.
    pub is_first_attempt: bool,
}

/// A request that a caller or a target sends to the daemon.
#[apply(message!)]
pub struct CallRequest {
    /// The service that is called.
    pub service: ServiceName,
    /// The request for the target.
    pub http: HttpRequest,
    /// The caller's name, for retry budgets and to tell its requests from those of others.
    pub caller: Caller,
    /// The identifier of this request; a repeat of the same request keeps it.
    pub request: Option<RequestId>,
    /// The identifier of the parent request, if a target makes the call.
    pub parent: Option<RequestId>,
    /// Whether the target beside the daemon sent it.
    pub is_from_target: bool,
    /// The time left until the deadline of the caller.
    pub deadline_left_ms: Option<u32>,
    /// The retries that remain after the earlier attempts of the caller.
    pub retries_left: Option<u32>,
    /// Whether the caller marks this as a repeat of an earlier attempt.
    pub is_repeat: bool,
    /// The at-most-once key.
    pub run_key: RunKey,
    /// The matched route and its terms, if a route table is active.
    pub routed: Option<RouteMatch>,
}

impl CallRequest {
    /// Returns the request as the subject of logged decisions; `None` if it is not routed, as only
    /// routed requests have a trace identifier.
    pub fn decision_subject(&self) -> Option<DecisionSubject> {
        let routed = self.routed.as_ref()?;
        let principal = routed.principal.as_ref();
        Some(DecisionSubject {
            trace_id: routed.trace_id.clone(),
            service: self.service.clone(),
            organisation: principal.map(|principal| principal.organisation.clone()),
        })
    }

    /// Shortens the time left, which the route's timeout bounds, by the time that the request has
    /// already waited.
    pub fn shorten_deadline(&mut self, waited_ms: u32) {
        if waited_ms == 0 {
            return;
        }
        let timeout_ms = self
            .routed
            .as_ref()
            .map(|routed| routed.terms.policy().deadline_ms);
        let left_ms = match (self.deadline_left_ms, timeout_ms) {
            (Some(left_ms), Some(timeout_ms)) => Some(left_ms.min(timeout_ms)),
            (left_ms, timeout_ms) => left_ms.or(timeout_ms),
        };
        self.deadline_left_ms = left_ms.map(|left_ms| left_ms.saturating_sub(waited_ms));
    }
}

/// The match of a request with a route.
#[apply(message!)]
pub struct RouteMatch {
    /// The route.
    pub route: RouteName,
    /// The terms of the route, such as the importance and timeout of its requests.
    pub terms: RouteTerms,
    /// The identifier that the caller gave.
    pub trace_id: TraceId,
    /// Who sent the request, if it carries a key of an organisation.
    pub principal: Option<Principal>,
}

/// A call from an entry daemon to the guard beside a target.
#[apply(message!)]
pub struct PeerCall {
    /// The entry daemon.
    pub from: MemberId,
    /// The service that is called.
    pub service: ServiceName,
    /// The caller's name, as in [`CallRequest::caller`].
    pub caller: Caller,
    /// The identifier of this request, shared by all of its attempts.
    pub request: RequestId,
    /// The identifier of the root request of the call graph.
    pub root: RootId,
    /// The number of calls between the root request and this one.
    pub depth: u8,
    /// The importance of the request. A call with a parent takes the priority of the parent, and so
    /// that of its root request; a routed call of a target is critical.
    pub priority: Priority,
    /// The time left until the deadline of the caller.
    pub deadline_left_ms: u32,
    /// The retry allowance for the calls below this one.
    pub retries: u32,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The at-most-once key.
    pub run_key: RunKey,
    /// The entry daemon's configuration version.
    pub config_version: u64,
    /// The identifier that the caller gave, if any.
    pub trace_id: Option<TraceId>,
    /// The route of the request, if a route table is active.
    pub route: Option<RouteName>,
    /// Whether an attempt of the request spent a retry, so that a target may have run it before, or
    /// the call is attributed to a repeat that runs at the target beside the entry daemon.
    pub is_repeat: bool,
    /// What the entry daemon based its decision on not to shed the request; `None` for a request that
    /// is never shed.
    pub shed_basis: Option<ShedBasis>,
    /// Who sent the request, if it carries a key of an organisation.
    pub principal: Option<Principal>,
    /// What the entry daemon was told of the target, unless that is nothing special.
    pub known_condition: Option<TargetCondition>,
    /// The request for the target.
    pub http: HttpRequest,
}

impl PeerCall {
    /// Returns the request as the subject of logged decisions; `None` if it is not routed.
    pub fn decision_subject(&self) -> Option<DecisionSubject> {
        let principal = self.principal.as_ref();
        Some(DecisionSubject {
            trace_id: self.trace_id.clone()?,
            service: self.service.clone(),
            organisation: principal.map(|principal| principal.organisation.clone()),
        })
    }

    /// Returns the rank that determines when the call is shed. The root request counts only for a
    /// call without a route.
    pub fn rank(&self) -> Rank {
        match self.route {
            Some(_) => Rank::of_priority(self.priority),
            None => Rank::new(self.priority, self.root),
        }
    }
}

/// The load that a guard reports to an entry daemon with each verdict.
#[apply(value!)]
#[derive(Default)]
pub struct LoadReport {
    /// The lowest rank that is currently admitted.
    pub threshold: Rank,
    /// The number of requests at the target.
    pub in_flight: u32,
    /// The maximum number of concurrent requests that the guard sends to the target; fewer if the
    /// target names a rate limit.
    pub limit: u32,
    /// The number of requests queued at the guard.
    pub queued: u32,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// The mean service time of the latest requests at the target, of those of the call's route if it
    /// has one; 0 if none was measured.
    pub service_us: u32,
    /// The pressure on the route of the call, in thousandths.
    pub pressure_permille: u16,
    /// The time until the target's rate limit lets a call start that arrives now; 0 without a limit.
    pub rate_wait_us: u32,
    /// The share of the latest requests whose answers the target lost, in thousandths.
    pub lost_permille: u16,
    /// The requests that arrived at the target in the latest window of the retry budget.
    pub arrivals: ArrivalCounts,
    /// The ratio of the admitted share of the call's organisation to that of all, in thousandths;
    /// 1,000 for a call without an organisation.
    pub fair_permille: u16,
}

/// The order in which requests are shed: the lowest rank first.
#[apply(value!)]
#[derive(Default)]
pub struct Rank {
    /// The importance of the request.
    pub priority: Priority,
    /// The rank of its root request among those of the same priority; 0 if the root request does
    /// not count.
    pub root_rank: u16,
}

impl Rank {
    /// The lowest rank; as a threshold it admits all requests.
    pub const MIN: Self = Self {
        priority: Priority::Background,
        root_rank: 0,
    };

    /// Creates the rank of a request from its priority alone, for calls with a route. All such
    /// requests of one priority have the same rank, the lowest of the priority; among them, the
    /// oldest is served first.
    pub fn of_priority(priority: Priority) -> Self {
        Self {
            priority,
            root_rank: 0,
        }
    }

    /// Creates the rank of a request from its priority and its root request.
    pub fn new(priority: Priority, root: RootId) -> Self {
        Self {
            priority,
            root_rank: root.root_rank(),
        }
    }
}

/// A guard's reply to a [`PeerCall`], sent as [`PeerResponse::Call`](crate::peer::PeerResponse).
#[apply(message!)]
pub struct PeerReply {
    /// The outcome.
    pub verdict: crate::verdict::Verdict,
    /// The granted retries that were not spent.
    pub retries_unspent: u32,
    /// Whether a call that the request made failed, so that another target would fail in the same
    /// way.
    pub has_failed_child: bool,
    /// The daemon that holds the claim of the request, if that is another daemon.
    pub holder: Option<ClaimHolder>,
    /// The guard's current load.
    pub load: LoadReport,
    /// The time from the request's arrival at the guard to this reply.
    pub guard_us: u32,
    /// The guard's configuration version.
    pub config_version: u64,
    /// What the target has said of itself in its answers, unless neither the guard nor the entry
    /// daemon knows of anything special.
    pub condition: Option<TargetCondition>,
}
