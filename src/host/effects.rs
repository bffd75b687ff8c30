//! Carries out the effects that the kernel returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;

use super::send_permit::SendPermit;
use super::{Node, TargetReply, TargetRequest, lock};
use crate::calls;
use crate::ids::{CallKey, OutboundKey};
use crate::kernel::{Effect, Event, Input, StateChange};
use crate::peer::PeerRequest;
use crate::table::{
    ObjectRequest, ObjectResponse, PlatformError, RowVersion, TableRequest, TableResponse,
};

impl Node {
    pub(super) fn apply_effects(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::SendPeerRequest {
                key,
                to,
                request,
                timeout_us,
            } => {
                self.send_peer_request(key, to, request, timeout_us);
            }
            Effect::CancelRequest { key } => {
                let handle = lock(&self.pending).outbound.remove(&key);
                abort_task(handle);
            }
            Effect::SendPeerResponse { inbound, response } => {
                if let Some(sender) = lock(&self.pending).inbound.remove(&inbound) {
                    let _ = sender.send(response);
                }
            }
            Effect::SendTableRequest {
                key,
                request,
                timeout_us,
            } => self.send_table_request(key, request, timeout_us),
            Effect::SendObjectRequest {
                key,
                request,
                timeout_us,
            } => self.send_object_request(key, request, timeout_us),
            Effect::ReadRoutes {
                key,
                after,
                wait_ms,
                timeout_us,
            } => self.read_routes(key, after, wait_ms, timeout_us),
            Effect::ReplyToCaller { call, reply } => {
                if let Some(sender) = lock(&self.pending).calls.remove(&call) {
                    let _ = sender.send(*reply);
                }
            }
            Effect::ReplyToOperator { call, reply } => {
                if let Some(sender) = lock(&self.pending).operator_requests.remove(&call) {
                    let _ = sender.send(*reply);
                }
            }
            Effect::SendTargetRequest {
                call,
                http,
                is_idempotent,
                timeout_us,
                send_within_us,
            } => {
                let request = TargetRequest {
                    http,
                    is_idempotent,
                    timeout: Duration::from_micros(timeout_us),
                    permit: SendPermit::new(Duration::from_micros(send_within_us)),
                };
                self.send_to_target(call, request);
            }
            Effect::CancelTargetRequest { call } => {
                let handle = lock(&self.pending).target_requests.remove(&call);
                abort_task(handle);
            }
            Effect::Count(counter, by) => self.adapters.metrics.add(counter, by),
            Effect::Set(gauge, value) => self.adapters.metrics.set(gauge, value),
            Effect::Observe(latency, service, ms) => {
                self.adapters.metrics.observe(latency, &service, ms);
            }
            Effect::LogStateChange(change) => log_state_change(&change),
            Effect::LogDecision(decision) => {
                self.decisions
                    .write(self.adapters.clock.now_us(), &decision);
            }
            Effect::RecordDeparture(start) => self.adapters.departures.record(start),
            Effect::ReadyToExit => self.stopped.notify_one(),
        }
    }

    fn send_peer_request(
        self: &Arc<Self>,
        key: OutboundKey,
        to: SocketAddr,
        request: PeerRequest,
        timeout_us: u64,
    ) {
        let node = Arc::clone(self);
        let timeout = Duration::from_micros(timeout_us);
        let task = tokio::spawn(async move {
            let result = node.adapters.peers.request(to, request, timeout).await;
            lock(&node.pending).outbound.remove(&key);
            node.submit(Input::PeerResponse { key, result });
        });
        lock(&self.pending)
            .outbound
            .insert(key, task.abort_handle());
    }

    fn send_to_target(self: &Arc<Self>, call: CallKey, request: TargetRequest) {
        let node = Arc::clone(self);
        let task = tokio::spawn(async move {
            let TargetReply { outcome, signals } = node.adapters.target.send(request).await;
            lock(&node.pending).target_requests.remove(&call);
            let event = Event::TargetRequestEnded {
                call,
                outcome,
                signals,
            };
            node.submit(Input::Event(calls::guard::NAME, event));
        });
        lock(&self.pending)
            .target_requests
            .insert(call, task.abort_handle());
    }

    fn read_routes(
        self: &Arc<Self>,
        key: OutboundKey,
        after: Option<RowVersion>,
        wait_ms: u32,
        timeout_us: u64,
    ) {
        let node = Arc::clone(self);
        let task = tokio::spawn(async move {
            let timeout = Duration::from_micros(timeout_us);
            let wait = Duration::from_millis(u64::from(wait_ms));
            let update =
                tokio::time::timeout(timeout, node.adapters.routes.next(after, wait)).await;
            let result = update.unwrap_or(Err(PlatformError::Lost));
            lock(&node.pending).outbound.remove(&key);
            node.submit(Input::RoutesRead { key, result });
        });
        lock(&self.pending)
            .outbound
            .insert(key, task.abort_handle());
    }

    fn send_table_request(
        self: &Arc<Self>,
        key: OutboundKey,
        request: TableRequest,
        timeout_us: u64,
    ) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let timeout = Duration::from_micros(timeout_us);
            let response =
                tokio::time::timeout(timeout, node.adapters.table.request(request)).await;
            let result: Result<TableResponse, PlatformError> =
                response.unwrap_or(Err(PlatformError::Lost));
            let table_now_ms = node.adapters.table.now_ms();
            node.submit(Input::TableResponse {
                key,
                result,
                table_now_ms,
            });
        });
    }

    fn send_object_request(
        self: &Arc<Self>,
        key: OutboundKey,
        request: ObjectRequest,
        timeout_us: u64,
    ) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let timeout = Duration::from_micros(timeout_us);
            let response =
                tokio::time::timeout(timeout, node.adapters.objects.request(request)).await;
            let result: Result<ObjectResponse, PlatformError> =
                response.unwrap_or(Err(PlatformError::Lost));
            node.submit(Input::ObjectResponse { key, result });
        });
    }
}

fn abort_task(handle: Option<AbortHandle>) {
    if let Some(handle) = handle {
        handle.abort();
    }
}

fn log_state_change(change: &StateChange) {
    log::info!(target: "dragonflylug", subject = change.subject; "{}: {}", change.change, change.detail);
}
