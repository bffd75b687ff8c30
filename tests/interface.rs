//! The HTTP interfaces for callers and operators, and the command line: invalid input and slow
//! callers, with real processes.

#[path = "support/loopback.rs"]
mod loopback;
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

/// The maximum body size of the daemon under test.
const BODY_BYTES_MAX: usize = 1_000;

/// A request and the response that the daemon must give.
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
fn a_request_gets_the_response_in_its_case_file(
    #[files("tests/data/interface/*.json")] path: PathBuf,
) {
    let case: InterfaceCase =
        serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    let cluster = ProcessCluster::new();
    let settings = Settings {
        body_bytes_max: BODY_BYTES_MAX,
        ..cluster.settings("a")
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

/// Opens a connection that sends an incomplete request.
fn send_incomplete_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"PUT /nobody/x HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nab")
        .unwrap();
    stream
}

/// Callers that never finish a request must not block others, and a connection above the limit must
/// be refused until another one is closed.
#[test]
fn incomplete_requests_block_no_caller_and_a_connection_above_the_limit_is_refused() {
    let cluster = ProcessCluster::new();
    let settings = Settings {
        call_connections_max: 9,
        ..cluster.settings("a")
    };
    let daemon = DaemonProcess::start(&settings);
    let address = daemon.addresses.caller;
    let slow_callers: Vec<TcpStream> = (0..8).map(|_| send_incomplete_request(address)).collect();
    let call = Call {
        method: "GET",
        path: "/nobody/x",
        ..Call::default()
    };
    wait_for("a ninth caller is answered", || {
        send(address, &call).status == 404
    });
    let _ninth = send_incomplete_request(address);
    wait_for("a tenth caller is refused", || {
        send(address, &call).reason == "connections"
    });
    drop(slow_callers);
    wait_for("a connection is accepted again", || {
        send(address, &call).status == 404
    });
}

#[test]
fn a_body_that_exceeds_the_read_timeout_gets_400_and_the_connection_is_closed() {
    let cluster = ProcessCluster::new();
    let settings = Settings {
        read_timeout_ms: 100,
        ..cluster.settings("a")
    };
    let daemon = DaemonProcess::start(&settings);
    let mut stream = send_incomplete_request(daemon.addresses.caller);
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(
        response.contains("the body did not arrive in time"),
        "{response}"
    );
}

/// A connection that the server closed exactly at the announced time could lose a request that the
/// caller sent at the last moment.
#[test]
fn an_idle_connection_is_closed_only_after_its_keep_alive_timeout() {
    let cluster = ProcessCluster::new();
    let settings = Settings {
        idle_timeout_ms: 4_500,
        ..cluster.settings("a")
    };
    let daemon = DaemonProcess::start(&settings);
    let mut stream = TcpStream::connect(daemon.addresses.caller).unwrap();
    stream
        .write_all(b"GET /nowhere/ HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let sent_at = Instant::now();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.contains("keep-alive: timeout=1\r\n"), "{response}");
    assert!(sent_at.elapsed() > Duration::from_secs(1));
}

/// Sends an operator request and returns the status and body of the response.
fn send_operator_request(
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
fn an_operator_request_gets_its_status_and_message(
    #[case] method: &str,
    #[case] path: &str,
    #[case] token: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] message: &str,
) {
    let cluster = ProcessCluster::new();
    let daemon = DaemonProcess::start(&cluster.settings("a"));
    wait_for("the metrics contain a counter", || {
        daemon
            .operator("GET", "/metrics", "")
            .contains("dragonflylug_")
    });
    let response = send_operator_request(&daemon, method, path, token, body);
    assert_eq!(response.0, status, "{response:?}");
    assert!(response.1.contains(message), "{response:?}");
}

#[test]
fn invalid_settings_end_the_daemon_with_exit_code_2() {
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
#[case::top_level(&[])]
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
fn a_command_with_invalid_input_ends_with_exit_code_2(
    #[case] command: &[&str],
    #[case] message: &str,
) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dragonflylug"))
        .args(command)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains(message), "{text}");
}
