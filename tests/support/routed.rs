//! Route tables, and requests that their routes match.

#![allow(dead_code)]

use dragonflylug::ids::{RequestId, TraceId};
use dragonflylug::kernel::TargetOutcome;
use dragonflylug::request::{CallRequest, RouteMatch};
use dragonflylug::routes::{
    IngressLimits, Route, RouteTable, RouteTerms, ServiceTerms, WeightedService,
};

use crate::network::ok_answer;
use crate::nodes::request;

/// The terms of an idempotent read of medium importance; 0 is the most important.
pub const READ: RouteTerms = RouteTerms {
    importance: 2,
    is_idempotent: true,
    timeout_ms: 1_000,
    target_latency_ms: 1_500,
    attempts_max: 2,
};

/// The terms of a payment: of the highest importance and not idempotent.
pub const PAYMENT: RouteTerms = RouteTerms {
    importance: 0,
    is_idempotent: false,
    timeout_ms: 1_200,
    target_latency_ms: 1_500,
    attempts_max: 2,
};

/// Creates a route to one or more weighted services.
pub fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let mut services = Vec::new();
    for (service, weight) in split {
        services.push(WeightedService {
            service: (*service).into(),
            weight: *weight,
        });
    }
    Route {
        name: name.into(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        terms: READ,
        is_anonymous: false,
        split: services,
    }
}

/// Creates a route table with fixed service terms and limits.
pub fn route_table(version: u64, routes: Vec<Route>) -> RouteTable {
    let services = vec![ServiceTerms {
        service: "bookings".into(),
        health_path: "/health".into(),
        connections_max: 200,
    }];
    let limits = IngressLimits {
        header_bytes_max: 16_384,
        body_bytes_max: 1 << 26,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    RouteTable::new(version, routes, services, limits)
}

/// Creates a request that a route has matched.
pub fn routed_request(service: &str, terms: RouteTerms, id: u64) -> CallRequest {
    let method = if terms.is_idempotent { "GET" } else { "POST" };
    let mut request = request(service, method, "/shelters/2f");
    request.request = Some(RequestId(id));
    request.routed = Some(RouteMatch {
        route: service.into(),
        terms,
        trace_id: TraceId::from(id.to_string().as_str()),
        principal: None,
    });
    request
}

/// Returns the outcome of a target that answers with success.
pub fn ok_outcome() -> TargetOutcome {
    TargetOutcome::Answered(ok_answer())
}
