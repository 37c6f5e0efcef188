//! Invalid input is refused with a problem document, and the daemon neither
//! crashes nor hangs.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
};

use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestSystem, ACCOUNT_KEY},
};
use gooseberry_wire::problem::{ProblemDocument, RequestExecuted};
use http_types::Method;

/// Largest body that the configuration of these tests accepts.
const BODY_LIMIT_BYTES: usize = 1000;
/// Size of an oversized body, which a daemon must not read to its end.
const OVERSIZED_BYTES: usize = 64 * 1024 * 1024;

/// A system of one daemon with short timeouts and a small body limit.
struct StrictSystem(TestSystem);

impl StrictSystem {
    fn start() -> Self {
        let settings = "head_timeout_s: 1\nbody_timeout_s: 1\n".to_owned();
        let options =
            SystemOptions { engines: 1, daemon_settings: settings, ..SystemOptions::default() };
        let mut system = TestSystem::start_without_configuration(options);
        let limits = format!("\nlimits: {{body_bytes: {BODY_LIMIT_BYTES}}}\n");
        system.put_configuration(0, &system.configuration_text(&limits));
        system.wait_until_ready();
        Self(system)
    }

    fn address(&self) -> &str {
        &self.0.daemons[0].address
    }

    fn completion(&self, body: &str) -> TestCall {
        TestCall::new(Method::Post, self.address(), "/v1/completions")
            .account_key(ACCOUNT_KEY)
            .header("content-type", "application/json")
            .body(body)
    }

    /// Sends a call and checks that it is refused and that the daemon still serves.
    fn assert_refused(&self, call: &TestCall, status: u16, name: &str) {
        let answer = call.send().expect("a final response");
        let document: ProblemDocument = answer.json();
        assert_eq!((answer.status, document.status), (status, status));
        self.check_refusal(&document, name);
    }

    /// Opens a connection to send raw bytes.
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address()).expect("a connection");
        stream.set_read_timeout(Some(process::TEST_TIMEOUT)).expect("a timeout of the socket");
        stream.set_write_timeout(Some(process::TEST_TIMEOUT)).expect("a timeout of the socket");
        stream
    }

    /// Reads a raw refusal until the daemon closes the connection and checks it.
    fn assert_refused_raw(&self, mut stream: TcpStream, status: u16, name: &str) {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("a response and the end of the connection");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head and a body");
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        self.check_refusal(&serde_json::from_str(body).expect("a problem document"), name);
    }

    fn check_refusal(&self, document: &ProblemDocument, name: &str) {
        assert_eq!(document.type_, format!("urn:gooseberrykeel:{name}"));
        assert_eq!(document.executed, RequestExecuted::No);
        let call = system::completion_call(self.address(), "still serving", 2);
        assert_eq!(call.send().expect("a response").status, 200);
    }
}

/// Returns the head of a request with a valid key, without the final blank line.
fn head(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n{headers}")
}

#[test]
fn malformed_json() {
    let system = StrictSystem::start();
    for body in ["{\"model\": \"assistant\", ", "", "[]", "\u{0}", "{\"model\": 3}"] {
        system.assert_refused(&system.completion(body), 400, "bad-request");
    }
}

