//! Drives two nodes' decisions without the daemon: with a clock and links of the program's own.
//!
//! One node takes a call, the other guards a target that answers at once. Run it with
//! `cargo run --example embed`.

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
use dragonflylug::table::{PlatformError, TableRequest, TableResponse};
use dragonflylug::target::Announcement;

/// The entry node and the guard.
const ENTRY: usize = 0;
const GUARD: usize = 1;

/// The step of this program's clock.
const STEP_US: u64 = 1_000;

/// The time after which the program gives up.
const END_US: u64 = 10_000_000;

/// A question under way: who asked it, under which key.
struct Question {
    asker: usize,
    ask: dragonflylug::ids::OutboundKey,
}

/// Two nodes, this program's clock and what waits to be delivered.
struct World {
    now_us: u64,
    nodes: Vec<Kernel>,
    inbox: VecDeque<(usize, Input)>,
    questions: SortedMap<InboundKey, Question>,
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
    let mut world = World {
        now_us: 0,
        nodes: nodes.into(),
        inbox: VecDeque::new(),
        questions: SortedMap::default(),
        rows: Vec::new(),
        reply: None,
    };
    for node in [ENTRY, GUARD] {
        let effects = world.nodes[node].start(0);
        world.carry_out(node, effects);
    }
    world.inbox.push_back((
        GUARD,
        Input::Notice(Notice::TargetAnnounced(announcement())),
    ));
    world.run(2_000_000);
    let event = Event::CallArrived {
        call: CallKey(1),
        request: Box::new(request()),
    };
    world
        .inbox
        .push_back((ENTRY, Input::Event(entry::NAME, event)));
    world.run(END_US);
    match world.reply {
        Some(reply) => println!("after {} ms: {:?}", world.now_us / 1_000, reply.verdict),
        None => println!("no reply"),
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

impl World {
    /// Runs the nodes until the reply is there or a time has passed.
    fn run(&mut self, until_us: u64) {
        while self.now_us < until_us && self.reply.is_none() {
            self.now_us += STEP_US;
            while let Some((node, input)) = self.inbox.pop_front() {
                let effects = self.nodes[node].handle(self.now_us, input);
                self.carry_out(node, effects);
            }
            for node in [ENTRY, GUARD] {
                let effects = self.nodes[node].advance(self.now_us);
                self.carry_out(node, effects);
            }
        }
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_out_one(node, effect);
        }
    }

    fn carry_out_one(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::SendPeerRequest {
                key: ask,
                to,
                request: question,
                ..
            } => {
                let Some(other) = [ENTRY, GUARD]
                    .into_iter()
                    .find(|other| address(*other) == to)
                else {
                    let result = Err(LinkError::NotSent);
                    self.inbox
                        .push_back((node, Input::PeerResponse { key: ask, result }));
                    return;
                };
                let inbound = InboundKey(1 + self.questions.len() as u64);
                self.questions
                    .insert(inbound, Question { asker: node, ask });
                self.inbox.push_back((
                    other,
                    Input::PeerRequest {
                        inbound,
                        request: question,
                    },
                ));
            }
            Effect::SendPeerResponse {
                inbound,
                response: answer,
            } => {
                let Some(question) = self.questions.get(&inbound) else {
                    return;
                };
                let input = Input::PeerResponse {
                    key: question.ask,
                    result: Ok(answer),
                };
                self.inbox.push_back((question.asker, input));
            }
            Effect::SendTableRequest {
                key: ask, request, ..
            } => {
                let result = Ok(self.table(request));
                self.inbox
                    .push_back((node, Input::TableResponse { key: ask, result }));
            }
            Effect::SendObjectRequest { key: ask, .. } => {
                let result = Err(PlatformError::NotApplied);
                self.inbox
                    .push_back((node, Input::ObjectResponse { key: ask, result }));
            }
            Effect::SendTargetRequest { call, http, .. } => {
                let body = format!("{} {} is free", http.method, http.path);
                let outcome = TargetOutcome::Answered(Answer::new(200, Vec::new(), body.into()));
                let event = Event::TargetRequestEnded { call, outcome };
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

    /// A table that keeps what it is given; enough for nodes that find each other.
    fn table(&mut self, request: TableRequest) -> TableResponse {
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
                    let version = self.rows.len() as u64 + 1;
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
