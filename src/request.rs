//! Requests and answers as they travel between callers, daemons and targets.

use bytes::Bytes;
use macro_rules_attribute::apply;

use crate::derives::{message, value};
use crate::ids::{Caller, MemberId, Priority, RequestId, RootId, RouteName, ServiceName, TraceId};
use crate::routes::RouteTerms;
use crate::run_once::{ClaimHolder, Ticket};

/// An HTTP header that is passed on.
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
    /// The path and query below the service, starting with `/`.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// A whole HTTP answer of a target.
#[apply(message!)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// The xxh3 digest of status and body, made beside the target.
    pub digest: u64,
}

impl Answer {
    /// Makes an answer and its digest.
    pub fn new(status: u16, headers: Vec<Header>, body: Bytes) -> Self {
        let digest = Self::digest_of(status, &body);
        Self {
            status,
            headers,
            body,
            digest,
        }
    }

    /// Says whether the status and body are those that left the target.
    pub fn is_intact(&self) -> bool {
        self.digest == Self::digest_of(self.status, &self.body)
    }

    fn digest_of(status: u16, body: &[u8]) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(body, u64::from(status))
    }
}

/// What a caller says about running its request at most once.
#[apply(message!)]
pub enum RunKey {
    /// Nothing: the policy of the request decides.
    None,
    /// A ticket that one daemon issued and that only that daemon may run.
    Ticket(Ticket),
    /// An idempotency key of the caller's own, claimed in the platform's table.
    Claim(ClaimKey),
}

/// A caller's idempotency key.
#[apply(message!)]
pub struct ClaimKey {
    /// The key as the caller sent it.
    pub key: String,
    /// Whether the caller says that it never sent this key before.
    pub is_first_attempt: bool,
}

/// A request as a caller or a target hands it to the daemon.
#[apply(message!)]
pub struct CallRequest {
    /// The service that is called.
    pub service: ServiceName,
    /// The request for the target.
    pub http: HttpRequest,
    /// The caller's name for retry budgets.
    pub caller: Caller,
    /// The request's identifier; a repeat of the same request keeps it.
    pub request: Option<RequestId>,
    /// The request that this one is a child of, where a target calls.
    pub parent: Option<RequestId>,
    /// Whether the target beside the daemon sent it.
    pub is_from_target: bool,
    /// The time left until the caller gives up.
    pub deadline_left_ms: Option<u32>,
    /// The retries that the caller has left over from its own earlier tries.
    pub retries_left: Option<u32>,
    /// Whether the caller marks this as a repeat of an earlier try.
    pub is_repeat: bool,
    /// The at-most-once key.
    pub run_key: RunKey,
    /// What the route of the request says, where a route table is in force.
    pub routed: Option<RoutedCall>,
}

/// A request that a route matched.
#[apply(message!)]
pub struct RoutedCall {
    /// The route.
    pub route: RouteName,
    /// What holds for requests of the route.
    pub terms: RouteTerms,
    /// The identifier that the caller gave.
    pub trace_id: TraceId,
}

/// A call from an entry daemon to the guard beside a target.
#[apply(message!)]
pub struct PeerCall {
    /// The entry daemon.
    pub from: MemberId,
    /// The service that is called.
    pub service: ServiceName,
    /// The request, the same on each try.
    pub request: RequestId,
    /// The request at the root of the call graph.
    pub root: RootId,
    /// The number of calls between the root and this one.
    pub depth: u8,
    /// The importance of the request, never above that of its parent's root.
    pub priority: Priority,
    /// The time left until the caller gives up.
    pub deadline_left_ms: u32,
    /// The retries that calls below this one may spend.
    pub retries: u32,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The at-most-once key.
    pub run_key: RunKey,
    /// The entry daemon's configuration version.
    pub config_version: u64,
    /// The identifier that the caller gave, where it gave one.
    pub trace_id: Option<TraceId>,
    /// The route of the request, where a route table is in force.
    pub route: Option<RouteName>,
    /// Whether a target may have run it before, or a run that is itself a repeat calls it.
    pub is_repeat: bool,
    /// The request for the target.
    pub http: HttpRequest,
}

impl PeerCall {
    /// Returns the order in which the call is shed.
    pub fn rank(&self) -> Rank {
        match self.route {
            Some(_) => Rank::of_priority(self.priority),
            None => Rank::new(self.priority, self.root),
        }
    }
}

/// What a guard tells an entry daemon beside each verdict.
#[apply(value!)]
#[derive(Default)]
pub struct LoadReport {
    /// Requests of at least this rank are admitted now.
    pub threshold: Rank,
    /// The requests at the target.
    pub in_flight: u32,
    /// The greatest number of requests that the guard sends to the target at once.
    pub limit: u32,
    /// The requests that wait at the guard.
    pub queued: u32,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// The mean time that the target took for its latest requests; 0 where none is known.
    pub service_us: u32,
    /// The pressure on the route of the call, in thousandths.
    pub pressure_permille: u16,
}

/// The order in which requests are shed: the least first.
#[apply(value!)]
#[derive(Default)]
pub struct Rank {
    /// The importance of the request.
    pub priority: Priority,
    /// The rank of its root among roots of the same priority.
    pub root_rank: u16,
}

impl Rank {
    /// The least rank: a threshold that admits all.
    pub const MIN: Self = Self {
        priority: Priority::Background,
        root_rank: 0,
    };

    /// Makes the rank of a request whose root is not known: among equals the oldest goes first.
    pub fn of_priority(priority: Priority) -> Self {
        Self {
            priority,
            root_rank: 0,
        }
    }

    /// Makes the rank of a request.
    pub fn new(priority: Priority, root: RootId) -> Self {
        Self {
            priority,
            root_rank: root.shed_rank(),
        }
    }
}

/// A guard's reply to a call.
#[apply(message!)]
pub struct PeerReply {
    /// The outcome.
    pub verdict: crate::verdict::Verdict,
    /// The retries that were handed down and not spent.
    pub retries_unspent: u32,
    /// Whether a call that the request made further down failed: another target would fail alike.
    pub has_failed_child: bool,
    /// The daemon that holds the claim of the request, where it is another one.
    pub holder: Option<ClaimHolder>,
    /// The guard's present load.
    pub load: LoadReport,
    /// The guard's configuration version.
    pub config_version: u64,
}
