//! Trace files: JSON lines in the order of arrival.

use std::{fs, path::Path};

use anyhow::Context;
use gooseberry_wire::trace::{FleetEvent, TraceEntry};

/// Reads the requests of a trace file.
///
/// # Errors
///
/// Returns an error that names the line that can't be read.
pub fn read(path: &Path) -> anyhow::Result<Vec<TraceEntry>> {
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    let lines = text.lines().enumerate().filter(|(_, line)| is_request(line));
    lines
        .map(|(index, line)| {
            serde_json::from_str(line)
                .with_context(|| format!("{}: line {} isn't valid", path.display(), index + 1))
        })
        .collect()
}

/// Tells whether a line is meant as a request; fleet events are for the replay
/// of decisions only.
fn is_request(line: &str) -> bool {
    !line.trim().is_empty() && serde_json::from_str::<FleetEvent>(line).is_err()
}
