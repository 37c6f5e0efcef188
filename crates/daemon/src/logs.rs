//! Logs as JSON lines, with a level that can be changed while running.

use std::io;

use anyhow::Context;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    fmt, layer::SubscriberExt, reload, util::SubscriberInitExt, EnvFilter, Registry,
};

/// Changes the level of the logs.
#[derive(Clone, Debug)]
pub struct LogFilter {
    handle: reload::Handle<EnvFilter, Registry>,
}

impl LogFilter {
    /// Sets the level, such as `info` or `gooseberry_daemon=debug`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text names no level.
    pub fn set(&self, level: &str) -> anyhow::Result<()> {
        let filter =
            EnvFilter::try_new(level).with_context(|| format!("{level} isn't a log level"))?;
        self.handle.reload(filter).context("the log level can't be changed")
    }
}

/// Installs the logs of this process on standard error.
///
/// # Errors
///
/// Returns an error if the text names no level or logs are installed already.
pub fn install(level: &str) -> anyhow::Result<LogFilter> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("{level} isn't a log level"))?;
    let (filter, handle) = reload::Layer::new(filter);
    let lines = fmt::layer().json().flatten_event(true).with_writer(std::io::stderr);
    tracing_subscriber::registry().with(filter).with(lines).try_init()?;
    Ok(LogFilter { handle })
}

/// Lines that wait for a slow reader; more are dropped.
const LINE_LIMIT: usize = 4096;

/// Installs the logs of this process on standard output, written by a thread of
/// their own. Lines are dropped while the reader doesn't keep up, so that logs
/// never delay a request; the counter tells how many.
///
/// # Errors
///
/// Returns an error if the text names no level or logs are installed already.
pub fn install_lossy(level: &str) -> anyhow::Result<(WorkerGuard, ErrorCounter)> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("{level} isn't a log level"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINE_LIMIT)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    let lines = fmt::layer().json().flatten_event(true).with_writer(writer);
    tracing_subscriber::registry().with(filter).with(lines).try_init()?;
    Ok((guard, dropped))
}
