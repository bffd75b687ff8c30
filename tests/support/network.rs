//! Simulates the links between nodes, the platform's table and object store, the route source and
//! the targets under virtual time, so that tests of several nodes are deterministic.

#![allow(dead_code)]

#[path = "network/platform.rs"]
mod platform;
#[path = "network/route_source.rs"]
mod route_source;

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
use dragonflylug::routes::RouteTable;
use dragonflylug::sorted::SortedMap;
use dragonflylug::table::Epoch;
use dragonflylug::target::{AnswerSignals, TargetStart};
use dragonflylug::verdict::Verdict;
use route_source::Watch;

/// Returns the outcome of a request that reaches a fake target at a time, and how long it takes.
pub type FakeTarget = Box<dyn FnMut(u64, &HttpRequest) -> (TargetOutcome, u64)>;

/// Returns whether a peer request is delivered from one node to another.
pub type PeerRequestFilter = Box<dyn Fn(usize, usize, &PeerRequest) -> bool>;

/// A call that a fake target makes to another service before it answers.
#[derive(Clone, Debug)]
pub struct ChildCall {
    pub request: CallRequest,
    /// Whether the call carries the identifier of the request that the target works on as its
    /// parent.
    pub sends_parent_id: bool,
}

/// A run at a fake target that makes child calls, one after the other, before it answers.
struct ParentRun {
    call: CallKey,
    http: HttpRequest,
    outcome: TargetOutcome,
    next_child: usize,
}

/// The lowest key of the calls of fake targets, which sets them apart from the calls of tests.
const CHILD_CALL_KEY_MIN: u64 = 1 << 40;

/// How long a target that ended refuses connections.
pub const TARGET_DOWN_US: u64 = 3_000_000;

/// One node of the network.
pub struct Node {
    pub address: SocketAddr,
    pub kernel: Kernel,
    pub is_up: bool,
    pub paused_until_us: u64,
    pub target: FakeTarget,
    pub log: Vec<StateChange>,
    pub decisions: Vec<Decision>,
    /// The replies to callers, with their times.
    pub replies: Vec<(u64, CallKey, CallReply)>,
    pub operator_replies: Vec<(CallKey, OperatorReply)>,
    pub counters: SortedMap<Counter, u64>,
    pub is_stopped: bool,
    /// What the answers of the target say of it.
    pub signals: AnswerSignals,
    /// The departures that the guard passed on to be remembered.
    pub departures: Vec<TargetStart>,
    /// The requests that were sent to the target, with their times. A target that makes child calls
    /// also records those whose outcome is `NotSent`.
    pub runs: Vec<(u64, HttpRequest)>,
    /// The calls that the target makes for each request before it answers.
    pub child_calls: Vec<ChildCall>,
    /// The runs that wait for a child call, by the key of the child call.
    parent_runs: SortedMap<CallKey, ParentRun>,
    /// The unanswered peer requests to this node, with the node and the key to respond to.
    inbound: SortedMap<InboundKey, (usize, OutboundKey)>,
    cancelled: Vec<CallKey>,
    /// The requests at the target, which end with it.
    at_target: Vec<CallKey>,
    /// The latest read of the route source that waits for a change.
    watch: Option<Watch>,
    /// Until when the target is down after it ended.
    target_down_until_us: u64,
    /// When the target ended.
    pub target_ends_us: Vec<u64>,
    wake_at_us: Option<u64>,
}

/// The current fault of the fake platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    None,
    /// Requests to the table and to the object store are not executed.
    Down,
    /// Requests to the table are not executed; the object store works.
    TableDown,
    /// Requests take effect, but their responses are lost.
    ResponseLost,
    /// Requests to the table take this many microseconds; they take effect even if they time out.
    /// The object store works at normal speed.
    Slow(u64),
}

