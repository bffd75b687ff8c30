//! One link to a daemon: its connection, and the watch that replaces it when it goes silent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use rand::Rng;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::sync::{Mutex as AsyncMutex, watch};

use super::chunks::{self, CHUNK_BYTES};
use super::{ChunkedBody, IN_FLIGHT_MAX, PeerLimits, PeerRequestMessage, PeerRpcClient, frames};
use crate::host::lock;
use crate::kernel::LinkError;
use crate::peer::{PeerRequest, PeerResponse};

/// A link to the daemon at one address.
pub(super) struct Link {
    to: SocketAddr,
    limits: PeerLimits,
    state: AsyncMutex<LinkState>,
    used: Mutex<Instant>,
    waiting: AtomicUsize,
}

/// What a link keeps between questions.
#[derive(Default)]
struct LinkState {
    connection: Option<Connection>,
    /// When the last attempt to connect failed.
    failed: Option<Instant>,
}

/// One connection of a link.
#[derive(Clone)]
struct Connection {
    client: PeerRpcClient,
    /// When something last arrived; `None` once the connection is given up.
    heard: watch::Sender<Option<Instant>>,
    /// Held by the one question that asks for a sign of life.
    pinging: Arc<AsyncMutex<()>>,
}

impl Link {
    pub(super) fn new(to: SocketAddr, limits: PeerLimits) -> Self {
        Self {
            to,
            limits,
            state: AsyncMutex::default(),
            used: Mutex::new(Instant::now()),
            waiting: AtomicUsize::new(0),
        }
    }

    pub(super) fn touch(&self) {
        *lock(&self.used) = Instant::now();
    }

