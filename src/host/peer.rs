//! The RPC links between daemons, over tarpc.
//!
//! A client keeps one link for each address, which connects on demand. A body that is too large for
//! one message travels in chunks, so that it does not hold up small messages on the same link.

mod chunks;
mod link;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use macro_rules_attribute::apply;
use rand::Rng;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::{TcpListener, TcpStream};

use super::response_budget::ResponseBudget;
use super::{Node, PeerTransport, lock};
use crate::derives::{message, value};
use crate::ids::InboundKey;
use crate::kernel::{Input, LinkError};
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use crate::table::BoxFuture;
use chunks::ChunkStore;
use link::Link;

/// The maximum number of requests in flight on one connection of a client; for a server, the
/// capacity of the response buffer of a connection.
const IN_FLIGHT_MAX: usize = 10_000;

/// The maximum size of a frame without the body that it carries.
const FRAME_OVERHEAD_BYTES: usize = 64 * 1024;

/// The initial size of the read buffer and of the write buffer of a connection.
const BUFFER_BYTES: usize = 1024;

/// The number of buffered bytes at which a connection flushes its write buffer even if more
/// messages follow.
const FLUSH_BYTES: usize = 8 * 1024;

/// The pause before the listener accepts again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The RPC protocol between daemons.
#[tarpc::service]
pub trait PeerRpc {
    /// Handles a request; returns `None` if its body was to be sent ahead and no chunk of it is
    /// stored, or if the daemon stops before it responds.
    async fn request(message: PeerRequestMessage) -> Option<PeerResponseMessage>;

    /// Stores a chunk of a request body; returns false if there is no room for it or the chunk
    /// before it is missing.
    async fn put_chunk(key: u64, offset: u64, chunk: Bytes) -> bool;

    /// Returns the chunk of a response body at an offset.
    async fn get_chunk(key: u64, offset: u64) -> Option<Bytes>;

    /// Drops a response body that the client has received completely.
    async fn release_body(key: u64);

    /// Does nothing; a response shows that the connection still carries messages.
    async fn ping();
}

/// A request on the wire.
#[apply(message!)]
pub struct PeerRequestMessage {
    /// The request, without its body if that was sent ahead in chunks.
    pub request: PeerRequest,
    /// The key of the chunks of the body, if it was sent ahead.
    pub body_key: Option<u64>,
}

/// A response on the wire.
#[apply(message!)]
pub struct PeerResponseMessage {
    /// The response, without its body if that is to be fetched in chunks.
    pub response: PeerResponse,
    /// The body to fetch in chunks, if there is one.
    pub chunked_body: Option<ChunkedBody>,
}

/// A response body that the client fetches in chunks.
#[apply(value!)]
pub struct ChunkedBody {
    /// The key of the chunks.
    pub key: u64,
    /// The size of the whole body.
    pub body_bytes: u64,
}

/// The limits and timeouts of the links to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// The maximum size of a request or response body.
    pub body_bytes_max: usize,
    /// How long to wait for a connection.
    pub connect_timeout: Duration,
    /// How long a link may receive no complete response, while one is due, before it is pinged.
    pub ping_after: Duration,
    /// How long to wait for the response to a ping; without one the connection is replaced.
    pub ping_timeout: Duration,
    /// The maximum number of links. A new link above it replaces the least recently used one that
    /// has no request in flight; if all have one, the number is exceeded.
    pub links_max: usize,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            body_bytes_max: 16 * 1024 * 1024,
            connect_timeout: Duration::from_millis(500),
            ping_after: Duration::from_millis(250),
            ping_timeout: Duration::from_millis(500),
            links_max: 1_024,
        }
    }
}

/// The links to other daemons, one for each address.
pub struct PeerLinks {
    limits: PeerLimits,
    budget: Arc<ResponseBudget>,
    links: Mutex<SortedMap<SocketAddr, Arc<Link>>>,
}

impl PeerLinks {
    /// Creates an empty set of links. Bodies of responses that arrive in chunks use a budget.
    pub fn new(limits: PeerLimits, budget: Arc<ResponseBudget>) -> Self {
        Self {
            limits,
            budget,
            links: Mutex::default(),
        }
    }

    /// Returns the link to an address; creates it if there is none.
    fn link(&self, to: SocketAddr) -> Arc<Link> {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(&to) {
            link.touch();
            return Arc::clone(link);
        }
        if links.len() >= self.limits.links_max {
            close_least_recently_used(&mut links);
        }
        let link = Arc::new(Link::new(to, self.limits, Arc::clone(&self.budget)));
        links.insert(to, Arc::clone(&link));
        link
    }
}

