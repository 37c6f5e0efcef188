//! Stand-ins of engines and plain servers, as PROTOCOL.md describes them.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{json, Value};

use crate::{
    http::{self, Request},
    record::Record,
    store::Store,
};

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time for which an order takes an engine offline (`switch-s`).
const SWITCH: Duration = Duration::from_secs(3);

/// What a run takes.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    Plain { ms: u64 },
    Stream { events: u32, gap_ms: u64 },
}

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Duration,
    /// Time of the end, and whether the connection took the whole answer.
    pub end: Option<(Duration, bool)>,
}

/// An order that an engine received.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub holder: String,
    pub fence: u64,
    pub stage: String,
}

#[derive(Debug, Default)]
struct State {
    stage: String,
    sequence: u64,
    busy_until: Option<Instant>,
    is_draining: bool,
    /// Version of the software, and Unix millisecond of the start.
    version: String,
    born: u64,
    /// Number of the start; runs of an earlier one are broken off.
    start: u32,
    /// Whether the process is down: connections are closed at once.
    is_down: bool,
    /// Whether the server keeps its entry in the store.
    is_registered: bool,
    runs: Vec<Run>,
    orders: Vec<Order>,
}

/// A server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    work: Work,
    state: Arc<Mutex<State>>,
    has_ended: Arc<AtomicBool>,
    store: Store,
    record: Record,
}

