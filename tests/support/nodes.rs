//! Complete nodes on the simulated network.

#![allow(dead_code)]

use std::net::SocketAddr;

use dragonflylug::calls::entry;
use dragonflylug::ids::{CallKey, Caller, MemberId, ServiceName};
use dragonflylug::kernel::{CallReply, Event, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::node::{build_kernel, build_sidecar_kernel};
use dragonflylug::request::{CallRequest, HttpRequest, RunKey};
use dragonflylug::settings::Settings;
use dragonflylug::target::Announcement;

use crate::network::Network;

/// How long a small group of nodes needs until each has all others in its roster.
pub const CONVERGENCE_US: u64 = 5_000_000;

/// The parameters of a node to add.
pub struct NodeSpec<'a> {
    pub number: u16,
    pub zone: &'a str,
    pub service: Option<&'a str>,
    pub slots: u32,
}

/// Returns the peer address of a node.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number))
}

/// Adds a complete node whose target, if it has one, announces itself immediately.
pub fn add_node(network: &mut Network, settings: &Settings, spec: &NodeSpec<'_>) -> usize {
    let own = own_member(settings, spec);
    let kernel = build_kernel(settings, own, u64::from(spec.number));
    add_kernel(network, kernel, spec)
}

/// Adds a complete node that uses a route table; its target, if it has one, announces itself
/// immediately.
pub fn add_node_with_routes(
    network: &mut Network,
    settings: &Settings,
    spec: &NodeSpec<'_>,
) -> usize {
    let own = own_member(settings, spec);
    let kernel = build_sidecar_kernel(settings, own, u64::from(spec.number));
    add_kernel(network, kernel, spec)
}

fn add_kernel(network: &mut Network, kernel: Kernel, spec: &NodeSpec<'_>) -> usize {
    let node = network.add(address(spec.number), kernel);
    if let Some(service) = spec.service {
        network.deliver_notice(
            node,
            Notice::TargetAnnounced(announcement(service, spec.slots)),
        );
    }
    node
}

fn own_member(settings: &Settings, spec: &NodeSpec<'_>) -> Member {
    Member {
        id: MemberId(1_000 + u64::from(spec.number)),
        address: address(spec.number),
        availability_zone: spec.zone.into(),
        service: None,
        slots: 0,
        state: MemberState::Alive,
        incarnation: 0,
        schema_version: settings.config.schema_version_max,
    }
}

/// Creates the announcement of a target.
pub fn announcement(service: &str, slots: u32) -> Announcement {
    Announcement {
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        slots,
        connections: slots * 8,
        is_draining: false,
        instance: None,
        started_at_ms: None,
    }
}

/// Creates a root request.
pub fn request(service: &str, method: &str, path: &str) -> CallRequest {
    CallRequest {
        service: ServiceName::from(service),
        http: HttpRequest {
            method: method.to_string(),
            path: path.to_string(),
            headers: Vec::new(),
            body: Default::default(),
        },
        caller: Caller::from("caller"),
        request: None,
        parent: None,
        is_from_target: false,
        deadline_left_ms: Some(2_000),
        retries_left: None,
        is_repeat: false,
        run_key: RunKey::None,
        routed: None,
    }
}

/// Submits a call to a node.
pub fn call(network: &mut Network, node: usize, key: u64, request: CallRequest) {
    let event = Event::CallArrived {
        call: CallKey(key),
        request: Box::new(request),
    };
    network.deliver_event(node, entry::NAME, event);
}

/// Returns the reply to a call, if there is one.
pub fn reply(network: &Network, node: usize, key: u64) -> Option<CallReply> {
    for (_, call, reply) in &network.nodes[node].replies {
        if *call == CallKey(key) {
            return Some(reply.clone());
        }
    }
    None
}

/// Submits a call and runs the network until the reply arrives.
pub fn exchange(network: &mut Network, node: usize, key: u64, request: CallRequest) -> CallReply {
    call(network, node, key, request);
    let until_us = network.now_us + 60_000_000;
    network.run_while(until_us, |network| reply(network, node, key).is_none());
    reply(network, node, key).expect("each call gets a reply")
}
