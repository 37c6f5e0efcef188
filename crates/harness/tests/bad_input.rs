//! Bad input gets a clear refusal, never a crash or a hang.

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

/// Largest body that the configuration of these tests admits, in bytes.
const BODY_LIMIT: usize = 1000;
/// Bytes that a caller sends beyond what a daemon may read of them.
const FLOOD: usize = 64 * 1024 * 1024;

/// A system of one daemon with short limits.
struct StrictSystem(TestSystem);

impl StrictSystem {
    fn start() -> Self {
        let settings = "head_timeout_s: 1\nbody_timeout_s: 1\n".to_owned();
        let size =
            SystemOptions { engines: 1, daemon_settings: settings, ..SystemOptions::default() };
        let mut system = TestSystem::start_without_configuration(size);
        let limits = format!("\nlimits: {{body_bytes: {BODY_LIMIT}}}\n");
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

    /// Sends a call, and checks its refusal and that the daemon still serves.
    fn refused(&self, call: &TestCall, status: u16, name: &str) {
        let answer = call.send().expect("a final answer");
        let document: ProblemDocument = answer.json();
        assert_eq!((answer.status, document.status), (status, status));
        self.check(&document, name);
    }

    /// Opens a connection for raw bytes.
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address()).expect("a connection");
        stream.set_read_timeout(Some(process::TEST_TIMEOUT)).expect("a time limit");
        stream.set_write_timeout(Some(process::TEST_TIMEOUT)).expect("a time limit");
        stream
    }

    /// Reads a raw refusal to the end of its connection and checks it.
    fn refused_raw(&self, mut stream: TcpStream, status: u16, name: &str) {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer and the end of the connection");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head and a body");
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        self.check(&serde_json::from_str(body).expect("a problem document"), name);
    }

    fn check(&self, document: &ProblemDocument, name: &str) {
        assert_eq!(document.type_, format!("urn:gooseberrykeel:{name}"));
        assert_eq!(document.executed, RequestExecuted::No);
        let call = system::completion_call(self.address(), "still serving", 2);
        assert_eq!(call.send().expect("an answer").status, 200);
    }
}

/// Writes the head of a request with a valid key.
fn head(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n{headers}")
}

#[test]
fn malformed_json() {
    let system = StrictSystem::start();
    for body in ["{\"model\": \"assistant\", ", "", "[]", "\u{0}", "{\"model\": 3}"] {
        system.refused(&system.completion(body), 400, "bad-request");
    }
}

