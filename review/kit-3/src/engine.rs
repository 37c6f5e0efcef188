//! A model engine, as the users' pages describe one.

use std::{
    collections::HashMap,
    io::Write,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use serde_json::json;

use crate::{
    net,
    record::Record,
    store::StandinStore,
    wire::{self, ReceivedRequest},
};

/// Time between two writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time that a prefill takes.
const PREFILL_TIME: Duration = Duration::from_millis(20);
/// Time to the first event of a stream.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(25);

/// Whether the engines reach the store. They write again once they do.
#[derive(Clone)]
pub struct StoreLink {
    pub store: StandinStore,
    pub is_away: Arc<Mutex<bool>>,
}

#[derive(Clone, Debug)]
struct EngineState {
    stage: String,
    software: String,
    born: u64,
    /// Number of the entry's writes.
    writes: u64,
    /// Number of accepted orders.
    orders: u64,
    busy_until: Option<Instant>,
    is_up: bool,
    running: usize,
    slots: usize,
    last_write: Instant,
    events: usize,
    event_gap: Duration,
}

/// A model engine that can end and start again under its id.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub zone: String,
    pub address: String,
    state: Arc<Mutex<EngineState>>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
    next: Arc<AtomicU64>,
    link: StoreLink,
    record: Record,
}

