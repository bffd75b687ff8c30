//! A micro-kernel that dispatches events to the services of one node and collects their effects.
//!
//! The kernel has no clock, thread, socket or lock. A host passes in [`Input`]s with the current
//! time, carries out the [`Effect`]s that the kernel returns, and calls [`Kernel::advance`] when a
//! timer is due. Services find each other by name.

mod context;
mod effect;
mod input;
mod registry;
mod timers;

pub use context::Context;
pub use effect::{CallReply, Effect, Notice, StateChange};
pub use input::{Event, Input, LinkError, TargetOutcome};
pub use registry::Service;

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ids::{InboundKey, OutboundKey};
use crate::routes;
use crate::sorted::SortedMap;
use crate::table::StoreTime;
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
    /// The clock of the table at its last response.
    table_time: Option<StoreTime>,
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
            table_time: None,
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
            Input::TableResponse {
                key,
                result,
                table_now_ms,
            } => {
                if let Some(store_ms) = table_now_ms {
                    let own_us = self.now_us;
                    self.table_time = Some(StoreTime { store_ms, own_us });
                }
                (
                    self.outbound_owners.remove(&key)?,
                    Event::TableResponse { key, result },
                )
            }
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
