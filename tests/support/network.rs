//! A fake of the links between nodes, the platform's table and the targets, under virtual time.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use dragonflylug::decision::Decision;
use dragonflylug::headers;
use dragonflylug::ids::{CallKey, InboundKey, OutboundKey, RequestId};
use dragonflylug::kernel::{
    CallReply, Effect, Event, Input, Kernel, LinkError, Notice, StateChange, TargetOutcome,
};
use dragonflylug::metrics::Counter;
use dragonflylug::operator::OperatorReply;
use dragonflylug::peer::PeerRequest;
use dragonflylug::request::{Answer, CallRequest, HttpRequest};
use dragonflylug::routes::{RouteTable, RouteUpdate};
use dragonflylug::sorted::SortedMap;
use dragonflylug::table::{
    Expected, ObjectRequest, ObjectResponse, PlatformError, Row, TableRequest, TableResponse,
};
use dragonflylug::verdict::Verdict;

/// What a fake target does with a request: the answer and the time it takes.
pub type FakeTarget = Box<dyn FnMut(u64, &HttpRequest) -> (TargetOutcome, u64)>;

/// Says whether a question passes from one node to another.
pub type PassesQuestion = Box<dyn Fn(usize, usize, &PeerRequest) -> bool>;

/// A call that a fake target makes to another service before it answers.
#[derive(Clone, Debug)]
pub struct ChildCall {
    pub request: CallRequest,
    /// Whether the target names the request that it works on.
    pub names_parent: bool,
}

/// A request at a fake target that makes calls of its own, one after the other.
struct ChildRun {
    call: CallKey,
    http: HttpRequest,
    outcome: TargetOutcome,
    next: usize,
}

/// The first key of the calls that fake targets make.
const CHILD_KEYS: u64 = 1 << 40;

/// One node of the network.
pub struct Node {
    pub address: SocketAddr,
    pub kernel: Kernel,
    pub is_up: bool,
    pub paused_until_us: u64,
    pub target: FakeTarget,
    pub log: Vec<StateChange>,
    pub decisions: Vec<Decision>,
    pub replies: Vec<(u64, CallKey, CallReply)>,
    pub operator_replies: Vec<(CallKey, OperatorReply)>,
    pub counters: SortedMap<Counter, u64>,
    pub is_stopped: bool,
    pub runs: Vec<(u64, HttpRequest)>,
    pub children: Vec<ChildCall>,
    child_runs: SortedMap<CallKey, ChildRun>,
    inbound: SortedMap<InboundKey, (usize, OutboundKey)>,
    cancelled: Vec<CallKey>,
    wake_at_us: Option<u64>,
}

/// The fault of the fake platform at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    None,
    /// Requests are not carried out.
    Down,
    /// Requests to the table are not carried out; the object store works.
    TableDown,
    /// Writes take effect and their answers are lost.
    AnswerLost,
    /// Requests take this much longer.
    Slow(u64),
}

enum Delivery {
    Child(Box<ChildRun>),
    Input(Box<Input>),
    Wake,
}

struct Scheduled {
    at_us: u64,
    sequence: u64,
    node: usize,
    delivery: Delivery,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

/// Nodes joined by links with a fixed delay.
pub struct Network {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    pub delay_us: u64,
    /// Says whether messages pass from one node to another.
    pub passes: Box<dyn Fn(usize, usize) -> bool>,
    /// Says whether a question passes from one node to another.
    pub passes_question: PassesQuestion,
    pub platform_fault: PlatformFault,
    pub rows: SortedMap<String, (u64, String)>,
    /// The rows that reads see, where those are not the present ones.
    pub stale_rows: Option<SortedMap<String, (u64, String)>>,
    pub objects: SortedMap<String, String>,
    /// What the source of route tables holds, and the nodes that reach it.
    pub route_table: Option<RouteTable>,
    pub reaches_routes: Box<dyn Fn(usize) -> bool>,
    pub table_reads: u64,
    pub table_writes: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_sequence: u64,
    next_inbound: u64,
    next_version: u64,
}

impl Network {
    pub fn new(delay_us: u64) -> Self {
        Self {
            now_us: 0,
            nodes: Vec::new(),
            delay_us,
            passes: Box::new(|_, _| true),
            passes_question: Box::new(|_, _, _| true),
            platform_fault: PlatformFault::None,
            rows: SortedMap::default(),
            stale_rows: None,
            objects: SortedMap::default(),
            route_table: None,
            reaches_routes: Box::new(|_| true),
            table_reads: 0,
            table_writes: 0,
            queue: BinaryHeap::new(),
            next_sequence: 0,
            next_inbound: 0,
            next_version: 0,
        }
    }

