//! Tests of the client library against a daemon that sends scripted replies.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dragonflylug::client::{Client, ClientRequest, ClientSettings, RequestOutcome};
use dragonflylug::headers;
use dragonflylug::ids::ServiceName;
use dragonflylug::verdict::{DoubtReason, RefusalReason, Verdict};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The reaction of the daemon to one request.
#[derive(Clone, Copy)]
enum ScriptedReply {
    Ran,
    /// An answer with this status, as a target that is called directly sends it.
    Direct(u16),
    NotRun(&'static str, u32),
    MayHaveRun(&'static str),
    Tickets(&'static str),
    /// The connection is closed without an answer.
    Close,
}

use ScriptedReply::{Close, Direct, MayHaveRun, NotRun, Ran, Tickets};

const ONE_TICKET: ScriptedReply = Tickets("00000000000000aa-1");
const REFUSED: ScriptedReply = NotRun("overload", 1);
const TWO_TICKETS: ScriptedReply = Tickets("00000000000000aa-1,00000000000000aa-2");

/// A daemon that sends scripted replies in order and repeats the last one. It records the headers
/// of each request.
struct ScriptedDaemon {
    address: SocketAddr,
    received: Arc<Mutex<Vec<HeaderMap>>>,
}

impl ScriptedDaemon {
    async fn start(script: &'static [ScriptedReply]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received: Arc<Mutex<Vec<HeaderMap>>> = Arc::default();
        let shared = received.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = shared.clone();
                let service =
                    service_fn(move |request| reply_from_script(request, script, shared.clone()));
                let connection = hyper::server::conn::http1::Builder::new();
                tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, received }
    }

    /// Returns the value of a header for each request, `-` if it was not sent.
    fn header(&self, name: &str) -> Vec<String> {
        let mut values = Vec::new();
        for header_map in self.received.lock().unwrap().iter() {
            let value = header_map.get(name);
            values.push(value.map_or("-".into(), |value| value.to_str().unwrap().into()));
        }
        values
    }
}

async fn reply_from_script(
    request: Request<Incoming>,
    script: &'static [ScriptedReply],
    received: Arc<Mutex<Vec<HeaderMap>>>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (head, body) = request.into_parts();
    body.collect().await.unwrap();
    let index = {
        let mut received = received.lock().unwrap();
        received.push(head.headers);
        received.len() - 1
    };
    let builder = Response::builder().header(headers::RETRIES, "2");
    let response = match script[index.min(script.len() - 1)] {
        Close => return Err(std::io::Error::other("closed")),
        Ran => builder.header(headers::VERDICT, "ran"),
        Direct(status) => builder.status(status),
        NotRun(reason, retry_after_ms) => builder
            .status(503)
            .header(headers::VERDICT, "not-run")
            .header(headers::REASON, reason)
            .header(headers::RETRY_AFTER_MS, retry_after_ms),
        MayHaveRun(reason) => builder
            .status(502)
            .header(headers::VERDICT, "may-have-run")
            .header(headers::REASON, reason),
        Tickets(tickets) => builder
            .status(428)
            .header(headers::VERDICT, "not-run")
            .header(headers::REASON, "ticket_needed")
            .header(headers::TICKETS, tickets),
    };
    Ok(response
        .body(Full::new(Bytes::from_static(b"body")))
        .unwrap())
}

fn lookup() -> ClientRequest {
    ClientRequest {
        service: ServiceName::from("availability"),
        path: "/free".into(),
        deadline: Duration::from_secs(30),
        ..ClientRequest::default()
    }
}

fn payout() -> ClientRequest {
    ClientRequest {
        method: "POST".into(),
        is_idempotent: false,
        ..lookup()
    }
}

fn keyed_payout() -> ClientRequest {
    ClientRequest {
        idempotency_key: Some("k".into()),
        ..payout()
    }
}

fn client(daemons: &[SocketAddr]) -> Client {
    let settings = ClientSettings {
        seed: Some(1),
        ..ClientSettings::default()
    };
    Client::new(settings, daemons)
}

/// A script and a request, the outcome that the caller must get, and the values of one header that
/// the daemon must receive.
struct ScriptedCase {
    script: &'static [ScriptedReply],
    request: fn() -> ClientRequest,
    verdict: &'static str,
    reason: &'static str,
    header: &'static str,
    header_values: &'static [&'static str],
}

fn check_request(case: ScriptedCase) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let daemon = ScriptedDaemon::start(case.script).await;
        let outcome = client(&[daemon.address]).call(&(case.request)()).await;
        assert_eq!(outcome.verdict.name(), case.verdict, "{outcome:?}");
        assert_eq!(reason(&outcome), case.reason);
        assert_eq!(daemon.header(case.header), case.header_values);
        assert_eq!(outcome.attempts as usize, case.header_values.len());
        let ids = daemon.header(headers::REQUEST);
        assert!(ids.iter().all(|id| *id == ids[0] && id.len() == 16));
    });
}

