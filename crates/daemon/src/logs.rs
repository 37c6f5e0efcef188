//! Logs as JSON lines, with a level that can be changed while running.

use anyhow::Context;
use tracing_subscriber::{
    fmt, layer::SubscriberExt, reload, util::SubscriberInitExt, EnvFilter, Registry,
};

/// Changes the level of the logs.
#[derive(Clone, Debug)]
pub struct LogLevels {
    handle: reload::Handle<EnvFilter, Registry>,
}

impl LogLevels {
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
pub fn install(level: &str) -> anyhow::Result<LogLevels> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("{level} isn't a log level"))?;
    let (filter, handle) = reload::Layer::new(filter);
    let lines = fmt::layer().json().flatten_event(true).with_writer(std::io::stderr);
    tracing_subscriber::registry().with(filter).with(lines).try_init()?;
    Ok(LogLevels { handle })
}
