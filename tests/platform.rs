//! The daemon's client of the platform against the platform stand-in, with each injected fault.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::Duration;

use dragonflylug::host::platform::PlatformClient;
use dragonflylug::table::{
    Epoch, Expected, ObjectRequest, ObjectResponse, ObjectStore, PlatformError, Row, RowVersion,
    TableRequest, TableResponse, TableStore, TableWrite,
};
use dragonflylug_standins::platform::{Counts, Fault, FaultMode, PlatformStandin};
use tokio::runtime::Runtime;

const LONG_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The platform stand-in, and a client of it.
struct Fixture {
    runtime: Runtime,
    platform: PlatformStandin,
    client: PlatformClient,
}

fn start_fixture(timeout: Duration) -> Fixture {
    let platform = PlatformStandin::start(loopback_any_port()).unwrap();
    let client = PlatformClient::new(&format!("http://{}", platform.address()), timeout);
    Fixture {
        runtime: Runtime::new().unwrap(),
        platform,
        client,
    }
}

impl Fixture {
    fn table(&self, request: TableRequest) -> Result<TableResponse, PlatformError> {
        self.runtime
            .block_on(TableStore::request(&self.client, request))
    }

    fn object(&self, request: ObjectRequest) -> Result<ObjectResponse, PlatformError> {
        self.runtime
            .block_on(ObjectStore::request(&self.client, request))
    }

    fn set_fault(&self, mode: FaultMode, delay_ms: u64) {
        self.platform.set_fault(Fault { mode, delay_ms });
    }
}

fn write(key: &str, expected: Expected, value: Option<&str>) -> TableWrite {
    TableWrite {
        key: key.into(),
        expected,
        value: value.map(Into::into),
    }
}

fn put(key: &str, expected: Expected, value: &str) -> TableRequest {
    let writes = vec![write(key, expected, Some(value))];
    TableRequest::Write { writes }
}

fn get(keys: &[&str]) -> TableRequest {
    let keys = keys.iter().map(|key| key.to_string()).collect();
    TableRequest::Get { keys }
}

fn version(number: u64) -> RowVersion {
    RowVersion::without_epoch(number)
}

fn row(key: &str, number: u64, value: &str) -> Row {
    Row {
        key: key.into(),
        version: version(number),
        value: value.into(),
    }
}

fn scan(prefix: &str, after: Option<&str>, limit: u32) -> TableRequest {
    TableRequest::Scan {
        prefix: prefix.into(),
        after: after.map(Into::into),
        limit,
    }
}

/// Checks the response to a request on a table that contains the rows `a`, `p/1`, `p/2` and `q`
/// with the versions 1 to 4.
fn check_response((request, expected): (TableRequest, TableResponse)) {
    let fixture = start_fixture(LONG_TIMEOUT);
    for key in ["a", "p/1", "p/2", "q"] {
        fixture.table(put(key, Expected::Absent, "old")).unwrap();
    }
    assert_eq!(fixture.table(request), Ok(expected));
}

cases! { check_response:
    get_leaves_out_missing_rows => (
        get(&["a", "missing", "q"]),
        TableResponse::Rows(vec![row("a", 1, "old"), row("q", 4, "old")]),
    ),
    scan_reads_a_prefix_in_order => (
        scan("p/", None, 10),
        TableResponse::Rows(vec![row("p/1", 2, "old"), row("p/2", 3, "old")]),
    ),
    scan_continues_after_a_key => (
        scan("p/", Some("p/1"), 10),
        TableResponse::Rows(vec![row("p/2", 3, "old")]),
    ),
    scan_after_a_key_below_the_prefix_starts_at_the_prefix => (
        scan("p/", Some("b"), 1),
        TableResponse::Rows(vec![row("p/1", 2, "old")]),
    ),
    scan_respects_its_limit => (
        scan("p/", None, 1),
        TableResponse::Rows(vec![row("p/1", 2, "old")]),
    ),
    write_with_the_right_version => (
        put("a", Expected::Version(version(1)), "new"),
        TableResponse::Written(vec![version(5)]),
    ),
    write_with_a_stale_version => (
        put("a", Expected::Version(version(9)), "new"),
        TableResponse::Conflict(vec![row("a", 1, "old")]),
    ),
    write_where_a_row_must_be_absent => (
        put("a", Expected::Absent, "new"),
        TableResponse::Conflict(vec![row("a", 1, "old")]),
    ),
    write_of_a_missing_row_by_version => (
        put("missing", Expected::Version(version(1)), "new"),
        TableResponse::Conflict(Vec::new()),
    ),
}