    pub(super) fn last_used(&self) -> Instant {
        *lock(&self.used)
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    pub(super) async fn request(
        &self,
        mut question: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, LinkError> {
        let _count = WaitCount::new(&self.waiting);
        let deadline = Instant::now() + timeout;
        let body = chunks::detach(chunks::request_body(&mut question));
        let connection = match self.present() {
            Some(present) => present,
            None => Box::pin(self.connect_within(timeout)).await?,
        };
        let body_key = match body {
            Some(body) => Some(Box::pin(self.put_chunks(&connection, &body, deadline)).await?),
            None => None,
        };
        let asked = connection
            .client
            .request(until(deadline), PeerRequestMessage { question, body_key });
        let answered = self
            .exchange(&connection, asked)
            .await?
            .ok_or(LinkError::Lost)?;
        let Some(parted) = answered.chunked_body else {
            return Ok(answered.answer);
        };
        Box::pin(self.fetch_response_body(answered.answer, parted, deadline)).await
    }

    /// Returns the present connection where it is at hand.
    fn present(&self) -> Option<Connection> {
        let state = self.state.try_lock().ok()?;
        let present = state.connection.as_ref()?;
        present.heard.borrow().is_some().then(|| present.clone())
    }

    async fn connect_within(&self, timeout: Duration) -> Result<Connection, LinkError> {
        let connect = tokio::time::timeout(timeout, self.connect()).await;
        connect.unwrap_or(Err(LinkError::NotSent))
    }

    /// Sends a body ahead of its question: whatever goes wrong, the question was not asked.
    async fn put_chunks(
        &self,
        connection: &Connection,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<u64, LinkError> {
        let key = rand::rng().next_u64();
        for (index, part) in body.chunks(CHUNK_BYTES).enumerate() {
            let offset = (index * CHUNK_BYTES) as u64;
            let part = body.slice_ref(part);
            let put = connection
                .client
                .put_chunk(until(deadline), key, offset, part);
            let is_taken = self.exchange(connection, put).await;
            if is_taken != Ok(true) {
                return Err(LinkError::NotSent);
            }
        }
        Ok(key)
    }

    /// Fetches a body in parts; a part that is lost is asked again on a new connection.
    async fn fetch_response_body(
        &self,
        mut answer: PeerResponse,
        parted: ChunkedBody,
        deadline: Instant,
    ) -> Result<PeerResponse, LinkError> {
        let body_bytes = usize::try_from(parted.body_bytes).map_err(|_| LinkError::Lost)?;
        let mut body = BytesMut::new();
        while body.len() < body_bytes {
            if Instant::now() >= deadline {
                return Err(LinkError::TimedOut);
            }
            let connection = self.connect().await.map_err(|_| LinkError::Lost)?;
            let offset = body.len() as u64;
            let fetch = connection
                .client
                .get_chunk(until(deadline), parted.key, offset);
            match self.exchange(&connection, fetch).await {
                Ok(Some(part)) if !part.is_empty() => body.extend_from_slice(&part),
                Ok(_) => return Err(LinkError::Lost),
                Err(_) => {}
            }
        }
        *chunks::response_body(&mut answer).ok_or(LinkError::Lost)? = body.freeze();
        self.release(parted.key, deadline).await;
        Ok(answer)
    }

    /// Lets the other side forget a body; without it the body is dropped after a while.
    async fn release(&self, key: u64, deadline: Instant) {
        let Ok(connection) = self.connect().await else {
            return;
        };
        let _ = connection.client.release_body(until(deadline), key).await;
    }

    /// Waits for an answer while the connection gives signs of life.
    async fn exchange<T>(
        &self,
        connection: &Connection,
        asked: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, LinkError> {
        let answer = tokio::select! {
            answer = asked => answer,
            () = self.watch(connection) => {
                connection.give_up();
                return Err(LinkError::Lost);
            }
        };
        match answer {
            Ok(answer) => {
                connection.note_heard();
                Ok(answer)
            }
            Err(RpcError::DeadlineExceeded) => Err(LinkError::TimedOut),
            Err(_) => {
                connection.give_up();
                Err(LinkError::Lost)
            }
        }
    }

    /// Returns the present connection, or makes one.
    ///
    /// Questions that waited for an attempt that failed fail with it.
    async fn connect(&self) -> Result<Connection, LinkError> {
        let asked = Instant::now();
        let mut state = self.state.lock().await;
        if let Some(present) = state.connection.as_ref()
            && present.heard.borrow().is_some()
        {
            return Ok(present.clone());
        }
        if state.failed.is_some_and(|failed| failed > asked) {
            return Err(LinkError::NotSent);
        }
        let connecting = TcpStream::connect(self.to);
        let connected = tokio::time::timeout(self.limits.connect_timeout, connecting).await;
        let Ok(Ok(stream)) = connected else {
            state.failed = Some(Instant::now());
            return Err(LinkError::NotSent);
        };
        let made = self.open(stream);
        state.connection = Some(made.clone());
        Ok(made)
    }

    fn open(&self, stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        let framed = frames(stream, self.limits.body_bytes_max);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let mut config = tarpc::client::Config::default();
        config.max_in_flight_requests = IN_FLIGHT_MAX;
        config.pending_request_buffer = IN_FLIGHT_MAX;
        let client = PeerRpcClient::new(config, transport).spawn();
        let (heard, _) = watch::channel(Some(Instant::now()));
        Connection {
            client,
            heard,
            pinging: Arc::default(),
        }
    }

    /// Ends when the connection is given up or gives no sign of life while an answer is due.
    async fn watch(&self, connection: &Connection) {
        let asked = Instant::now();
        loop {
            let Some(heard) = *connection.heard.borrow() else {
                return;
            };
            let quiet = heard.max(asked).elapsed();
            if quiet < self.limits.ping_after {
                let wait = self.limits.ping_after - quiet;
                let mut changes = connection.heard.subscribe();
                let _ = tokio::time::timeout(wait, changes.changed()).await;
                continue;
            }
            let _pinging = connection.pinging.lock().await;
            let Some(heard) = *connection.heard.borrow() else {
                return;
            };
            if heard.elapsed() < self.limits.ping_after {
                continue;
            }
            let deadline = Instant::now() + self.limits.ping_timeout;
            let ping = Box::pin(connection.client.ping(until(deadline)));
            if ping.await.is_err() {
                return;
            }
            connection.note_heard();
        }
    }
}

/// Makes the context of a question that must be answered by a deadline.
fn until(deadline: Instant) -> Context {
    let mut context = Context::current();
    context.deadline = deadline;
    context
}

impl Connection {
    fn give_up(&self) {
        self.heard.send_replace(None);
    }

    fn note_heard(&self) {
        self.heard.send_if_modified(|heard| {
            if heard.is_some() {
                *heard = Some(Instant::now());
            }
            false
        });
    }
}

/// Counts a question for as long as it waits.
struct WaitCount<'a> {
    waiting: &'a AtomicUsize,
}

impl<'a> WaitCount<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self { waiting }
    }
}

impl Drop for WaitCount<'_> {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
