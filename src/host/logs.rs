//! Log output: lines for changes of state, as text or JSON.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};

use crate::settings::{LogFormat, LogLevel, LogSettings};

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

/// Returns the greatest level that any filter lets pass, so that others are not even formed.
fn greatest(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

/// The link library logs each question; its warnings are enough.
fn spec(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info,tarpc=warn",
        LogLevel::Debug => "debug,tarpc=warn",
    }
}
