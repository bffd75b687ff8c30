//! The caller library against a daemon that answers from a script.

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
use tokio::net::TcpListener;

/// What the daemon does with one request.
#[derive(Clone, Copy)]
enum Step {
    Ran,
    NotRun(&'static str, u32),
    MayHaveRun(&'static str),
    Tickets(&'static str),
    /// The connection is closed without an answer.
    Close,
}

use Step::{Close, MayHaveRun, NotRun, Ran, Tickets};

const ONE_TICKET: Step = Tickets("00000000000000aa-1");
const REFUSED: Step = NotRun("overload", 1);
const TWO_TICKETS: Step = Tickets("00000000000000aa-1,00000000000000aa-2");

/// A daemon that answers from a script; the last step is repeated.
struct Scripted {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<HeaderMap>>>,
}

impl Scripted {
    async fn start(script: &'static [Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<HeaderMap>>> = Arc::default();
        let shared = seen.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = shared.clone();
                let service = service_fn(move |request| answer(request, script, shared.clone()));
                let connection = hyper::server::conn::http1::Builder::new();
                tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, seen }
    }

    /// Returns the value of a header on each request, `-` where it was not sent.
    fn header(&self, name: &str) -> Vec<String> {
        let mut values = Vec::new();
        for header_map in self.seen.lock().unwrap().iter() {
            let value = header_map.get(name);
            values.push(value.map_or("-".into(), |value| value.to_str().unwrap().into()));
        }
        values
    }
}

async fn answer(
    request: Request<Incoming>,
    script: &'static [Step],
    seen: Arc<Mutex<Vec<HeaderMap>>>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (head, body) = request.into_parts();
    body.collect().await.unwrap();
    let at = {
        let mut seen = seen.lock().unwrap();
        seen.push(head.headers);
        seen.len() - 1
    };
    let builder = Response::builder().header(headers::RETRIES, "2");
    let response = match script[at.min(script.len() - 1)] {
        Close => return Err(std::io::Error::other("closed")),
        Ran => builder.header(headers::VERDICT, "ran"),
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

/// One row: the script, the request, and what the caller and the daemon must see.
struct Case {
    script: &'static [Step],
    request: fn() -> ClientRequest,
    verdict: &'static str,
    reason: &'static str,
    header: &'static str,
    sent: &'static [&'static str],
}

fn check(case: Case) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let daemon = Scripted::start(case.script).await;
        let outcome = client(&[daemon.address]).call(&(case.request)()).await;
        assert_eq!(outcome.verdict.name(), case.verdict, "{outcome:?}");
        assert_eq!(reason(&outcome), case.reason);
        assert_eq!(daemon.header(case.header), case.sent);
        assert_eq!(outcome.attempts as usize, case.sent.len());
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
    check:
    an_answer_ends_the_request => Case {
        script: &[Ran], request: lookup, verdict: "ran", reason: "",
        header: headers::REPEAT, sent: &["-"],
    },
    a_repeat_spends_from_the_allowance_handed_back => Case {
        script: &[NotRun("overload", 1), Ran], request: lookup, verdict: "ran", reason: "",
        header: headers::RETRIES, sent: &["-", "1"],
    },
    a_repeat_is_marked => Case {
        script: &[NotRun("overload", 1), Ran], request: lookup, verdict: "ran", reason: "",
        header: headers::REPEAT, sent: &["-", "true"],
    },
    a_wait_beyond_the_deadline_ends_the_request_at_once => Case {
        script: &[NotRun("overload", 60_000), Ran], request: lookup,
        verdict: "not-run", reason: "overload",
        header: headers::REPEAT, sent: &["-"],
    },
    a_malformed_request_is_not_repeated => Case {
        script: &[NotRun("bad_request", 0), Ran], request: lookup,
        verdict: "not-run", reason: "bad_request",
        header: headers::REPEAT, sent: &["-"],
    },
    an_unknown_reason_still_says_not_run => Case {
        script: &[NotRun("reason_of_a_later_version", 60_000)], request: lookup,
        verdict: "not-run", reason: "overload",
        header: headers::REPEAT, sent: &["-"],
    },
    a_ticket_is_taken_and_used_without_a_retry => Case {
        script: &[TWO_TICKETS, Ran], request: payout, verdict: "ran", reason: "",
        header: headers::TICKET, sent: &["-", "00000000000000aa-2"],
    },
    fetching_a_ticket_is_no_repeat => Case {
        script: &[TWO_TICKETS, Ran], request: payout, verdict: "ran", reason: "",
        header: headers::REPEAT, sent: &["-", "-"],
    },
    a_refused_ticket_is_not_used_again => Case {
        script: &[TWO_TICKETS, NotRun("overload", 1), Ran], request: payout,
        verdict: "ran", reason: "",
        header: headers::TICKET, sent: &["-", "00000000000000aa-2", "00000000000000aa-1"],
    },
    each_repeat_may_fetch_a_ticket_of_its_own => Case {
        script: &[
            ONE_TICKET, REFUSED, ONE_TICKET, REFUSED, ONE_TICKET, REFUSED, ONE_TICKET, Ran,
        ],
        request: payout, verdict: "ran", reason: "",
        header: headers::REPEAT,
        sent: &["-", "-", "true", "true", "true", "true", "true", "true"],
    },
    a_doubtful_ticket_is_asked_again_by_the_same_ticket => Case {
        script: &[TWO_TICKETS, Close, Ran], request: payout, verdict: "ran", reason: "",
        header: headers::TICKET, sent: &["-", "00000000000000aa-2", "00000000000000aa-2"],
    },
    a_ticket_whose_issuer_is_gone_stays_in_doubt => Case {
        script: &[TWO_TICKETS, MayHaveRun("issuer_gone"), Ran], request: payout,
        verdict: "may-have-run", reason: "issuer_gone",
        header: headers::TICKET, sent: &["-", "00000000000000aa-2"],
    },
    a_key_is_a_first_try_only_once => Case {
        script: &[Close, Ran], request: keyed_payout, verdict: "ran", reason: "",
        header: headers::FIRST_ATTEMPT, sent: &["true", "false"],
    },
    a_refusal_after_a_doubt_does_not_say_not_run => Case {
        script: &[MayHaveRun("connection_lost"), NotRun("overload", 60_000)], request: lookup,
        verdict: "may-have-run", reason: "connection_lost",
        header: headers::REPEAT, sent: &["-", "true"],
    },
    without_any_word_an_idempotent_request_is_repeated_once => Case {
        script: &[Close], request: lookup, verdict: "may-have-run", reason: "connection_lost",
        header: headers::RETRIES, sent: &["-", "-"],
    },
}

#[tokio::test]
async fn repeats_end_with_the_allowance() {
    let daemon = Scripted::start(&[MayHaveRun("connection_lost"), Close]).await;
    let outcome = client(&[daemon.address]).call(&lookup()).await;
    assert_eq!(reason(&outcome), DoubtReason::ConnectionLost.code());
    assert_eq!(daemon.header(headers::RETRIES), ["-", "1", "0"]);
}

#[tokio::test]
async fn an_unreachable_daemon_is_passed_over() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let daemon = Scripted::start(&[Ran]).await;
    let outcome = client(&[address, daemon.address]).call(&lookup()).await;
    assert_eq!((outcome.verdict.name(), outcome.attempts), ("ran", 1));
    let outcome = client(&[address]).call(&lookup()).await;
    assert_eq!(reason(&outcome), RefusalReason::Unreachable.code());
}

#[tokio::test]
async fn tickets_of_a_block_serve_later_requests() {
    let daemon = Scripted::start(&[TWO_TICKETS, Ran]).await;
    let client = client(&[daemon.address]);
    assert_eq!(client.call(&payout()).await.attempts, 2);
    assert_eq!(client.call(&payout()).await.attempts, 1);
    let tickets = daemon.header(headers::TICKET);
    assert_eq!(tickets, ["-", "00000000000000aa-2", "00000000000000aa-1"]);
}
