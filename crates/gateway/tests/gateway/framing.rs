//! Requests at the edge of HTTP/1.1, over raw sockets.

use crate::support::{
    get_request, is_complete_response, read_response, status_code, write_response, write_text,
    ScriptedServer, System,
};

fn system() -> (System, ScriptedServer) {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server = ScriptedServer::start(|request, stream| write_response(request, stream, "done"));
    system.register("one", "plain", &server, "");
    (system, server)
}

/// Of two requests written at once the second was never answered.
#[test]
fn two_requests_written_at_once_are_both_answered() {
    let (system, _server) = system();
    let mut stream = system.connect();
    write_text(&mut stream, &(get_request("/plain/1", "") + &get_request("/plain/2", "")));
    let mut text = read_response(&mut stream);
    while text.matches("done").count() < 2 {
        let more = read_response(&mut stream);
        assert!(!more.is_empty(), "the second request has no answer: {text}");
        text.push_str(&more);
    }
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2);
}

/// Two lengths that differ were taken.
#[test]
fn two_lengths_that_differ_are_refused() {
    let (system, server) = system();
    let text = system.send(&get_request("/plain/x", "Content-Length: 0\r\nContent-Length: 5\r\n"));
    assert_eq!(status_code(&text), "400");
    assert_eq!(server.received().len(), 0);
}

/// Heads of 12,000 bytes were refused.
#[test]
fn a_head_up_to_the_configured_limit_is_taken() {
    let (system, _server) = system();
    let long = format!("X-Long: {}\r\n", "x".repeat(15_500));
    assert_eq!(status_code(&system.send(&get_request("/plain/x", &long))), "200");
}

#[test]
fn a_request_hidden_in_another_ones_body_is_not_run() {
    let (system, server) = system();
    let hidden = get_request("/plain/hidden", "");
    let headers = format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", hidden.len());
    let text = system.send(&(get_request("/plain/x", &headers) + "0\r\n\r\n"));
    assert!(is_complete_response(&text) || text.is_empty());
    assert!(server.received().iter().all(|request| !request.request_line.contains("hidden")));
}

#[test]
fn a_request_without_an_id_is_refused() {
    let (system, server) = system();
    let text = system.send("GET /plain/x HTTP/1.1\r\nHost: host.example\r\n\r\n");
    assert_eq!(status_code(&text), "400");
    assert_eq!(server.received().len(), 0);
}
