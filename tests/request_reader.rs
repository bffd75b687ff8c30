//! Reading requests from the bytes of a connection: whole, in parts, and from bytes that are no
//! requests.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dragonflylug::host::caller::request_reader::{
    BodyLimits, ReadEvent, RequestReader, to_kilobytes,
};
use proptest::prelude::*;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::Semaphore;

const BODY_BYTES_MAX: usize = 100_000;
const BODIES_BYTES_MAX: usize = 4 * 1_024 * 1_024;

/// A stream that yields its parts one after the other and then ends.
struct Parts(std::vec::IntoIter<Vec<u8>>);

impl AsyncRead for Parts {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if let Some(part) = self.0.next() {
            assert!(buffer.remaining() >= part.len());
            buffer.put_slice(&part);
        }
        Poll::Ready(Ok(()))
    }
}

/// What was read until the end of the stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct ReadAll {
    requests: Vec<(String, Bytes)>,
    rejected_status: Option<u16>,
}

fn read_all(bytes: &[u8], part_bytes: usize) -> ReadAll {
    let parts: Vec<Vec<u8>> = bytes.chunks(part_bytes).map(<[u8]>::to_vec).collect();
    let memory = Arc::new(Semaphore::new(to_kilobytes(BODIES_BYTES_MAX)));
    let limits = BodyLimits {
        body_bytes_max: BODY_BYTES_MAX,
        memory: Arc::clone(&memory),
        timeout: Duration::from_secs(1),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let read = runtime.block_on(async {
        let mut reader = RequestReader::new(Parts(parts.into_iter()), limits);
        let mut read = ReadAll::default();
        loop {
            match reader.next(None).await {
                ReadEvent::Request(request) => {
                    let target = request.parts.uri.to_string();
                    read.requests.push((target, request.body));
                }
                ReadEvent::ExpectsContinue => {}
                ReadEvent::Invalid(rejection) => {
                    read.rejected_status = Some(rejection.status);
                    return read;
                }
                ReadEvent::Closed => return read,
            }
        }
    });
    assert_eq!(
        memory.available_permits(),
        to_kilobytes(BODIES_BYTES_MAX),
        "memory of bodies is not released"
    );
    read
}

/// A body as a caller sends it.
#[derive(Clone, Debug)]
enum SentBody {
    None,
    WithLength(Vec<u8>),
    Chunked(Vec<Vec<u8>>),
}

fn sent_body() -> impl Strategy<Value = SentBody> {
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    let chunk = prop::collection::vec(any::<u8>(), 1..100);
    prop_oneof![
        Just(SentBody::None),
        bytes.prop_map(SentBody::WithLength),
        prop::collection::vec(chunk, 0..5).prop_map(SentBody::Chunked),
    ]
}

/// Appends a request to `bytes` and returns its body.
fn encode(number: usize, sent: &SentBody, bytes: &mut Vec<u8>) -> Bytes {
    bytes.extend(format!("POST /{number} HTTP/1.1\r\nhost: h\r\n").bytes());
    match sent {
        SentBody::None => {
            bytes.extend(b"\r\n");
            Bytes::new()
        }
        SentBody::WithLength(body) => {
            bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(body);
            Bytes::from(body.clone())
        }
        SentBody::Chunked(chunks) => {
            bytes.extend(b"transfer-encoding: chunked\r\n\r\n");
            for chunk in chunks {
                bytes.extend(format!("{:x};extension\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\nx-trailer: 1\r\n\r\n");
            Bytes::from(chunks.concat())
        }
    }
}

proptest! {
    #[test]
    fn requests_are_read_whole_however_the_bytes_are_split(
        bodies in prop::collection::vec(sent_body(), 1..6),
        part_bytes in 1_usize..600,
    ) {
        let mut bytes = Vec::new();
        let mut expected = ReadAll::default();
        for (number, sent) in bodies.iter().enumerate() {
            let body = encode(number, sent, &mut bytes);
            expected.requests.push((format!("/{number}"), body));
        }
        prop_assert_eq!(read_all(&bytes, part_bytes), expected);
    }

    #[test]
    fn random_bytes_are_rejected_or_left_unread(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000),
        part_bytes in 1_usize..600,
    ) {
        let read = read_all(&bytes, part_bytes);
        prop_assert!(matches!(read.rejected_status, None | Some(400 | 413 | 431)));
    }

    #[test]
    fn changed_bytes_do_not_fail_the_reader(
        bodies in prop::collection::vec(sent_body(), 1..4),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        part_bytes in 1_usize..600,
    ) {
        let mut bytes = Vec::new();
        for (number, sent) in bodies.iter().enumerate() {
            encode(number, sent, &mut bytes);
        }
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        let read = read_all(&bytes, part_bytes);
        prop_assert!(matches!(read.rejected_status, None | Some(400 | 413 | 431 | 503)));
    }
}

fn check_rejected(head: &str, status: u16) {
    let read = read_all(format!("{head}\r\n\r\nabc").as_bytes(), 100);
    assert_eq!(read.rejected_status, Some(status), "{head}");
    assert!(read.requests.is_empty(), "{head}");
}

#[test]
fn heads_that_are_ambiguous_about_their_body_are_rejected() {
    let heads = [
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked",
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 2",
        "POST / HTTP/1.1\r\ncontent-length: +3",
        "POST / HTTP/1.1\r\ncontent-length: 3, 3",
        "POST / HTTP/1.1\r\ncontent-length:",
        "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "POST / HTTP/1.0\r\ntransfer-encoding: chunked",
        "POST / HTTP/1.1\r\ncontent-length : 3",
    ];
    for head in heads {
        check_rejected(head, 400);
    }
}

#[test]
fn heads_and_bodies_above_their_limit_are_rejected() {
    let long = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(70_000));
    check_rejected(&long, 431);
    let many = "x: y\r\n".repeat(101);
    check_rejected(&format!("GET / HTTP/1.1\r\n{}", many.trim_end()), 431);
    check_rejected("POST / HTTP/1.1\r\ncontent-length: 100001", 413);
    let chunked = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n186a1";
    check_rejected(chunked, 413);
}