enum Delivery {
    /// The wait of a read of the route source is over.
    WatchEnd(Watch),
    NextChildCall(Box<ParentRun>),
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

/// Simulated nodes, and links between them that have a fixed delay.
pub struct Network {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    pub delay_us: u64,
    /// Returns whether peer requests and responses are delivered from one node to another.
    pub link_filter: Box<dyn Fn(usize, usize) -> bool>,
    /// Returns whether a particular peer request is delivered from one node to another.
    pub request_filter: PeerRequestFilter,
    pub platform_fault: PlatformFault,
    /// The version and the value of each row of the table, by key.
    pub rows: SortedMap<String, (u64, String)>,
    /// The rows that reads of the table return instead of `rows`, if set.
    pub stale_rows: Option<SortedMap<String, (u64, String)>>,
    pub objects: SortedMap<String, String>,
    /// The route table that the route source returns.
    pub route_table: Option<RouteTable>,
    /// Returns whether a node can reach the route source.
    pub can_reach_routes: Box<dyn Fn(usize) -> bool>,
    /// Whether the route source answers no read.
    pub are_routes_silent: bool,
    /// When the route source was silent or was restored last: reads that were open then stay without
    /// an answer.
    watches_lost_us: Option<u64>,
    /// The number of changes of the route table.
    route_changes: u64,
    /// The number of reads of the route source.
    pub route_reads: u64,
    pub table_reads: u64,
    pub table_writes: u64,
    /// The time on the table's clock at the start; `None` if the table has no clock.
    pub table_clock_zero_ms: Option<u64>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_sequence: u64,
    next_inbound: u64,
    next_version: u64,
    /// The epoch of the table and of the route source.
    pub epoch: Epoch,
}

impl Network {
    pub fn new(delay_us: u64) -> Self {
        Self {
            now_us: 0,
            nodes: Vec::new(),
            delay_us,
            link_filter: Box::new(|_, _| true),
            request_filter: Box::new(|_, _, _| true),
            platform_fault: PlatformFault::None,
            rows: SortedMap::default(),
            stale_rows: None,
            objects: SortedMap::default(),
            route_table: None,
            can_reach_routes: Box::new(|_| true),
            are_routes_silent: false,
            watches_lost_us: None,
            route_changes: 1,
            route_reads: 0,
            table_reads: 0,
            table_writes: 0,
            table_clock_zero_ms: Some(1_000_000),
            queue: BinaryHeap::new(),
            next_sequence: 0,
            next_inbound: 0,
            next_version: 0,
            epoch: Epoch::default(),
        }
    }

