//! The sub-command that prints the timeline of a request.

use std::{
    fs,
    io::{self, Read},
    path::PathBuf,
};

use crate::{exit::CommandError, explain};

/// Reads log lines from files, or from standard input if no file is given, and
/// prints the timeline of a request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut text = String::new();
    if files.is_empty() {
        io::stdin().read_to_string(&mut text).map_err(CommandError::ReadLogs)?;
    }
    for file in files {
        text.push_str(&fs::read_to_string(file).map_err(CommandError::ReadLogs)?);
    }
    let timeline = explain::timeline(text.lines(), request);
    if timeline.is_empty() {
        return Err(CommandError::UnknownRequest(request.to_owned()));
    }
    for entry in timeline {
        println!(
            "{:>8} ms  {:<24} {:<28} {}",
            entry.at_ms, entry.origin, entry.message, entry.details
        );
    }
    Ok(())
}
