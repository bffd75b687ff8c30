//! A micro-kernel that dispatches events to the services of one node and collects their effects.
//!
//! The kernel has no clock, thread, socket or lock. A host passes in [`Input`]s with the current
//! time, carries out the [`Effect`]s that the kernel returns, and calls [`Kernel::advance`] when a
//! timer is due. Services find each other by name.

mod effect;
mod input;
mod registry;
mod timers;

pub use effect::{CallReply, Effect, Notice, StateChange};
pub use input::{Event, Input, LinkError, TargetOutcome};
pub use registry::Service;

use std::any::Any;
use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decision::Decision;
use crate::ids::{InboundKey, OutboundKey, ServiceName};
use crate::metrics::{Counter, Latency};
use crate::peer::{PeerRequest, PeerResponse};
use crate::routes;
use crate::sorted::SortedMap;
use crate::table::{ObjectRequest, TableRequest};
use registry::Registry;
use timers::Timers;

/// If the kernel is called more than this after the due time of its next timer and after its last
/// call, whichever is later, it reports a pause of the process; without a timer it detects none.
/// After a pause, timers and link states are unreliable.
pub const PAUSE_DETECTION_US: u64 = 1_000_000;

/// Bit that marks the inbound key of a request that this node sent to itself.
const LOCAL_INBOUND_BIT: u64 = 1 << 63;

/// The services of one node with their timers.
pub struct Kernel {
    registry: Registry,
    state: State,
}

/// A pending request that this node sent to one of its own services.
#[derive(Clone, Copy)]
struct LocalRequest {
    key: OutboundKey,
    service: &'static str,
}

/// The state of the kernel apart from the services themselves.
struct State {
    now_us: u64,
    last_activity_us: u64,
    next_key: u64,
    outbound_owners: SortedMap<OutboundKey, &'static str>,
    local_requests: SortedMap<InboundKey, LocalRequest>,
    timers: Timers,
    notices: VecDeque<Notice>,
    queued_events: VecDeque<(&'static str, Event)>,
    effects: Vec<Effect>,
    rng: ChaCha8Rng,
}

impl Kernel {
    /// Creates a kernel without services; `seed` seeds its random number generator.
    pub fn new(seed: u64) -> Self {
        let state = State {
            now_us: 0,
            last_activity_us: 0,
            next_key: 0,
            outbound_owners: SortedMap::default(),
            local_requests: SortedMap::default(),
            timers: Timers::default(),
            notices: VecDeque::new(),
            queued_events: VecDeque::new(),
            effects: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            registry: Registry::default(),
            state,
        }
    }

    /// Registers a service under its name and replaces any service of the same name.
    pub fn register(&mut self, service: Box<dyn Service>) {
        self.registry.insert(service);
    }

    /// Starts all services and returns their effects.
    pub fn start(&mut self, now_us: u64) -> Vec<Effect> {
        self.state.now_us = now_us;
        self.state.last_activity_us = now_us;
        for name in self.registry.names() {
            self.dispatch(name, Event::Started);
        }
        self.drain_events()
    }

    /// Handles one input and returns the effects for the host to carry out.
    pub fn handle(&mut self, now_us: u64, input: Input) -> Vec<Effect> {
        self.advance_clock(now_us);
        if let Some((name, event)) = self.state.resolve_input(input) {
            self.dispatch(name, event);
        }
        self.drain_events()
    }

    /// Fires the timers that are due and returns the effects.
    pub fn advance(&mut self, now_us: u64) -> Vec<Effect> {
        self.advance_clock(now_us);
        while let Some(timer) = self.state.timers.pop_due(self.state.now_us) {
            self.dispatch(timer.owner, Event::Timer(timer.tag));
        }
        self.drain_events()
    }

    /// Returns the time of the next timer.
    pub fn next_timer_us(&self) -> Option<u64> {
        self.state.timers.next_us()
    }

    /// Finds a registered service by name and type.
    pub fn find<T: Service>(&mut self, name: &str) -> Option<&mut T> {
        self.registry.find(name)
    }

    /// Advances the clock. If the process was paused, notifies all services before any other event
    /// is handled.
    fn advance_clock(&mut self, now_us: u64) {
        let state = &mut self.state;
        state.now_us = state.now_us.max(now_us);
        let due_us = state
            .timers
            .next_us()
            .unwrap_or(u64::MAX)
            .max(state.last_activity_us);
        let late_us = state.now_us.saturating_sub(due_us);
        state.last_activity_us = state.now_us;
        if late_us > PAUSE_DETECTION_US {
            state
                .notices
                .push_back(Notice::Resumed { paused_us: late_us });
            self.dispatch_notices();
        }
    }

