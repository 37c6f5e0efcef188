//! Prints the story of a request.

use std::{
    fs,
    io::{self, Read},
    path::PathBuf,
};

use crate::{exit::CommandError, explain};

/// Reads log lines from files, or from standard input without any, and prints
/// what they say of a request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut text = String::new();
    if files.is_empty() {
        io::stdin().read_to_string(&mut text).map_err(CommandError::ReadLogs)?;
    }
    for file in files {
        text.push_str(&fs::read_to_string(file).map_err(CommandError::ReadLogs)?);
    }
    let story = explain::timeline(text.lines(), request);
    if story.is_empty() {
        return Err(CommandError::UnknownRequest(request.to_owned()));
    }
    for line in story {
        println!("{:>8} ms  {:<24} {:<28} {}", line.at_ms, line.origin, line.message, line.details);
    }
    Ok(())
}