    /// Adds a node, starts it and returns its index; its target answers 200 immediately until the
    /// test sets another.
    pub fn add(&mut self, address: SocketAddr, kernel: Kernel) -> usize {
        let node = self.nodes.len();
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
            signals: AnswerSignals::default(),
            departures: Vec::new(),
            runs: Vec::new(),
            child_calls: Vec::new(),
            parent_runs: SortedMap::default(),
            inbound: SortedMap::default(),
            cancelled: Vec::new(),
            at_target: Vec::new(),
            watch: None,
            target_down_until_us: 0,
            target_ends_us: Vec::new(),
            wake_at_us: None,
        });
        let effects = self.nodes[node].kernel.start(self.now_us);
        self.execute_effects(node, effects);
        node
    }

    /// Delivers an event to a service of a node immediately.
    pub fn deliver_event(&mut self, node: usize, service: &'static str, event: Event) {
        self.deliver(node, Input::Event(service, event));
    }

    /// Delivers a notice to all services of a node immediately.
    pub fn deliver_notice(&mut self, node: usize, notice: Notice) {
        self.deliver(node, Input::Notice(notice));
    }

    /// Kills a node without closing its connections, as if its VM had failed: pending peer requests
    /// to it time out, new ones fail as not sent.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Kills a node whose VM keeps running, so that its connections are closed: pending peer requests
    /// to it fail after the link delay, new ones fail as not sent.
    pub fn kill_and_close_connections(&mut self, node: usize) {
        self.kill(node);
        let inbound = std::mem::take(&mut self.nodes[node].inbound);
        for (requester, key) in inbound.values().copied() {
            let result = Err(LinkError::Lost);
            self.schedule_input(
                self.delay_us,
                requester,
                Input::PeerResponse { key, result },
            );
        }
    }

    /// Defers everything that is scheduled for a node until a time, as if its process were paused.
    /// What a test delivers immediately is not deferred.
    pub fn pause(&mut self, node: usize, until_us: u64) {
        self.nodes[node].paused_until_us = until_us;
        self.schedule(until_us, node, Delivery::Wake);
    }

    /// Advances virtual time to a time and delivers everything that is due by then.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_us > until_us {
                break;
            }
            let Some(Reverse(scheduled)) = self.queue.pop() else {
                break;
            };
            self.now_us = self.now_us.max(scheduled.at_us);
            self.process(scheduled);
        }
        self.now_us = until_us;
    }

    /// Runs while a condition holds and anything is scheduled, at most until a time; returns
    /// whether the condition has ended.
    pub fn run_while(&mut self, until_us: u64, mut holds: impl FnMut(&mut Self) -> bool) -> bool {
        while holds(self) {
            let next_us = self.queue.peek().map(|Reverse(next)| next.at_us);
            let Some(next_us) = next_us.filter(|next_us| *next_us <= until_us) else {
                return false;
            };
            self.run_until(next_us);
        }
        true
    }

    /// Returns the sum of a counter over all nodes.
    pub fn counter_total(&self, counter: Counter) -> u64 {
        let mut sum = 0;
        for node in &self.nodes {
            sum += node.counters.get(&counter).copied().unwrap_or(0);
        }
        sum
    }

    fn process(&mut self, scheduled: Scheduled) {
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
            Delivery::WatchEnd(watch) => self.end_watch(scheduled.node, watch),
            Delivery::NextChildCall(run) => self.start_next_child(scheduled.node, *run),
            Delivery::Input(input) => self.deliver(scheduled.node, *input),
            Delivery::Wake => {
                self.nodes[scheduled.node].wake_at_us = None;
                let effects = self.nodes[scheduled.node].kernel.advance(self.now_us);
                self.execute_effects(scheduled.node, effects);
            }
        }
    }

    fn deliver(&mut self, node: usize, input: Input) {
        if let Input::Event(_, Event::TargetRequestEnded { call, outcome, .. }) = &input {
            if self.nodes[node].cancelled.contains(call) {
                return;
            }
            if *outcome == TargetOutcome::Ended {
                self.end_target(node);
                return;
            }
            self.nodes[node].at_target.retain(|other| other != call);
        }
        self.deliver_unchecked(node, input);
    }

    /// Ends the target of a node with all requests that it has. It refuses connections for
    /// [`TARGET_DOWN_US`].
    pub fn end_target(&mut self, node: usize) {
        self.nodes[node].target_down_until_us = self.now_us + TARGET_DOWN_US;
        let now_us = self.now_us;
        self.nodes[node].target_ends_us.push(now_us);
        for call in std::mem::take(&mut self.nodes[node].at_target) {
            self.nodes[node].cancelled.push(call);
            let event = Event::TargetRequestEnded {
                call,
                outcome: TargetOutcome::Ended,
                signals: AnswerSignals::default(),
            };
            let guard = dragonflylug::calls::guard::NAME;
            self.deliver_unchecked(node, Input::Event(guard, event));
        }
    }

    fn deliver_unchecked(&mut self, node: usize, input: Input) {
        let effects = self.nodes[node].kernel.handle(self.now_us, input);
        self.execute_effects(node, effects);
    }

    /// Schedules a delivery; deliveries at the same time keep their order.
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

    fn schedule_input(&mut self, after_us: u64, node: usize, input: Input) {
        self.schedule(
            self.now_us + after_us,
            node,
            Delivery::Input(Box::new(input)),
        );
    }

    fn execute_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.execute_effect(node, effect);
        }
        self.schedule_wake(node);
    }

    /// Schedules a wake-up for the next timer of the node, unless one is already due by then.
    fn schedule_wake(&mut self, node: usize) {
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

    fn execute_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::SendPeerRequest {
                key,
                to,
                request,
                timeout_us,
            } => {
                let failed = |error| Input::PeerResponse {
                    key,
                    result: Err(error),
                };
                let destination = self.nodes.iter().rposition(|other| other.address == to);
                let Some(other) = destination.filter(|other| self.nodes[*other].is_up) else {
                    self.schedule_input(self.delay_us, node, failed(LinkError::NotSent));
                    return;
                };
                self.schedule_input(timeout_us, node, failed(LinkError::TimedOut));
                let is_delivered = (self.link_filter)(node, other);
                if !is_delivered || !(self.request_filter)(node, other, &request) {
                    return;
                }
                self.next_inbound += 1;
                let inbound = InboundKey(self.next_inbound);
                self.nodes[other].inbound.insert(inbound, (node, key));
                self.schedule_input(
                    self.delay_us,
                    other,
                    Input::PeerRequest { inbound, request },
                );
            }
            Effect::SendPeerResponse { inbound, response } => {
                let Some((requester, key)) = self.nodes[node].inbound.remove(&inbound) else {
                    return;
                };
                if (self.link_filter)(node, requester) {
                    let result = Ok(response);
                    self.schedule_input(
                        self.delay_us,
                        requester,
                        Input::PeerResponse { key, result },
                    );
                }
            }
            Effect::SendTableRequest {
                key,
                request,
                timeout_us,
            } => {
                let (result, after_us) = self.handle_table_request(request, timeout_us);
                let table_now_ms = self.table_now_ms(after_us);
                let input = Input::TableResponse {
                    key,
                    result,
                    table_now_ms,
                };
                self.schedule_input(after_us, node, input);
            }
            Effect::SendObjectRequest {
                key,
                request,
                timeout_us,
            } => {
                let (result, after_us) = self.handle_object_request(request, timeout_us);
                self.schedule_input(after_us, node, Input::ObjectResponse { key, result });
            }
            Effect::ReadRoutes {
                key,
                after,
                wait_ms,
                timeout_us,
            } => self.read_routes(node, key, after, u64::from(wait_ms) * 1_000, timeout_us),
            Effect::SendTargetRequest {
                call,
                http,
                timeout_us,
                ..
            } => {
                let now_us = self.now_us;
                let (outcome, after_us) = match now_us < self.nodes[node].target_down_until_us {
                    true => (TargetOutcome::NotSent, 0),
                    false => (self.nodes[node].target)(now_us, &http),
                };
                if !self.nodes[node].child_calls.is_empty() {
                    let run = ParentRun {
                        call,
                        http,
                        outcome,
                        next_child: 0,
                    };
                    self.start_parent_run(node, run, after_us, timeout_us);
                    return;
                }
                if outcome != TargetOutcome::NotSent {
                    self.nodes[node].runs.push((now_us, http));
                    self.nodes[node].at_target.push(call);
                }
                let outcome = if after_us > timeout_us {
                    TargetOutcome::Lost
                } else {
                    outcome
                };
                let event = Event::TargetRequestEnded {
                    call,
                    signals: self.signals_of(node, &outcome),
                    outcome,
                };
                let input = Input::Event(dragonflylug::calls::guard::NAME, event);
                self.schedule_input(after_us.min(timeout_us), node, input);
            }
            Effect::CancelTargetRequest { call } => {
                self.nodes[node].cancelled.push(call);
                self.nodes[node].at_target.retain(|other| *other != call);
            }
            Effect::ReplyToCaller { call, reply } if call.0 >= CHILD_CALL_KEY_MIN => {
                self.finish_child_call(node, call, &reply);
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
            Effect::RecordDeparture(start) => self.nodes[node].departures.push(start),
            Effect::Set(..) | Effect::Observe(..) => {}
            Effect::LogDecision(decision) => self.nodes[node].decisions.push(*decision),
            Effect::ReadyToExit => self.nodes[node].is_stopped = true,
            Effect::CancelRequest { .. } => {}
        }
    }

    /// Returns what the target says of itself with an outcome.
    fn signals_of(&self, node: usize, outcome: &TargetOutcome) -> AnswerSignals {
        match outcome {
            TargetOutcome::Answered(_) => self.nodes[node].signals,
            _ => AnswerSignals::default(),
        }
    }

    /// Starts a run whose target makes its child calls after `after_us`. The run counts as lost if
    /// the target has not answered within the timeout.
    fn start_parent_run(&mut self, node: usize, run: ParentRun, after_us: u64, timeout_us: u64) {
        self.nodes[node].runs.push((self.now_us, run.http.clone()));
        let lost = Event::TargetRequestEnded {
            call: run.call,
            outcome: TargetOutcome::Lost,
            signals: AnswerSignals::default(),
        };
        let lost = Input::Event(dragonflylug::calls::guard::NAME, lost);
        self.schedule_input(timeout_us, node, lost);
        let at_us = self.now_us + after_us;
        self.schedule(at_us, node, Delivery::NextChildCall(Box::new(run)));
    }

    /// Starts the next child call of a run, or answers the run if all child calls have succeeded.
    fn start_next_child(&mut self, node: usize, run: ParentRun) {
        let Some(child) = self.nodes[node].child_calls.get(run.next_child).cloned() else {
            self.finish_run(node, run.call, run.outcome);
            return;
        };
        self.next_sequence += 1;
        let key = CallKey(CHILD_CALL_KEY_MIN + self.next_sequence);
        let mut request = child.request;
        request.is_from_target = true;
        if child.sends_parent_id {
            request.parent = find_request_id(&run.http);
        }
        self.nodes[node].parent_runs.insert(key, run);
        let event = Event::CallArrived {
            call: key,
            request: Box::new(request),
        };
        self.deliver(node, Input::Event(dragonflylug::calls::entry::NAME, event));
    }

    /// Continues the parent run after a child call, or answers 503 if the child call failed.
    fn finish_child_call(&mut self, node: usize, key: CallKey, reply: &CallReply) {
        let Some(mut run) = self.nodes[node].parent_runs.remove(&key) else {
            return;
        };
        let is_success = matches!(&reply.verdict, Verdict::Ran(answer) if answer.status < 500);
        if !is_success {
            let failed = Answer::new(503, Vec::new(), Default::default());
            self.finish_run(node, run.call, TargetOutcome::Answered(failed));
            return;
        }
        run.next_child += 1;
        self.schedule(self.now_us, node, Delivery::NextChildCall(Box::new(run)));
    }

    fn finish_run(&mut self, node: usize, call: CallKey, outcome: TargetOutcome) {
        let event = Event::TargetRequestEnded {
            call,
            outcome,
            signals: AnswerSignals::default(),
        };
        self.schedule_input(
            0,
            node,
            Input::Event(dragonflylug::calls::guard::NAME, event),
        );
    }
}

/// An empty answer with status 200.
pub fn ok_answer() -> Answer {
    Answer::new(200, Vec::new(), Default::default())
}

/// Returns the request identifier in the headers of a request to a target.
fn find_request_id(http: &HttpRequest) -> Option<RequestId> {
    let header = http
        .headers
        .iter()
        .find(|header| header.name == headers::REQUEST)?;
    headers::parse_request_id(&header.value)
}
