//! Log output: lines for changes of state and for decisions, as text or JSON.
//!
//! A line is handed to a thread that writes it; where that thread is held up, lines are left out
//! and counted, and the work goes on.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use logforth::append::{Append, Stderr};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, Layout, TextLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};

use crate::settings::{LogFormat, LogLevel, LogSettings};

/// The lines that wait to be written; further ones are left out.
const LINES_MAX: usize = 4_096;

/// The time over which lines are gathered into one write.
const GATHER: Duration = Duration::from_millis(50);

/// The time for which the end of the process waits for its last lines.
const FLUSH_MAX: Duration = Duration::from_millis(150);

/// The greatest size of one write.
const WRITE_BYTES_MAX: usize = 64 * 1024;

/// Sends the log lines of this process to standard error; call it once.
pub fn start(settings: &LogSettings) {
    let filter = RustLogFilterBuilder::from_spec(spec(settings.level)).build();
    let appender = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .apply();
    log::set_max_level(greatest(settings.level));
}

/// Sends the log lines of this process to a writer, as JSON, and never waits for it; call it once.
pub fn start_with_writer(level: LogLevel, writer: Box<dyn Write + Send>) {
    let filter = RustLogFilterBuilder::from_spec(spec(level)).build();
    let appender = BoundedLogWriter::start(writer);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .apply();
    log::set_max_level(greatest(level));
}

/// What the writing thread is handed.
enum Entry {
    Line(Vec<u8>),
    /// Answered once all before it is written.
    Flush(SyncSender<()>),
}

/// Lines that a thread writes.
#[derive(Debug)]
pub struct BoundedLogWriter {
    layout: JsonLayout,
    lines: SyncSender<Entry>,
    left_out: Arc<AtomicU64>,
}

impl BoundedLogWriter {
    /// Starts the thread that writes.
    pub fn start(writer: Box<dyn Write + Send>) -> Self {
        let (lines, receiver) = sync_channel(LINES_MAX);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        std::thread::spawn(move || write_lines(&receiver, writer, &counted));
        Self {
            layout: JsonLayout::default(),
            lines,
            left_out,
        }
    }

    /// Hands over a line without its end; it is left out where too many wait.
    pub fn push(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        if self.lines.try_send(Entry::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until what was handed over is written, for a bounded time; says whether it is.
    pub fn flush_within(&self, time: Duration) -> bool {
        let (done, written) = sync_channel(1);
        self.lines.try_send(Entry::Flush(done)).is_ok() && written.recv_timeout(time).is_ok()
    }

    /// Returns the lines that were left out and not yet reported.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

impl Append for BoundedLogWriter {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.push(self.layout.format(record, diags)?);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        match self.flush_within(FLUSH_MAX) {
            true => Ok(()),
            false => Err(Error::new("log lines were not written in time")),
        }
    }
}

/// Writes what comes until the process ends; what cannot be written is lost.
fn write_lines(
    receiver: &Receiver<Entry>,
    mut writer: Box<dyn Write + Send>,
    left_out: &AtomicU64,
) {
    while let Ok(first) = receiver.recv() {
        let mut batch = Batch::default();
        batch.add(first);
        if batch.flushes.is_empty() {
            std::thread::sleep(GATHER);
        }
        while batch.text.len() < WRITE_BYTES_MAX {
            let Ok(entry) = receiver.try_recv() else {
                break;
            };
            batch.add(entry);
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = format!("{{\"level\":\"WARN\",\"message\":\"{missing} lines left out\"}}\n");
            batch.text.extend_from_slice(line.as_bytes());
        }
        if writer.write_all(&batch.text).is_err() {
            left_out.fetch_add(1, Ordering::Relaxed);
        }
        for done in batch.flushes {
            // Whoever waited for it may have given up.
            let _ = done.try_send(());
        }
    }
}

/// Lines of one write, and those that wait for it.
#[derive(Default)]
struct Batch {
    text: Vec<u8>,
    flushes: Vec<SyncSender<()>>,
}

impl Batch {
    fn add(&mut self, entry: Entry) {
        match entry {
            Entry::Line(line) => self.text.extend_from_slice(&line),
            Entry::Flush(done) => self.flushes.push(done),
        }
    }
}

/// Returns the greatest level that any filter lets pass, so that others are not even formed.
fn greatest(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

/// The link library logs each question and each one that is given up; the daemon tells of both.
fn spec(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error,tarpc=off",
        LogLevel::Warn => "warn,tarpc=off",
        LogLevel::Info => "info,tarpc=off",
        LogLevel::Debug => "debug,tarpc=warn",
    }
}
