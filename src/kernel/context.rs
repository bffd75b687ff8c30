//! The interface of the kernel for its services.

use std::any::Any;
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::registry::Registry;
use super::{Effect, Event, LOCAL_INBOUND_BIT, LocalRequest, Notice, Service, State, StateChange};
use crate::decision::Decision;
use crate::ids::{InboundKey, OutboundKey, ServiceName};
use crate::metrics::{Counter, Gauge, Latency};
use crate::peer::{PeerRequest, PeerResponse};
use crate::table::{ObjectRequest, TableRequest};

/// The interface of the kernel for a service that handles an event.
pub struct Context<'k> {
    pub(super) owner: &'static str,
    pub(super) registry: &'k mut Registry,
    pub(super) state: &'k mut State,
}

impl Context<'_> {
    /// Returns the current time in microseconds since the node's start.
    pub fn now_us(&self) -> u64 {
        self.state.now_us
    }

    /// Returns the current time in milliseconds on the clock of the platform's table, which all
    /// daemons share; `None` if the table has none or gave no response yet.
    pub fn table_now_ms(&self) -> Option<u64> {
        let table_time = self.state.table_time?;
        Some(table_time.at_ms(self.state.now_us))
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

    /// Sets a gauge.
    pub fn set_gauge(&mut self, gauge: Gauge, value: f64) {
        self.emit(Effect::Set(gauge, value));
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
