//! The stand-ins of the review's scripts: the platform's row store, upstreams, clients and the
//! process supervisor. It starts the sidecars of a small deployment as separate processes, plays one
//! case and writes what was sent, answered and run.
//!
//! Usage: harness CASE SIDECAR RECORD. It exits with 1 if the rule of the case was broken, 0 if it
//! held, and 2 if the case could not run. Without the disruption if TROUBLE is 0.

mod cases;
mod client;
mod http;
mod json;
mod machine;
mod store;
mod upstream;

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

/// Where `note` writes, and when the run began.
static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Returns the milliseconds since the run began.
pub fn now_ms() -> u64 {
    RECORD
        .get()
        .map_or(0, |(_, began)| began.elapsed().as_millis() as u64)
}

/// Writes a line to the record, with the time since the run began.
pub fn note(line: &str) {
    if let Some((file, _)) = RECORD.get() {
        let text = format!("{:>7} ms  {line}\n", now_ms());
        let mut file = file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = file.write_all(text.as_bytes());
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, sidecar, record] = arguments.as_slice() else {
        eprintln!("usage: harness CASE SIDECAR RECORD");
        std::process::exit(2);
    };
    let Ok(file) = File::create(record) else {
        eprintln!("cannot write {record}");
        std::process::exit(2);
    };
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note(&format!("case {case}, disruption: {is_troubled}"));
    let code = match cases::run(case, sidecar, is_troubled) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            note(&format!("could not run: {error}"));
            eprintln!("could not run: {error}");
            2
        }
    };
    note(&format!("exit code {code}"));
    std::process::exit(code);
}
