//! Responses that an engine breaks off must not look complete to the caller. Where the engine
//! frames its response by the end of the connection, only the events show that it was broken off.

use std::io::{ErrorKind, Read};

use crate::support::{self, get_request, status_code, write_text, ScriptedServer, System};

const PROMPT: &str = "X-Model: m\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: aa:100\r\n";

/// Framing header and body of a response that ends with its connection.
struct ServerBody {
    framing: &'static str,
    body: &'static str,
}

fn send(path: &str, service: &str, response: ServerBody) -> String {
    let (system, _server) = start(service, response);
    system.send(&get_request(path, PROMPT))
}

fn start(service: &str, response: ServerBody) -> (System, ScriptedServer) {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server = ScriptedServer::start(move |request, stream| {
        let id = request.id();
        let ServerBody { framing, body } = response;
        write_text(
            stream,
            &format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\
                 Content-Type: text/event-stream\r\n{framing}\r\n{body}"
            ),
        );
        false
    });
    system.register("one", service, &server, "");
    (system, server)
}

#[test]
fn a_stream_cut_inside_an_event_does_not_look_complete() {
    let responses = [
        ("", "id: 1\ndata: a\n\nid: 2\nda"),
        ("", "id: 1\ndata: a\n\nid: 2\ndata: b\n"),
        ("", "id: 1\ndata: a"),
        ("Transfer-Encoding: chunked\r\n", "14\r\nid: 1\ndata: a\n\nid: 2\r\n0\r\n\r\n"),
        ("Content-Length: 20\r\n", "id: 1\ndata: a\n\nid: 2"),
    ];
    for path in ["/chat/x", "/review/x"] {
        for (framing, body) in responses {
            let text = send(path, "model", ServerBody { framing, body });
            assert_eq!(status_code(&text), "200", "{path} {text}");
            assert!(text.contains("id: 1"), "{path} {text}");
            assert!(!support::is_complete_response(&text), "{path} {framing} {text}");
        }
    }
}

#[test]
fn a_stream_cut_before_its_first_event_does_not_look_complete() {
    let text = send("/chat/x", "model", ServerBody { framing: "", body: "" });
    assert!(!support::is_complete_response(&text), "{text}");
}

#[test]
fn a_stream_that_ends_with_its_connection_after_an_event_is_complete() {
    let text = send("/chat/x", "model", ServerBody { framing: "", body: "id: 1\ndata: a\n\n" });
    assert!(support::is_complete_response(&text) && text.contains("data: a"), "{text}");
}

#[test]
fn a_stream_of_a_plain_service_cut_inside_an_event_is_not_forwarded() {
    let response = ServerBody { framing: "", body: "id: 1\ndata: a\n\nid: 2\nda" };
    let text = send("/plain/x", "plain", response);
    assert_eq!(status_code(&text), "502", "{text}");
}

#[test]
fn a_broken_stream_to_a_caller_without_chunks_ends_with_a_reset() {
    let response = ServerBody { framing: "", body: "id: 1\ndata: a\n\nid: 2\nda" };
    let (system, _server) = start("model", response);
    let request = get_request("/chat/x", PROMPT).replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = system.connect();
    write_text(&mut stream, &request);
    let mut text = Vec::new();
    let error = stream.read_to_end(&mut text).expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{}", String::from_utf8_lossy(&text));
}
