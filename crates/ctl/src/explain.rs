//! The timeline of one request, from the log lines of all daemons.
//!
//! The timeline has the lines with the request's id. It also has the lines
//! without a request id that name one of the request's servers and were logged
//! while the request ran or shortly before, since they show state changes of
//! these servers. Text before a line's JSON, such as the name of a VM that a
//! log collector adds, is kept as the line's origin.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Time before the request's first line from which state changes of its
/// servers are shown, in milliseconds. A server's entry may be expired for two
/// seconds, and the delay before a failed server is used again is three.
const LOOKBACK_MS: i64 = 5_000;
/// Fields that name a server.
const SERVER_FIELDS: &[&str] = &["server", "reader"];
/// Fields that aren't printed as details: every line has them, or they are shown apart.
const COMMON_FIELDS: &[&str] = &["timestamp", "level", "message", "target", "request"];

/// One log line of a timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// Milliseconds since the request's first line.
    pub at_ms: i64,
    /// Text before the line's JSON.
    pub origin: String,
    pub message: String,
    /// The other fields, as `name=value`.
    pub details: String,
}

#[derive(Clone, Debug)]
struct LogLine {
    at_ms: i64,
    origin: String,
    fields: Map<String, Value>,
}

impl LogLine {
    fn parse(text: &str) -> Option<Self> {
        let (origin, json) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at_ms = millis(fields.get("timestamp")?.as_str()?)?;
        Some(Self { at_ms, origin: origin.trim().to_owned(), fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn servers(&self) -> impl Iterator<Item = &str> {
        SERVER_FIELDS.iter().filter_map(|field| self.text(field))
    }
}

/// Returns the timeline of a request, ordered by time. It is empty if no line
/// has the request's id.
pub fn timeline<'a>(lines: impl IntoIterator<Item = &'a str>, request: &str) -> Vec<TimelineEntry> {
    let lines: Vec<LogLine> = lines.into_iter().filter_map(LogLine::parse).collect();
    let own = || lines.iter().filter(|line| line.text("request") == Some(request));
    let (Some(first), Some(last)) =
        (own().map(|line| line.at_ms).min(), own().map(|line| line.at_ms).max())
    else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = own().flat_map(LogLine::servers).collect();
    let mut selected: Vec<&LogLine> = lines
        .iter()
        .filter(|line| match line.text("request") {
            Some(id) => id == request,
            None => {
                (first - LOOKBACK_MS..=last).contains(&line.at_ms)
                    && line.servers().any(|server| servers.contains(server))
            }
        })
        .collect();
    selected.sort_by_key(|line| line.at_ms);
    selected.into_iter().map(|line| timeline_entry(line, first)).collect()
}

fn timeline_entry(line: &LogLine, first: i64) -> TimelineEntry {
    let details = line.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let details = details.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        value => format!("{name}={value}"),
    });
    TimelineEntry {
        at_ms: line.at_ms - first,
        origin: line.origin.clone(),
        message: line.text("message").unwrap_or_default().to_owned(),
        details: details.collect::<Vec<_>>().join(" "),
    }
}

/// Parses a timestamp such as `2026-01-10T05:50:51.108824Z` as milliseconds
/// since the start of its month. A timeline is far shorter than a month.
fn millis(timestamp: &str) -> Option<i64> {
    let (date, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((day * 24 + hours) * 60 + minutes) * 60_000 + (seconds * 1000.0) as i64)
}
