//! The tarpc links between daemons.

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

use super::{Node, PeerLink, lock};
use crate::derives::{message, value};
use crate::ids::InboundKey;
use crate::kernel::{Input, LinkError};
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use crate::table::BoxFuture;
use chunks::ChunkStore;
use link::Link;

/// The questions that one connection may have under way.
const IN_FLIGHT_MAX: usize = 10_000;

/// The room of a frame beside the body that it carries.
const FRAME_OVERHEAD_BYTES: usize = 64 * 1024;

/// The buffers that a connection begins with, each way.
const BUFFER_BYTES: usize = 1024;

/// The bytes that are written at once at least, while there are more.
const FLUSH_BYTES: usize = 8 * 1024;

/// The wait before the listener accepts again after an error.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The protocol between daemons.
#[tarpc::service]
pub trait PeerRpc {
    /// Answers a question, or nothing where the daemon ends first.
    async fn request(message: PeerRequestMessage) -> Option<PeerResponseMessage>;

    /// Takes a part of a question's body; false where there is no room.
    async fn put_chunk(key: u64, offset: u64, chunk: Bytes) -> bool;

    /// Returns the part of an answer's body at an offset.
    async fn get_chunk(key: u64, offset: u64) -> Option<Bytes>;

    /// Lets go of an answer's body that arrived whole.
    async fn release_body(key: u64);

    /// Shows that the connection still carries messages.
    async fn ping();
}

/// A question as it travels.
#[apply(message!)]
pub struct PeerRequestMessage {
    /// The question, without its body where that was put in parts.
    pub question: PeerRequest,
    /// The key of the body's parts.
    pub body_key: Option<u64>,
}

/// An answer as it travels.
#[apply(message!)]
pub struct PeerResponseMessage {
    /// The answer, without its body where that is fetched in parts.
    pub answer: PeerResponse,
    /// The parts of the body.
    pub chunked_body: Option<ChunkedBody>,
}

/// A body that is fetched in parts.
#[apply(value!)]
pub struct ChunkedBody {
    /// The key of the parts.
    pub key: u64,
    /// The length of the whole body.
    pub body_bytes: u64,
}

/// What bounds the links to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// The greatest body of a request or answer.
    pub body_bytes_max: usize,
    /// The time to make a connection.
    pub connect_timeout: Duration,
    /// The time without any answer, while one is due, after which the link is asked for a sign.
    pub ping_after: Duration,
    /// The time for that sign; a link without it is replaced.
    pub ping_timeout: Duration,
    /// The links open at once; the one unused for longest is closed for a new one.
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
    links: Mutex<SortedMap<SocketAddr, Arc<Link>>>,
}

impl PeerLinks {
    /// Makes an empty set of links.
    pub fn new(limits: PeerLimits) -> Self {
        Self {
            limits,
            links: Mutex::default(),
        }
    }

    /// Returns the link to an address, making it where there is none.
    fn link(&self, to: SocketAddr) -> Arc<Link> {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(&to) {
            link.touch();
            return Arc::clone(link);
        }
        if links.len() >= self.limits.links_max {
            close_least_recently_used(&mut links);
        }
        let link = Arc::new(Link::new(to, self.limits));
        links.insert(to, Arc::clone(&link));
        link
    }
}

fn close_least_recently_used(links: &mut SortedMap<SocketAddr, Arc<Link>>) {
    let mut least: Option<(Instant, SocketAddr)> = None;
    for (address, link) in links.iter() {
        if link.is_waiting() {
            continue;
        }
        let used = link.last_used();
        if least.is_none_or(|(oldest, _)| used < oldest) {
            least = Some((used, *address));
        }
    }
    if let Some((_, address)) = least {
        links.remove(&address);
    }
}

