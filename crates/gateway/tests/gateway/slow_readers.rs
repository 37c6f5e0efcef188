//! Callers and servers that read late, within the deadline of their requests, and callers that never
//! read.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{self, ReceivedRequest};
use rustix::net::{self, sockopt, AddressFamily, SocketType};

use crate::support::{self, status_code, write_text, ScriptedServer, System};

/// Receive buffer of a caller that reads late, in bytes. Its window is shut before a response has
/// ended.
const WINDOW_BYTES: usize = 2304;
/// Size of a plain response, in bytes.
const RESPONSE_BYTES: usize = 4800;
/// Time for which nothing is read: longer than a lost connection takes to be detected, 1.5 s, and
/// shorter than the deadline of 3 s or 4 s.
const PAUSE: Duration = Duration::from_millis(2500);

fn start() -> System {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    system
}

/// Connects with a small receive buffer, which has to be set before.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_recv_buffer_size(&socket, WINDOW_BYTES).expect("the buffer is set");
    net::connect(&socket, &address).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the timeout is set");
    stream
}

/// Sends requests on one connection, reads each response but the first after a pause, and returns
/// the last one.
fn read_late(system: &System, path: &str, headers: &str) -> String {
    let mut caller = connect(system.callers);
    let mut response = String::new();
    for number in 0..2 {
        assert!(write_text(&mut caller, &gateway_mocks::get_request("late", path, headers)));
        if number > 0 {
            thread::sleep(PAUSE);
        }
        response = support::read_response(&mut caller);
        assert!(support::is_complete_response(&response), "{number}: {} bytes", response.len());
    }
    response
}

/// Guards against a kernel's timeout that counts the time in which a live caller doesn't read.
#[test]
fn a_caller_that_reads_late_gets_its_plain_response() {
    let system = start();
    let server = ScriptedServer::start(|request, stream| {
        support::write_response(request, stream, &"x".repeat(RESPONSE_BYTES))
    });
    system.register("s", "plain", &server, "");
    let response = read_late(&system, "/order/x", "");
    assert_eq!(status_code(&response), "200");
    assert_eq!(server.received().len(), 2);
}

fn write_events(request: &ReceivedRequest, stream: &mut TcpStream, events: usize) -> bool {
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    let event = format!("data: {}\n\n", "x".repeat(200));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    write_text(stream, &gateway_mocks::response_head(request, head))
        && (0..events).all(|_| write_text(stream, &chunk))
        && write_text(stream, "0\r\n\r\n")
}

/// Guards against the same for a stream.
#[test]
fn a_caller_that_reads_late_gets_its_stream() {
    let system = start();
    let engine = ScriptedServer::start(|request, stream| write_events(request, stream, 24));
    system.register("e", "model", &engine, "decode");
    let response = read_late(&system, "/chat/x", &gateway_mocks::prompt_headers("aa", "bb"));
    assert_eq!(status_code(&response), "200");
}

/// Guards against a caller that never reads and holds its connection, its engine and its memory for
/// longer than until its deadline.
#[test]
fn a_caller_that_never_reads_is_cut_after_its_deadline() {
    let system = start();
    let is_closed: Arc<AtomicBool> = Arc::default();
    let engine = {
        let is_closed = Arc::clone(&is_closed);
        ScriptedServer::start(move |request, stream| {
            write_events(request, stream, 200_000);
            is_closed.store(true, Ordering::SeqCst);
            false
        })
    };
    system.register("e", "model", &engine, "decode");
    let mut caller = connect(system.callers);
    let sent_at = Instant::now();
    let headers = gateway_mocks::prompt_headers("aa", "bb");
    assert!(write_text(&mut caller, &gateway_mocks::get_request("never", "/chat/x", &headers)));
    // The deadline is 3 s, and the caller's connection is cut within 1.5 s afterwards.
    support::wait_for(|| is_closed.load(Ordering::SeqCst));
    let engine_time = sent_at.elapsed();
    assert!((3000..3800).contains(&engine_time.as_millis()), "the engine: {engine_time:?}");
    support::wait_for(|| (&caller).write_all(b" ").is_err());
    let caller_time = sent_at.elapsed();
    assert!((3000..5500).contains(&caller_time.as_millis()), "the caller: {caller_time:?}");
    support::wait_for(|| system.gateway.metrics.memory.held.get() == 0);
}

/// Starts a server that reads a part of its first request, pauses, reads the rest and responds.
fn start_late_server(body_bytes: usize, read_before: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut received = Vec::new();
        let mut chunk = vec![0; 64 * 1024];
        let mut has_paused = false;
        let head_length = |received: &[u8]| {
            let text = String::from_utf8_lossy(&received[..received.len().min(4096)]);
            text.find("\r\n\r\n").map(|end| end + 4)
        };
        while head_length(&received).is_none_or(|head| received.len() < head + body_bytes) {
            if !has_paused && received.len() >= read_before {
                has_paused = true;
                thread::sleep(PAUSE);
            }
            match stream.read(&mut chunk) {
                Ok(length @ 1..) => received.extend_from_slice(&chunk[..length]),
                _ => return,
            }
        }
        let _ = stream.write_all(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: upload\r\nX-Response-Seal: s\r\n\
              Content-Length: 2\r\n\r\nok",
        );
        thread::sleep(PAUSE);
    });
    address
}

fn upload(system: &System, path: &str, body_bytes: usize) -> String {
    let mut caller = system.connect();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: upload\r\n\
         X-Deadline-Ms: 4000\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    assert!(write_text(&mut caller, &head));
    assert!(caller.write_all(&vec![b'x'; body_bytes]).is_ok());
    support::read_response(&mut caller)
}

/// Guards against an upload that may run only once being cut off at a server that reads it late.
#[test]
fn a_server_that_reads_an_upload_late_gets_it() {
    for read_before in [0, 100_000] {
        let system = start();
        let body_bytes = 3_000_000;
        let address = start_late_server(body_bytes, read_before);
        let entry = gateway_mocks::server_entry("plain", &address.to_string(), "", "ready");
        system.store.put_server("late", &entry);
        system.wait(|state| state.fleet.key("late").is_some());
        let response = upload(&system, "/order/x", body_bytes);
        assert_eq!(status_code(&response), "200", "{read_before}: {response}");
    }
}