    fn drain_events(&mut self) -> Vec<Effect> {
        self.dispatch_notices();
        while let Some((name, event)) = self.state.queued_events.pop_front() {
            self.dispatch(name, event);
            self.dispatch_notices();
        }
        std::mem::take(&mut self.state.effects)
    }

    fn dispatch_notices(&mut self) {
        while let Some(notice) = self.state.notices.pop_front() {
            for name in self.registry.names() {
                self.dispatch(name, Event::Notice(notice.clone()));
            }
        }
    }

    /// Takes the service out of the registry while it runs, so that it can access the others.
    fn dispatch(&mut self, name: &'static str, event: Event) {
        let Some(mut service) = self.registry.take(name) else {
            return;
        };
        let mut context = Context {
            owner: name,
            registry: &mut self.registry,
            state: &mut self.state,
        };
        service.handle(&mut context, event);
        self.registry.restore(service);
    }
}

impl State {
    /// Determines the service that handles an input, and the event for it. A notice is queued for
    /// all services instead. A response of a peer, the table or the object store removes the owner
    /// of its outbound key, and is dropped if there is none.
    fn resolve_input(&mut self, input: Input) -> Option<(&'static str, Event)> {
        let (name, event) = match input {
            Input::Event(name, event) => (name, event),
            Input::PeerRequest { inbound, request } => {
                (request.service(), Event::PeerRequest { inbound, request })
            }
            Input::PeerResponse { key, result } => (
                self.outbound_owners.remove(&key)?,
                Event::PeerResponse { key, result },
            ),
            Input::TableResponse { key, result } => (
                self.outbound_owners.remove(&key)?,
                Event::TableResponse { key, result },
            ),
            Input::ObjectResponse { key, result } => (
                self.outbound_owners.remove(&key)?,
                Event::ObjectResponse { key, result },
            ),
            Input::RoutesRead { key, result } => (routes::NAME, Event::RoutesRead { key, result }),
            Input::Notice(notice) => {
                self.notices.push_back(notice);
                return None;
            }
        };
        Some((name, event))
    }
}

/// The interface of the kernel for a service that handles an event.
pub struct Context<'k> {
    owner: &'static str,
    registry: &'k mut Registry,
    state: &'k mut State,
}

