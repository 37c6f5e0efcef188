//! Cases 8 and 9: an engine starts again under its id with another software version, and ends once
//! more soon after. Meanwhile a daemon's connection to the store is silent (case 8), or a write of the
//! engine's first start, whose answer was lost, is carried out seconds later (case 9). Checks that no
//! more than two streams hold events of two versions.

use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{self, StandinStore};
use parking_lot::Mutex;
use review_kit_2::{has_trouble, Daemon, Engine, Folder, Handler, Record, SilentProxy};

/// Events of a stream, and the time between two.
const EVENTS: usize = 36;
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Clients that have one stream each at a time.
const CLIENTS: u64 = 120;
/// Time before the disruption; longer than `stable-ms` (3 s).
const CALM: Duration = Duration::from_secs(5);
/// Time until the engine is back.
const RESTART: Duration = Duration::from_millis(300);
/// Time from its start to its second end.
const SECOND_END: Duration = Duration::from_millis(1450);
/// Most streams that may hold events of two versions.
const ALLOWED: usize = 2;

/// What a client got in one attempt: events as their numbers and texts.
#[derive(Default)]
struct Attempt {
    status: String,
    is_complete: bool,
    events: Vec<(usize, String)>,
}

fn main() -> ExitCode {
    let record = Record::create();
    let folder = Folder::create();
    let store = StandinStore::start();
    let mut configuration = gateway_mocks::configuration(1, "plain");
    configuration["routes"][3]["timeout-ms"] = 8000.into();
    store.put_configuration(&configuration);
    let handler = handler(record.clone());
    // As many engines as on the sheet.
    let prefill = ["e-p", "e-q"].map(|id| (id, "prefill"));
    let decode = ["e-a", "e-b", "e-c", "e-d", "e-e", "e-f", "e-g"].map(|id| (id, "decode"));
    let rows = prefill.into_iter().chain(decode);
    let engines: Arc<Vec<Engine>> = Arc::new(
        rows.into_iter()
            .map(|(id, stage)| Engine::start(id, "model", stage, "v1", Arc::clone(&handler)))
            .collect(),
    );
    engines.iter().for_each(|engine| engine.register(&store, "ready"));
    let is_over = Arc::new(AtomicBool::new(false));
    write_heartbeats(&engines, &store, &is_over);
    let store_link = SilentProxy::start(store.address);
    let extra = "memory_mb: 260\n";
    let first = Daemon::start(&folder.0, "edge-1", &store_link.address.to_string(), extra);
    let second = Daemon::start(&folder.0, "edge-2", &store.address.to_string(), extra);
    if !first.wait_ready() || !second.wait_ready() {
        record.say("a daemon isn't ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(2));
    let mixed: Arc<Mutex<Vec<String>>> = Arc::default();
    let (begun, resumed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, is_over, mixed) = (record.clone(), Arc::clone(&is_over), Arc::clone(&mixed));
        let (begun, resumed) = (Arc::clone(&begun), Arc::clone(&resumed));
        let addresses = (first.requests, second.requests);
        clients.push(thread::spawn(move || {
            thread::sleep(EVENT_GAP * EVENTS as u32 * client as u32 / CLIENTS as u32);
            while !is_over.load(Ordering::Relaxed) {
                let number = begun.fetch_add(1, Ordering::Relaxed);
                let (events, was_resumed) = stream(&record, addresses, number);
                resumed.fetch_add(u64::from(was_resumed), Ordering::Relaxed);
                let mut versions: Vec<&str> = events
                    .iter()
                    .map(|(_, text)| text.split(' ').next().unwrap_or_default())
                    .collect();
                versions.dedup();
                if versions.len() > 1 {
                    record.line(&format!("r{number} holds events of {versions:?}: {events:?}"));
                    mixed.lock().push(format!("r{number}"));
                }
                if events.is_empty() {
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }));
    }
    thread::sleep(CALM);
    let engine = engines.iter().find(|engine| engine.id == "e-b").expect("an engine of this id");
    if std::env::args().nth(2).as_deref() == Some("late-write") {
        play_late_write(&record, engine, &store, &is_over);
    } else {
        play_silence(&record, engine, &store, &store_link);
    }
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    let joined_at = Instant::now();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    record.line(&format!("clients ended after {:?}", joined_at.elapsed()));
    drop((first, second));
    let mixed = mixed.lock();
    let (begun, resumed) = (begun.load(Ordering::Relaxed), resumed.load(Ordering::Relaxed));
    record.say(&format!(
        "{begun} streams, {resumed} taken up again, {} with events of two versions",
        mixed.len()
    ));
    let is_broken = mixed.len() > ALLOWED;
    record.say(if is_broken { "ORDER is broken" } else { "ORDER holds" });
    drop(folder);
    std::process::exit(i32::from(is_broken))
}

/// Case 8.
fn play_silence(record: &Record, engine: &Engine, store: &StandinStore, store_link: &SilentProxy) {
    if has_trouble() {
        store_link.silence_open();
        record.say("the open connections of edge-1 to the store are silent; new ones work");
        thread::sleep(Duration::from_millis(50));
    }
    engine.crash();
    record.say("e-b ends");
    thread::sleep(RESTART);
    engine.start_again("v2");
    engine.register(store, "ready");
    record.say("e-b runs again under its id, as v2, and has written its entry");
    thread::sleep(SECOND_END);
    if has_trouble() {
        end_again(record, engine, store);
    }
}

/// Case 9.
fn play_late_write(
    record: &Record,
    engine: &Engine,
    store: &StandinStore,
    is_over: &Arc<AtomicBool>,
) {
    let late = engine.entry("ready", review_kit_2::epoch_ms());
    record.say("e-b (v1) writes its entry; the store loses the answer and carries it out later");
    thread::sleep(Duration::from_millis(100));
    engine.crash();
    record.say("e-b ends");
    thread::sleep(Duration::from_millis(1000));
    engine.start_again("v2");
    engine.register(store, "ready");
    record.say("e-b runs again under its id, as v2, and has written its entry");
    thread::sleep(Duration::from_millis(2500));
    // Waits for the engine's next heartbeat, so that the late write is the newest for a while.
    let revision_of = || store.value_text("servers/e-b");
    let before = revision_of();
    while revision_of() == before && !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
    if has_trouble() {
        store.put_server("e-b", &late);
        record.say("the store carries out the write of e-b (v1)");
    }
    thread::sleep(Duration::from_millis(1100));
    if has_trouble() {
        end_again(record, engine, store);
    }
}

fn end_again(record: &Record, engine: &Engine, store: &StandinStore) {
    engine.crash();
    record.say("e-b ends again");
    thread::sleep(Duration::from_secs(1));
    engine.start_again("v2");
    engine.register(store, "ready");
}

/// Lets the engines that run write their entries about every 1.2 s.
fn write_heartbeats(engines: &Arc<Vec<Engine>>, store: &StandinStore, is_over: &Arc<AtomicBool>) {
    let (engines, store, is_over) = (Arc::clone(engines), store.clone(), Arc::clone(is_over));
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            for engine in engines.iter() {
                if engine.is_alive() {
                    engine.register(&store, "ready");
                }
                thread::sleep(Duration::from_millis(1200) / engines.len() as u32);
            }
        }
    });
}