    /// Adds a node and starts it; its target answers 200 at once until another is set.
    pub fn add(&mut self, address: SocketAddr, kernel: Kernel) -> usize {
        let at = self.nodes.len();
        self.nodes.push(Node {
            address,
            kernel,
            is_up: true,
            paused_until_us: 0,
            target: Box::new(|_, _| (TargetOutcome::Answered(ok_answer()), 0)),
            log: Vec::new(),
            decisions: Vec::new(),
            replies: Vec::new(),
            operator_replies: Vec::new(),
            counters: SortedMap::default(),
            is_stopped: false,
            runs: Vec::new(),
            children: Vec::new(),
            child_runs: SortedMap::default(),
            inbound: SortedMap::default(),
            cancelled: Vec::new(),
            wake_at_us: None,
        });
        let effects = self.nodes[at].kernel.start(self.now_us);
        self.carry_out(at, effects);
        at
    }

    /// Hands an event to a service of a node now.
    pub fn event(&mut self, node: usize, service: &'static str, event: Event) {
        self.deliver(node, Input::Event(service, event));
    }

    /// Hands news to all services of a node now.
    pub fn notice(&mut self, node: usize, notice: Notice) {
        self.deliver(node, Input::Notice(notice));
    }

    /// Stops a node from answering, as a killed process would.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Kills a node whose VM goes on: those that wait for it learn that the connection broke.
    pub fn crash(&mut self, node: usize) {
        self.kill(node);
        let inbound = std::mem::take(&mut self.nodes[node].inbound);
        for (asker, ask) in inbound.values().copied() {
            let result = Err(LinkError::Lost);
            self.input_after(
                self.delay_us,
                asker,
                Input::PeerResponse { key: ask, result },
            );
        }
    }

    /// Holds back all that reaches a node until a time, as a stopped process would.
    pub fn pause(&mut self, node: usize, until_us: u64) {
        self.nodes[node].paused_until_us = until_us;
        self.schedule(until_us, node, Delivery::Wake);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_us > until_us {
                break;
            }
            let Some(Reverse(scheduled)) = self.queue.pop() else {
                break;
            };
            self.now_us = self.now_us.max(scheduled.at_us);
            self.step(scheduled);
        }
        self.now_us = until_us;
    }

    /// Runs until a condition holds; returns whether it did before the time.
    pub fn run_while(&mut self, until_us: u64, mut goes_on: impl FnMut(&mut Self) -> bool) -> bool {
        while goes_on(self) {
            let next_us = self.queue.peek().map(|Reverse(next)| next.at_us);
            let Some(next_us) = next_us.filter(|next_us| *next_us <= until_us) else {
                return false;
            };
            self.run_until(next_us);
        }
        true
    }

    /// Adds up a counter over the nodes.
    pub fn counted(&self, counter: Counter) -> u64 {
        let mut sum = 0;
        for node in &self.nodes {
            sum += node.counters.get(&counter).copied().unwrap_or(0);
        }
        sum
    }

    /// Answers a read of the route table; a question for later news stays open.
    fn read_routes(&mut self, node: usize, ask: OutboundKey, after: Option<u64>) {
        let result = match after {
            _ if !(self.reaches_routes)(node) => Err(PlatformError::NotApplied),
            Some(_) => return,
            None => Ok(RouteUpdate {
                position: Some(1),
                table: self.route_table.clone(),
            }),
        };
        self.input_after(self.delay_us, node, Input::RoutesRead { key: ask, result });
    }

    /// Hands a node's watch of the route table an answer.
    pub fn tell_routes(&mut self, node: usize, news: RouteUpdate) {
        let (ask, result) = (OutboundKey(0), Ok(news));
        self.deliver(node, Input::RoutesRead { key: ask, result });
    }

