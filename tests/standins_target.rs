//! The target stand-in: answers, refusals, cancellation, child calls, announcements and its log.

use std::net::SocketAddr;

use bytes::Bytes;
use dragonflylug_standins::target::{
    Behaviour, ChildCall, Health, RunState, TargetConfig, TargetMode, TargetStandin, WORK_US_HEADER,
};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// An answer: status, the work that it reports, and the body.
type Answer = (u16, Option<u64>, Bytes);

async fn send(address: SocketAddr, method: &str, path: &str, body: &str) -> Result<Answer, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-dragonflylug-request", "00000000000000ab")
        .header("x-standin-service-us", "1500")
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let response = client.request(request).await?;
    let status = response.status().as_u16();
    let work = response.headers().get(WORK_US_HEADER);
    let work_us = work.map(|value| value.to_str().unwrap().parse().unwrap());
    let body = response.into_body().collect().await;
    let body = body.map_or(Bytes::from_static(b"cut"), |body| body.to_bytes());
    Ok((status, work_us, body))
}

async fn start(behaviour: Behaviour) -> TargetStandin {
    let config = TargetConfig {
        slots: 1,
        backlog: 0,
        behaviour,
        ..TargetConfig::default()
    };
    TargetStandin::start(config).await.unwrap()
}

/// Yields to the target's tasks until a condition holds.
async fn wait_until(target: &TargetStandin, holds: impl Fn(&TargetStandin) -> bool) {
    while !holds(target) {
        tokio::task::yield_now().await;
    }
}

fn in_mode(mode: TargetMode) -> Behaviour {
    Behaviour {
        mode,
        ..Behaviour::default()
    }
}

#[tokio::test]
async fn an_answer_echoes_the_body_and_reports_the_work() {
    let target = start(Behaviour::default()).await;
    let body = r#"{"key":"k1"}"#;
    let exchange = send(target.address(), "POST", "/pay?x=1", body).await;
    assert_eq!(exchange.unwrap(), (200, Some(1_500), Bytes::from(body)));
    let log = target.log();
    assert_eq!(log.count_runs_with_key("k1"), 1);
    assert_eq!(log.count_runs_of_request("00000000000000ab"), 1);
    assert_eq!(log.work_us(), 1_500);
    assert_eq!(log.runs[0].path, "/pay?x=1");
    assert_eq!(log.runs[0].state, RunState::Done);
}

#[tokio::test]
async fn a_request_beyond_slots_and_backlog_is_refused_and_does_not_run() {
    let target = start(in_mode(TargetMode::Hang)).await;
    let pending = tokio::spawn(send_owned(target.address(), "/pending"));
    wait_until(&target, |target| target.log().runs.len() == 1).await;
    let (status, ..) = send(target.address(), "GET", "/more", "").await.unwrap();
    assert_eq!(status, 503);
    assert_eq!((target.log().runs.len(), target.log().refused), (1, 1));
    pending.abort();
}

async fn send_owned(address: SocketAddr, path: &'static str) -> Result<Answer, Error> {
    send(address, "GET", path, "").await
}

/// The target has one slot and no backlog, so the last request succeeds only if the slot is free
/// again.
#[tokio::test]
async fn a_closed_connection_cancels_its_run_and_frees_the_slot() {
    let target = start(in_mode(TargetMode::Hang)).await;
    let pending = tokio::spawn(send_owned(target.address(), "/pending"));
    wait_until(&target, |target| target.log().runs.len() == 1).await;
    pending.abort();
    wait_until(&target, |target| {
        target.log().runs[0].state == RunState::Cancelled
    })
    .await;
    target.set_behaviour(Behaviour::default());
    let (status, ..) = send(target.address(), "GET", "/next", "").await.unwrap();
    assert_eq!(status, 200);
}

