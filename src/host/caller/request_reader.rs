//! Reads requests, one after the other, from the bytes of a connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::http::request::Parts;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::body_decoder::BodyDecoder;
use super::message_head::{BodyLength, MessageHead};
use crate::host::http::Rejection;
use crate::verdict::RefusalReason;

/// The free space in the buffer before each read.
const READ_BYTES: usize = 4 * 1_024;

/// The maximum number of bytes that are read ahead while no request may be taken, to notice that the
/// caller closed the connection.
const READ_AHEAD_BYTES_MAX: usize = 16 * 1_024;

/// The size that is reserved for a body whose length is not declared.
const UNKNOWN_BODY_BYTES: u64 = 1_024 * 1_024;

/// The limits of request bodies.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// The maximum size of one body.
    pub body_bytes_max: usize,
    /// The memory for the bodies of all connections; a permit is a kilobyte.
    pub memory: Arc<Semaphore>,
    /// How long to wait for a whole body.
    pub timeout: Duration,
}

/// A request that was read completely.
#[derive(Debug)]
pub struct ReadRequest {
    /// The method, the URI and the headers.
    pub parts: Parts,
    /// The body.
    pub body: Bytes,
    /// Whether the caller keeps the connection open after the response.
    pub keeps_alive: bool,
    /// The memory that the body uses.
    pub reservation: OwnedSemaphorePermit,
}

/// What was read from a connection.
#[derive(Debug)]
pub enum ReadEvent {
    /// A request.
    Request(Box<ReadRequest>),
    /// A head whose caller sends the body only after an interim response.
    ExpectsContinue,
    /// Something that is not a valid request. Nothing can be read after it.
    Invalid(Rejection),
    /// The caller closed the connection, or it failed.
    Closed,
}

/// The reader of one connection.
pub struct RequestReader<R> {
    stream: R,
    buffer: BytesMut,
    limits: BodyLimits,
    body: Option<BodyInProgress>,
}

/// A request whose head was read and whose body is not complete.
struct BodyInProgress {
    head: MessageHead,
    decoder: BodyDecoder,
    reservation: OwnedSemaphorePermit,
    deadline: Instant,
}

impl<R: AsyncRead + Unpin> RequestReader<R> {
    /// Creates the reader of a new connection.
    pub fn new(stream: R, limits: BodyLimits) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            limits,
            body: None,
        }
    }

    /// Returns whether no part of a request has been read.
    pub fn is_idle(&self) -> bool {
        self.body.is_none() && self.buffer.is_empty()
    }

    /// Reads the next request. Dropping the future loses nothing.
    ///
    /// `head_deadline` is the time until which a whole head must have been read, if there is one.
    pub async fn next(&mut self, head_deadline: Option<Instant>) -> ReadEvent {
        loop {
            match self.take_event() {
                Ok(Some(event)) => return event,
                Ok(None) => {}
                Err(rejection) => return ReadEvent::Invalid(rejection),
            }
            let body_deadline = self.body.as_ref().map(|body| body.deadline);
            let is_open = match body_deadline.or(head_deadline) {
                None => Ok(self.fill().await),
                Some(deadline) => tokio::time::timeout_at(deadline, self.fill()).await,
            };
            match is_open {
                Ok(true) => {}
                Err(_) if body_deadline.is_some() => {
                    let rejection = Rejection::new("the body did not arrive in time");
                    return ReadEvent::Invalid(rejection);
                }
                Ok(false) | Err(_) => return ReadEvent::Closed,
            }
        }
    }

    /// Waits until the caller closes the connection. Sees that only while less than
    /// `READ_AHEAD_BYTES_MAX` bytes are waiting. Dropping the future loses nothing.
    pub async fn closed(&mut self) {
        while self.buffer.len() < READ_AHEAD_BYTES_MAX {
            if !self.fill().await {
                return;
            }
        }
        std::future::pending().await
    }

    /// Reads and discards everything until the caller closes the connection.
    pub async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            if !self.fill().await {
                return;
            }
        }
    }

    /// Reads more bytes; returns false at the end of the stream or on an error.
    async fn fill(&mut self) -> bool {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(count) => count > 0,
            Err(error) => {
                log::debug!(target: "dragonflylug", "reading from a caller failed: {error}");
                false
            }
        }
    }

    fn take_event(&mut self) -> Result<Option<ReadEvent>, Rejection> {
        if self.body.is_none() {
            let Some(head) = MessageHead::take(&mut self.buffer)? else {
                return Ok(None);
            };
            let expects_continue = head.expects_continue && self.buffer.is_empty();
            self.body = Some(self.begin_body(head)?);
            if expects_continue {
                return Ok(Some(ReadEvent::ExpectsContinue));
            }
        }
        let Some(mut progress) = self.body.take() else {
            return Ok(None);
        };
        let Some(body) = progress.decoder.decode(&mut self.buffer)? else {
            self.body = Some(progress);
            return Ok(None);
        };
        self.release_empty_buffer();
        Ok(Some(ReadEvent::Request(Box::new(ReadRequest {
            parts: progress.head.parts,
            body,
            keeps_alive: progress.head.keeps_alive,
            reservation: progress.reservation,
        }))))
    }

    fn begin_body(&self, head: MessageHead) -> Result<BodyInProgress, Rejection> {
        let decoder = BodyDecoder::new(head.body, self.limits.body_bytes_max)?;
        let expected_bytes = match head.body {
            BodyLength::Known(length) => length,
            BodyLength::Chunked => UNKNOWN_BODY_BYTES,
        };
        Ok(BodyInProgress {
            decoder,
            reservation: self.reserve(expected_bytes)?,
            deadline: Instant::now() + self.limits.timeout,
            head,
        })
    }

    /// Reserves memory for a body.
    ///
    /// Fails with 503 and the reason `too_large` if the bodies in memory are at their limit.
    fn reserve(&self, expected_bytes: u64) -> Result<OwnedSemaphorePermit, Rejection> {
        let expected_bytes = usize::try_from(expected_bytes).unwrap_or(usize::MAX);
        let reserved_bytes = expected_bytes.min(self.limits.body_bytes_max);
        let permits = u32::try_from(to_kilobytes(reserved_bytes)).unwrap_or(u32::MAX);
        let reservation = Arc::clone(&self.limits.memory).try_acquire_many_owned(permits);
        reservation.map_err(|_| Rejection {
            status: 503,
            reason: RefusalReason::TooLarge,
            message: "too many request bodies in memory".into(),
        })
    }

    /// Frees the memory of an empty buffer, as most connections are idle most of the time.
    fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }
}

/// Returns the number of kilobytes that hold a number of bytes.
pub fn to_kilobytes(bytes: usize) -> usize {
    bytes.div_ceil(1_024)
}
