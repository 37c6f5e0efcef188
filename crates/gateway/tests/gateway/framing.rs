//! Edge cases of HTTP/1.1 framing, over raw sockets.

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

/// Guards against lost pipelined requests: the second of two requests that were written at once got
/// no response.
#[test]
fn two_requests_written_at_once_both_get_a_response() {
    let (system, _server) = system();
    let mut stream = system.connect();
    write_text(&mut stream, &(get_request("/plain/1", "") + &get_request("/plain/2", "")));
    let mut text = read_response(&mut stream);
    while text.matches("done").count() < 2 {
        let more = read_response(&mut stream);
        assert!(!more.is_empty(), "the second request has no response: {text}");
        text.push_str(&more);
    }
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2);
}

/// Guards against request smuggling: a request with two different content lengths was accepted.
#[test]
fn two_different_content_lengths_are_refused() {
    let (system, server) = system();
    let text = system.send(&get_request("/plain/x", "Content-Length: 0\r\nContent-Length: 5\r\n"));
    assert_eq!(status_code(&text), "400");
    assert_eq!(server.received().len(), 0);
}

/// Guards against a limit that is too low: heads of 12,000 bytes were refused.
#[test]
fn a_head_up_to_the_configured_limit_is_accepted() {
    let (system, _server) = system();
    let long = format!("X-Long: {}\r\n", "x".repeat(15_500));
    assert_eq!(status_code(&system.send(&get_request("/plain/x", &long))), "200");
}

#[test]
fn a_request_smuggled_in_a_body_is_not_run() {
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

/// Guards against a panic that ends the request's task, and its connection without a response.
#[test]
fn a_request_with_any_number_as_its_deadline_gets_a_response() {
    for deadline in ["1e25", "1e300", "0", "-1", "NaN", "inf"] {
        let (system, _server) = system();
        let request = get_request("/plain/x", "").replace("-Ms: 3000", &format!("-Ms: {deadline}"));
        let text = system.send(&request);
        assert!(["200", "503", "504"].contains(&status_code(&text)), "{deadline}: {text}");
    }
}
