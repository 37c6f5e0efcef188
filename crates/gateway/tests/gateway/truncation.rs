//! Responses that an engine breaks off must not look complete to the caller. Where the engine
//! frames its response by the end of the connection, only the events show that it was broken off.

use std::io::{ErrorKind, Read};

use crate::support::{self, get_request, status_code, write_text, ScriptedServer, System};

const PROMPT: &str = "X-Model: m\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: aa:100\r\n";

/// Framing header, or none, and body of a response after which the server closes the connection.
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

#[test]
fn an_unframed_response_that_is_reset_is_not_forwarded() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server = ScriptedServer::start(|request, stream| {
        let id = request.id();
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\r\n");
        write_text(stream, &format!("{head}half"));
        support::reset_on_close(stream);
        false
    });
    system.register("one", "plain", &server, "");
    let text = system.send(&get_request("/plain/x", ""));
    assert_eq!(status_code(&text), "502", "{text}");
}

#[test]
fn an_unframed_response_that_ends_in_order_is_forwarded() {
    let text = send("/plain/x", "plain", ServerBody { framing: "", body: "data: whole\n\n" });
    assert_eq!(status_code(&text), "200", "{text}");
    assert!(text.ends_with("data: whole\n\n"), "{text}");
}

#[test]
fn a_truncated_unframed_prefill_response_is_not_used() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let truncated = |text: &'static str| {
        ScriptedServer::start(move |_, stream| {
            write_text(stream, &format!("HTTP/1.1 200 OK\r\n\r\n{text}"));
            false
        })
    };
    let prefill = truncated(r#"{"kv-handle":"h1","token-co"#);
    let decode = ScriptedServer::start(|request, stream| {
        let is_whole = request.header("x-kv-source").is_none();
        is_whole && support::write_response(request, stream, "id: 1\ndata: a\n\n")
    });
    system.register("reader", "model", &prefill, "prefill");
    system.register("writer", "model", &decode, "decode");
    let prompt = "X-Model: m\r\nX-Token-Usage: 5000,20\r\nX-Prompt-Prefix: aa:4000,bb:1000\r\n";
    let text = system.send(&get_request("/chat/x", prompt));
    assert!(!prefill.received().is_empty() && !text.contains("kv-handle"), "{text}");
    assert!(decode.received().iter().all(|request| request.header("x-kv-source").is_none()));
}
