//! Large bodies in parts, so that small messages on the same link pass between them.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use crate::verdict::Verdict;

/// The greatest body that travels inside its message, and the size of a part.
pub(super) const CHUNK_BYTES: usize = 32 * 1024;

/// The time for which a body is held for the other side.
const HOLD: Duration = Duration::from_secs(30);

/// Bodies that are sent or received in parts.
#[derive(Default)]
pub(super) struct ChunkStore {
    bodies: SortedMap<u64, HeldBody>,
    held_bytes: usize,
}

struct HeldBody {
    body: BytesMut,
    since: Instant,
}

impl ChunkStore {
    /// Holds a body for the other side to fetch; fails where the store is full.
    pub(super) fn hold(&mut self, key: u64, body: &[u8], bytes_max: usize) -> bool {
        self.append(key, 0, body, bytes_max)
    }

    /// Adds a part at an offset; a part that was added before is taken as it stands.
    pub(super) fn append(
        &mut self,
        key: u64,
        offset: usize,
        part: &[u8],
        bytes_max: usize,
    ) -> bool {
        self.drop_old();
        if self.held_bytes + part.len() > bytes_max {
            return false;
        }
        let now = Instant::now();
        let make = || HeldBody {
            body: BytesMut::new(),
            since: now,
        };
        let held = self.bodies.get_or_insert_with(key, make);
        held.since = now;
        if offset < held.body.len() {
            return true;
        }
        if offset > held.body.len() {
            return false;
        }
        held.body.extend_from_slice(part);
        self.held_bytes += part.len();
        true
    }

    /// Returns the part at an offset.
    pub(super) fn chunk(&mut self, key: u64, offset: usize) -> Option<Bytes> {
        let held = self.bodies.get_mut(&key)?;
        held.since = Instant::now();
        let end = held.body.len().min(offset + CHUNK_BYTES);
        let part = held.body.get(offset..end)?;
        Some(Bytes::copy_from_slice(part))
    }

    /// Takes a whole body out.
    pub(super) fn take(&mut self, key: u64) -> Option<Bytes> {
        let held = self.bodies.remove(&key)?;
        self.held_bytes -= held.body.len();
        Some(held.body.freeze())
    }

    fn drop_old(&mut self) {
        let mut dropped_bytes = 0;
        self.bodies.retain(|_, held| {
            let keep = held.since.elapsed() < HOLD;
            if !keep {
                dropped_bytes += held.body.len();
            }
            keep
        });
        self.held_bytes -= dropped_bytes;
    }
}

/// Returns the body of a question, where it has one.
pub(super) fn request_body(question: &mut PeerRequest) -> Option<&mut Bytes> {
    match question {
        PeerRequest::Call(call) => Some(&mut call.http.body),
        _ => None,
    }
}

/// Returns the body of an answer, where it has one.
pub(super) fn response_body(answer: &mut PeerResponse) -> Option<&mut Bytes> {
    let PeerResponse::Call(reply) = answer else {
        return None;
    };
    match &mut reply.verdict {
        Verdict::Ran(answer) => Some(&mut answer.body),
        _ => None,
    }
}

/// Takes a body out of its message if it is too large to travel inside.
pub(super) fn detach(body: Option<&mut Bytes>) -> Option<Bytes> {
    let body = body?;
    if body.len() <= CHUNK_BYTES {
        return None;
    }
    Some(std::mem::take(body))
}
