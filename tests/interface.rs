//! The callers' and operators' interface of a daemon process: bad input and slow callers.

#[path = "support/processes.rs"]
mod processes;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use dragonflylug::settings::Settings;
use processes::{Call, DaemonProcess, ProcessCluster, TOKEN, agent, send, wait_for};
use rstest::rstest;
use serde::Deserialize;

/// The greatest body of the daemon under test.
const BODY_BYTES_MAX: usize = 1_000;

/// A request and what the daemon says to it.
#[derive(Deserialize)]
struct InterfaceCase {
    method: String,
    path: String,
    headers: std::collections::BTreeMap<String, String>,
    body_bytes: usize,
    status: u16,
    reason: String,
    message: String,
}

#[rstest]
fn a_request_is_answered_as_its_file_says(#[files("tests/data/interface/*.json")] path: PathBuf) {
    let case: InterfaceCase =
        serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    let bench = ProcessCluster::new();
    let settings = Settings {
        body_bytes_max: BODY_BYTES_MAX,
        ..bench.settings("a")
    };
    let daemon = DaemonProcess::start(&settings);
    let headers: Vec<(&str, &str)> = case
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    let body = vec![0; case.body_bytes];
    let call = Call {
        method: &case.method,
        path: &case.path,
        headers: &headers,
        body: &body,
    };
    let reply = send(daemon.addresses.caller, &call);
    assert_eq!(
        (reply.status, reply.reason.as_str()),
        (case.status, case.reason.as_str())
    );
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(body["verdict"], reply.verdict);
    assert_eq!(body["reason"], case.reason);
    assert!(
        body["message"].as_str().unwrap().contains(&case.message),
        "{body}"
    );
}

/// Opens a connection that sends the start of a request and no more.
fn half_open(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"PUT /nobody/x HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nab")
        .unwrap();
    stream
}

#[test]
fn half_open_callers_hold_up_nobody_and_one_connection_too_many_is_refused() {
    let bench = ProcessCluster::new();
    let settings = Settings {
        call_connections_max: 9,
        ..bench.settings("a")
    };
    let daemon = DaemonProcess::start(&settings);
    let address = daemon.addresses.caller;
    let slow: Vec<TcpStream> = (0..8).map(|_| half_open(address)).collect();
    let call = Call {
        method: "GET",
        path: "/nobody/x",
        ..Call::default()
    };
    wait_for("a ninth caller is answered", || {
        send(address, &call).status == 404
    });
    let _ninth = half_open(address);
    wait_for("a tenth caller is refused", || {
        send(address, &call).reason == "connections"
    });
    drop(slow);
    wait_for("there is room again", || send(address, &call).status == 404);
}

#[test]
fn a_body_that_does_not_arrive_in_time_is_answered_and_the_connection_closed() {
    let bench = ProcessCluster::new();
    let settings = Settings {
        read_timeout_ms: 100,
        ..bench.settings("a")
    };
    let daemon = DaemonProcess::start(&settings);
    let mut stream = half_open(daemon.addresses.caller);
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(
        answer.contains("the body did not arrive in time"),
        "{answer}"
    );
}

#[test]
fn an_idle_connection_is_closed_after_the_time_that_its_caller_was_told() {
    let bench = ProcessCluster::new();
    let settings = Settings {
        idle_timeout_ms: 4_500,
        ..bench.settings("a")
    };
    let daemon = DaemonProcess::start(&settings);
    let mut stream = TcpStream::connect(daemon.addresses.caller).unwrap();
    stream
        .write_all(b"GET /nowhere/ HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let answered = Instant::now();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("keep-alive: timeout=1\r\n"), "{answer}");
    assert!(answered.elapsed() > Duration::from_secs(1));
}

/// Sends an operator's request and returns the status and body.
fn operate(
    daemon: &DaemonProcess,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> (u16, String) {
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", daemon.addresses.operator))
        .header("authorization", format!("Bearer {token}"))
        .body(body.to_string())
        .unwrap();
    let mut response = agent().run(request).unwrap();
    (
        response.status().as_u16(),
        response.body_mut().read_to_string().unwrap(),
    )
}

#[rstest]
#[case::wrong_token("GET", "/status", "wrong", "", 401, "token is missing or wrong")]
#[case::unknown_path("GET", "/nothing", TOKEN, "", 404, "GET /status")]
#[case::records_not_json("POST", "/records", TOKEN, "{", 400, "EOF")]
#[case::records_without_fields("POST", "/records", TOKEN, "{}", 400, "change_id")]
#[case::status("GET", "/status", TOKEN, "", 200, "config_version")]
#[case::unreadable_records("GET", "/status", TOKEN, "", 200, "unreadable")]
#[case::metrics("GET", "/metrics", TOKEN, "", 200, "dragonflylug_")]
fn an_operator_is_answered(
    #[case] method: &str,
    #[case] path: &str,
    #[case] token: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] message: &str,
) {
    let bench = ProcessCluster::new();
    let daemon = DaemonProcess::start(&bench.settings("a"));
    wait_for("a counter is there", || {
        daemon
            .operator("GET", "/metrics", "")
            .contains("dragonflylug_")
    });
    let answer = operate(&daemon, method, path, token, body);
    assert_eq!(answer.0, status, "{answer:?}");
    assert!(answer.1.contains(message), "{answer:?}");
}

#[test]
fn settings_that_cannot_be_used_end_the_daemon_with_code_2() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-settings.json");
    std::fs::write(
        &path,
        r#"{"operator_token":"0123456789abcdef","guard":{"stop":1}}"#,
    )
    .unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dragonflylugd"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        error.contains("bad-settings.json: guard.stop: unknown field"),
        "{error}"
    );
}

#[rstest]
#[case::the_command(&[])]
#[case::check(&["check"])]
#[case::submit(&["submit"])]
#[case::stop(&["stop"])]
#[case::status(&["status"])]
#[case::load(&["load"])]
#[case::demo(&["demo"])]
fn help_has_an_example(#[case] command: &[&str]) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dragonflylug"))
        .args(command)
        .arg("--help")
        .output()
        .unwrap();
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("Example: dragonflylug"), "{text}");
}

#[rstest]
#[case::nothing_to_check(&["check"], "give --settings FILE, --records FILE or both")]
#[case::records_missing(&["check", "--records", "nothing.json"], "nothing.json")]
#[case::scenario_missing(&["load", "--to", "127.0.0.1:1", "nothing.json"], "nothing.json: cannot be read")]
fn a_command_with_unusable_input_ends_with_code_2(#[case] command: &[&str], #[case] message: &str) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dragonflylug"))
        .args(command)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains(message), "{text}");
}