fn reason(outcome: &RequestOutcome) -> &'static str {
    match &outcome.verdict {
        Verdict::Ran(_) => "",
        Verdict::NotRun(refusal) => refusal.reason.code(),
        Verdict::MayHaveRun(doubt) => doubt.reason.code(),
    }
}

cases! {
    check_request:
    an_answer_completes_the_request => ScriptedCase {
        script: &[Ran], request: lookup, verdict: "ran", reason: "",
        header: headers::REPEAT, header_values: &["-"],
    },
    a_retry_is_deducted_from_the_returned_allowance => ScriptedCase {
        script: &[NotRun("overload", 1), Ran], request: lookup, verdict: "ran", reason: "",
        header: headers::RETRIES, header_values: &["-", "1"],
    },
    a_retry_is_marked_as_repeat => ScriptedCase {
        script: &[NotRun("overload", 1), Ran], request: lookup, verdict: "ran", reason: "",
        header: headers::REPEAT, header_values: &["-", "true"],
    },
    a_retry_after_time_beyond_the_deadline_ends_the_request_at_once => ScriptedCase {
        script: &[NotRun("overload", 60_000), Ran], request: lookup,
        verdict: "not-run", reason: "overload",
        header: headers::REPEAT, header_values: &["-"],
    },
    a_malformed_request_is_not_retried => ScriptedCase {
        script: &[NotRun("bad_request", 0), Ran], request: lookup,
        verdict: "not-run", reason: "bad_request",
        header: headers::REPEAT, header_values: &["-"],
    },
    a_refusal_with_an_unknown_reason_is_still_a_refusal => ScriptedCase {
        script: &[NotRun("reason_of_a_later_version", 60_000)], request: lookup,
        verdict: "not-run", reason: "overload",
        header: headers::REPEAT, header_values: &["-"],
    },
    an_issued_ticket_is_used_by_the_next_attempt => ScriptedCase {
        script: &[TWO_TICKETS, Ran], request: payout, verdict: "ran", reason: "",
        header: headers::TICKET, header_values: &["-", "00000000000000aa-2"],
    },
    fetching_a_ticket_is_not_marked_as_repeat => ScriptedCase {
        script: &[TWO_TICKETS, Ran], request: payout, verdict: "ran", reason: "",
        header: headers::REPEAT, header_values: &["-", "-"],
    },
    a_refused_ticket_is_not_reused => ScriptedCase {
        script: &[TWO_TICKETS, NotRun("overload", 1), Ran], request: payout,
        verdict: "ran", reason: "",
        header: headers::TICKET, header_values: &["-", "00000000000000aa-2", "00000000000000aa-1"],
    },
    each_retry_may_fetch_another_ticket => ScriptedCase {
        script: &[
            ONE_TICKET, REFUSED, ONE_TICKET, REFUSED, ONE_TICKET, REFUSED, ONE_TICKET, Ran,
        ],
        request: payout, verdict: "ran", reason: "",
        header: headers::REPEAT,
        header_values: &["-", "-", "true", "true", "true", "true", "true", "true"],
    },
    after_a_doubt_the_same_ticket_is_sent_again => ScriptedCase {
        script: &[TWO_TICKETS, Close, Ran], request: payout, verdict: "ran", reason: "",
        header: headers::TICKET, header_values: &["-", "00000000000000aa-2", "00000000000000aa-2"],
    },
    a_ticket_whose_issuer_is_gone_leaves_the_request_in_doubt => ScriptedCase {
        script: &[TWO_TICKETS, MayHaveRun("issuer_gone"), Ran], request: payout,
        verdict: "may-have-run", reason: "issuer_gone",
        header: headers::TICKET, header_values: &["-", "00000000000000aa-2"],
    },
    an_idempotency_key_is_marked_as_first_attempt_only_once => ScriptedCase {
        script: &[Close, Ran], request: keyed_payout, verdict: "ran", reason: "",
        header: headers::FIRST_ATTEMPT, header_values: &["true", "false"],
    },
    a_refusal_after_a_doubt_leaves_the_request_in_doubt => ScriptedCase {
        script: &[MayHaveRun("connection_lost"), NotRun("overload", 60_000)], request: lookup,
        verdict: "may-have-run", reason: "connection_lost",
        header: headers::REPEAT, header_values: &["-", "true"],
    },
    a_status_that_is_none_of_http_is_no_answer => ScriptedCase {
        script: &[Direct(600), Direct(200)], request: lookup, verdict: "ran", reason: "",
        header: headers::REPEAT, header_values: &["-", "true"],
    },
    without_any_reply_an_idempotent_request_is_retried_once => ScriptedCase {
        script: &[Close], request: lookup, verdict: "may-have-run", reason: "connection_lost",
        header: headers::RETRIES, header_values: &["-", "-"],
    },
}

