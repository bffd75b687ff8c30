//! One connection of a pool.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum size of the head of a response, and of the part of a body that is read at once. A head
/// is parsed anew with each part of it, so that one without end costs time as well.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// The number of unanswered TCP keepalive probes after which a connection is dropped.
const KEEPALIVE_PROBES: u32 = 2;

/// The number of requests with an identifier after which a connection is not reused. It bounds the
/// memory for their identifiers.
const REQUESTS_MAX: usize = 1_024;

/// A connection; dropping it closes the socket.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// The hashes of the identifiers of its requests, in ascending order.
    carried: Vec<u64>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to an address; returns `None` if that fails or takes longer than `timeout`.
    pub(super) async fn open(
        to: SocketAddr,
        timeout: Duration,
        keepalive_period: Duration,
    ) -> Option<Self> {
        let connecting = TcpStream::connect(to);
        let connected = tokio::time::timeout(timeout, connecting).await;
        let stream = connected.ok()?.ok()?;
        set_tcp_options(&stream, keepalive_period);
        let handshake = Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.ok()?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "dragonflylug", "pooled connection failed: {error}");
            }
        });
        Some(Self {
            sender,
            driver: driver.abort_handle(),
            carried: Vec::new(),
        })
    }

    /// Records that the connection carries a request. If that was sent before, another connection must
    /// carry it: both responses would name the same request.
    pub(super) fn record(&mut self, request_id: &str) {
        let hash = xxh3_64(request_id.as_bytes());
        if let Err(index) = self.carried.binary_search(&hash) {
            self.carried.insert(index, hash);
        }
    }

    /// Returns whether the connection has carried a request with this identifier.
    pub(super) fn has_carried(&self, request_id: &str) -> bool {
        let hash = xxh3_64(request_id.as_bytes());
        self.carried.binary_search(&hash).is_ok()
    }

    /// Returns whether the connection may carry further requests.
    pub(super) fn is_reusable(&self) -> bool {
        self.carried.len() < REQUESTS_MAX
    }
}

/// Sets the TCP options with which a connection detects that the other side is gone.
pub fn set_tcp_options(stream: &TcpStream, keepalive_period: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(keepalive_period)
        .with_interval(keepalive_period)
        .with_retries(KEEPALIVE_PROBES);
    let user_timeout = keepalive_period * (KEEPALIVE_PROBES + 1);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(user_timeout)),
    ];
    for result in results {
        if let Err(error) = result {
            log::debug!(target: "dragonflylug", "cannot set a TCP option: {error}");
        }
    }
}
