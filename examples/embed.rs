//! Embeds the decision logic of two nodes in a program that simulates the clock and the network.
//!
//! One node accepts a call as the entry, the other guards a target that answers immediately. Run it
//! with `cargo run --example embed`.

use std::collections::VecDeque;
use std::net::SocketAddr;

use dragonflylug::calls::{self, entry};
use dragonflylug::ids::{CallKey, Caller, InboundKey, MemberId};
use dragonflylug::kernel::{
    CallReply, Effect, Event, Input, Kernel, LinkError, Notice, TargetOutcome,
};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::node::build_kernel;
use dragonflylug::request::{Answer, CallRequest, HttpRequest, RunKey};
use dragonflylug::settings::Settings;
use dragonflylug::sorted::SortedMap;
use dragonflylug::table::{PlatformError, RowVersion, TableRequest, TableResponse};
use dragonflylug::target::{Announcement, AnswerSignals};

/// The index of the node that accepts the call.
const ENTRY: usize = 0;

/// The index of the node beside the target.
const GUARD: usize = 1;

/// The step of the simulated clock.
const STEP_US: u64 = 1_000;

/// The simulated time at which the simulation stops waiting for the reply.
const TIME_LIMIT_US: u64 = 10_000_000;

/// The origin of a peer request: the node that sent it and the key under which it was sent.
struct RequestOrigin {
    sender: usize,
    key: dragonflylug::ids::OutboundKey,
}

/// Two nodes with a simulated clock, network and table.
struct Simulation {
    now_us: u64,
    nodes: Vec<Kernel>,
    inbox: VecDeque<(usize, Input)>,
    request_origins: SortedMap<InboundKey, RequestOrigin>,
    rows: Vec<dragonflylug::table::Row>,
    reply: Option<CallReply>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1 + node as u8], 8082))
}

fn member(node: usize) -> Member {
    Member {
        id: MemberId(1 + node as u64),
        address: address(node),
        availability_zone: "zone-1".into(),
        service: None,
        slots: 0,
        state: MemberState::Alive,
        incarnation: 0,
        schema_version: 2,
    }
}

fn main() {
    let settings = Settings::default();
    let nodes = [ENTRY, GUARD].map(|node| build_kernel(&settings, member(node), node as u64));
    let mut simulation = Simulation {
        now_us: 0,
        nodes: nodes.into(),
        inbox: VecDeque::new(),
        request_origins: SortedMap::default(),
        rows: Vec::new(),
        reply: None,
    };
    for node in [ENTRY, GUARD] {
        let effects = simulation.nodes[node].start(0);
        simulation.execute_all(node, effects);
    }
    simulation.inbox.push_back((
        GUARD,
        Input::Notice(Notice::TargetAnnounced(announcement())),
    ));
    simulation.run(2_000_000);
    let event = Event::CallArrived {
        call: CallKey(1),
        request: Box::new(request()),
    };
    simulation
        .inbox
        .push_back((ENTRY, Input::Event(entry::NAME, event)));
    simulation.run(TIME_LIMIT_US);
    match simulation.reply {
        Some(reply) => println!(
            "after {} ms: {:?}",
            simulation.now_us / 1_000,
            reply.verdict
        ),
        None => println!("no reply within {} ms", TIME_LIMIT_US / 1_000),
    }
}

fn announcement() -> Announcement {
    Announcement {
        service: "lookups".into(),
        address: address(GUARD),
        slots: 4,
        connections: 16,
        is_draining: false,
        instance: None,
        started_at_ms: None,
    }
}

fn request() -> CallRequest {
    CallRequest {
        service: "lookups".into(),
        http: HttpRequest {
            method: "GET".to_string(),
            path: "/free".to_string(),
            headers: Vec::new(),
            body: Default::default(),
        },
        caller: Caller::from("example"),
        request: None,
        parent: None,
        is_from_target: false,
        deadline_left_ms: Some(1_000),
        retries_left: None,
        is_repeat: false,
        run_key: RunKey::None,
        routed: None,
    }
}

impl Simulation {
    /// Runs the nodes until the call has a reply or the clock reaches `until_us`.
    fn run(&mut self, until_us: u64) {
        while self.now_us < until_us && self.reply.is_none() {
            self.now_us += STEP_US;
            while let Some((node, input)) = self.inbox.pop_front() {
                let effects = self.nodes[node].handle(self.now_us, input);
                self.execute_all(node, effects);
            }
            for node in [ENTRY, GUARD] {
                let effects = self.nodes[node].advance(self.now_us);
                self.execute_all(node, effects);
            }
        }
    }

    fn execute_all(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.execute(node, effect);
        }
    }

    fn execute(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::SendPeerRequest {
                key, to, request, ..
            } => {
                let Some(other) = [ENTRY, GUARD]
                    .into_iter()
                    .find(|other| address(*other) == to)
                else {
                    let result = Err(LinkError::NotSent);
                    self.inbox
                        .push_back((node, Input::PeerResponse { key, result }));
                    return;
                };
                let inbound = InboundKey(1 + self.request_origins.len() as u64);
                self.request_origins
                    .insert(inbound, RequestOrigin { sender: node, key });
                self.inbox
                    .push_back((other, Input::PeerRequest { inbound, request }));
            }
            Effect::SendPeerResponse { inbound, response } => {
                let Some(origin) = self.request_origins.get(&inbound) else {
                    return;
                };
                let input = Input::PeerResponse {
                    key: origin.key,
                    result: Ok(response),
                };
                self.inbox.push_back((origin.sender, input));
            }
            Effect::SendTableRequest { key, request, .. } => {
                let result = Ok(self.handle_table_request(request));
                let input = Input::TableResponse {
                    key,
                    result,
                    table_now_ms: None,
                };
                self.inbox.push_back((node, input));
            }
            Effect::SendObjectRequest { key, .. } => {
                let result = Err(PlatformError::NotApplied);
                self.inbox
                    .push_back((node, Input::ObjectResponse { key, result }));
            }
            Effect::SendTargetRequest { call, http, .. } => {
                let body = format!("{} {} is free", http.method, http.path);
                let outcome = TargetOutcome::Answered(Answer::new(200, Vec::new(), body.into()));
                let event = Event::TargetRequestEnded {
                    call,
                    outcome,
                    signals: AnswerSignals::default(),
                };
                self.inbox
                    .push_back((node, Input::Event(calls::guard::NAME, event)));
            }
            Effect::ReplyToCaller { reply, .. } => self.reply = Some(*reply),
            Effect::LogStateChange(change) => {
                println!("node {node}: {} {}", change.change, change.detail)
            }
            _ => {}
        }
    }

    /// Handles a request on an in-memory table that only appends rows and checks no conditions,
    /// which is enough for the nodes to discover each other.
    fn handle_table_request(&mut self, request: TableRequest) -> TableResponse {
        match request {
            TableRequest::Scan { prefix, .. } => {
                let found = self.rows.iter().filter(|row| row.key.starts_with(&prefix));
                TableResponse::Rows(found.cloned().collect())
            }
            TableRequest::Get { keys } => {
                let found = self.rows.iter().filter(|row| keys.contains(&row.key));
                TableResponse::Rows(found.cloned().collect())
            }
            TableRequest::Write { writes } => {
                let mut versions = Vec::new();
                for write in writes {
                    let version = RowVersion::without_epoch(self.rows.len() as u64 + 1);
                    versions.push(version);
                    let Some(value) = write.value else { continue };
                    self.rows.push(dragonflylug::table::Row {
                        key: write.key,
                        version,
                        value,
                    });
                }
                TableResponse::Written(versions)
            }
        }
    }
}
