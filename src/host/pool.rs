//! A pool of HTTP/1.1 connections to one address.
//!
//! A connection carries one exchange at a time and is reused only after an exchange that ended
//! cleanly. On an error the pool reports whether nothing of the request was sent or it may have
//! arrived.
//!
//! A response can name its request only by an identifier, which all sendings of the request share. A
//! late copy of the response to one sending would pass for the response to the next, so a connection
//! carries no two requests with the same identifier.

mod connection;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use macro_rules_attribute::apply;

use super::end_check::is_refused;
use super::lock;
use super::response_budget::{ResponseBudget, read_body};
use super::send_permit::SendPermit;
use crate::derives::value;
use crate::request::Answer;
use connection::Connection;
pub use connection::set_tcp_options;

/// How long to wait until a connection is ready for reuse after its response was read.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a request lets other tasks run first while a connection is about to be reusable. A
/// request that follows a response at once would otherwise open a connection of its own.
const RETURN_YIELDS_MAX: u32 = 3;

/// The limits and timeouts of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// How long to wait for a connection.
    pub connect_timeout: Duration,
    /// How long a connection may be idle and still be reused.
    pub idle_max: Duration,
    /// How long a connection may be idle and still be reused for a request that is not idempotent.
    pub idle_max_non_idempotent: Duration,
    /// For this long after a lost or mismatched response, requests that are not idempotent do not
    /// reuse connections.
    pub reuse_pause: Duration,
    /// How long a connection may be silent before TCP probes the other side.
    pub keepalive_period: Duration,
    /// The maximum size of a response body.
    pub response_bytes_max: usize,
    /// The maximum number of idle connections.
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
            response_bytes_max: 32 * 1024 * 1024,
            idle_count_max: 512,
        }
    }
}

/// Why an exchange returned no response.
#[apply(value!)]
pub enum ExchangeError {
    /// Nothing of the request was sent.
    NotSent,
    /// The request may have arrived.
    Lost,
}

/// Whether a connection carried exchanges before. On one that did, a response may be a late copy of
/// an earlier one.
#[apply(value!)]
pub enum ConnectionUse {
    /// The exchange is the first one of the connection.
    First,
    /// There were earlier exchanges.
    Repeated,
}

/// A request and the conditions of its exchange.
pub struct Exchange<'a> {
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// The identifier by which the response names the request; `None` if it names none.
    pub request_id: Option<&'a str>,
    /// Whether the request is idempotent, so that it may run more than once.
    pub is_idempotent: bool,
    /// Returns, from its headers, whether a response belongs to the request.
    pub matches_request: &'a (dyn Fn(&HeaderMap, ConnectionUse) -> bool + Sync),
    /// The permission to send the request, which may expire while it waits for a connection; none
    /// if the request may be sent at any time.
    pub permit: Option<SendPermit>,
}

/// Connections to one address.
pub struct HttpPool {
    to: SocketAddr,
    settings: PoolSettings,
    budget: Arc<ResponseBudget>,
    state: Arc<Mutex<PoolState>>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<Idle>,
    /// The number of times that the connections were closed; one in use then isn't reused either.
    closed_count: u64,
    /// The number of connections whose response was read and that are not reusable yet.
    returning: usize,
    reuse_paused_until: Option<Instant>,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

impl HttpPool {
    /// Creates an empty pool with a budget of its own, which one response may use up.
    pub fn new(to: SocketAddr, settings: PoolSettings) -> Self {
        let budget = ResponseBudget::new(settings.response_bytes_max);
        Self::with_budget(to, settings, budget)
    }

