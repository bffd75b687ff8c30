//! Identifiers of members, calls, requests, services and other entities.

use std::fmt;
use std::sync::Arc;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::value;

/// Identifies one execution of a daemon process; each start draws a new random identifier.
#[apply(value!)]
pub struct MemberId(pub u64);

/// Identifies a call or operator request that this daemon received; local to the daemon.
#[apply(value!)]
pub struct CallKey(pub u64);

/// Identifies a request that this daemon sent to a peer, to itself or to the platform; local to the
/// daemon.
#[apply(value!)]
pub struct OutboundKey(pub u64);

/// Identifies a request that this daemon received from a peer or from itself; local to the daemon.
#[apply(value!)]
pub struct InboundKey(pub u64);

/// Identifies a request; all of its attempts and all daemons that handle it use the same
/// identifier.
#[apply(value!)]
pub struct RequestId(pub u64);

/// Identifies the root request of a call graph; all calls below it carry the same identifier.
#[apply(value!)]
pub struct RootId(pub u64);

impl RootId {
    /// Returns the rank of the root request among those of equal priority: the lowest is shed
    /// first. It is a hash of the identifier, so it is the same at each daemon.
    pub fn root_rank(self) -> u16 {
        let hash = xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes());
        (hash >> 48) as u16
    }
}

/// A class of requests whose service times and waits are estimated together: the hash of the name
/// of their route, or 0 for requests without a route.
#[apply(value!)]
#[derive(Default)]
pub struct WorkKind(pub u64);

impl WorkKind {
    /// Returns the class of the requests of a route.
    pub fn of_route(route: Option<&RouteName>) -> Self {
        let hash = |route: &RouteName| xxhash_rust::xxh3::xxh3_64(route.as_str().as_bytes());
        Self(route.map_or(0, hash))
    }
}

/// The importance of a request; requests of the lowest priority are shed first.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
#[derive(Default)]
pub enum Priority {
    /// Work that may always be delayed, such as internal checks.
    Background,
    /// Work that is shed early.
    Low,
    /// Work without an explicit priority.
    #[default]
    Normal,
    /// Work that is shed late.
    High,
    /// Work that is shed last.
    Critical,
}

impl Priority {
    /// All priorities, in ascending order of importance.
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

macro_rules! string_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text as a string slice.
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

string_newtype! {
    /// The name of a service of the call graph.
    ServiceName
}

string_newtype! {
    /// The name of an availability zone.
    AvailabilityZone
}

string_newtype! {
    /// The name that identifies a caller for retry budgets.
    Caller
}

string_newtype! {
    /// The name of an organisation that sends requests.
    OrganisationName
}

string_newtype! {
    /// The name of a route, unique within a route table.
    RouteName
}

string_newtype! {
    /// The identifier that a caller gave its request, used in logs.
    TraceId
}

string_newtype! {
    /// The identifier that a target reports for one start of its process.
    InstanceId
}