#[test]
fn an_unknown_model_or_path() {
    let system = StrictSystem::start();
    let call = system.completion(r#"{"model": "nobody", "prompt": "x"}"#);
    system.refused(&call, 404, "unknown-service");
    let call = TestCall::new(Method::Delete, system.address(), "/nowhere");
    system.refused(&call.account_key(ACCOUNT_KEY), 404, "unknown-service");
}

#[test]
fn an_empty_prompt_and_an_answer_without_tokens() {
    let system = StrictSystem::start();
    let bodies = [
        r#"{"model": "assistant", "prompt": ""}"#,
        r#"{"model": "assistant"}"#,
        r#"{"model": "assistant", "prompt": "x", "max_tokens": 0}"#,
        r#"{"model": "assistant", "prompt": "x", "max_tokens": -1}"#,
    ];
    for body in bodies {
        system.refused(&system.completion(body), 400, "bad-request");
    }
    let chat = TestCall::new(Method::Post, system.address(), "/v1/chat/completions");
    let chat = chat.account_key(ACCOUNT_KEY).body(r#"{"model": "assistant", "messages": []}"#);
    system.refused(&chat, 400, "bad-request");
}

#[test]
fn a_wrong_key() {
    let system = StrictSystem::start();
    let call = system.completion("{}").account_key("wrong");
    system.refused(&call, 401, "wrong-key");
    let call = TestCall::new(Method::Post, system.address(), "/v1/completions");
    system.refused(&call.body("{}"), 401, "wrong-key");
}

#[test]
fn a_deadline_in_the_past_or_unreadable() {
    let system = StrictSystem::start();
    let call = system.completion(r#"{"model": "assistant", "prompt": "x"}"#);
    system.refused(&call.clone().header("request-deadline", "1"), 400, "deadline-passed");
    system.refused(&call.header("request-deadline", "soon"), 400, "bad-request");
}

#[test]
fn a_body_over_the_limit() {
    let system = StrictSystem::start();
    let call = system.completion(&"x".repeat(BODY_LIMIT + 1));
    system.refused(&call, 413, "body-too-large");
}

#[test]
fn a_flood_of_a_body_is_not_read_to_its_end() {
    let system = StrictSystem::start();
    for headers in [format!("content-length: {FLOOD}\r\n"), "transfer-encoding: chunked\r\n".into()]
    {
        let mut stream = system.connect();
        let request = head("/v1/completions", &headers);
        stream.write_all(format!("{request}\r\n").as_bytes()).expect("room for a head");
        let part = format!("{:x}\r\n{}\r\n", 4096, "x".repeat(4096));
        let mut sent = 0;
        while sent < FLOOD && stream.write_all(part.as_bytes()).is_ok() {
            sent += part.len();
        }
        assert!(sent < FLOOD, "the daemon read it all");
        system.refused(&system.completion("{}"), 400, "bad-request");
    }
}

#[test]
fn a_body_that_never_comes() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let request = head("/v1/completions", "content-length: 50\r\n");
    stream.write_all(format!("{request}\r\n{{").as_bytes()).expect("room for a head");
    system.refused_raw(stream, 408, "body-too-slow");
}

#[test]
fn half_a_body_is_not_run() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let request = head("/booking/reservations", "idempotency-key: half\r\ncontent-length: 50\r\n");
    stream.write_all(format!("{request}\r\none dr").as_bytes()).expect("room for a head");
    stream.shutdown(Shutdown::Write).expect("a half-closed connection");
    system.refused_raw(stream, 400, "bad-request");
    assert_eq!(system::execution_count(&system.0, "half"), 0);
}

#[test]
fn a_head_that_ends_early() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    stream.write_all(head("/v1/completions", "").as_bytes()).expect("room for a head");
    stream.shutdown(Shutdown::Write).expect("a half-closed connection");
    system.refused_raw(stream, 400, "bad-request");
}

#[test]
fn a_half_closed_connection_with_a_whole_request_is_served() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let body = r#"{"model": "assistant", "prompt": "x", "max_tokens": 2}"#;
    let request = head("/v1/completions", &format!("content-length: {}\r\n", body.len()));
    stream.write_all(format!("{request}\r\n{body}").as_bytes()).expect("room for a request");
    stream.shutdown(Shutdown::Write).expect("a half-closed connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer and the end of the connection");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[test]
fn a_head_that_comes_too_slowly() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    stream.write_all(b"POST /v1/comp").expect("room for half a head");
    system.refused_raw(stream, 408, "bad-request");
}

#[test]
fn headers_over_the_limit() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let request = head("/v1/completions", &format!("x-long: {}\r\n", "x".repeat(9000)));
    stream.write_all(format!("{request}\r\n").as_bytes()).expect("room for a head");
    system.refused_raw(stream, 431, "bad-request");
}

#[test]
fn garbage_instead_of_a_request() {
    let system = StrictSystem::start();
    for garbage in ["\u{1}\u{2}\u{3}\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\nhost: x\r\n\r\n"] {
        let mut stream = system.connect();
        stream.write_all(garbage.as_bytes()).expect("room for garbage");
        system.refused_raw(stream, 400, "bad-request");
    }
}

#[test]
fn garbage_without_line_ends_is_bounded() {
    let system = StrictSystem::start();
    let mut stream = system.connect();
    let part = [0x55; 4096];
    let mut sent = 0;
    while sent < FLOOD && stream.write_all(&part).is_ok() {
        sent += part.len();
    }
    assert!(sent < FLOOD, "the daemon read it all");
    system.refused(&system.completion("{}"), 400, "bad-request");
}

#[test]
fn a_connection_that_closes_without_a_byte() {
    let system = StrictSystem::start();
    for _ in 0..20 {
        drop(system.connect());
    }
    system.refused(&system.completion("{}"), 400, "bad-request");
}
