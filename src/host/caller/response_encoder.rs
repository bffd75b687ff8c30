//! Encodes the head of an HTTP/1 response.

use bytes::{BufMut, Bytes, BytesMut};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

/// The interim response that asks for a request's body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The header that tells a caller how long it may keep an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The headers that are set for the connection itself.
const CONNECTION_HEADERS: [HeaderName; 4] =
    [CONNECTION, CONTENT_LENGTH, KEEP_ALIVE, TRANSFER_ENCODING];

/// The space that is reserved for a head.
const HEAD_BYTES: usize = 512;

/// What a response says of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection closes after the response.
    Close,
    /// The connection stays open, for the time in the `keep-alive` value if there is one.
    KeepAlive(Option<HeaderValue>),
}

/// Encodes the head of a response. The response to a `HEAD` request gives no length, since its body
/// is not known.
pub fn encode_head(
    response: &Response<Bytes>,
    is_head_request: bool,
    persistence: &Persistence,
) -> BytesMut {
    let status = response.status();
    let mut head = BytesMut::with_capacity(HEAD_BYTES);
    head.put_slice(b"HTTP/1.1 ");
    head.put_slice(status.as_str().as_bytes());
    head.put_u8(b' ');
    head.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    head.put_slice(b"\r\n");
    for (name, value) in response.headers() {
        if CONNECTION_HEADERS.contains(name) {
            continue;
        }
        put_header(&mut head, name, value.as_bytes());
    }
    if may_have_body(status) && !is_head_request {
        let length = response.body().len().to_string();
        put_header(&mut head, &CONTENT_LENGTH, length.as_bytes());
    }
    match persistence {
        Persistence::Close => put_header(&mut head, &CONNECTION, b"close"),
        Persistence::KeepAlive(Some(value)) => put_header(&mut head, &KEEP_ALIVE, value.as_bytes()),
        Persistence::KeepAlive(None) => {}
    }
    head.put_slice(b"\r\n");
    head
}

/// Returns whether a response with the status can have a body.
pub fn may_have_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn put_header(head: &mut BytesMut, name: &HeaderName, value: &[u8]) {
    head.put_slice(name.as_str().as_bytes());
    head.put_slice(b": ");
    head.put_slice(value);
    head.put_slice(b"\r\n");
}
