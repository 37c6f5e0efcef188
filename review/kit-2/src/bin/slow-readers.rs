//! Case 7: callers on kept connections read an answer slowly. Checks that the daemon doesn't close
//! these connections without the answer.

use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{self, StandinStore};
use review_kit_2::{has_trouble, Daemon, Engine, Folder, Handler, Record};

/// Body of a plain answer, in bytes: the largest one of the sheet's plain service.
const BODY_BYTES: usize = 4800;
/// Events of a stream and the bytes of one, which are below the largest ones of the sheet.
const EVENTS: usize = 24;
const EVENT_BYTES: usize = 200;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(10);
/// Receive buffer of a caller, in bytes: links have small windows.
const WINDOW_BYTES: usize = 2304;
/// Time that a server works on a plain request, as on the sheet.
const WORK: Duration = Duration::from_millis(60);
/// Callers, each with a connection of its own.
const CALLERS: u64 = 12;
/// Requests of a caller.
const REQUESTS: u64 = 4;
/// A kind of request.
struct Kind {
    path: &'static str,
    /// Time that callers wait, and `timeout-ms` of the route, as on the sheet.
    deadline_ms: u64,
    /// Time that a slow caller doesn't read. It ends before the deadline.
    pause: Duration,
}

/// `filing-register` and `complaint-tag` of the sheet.
const KINDS: [Kind; 2] = [
    Kind { path: "/order/x", deadline_ms: 2000, pause: Duration::from_millis(1900) },
    Kind { path: "/chat/x", deadline_ms: 6000, pause: Duration::from_millis(2500) },
];

/// Time before the first request; longer than `stable-ms` (3 s).
const CALM: Duration = Duration::from_secs(4);
/// Requests that the rule lets a daemon lose.
const ALLOWED: usize = 3;

fn main() -> ExitCode {
    let record = Record::create();
    let folder = Folder::create();
    let store = StandinStore::start();
    let mut configuration = gateway_mocks::configuration(1, "plain");
    for route in configuration["routes"].as_array_mut().expect("routes") {
        let prefix = route["path-prefix"].as_str().unwrap_or_default().to_owned();
        let kind = KINDS.iter().find(|kind| kind.path.starts_with(&prefix));
        route["timeout-ms"] = kind.map_or(2000, |kind| kind.deadline_ms).into();
    }
    store.put_configuration(&configuration);
    let handler: Handler = {
        let record = record.clone();
        Arc::new(move |request, stream, run| {
            if request.is_prefill() {
                return gateway_mocks::write_prefill_response(request, stream);
            }
            let is_sent = if request.path() == KINDS[0].path {
                thread::sleep(WORK);
                gateway_mocks::write_response(request, stream, &"x".repeat(BODY_BYTES))
            } else {
                write_stream(request, stream)
            };
            record.line(&format!(
                "{} has run {}, whole answer sent: {is_sent}",
                run.id,
                request.id()
            ));
            is_sent
        })
    };
    let rows = [
        ("s-1", "plain", ""),
        ("s-2", "plain", ""),
        ("s-3", "plain", ""),
        ("e-p", "model", "prefill"),
        ("e-a", "model", "decode"),
        ("e-b", "model", "decode"),
    ];
    let engines: Vec<Engine> = rows
        .into_iter()
        .map(|(id, service, stage)| Engine::start(id, service, stage, "v1", Arc::clone(&handler)))
        .collect();
    engines.iter().for_each(|engine| engine.register(&store, "ready"));
    let daemon = Daemon::start(&folder.0, "edge-1", &store.address.to_string(), "memory_mb: 260\n");
    if !daemon.wait_ready() {
        record.say("the daemon isn't ready");
        return ExitCode::from(2);
    }
    thread::sleep(CALM);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, address) = (record.clone(), daemon.requests);
            thread::spawn(move || call_on_one_connection(&record, address, caller))
        })
        .collect();
    let lost: usize = callers.into_iter().map(|caller| caller.join().expect("a caller")).sum();
    drop(daemon);
    record.say(&format!(
        "{lost} requests were passed on and their kept connections closed without the answer"
    ));
    let is_broken = lost > ALLOWED;
    record.say(if is_broken { "LOST is broken" } else { "LOST holds" });
    drop(folder);
    std::process::exit(i32::from(is_broken))
}

/// Writes all events of a stream, and its end.
fn write_stream(request: &gateway_mocks::ReceivedRequest, stream: &mut TcpStream) -> bool {
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    let mut is_open =
        gateway_mocks::write_text(stream, &gateway_mocks::response_head(request, head));
    for number in 1..=EVENTS {
        let event = format!("id: {number:02}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_open = is_open && gateway_mocks::write_text(stream, &chunk);
        thread::sleep(EVENT_GAP);
    }
    is_open && gateway_mocks::write_text(stream, "0\r\n\r\n")
}

/// Sends requests on one connection, and reads each answer but the first one slowly. Returns the
/// number of requests that got no whole answer.
fn call_on_one_connection(record: &Record, address: SocketAddr, caller: u64) -> usize {
    let Kind { path, deadline_ms, pause } = &KINDS[(caller % 2) as usize];
    let mut connection = None;
    let mut lost = 0;
    for number in 0..REQUESTS {
        let is_kept = connection.is_some();
        let Some(mut stream) = connection.take().or_else(|| connect(address)) else { continue };
        let id = format!("c{caller}-{number}");
        let prompt = gateway_mocks::prompt_headers("aa", &format!("b{caller:x}{number:x}"));
        let prompt = if *path == KINDS[0].path { "" } else { &prompt };
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n{prompt}\r\n"
        );
        let sent_at = Instant::now();
        gateway_mocks::write_text(&mut stream, &text);
        if is_kept && has_trouble() {
            thread::sleep(*pause);
        }
        let answer = read_answer(&mut stream);
        let what = match &answer {
            Ok(text) => format!("whole answer, {} bytes", text.len()),
            Err(error) => format!("no whole answer, {error}"),
        };
        record.line(&format!(
            "{id} {path} (kept connection: {is_kept}): {what}, after {} ms",
            sent_at.elapsed().as_millis()
        ));
        if answer.is_ok() {
            connection = Some(stream);
        } else if is_kept {
            lost += 1;
        }
    }
    lost
}

/// Connects with a small receive buffer, which has to be set before the connection is opened.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    use rustix::net::{self, sockopt, AddressFamily, SocketType};
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).ok()?;
    sockopt::set_socket_recv_buffer_size(&socket, WINDOW_BYTES).ok()?;
    net::connect(&socket, &address).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    Some(stream)
}

fn read_answer(stream: &mut TcpStream) -> Result<String, String> {
    let mut text = String::new();
    let mut chunk = [0; 512];
    loop {
        if gateway_mocks::is_complete_response(&text) {
            return Ok(text);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(format!("connection ended after {} bytes", text.len())),
            Ok(length) => text.push_str(&String::from_utf8_lossy(&chunk[..length])),
            Err(error) => return Err(format!("{error} after {} bytes", text.len())),
        }
    }
}