    /// Creates an empty pool whose responses share a budget with others.
    pub fn with_budget(
        to: SocketAddr,
        settings: PoolSettings,
        budget: Arc<ResponseBudget>,
    ) -> Self {
        Self {
            to,
            settings,
            budget,
            state: Arc::default(),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.to
    }

    /// Sends a request and reads its whole response; dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotSent`] if nothing of the request was sent, and
    /// [`ExchangeError::Lost`] if it may have arrived.
    pub async fn exchange(&self, exchange: Exchange<'_>) -> Result<Response<Bytes>, ExchangeError> {
        let Exchange {
            mut request,
            request_id,
            is_idempotent,
            matches_request,
            permit,
        } = exchange;
        let closed_count = lock(&self.state).closed_count;
        loop {
            let (mut connection, connection_use) = self.acquire(request_id, is_idempotent).await?;
            if permit.is_some_and(|permit| !permit.is_valid()) {
                return Err(ExchangeError::NotSent);
            }
            if let Some(request_id) = request_id {
                connection.record(request_id);
            }
            match connection.sender.try_send_request(request).await {
                Ok(response)
                    if is_final(&response)
                        && matches_request(response.headers(), connection_use) =>
                {
                    return self.finish(connection, closed_count, response).await;
                }
                Ok(response) => {
                    let status = response.status();
                    log::debug!(target: "dragonflylug", "dropped a response with status {status} that is none to its request");
                    return Err(self.lost());
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if connection_use == ConnectionUse::Repeated => request = unsent,
                    Some(_) => return Err(ExchangeError::NotSent),
                    None => return Err(self.lost()),
                },
            }
        }
    }

    /// Takes an idle connection, or opens one.
    async fn acquire(
        &self,
        request_id: Option<&str>,
        is_idempotent: bool,
    ) -> Result<(Connection, ConnectionUse), ExchangeError> {
        if let Some(connection) = self.take_idle(request_id, is_idempotent).await {
            return Ok((connection, ConnectionUse::Repeated));
        }
        Ok((self.connect().await?, ConnectionUse::First))
    }

    /// Reads the whole response and returns its connection to the pool.
    async fn finish(
        &self,
        connection: Connection,
        closed_count: u64,
        response: Response<Incoming>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let Ok(response) = self.read_whole(response).await else {
            return Err(self.lost());
        };
        self.put_back(connection, closed_count);
        Ok(response)
    }

    /// Sends a request on a connection of its own, which is closed after the response: what it
    /// returns is no late copy of an earlier response.
    ///
    /// # Errors
    ///
    /// As [`exchange`](Self::exchange).
    pub async fn exchange_alone(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut connection = self.connect().await?;
        let response = connection.sender.send_request(request).await;
        match response {
            Ok(response) if is_final(&response) => self.read_whole(response).await,
            _ => Err(ExchangeError::Lost),
        }
    }

    /// Returns whether a new connection is refused, so that nothing listens at the address.
    pub async fn is_refused(&self) -> bool {
        is_refused(self.to, self.settings.connect_timeout).await
    }

    /// Closes all idle connections, and those in use once their exchange has ended.
    pub fn clear(&self) {
        let mut state = lock(&self.state);
        state.idle.clear();
        state.closed_count += 1;
    }

    async fn read_whole(
        &self,
        response: Response<Incoming>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = response.into_parts();
        let body = read_body(body, &self.budget, self.settings.response_bytes_max).await;
        let body = body.ok_or(ExchangeError::Lost)?;
        Ok(Response::from_parts(head, body))
    }

    /// Takes an idle connection, or one that becomes idle within a few turns of the other tasks.
    async fn take_idle(&self, request_id: Option<&str>, is_idempotent: bool) -> Option<Connection> {
        for _ in 0..RETURN_YIELDS_MAX {
            let idle = self.pop_idle(request_id, is_idempotent);
            if idle.is_some() || lock(&self.state).returning == 0 {
                return idle;
            }
            tokio::task::yield_now().await;
        }
        self.pop_idle(request_id, is_idempotent)
    }

    /// Removes and returns the most recently used connection that has not carried the request before.
    /// Returns `None` if there is none, if it has been idle for too long or, for a request that is not
    /// idempotent, while reuse is paused.
    fn pop_idle(&self, request_id: Option<&str>, is_idempotent: bool) -> Option<Connection> {
        let mut state = lock(&self.state);
        let idle_max = self.settings.idle_max;
        state
            .idle
            .retain(|idle| !idle.connection.sender.is_closed() && idle.since.elapsed() < idle_max);
        let newest = state.idle.iter().rposition(|idle| {
            request_id.is_none_or(|request_id| !idle.connection.has_carried(request_id))
        })?;
        if !is_idempotent {
            let is_reuse_paused = state
                .reuse_paused_until
                .is_some_and(|until| Instant::now() < until);
            let idle_for = state.idle[newest].since.elapsed();
            if is_reuse_paused || idle_for > self.settings.idle_max_non_idempotent {
                return None;
            }
        }
        Some(state.idle.remove(newest).connection)
    }

    /// Returns a connection to the pool once it is ready; drops it if it is not reusable, if the other
    /// side closes it, or if the connections were closed since `closed_count`.
    fn put_back(&self, mut connection: Connection, closed_count: u64) {
        if !connection.is_reusable() {
            return;
        }
        let state = Arc::clone(&self.state);
        let count_max = self.settings.idle_count_max;
        lock(&state).returning += 1;
        tokio::spawn(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            let mut state = lock(&state);
            state.returning -= 1;
            if !matches!(ready, Ok(Ok(()))) {
                return;
            }
            if state.idle.len() >= count_max || state.closed_count != closed_count {
                return;
            }
            let since = Instant::now();
            state.idle.push(Idle { connection, since });
        });
    }

    /// Pauses the reuse of connections, and returns the error of an exchange that may have arrived.
    fn lost(&self) -> ExchangeError {
        let until = Instant::now() + self.settings.reuse_pause;
        lock(&self.state).reuse_paused_until = Some(until);
        ExchangeError::Lost
    }

    async fn connect(&self) -> Result<Connection, ExchangeError> {
        let settings = &self.settings;
        let (timeout, keepalive_period) = (settings.connect_timeout, settings.keepalive_period);
        let connection = Connection::open(self.to, timeout, keepalive_period).await;
        connection.ok_or(ExchangeError::NotSent)
    }
}

/// Returns whether a response has a status that an answer may have.
fn is_final<T>(response: &Response<T>) -> bool {
    Answer::STATUSES.contains(&response.status().as_u16())
}
