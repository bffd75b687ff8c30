//! The route table, and how a request is matched against it.

use macro_rules_attribute::apply;

use crate::config::Policy;
use crate::derives::{message, value};
use crate::ids::{Priority, RouteName, ServiceName};
use crate::organisations::Organisations;

/// All routes at one version.
#[apply(message!)]
pub struct RouteTable {
    /// The version; a table with a higher version replaces one with a lower version.
    pub version: u64,
    /// The routes, sorted by host and prefix.
    routes: Vec<Route>,
    /// The services, sorted by name.
    services: Vec<ServiceTerms>,
    /// The limits on the requests of clients.
    pub limits: IngressLimits,
    /// The organisations whose requests are accepted; `None` if requests need no key.
    pub organisations: Option<Organisations>,
}

/// One route.
#[apply(message!)]
pub struct Route {
    /// The name.
    pub name: RouteName,
    /// The host that its requests name, in lower case.
    pub host: String,
    /// The prefix of its requests' paths; begins and ends with a slash.
    pub prefix: String,
    /// The terms on which its requests are handled.
    pub terms: RouteTerms,
    /// Whether its requests need no key of an organisation.
    pub is_anonymous: bool,
    /// The services that handle the requests, each in proportion to its weight.
    pub split: Vec<WeightedService>,
}

/// The terms on which the requests of a route are handled.
#[apply(value!)]
pub struct RouteTerms {
    /// The rank of importance among routes; 0 is the most important.
    pub importance: u32,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// The maximum time that a client waits for its answer.
    pub timeout_ms: u32,
    /// The latency up to which an answer is of full use to the client.
    pub target_latency_ms: u32,
    /// The maximum number of attempts for one request. Not counted are attempts after a refusal by
    /// a leaving target, up to a fixed number, and attempts after one that reached no target, up to
    /// [`EntrySettings::placements_max`](crate::calls::entry::EntrySettings::placements_max).
    pub attempts_max: u32,
}

/// A service with its weight in a route's traffic split.
#[apply(message!)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The weight, relative to the other services of the route.
    pub weight: u32,
}

/// The properties of a service that the route table specifies.
#[apply(message!)]
pub struct ServiceTerms {
    /// The service.
    pub service: ServiceName,
    /// The path of its health check.
    pub health_path: String,
    /// The maximum number of connections that one of its targets accepts.
    pub connections_max: u32,
}

/// The limits on the requests of clients.
#[apply(value!)]
pub struct IngressLimits {
    /// The maximum size of a request head.
    pub header_bytes_max: u32,
    /// The maximum size of a request body.
    pub body_bytes_max: u64,
    /// The time in which a client must send the whole request head.
    pub header_timeout_ms: u32,
    /// The time after which an idle connection is closed.
    pub idle_timeout_ms: u32,
}

impl RouteTerms {
    /// Returns the priority that corresponds to the importance.
    pub fn priority(self) -> Priority {
        priority_of(self.importance)
    }

    /// Returns the call policy of the route's requests.
    pub fn policy(self) -> Policy {
        Policy {
            priority: self.priority(),
            is_idempotent: self.is_idempotent,
            retries: self.attempts_max.saturating_sub(1),
            deadline_ms: self.timeout_ms,
            hedge_after_ms: 0,
        }
    }
}

impl RouteTable {
    /// Creates a table from routes and services in any order.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<ServiceTerms>,
        limits: IngressLimits,
    ) -> Self {
        routes.sort_by(|one, other| one.key().cmp(&other.key()));
        services.sort_by(|one, other| one.service.cmp(&other.service));
        Self {
            version,
            routes,
            services,
            limits,
            organisations: None,
        }
    }

    /// Returns the table with organisations, so that requests need a key of one of them.
    pub fn with_organisations(self, organisations: Organisations) -> Self {
        Self {
            organisations: Some(organisations),
            ..self
        }
    }

    /// Returns the route with the longest prefix of the path; the host must be in lower case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        for (index, byte) in path.bytes().enumerate().rev() {
            if byte != b'/' {
                continue;
            }
            let key = (host, &path[..=index]);
            let Ok(found) = self.routes.binary_search_by(|route| route.key().cmp(&key)) else {
                continue;
            };
            return Some(&self.routes[found]);
        }
        None
    }

    /// Returns the lowest priority of the requests that carry a key; `None` if requests need none, or
    /// there is no organisation.
    pub fn lowest_keyed_priority(&self) -> Option<Priority> {
        let organisations = self.organisations.as_ref()?;
        let mut importances = Vec::new();
        for route in &self.routes {
            if !route.is_anonymous {
                importances.push(route.terms.importance);
            }
        }
        importances.sort_unstable();
        importances.dedup();
        let mut lowest = None;
        for organisation in organisations.iter() {
            for route_importance in &importances {
                let importance = organisations.importance(organisation, *route_importance);
                lowest = lowest.max(Some(importance));
            }
        }
        lowest.map(priority_of)
    }

    /// Returns the properties of a service, if the table has them.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceTerms> {
        let index = self
            .services
            .binary_search_by(|terms| terms.service.cmp(name))
            .ok()?;
        Some(&self.services[index])
    }
}

/// Returns the priority that corresponds to a rank of importance.
fn priority_of(importance: u32) -> Priority {
    match importance {
        0 => Priority::Critical,
        1 => Priority::High,
        2 => Priority::Normal,
        _ => Priority::Low,
    }
}

impl Route {
    fn key(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }
}
