//! Parses the head of an HTTP/1 request.

use bytes::{Buf, BytesMut};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Version};

use crate::host::http::Rejection;
use crate::verdict::RefusalReason;

/// The maximum size of a request head.
pub const HEAD_BYTES_MAX: usize = 64 * 1024;

/// The maximum number of headers of a request.
const HEADERS_MAX: usize = 100;

/// The head of a request, and what it says of the body and of the connection.
#[derive(Debug)]
pub struct MessageHead {
    /// The method, the URI and the headers.
    pub parts: Parts,
    /// How the end of the body is found.
    pub body: BodyLength,
    /// Whether the caller keeps the connection open after the response.
    pub keeps_alive: bool,
    /// Whether the caller sends the body only after an interim response.
    pub expects_continue: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this many bytes.
    Known(u64),
    /// The body is sent in chunks.
    Chunked,
}

impl MessageHead {
    /// Removes a complete head from the start of the buffer; returns `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, too large, or ambiguous about the end of its body.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, Rejection> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let head_bytes = match request.parse(buffer) {
            Ok(httparse::Status::Complete(head_bytes)) if head_bytes <= HEAD_BYTES_MAX => {
                head_bytes
            }
            Ok(httparse::Status::Partial) if buffer.len() < HEAD_BYTES_MAX => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(head_too_large()),
            Err(error) => return Err(Rejection::new(format!("malformed request head: {error}"))),
        };
        let head = Self::from_parsed(&request)?;
        buffer.advance(head_bytes);
        Ok(Some(head))
    }

    fn from_parsed(request: &httparse::Request<'_, '_>) -> Result<Self, Rejection> {
        let parts = to_parts(request)?;
        let body = body_length(&parts)?;
        let expects = parts.headers.get(EXPECT);
        let expects_continue =
            expects.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
        let is_current = parts.version == Version::HTTP_11;
        Ok(Self {
            keeps_alive: is_current && !lists_close(&parts.headers),
            expects_continue: is_current && expects_continue && body != BodyLength::Known(0),
            parts,
            body,
        })
    }
}

fn head_too_large() -> Rejection {
    Rejection {
        status: 431,
        reason: RefusalReason::TooLarge,
        message: format!(
            "a head may have at most {HEAD_BYTES_MAX} bytes and {HEADERS_MAX} headers"
        ),
    }
}

fn to_parts(request: &httparse::Request<'_, '_>) -> Result<Parts, Rejection> {
    let method = Method::from_bytes(request.method.unwrap_or_default().as_bytes());
    let method = method.map_err(|_| Rejection::new("malformed method"))?;
    let version = match request.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    let mut parsed = Request::builder()
        .method(method)
        .version(version)
        .uri(request.path.unwrap_or_default())
        .body(())
        .map_err(|_| Rejection::new("malformed request target"))?;
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(header.value)) else {
            return Err(Rejection::new("malformed header"));
        };
        parsed.headers_mut().append(name, value);
    }
    Ok(parsed.into_parts().0)
}

/// Determines the end of the body. A head that gives more than one is rejected: two readers could
/// disagree on where the next request begins.
fn body_length(parts: &Parts) -> Result<BodyLength, Rejection> {
    let mut encodings = parts.headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = parts.headers.get_all(CONTENT_LENGTH).iter();
    let (encoding, length) = (encodings.next(), lengths.next());
    match (encoding, length) {
        (None, None) => Ok(BodyLength::Known(0)),
        (Some(encoding), None) => {
            let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || encodings.next().is_some() || parts.version != Version::HTTP_11 {
                return Err(Rejection::new("transfer-encoding must be chunked"));
            }
            Ok(BodyLength::Chunked)
        }
        (None, Some(length)) => {
            if lengths.any(|other| other != length) {
                return Err(Rejection::new("content-length has two values"));
            }
            parse_length(length).map(BodyLength::Known)
        }
        (Some(_), Some(_)) => Err(Rejection::new(
            "content-length and transfer-encoding exclude each other",
        )),
    }
}

fn parse_length(value: &HeaderValue) -> Result<u64, Rejection> {
    let text = value.to_str().unwrap_or_default();
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Rejection::new("content-length must be a number"));
    }
    let length = text.parse();
    length.map_err(|_| Rejection::new("content-length must be a number"))
}

/// Returns whether the `Connection` header says that the connection closes.
fn lists_close(headers: &HeaderMap) -> bool {
    for value in headers.get_all(CONNECTION) {
        let mut options = value.to_str().unwrap_or_default().split(',');
        if options.any(|option| option.trim().eq_ignore_ascii_case("close")) {
            return true;
        }
    }
    false
}
