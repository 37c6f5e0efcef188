//! Reads trace files: JSON lines in the order of the requests' arrival.

use std::{fs, path::Path};

use anyhow::Context;
use gooseberry_wire::trace::{FleetEvent, TraceEntry};

/// Reads the requests of a trace file.
///
/// # Errors
///
/// Returns an error that names the file, or the line that isn't a valid entry.
pub fn read(path: &Path) -> anyhow::Result<Vec<TraceEntry>> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("can't read trace file {}", path.display()))?;
    let lines = text.lines().enumerate().filter(|(_, line)| is_request(line));
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).with_context(|| {
                format!("{}: line {} isn't a valid trace entry", path.display(), index + 1)
            })
        })
        .collect()
}

/// Returns whether a line holds a request. Lines with fleet events are skipped:
/// only gooseberry-replay uses them.
fn is_request(line: &str) -> bool {
    !line.trim().is_empty() && serde_json::from_str::<FleetEvent>(line).is_err()
}