    fn step(&mut self, scheduled: Scheduled) {
        let node = &self.nodes[scheduled.node];
        if !node.is_up {
            return;
        }
        if node.paused_until_us > self.now_us {
            let at_us = node.paused_until_us;
            self.schedule(at_us, scheduled.node, scheduled.delivery);
            return;
        }
        match scheduled.delivery {
            Delivery::Child(run) => self.next_child(scheduled.node, *run),
            Delivery::Input(input) => self.deliver(scheduled.node, *input),
            Delivery::Wake => {
                self.nodes[scheduled.node].wake_at_us = None;
                let effects = self.nodes[scheduled.node].kernel.advance(self.now_us);
                self.carry_out(scheduled.node, effects);
            }
        }
    }

    fn deliver(&mut self, node: usize, input: Input) {
        if let Input::Event(_, Event::TargetRequestEnded { call, .. }) = &input
            && self.nodes[node].cancelled.contains(call)
        {
            return;
        }
        let effects = self.nodes[node].kernel.handle(self.now_us, input);
        self.carry_out(node, effects);
    }

    fn schedule(&mut self, at_us: u64, node: usize, delivery: Delivery) {
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        self.queue.push(Reverse(Scheduled {
            at_us,
            sequence,
            node,
            delivery,
        }));
    }

