//! Trace files: JSON lines of requests and fleet events, ordered by time.

use gooseberry_wire::trace::{FleetEvent, TraceEntry};

/// Holds the requests and the fleet events of a trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayTrace {
    pub requests: Vec<TraceEntry>,
    pub events: Vec<FleetEvent>,
}

/// Describes the first line of a trace that can't be parsed.
#[derive(Debug, thiserror::Error)]
#[error("line {line} is neither a request nor a fleet event: {source}")]
pub struct TraceError {
    pub line: usize,
    source: serde_json::Error,
}

impl ReplayTrace {
    /// Parses JSON lines and sorts them by time. Blank lines are ignored.
    ///
    /// # Errors
    ///
    /// Returns the number of the first line that can't be parsed.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut trace = Self::default();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            // Requests are parsed last, so that the error names a field of a request.
            if let Ok(event) = serde_json::from_str(line) {
                trace.events.push(event);
                continue;
            }
            let entry = serde_json::from_str(line)
                .map_err(|source| TraceError { line: index + 1, source })?;
            trace.requests.push(entry);
        }
        trace.requests.sort_by_key(|entry| entry.at_ms);
        trace.events.sort_by_key(|event| event.at_ms);
        Ok(trace)
    }

    /// Returns the trace as JSON lines, ordered by time.
    ///
    /// # Panics
    ///
    /// Panics if a line can't be written as JSON, which doesn't occur for these types.
    pub fn to_text(&self) -> String {
        let requests = self.requests.iter().map(|entry| (entry.at_ms, compact(entry)));
        let events = self.events.iter().map(|event| (event.at_ms, compact(event)));
        let mut lines: Vec<_> = events.chain(requests).collect();
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        lines.into_iter().map(|(_, line)| line + "\n").collect()
    }
}

fn compact(line: &impl serde::Serialize) -> String {
    serde_json::to_string(line).expect("a trace line can be written as JSON")
}
