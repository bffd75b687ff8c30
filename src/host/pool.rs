//! A pool of HTTP/1.1 connections to one address.
//!
//! A connection carries one exchange at a time and is kept only after an exchange that ended
//! cleanly. The pool tells a request of which nothing was sent from one that may have arrived.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use macro_rules_attribute::apply;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::lock;
use crate::derives::value;

/// The time for a connection to become free after its answer was read.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

/// The keep-alive probes without an answer after which a connection is lost.
const KEEPALIVE_PROBES: u32 = 2;

/// What bounds the connections of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// The time to make a connection.
    pub connect_timeout: Duration,
    /// The time after which an idle connection is no longer used.
    pub idle_max: Duration,
    /// The same for requests that may run only once.
    pub idle_max_non_idempotent: Duration,
    /// The time after something odd for which such requests get new connections.
    pub reuse_pause: Duration,
    /// The time without a sign of life after which the other side is probed.
    pub keepalive_period: Duration,
    /// The greatest answer that is read.
    pub answer_bytes_max: usize,
    /// The idle connections that are kept.
    pub idle_count_max: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            idle_max: Duration::from_secs(4),
            idle_max_non_idempotent: Duration::from_millis(500),
            reuse_pause: Duration::from_secs(5),
            keepalive_period: Duration::from_secs(1),
            answer_bytes_max: 32 * 1024 * 1024,
            idle_count_max: 64,
        }
    }
}

/// Why an exchange gave no answer.
#[apply(value!)]
pub enum ExchangeError {
    /// Nothing of the request was sent.
    NotSent,
    /// The request may have arrived.
    Lost,
}

/// A request with what holds for its exchange.
pub struct Exchange<'a> {
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Says by its headers whether an answer belongs to the request.
    pub matches_request: &'a (dyn Fn(&HeaderMap) -> bool + Sync),
}

/// Connections to one address.
pub struct HttpPool {
    to: SocketAddr,
    settings: PoolSettings,
    state: Arc<Mutex<PoolState>>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<Idle>,
    reuse_paused_until: Option<Instant>,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// A connection; dropping it closes the socket.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpPool {
    /// Makes an empty pool.
    pub fn new(to: SocketAddr, settings: PoolSettings) -> Self {
        Self {
            to,
            settings,
            state: Arc::default(),
        }
    }

    /// Sends a request and reads its whole answer; dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have arrived.
    pub async fn exchange(&self, exchange: Exchange<'_>) -> Result<Response<Bytes>, ExchangeError> {
        let mut request = exchange.request;
        loop {
            let kept = self.take_idle(exchange.is_idempotent);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) if (exchange.matches_request)(response.headers()) => {
                    return self.read_answer(connection, response).await;
                }
                Ok(_) => {
                    self.reuse_pause();
                    return Err(ExchangeError::Lost);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_kept => request = unsent,
                    Some(_) => return Err(ExchangeError::NotSent),
                    None => {
                        self.reuse_pause();
                        return Err(ExchangeError::Lost);
                    }
                },
            }
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        lock(&self.state).idle.clear();
    }

    async fn read_answer(
        &self,
        connection: Connection,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.settings.answer_bytes_max);
        let Ok(body) = body.collect().await else {
            self.reuse_pause();
            return Err(ExchangeError::Lost);
        };
        self.keep(connection);
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Takes the connection that was used last, unless it was idle for too long.
    fn take_idle(&self, is_idempotent: bool) -> Option<Connection> {
        let mut state = lock(&self.state);
        let idle_max = self.settings.idle_max;
        state
            .idle
            .retain(|idle| !idle.connection.sender.is_closed() && idle.since.elapsed() < idle_max);
        let newest = state.idle.last()?;
        if !is_idempotent {
            let is_distrusted = state
                .reuse_paused_until
                .is_some_and(|until| Instant::now() < until);
            if is_distrusted || newest.since.elapsed() > self.settings.idle_max_non_idempotent {
                return None;
            }
        }
        state.idle.pop().map(|idle| idle.connection)
    }

    /// Keeps a connection once it is free; one that the other side closes is dropped.
    fn keep(&self, mut connection: Connection) {
        let state = Arc::clone(&self.state);
        let count_max = self.settings.idle_count_max;
        tokio::spawn(async move {
            let free = tokio::time::timeout(FREE_TIMEOUT, connection.sender.ready()).await;
            if !matches!(free, Ok(Ok(()))) {
                return;
            }
            let mut state = lock(&state);
            if state.idle.len() >= count_max {
                return;
            }
            let since = Instant::now();
            state.idle.push(Idle { connection, since });
        });
    }

    fn reuse_pause(&self) {
        let until = Instant::now() + self.settings.reuse_pause;
        lock(&self.state).reuse_paused_until = Some(until);
    }

    async fn connect(&self) -> Result<Connection, ExchangeError> {
        let connecting = TcpStream::connect(self.to);
        let connected = tokio::time::timeout(self.settings.connect_timeout, connecting).await;
        let Ok(Ok(stream)) = connected else {
            return Err(ExchangeError::NotSent);
        };
        set_options(&stream, self.settings.keepalive_period);
        let Ok((sender, connection)) = handshake(TokioIo::new(stream)).await else {
            return Err(ExchangeError::NotSent);
        };
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "dragonflylug", "a pooled connection ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
        })
    }
}

/// Makes a connection notice that the other side is gone.
pub fn set_options(stream: &TcpStream, keepalive_period: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(keepalive_period)
        .with_interval(keepalive_period)
        .with_retries(KEEPALIVE_PROBES);
    let unacknowledged_max = keepalive_period * (KEEPALIVE_PROBES + 1);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(unacknowledged_max)),
    ];
    for result in results {
        if let Err(error) = result {
            log::debug!(target: "dragonflylug", "a socket option was refused: {error}");
        }
    }
}
