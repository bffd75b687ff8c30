//! The bounded log writer: a reader that stops reading must never block the daemon.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use dragonflylug::host::logs::BoundedLogWriter;

const LINES: usize = 20_000;

/// A writer that blocks until the test releases it.
struct BlockedWriter {
    write_started: Sender<()>,
    released: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, text: &[u8]) -> std::io::Result<usize> {
        let _ = self.write_started.send(());
        let _ = self.released.recv();
        let _ = self.written.send(text.to_vec());
        Ok(text.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts a log writer that blocks in its first line until the returned sender is dropped; the
/// receiver gets the text that it writes after that.
fn start_blocked() -> (BoundedLogWriter, Sender<()>, Receiver<Vec<u8>>) {
    let (write_started, first_write) = channel();
    let (release, released) = channel();
    let (written, texts) = channel();
    let lines = BoundedLogWriter::start(Box::new(BlockedWriter {
        write_started,
        released,
        written,
    }));
    lines.push(b"first".to_vec());
    first_write.recv().unwrap();
    (lines, release, texts)
}

#[test]
fn a_reader_that_stops_reading_does_not_block_log_calls() {
    let (lines, release, texts) = start_blocked();
    let started = Instant::now();
    for _ in 0..LINES {
        lines.push(b"line".to_vec());
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    let left_out = lines.left_out();
    assert!(left_out > 0 && left_out < LINES as u64, "{left_out}");
    drop(release);
    let mut all = Vec::new();
    while !String::from_utf8_lossy(&all).contains("lines left out") {
        all.extend(texts.recv_timeout(Duration::from_secs(60)).unwrap());
    }
    assert!(all.starts_with(b"first\n"));
}

/// A writer that sends its text to the test.
struct ChannelWriter(Sender<Vec<u8>>);

impl Write for ChannelWriter {
    fn write(&mut self, text: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(text.to_vec());
        Ok(text.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// How long a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn a_flush_returns_only_after_all_lines_are_written() {
    let (written, texts) = channel();
    let lines = BoundedLogWriter::start(Box::new(ChannelWriter(written)));
    for _ in 0..100 {
        lines.push(b"line".to_vec());
    }
    lines.push(b"stopped".to_vec());
    assert!(lines.flush_within(WAIT_TIMEOUT));
    let mut all = Vec::new();
    while let Ok(text) = texts.try_recv() {
        all.extend(text);
    }
    assert!(all.ends_with(b"line\nstopped\n"));
}

#[test]
fn a_reader_that_stops_reading_does_not_block_a_flush() {
    let (lines, _release, _texts) = start_blocked();
    let started = Instant::now();
    assert!(!lines.flush_within(Duration::from_millis(20)));
    assert!(started.elapsed() < Duration::from_secs(5));
}