#[test]
fn a_transaction_writes_all_rows_or_none() {
    let fixture = start_fixture(LONG_TIMEOUT);
    fixture.table(put("a", Expected::Any, "1")).unwrap();
    let writes = vec![
        write("b", Expected::Absent, Some("2")),
        write("a", Expected::Absent, None),
    ];
    let conflict = TableResponse::Conflict(vec![row("a", 1, "1")]);
    assert_eq!(fixture.table(TableRequest::Write { writes }), Ok(conflict));
    let rows = TableResponse::Rows(vec![row("a", 1, "1")]);
    assert_eq!(fixture.table(get(&["a", "b"])), Ok(rows));
    let writes = vec![
        write("b", Expected::Absent, Some("2")),
        write("a", Expected::Version(version(1)), None),
    ];
    fixture.table(TableRequest::Write { writes }).unwrap();
    let rows = TableResponse::Rows(vec![row("b", 2, "2")]);
    assert_eq!(fixture.table(get(&["a", "b"])), Ok(rows));
}

#[test]
fn objects_are_written_and_read() {
    let fixture = start_fixture(LONG_TIMEOUT);
    let name = || "snapshot".to_string();
    let read = || fixture.object(ObjectRequest::Get { name: name() });
    assert_eq!(read(), Ok(ObjectResponse::Missing));
    let content = "text".to_string();
    let request = ObjectRequest::Put {
        name: name(),
        content: content.clone(),
    };
    assert_eq!(fixture.object(request), Ok(ObjectResponse::Written));
    assert_eq!(read(), Ok(ObjectResponse::Content(content)));
    let counts = Counts {
        reads: 2,
        writes: 1,
    };
    assert_eq!(fixture.platform.counts(), counts);
}

/// Checks the error that a write returns during a fault, and whether the write took effect.
fn check_fault((mode, expected, took_effect): (FaultMode, PlatformError, bool)) {
    let fixture = start_fixture(if mode == FaultMode::Slow {
        SHORT_TIMEOUT
    } else {
        LONG_TIMEOUT
    });
    fixture.set_fault(mode, 60_000);
    let result = fixture.table(put("a", Expected::Absent, "1"));
    assert_eq!(result, Err(expected));
    fixture.set_fault(FaultMode::None, 0);
    let rows = match took_effect {
        true => vec![row("a", 1, "1")],
        false => Vec::new(),
    };
    let long_timeout_client = PlatformClient::new(
        &format!("http://{}", fixture.platform.address()),
        LONG_TIMEOUT,
    );
    let read = TableStore::request(&long_timeout_client, get(&["a"]));
    assert_eq!(
        fixture.runtime.block_on(read),
        Ok(TableResponse::Rows(rows))
    );
}

cases! { check_fault:
    a_platform_that_is_down_executes_nothing => (FaultMode::Down, PlatformError::NotApplied, false),
    a_lost_response_to_a_write_that_took_effect =>
        (FaultMode::AnswerLost, PlatformError::Lost, true),
    a_response_later_than_the_timeout_is_lost =>
        (FaultMode::Slow, PlatformError::Lost, true),
}

