//! One link to another daemon: its connection, and the liveness check that replaces a connection on
//! which no response arrives, not even to a ping.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use rand::Rng;
use tarpc::client::{NewClient, RpcError};
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::sync::{Mutex as AsyncMutex, watch};

use super::chunks::{self, CHUNK_BYTES};
use super::{
    ChunkedBody, IN_FLIGHT_MAX, PeerLimits, PeerRequestMessage, PeerRpcClient, framed_transport,
};
use crate::host::lock;
use crate::host::response_budget::ResponseBudget;
use crate::kernel::LinkError;
use crate::peer::{PeerRequest, PeerResponse};

/// A link to the daemon at one address.
pub(super) struct Link {
    to: SocketAddr,
    limits: PeerLimits,
    budget: Arc<ResponseBudget>,
    state: AsyncMutex<LinkState>,
    last_used: Mutex<Instant>,
    in_flight: AtomicUsize,
}

/// The state that a link keeps from one request to the next.
#[derive(Default)]
struct LinkState {
    connection: Option<Connection>,
    /// When the last attempt to connect failed.
    failed_at: Option<Instant>,
}

/// One connection of a link.
#[derive(Clone)]
struct Connection {
    client: PeerRpcClient,
    /// When a complete response last arrived; `None` once the connection has been given up.
    last_received: watch::Sender<Option<Instant>>,
    /// Locked by the one request that pings the peer on behalf of all requests on the connection.
    ping_lock: Arc<AsyncMutex<()>>,
}

impl Link {
    pub(super) fn new(to: SocketAddr, limits: PeerLimits, budget: Arc<ResponseBudget>) -> Self {
        Self {
            to,
            limits,
            budget,
            state: AsyncMutex::default(),
            last_used: Mutex::new(Instant::now()),
            in_flight: AtomicUsize::new(0),
        }
    }

    pub(super) fn touch(&self) {
        *lock(&self.last_used) = Instant::now();
    }

    pub(super) fn last_used(&self) -> Instant {
        *lock(&self.last_used)
    }

