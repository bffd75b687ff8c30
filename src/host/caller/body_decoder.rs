//! Decodes the body of an HTTP/1 request from the bytes of a connection.

use bytes::{Buf, Bytes, BytesMut};

use super::message_head::{BodyLength, HEAD_BYTES_MAX};
use crate::host::http::Rejection;
use crate::verdict::RefusalReason;

/// The maximum length of a line that gives the size of a chunk, extensions included.
const CHUNK_LINE_BYTES_MAX: usize = 1_024;

/// The incremental decoder of one body.
#[derive(Debug)]
pub struct BodyDecoder {
    step: Step,
    body: BytesMut,
    body_bytes_max: usize,
    trailer_bytes: usize,
}

/// What the decoder reads next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Fixed { left: u64 },
    ChunkSize,
    ChunkData { left: u64 },
    ChunkEnd,
    Trailers,
}

impl BodyDecoder {
    /// Creates the decoder of a body of at most `body_bytes_max` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the declared length is larger.
    pub fn new(length: BodyLength, body_bytes_max: usize) -> Result<Self, Rejection> {
        let step = match length {
            BodyLength::Known(left) if left > body_bytes_max as u64 => {
                return Err(body_too_large(body_bytes_max));
            }
            BodyLength::Known(left) => Step::Fixed { left },
            BodyLength::Chunked => Step::ChunkSize,
        };
        Ok(Self {
            step,
            body: BytesMut::new(),
            body_bytes_max,
            trailer_bytes: 0,
        })
    }

    /// Removes the next bytes of the body from the buffer; returns the body once it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large or its chunks are malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Rejection> {
        loop {
            match self.step {
                Step::Fixed { left } => {
                    let left = self.take_bytes(buffer, left);
                    self.step = Step::Fixed { left };
                    return Ok((left == 0).then(|| self.take_body()));
                }
                Step::ChunkSize => {
                    let Some(chunk_bytes) = take_chunk_size(buffer)? else {
                        return Ok(None);
                    };
                    self.begin_chunk(chunk_bytes)?;
                }
                Step::ChunkData { left } => {
                    let left = self.take_bytes(buffer, left);
                    if left > 0 {
                        self.step = Step::ChunkData { left };
                        return Ok(None);
                    }
                    self.step = Step::ChunkEnd;
                }
                Step::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(Rejection::new("a chunk is longer than its size"));
                    }
                    buffer.advance(2);
                    self.step = Step::ChunkSize;
                }
                Step::Trailers => {
                    let Some(is_end) = self.skip_trailer(buffer)? else {
                        return Ok(None);
                    };
                    if is_end {
                        return Ok(Some(self.take_body()));
                    }
                }
            }
        }
    }

    fn begin_chunk(&mut self, chunk_bytes: u64) -> Result<(), Rejection> {
        if chunk_bytes == 0 {
            self.step = Step::Trailers;
            return Ok(());
        }
        let room = self.body_bytes_max.saturating_sub(self.body.len()) as u64;
        if chunk_bytes > room {
            return Err(body_too_large(self.body_bytes_max));
        }
        self.step = Step::ChunkData { left: chunk_bytes };
        Ok(())
    }

    /// Moves at most `left` bytes to the body and returns how many are still missing.
    fn take_bytes(&mut self, buffer: &mut BytesMut, left: u64) -> u64 {
        let count = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        self.body.extend_from_slice(&buffer[..count]);
        buffer.advance(count);
        left - count as u64
    }

    /// Removes a trailer line; returns whether it was the empty last one, or `None` if it is not
    /// complete.
    fn skip_trailer(&mut self, buffer: &mut BytesMut) -> Result<Option<bool>, Rejection> {
        let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
            return match self.trailer_bytes + buffer.len() > HEAD_BYTES_MAX {
                true => Err(Rejection::new("the trailers are too large")),
                false => Ok(None),
            };
        };
        let is_end = matches!(&buffer[..end], b"" | b"\r");
        buffer.advance(end + 1);
        self.trailer_bytes += end + 1;
        Ok(Some(is_end))
    }

    fn take_body(&mut self) -> Bytes {
        std::mem::take(&mut self.body).freeze()
    }
}

fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, Rejection> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((line_bytes, chunk_bytes))) => {
            buffer.advance(line_bytes);
            Ok(Some(chunk_bytes))
        }
        Ok(httparse::Status::Partial) if buffer.len() < CHUNK_LINE_BYTES_MAX => Ok(None),
        _ => Err(Rejection::new("malformed chunk size")),
    }
}

fn body_too_large(body_bytes_max: usize) -> Rejection {
    Rejection {
        status: 413,
        reason: RefusalReason::TooLarge,
        message: format!("the body may have at most {body_bytes_max} bytes"),
    }
}
