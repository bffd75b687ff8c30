//! Bounds the memory of all response bodies that a process holds at the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bodies of unknown length may use this part of the memory for bodies of known length in addition.
const UNKNOWN_LENGTH_DIVISOR: usize = 2;

/// The memory for the bodies of all responses of a process.
///
/// A body of known length waits until there is memory for the whole of it. Bodies of unknown length,
/// which may have no end, share a part of their own: once that is used up, only bodies that are
/// smaller than an equal share may still grow. They use at most twice that part.
#[derive(Debug)]
pub struct ResponseBudget {
    /// The free memory for bodies of known length, in kilobytes.
    known: Arc<Semaphore>,
    known_kb_max: usize,
    unknown_bytes_max: usize,
    unknown_bytes: AtomicUsize,
    unknown_bodies: AtomicUsize,
}

impl ResponseBudget {
    /// Creates a budget with this memory for bodies of known length.
    pub fn new(bytes_max: usize) -> Arc<Self> {
        let known_kb_max = to_kb(bytes_max).min(Semaphore::MAX_PERMITS);
        Arc::new(Self {
            known: Arc::new(Semaphore::new(known_kb_max)),
            known_kb_max,
            unknown_bytes_max: bytes_max / UNKNOWN_LENGTH_DIVISOR,
            unknown_bytes: AtomicUsize::new(0),
            unknown_bodies: AtomicUsize::new(0),
        })
    }

    /// Waits for the memory of a body of known length; returns `None` if it is too large.
    pub async fn reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let kb = to_kb(bytes);
        if kb > self.known_kb_max {
            return None;
        }
        let kb = u32::try_from(kb).ok()?;
        let permit = Arc::clone(&self.known).acquire_many_owned(kb).await.ok()?;
        Some(BodyReservation::Known(permit))
    }

    fn begin_unknown(self: &Arc<Self>) -> UnknownLength {
        self.unknown_bodies.fetch_add(1, Ordering::Relaxed);
        UnknownLength {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// The memory of one body; it is returned to the budget on drop.
#[derive(Debug)]
pub enum BodyReservation {
    /// Of a body of known length.
    Known(OwnedSemaphorePermit),
    /// Of a body of unknown length.
    Unknown(UnknownLength),
}

impl BodyReservation {
    /// Returns a complete body that returns its memory to the budget once it is dropped.
    pub fn hold(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(HeldBody {
            body,
            _reservation: self,
        })
    }
}

/// The memory of a body of unknown length.
#[derive(Debug)]
pub struct UnknownLength {
    budget: Arc<ResponseBudget>,
    bytes: usize,
}

impl UnknownLength {
    /// Reserves memory for more bytes of the body; returns false if the body must end here.
    fn grow(&mut self, bytes: usize) -> bool {
        let budget = &self.budget;
        let used = budget.unknown_bytes.load(Ordering::Relaxed) + bytes;
        let grown = self.bytes + bytes;
        let bodies = budget.unknown_bodies.load(Ordering::Relaxed).max(1);
        if used > budget.unknown_bytes_max && grown > budget.unknown_bytes_max / bodies {
            return false;
        }
        budget.unknown_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes = grown;
        true
    }
}

impl Drop for UnknownLength {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget
            .unknown_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
        budget.unknown_bodies.fetch_sub(1, Ordering::Relaxed);
    }
}

struct HeldBody {
    body: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Reads a whole body; returns `None`, with a log line if memory is the cause, if it is incomplete,
/// larger than `bytes_max` or too large for the budget.
pub async fn read_body(
    body: Incoming,
    budget: &Arc<ResponseBudget>,
    bytes_max: usize,
) -> Option<Bytes> {
    match body.size_hint().exact() {
        Some(length) => read_known(body, budget, bytes_max, length).await,
        None => read_unknown(body, budget, bytes_max).await,
    }
}

async fn read_known(
    mut body: Incoming,
    budget: &Arc<ResponseBudget>,
    bytes_max: usize,
    length: u64,
) -> Option<Bytes> {
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    let reservation = match length <= bytes_max {
        true => budget.reserve(length).await,
        false => None,
    };
    let Some(reservation) = reservation else {
        log::warn!(target: "dragonflylug", "gave up a response whose body has {length} bytes: too large");
        return None;
    };
    let mut whole = BytesMut::with_capacity(length);
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame.ok()?.into_data() {
            whole.extend_from_slice(&part);
        }
    }
    Some(reservation.hold(whole.freeze()))
}

async fn read_unknown(
    mut body: Incoming,
    budget: &Arc<ResponseBudget>,
    bytes_max: usize,
) -> Option<Bytes> {
    let mut reservation = budget.begin_unknown();
    let mut parts: Vec<Bytes> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.ok()?.into_data() else {
            continue;
        };
        let grown = reservation.bytes + part.len();
        if grown > bytes_max || !reservation.grow(part.len()) {
            log::warn!(target: "dragonflylug", "gave up a response of unknown length after {} bytes", reservation.bytes);
            return None;
        }
        parts.push(part);
    }
    let whole = match parts.len() {
        1 => parts.remove(0),
        _ => parts.concat().into(),
    };
    Some(BodyReservation::Unknown(reservation).hold(whole))
}

fn to_kb(bytes: usize) -> usize {
    bytes.div_ceil(1_024)
}