/// Returns a handler that streams events with the version that makes them.
fn handler(record: Record) -> Handler {
    Arc::new(move |request, stream, run| {
        if request.path() == "/gooseberrykeel/order" {
            // Another order is in progress.
            record.line(&format!("{} refuses an order: {}", run.id, request.body));
            let head = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
            return gateway_mocks::write_text(stream, head);
        }
        if request.is_prefill() {
            return gateway_mocks::write_prefill_response(request, stream);
        }
        if request.request_line.starts_with("DELETE") {
            return gateway_mocks::write_text(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            );
        }
        let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.line(&format!(
            "{} ({}) runs {} after event {last}",
            run.id,
            run.version,
            request.id()
        ));
        let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
        if !gateway_mocks::write_text(stream, &gateway_mocks::response_head(request, head)) {
            return false;
        }
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {} {}\n\n", run.version, run.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !run.alive.load(Ordering::SeqCst) || !gateway_mocks::write_text(stream, &chunk) {
                return false;
            }
            thread::sleep(EVENT_GAP);
        }
        gateway_mocks::write_text(stream, "0\r\n\r\n")
    })
}

/// Begins a stream at the first daemon. If it breaks after its first event, takes it up again at the
/// second one. Returns all events, and whether it was taken up again.
fn stream(
    record: &Record,
    (first, second): (SocketAddr, SocketAddr),
    number: u64,
) -> (Vec<(usize, String)>, bool) {
    let id = format!("r{number}");
    let prompt = gateway_mocks::prompt_headers(&format!("aa{number:x}"), &format!("ff{number:x}"));
    let begun = attempt(first, &id, &prompt);
    let mut events = begun.events;
    record.line(&format!(
        "{id}: {} with {} events, whole: {}",
        begun.status,
        events.len(),
        begun.is_complete
    ));
    let Some((last, _)) = events.last().filter(|_| !begun.is_complete) else {
        return (events, false);
    };
    let headers = format!("{prompt}Resumes: {id}\r\nLast-Event-Id: {last}\r\n");
    let again = attempt(second, &format!("{id}-2"), &headers);
    record.line(&format!(
        "{id}-2 after event {last}: {} with {} events, whole: {}",
        again.status,
        again.events.len(),
        again.is_complete
    ));
    events.extend(again.events);
    (events, true)
}

fn attempt(address: SocketAddr, id: &str, headers: &str) -> Attempt {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Attempt::default();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let request = format!(
        "POST /review/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 8000\r\nContent-Length: 0\r\n{headers}\r\n"
    );
    let mut text = String::new();
    if gateway_mocks::write_text(&mut stream, &request) {
        let mut chunk = [0; 4096];
        while !gateway_mocks::is_complete_response(&text) {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(length) => text.push_str(&String::from_utf8_lossy(&chunk[..length])),
            }
        }
    }
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body: String = body.lines().map(|line| line.trim_end().to_owned() + "\n").collect();
    let events = body.split("\n\n").filter_map(|part| {
        let number = part.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
        let data = part.lines().find_map(|line| line.strip_prefix("data: "))?;
        Some((number, data.to_owned()))
    });
    Attempt {
        status: gateway_mocks::status_code(&text).to_owned(),
        is_complete: gateway_mocks::is_complete_response(&text) && text.ends_with("0\r\n\r\n"),
        events: events.collect(),
    }
}