    pub(super) fn has_requests_in_flight(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    pub(super) async fn request(
        &self,
        mut request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, LinkError> {
        let _count = InFlightCount::new(&self.in_flight);
        let deadline = Instant::now() + timeout;
        let body = chunks::detach(chunks::request_body(&mut request));
        let connection = match self.current_connection() {
            Some(connection) => connection,
            None => Box::pin(self.connect_within(timeout)).await?,
        };
        let body_key = match body {
            Some(body) => Some(Box::pin(self.put_chunks(&connection, &body, deadline)).await?),
            None => None,
        };
        let rpc = connection.client.request(
            context_until(deadline),
            PeerRequestMessage { request, body_key },
        );
        let message = self
            .exchange(&connection, rpc)
            .await?
            .ok_or(LinkError::Lost)?;
        let Some(chunked_body) = message.chunked_body else {
            return Ok(message.response);
        };
        Box::pin(self.fetch_response_body(message.response, chunked_body, deadline)).await
    }

    /// Returns the current connection if it is usable and no other task is connecting.
    fn current_connection(&self) -> Option<Connection> {
        let state = self.state.try_lock().ok()?;
        let current = state.connection.as_ref()?;
        current
            .last_received
            .borrow()
            .is_some()
            .then(|| current.clone())
    }

    async fn connect_within(&self, timeout: Duration) -> Result<Connection, LinkError> {
        let connect = tokio::time::timeout(timeout, self.connect()).await;
        connect.unwrap_or(Err(LinkError::NotSent))
    }

    /// Sends a body ahead of its request. Every failure here is [`LinkError::NotSent`], because the
    /// request itself has not been sent yet.
    async fn put_chunks(
        &self,
        connection: &Connection,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<u64, LinkError> {
        let key = rand::rng().next_u64();
        for (index, chunk) in body.chunks(CHUNK_BYTES).enumerate() {
            let offset = (index * CHUNK_BYTES) as u64;
            let chunk = body.slice_ref(chunk);
            let put = connection
                .client
                .put_chunk(context_until(deadline), key, offset, chunk);
            let is_stored = self.exchange(connection, put).await;
            if is_stored != Ok(true) {
                return Err(LinkError::NotSent);
            }
        }
        Ok(key)
    }

    /// Fetches the body of a response in chunks; a chunk that is lost is requested again on a new
    /// connection.
    async fn fetch_response_body(
        &self,
        mut response: PeerResponse,
        chunked_body: ChunkedBody,
        deadline: Instant,
    ) -> Result<PeerResponse, LinkError> {
        let body_bytes = usize::try_from(chunked_body.body_bytes).map_err(|_| LinkError::Lost)?;
        let reservation = match body_bytes <= self.limits.body_bytes_max {
            true => tokio::time::timeout_at(deadline.into(), self.budget.reserve(body_bytes)).await,
            false => Ok(None),
        };
        let reservation = reservation.map_err(|_| LinkError::TimedOut)?;
        let Some(reservation) = reservation else {
            log::warn!(target: "dragonflylug", "gave up a response of {body_bytes} bytes from {}: too large", self.to);
            return Err(LinkError::Lost);
        };
        let mut body = BytesMut::with_capacity(body_bytes);
        while body.len() < body_bytes {
            if Instant::now() >= deadline {
                return Err(LinkError::TimedOut);
            }
            let connection = self.connect().await.map_err(|_| LinkError::Lost)?;
            let offset = body.len() as u64;
            let fetch =
                connection
                    .client
                    .get_chunk(context_until(deadline), chunked_body.key, offset);
            match self.exchange(&connection, fetch).await {
                Ok(Some(chunk)) if !chunk.is_empty() => body.extend_from_slice(&chunk),
                Ok(_) => return Err(LinkError::Lost),
                Err(_) => {}
            }
        }
        *chunks::response_body(&mut response).ok_or(LinkError::Lost)? =
            reservation.hold(body.freeze());
        self.release(chunked_body.key, deadline).await;
        Ok(response)
    }

    /// Requests that the peer drop a body; if this fails, the peer drops it after its expiry.
    async fn release(&self, key: u64, deadline: Instant) {
        let Ok(connection) = self.connect().await else {
            return;
        };
        let _ = connection
            .client
            .release_body(context_until(deadline), key)
            .await;
    }

    /// Waits for a response for as long as the connection is alive; gives the connection up if it
    /// is not.
    async fn exchange<T>(
        &self,
        connection: &Connection,
        rpc: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, LinkError> {
        let response = tokio::select! {
            response = rpc => response,
            () = self.watch_liveness(connection) => {
                connection.give_up();
                return Err(LinkError::Lost);
            }
        };
        match response {
            Ok(response) => {
                connection.record_received();
                Ok(response)
            }
            Err(RpcError::DeadlineExceeded) => Err(LinkError::TimedOut),
            Err(_) => {
                connection.give_up();
                Err(LinkError::Lost)
            }
        }
    }

    /// Returns the current connection, or opens one.
    ///
    /// If an attempt to connect fails, all requests that were waiting for it fail too.
    async fn connect(&self) -> Result<Connection, LinkError> {
        let requested_at = Instant::now();
        let mut state = self.state.lock().await;
        if let Some(current) = state.connection.as_ref()
            && current.last_received.borrow().is_some()
        {
            return Ok(current.clone());
        }
        if state
            .failed_at
            .is_some_and(|failed_at| failed_at > requested_at)
        {
            return Err(LinkError::NotSent);
        }
        let connecting = TcpStream::connect(self.to);
        let connected = tokio::time::timeout(self.limits.connect_timeout, connecting).await;
        let Ok(Ok(stream)) = connected else {
            state.failed_at = Some(Instant::now());
            return Err(LinkError::NotSent);
        };
        let connection = self.open(stream);
        state.connection = Some(connection.clone());
        Ok(connection)
    }

    fn open(&self, stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        let framed = framed_transport(stream, self.limits.body_bytes_max);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let mut config = tarpc::client::Config::default();
        config.max_in_flight_requests = IN_FLIGHT_MAX;
        config.pending_request_buffer = IN_FLIGHT_MAX;
        let NewClient { client, dispatch } = PeerRpcClient::new(config, transport);
        let (last_received, _) = watch::channel(Some(Instant::now()));
        let ended = last_received.clone();
        tokio::spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!(target: "dragonflylug", "a link failed: {error}");
            }
            // The peer closed the connection; a request that took it now would count as lost.
            ended.send_replace(None);
        });
        Connection {
            client,
            last_received,
            ping_lock: Arc::default(),
        }
    }

    /// Returns when the connection has been given up or does not respond to a ping while a response
    /// is due.
    async fn watch_liveness(&self, connection: &Connection) {
        let requested_at = Instant::now();
        loop {
            let Some(last_received) = *connection.last_received.borrow() else {
                return;
            };
            let silent_for = last_received.max(requested_at).elapsed();
            if silent_for < self.limits.ping_after {
                let wait = self.limits.ping_after - silent_for;
                let mut changes = connection.last_received.subscribe();
                let _ = tokio::time::timeout(wait, changes.changed()).await;
                continue;
            }
            let _ping_lock = connection.ping_lock.lock().await;
            let Some(last_received) = *connection.last_received.borrow() else {
                return;
            };
            if last_received.elapsed() < self.limits.ping_after {
                continue;
            }
            let deadline = Instant::now() + self.limits.ping_timeout;
            let ping = Box::pin(connection.client.ping(context_until(deadline)));
            if ping.await.is_err() {
                return;
            }
            connection.record_received();
        }
    }
}

/// Creates the context of an RPC with a deadline.
fn context_until(deadline: Instant) -> Context {
    let mut context = Context::current();
    context.deadline = deadline;
    context
}

impl Connection {
    fn give_up(&self) {
        self.last_received.send_replace(None);
    }

    fn record_received(&self) {
        self.last_received.send_if_modified(|last_received| {
            if last_received.is_some() {
                *last_received = Some(Instant::now());
            }
            false
        });
    }
}

/// Counts a request as in flight until the value is dropped.
struct InFlightCount<'a> {
    in_flight: &'a AtomicUsize,
}

impl<'a> InFlightCount<'a> {
    fn new(in_flight: &'a AtomicUsize) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self { in_flight }
    }
}

impl Drop for InFlightCount<'_> {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