/// Closes the least recently used link that has no request in flight, if there is one.
fn close_least_recently_used(links: &mut SortedMap<SocketAddr, Arc<Link>>) {
    let mut oldest: Option<(Instant, SocketAddr)> = None;
    for (address, link) in links.iter() {
        if link.has_requests_in_flight() {
            continue;
        }
        let used = link.last_used();
        if oldest.is_none_or(|(oldest_used, _)| used < oldest_used) {
            oldest = Some((used, *address));
        }
    }
    if let Some((_, address)) = oldest {
        links.remove(&address);
    }
}

impl PeerTransport for PeerLinks {
    fn request(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<PeerResponse, LinkError>> {
        let link = self.link(to);
        Box::pin(async move { link.request(request, timeout).await })
    }
}

/// Creates the framed transport of a connection; its buffers start small and grow with the
/// messages.
fn framed_transport(
    stream: TcpStream,
    body_bytes_max: usize,
) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(body_bytes_max + FRAME_OVERHEAD_BYTES)
        .new_codec();
    let mut framed = Framed::with_capacity(stream, codec, BUFFER_BYTES);
    framed.set_backpressure_boundary(FLUSH_BYTES);
    framed
}

/// The RPC server for other daemons.
#[derive(Clone)]
pub struct PeerServer {
    node: Arc<Node>,
    body_bytes_max: usize,
    chunked_bytes_max: usize,
    chunks: Arc<Mutex<ChunkStore>>,
}

impl PeerServer {
    /// Creates a server that passes requests to a node. All bodies that wait for their next chunk
    /// may use `chunked_bytes_max`.
    pub fn new(node: Arc<Node>, body_bytes_max: usize, chunked_bytes_max: usize) -> Self {
        Self {
            node,
            body_bytes_max,
            chunked_bytes_max,
            chunks: Arc::default(),
        }
    }

    /// Accepts connections from other daemons until the task is aborted.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let framed = framed_transport(stream, self.body_bytes_max);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let config = tarpc::server::Config {
            pending_response_buffer: IN_FLIGHT_MAX,
        };
        let channel = BaseChannel::new(config, transport);
        let requests = channel.execute(PeerRpc::serve(self));
        requests
            .for_each(|response| async {
                tokio::spawn(response);
            })
            .await;
    }

    /// Restores the body of a request from its chunks; returns `None` if no chunk is stored. A body
    /// that lacks its last chunks is not detected.
    fn restore_request_body(&self, message: PeerRequestMessage) -> Option<PeerRequest> {
        let mut request = message.request;
        let Some(key) = message.body_key else {
            return Some(request);
        };
        let body = lock(&self.chunks).remove(key)?;
        *chunks::request_body(&mut request)? = body;
        Some(request)
    }

    /// Stores a large response body for the client to fetch in chunks; if there is no room, the
    /// body stays in the response.
    fn detach_response_body(&self, mut response: PeerResponse) -> PeerResponseMessage {
        let Some(body) = chunks::detach(chunks::response_body(&mut response)) else {
            return PeerResponseMessage {
                response,
                chunked_body: None,
            };
        };
        let key = rand::rng().next_u64();
        if lock(&self.chunks).store(key, body.clone(), self.chunked_bytes_max) {
            let body_bytes = body.len() as u64;
            return PeerResponseMessage {
                response,
                chunked_body: Some(ChunkedBody { key, body_bytes }),
            };
        }
        if let Some(response_body) = chunks::response_body(&mut response) {
            *response_body = body;
        }
        PeerResponseMessage {
            response,
            chunked_body: None,
        }
    }
}

impl PeerRpc for PeerServer {
    async fn request(
        self,
        _: tarpc::context::Context,
        message: PeerRequestMessage,
    ) -> Option<PeerResponseMessage> {
        let request = self.restore_request_body(message)?;
        let (inbound, receiver) = self.node.open_peer_request();
        let _cancel = CancelOnDrop {
            node: Arc::clone(&self.node),
            inbound,
        };
        self.node.submit(Input::PeerRequest { inbound, request });
        let response = receiver.await.ok()?;
        Some(self.detach_response_body(response))
    }

    async fn put_chunk(
        self,
        _: tarpc::context::Context,
        key: u64,
        offset: u64,
        chunk: Bytes,
    ) -> bool {
        let Ok(offset) = usize::try_from(offset) else {
            return false;
        };
        lock(&self.chunks).append(key, offset, &chunk, self.chunked_bytes_max)
    }

    async fn get_chunk(self, _: tarpc::context::Context, key: u64, offset: u64) -> Option<Bytes> {
        lock(&self.chunks).chunk(key, usize::try_from(offset).ok()?)
    }

    async fn release_body(self, _: tarpc::context::Context, key: u64) {
        lock(&self.chunks).remove(key);
    }

    async fn ping(self, _: tarpc::context::Context) {}
}

/// Cancels an incoming request on drop, unless it was answered: tarpc drops the handler when the
/// client cancels.
struct CancelOnDrop {
    node: Arc<Node>,
    inbound: InboundKey,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.node.cancel_peer_request(self.inbound);
    }
}
