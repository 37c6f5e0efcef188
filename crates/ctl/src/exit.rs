//! Errors of the command and their exit codes, which scripts rely on.

use std::{io, process::ExitCode};

use gooseberry_config::diagnostic::TextDiagnostics;

/// Describes why the command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("{0}")]
    InvalidText(#[from] TextDiagnostics),
    #[error(
        "another operator has recorded revision {revision} in the meantime; \
         repeat the edit on that text\n{difference}"
    )]
    Conflict { revision: u64, difference: String },
    #[error("revision {revision} is recorded but not yet in force at: {daemons}")]
    NotInForce { revision: u64, daemons: String },
    #[error(
        "{daemon} has revision {revision} in force, but the platform has recorded only \
         {recorded}: the platform has lost data, and daemons refuse lower revisions"
    )]
    DataLost { daemon: String, revision: u64, recorded: u64 },
    #[error("can't read the log lines: {0}")]
    ReadLogs(io::Error),
    #[error("no log line has the request id {0}; pass the log lines of all daemons")]
    UnknownRequest(String),
    #[error("{0:#}")]
    Failed(#[from] anyhow::Error),
}

impl CommandError {
    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Failed(_) | Self::ReadLogs(_) | Self::UnknownRequest(_) => ExitCode::from(1),
            Self::InvalidText(_) => ExitCode::from(3),
            Self::Conflict { .. } => ExitCode::from(4),
            Self::NotInForce { .. } => ExitCode::from(5),
            Self::DataLost { .. } => ExitCode::from(6),
        }
    }
}