impl Context<'_> {
    /// Returns the current time in microseconds since the node's start.
    pub fn now_us(&self) -> u64 {
        self.state.now_us
    }

    /// Returns the node's seeded random number generator.
    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.state.rng
    }

    /// Creates an independent random number generator, seeded from that of the node, for use while
    /// the context is borrowed.
    pub fn fork_rng(&mut self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.state.rng.next_u64())
    }

    /// Finds another service by name and type.
    ///
    /// Returns `None` if no service of that name and type is registered, or if that service is
    /// already running.
    pub fn find<T: Service>(&mut self, name: &str) -> Option<&mut T> {
        self.registry.find(name)
    }

    /// Calls another service with a context of its own.
    ///
    /// Returns `None` if no service of that name and type is registered, or if that service is
    /// already running.
    pub fn with_service<T: Service, R>(
        &mut self,
        name: &'static str,
        run: impl FnOnce(&mut T, &mut Context<'_>) -> R,
    ) -> Option<R> {
        let mut service = self.registry.take(name)?;
        let any: &mut dyn Any = service.as_mut();
        let result = any.downcast_mut().map(|service| {
            let mut context = Context {
                owner: name,
                registry: &mut *self.registry,
                state: &mut *self.state,
            };
            run(service, &mut context)
        });
        self.registry.restore(service);
        result
    }

    /// Sends a request to the daemon at an address; the response arrives as
    /// [`Event::PeerResponse`].
    pub fn send_request(
        &mut self,
        to: SocketAddr,
        request: PeerRequest,
        timeout_us: u64,
    ) -> OutboundKey {
        let key = self.new_outbound_key();
        self.emit(Effect::SendPeerRequest {
            key,
            to,
            request,
            timeout_us,
        });
        key
    }

    /// Sends a request to a service of this node, which handles it as it would handle that of a
    /// peer; the response arrives as [`Event::PeerResponse`].
    pub fn send_request_to_self(&mut self, request: PeerRequest) -> OutboundKey {
        let key = self.new_outbound_key();
        let inbound = InboundKey(key.0 | LOCAL_INBOUND_BIT);
        let service = request.service();
        self.state
            .local_requests
            .insert(inbound, LocalRequest { key, service });
        self.queue_event(service, Event::PeerRequest { inbound, request });
        key
    }

    /// Responds to a request of a peer or of this node.
    pub fn respond(&mut self, inbound: InboundKey, response: PeerResponse) {
        if inbound.0 & LOCAL_INBOUND_BIT == 0 {
            self.emit(Effect::SendPeerResponse { inbound, response });
            return;
        }
        let Some(LocalRequest { key, .. }) = self.state.local_requests.remove(&inbound) else {
            return;
        };
        let Some(owner) = self.state.outbound_owners.remove(&key) else {
            return;
        };
        self.queue_event(
            owner,
            Event::PeerResponse {
                key,
                result: Ok(response),
            },
        );
    }

    /// Sends a request to the platform's table; the response arrives as [`Event::TableResponse`].
    pub fn send_table_request(&mut self, request: TableRequest, timeout_us: u64) -> OutboundKey {
        let key = self.new_outbound_key();
        self.emit(Effect::SendTableRequest {
            key,
            request,
            timeout_us,
        });
        key
    }

    /// Sends a request to the platform's object store; the response arrives as
    /// [`Event::ObjectResponse`].
    pub fn send_object_request(&mut self, request: ObjectRequest, timeout_us: u64) -> OutboundKey {
        let key = self.new_outbound_key();
        self.emit(Effect::SendObjectRequest {
            key,
            request,
            timeout_us,
        });
        key
    }

    /// Cancels an outbound request; a response that still arrives is ignored.
    pub fn cancel_request(&mut self, key: OutboundKey) {
        if self.state.outbound_owners.remove(&key).is_none() {
            return;
        }
        let inbound = InboundKey(key.0 | LOCAL_INBOUND_BIT);
        if let Some(local) = self.state.local_requests.remove(&inbound) {
            self.queue_event(local.service, Event::PeerRequestCancelled(inbound));
            return;
        }
        self.emit(Effect::CancelRequest { key });
    }

    /// Sets a timer of this service; when due, it fires as [`Event::Timer`] with the tag.
    pub fn set_timer(&mut self, after_us: u64, tag: u64) {
        let at_us = self.state.now_us.saturating_add(after_us);
        self.state.timers.push(at_us, self.owner, tag);
    }

    /// Queues a notice for all services of this node, including this one; it is handled after the
    /// current event.
    pub fn publish(&mut self, notice: Notice) {
        self.state.notices.push_back(notice);
    }

    /// Queues an event for a service of this node; it is handled after the current event.
    pub fn queue_event(&mut self, to: &'static str, event: Event) {
        self.state.queued_events.push_back((to, event));
    }

    /// Increments a counter.
    pub fn count(&mut self, counter: Counter) {
        self.emit(Effect::Count(counter, 1));
    }

    /// Adds to a counter.
    pub fn count_by(&mut self, counter: Counter, by: u64) {
        self.emit(Effect::Count(counter, by));
    }

    /// Records a latency in the histogram of a service, in whole milliseconds.
    pub fn observe(&mut self, latency: Latency, service: &ServiceName, elapsed_us: u64) {
        self.emit(Effect::Observe(
            latency,
            service.clone(),
            elapsed_us / 1_000,
        ));
    }

    /// Logs a change of state.
    pub fn log(&mut self, change: StateChange) {
        self.emit(Effect::LogStateChange(change));
    }

    /// Logs a decision on a request.
    pub fn log_decision(&mut self, decision: Decision) {
        self.emit(Effect::LogDecision(Box::new(decision)));
    }

    /// Queues an effect for the host.
    pub fn emit(&mut self, effect: Effect) {
        self.state.effects.push(effect);
    }

    /// Returns a key that this node has not used before.
    pub fn new_key(&mut self) -> u64 {
        self.state.next_key += 1;
        self.state.next_key
    }

    fn new_outbound_key(&mut self) -> OutboundKey {
        let key = OutboundKey(self.new_key());
        self.state.outbound_owners.insert(key, self.owner);
        key
    }
}
