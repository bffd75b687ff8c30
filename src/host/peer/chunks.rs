//! Large bodies in chunks, so that small messages on the same link can pass between the chunks.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use crate::verdict::Verdict;

/// The maximum size of a body that travels inside its message, and the size of a chunk.
pub(super) const CHUNK_BYTES: usize = 32 * 1024;

/// How long a body is kept without access; expired bodies are dropped when the next chunk or body
/// is stored.
const BODY_TTL: Duration = Duration::from_secs(30);

/// The bodies that are being sent or received in chunks.
#[derive(Default)]
pub(super) struct ChunkStore {
    bodies: SortedMap<u64, StoredBody>,
    total_bytes: usize,
}

struct StoredBody {
    body: BodyBytes,
    last_access: Instant,
}

enum BodyBytes {
    /// A body that the other side fetches.
    Whole(Bytes),
    /// A body of which the other side sends one chunk after the other.
    Partial(BytesMut),
}

impl BodyBytes {
    fn len(&self) -> usize {
        match self {
            Self::Whole(body) => body.len(),
            Self::Partial(body) => body.len(),
        }
    }

    fn into_bytes(self) -> Bytes {
        match self {
            Self::Whole(body) => body,
            Self::Partial(body) => body.freeze(),
        }
    }
}

impl ChunkStore {
    /// Stores a body for the other side to fetch; returns false if the store is full.
    pub(super) fn store(&mut self, key: u64, body: Bytes, bytes_max: usize) -> bool {
        self.drop_expired();
        if self.total_bytes + body.len() > bytes_max {
            return false;
        }
        self.total_bytes += body.len();
        let stored = StoredBody {
            body: BodyBytes::Whole(body),
            last_access: Instant::now(),
        };
        self.bodies.insert(key, stored);
        true
    }

    /// Appends the chunk at an offset and returns whether the body has it now.
    ///
    /// A chunk at an offset that is already stored is ignored. Returns false if the store is full
    /// or the chunk before it is missing.
    pub(super) fn append(
        &mut self,
        key: u64,
        offset: usize,
        chunk: &[u8],
        bytes_max: usize,
    ) -> bool {
        self.drop_expired();
        if self.total_bytes + chunk.len() > bytes_max {
            return false;
        }
        let now = Instant::now();
        let new_body = || StoredBody {
            body: BodyBytes::Partial(BytesMut::new()),
            last_access: now,
        };
        let stored = self.bodies.get_or_insert_with(key, new_body);
        stored.last_access = now;
        if offset < stored.body.len() {
            return true;
        }
        if offset > stored.body.len() {
            return false;
        }
        let BodyBytes::Partial(body) = &mut stored.body else {
            return false;
        };
        body.extend_from_slice(chunk);
        self.total_bytes += chunk.len();
        true
    }

    /// Returns the chunk at an offset.
    pub(super) fn chunk(&mut self, key: u64, offset: usize) -> Option<Bytes> {
        let stored = self.bodies.get_mut(&key)?;
        stored.last_access = Instant::now();
        let end = stored.body.len().min(offset + CHUNK_BYTES);
        let BodyBytes::Whole(body) = &stored.body else {
            return None;
        };
        (offset <= end).then(|| body.slice(offset..end))
    }

    /// Removes and returns a whole body.
    pub(super) fn remove(&mut self, key: u64) -> Option<Bytes> {
        let stored = self.bodies.remove(&key)?;
        self.total_bytes -= stored.body.len();
        Some(stored.body.into_bytes())
    }

    fn drop_expired(&mut self) {
        let mut dropped_bytes = 0;
        self.bodies.retain(|_, stored| {
            let is_kept = stored.last_access.elapsed() < BODY_TTL;
            if !is_kept {
                dropped_bytes += stored.body.len();
            }
            is_kept
        });
        self.total_bytes -= dropped_bytes;
    }
}

/// Returns the body of a request, if it has one.
pub(super) fn request_body(request: &mut PeerRequest) -> Option<&mut Bytes> {
    match request {
        PeerRequest::Call(call) => Some(&mut call.http.body),
        _ => None,
    }
}

/// Returns the body of a response, if it has one.
pub(super) fn response_body(response: &mut PeerResponse) -> Option<&mut Bytes> {
    let PeerResponse::Call(reply) = response else {
        return None;
    };
    match &mut reply.verdict {
        Verdict::Ran(answer) => Some(&mut answer.body),
        _ => None,
    }
}

/// Removes a body from its message if it is too large to travel inside.
pub(super) fn detach(body: Option<&mut Bytes>) -> Option<Bytes> {
    let body = body?;
    if body.len() <= CHUNK_BYTES {
        return None;
    }
    Some(std::mem::take(body))
}
