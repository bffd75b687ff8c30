//! Identifiers: small values that name members, calls, requests and services.

use std::fmt;
use std::sync::Arc;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::value;

/// One run of one daemon process; a restart gets a new one at random.
#[apply(value!)]
pub struct MemberId(pub u64);

/// A call that this daemon received from a caller or from a peer; local to the daemon.
#[apply(value!)]
pub struct CallKey(pub u64);

/// A question that this daemon sent to a peer or to the platform; local to the daemon.
#[apply(value!)]
pub struct OutboundKey(pub u64);

/// A question that a peer sent to this daemon; local to the daemon.
#[apply(value!)]
pub struct InboundKey(pub u64);

/// One request, the same on each of its tries and at each daemon that sees it.
#[apply(value!)]
pub struct RequestId(pub u64);

/// The request at the root of a call graph, shared by all calls below it.
#[apply(value!)]
pub struct RootId(pub u64);

impl RootId {
    /// Returns the rank by which roots of equal priority are shed, alike at each daemon.
    pub fn shed_rank(self) -> u16 {
        let hash = xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes());
        (hash >> 48) as u16
    }
}

/// A kind of requests that take about the same time at a target; 0 where kinds are not told apart.
#[apply(value!)]
#[derive(Default)]
pub struct WorkKind(pub u64);

impl WorkKind {
    /// Returns the kind of the requests of a route.
    pub fn of_route(route: Option<&RouteName>) -> Self {
        let hash = |route: &RouteName| xxhash_rust::xxh3::xxh3_64(route.as_str().as_bytes());
        Self(route.map_or(0, hash))
    }
}

/// The importance of a request; `Critical` is the last to be shed.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
#[derive(Default)]
pub enum Priority {
    /// Work that may always wait, such as internal checks.
    Background,
    /// Work that is shed early.
    Low,
    /// Work without a priority of its own.
    #[default]
    Normal,
    /// Work that is shed late.
    High,
    /// Work that is shed last.
    Critical,
}

impl Priority {
    /// All priorities, least important first.
    pub const ALL: [Self; 5] = [
        Self::Background,
        Self::Low,
        Self::Normal,
        Self::High,
        Self::Critical,
    ];

    /// Returns the name used in records, headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Critical => "critical",
        }
    }
}

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }
    };
}

shared_name! {
    /// The name of a service of the call graph.
    ServiceName
}

shared_name! {
    /// The name of an availability zone.
    AvailabilityZone
}

shared_name! {
    /// The name by which a caller is counted for retry budgets.
    Caller
}

shared_name! {
    /// The name of a route, unique within a route table.
    RouteName
}

shared_name! {
    /// The identifier that a caller gave its request, as it stands in logs.
    TraceId
}

shared_name! {
    /// The identifier of one start of a target.
    InstanceId
}