    fn input_after(&mut self, after_us: u64, node: usize, input: Input) {
        self.schedule(
            self.now_us + after_us,
            node,
            Delivery::Input(Box::new(input)),
        );
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_out_one(node, effect);
        }
        self.wake_for_timer(node);
    }

    /// Schedules the node for its next timer, unless it wakes by then anyway.
    fn wake_for_timer(&mut self, node: usize) {
        let Some(timer_us) = self.nodes[node].kernel.next_timer_us() else {
            return;
        };
        let at_us = timer_us.max(self.now_us);
        let wake_at_us = &mut self.nodes[node].wake_at_us;
        if wake_at_us.is_some_and(|wake_at_us| wake_at_us <= at_us) {
            return;
        }
        *wake_at_us = Some(at_us);
        self.schedule(at_us, node, Delivery::Wake);
    }

    fn carry_out_one(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::SendPeerRequest {
                key: ask,
                to,
                request: question,
                timeout_us,
            } => {
                let failed = |error| Input::PeerResponse {
                    key: ask,
                    result: Err(error),
                };
                let found = self.nodes.iter().rposition(|other| other.address == to);
                let Some(other) = found.filter(|other| self.nodes[*other].is_up) else {
                    self.input_after(self.delay_us, node, failed(LinkError::NotSent));
                    return;
                };
                self.input_after(timeout_us, node, failed(LinkError::TimedOut));
                let passes = (self.passes)(node, other);
                if !passes || !(self.passes_question)(node, other, &question) {
                    return;
                }
                self.next_inbound += 1;
                let inbound = InboundKey(self.next_inbound);
                self.nodes[other].inbound.insert(inbound, (node, ask));
                self.input_after(
                    self.delay_us,
                    other,
                    Input::PeerRequest {
                        inbound,
                        request: question,
                    },
                );
            }
            Effect::SendPeerResponse {
                inbound,
                response: answer,
            } => {
                let Some((asker, ask)) = self.nodes[node].inbound.remove(&inbound) else {
                    return;
                };
                if (self.passes)(node, asker) {
                    let result = Ok(answer);
                    self.input_after(
                        self.delay_us,
                        asker,
                        Input::PeerResponse { key: ask, result },
                    );
                }
            }
            Effect::SendTableRequest {
                key: ask,
                request,
                timeout_us,
            } => {
                let (result, after_us) = self.table(request, timeout_us);
                self.input_after(after_us, node, Input::TableResponse { key: ask, result });
            }
            Effect::SendObjectRequest {
                key: ask,
                request,
                timeout_us,
            } => {
                let (result, after_us) = self.object(request, timeout_us);
                self.input_after(after_us, node, Input::ObjectResponse { key: ask, result });
            }
            Effect::ReadRoutes {
                key: ask, after, ..
            } => self.read_routes(node, ask, after),
            Effect::SendTargetRequest {
                call,
                http,
                timeout_us,
                ..
            } => {
                let now_us = self.now_us;
                let (outcome, after_us) = (self.nodes[node].target)(now_us, &http);
                if !self.nodes[node].children.is_empty() {
                    let run = ChildRun {
                        call,
                        http,
                        outcome,
                        next: 0,
                    };
                    self.start_children(node, run, after_us, timeout_us);
                    return;
                }
                if outcome != TargetOutcome::NotSent {
                    self.nodes[node].runs.push((now_us, http));
                }
                let outcome = if after_us > timeout_us {
                    TargetOutcome::Lost
                } else {
                    outcome
                };
                let event = Event::TargetRequestEnded { call, outcome };
                let input = Input::Event(dragonflylug::calls::NAME, event);
                self.input_after(after_us.min(timeout_us), node, input);
            }
            Effect::CancelTargetRequest { call } => self.nodes[node].cancelled.push(call),
            Effect::ReplyToCaller { call, reply } if call.0 >= CHILD_KEYS => {
                self.end_child(node, call, &reply);
            }
            Effect::ReplyToCaller { call, reply } => {
                let now_us = self.now_us;
                self.nodes[node].replies.push((now_us, call, *reply));
            }
            Effect::ReplyToOperator { call, reply } => {
                self.nodes[node].operator_replies.push((call, *reply));
            }
            Effect::Count(counter, by) => {
                *self.nodes[node].counters.get_or_insert_with(counter, || 0) += by;
            }
            Effect::LogStateChange(change) => self.nodes[node].log.push(change),
            Effect::Observe(..) => {}
            Effect::LogDecision(decision) => self.nodes[node].decisions.push(*decision),
            Effect::ReadyToExit => self.nodes[node].is_stopped = true,
            Effect::CancelRequest { .. } => {}
        }
    }

    /// Runs a request whose target makes calls of its own after `after_us`.
    fn start_children(&mut self, node: usize, run: ChildRun, after_us: u64, timeout_us: u64) {
        self.nodes[node].runs.push((self.now_us, run.http.clone()));
        let lost = Event::TargetRequestEnded {
            call: run.call,
            outcome: TargetOutcome::Lost,
        };
        let lost = Input::Event(dragonflylug::calls::NAME, lost);
        self.input_after(timeout_us, node, lost);
        let at_us = self.now_us + after_us;
        self.schedule(at_us, node, Delivery::Child(Box::new(run)));
    }

    /// Makes the next call of a fake target, or answers where all were made.
    fn next_child(&mut self, node: usize, run: ChildRun) {
        let Some(child) = self.nodes[node].children.get(run.next).cloned() else {
            self.end_target(node, run.call, run.outcome);
            return;
        };
        self.next_sequence += 1;
        let key = CallKey(CHILD_KEYS + self.next_sequence);
        let mut request = child.request;
        request.is_from_target = true;
        if child.names_parent {
            request.parent = request_header(&run.http);
        }
        self.nodes[node].child_runs.insert(key, run);
        let event = Event::CallArrived {
            call: key,
            request: Box::new(request),
        };
        self.deliver(node, Input::Event(dragonflylug::calls::entry::NAME, event));
    }

    fn end_child(&mut self, node: usize, key: CallKey, reply: &CallReply) {
        let Some(mut run) = self.nodes[node].child_runs.remove(&key) else {
            return;
        };
        let is_good = matches!(&reply.verdict, Verdict::Ran(answer) if answer.status < 500);
        if !is_good {
            let failed = Answer::new(503, Vec::new(), Default::default());
            self.end_target(node, run.call, TargetOutcome::Answered(failed));
            return;
        }
        run.next += 1;
        self.schedule(self.now_us, node, Delivery::Child(Box::new(run)));
    }

    fn end_target(&mut self, node: usize, call: CallKey, outcome: TargetOutcome) {
        let event = Event::TargetRequestEnded { call, outcome };
        self.input_after(0, node, Input::Event(dragonflylug::calls::NAME, event));
    }

    fn table(
        &mut self,
        request: TableRequest,
        timeout_us: u64,
    ) -> (Result<TableResponse, PlatformError>, u64) {
        match self.platform_fault {
            PlatformFault::Down | PlatformFault::TableDown => {
                (Err(PlatformError::NotApplied), self.delay_us)
            }
            PlatformFault::None => (Ok(self.apply(request)), 2 * self.delay_us),
            PlatformFault::AnswerLost => {
                self.apply(request);
                (Err(PlatformError::Lost), timeout_us)
            }
            PlatformFault::Slow(by_us) => {
                let response = self.apply(request);
                if by_us > timeout_us {
                    return (Err(PlatformError::Lost), timeout_us);
                }
                (Ok(response), by_us)
            }
        }
    }

    fn apply(&mut self, request: TableRequest) -> TableResponse {
        match request {
            TableRequest::Get { keys } => {
                self.table_reads += 1;
                let read = self.stale_rows.as_ref().unwrap_or(&self.rows);
                let row = |key: &String| {
                    let (version, value) = read.get(key)?;
                    Some(Row {
                        key: key.clone(),
                        version: *version,
                        value: value.clone(),
                    })
                };
                TableResponse::Rows(keys.iter().filter_map(row).collect())
            }
            TableRequest::Scan {
                prefix,
                after,
                limit,
            } => {
                self.table_reads += 1;
                let mut rows = Vec::new();
                let read = self.stale_rows.as_ref().unwrap_or(&self.rows);
                for (key, (version, value)) in read.iter() {
                    if !key.starts_with(&prefix) || after.as_ref().is_some_and(|last| key <= last) {
                        continue;
                    }
                    if rows.len() == limit as usize {
                        break;
                    }
                    let (key, value) = (key.clone(), value.clone());
                    rows.push(Row {
                        key,
                        version: *version,
                        value,
                    });
                }
                TableResponse::Rows(rows)
            }
            TableRequest::Write { writes } => {
                self.table_writes += 1;
                let mut present = Vec::new();
                let mut holds = true;
                for write in &writes {
                    let row = self.rows.get(&write.key);
                    holds &= match write.expected {
                        Expected::Any => true,
                        Expected::Absent => row.is_none(),
                        Expected::Version(version) => row.is_some_and(|row| row.0 == version),
                    };
                    if let Some((version, value)) = row {
                        let (key, value) = (write.key.clone(), value.clone());
                        present.push(Row {
                            key,
                            version: *version,
                            value,
                        });
                    }
                }
                if !holds {
                    return TableResponse::Conflict(present);
                }
                let mut versions = Vec::new();
                for write in writes {
                    self.next_version += 1;
                    versions.push(self.next_version);
                    match write.value {
                        Some(value) => {
                            self.rows.insert(write.key, (self.next_version, value));
                        }
                        None => {
                            self.rows.remove(&write.key);
                        }
                    }
                }
                TableResponse::Written(versions)
            }
        }
    }

    fn object(
        &mut self,
        request: ObjectRequest,
        timeout_us: u64,
    ) -> (Result<ObjectResponse, PlatformError>, u64) {
        if self.platform_fault == PlatformFault::Down {
            return (Err(PlatformError::NotApplied), self.delay_us);
        }
        let response = match request {
            ObjectRequest::Get { name } => match self.objects.get(&name) {
                Some(content) => ObjectResponse::Content(content.clone()),
                None => ObjectResponse::Missing,
            },
            ObjectRequest::Put { name, content } => {
                self.objects.insert(name, content);
                ObjectResponse::Written
            }
        };
        if self.platform_fault == PlatformFault::AnswerLost {
            return (Err(PlatformError::Lost), timeout_us);
        }
        (Ok(response), 2 * self.delay_us)
    }
}

/// An empty answer with status 200.
pub fn ok_answer() -> Answer {
    Answer::new(200, Vec::new(), Default::default())
}

/// Returns the identifier under which a target got a request.
fn request_header(http: &HttpRequest) -> Option<RequestId> {
    let header = http
        .headers
        .iter()
        .find(|header| header.name == headers::REQUEST)?;
    headers::parse_request_id(&header.value)
}
