//! Log lines: bounded where the reader stops, and never waited for.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use dragonflylug::host::logs::BoundedLogWriter;

const LINES: usize = 20_000;

/// A writer that waits until the test lets it go on.
struct Stuck {
    begun: Sender<()>,
    go_on: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, text: &[u8]) -> std::io::Result<usize> {
        let _ = self.begun.send(());
        let _ = self.go_on.recv();
        let _ = self.written.send(text.to_vec());
        Ok(text.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts lines whose writer is held up in its first line, until the sender that is returned is
/// dropped; what it writes then comes out of the receiver.
fn start_stuck() -> (BoundedLogWriter, Sender<()>, Receiver<Vec<u8>>) {
    let (begun, is_begun) = channel();
    let (let_go, go_on) = channel();
    let (written, texts) = channel();
    let lines = BoundedLogWriter::start(Box::new(Stuck {
        begun,
        go_on,
        written,
    }));
    lines.push(b"first".to_vec());
    is_begun.recv().unwrap();
    (lines, let_go, texts)
}

#[test]
fn a_reader_that_stops_reading_holds_nobody_up() {
    let (lines, let_go, texts) = start_stuck();
    let started = Instant::now();
    for _ in 0..LINES {
        lines.push(b"line".to_vec());
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    let left_out = lines.left_out();
    assert!(left_out > 0 && left_out < LINES as u64, "{left_out}");
    drop(let_go);
    let mut all = Vec::new();
    while !String::from_utf8_lossy(&all).contains("lines left out") {
        all.extend(texts.recv_timeout(Duration::from_secs(60)).unwrap());
    }
    assert!(all.starts_with(b"first\n"));
}

/// A writer that keeps what it is given.
struct Kept(Sender<Vec<u8>>);

impl Write for Kept {
    fn write(&mut self, text: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(text.to_vec());
        Ok(text.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The time for a condition that is waited for.
const PATIENCE: Duration = Duration::from_secs(60);

#[test]
fn the_last_lines_are_written_before_a_flush_is_over() {
    let (written, texts) = channel();
    let lines = BoundedLogWriter::start(Box::new(Kept(written)));
    for _ in 0..100 {
        lines.push(b"line".to_vec());
    }
    lines.push(b"stopped".to_vec());
    assert!(lines.flush_within(PATIENCE));
    let mut all = Vec::new();
    while let Ok(text) = texts.try_recv() {
        all.extend(text);
    }
    assert!(all.ends_with(b"line\nstopped\n"));
}

#[test]
fn a_reader_that_stops_reading_does_not_hold_up_the_end() {
    let (lines, _let_go, _texts) = start_stuck();
    let started = Instant::now();
    assert!(!lines.flush_within(Duration::from_millis(20)));
    assert!(started.elapsed() < Duration::from_secs(5));
}
