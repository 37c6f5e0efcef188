//! Callers of streams, which take a broken stream up again at another daemon.

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use crate::record::Record;

/// What one attempt of a request brought.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    pub status: String,
    /// Number of the last complete event.
    pub last_event: usize,
    /// Versions that wrote complete events.
    pub versions: BTreeSet<String>,
    pub is_complete: bool,
    /// Time for which the daemon asks the caller to wait, if it refuses.
    pub retry_after: Option<Duration>,
}

/// Sends one attempt and reads its events until the stream ends.
pub fn attempt(frontend: &str, request: &str, limit: Duration) -> Attempt {
    let mut outcome = Attempt::default();
    let ends_at = Instant::now() + limit;
    let Ok(address) = frontend.parse() else { return outcome };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return outcome;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(request.as_bytes()).is_err() {
        return outcome;
    }
    let mut text = String::new();
    let mut chunk = [0; 8192];
    loop {
        let left = ends_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(read) => text.push_str(&String::from_utf8_lossy(&chunk[..read])),
        }
        if text.ends_with("0\r\n\r\n") && text.contains("\r\n\r\n") {
            outcome.is_complete = text.starts_with("HTTP/1.1 200");
            break;
        }
        if text.starts_with("HTTP/1.1 5") && text.contains("\r\n\r\n") {
            break;
        }
    }
    outcome.status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let head = text.split("\r\n\r\n").next().unwrap_or_default().to_ascii_lowercase();
    outcome.retry_after = head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: ")?.trim().parse().ok())
        .map(Duration::from_secs_f64);
    for event in text.split("id: ").skip(1) {
        let Some((number, rest)) = event.split_once("\ndata: ") else { continue };
        let Some((version, _)) = rest.split_once("\n\n") else { continue };
        if let Ok(number) = number.parse() {
            outcome.last_event = number;
            outcome.versions.insert(version.to_owned());
        }
    }
    outcome
}

/// A stream that a caller wants.
#[derive(Clone, Debug)]
pub struct Wish {
    pub id: String,
    pub deadline: Duration,
    pub shared: String,
    /// Number of times that the caller takes a broken stream up again.
    pub resumes: usize,
}

/// Runs one stream over its attempts. `frontend` names the daemon of each attempt. Returns the
/// versions of the events that the caller got, and whether the stream was begun.
pub fn stream(
    wish: &Wish,
    record: &Record,
    mut frontend: impl FnMut(usize) -> String,
) -> BTreeSet<String> {
    let ends_at = Instant::now() + wish.deadline;
    let mut versions = BTreeSet::new();
    let mut last_event = 0;
    let mut first_id: Option<String> = None;
    for number in 0..=wish.resumes {
        let left = ends_at.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(100) {
            break;
        }
        let id = format!("{}{number:x}", wish.id);
        let resumption = first_id.as_ref().map_or(String::new(), |first| {
            format!("Last-Event-Id: {last_event}\r\nResumes: {first}\r\n")
        });
        let request = format!(
            "POST /chat/2f HTTP/1.1\r\nHost: lan.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
             X-Token-Usage: 1460,60\r\nX-Prompt-Prefix: {}:350,{}:1110\r\nX-Deadline-Ms: {}\r\n\
             {resumption}Content-Length: 2\r\n\r\n{{}}",
            wish.shared,
            wish.id,
            left.as_millis()
        );
        let daemon = frontend(number);
        let outcome = attempt(&daemon, &request, left);
        record.add(format!(
            "caller {id} at {daemon}: {resumption:?} status {} versions {:?} last event {} whole {}",
            outcome.status, outcome.versions, outcome.last_event, outcome.is_complete
        ));
        if !outcome.versions.is_empty() {
            first_id.get_or_insert(id);
            last_event = outcome.last_event;
            versions.extend(outcome.versions);
        }
        if outcome.is_complete || outcome.status.starts_with('4') {
            break;
        }
        if let Some(wait) = outcome.retry_after {
            let left = ends_at.saturating_duration_since(Instant::now());
            std::thread::sleep(wait.min(left / 3));
        }
    }
    versions
}
