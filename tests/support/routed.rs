//! Route tables and requests that they match.

#![allow(dead_code)]

use dragonflylug::ids::{RequestId, TraceId};
use dragonflylug::kernel::TargetOutcome;
use dragonflylug::request::{CallRequest, RoutedCall};
use dragonflylug::routes::{
    IngressLimits, Route, RouteTable, RouteTerms, ServiceTerms, WeightedService,
};

use crate::network::ok_answer;
use crate::nodes::request;

/// The terms of an important request that may run again.
pub const READ: RouteTerms = RouteTerms {
    importance: 2,
    is_idempotent: true,
    timeout_ms: 1_000,
    target_latency_ms: 1_500,
    attempts_max: 2,
};

/// The terms of a payment.
pub const PAYMENT: RouteTerms = RouteTerms {
    importance: 0,
    is_idempotent: false,
    timeout_ms: 1_200,
    target_latency_ms: 1_500,
    attempts_max: 2,
};

/// Makes a route of one or more services with their weights.
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
        split: services,
    }
}

/// Makes a table.
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

/// Makes a request that a route matched.
pub fn routed_request(service: &str, terms: RouteTerms, id: u64) -> CallRequest {
    let method = if terms.is_idempotent { "GET" } else { "POST" };
    let mut request = request(service, method, "/shelters/2f");
    request.request = Some(RequestId(id));
    request.routed = Some(RoutedCall {
        route: service.into(),
        terms,
        trace_id: TraceId::from(id.to_string().as_str()),
    });
    request
}

/// The outcome of a target that answers.
pub fn ok_outcome() -> TargetOutcome {
    TargetOutcome::Answered(ok_answer())
}