impl Server {
    /// Starts a server, registers it and keeps it registered. `stage` is empty for a plain one.
    pub fn start(
        record: &Record,
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        stage: &str,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let state = State {
            stage: stage.to_owned(),
            version: "v1".to_owned(),
            born: unix_ms(),
            is_registered: true,
            ..State::default()
        };
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            work,
            state: Arc::new(Mutex::new(state)),
            has_ended: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let serving = server.clone();
        http::serve(listener, Arc::new(move |request, stream| serving.handle(request, stream)));
        server.write_entry();
        let beating = server.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if beating.has_ended.load(Ordering::Relaxed) {
                return;
            }
            if !beating.has_ended() {
                beating.write_entry();
            }
        });
        record.line(format!("{id}: serves {service} in {zone} at {address}, stage {stage:?}"));
        server
    }

    pub fn entry(&self) -> Value {
        let state = self.state.lock().unwrap();
        let name = if state.is_draining { "draining" } else { "ready" };
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": state.version, "slots": if state.stage.is_empty() { 6 } else { 64 }, "state": name,
            "cold-left-ms": 0, "sequence": state.sequence, "born": state.born,
        });
        if !state.stage.is_empty() {
            entry["stage"] = state.stage.as_str().into();
            entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
        }
        entry
    }

    /// Writes the entry, unless the server has removed it.
    pub fn write_entry(&self) -> Option<u64> {
        let is_registered = self.state.lock().unwrap().is_registered;
        if !is_registered {
            return None;
        }
        self.store.put(&format!("servers/{}", self.id), &self.entry())
    }

    /// Reports that the server drains. Returns the revision of the acknowledgement.
    pub fn drain(&self) -> Option<u64> {
        self.state.lock().unwrap().is_draining = true;
        self.write_entry()
    }

    /// Ends the server as a process that exits does: its open connections are closed.
    pub fn end(&self) {
        self.state.lock().unwrap().is_registered = false;
        self.has_ended.store(true, Ordering::Relaxed);
        self.record.line(format!("{}: exits", self.id));
    }

    /// Ends the process as a crash does: connections are closed, and the store hears nothing.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        state.start += 1;
        self.record.say(format!("{}: crashes", self.id));
    }

    /// Starts again under the same id and address, with this version of the software.
    pub fn start_again(&self, version: &str) {
        {
            let mut state = self.state.lock().unwrap();
            state.version = version.to_owned();
            state.born = unix_ms();
            state.sequence = 0;
            state.is_down = false;
        }
        let revision = self.write_entry();
        let text = revision.map_or("the store doesn't take its entry yet".to_owned(), |it| {
            format!("entry at revision {it}")
        });
        self.record.say(format!("{}: starts again with software {version}; {text}", self.id));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed) || self.state.lock().unwrap().is_down
    }

    /// Whether the process that began a run has ended.
    fn is_over(&self, start: u32) -> bool {
        self.has_ended() || self.state.lock().unwrap().start != start
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        if self.has_ended() {
            return false;
        }
        let leaving =
            if self.state.lock().unwrap().is_draining { "Server-Leaving: 1\r\n" } else { "" };
        let id = request.id();
        let echo = format!("X-Attempt-Id: {id}\r\n{leaving}");
        let is_other = request.header("x-expect-instance").is_some_and(|name| name != self.id);
        if is_other {
            let headers = format!("{echo}X-Not-Executed: 1\r\nX-Instance-Id: {}\r\n", self.id);
            return http::respond(stream, 421, &headers, b"");
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/gooseberrykeel/report") => {
                return http::respond(stream, 200, leaving, self.report().to_string().as_bytes())
            }
            ("POST", "/gooseberrykeel/order") => {
                let status = self.order(request);
                return http::respond(stream, status, leaving, b"");
            }
            ("DELETE", path) if path.starts_with("/gooseberrykeel/kv-handle/") => {
                return http::respond(stream, 200, leaving, b"")
            }
            ("GET", "/healthz") => {
                let headers = format!("{leaving}X-Instance-Id: {}\r\n", self.id);
                return http::respond(
                    stream,
                    if leaving.is_empty() { 200 } else { 503 },
                    &headers,
                    b"",
                );
            }
            _ => {}
        }
        let is_prefill = request.header("x-serving-stage") == Some("prefill");
        let refusal = self.refusal(is_prefill);
        if let Some(status) = refusal {
            return http::respond(stream, status, &format!("{echo}X-Not-Executed: 1\r\n"), b"");
        }
        if is_prefill {
            thread::sleep(Duration::from_millis(20));
            let body = json!({"kv-handle": format!("h{id}"), "token-count": 1, "version": 1});
            let headers = format!("{echo}Content-Type: application/json\r\n");
            return http::respond(stream, 200, &headers, body.to_string().as_bytes());
        }
        self.run(request, stream, &echo)
    }

    fn refusal(&self, is_prefill: bool) -> Option<u16> {
        let state = self.state.lock().unwrap();
        let is_wrong_stage = match state.stage.as_str() {
            "prefill" => !is_prefill,
            _ => is_prefill,
        };
        if is_wrong_stage {
            Some(421)
        } else if state.busy_until.is_some() {
            Some(503)
        } else {
            None
        }
    }

    fn run(&self, request: &Request, stream: &mut TcpStream, echo: &str) -> bool {
        let id = request.id().to_owned();
        let index = {
            let mut state = self.state.lock().unwrap();
            state.runs.push(Run { id: id.clone(), at: self.record.now(), end: None });
            state.runs.len() - 1
        };
        self.record.line(format!("{}: runs {id} {} {}", self.id, request.method, request.path));
        let is_whole = match self.work {
            Work::Plain { ms } => self.run_plain(stream, echo, ms),
            Work::Stream { events, gap_ms } => {
                let last = request.header("last-event-id").and_then(|text| text.parse().ok());
                self.run_stream(stream, echo, last.unwrap_or(0) + 1, events, gap_ms)
            }
        };
        let end = self.record.now();
        self.state.lock().unwrap().runs[index].end = Some((end, is_whole));
        let how = if is_whole { "has answered" } else { "could not finish its answer to" };
        self.record.line(format!("{}: {how} {id}", self.id));
        is_whole
    }

    fn run_plain(&self, stream: &mut TcpStream, echo: &str, ms: u64) -> bool {
        let start = self.state.lock().unwrap().start;
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            thread::sleep(
                Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())),
            );
            if self.is_over(start) {
                return false;
            }
        }
        let headers = format!("{echo}X-Response-Seal: seal-{}\r\n", self.id);
        http::respond(
            stream,
            200,
            &headers,
            format!("done by {} of {}", self.id, self.service).as_bytes(),
        )
    }

    fn run_stream(
        &self,
        stream: &mut TcpStream,
        echo: &str,
        first: u32,
        events: u32,
        gap_ms: u64,
    ) -> bool {
        let (start, version) = {
            let state = self.state.lock().unwrap();
            (state.start, state.version.clone())
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Response-Seal: seal-{}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in first..=events {
            thread::sleep(Duration::from_millis(gap_ms));
            let event = format!("id: {number}\ndata: piece {number} of {events} by {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if self.is_over(start) || stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let active = state.runs.iter().filter(|run| run.end.is_none()).count();
        json!({"stage": state.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": state.busy_until.is_some(), "sequence": state.sequence, "queued": 0,
            "active": active, "kv-used": 0, "kv-total": 472920, "kv-handles": 0, "born": state.born})
    }

    /// Carries an order out. Fences aren't checked (`require-fencing` is false).
    fn order(&self, request: &Request) -> u16 {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (holder, fence) = (body["holder"].as_str(), body["fence"].as_u64());
        let stage = body["stage"].as_str().unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        let precondition = body["precondition"].as_u64();
        let status = match (holder, fence) {
            (None, _) | (_, None) => 400,
            _ if state.busy_until.is_some() => 409,
            _ if precondition.is_some_and(|sequence| sequence != state.sequence) => 409,
            _ if state.stage == stage => 200,
            _ => 202,
        };
        let order = Order {
            at: self.record.now(),
            holder: holder.unwrap_or_default().to_owned(),
            fence: fence.unwrap_or_default(),
            stage: stage.clone(),
        };
        self.record.say(format!(
            "{}: order {} from {} with fence {} -> {status}",
            self.id, order.stage, order.holder, order.fence
        ));
        state.orders.push(order);
        if status == 202 {
            state.sequence += 1;
            state.busy_until = Some(Instant::now() + SWITCH);
            drop(state);
            let server = self.clone();
            thread::spawn(move || {
                thread::sleep(SWITCH);
                {
                    let mut state = server.state.lock().unwrap();
                    state.busy_until = None;
                    state.stage = stage;
                }
                server.write_entry();
            });
        }
        status
    }
}
