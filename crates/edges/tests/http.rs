//! Ends of response bodies: a truncated response must not look complete, and one that ends with its
//! connection must be read to that end.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use async_std::task;
use gooseberry_edges::{
    clock::Clock,
    http::{ConnectionUse, HttpCall, HttpClient, HttpError},
};
use http_types::{Method, Request, Url};

const LIMIT: Duration = Duration::from_secs(20);

/// How the server closes the connection after its response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CloseKind {
    InOrder,
    Reset,
}

fn read(method: Method, response: &str, close: CloseKind) -> Result<String, HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let response = response.to_owned();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).expect("a request") > 0);
        // Two segments: the body reaches the client after the head was decoded.
        let (head, body) = response.split_once("\r\n\r\n").expect("a head");
        stream.write_all(format!("{head}\r\n\r\n").as_bytes()).expect("the head is written");
        thread::sleep(Duration::from_millis(20));
        let (first, rest) = body.split_at(body.len() / 2);
        // The client may have closed the connection by now.
        let _ = stream.write_all(first.as_bytes());
        thread::sleep(Duration::from_millis(20));
        let _ = stream.write_all(rest.as_bytes());
        if close == CloseKind::Reset {
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))
                .expect("linger is set");
        }
    });
    let result = task::block_on(async {
        let url = Url::parse(&format!("http://{address}/x")).expect("a URL");
        let call = HttpCall::new(Request::new(method, url));
        let client = HttpClient::new(Clock::system());
        let answer = client.send(&address, &call, ConnectionUse::New, LIMIT).await?;
        answer.into_bytes(LIMIT).await
    });
    serving.join().expect("the server ends");
    result.map(|bytes| String::from_utf8(bytes).expect("text"))
}

fn get(response: &str, close: CloseKind) -> Result<String, HttpError> {
    read(Method::Get, response, close)
}

#[test]
fn a_body_without_framing_is_read_until_the_connection_ends() {
    let text = get("HTTP/1.1 200 OK\r\nX-Kept: 1\r\n\r\nthe whole body", CloseKind::InOrder);
    assert_eq!(text.expect("a response"), "the whole body");
}

#[test]
fn a_body_without_framing_whose_connection_is_reset_is_an_error() {
    let result = get("HTTP/1.1 200 OK\r\n\r\nhalf of the body", CloseKind::Reset);
    assert!(matches!(result, Err(HttpError::ResponseLost { .. })), "{result:?}");
}

#[test]
fn truncated_framed_bodies_are_errors() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ] {
        let result = get(response, CloseKind::InOrder);
        assert!(matches!(result, Err(HttpError::ResponseLost { .. })), "{response} {result:?}");
    }
}

#[test]
fn responses_that_have_no_body_are_empty() {
    let text = get("HTTP/1.1 204 No Content\r\n\r\n", CloseKind::InOrder);
    assert_eq!(text.expect("a response"), "");
    let text = read(Method::Head, "HTTP/1.1 200 OK\r\n\r\n", CloseKind::InOrder);
    assert_eq!(text.expect("a response"), "");
}

#[test]
fn a_stream_of_events_cut_inside_an_event_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let whole = get(&format!("{head}data: a\n\n"), CloseKind::InOrder);
    assert_eq!(whole.expect("a response"), "data: a\n\n");
    for cut in ["data: a\n\ndata: b", ""] {
        let result = get(&format!("{head}{cut}"), CloseKind::InOrder);
        assert!(matches!(result, Err(HttpError::ResponseLost { .. })), "{cut:?} {result:?}");
    }
}

/// Guards against a status that no final response can have, which would be taken for an answer.
#[test]
fn an_invalid_status_is_an_error() {
    for status in ["000", "099", "100", "101", "199", "600", "999", "1000", "20"] {
        let response = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok");
        let result = get(&response, CloseKind::InOrder);
        assert!(matches!(result, Err(HttpError::ResponseLost { .. })), "{status}: {result:?}");
    }
}

/// Sends a head and then the same text until the client closes; returns the number of bytes that the
/// connection took, and whether the client gave up by itself.
fn read_endless(head: &str, endless: &str, limit: Duration) -> (usize, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let (head, chunk) = (head.to_owned(), endless.repeat(64 * 1024 / endless.len()));
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(stream.read(&mut [0; 4096]).expect("a request") > 0);
        let mut written = head.len();
        stream.write_all(head.as_bytes()).expect("the head is written");
        while stream.write_all(chunk.as_bytes()).is_ok() {
            written += chunk.len();
        }
        written
    });
    let result = task::block_on(async {
        let url = Url::parse(&format!("http://{address}/x")).expect("a URL");
        let call = HttpCall::new(Request::new(Method::Get, url));
        let client = HttpClient::new(Clock::system());
        let answer = client.send(&address, &call, ConnectionUse::New, limit).await?;
        answer.into_bytes(limit).await
    });
    let gave_up = matches!(result, Err(HttpError::ResponseLost { .. }));
    (serving.join().expect("the server ends"), gave_up)
}

#[test]
fn responses_without_end_are_closed() {
    let head = "HTTP/1.1 200 OK\r\n";
    for (head, endless) in [
        (head.to_owned(), "X-More: and more of it\r\n"),
        (head.to_owned() + "X-More: ", "and more"),
        (String::new(), "no HTTP at all, and no end of a line"),
        (head.to_owned() + "\r\n", "neither a length nor chunks"),
        (head.to_owned() + "Content-Length: 99999999999\r\n\r\n", "a length without sense"),
        (head.to_owned() + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"),
    ] {
        let (written, gave_up) = read_endless(&head, endless, LIMIT);
        assert!(gave_up && written < 48 * 1024 * 1024, "{head:?}: {written} bytes, {gave_up}");
    }
}

/// Guards against a decoder that never gives way, so that the time limit doesn't take effect.
#[test]
fn framing_without_end_is_closed_at_the_time_limit() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (rest, endless) in [("", "0"), ("1;", "extension"), ("0\r\n", "X-More: and more\r\n")] {
        // The server's thread ends only when the client has closed the connection.
        read_endless(&format!("{head}{rest}"), endless, Duration::from_secs(1));
    }
}

#[test]
fn a_line_of_a_stream_without_end_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(stream.read(&mut [0; 4096]).expect("a request") > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the head is written");
        let chunk = vec![b'x'; 64 * 1024];
        while stream.write_all(&chunk).is_ok() {}
    });
    task::block_on(async {
        let url = Url::parse(&format!("http://{address}/x")).expect("a URL");
        let call = HttpCall::new(Request::new(Method::Get, url));
        let client = HttpClient::new(Clock::system());
        let answer = client.send(&address, &call, ConnectionUse::New, LIMIT).await;
        let mut answer = answer.expect("a head");
        let read = answer.read_line(&mut String::new(), LIMIT).await;
        assert!(matches!(read, Err(HttpError::ResponseLost { .. })), "{read:?}");
    });
    serving.join().expect("the server ends");
}
