//! The story of one request, from the log lines of all daemons.
//!
//! Lines that name the request are shown, and those in which a daemon changed
//! its mind about a server that the request met, shortly before or while it
//! ran. Whatever stands before a line's JSON, such as the name of a VM that a
//! log collector adds, is kept.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Time before the request's first line in which news of its servers matters,
/// in milliseconds: an entry may lapse for two seconds, a rest takes three.
const BEFORE_MS: i64 = 5_000;
/// Fields that name a server.
const SERVER_FIELDS: &[&str] = &["server", "reader"];
/// Fields that every line has and that explain nothing.
const COMMON_FIELDS: &[&str] = &["timestamp", "level", "message", "target", "request"];

/// One line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// Milliseconds since the request's first line.
    pub at_ms: i64,
    /// What stood before the line's JSON.
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

/// Tells the story of a request, in order of time; empty if no line names it.
pub fn timeline<'a>(lines: impl IntoIterator<Item = &'a str>, request: &str) -> Vec<TimelineEntry> {
    let lines: Vec<LogLine> = lines.into_iter().filter_map(LogLine::parse).collect();
    let own = || lines.iter().filter(|line| line.text("request") == Some(request));
    let (Some(first), Some(last)) =
        (own().map(|line| line.at_ms).min(), own().map(|line| line.at_ms).max())
    else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = own().flat_map(LogLine::servers).collect();
    let mut told: Vec<&LogLine> = lines
        .iter()
        .filter(|line| match line.text("request") {
            Some(id) => id == request,
            None => {
                (first - BEFORE_MS..=last).contains(&line.at_ms)
                    && line.servers().any(|server| servers.contains(server))
            }
        })
        .collect();
    told.sort_by_key(|line| line.at_ms);
    told.into_iter().map(|line| tell(line, first)).collect()
}

fn tell(line: &LogLine, first: i64) -> TimelineEntry {
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

/// Reads a timestamp such as `2026-01-10T05:50:51.108824Z` as milliseconds of
/// its month; stories are far shorter.
fn millis(timestamp: &str) -> Option<i64> {
    let (date, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((day * 24 + hours) * 60 + minutes) * 60_000 + (seconds * 1000.0) as i64)
}