#[tokio::test]
async fn retries_end_when_the_allowance_is_used_up() {
    let daemon = ScriptedDaemon::start(&[MayHaveRun("connection_lost"), Close]).await;
    let outcome = client(&[daemon.address]).call(&lookup()).await;
    assert_eq!(reason(&outcome), DoubtReason::ConnectionLost.code());
    assert_eq!(daemon.header(headers::RETRIES), ["-", "1", "0"]);
}

#[tokio::test]
async fn an_unreachable_daemon_is_skipped() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let daemon = ScriptedDaemon::start(&[Ran]).await;
    let outcome = client(&[address, daemon.address]).call(&lookup()).await;
    assert_eq!((outcome.verdict.name(), outcome.attempts), ("ran", 1));
    let outcome = client(&[address]).call(&lookup()).await;
    assert_eq!(reason(&outcome), RefusalReason::Unreachable.code());
}

#[tokio::test]
async fn later_requests_use_the_remaining_tickets_of_a_block() {
    let daemon = ScriptedDaemon::start(&[TWO_TICKETS, Ran]).await;
    let client = client(&[daemon.address]);
    assert_eq!(client.call(&payout()).await.attempts, 2);
    assert_eq!(client.call(&payout()).await.attempts, 1);
    let tickets = daemon.header(headers::TICKET);
    assert_eq!(tickets, ["-", "00000000000000aa-2", "00000000000000aa-1"]);
}

/// The maximum number of bytes of one response that are read: what the client keeps, and the buffers of
/// the system.
const ENDLESS_BYTES_MAX: usize = 96 * 1024 * 1024;

/// Answers each connection with a body without end; returns the bytes that the first one took.
async fn serve_endless_body(listener: TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    let _ = stream.read(&mut [0; 4_096]).await;
    let head = format!("HTTP/1.1 200 OK\r\n{}: ran\r\n\r\n", headers::VERDICT);
    let mut sent_bytes = 0;
    let part = vec![b'x'; 256 * 1024];
    if stream.write_all(head.as_bytes()).await.is_err() {
        return 0;
    }
    while let Ok(count) = stream.write(&part).await {
        sent_bytes += count;
    }
    sent_bytes
}

/// Guards against a response without end that is kept until the memory is used up.
#[tokio::test]
async fn body_without_end_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(serve_endless_body(listener));
    let outcome = client(&[address]).call(&lookup()).await;
    assert_eq!(outcome.verdict.name(), "may-have-run");
    let sent_bytes = serving.await.unwrap();
    assert!(
        sent_bytes < ENDLESS_BYTES_MAX,
        "{sent_bytes} bytes were taken"
    );
}
