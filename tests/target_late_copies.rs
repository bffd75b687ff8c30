//! A target writes a second copy of an earlier answer, late, on a connection that is in use again.

use std::net::SocketAddr;
use std::time::Duration;

use dragonflylug::headers;
use dragonflylug::host::send_permit::SendPermit;
use dragonflylug::host::target::TargetClient;
use dragonflylug::host::{TargetRequest, TargetTransport};
use dragonflylug::ids::RequestId;
use dragonflylug::kernel::TargetOutcome;
use dragonflylug::request::{Header, HttpRequest};
use dragonflylug::target::Announcement;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The number of requests that are sent one after the other.
const REQUESTS: u64 = 6;

/// The time for an answer, and for the wait until a request is sent.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Answers the first request of a connection, and each later one with the answer to the one before
/// ahead of its own.
async fn serve(mut stream: TcpStream) -> Option<()> {
    let mut previous = Vec::new();
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).ok()?;
        let id = header_value(&head, headers::REQUEST)?;
        let (name, bytes) = (headers::REQUEST, id.len());
        let answer =
            format!("HTTP/1.1 200 OK\r\n{name}: {id}\r\ncontent-length: {bytes}\r\n\r\n{id}");
        stream.write_all(&previous).await.ok()?;
        stream.write_all(answer.as_bytes()).await.ok()?;
        previous = answer.into_bytes();
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream));
        }
    });
    address
}

fn request(id: &str) -> TargetRequest {
    let header = Header {
        name: headers::REQUEST.to_string(),
        value: id.to_string(),
    };
    TargetRequest {
        http: HttpRequest {
            method: "GET".to_string(),
            path: "/".to_string(),
            headers: vec![header],
            body: Default::default(),
        },
        is_idempotent: true,
        timeout: TIMEOUT,
        permit: SendPermit::new(TIMEOUT),
    }
}

/// Guards against an answer to another request, where the target names the request in its answers.
#[tokio::test]
async fn late_copy_of_an_answer_answers_no_other_request() {
    let target = TargetClient::default();
    target.record_announcement(Announcement {
        service: "bookings".into(),
        address: start_target().await,
        slots: 4,
        connections: 16,
        is_draining: false,
        instance: None,
        started_at_ms: None,
    });
    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = headers::format_request_id(RequestId(number));
        match target.send(request(&id)).await.outcome {
            TargetOutcome::Answered(answer) => {
                assert_eq!(answer.body, id.as_bytes(), "the answer to another request");
                answered += 1;
            }
            outcome => assert_eq!(outcome, TargetOutcome::Lost),
        }
    }
    assert_eq!(
        answered,
        REQUESTS / 2,
        "each second request has a new connection"
    );
}
