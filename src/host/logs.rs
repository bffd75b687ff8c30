//! Log output: lines for state changes and decisions, as text or JSON.
//!
//! [`BoundedLogWriter`] writes lines on a thread of its own with a bounded queue, so that a slow
//! reader of the log never blocks the daemon: lines that do not fit are left out and counted. The
//! lines of [`start`] go to standard error without that queue.

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

/// The maximum number of lines that wait to be written; further ones are left out.
const QUEUE_LINES_MAX: usize = 4_096;

/// How long lines are collected into one write.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// How long a flush waits for the queued lines to be written, such as at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// The size at which a write takes no further lines.
const WRITE_BYTES_MAX: usize = 64 * 1024;

/// Sends the log lines of this process to standard error; must be called once only.
pub fn start(settings: &LogSettings) {
    let filter = RustLogFilterBuilder::from_spec(filter_spec(settings.level)).build();
    let appender = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .apply();
    log::set_max_level(max_level(settings.level));
}

/// Sends the log lines of this process to a writer, as JSON; must be called once only.
///
/// Logging never blocks on the writer; a flush waits for it for a limited time.
pub fn start_with_writer(level: LogLevel, writer: Box<dyn Write + Send>) {
    let filter = RustLogFilterBuilder::from_spec(filter_spec(level)).build();
    let appender = BoundedLogWriter::start(writer);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .apply();
    log::set_max_level(max_level(level));
}

/// A message to the thread that writes.
enum Message {
    Line(Vec<u8>),
    /// A request to be notified when all lines before it have been written.
    Flush(SyncSender<()>),
}

/// A log appender with a bounded queue and a thread that writes.
#[derive(Debug)]
pub struct BoundedLogWriter {
    layout: JsonLayout,
    queue: SyncSender<Message>,
    left_out: Arc<AtomicU64>,
}

impl BoundedLogWriter {
    /// Creates an appender and starts its thread.
    pub fn start(writer: Box<dyn Write + Send>) -> Self {
        let (queue, receiver) = sync_channel(QUEUE_LINES_MAX);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        std::thread::spawn(move || write_lines(&receiver, writer, &counted));
        Self {
            layout: JsonLayout::default(),
            queue,
            left_out,
        }
    }

    /// Queues a line, given without its newline; it is left out if the queue is full.
    pub fn push(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines have been written, at most for a given time; returns whether
    /// they have. It fails immediately if the queue is full.
    pub fn flush_within(&self, timeout: Duration) -> bool {
        let (done, written) = sync_channel(1);
        self.queue.try_send(Message::Flush(done)).is_ok() && written.recv_timeout(timeout).is_ok()
    }

    /// Returns the number of lines that were left out and not yet reported in the log; a write that
    /// fails counts as one line, and its lines and any count that it reported are lost.
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
        match self.flush_within(FLUSH_TIMEOUT) {
            true => Ok(()),
            false => Err(Error::new(
                "log lines were not written before the flush timeout",
            )),
        }
    }
}

/// Writes queued lines until the queue is closed; lines that the writer fails to write are lost.
fn write_lines(
    receiver: &Receiver<Message>,
    mut writer: Box<dyn Write + Send>,
    left_out: &AtomicU64,
) {
    while let Ok(first) = receiver.recv() {
        let mut batch = Batch::default();
        batch.add(first);
        if batch.flushes.is_empty() {
            std::thread::sleep(BATCH_DELAY);
        }
        while batch.text.len() < WRITE_BYTES_MAX {
            let Ok(message) = receiver.try_recv() else {
                break;
            };
            batch.add(message);
        }
        let left_out_count = left_out.swap(0, Ordering::Relaxed);
        if left_out_count > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"message\":\"{left_out_count} lines left out\"}}\n");
            batch.text.extend_from_slice(line.as_bytes());
        }
        if writer.write_all(&batch.text).is_err() {
            left_out.fetch_add(1, Ordering::Relaxed);
        }
        for done in batch.flushes {
            // The caller may have stopped waiting after its timeout.
            let _ = done.try_send(());
        }
    }
}

/// The lines of one write and the flush requests to notify after it.
#[derive(Default)]
struct Batch {
    text: Vec<u8>,
    flushes: Vec<SyncSender<()>>,
}

impl Batch {
    fn add(&mut self, message: Message) {
        match message {
            Message::Line(line) => self.text.extend_from_slice(&line),
            Message::Flush(done) => self.flushes.push(done),
        }
    }
}

/// Returns the most verbose level that the filter passes, so that more verbose lines are not even
/// formatted.
fn max_level(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

/// Returns the filter specification of a level.
///
/// tarpc logs each request and each cancelled one, which the daemon logs itself, so the lines of
/// tarpc are suppressed; at the debug level, its warnings and errors are kept.
fn filter_spec(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error,tarpc=off",
        LogLevel::Warn => "warn,tarpc=off",
        LogLevel::Info => "info,tarpc=off",
        LogLevel::Debug => "debug,tarpc=warn",
    }
}
