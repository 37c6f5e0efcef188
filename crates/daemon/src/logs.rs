//! Logs as JSON lines, with a level that can be changed at run time.

use std::io;

use anyhow::Context;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    fmt, layer::SubscriberExt, reload, util::SubscriberInitExt, EnvFilter, Registry,
};

/// Handle that changes the log level.
#[derive(Clone, Debug)]
pub struct LogFilter {
    handle: reload::Handle<EnvFilter, Registry>,
}

impl LogFilter {
    /// Sets the level, such as `info` or `gooseberry_daemon=debug`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text isn't a valid level.
    pub fn set(&self, level: &str) -> anyhow::Result<()> {
        let filter =
            EnvFilter::try_new(level).with_context(|| format!("{level} isn't a log level"))?;
        self.handle.reload(filter).context("the log level can't be changed")
    }
}

/// Installs logging of this process to standard error.
///
/// # Errors
///
/// Returns an error if the text isn't a valid level or logging is already
/// installed.
pub fn install(level: &str) -> anyhow::Result<LogFilter> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("{level} isn't a log level"))?;
    let (filter, handle) = reload::Layer::new(filter);
    let lines = fmt::layer().json().flatten_event(true).with_writer(std::io::stderr);
    tracing_subscriber::registry().with(filter).with(lines).try_init()?;
    Ok(LogFilter { handle })
}

/// Lines that are buffered for a slow reader. Further lines are dropped.
const BUFFERED_LINE_LIMIT: usize = 4096;

/// Installs logging of this process to standard output through a separate writer
/// thread. Lines are dropped if the reader is too slow, so that logging never
/// delays a request; the counter holds the number of dropped lines.
///
/// # Errors
///
/// Returns an error if the text isn't a valid level or logging is already
/// installed.
pub fn install_lossy(level: &str) -> anyhow::Result<(WorkerGuard, ErrorCounter)> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("{level} isn't a log level"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINE_LIMIT)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    let lines = fmt::layer().json().flatten_event(true).with_writer(writer);
    tracing_subscriber::registry().with(filter).with(lines).try_init()?;
    Ok((guard, dropped))
}
