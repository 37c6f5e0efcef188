//! Engines that break off inside the head of a response, or in the middle of a stream beside an engine
//! that answers with an error.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
};

use gooseberry_standins::gateway_mocks::{self, ReceivedRequest};

use crate::support::{self, get_request, status_code, write_text, ScriptedServer, System};

/// Body of the error of an engine.
const ERROR_TEXT: &str = "out of memory";
/// Paths of a plain call, one that may run only once, a stream, and one that may be resumed.
const PATHS: [(&str, &str); 4] =
    [("/plain/x", "plain"), ("/order/x", "plain"), ("/chat/x", "model"), ("/review/x", "model")];

fn prompt() -> String {
    gateway_mocks::prompt_headers("aa", "b1")
}

fn start(service: &str, servers: &[&ScriptedServer]) -> System {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    for (number, server) in servers.iter().enumerate() {
        system.register(&format!("s{number}"), service, server, "");
    }
    system
}

fn write_error(request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
    let (id, length) = (request.id(), ERROR_TEXT.len());
    write_text(
        stream,
        &format!(
            "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\
             Content-Length: {length}\r\n\r\n{ERROR_TEXT}"
        ),
    )
}

/// Reads all bytes that the caller gets.
fn read_bytes(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A stream that is broken off may end with a reset.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against the response of another engine, or its error, in a stream that has begun.
#[test]
fn a_stream_that_breaks_off_gets_nothing_of_an_engine_that_answers_with_an_error() {
    let framings = [
        ("Transfer-Encoding: chunked\r\n", "14\r\nid: 1\ndata: first\n\n\r\n"),
        ("Transfer-Encoding: chunked\r\n", "14\r\nid: 1\ndata: first\n\n\r\n14\r\nid: 2\nda"),
        ("Content-Length: 400\r\n", "id: 1\ndata: first\n\n"),
        ("", "id: 1\ndata: first\n\nid: 2\nda"),
    ];
    for path in ["/chat/x", "/review/x"] {
        for (framing, body) in framings {
            let sends = Arc::new(AtomicUsize::new(0));
            let server = || {
                let sends = Arc::clone(&sends);
                ScriptedServer::start(move |request, stream| {
                    if request.id().is_empty() || sends.fetch_add(1, Ordering::SeqCst) > 0 {
                        return write_error(request, stream);
                    }
                    let head = gateway_mocks::response_head(request, framing.trim_end());
                    let head = head.replace("\r\n\r\n\r\n", "\r\n\r\n");
                    write_text(stream, &(head + body));
                    false
                })
            };
            let servers = [server(), server()];
            let system = start("model", &[&servers[0], &servers[1]]);
            let mut stream = system.connect();
            let headers = format!("{}Connection: close\r\n", prompt());
            stream.write_all(get_request(path, &headers).as_bytes()).expect("a request");
            let text = read_bytes(&mut stream);
            let case = format!("{path} {framing:?} {body:?}: {text}");
            assert_eq!(status_code(&text), "200", "{case}");
            assert!(text.contains("data: first"), "{case}");
            assert!(!support::is_complete_response(&text), "{case}");
            assert!(!text.contains(ERROR_TEXT) && !text.contains("500 Internal"), "{case}");
            assert_eq!(text.matches("HTTP/1.1").count(), 1, "{case}");
            assert_eq!(sends.load(Ordering::SeqCst), 1, "{case}");
        }
    }
}

/// Guards against a stream that is resumed at an engine which answers with an error, and gets it as events.
#[test]
fn a_resumed_stream_whose_engine_answers_with_an_error_gets_its_status() {
    let server = ScriptedServer::start(write_error);
    let system = start("model", &[&server]);
    let headers = format!("{}Last-Event-Id: 3\r\nResumes: first\r\n", prompt());
    let text = system.send(&get_request("/review/x", &headers));
    assert!(["500", "503"].contains(&status_code(&text)), "{text}");
    assert!(!text.contains("200 OK"), "{text}");
}

/// How an engine ends a connection on which it has sent a part of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadEnd {
    Closed,
    Reset,
    /// Closed, after another response on the same connection.
    ClosedWhenKept,
}

const HEAD_ENDS: [HeadEnd; 3] = [HeadEnd::Closed, HeadEnd::Reset, HeadEnd::ClosedWhenKept];

/// Numbers of bytes of a head that are missing: none of its lines arrives, or some, whole or in part.
const MISSING_BYTES: [usize; 8] = [1, 2, 3, 10, 22, 40, 66, 200];

fn full_head(id: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n{framing}\r\n")
}

/// Starts a server that stops inside the head of its response to all requests but those whose ids begin
/// with `warm`.
fn cutting_server(framing: &'static str, missing: usize, end: HeadEnd) -> ScriptedServer {
    ScriptedServer::start(move |request, stream| {
        if request.id().is_empty() {
            return write_error(request, stream);
        }
        if request.id().starts_with("warm") {
            let head = full_head(request.id(), "Content-Length: 10\r\n");
            return write_text(stream, &(head + "data: ok\n\n"));
        }
        let head = full_head(request.id(), framing);
        write_text(stream, &head[..head.len().saturating_sub(missing)]);
        if end == HeadEnd::Reset {
            support::reset_on_close(stream);
        }
        false
    })
}

fn check_cut_heads(path: &str, service: &str) {
    let system = start(service, &[]);
    let framings = ["Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""];
    let framings = framings.into_iter().flat_map(|it| MISSING_BYTES.map(|missing| (it, missing)));
    for (number, (framing, missing)) in framings.enumerate() {
        let end = HEAD_ENDS[number % HEAD_ENDS.len()];
        let server = cutting_server(framing, missing, end);
        let id = format!("s{number}");
        system.register(&id, service, &server, "");
        // No two are alike, so that none is taken for one that crashes servers.
        let prompt = gateway_mocks::prompt_headers(&format!("a{number}"), &format!("b{number}"));
        let request = get_request(&format!("{path}{number}"), &prompt);
        if end == HeadEnd::ClosedWhenKept {
            let warm = get_request(&format!("{path}w{number}"), &prompt).replace("id-", "warm-");
            assert_eq!(status_code(&system.send(&warm)), "200");
        }
        let text = system.send(&request);
        let case = format!("{path} {framing:?} without {missing} bytes, {end:?}: {text}");
        assert!(["502", "503", "504"].contains(&status_code(&text)), "{case}");
        let asked = server.received();
        assert!(asked.iter().any(|request| request.id().starts_with("id-")), "{case}");
        system.store.remove_server(&id);
        system.wait(|state| state.is_entry_missing(&id));
    }
}

/// Guards against a success that is made up from the part of a head that arrived.
#[test]
fn a_response_that_ends_inside_its_head_is_no_success() {
    thread::scope(|scope| {
        for (path, service) in PATHS {
            scope.spawn(move || check_cut_heads(path, service));
        }
    });
}