impl PeerLink for PeerLinks {
    fn request(
        &self,
        to: SocketAddr,
        question: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<PeerResponse, LinkError>> {
        let link = self.link(to);
        Box::pin(async move { link.request(question, timeout).await })
    }
}

/// The frames of a connection between daemons; its buffers grow with what it carries.
fn frames(stream: TcpStream, body_bytes_max: usize) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(body_bytes_max + FRAME_OVERHEAD_BYTES)
        .new_codec();
    let mut framed = Framed::with_capacity(stream, codec, BUFFER_BYTES);
    framed.set_backpressure_boundary(FLUSH_BYTES);
    framed
}

/// The room for bodies in parts, as a multiple of the greatest body.
const CHUNKED_BODIES_MAX: usize = 8;

/// The listener for other daemons.
#[derive(Clone)]
pub struct PeerServer {
    node: Arc<Node>,
    body_bytes_max: usize,
    chunks: Arc<Mutex<ChunkStore>>,
}

impl PeerServer {
    /// Makes the host of a node's listener.
    pub fn new(node: Arc<Node>, body_bytes_max: usize) -> Self {
        Self {
            node,
            body_bytes_max,
            chunks: Arc::default(),
        }
    }

    /// Accepts connections of other daemons until the task is ended.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let framed = frames(stream, self.body_bytes_max);
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

    fn chunked_bytes_max(&self) -> usize {
        self.body_bytes_max.saturating_mul(CHUNKED_BODIES_MAX)
    }

    /// Puts the body of a question together again.
    fn join_request(&self, asked: PeerRequestMessage) -> Option<PeerRequest> {
        let mut question = asked.question;
        let Some(key) = asked.body_key else {
            return Some(question);
        };
        let body = lock(&self.chunks).take(key)?;
        *chunks::request_body(&mut question)? = body;
        Some(question)
    }

    /// Holds a large body back for the asker to fetch in parts; without room it goes whole.
    fn split_response(&self, mut answer: PeerResponse) -> PeerResponseMessage {
        let Some(body) = chunks::detach(chunks::response_body(&mut answer)) else {
            return PeerResponseMessage {
                answer,
                chunked_body: None,
            };
        };
        let key = rand::rng().next_u64();
        if lock(&self.chunks).hold(key, &body, self.chunked_bytes_max()) {
            let body_bytes = body.len() as u64;
            return PeerResponseMessage {
                answer,
                chunked_body: Some(ChunkedBody { key, body_bytes }),
            };
        }
        if let Some(place) = chunks::response_body(&mut answer) {
            *place = body;
        }
        PeerResponseMessage {
            answer,
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
        let question = self.join_request(message)?;
        let (inbound, receiver) = self.node.open_peer_request();
        let _open = OpenPeerRequest {
            node: Arc::clone(&self.node),
            inbound,
        };
        self.node.submit(Input::PeerRequest {
            inbound,
            request: question,
        });
        let answer = receiver.await.ok()?;
        Some(self.split_response(answer))
    }

    async fn put_chunk(
        self,
        _: tarpc::context::Context,
        key: u64,
        offset: u64,
        chunk: Bytes,
    ) -> bool {
        let bytes_max = self.chunked_bytes_max();
        let Ok(offset) = usize::try_from(offset) else {
            return false;
        };
        lock(&self.chunks).append(key, offset, &chunk, bytes_max)
    }

    async fn get_chunk(self, _: tarpc::context::Context, key: u64, offset: u64) -> Option<Bytes> {
        lock(&self.chunks).chunk(key, usize::try_from(offset).ok()?)
    }

    async fn release_body(self, _: tarpc::context::Context, key: u64) {
        lock(&self.chunks).take(key);
    }

    async fn ping(self, _: tarpc::context::Context) {}
}

/// A question whose asker waits; dropped when the asker gives it up.
struct OpenPeerRequest {
    node: Arc<Node>,
    inbound: InboundKey,
}

impl Drop for OpenPeerRequest {
    fn drop(&mut self) {
        self.node.drop_peer_request(self.inbound);
    }
}