/// What an engine is like at its first start.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    pub id: String,
    pub zone: String,
    pub stage: String,
    pub software: String,
    pub slots: usize,
    /// Number of events of a stream, or 0 if streams have 20 to 60 of them, and the time between two.
    pub events: usize,
    pub event_gap: Duration,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    /// Starts an engine, which registers itself.
    pub fn start(plan: EnginePlan, link: StoreLink, record: Record) -> Self {
        let listener = net::bind_unused_address();
        let address = listener.local_addr().expect("an address").to_string();
        let state = EngineState {
            stage: plan.stage,
            software: plan.software,
            born: unix_ms(),
            writes: 0,
            orders: 0,
            busy_until: None,
            is_up: true,
            running: 0,
            slots: plan.slots,
            last_write: Instant::now(),
            events: plan.events,
            event_gap: plan.event_gap,
        };
        let engine = Self {
            id: plan.id,
            zone: plan.zone,
            address,
            state: Arc::new(Mutex::new(state)),
            open: Arc::default(),
            next: Arc::default(),
            link,
            record,
        };
        engine.write_entry();
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(Some(listener)));
        let beating = engine.clone();
        thread::spawn(move || beating.beat());
        engine
    }

    /// Ends the process of the engine: its connections are reset and new ones are refused.
    pub fn crash(&self) {
        self.record.say(format!("engine {} ends", self.id));
        self.state.lock().is_up = false;
        for (_, stream) in self.open.lock().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the engine again under its id, with this version of its software.
    pub fn restart(&self, software: &str) {
        {
            let mut state = self.state.lock();
            state.software = software.to_owned();
            state.born = unix_ms();
            state.writes = 0;
            state.orders = 0;
            state.busy_until = None;
            state.running = 0;
            state.is_up = true;
        }
        self.record.say(format!("engine {} starts again with version {software}", self.id));
        self.write_entry();
    }

    fn write_entry(&self) {
        if *self.link.is_away.lock() {
            return;
        }
        let mut state = self.state.lock();
        state.writes += 1;
        state.last_write = Instant::now();
        let entry = json!({
            "service": "lan-adstod", "address": self.address, "zone": self.zone,
            "version": state.software, "slots": state.slots, "state": "ready",
            "cold-left-ms": 0, "sequence": state.writes, "stage": state.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}], "born": state.born,
        });
        self.link.store.put_server(&self.id, &entry);
    }

    fn beat(&self) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let (is_due, is_changed) = {
                let mut state = self.state.lock();
                let is_changed = state.busy_until.is_some_and(|until| until <= Instant::now());
                if is_changed {
                    state.busy_until = None;
                }
                (state.is_up && state.last_write.elapsed() >= HEARTBEAT, is_changed)
            };
            if is_due || is_changed {
                self.write_entry();
            }
        }
    }

    fn accept(&self, mut listener: Option<TcpListener>) {
        loop {
            let is_up = self.state.lock().is_up;
            if !is_up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(&self.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let engine = self.clone();
                    thread::spawn(move || engine.serve(stream));
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let born = self.state.lock().born;
        if let Ok(handle) = stream.try_clone() {
            self.open.lock().insert(number, handle);
        }
        while let Some(request) = wire::read_request(&mut stream) {
            let is_same = {
                let state = self.state.lock();
                state.is_up && state.born == born
            };
            if !is_same || !self.respond(&request, &mut stream, born) {
                break;
            }
        }
        self.open.lock().remove(&number);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn respond(&self, request: &ReceivedRequest, stream: &mut TcpStream, born: u64) -> bool {
        let path = request.path().to_owned();
        if path == "/gooseberrykeel/report" {
            return self.report(stream);
        }
        if path == "/gooseberrykeel/order" {
            return self.order(request, stream);
        }
        if path.starts_with("/gooseberrykeel/") {
            return write(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        if request.expected_server().is_some_and(|id| id != self.id) {
            return wire::write_misdirected(request, stream);
        }
        let is_busy = self.state.lock().busy_until.is_some();
        if is_busy {
            return wire::write_rejection(request, stream, "");
        }
        if request.is_prefill() {
            thread::sleep(PREFILL_TIME);
            let id = request.id();
            let body = wire::prefill_body(request);
            return write(
                stream,
                &format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                ),
            );
        }
        {
            let mut state = self.state.lock();
            if state.stage == "prefill" {
                drop(state);
                return wire::write_misdirected(request, stream);
            }
            if state.running >= state.slots {
                drop(state);
                self.record.add(format!("engine {} is full and rejects {}", self.id, request.id()));
                return wire::write_rejection(request, stream, "");
            }
            state.running += 1;
        }
        let is_kept = self.stream(request, stream, born);
        let mut state = self.state.lock();
        if state.born == born {
            state.running = state.running.saturating_sub(1);
        }
        is_kept
    }

    fn stream(&self, request: &ReceivedRequest, stream: &mut TcpStream, born: u64) -> bool {
        let (software, events, gap) = {
            let state = self.state.lock();
            (state.software.clone(), state.events, state.event_gap)
        };
        // A stream that is taken up again has as many events as the first attempt.
        let stream_id = request.header("resumes").unwrap_or_else(|| request.id());
        let sum: usize = stream_id.bytes().map(usize::from).sum();
        let events = if events == 0 { 20 + sum * 7 % 41 } else { events };
        let first: usize =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        thread::sleep(FIRST_EVENT_TIME);
        self.record.add(format!(
            "engine {} ({software}) runs {} from event {first}, resumes {}",
            self.id,
            request.id(),
            request.header("resumes").unwrap_or("-")
        ));
        let head = wire::response_head(
            request,
            "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked",
        );
        if !write(stream, &head) {
            return false;
        }
        for number in first..=events {
            let state = self.state.lock();
            if state.born != born || !state.is_up {
                return false;
            }
            drop(state);
            let text = format!("id: {number}\ndata: {software}\n\n");
            if !write(stream, &format!("{:x}\r\n{text}\r\n", text.len())) {
                return false;
            }
            thread::sleep(gap);
        }
        write(stream, "0\r\n\r\n")
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let state = self.state.lock().clone();
        let body = json!({
            "stage": state.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": state.busy_until.is_some(), "sequence": state.orders, "queued": 0,
            "active": state.running, "kv-used": 0, "kv-total": 472_920, "kv-handles": 0,
            "born": state.born,
        })
        .to_string();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
        write(stream, &format!("{head}{}\r\n\r\n{body}", body.len()))
    }

    fn order(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let body: serde_json::Value = serde_json::from_str(&request.body).unwrap_or_default();
        let status = {
            let mut state = self.state.lock();
            let expected = body["precondition"].as_u64();
            if state.busy_until.is_some() || expected.is_some_and(|count| count != state.orders) {
                409
            } else {
                state.orders += 1;
                state.stage = body["stage"].as_str().unwrap_or("decode").to_owned();
                state.busy_until = Some(Instant::now() + Duration::from_secs(3));
                202
            }
        };
        self.record.add(format!("engine {} gets the order {body}: {status}", self.id));
        write(stream, &format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"))
    }
}

fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