#[tokio::test]
async fn errors_are_immediate_and_the_health_endpoint_can_still_report_success() {
    let target = start(Behaviour {
        health: Health::AlwaysOk,
        ..in_mode(TargetMode::Error)
    })
    .await;
    let (status, work_us, _) = send(target.address(), "GET", "/x", "").await.unwrap();
    assert_eq!((status, work_us), (500, Some(0)));
    let (health, ..) = send(target.address(), "GET", "/_health", "").await.unwrap();
    assert_eq!(health, 200);
}

#[tokio::test]
async fn a_truncated_answer_ends_early_although_the_request_ran() {
    let target = start(in_mode(TargetMode::CutAnswer)).await;
    let exchange = send(target.address(), "POST", "/x", "abcdef").await;
    assert!(exchange.is_err() || exchange.unwrap().2 == "cut");
    assert_eq!(target.log().runs[0].state, RunState::Done);
}

#[tokio::test]
async fn behaviour_changes_field_by_field_over_http() {
    let target = start(in_mode(TargetMode::Error)).await;
    let change = r#"{"service_ms":7.5}"#;
    let (status, ..) = send(target.address(), "POST", "/_faults", change)
        .await
        .unwrap();
    assert_eq!(status, 200);
    assert_eq!(target.behaviour().service_ms, 7.5);
    assert_eq!(target.behaviour().mode, TargetMode::Error);
    let wrong = send(target.address(), "POST", "/_faults", r#"{"speed":1}"#);
    assert_eq!(wrong.await.unwrap().0, 400);
}

#[tokio::test]
async fn child_calls_carry_a_key_derived_from_their_parent() {
    let daemon = start(Behaviour::default()).await;
    let child = ChildCall {
        service: "ledger".into(),
        method: "POST".into(),
        path: "/book".into(),
    };
    let target = TargetStandin::start(TargetConfig {
        announce_address: Some(daemon.address()),
        announce_period_ms: 3_600_000,
        behaviour: Behaviour {
            children: vec![child.clone(), child],
            ..Behaviour::default()
        },
        ..TargetConfig::default()
    })
    .await
    .unwrap();
    wait_until(&daemon, |daemon| daemon.log().runs.len() == 1).await;
    let exchange = send(target.address(), "POST", "/pay", r#"{"key":"k"}"#).await;
    assert_eq!(exchange.unwrap().0, 200);
    let log = daemon.log();
    assert_eq!(log.runs[0].path, "/announce");
    assert_eq!(log.runs[1].path, "/ledger/book");
    assert_eq!(
        (
            log.count_runs_with_key("k/0"),
            log.count_runs_with_key("k/1")
        ),
        (1, 1)
    );
}

#[tokio::test]
async fn a_failed_child_call_fails_its_parent() {
    let daemon = start(in_mode(TargetMode::Error)).await;
    let child = ChildCall {
        service: "ledger".into(),
        method: "GET".into(),
        path: "/read".into(),
    };
    let target = TargetStandin::start(TargetConfig {
        announce_address: Some(daemon.address()),
        behaviour: Behaviour {
            children: vec![child],
            ..Behaviour::default()
        },
        ..TargetConfig::default()
    })
    .await
    .unwrap();
    let (status, work_us, _) = send(target.address(), "GET", "/x", "").await.unwrap();
    assert_eq!((status, work_us), (502, Some(1_500)));
    assert_eq!(target.log().runs[0].state, RunState::Failed);
}

/// The announcement period is an hour, so only the drain itself can cause the second announcement.
#[tokio::test]
async fn a_drain_is_announced_at_once() {
    let daemon = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = TargetStandin::start(TargetConfig {
        announce_address: Some(daemon.local_addr().unwrap()),
        announce_period_ms: 3_600_000,
        ..TargetConfig::default()
    })
    .await
    .unwrap();
    let (mut stream, _) = daemon.accept().await.unwrap();
    read_until(&mut stream, r#""is_draining":false}"#).await;
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.unwrap();
    target.drain();
    read_until(&mut stream, r#""is_draining":true}"#).await;
}

async fn read_until(stream: &mut TcpStream, end: &str) {
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains(end) {
        assert!(stream.read_buf(&mut received).await.unwrap() > 0);
    }
}