#[test]
fn an_unknown_model_or_path() {
    let system = StrictSystem::start();
    let call = system.completion(r#"{"model": "nobody", "prompt": "x"}"#);
    system.assert_refused(&call, 404, "unknown-service");
    let call = TestCall::new(Method::Delete, system.address(), "/nowhere");
    system.assert_refused(&call.account_key(ACCOUNT_KEY), 404, "unknown-service");
}

#[test]
fn an_empty_prompt_and_a_response_without_tokens() {
    let system = StrictSystem::start();
    let bodies = [
        r#"{"model": "assistant", "prompt": ""}"#,
        r#"{"model": "assistant"}"#,
        r#"{"model": "assistant", "prompt": "x", "max_tokens": 0}"#,
        r#"{"model": "assistant", "prompt": "x", "max_tokens": -1}"#,
    ];
    for body in bodies {
        system.assert_refused(&system.completion(body), 400, "bad-request");
    }
    let chat = TestCall::new(Method::Post, system.address(), "/v1/chat/completions");
    let chat = chat.account_key(ACCOUNT_KEY).body(r#"{"model": "assistant", "messages": []}"#);
    system.assert_refused(&chat, 400, "bad-request");
}

#[test]
fn a_wrong_key() {
    let system = StrictSystem::start();
    let call = system.completion("{}").account_key("wrong");
    system.assert_refused(&call, 401, "wrong-key");
    let call = TestCall::new(Method::Post, system.address(), "/v1/completions");
    system.assert_refused(&call.body("{}"), 401, "wrong-key");
}

#[test]
fn a_deadline_in_the_past_or_unreadable() {
    let system = StrictSystem::start();
    let call = system.completion(r#"{"model": "assistant", "prompt": "x"}"#);
    system.assert_refused(&call.clone().header("request-deadline", "1"), 400, "deadline-passed");
    system.assert_refused(&call.header("request-deadline", "soon"), 400, "bad-request");
}

#[test]
fn a_body_over_the_limit() {
    let system = StrictSystem::start();
    let call = system.completion(&"x".repeat(BODY_LIMIT_BYTES + 1));
    system.assert_refused(&call, 413, "body-too-large");
}

/// Guards against a daemon that reads an oversized body to its end, which would
/// let a caller use up its memory or its time.
#[test]
fn an_oversized_body_is_not_read_to_its_end() {
    let system = StrictSystem::start();
    for headers in
        [format!("content-length: {OVERSIZED_BYTES}\r\n"), "transfer-encoding: chunked\r\n".into()]
    {
        let mut stream = system.connect();
        let request = head("/v1/completions", &headers);
        stream.write_all(format!("{request}\r\n").as_bytes()).expect("a sent head");
        let part = format!("{:x}\r\n{}\r\n", 4096, "x".repeat(4096));
        let mut sent = 0;
        while sent < OVERSIZED_BYTES && stream.write_all(part.as_bytes()).is_ok() {
            sent += part.len();
        }
        assert!(sent < OVERSIZED_BYTES, "the daemon read all bytes");
        system.assert_refused(&system.completion("{}"), 400, "bad-request");
    }
}

#[test]
fn a_body_that_is_not_sent() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let request = head("/v1/completions", "content-length: 50\r\n");
    stream.write_all(format!("{request}\r\n{{").as_bytes()).expect("a sent head");
    system.assert_refused_raw(stream, 408, "body-too-slow");
}

/// Guards against executing a call whose body is truncated.
#[test]
fn a_call_with_a_truncated_body_is_not_executed() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let request = head("/booking/reservations", "idempotency-key: half\r\ncontent-length: 50\r\n");
    stream.write_all(format!("{request}\r\none dr").as_bytes()).expect("a sent head");
    stream.shutdown(Shutdown::Write).expect("a half-closed connection");
    system.assert_refused_raw(stream, 400, "bad-request");
    assert_eq!(system::execution_count(&system.0, "half"), 0);
}

#[test]
fn a_head_that_ends_early() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    stream.write_all(head("/v1/completions", "").as_bytes()).expect("a sent head");
    stream.shutdown(Shutdown::Write).expect("a half-closed connection");
    system.assert_refused_raw(stream, 400, "bad-request");
}

#[test]
fn a_half_closed_connection_with_a_complete_request_is_served() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let body = r#"{"model": "assistant", "prompt": "x", "max_tokens": 2}"#;
    let request = head("/v1/completions", &format!("content-length: {}\r\n", body.len()));
    stream.write_all(format!("{request}\r\n{body}").as_bytes()).expect("a sent request");
    stream.shutdown(Shutdown::Write).expect("a half-closed connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("a response and the end of the connection");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[test]
fn a_head_that_is_sent_too_slowly() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    stream.write_all(b"POST /v1/comp").expect("a sent half of a head");
    system.assert_refused_raw(stream, 408, "bad-request");
}

#[test]
fn headers_over_the_limit() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let request = head("/v1/completions", &format!("x-long: {}\r\n", "x".repeat(9000)));
    stream.write_all(format!("{request}\r\n").as_bytes()).expect("a sent head");
    system.assert_refused_raw(stream, 431, "bad-request");
}

#[test]
fn garbage_instead_of_a_request() {
    let system = StrictSystem::start();
    for garbage in ["\u{1}\u{2}\u{3}\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\nhost: x\r\n\r\n"] {
        let mut stream = system.connect();
        stream.write_all(garbage.as_bytes()).expect("sent garbage");
        system.assert_refused_raw(stream, 400, "bad-request");
    }
}

#[test]
fn garbage_without_line_ends_is_not_read_to_its_end() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let part = [0x55; 4096];
    let mut sent = 0;
    while sent < OVERSIZED_BYTES && stream.write_all(&part).is_ok() {
        sent += part.len();
    }
    assert!(sent < OVERSIZED_BYTES, "the daemon read all bytes");
    system.assert_refused(&system.completion("{}"), 400, "bad-request");
}

#[test]
fn a_connection_that_closes_without_a_byte() {
    let system = StrictSystem::start();
    for _ in 0..20 {
        drop(system.connect());
    }
    system.assert_refused(&system.completion("{}"), 400, "bad-request");
}