#[test]
fn faults_are_set_and_counts_read_over_http() {
    let fixture = start_fixture(LONG_TIMEOUT);
    let base = format!("http://{}", fixture.platform.address());
    let set_fault = |fault: &str| {
        let response = ureq::post(&format!("{base}/faults")).send(fault);
        response.map(|response| response.status().as_u16())
    };
    assert_eq!(set_fault(r#"{"mode":"down"}"#).unwrap(), 200);
    assert_eq!(fixture.table(get(&["a"])), Err(PlatformError::NotApplied));
    assert!(matches!(
        set_fault(r#"{"mode":"odd"}"#),
        Err(ureq::Error::StatusCode(400))
    ));
    assert_eq!(set_fault(r#"{"mode":"none"}"#).unwrap(), 200);
    fixture.table(get(&["a"])).unwrap();
    let mut response = ureq::get(&format!("{base}/counts")).call().unwrap();
    let counts = response.body_mut().read_to_string().unwrap();
    assert_eq!(counts, r#"{"reads":1,"writes":0}"#);
}

#[test]
fn a_refused_connection_reports_not_executed() {
    let listener = TcpListener::bind(loopback_any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = PlatformClient::new(&format!("http://{address}"), LONG_TIMEOUT);
    let runtime = Runtime::new().unwrap();
    let result = runtime.block_on(TableStore::request(&client, get(&["a"])));
    assert_eq!(result, Err(PlatformError::NotApplied));
}

#[test]
fn a_slow_response_within_the_timeout_is_accepted() {
    let fixture = start_fixture(LONG_TIMEOUT);
    fixture.set_fault(FaultMode::Slow, 20);
    let rows = TableResponse::Rows(Vec::new());
    assert_eq!(fixture.table(get(&["a"])), Ok(rows));
}

/// The number of connections that stall after their first response.
const STALLED_CONNECTIONS: usize = 3;

/// Serves the first [`STALLED_CONNECTIONS`] connections one response each, after all of them have
/// sent a request, and then never responds on them again. Later connections work.
fn serve_then_stall(listener: TcpListener) {
    let barrier = Arc::new(Barrier::new(STALLED_CONNECTIONS));
    for (index, stream) in listener.incoming().enumerate() {
        let Ok(stream) = stream else {
            return;
        };
        let barrier = barrier.clone();
        std::thread::spawn(move || {
            let mut stream = BufReader::new(stream);
            let stalls_later = index < STALLED_CONNECTIONS;
            let mut responses = 0;
            while read_request(&mut stream) {
                if stalls_later && responses == 1 {
                    continue;
                }
                if stalls_later {
                    barrier.wait();
                }
                responses += 1;
                let body = r#"{"rows":[]}"#;
                let length = body.len();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                let _ = stream.get_mut().write_all((head + body).as_bytes());
            }
        });
    }
}

fn read_request(stream: &mut BufReader<TcpStream>) -> bool {
    let mut length = 0;
    loop {
        let mut line = String::new();
        match stream.read_line(&mut line) {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).is_ok()
}

/// A network path that fails silently stalls all of its connections. If the client reused another
/// idle connection after the first loss, each one would cost a further timeout.
#[test]
fn after_one_stalled_connection_the_other_idle_ones_are_not_reused() {
    let listener = TcpListener::bind(loopback_any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || serve_then_stall(listener));
    let client = PlatformClient::new(&format!("http://{address}"), SHORT_TIMEOUT);
    let runtime = Runtime::new().unwrap();
    let rows = Ok(TableResponse::Rows(Vec::new()));
    let first: Vec<_> = (0..STALLED_CONNECTIONS)
        .map(|_| {
            let client = client.clone();
            runtime.spawn(async move { TableStore::request(&client, get(&["a"])).await })
        })
        .collect();
    for response in first {
        assert_eq!(runtime.block_on(response).unwrap(), rows);
    }
    let lost = runtime.block_on(TableStore::request(&client, get(&["a"])));
    assert_eq!(lost, Err(PlatformError::Lost));
    let response = runtime.block_on(TableStore::request(&client, get(&["a"])));
    assert_eq!(response, rows);
}

/// A version and its form in JSON.
fn check_version_form((version, json): (RowVersion, &str)) {
    assert_eq!(serde_json::to_string(&version).unwrap(), json);
    assert_eq!(serde_json::from_str::<RowVersion>(json).unwrap(), version);
}

cases! { check_version_form:
    version_without_an_epoch_is_a_number => (version(7), "7"),
    version_with_an_epoch_names_it => (
        RowVersion { epoch: Epoch(2), number: 7 },
        r#"{"epoch":2,"number":7}"#,
    ),
}
