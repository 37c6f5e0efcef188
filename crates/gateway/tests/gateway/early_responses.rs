//! Servers that respond before they have read a request, and break the response off, and responses with
//! a status that no response can have. Neither may reach the caller as a response.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use gooseberry_platform::store::StoreEndpoint;
use gooseberry_standins::gateway_mocks;

use crate::support::{self, status_code, write_text, ScriptedServer, System};

/// Sizes of uploads, in bytes.
const UPLOADS: [usize; 3] = [0, 300_000, 3_000_000];
/// Times from a part of a response to the end of its connection, in milliseconds.
const DELAYS_MS: [u64; 3] = [0, 5, 50];

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Reset,
    /// The kernel resets a connection that is closed with unread bytes.
    CloseUnread,
}

/// Starts a server that responds to each request when it has read its head, and ends the connection
/// after a part of the body.
fn start_server(end: ConnectionEnd, delay_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond_early(stream, end, delay_ms));
        }
    });
    address
}

fn respond_early(mut stream: TcpStream, end: ConnectionEnd, delay_ms: u64) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return,
        }
    }
    let response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: early\r\nX-Response-Seal: s\r\n\
                    Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
    write_text(&mut stream, response);
    thread::sleep(Duration::from_millis(delay_ms));
    if end == ConnectionEnd::Reset {
        support::reset_on_close(&stream);
    }
}

/// Uploads a body and returns what there is of the response.
fn upload(system: &System, path: &str, body_bytes: usize) -> String {
    let mut caller = system.connect();
    let prompt = gateway_mocks::prompt_headers("aa", "bb");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: early\r\n\
         X-Deadline-Ms: 3000\r\n{prompt}Content-Length: {body_bytes}\r\n\r\n"
    );
    assert!(write_text(&mut caller, &head));
    let _ = caller.write_all(&vec![b'x'; body_bytes]);
    support::read_response(&mut caller)
}

/// Guards against a part of a response that is taken for the whole, since a reset that a write has met
/// looks like an orderly end to the next read.
#[test]
fn a_part_of_an_early_response_is_not_taken_for_the_whole() {
    let ends = [ConnectionEnd::Reset, ConnectionEnd::CloseUnread];
    for (end, delay_ms) in ends.into_iter().flat_map(|end| DELAYS_MS.map(|delay| (end, delay))) {
        let system = System::start();
        system.configure(1);
        system.wait_version(1);
        let address = start_server(end, delay_ms).to_string();
        for (id, service, stage) in [("plain", "plain", ""), ("model", "model", "decode")] {
            let entry = gateway_mocks::server_entry(service, &address, stage, "ready");
            system.store.put_server(id, &entry);
            system.wait(|state| state.fleet.key(id).is_some());
        }
        // Without a body, a close leaves nothing unread, and is an orderly end.
        let is_broken = |bytes: &usize| *bytes > 0 || end == ConnectionEnd::Reset;
        for body_bytes in UPLOADS.into_iter().filter(is_broken) {
            for path in ["/plain/x", "/order/x", "/chat/x"] {
                let text = upload(&system, path, body_bytes);
                let is_whole = status_code(&text) == "200" && support::is_complete_response(&text);
                assert!(!is_whole, "{end:?} after {delay_ms} ms, {body_bytes} bytes: {text}");
            }
        }
    }
}

/// Status lines without a status that a final response can have.
const ODD_STATUSES: [&str; 10] =
    ["000", "099", "100", "101", "199", "600", "999", "1000", "20", "abc"];

/// Guards against a response with such a status that reaches the caller.
#[test]
fn a_status_that_no_response_can_have_is_not_forwarded() {
    for status in ODD_STATUSES {
        let system = System::start();
        system.configure(1);
        system.wait_version(1);
        let server = ScriptedServer::start(move |request, stream| {
            let head = gateway_mocks::response_head(request, "Content-Length: 2");
            let head = head.replacen("200 OK", &format!("{status} X"), 1);
            write_text(stream, &format!("{head}ok"));
            false
        });
        system.register("plain", "plain", &server, "");
        system.register("model", "model", &server, "decode");
        let prompt = gateway_mocks::prompt_headers("aa", "bb");
        for path in ["/plain/x", "/order/x", "/chat/x"] {
            let text = system.send(&support::get_request(path, &prompt));
            assert_eq!(status_code(&text), "502", "{status} for {path}: {text}");
        }
    }
}

/// Guards against a handle of a KV cache that comes with such a status.
#[test]
fn a_prefill_with_a_status_that_no_response_can_have_is_not_used() {
    for status in ["101", "600"] {
        let system = System::start();
        system.configure(1);
        system.wait_version(1);
        let prefill = ScriptedServer::start(move |request, stream| {
            let body = gateway_mocks::prefill_body(request);
            let head = format!("Content-Length: {}", body.len());
            let head = gateway_mocks::response_head(request, &head);
            let head = head.replacen("200 OK", &format!("{status} X"), 1);
            write_text(stream, &format!("{head}{body}"));
            false
        });
        let decode = ScriptedServer::start(|request, stream| {
            gateway_mocks::write_rejection(request, stream, "")
        });
        system.register("prefill", "model", &prefill, "prefill");
        system.register("decode", "model", &decode, "decode");
        let prompt = "X-Model: m\r\nX-Token-Usage: 5000,20\r\n\
                      X-Prompt-Prefix: aa:4000,bb:1000\r\n";
        let text = system.send(&support::get_request("/chat/x", prompt));
        assert_ne!(status_code(&text), "200", "{status}: {text}");
        let decoded = decode.received();
        let has_handle = decoded.iter().any(|request| request.header("x-kv-source").is_some());
        assert!(!has_handle, "{status}: {decoded:?}");
    }
}

/// Guards against the same from the store.
#[test]
fn a_status_that_no_response_can_have_is_an_error_of_the_store() {
    for status in ODD_STATUSES {
        let server = ScriptedServer::start(move |_, stream| {
            let page = r#"{"items":[],"has-more":false,"as-of":1}"#;
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", page.len());
            write_text(stream, &format!("{head}{page}"));
            false
        });
        let mut client = StoreEndpoint::new(server.address).client();
        let read = async_std::task::block_on(client.read_all(Duration::from_secs(2)));
        assert!(read.is_err(), "{status}: {read:?}");
    }
}
