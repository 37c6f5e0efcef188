//! Requests and responses of the stand-ins on raw connections.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
};

use serde_json::json;

/// A request as a mock received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub request_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl ReceivedRequest {
    /// Returns the value of a header; the name must be lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the attempt id that the request carries, or an empty text.
    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }

    /// Returns the id of the server that the request is addressed to, if it names one.
    pub fn expected_server(&self) -> Option<&str> {
        self.header("x-expect-instance")
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        let target = self.request_line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns whether the request asks for prefill only.
    pub fn is_prefill(&self) -> bool {
        self.header("x-serving-stage") == Some("prefill")
    }
}

/// Reads one request; returns `None` if the connection is closed or fails.
pub fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(bytes).ok()?;
    let mut lines = head.trim_end().split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = match headers.get("content-length") {
        Some(length) => length.parse().ok()?,
        None => 0,
    };
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { request_line: first_line, headers, body: String::from_utf8(body).ok()? })
}

pub(crate) fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on 127.0.0.1");
    let address = listener.local_addr().expect("the listener has a local address");
    (listener, address)
}

/// Returns the head of a correct server's 200 response with one additional header.
pub fn response_head(request: &ReceivedRequest, header: &str) -> String {
    let id = request.id();
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal\r\n{header}\r\n\r\n")
}

/// Writes a 503 response which states that the request wasn't executed, with additional header
/// lines.
pub fn write_rejection(request: &ReceivedRequest, stream: &mut TcpStream, headers: &str) -> bool {
    write_refusal(503, request, stream, headers)
}

/// Writes a response that repeats the request's id and states that it wasn't executed.
fn write_refusal(
    status: u16,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
    headers: &str,
) -> bool {
    let id = request.id();
    let head = format!("HTTP/1.1 {status} X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}");
    write_text(stream, &format!("{head}\r\nContent-Length: 0\r\n{headers}\r\n"))
}

/// Writes the 421 response of a server that the request isn't addressed to.
pub fn write_misdirected(request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
    write_refusal(421, request, stream, "")
}

/// Returns the body of the response to a prefill request, with a KV cache handle and one token.
pub fn prefill_body(request: &ReceivedRequest) -> String {
    json!({"kv-handle": request.id(), "token-count": 1, "version": 1}).to_string()
}

/// Writes a text unchanged; returns whether the connection accepted it.
pub fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
