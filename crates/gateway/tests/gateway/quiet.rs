//! Servers that turn requests away and ask for quiet: a 503 with `Retry-After`.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{self, ReceivedRequest};
use parking_lot::Mutex;

use crate::support::{self, get_request, status_code, ScriptedServer, System};

/// Time for which the servers ask for quiet.
const QUIET: Duration = Duration::from_millis(2500);
/// Time after a server asked for quiet from which its requests are counted, and how many it may get
/// from then to the end.
const GRACE: Duration = Duration::from_millis(500);
const REQUEST_LIMIT: usize = 2;
/// Time between two requests of a test.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// A server that turns away all requests of its kind with a text as `Retry-After`.
struct QuietServer {
    server: ScriptedServer,
    /// Times of the requests that it turned away, and of all others.
    rejections: Arc<Mutex<Vec<Instant>>>,
    others: Arc<Mutex<Vec<Instant>>>,
}

impl QuietServer {
    fn start(retry_after: &'static str, is_rejected: fn(&ReceivedRequest) -> bool) -> Self {
        let (rejections, others): (Arc<Mutex<Vec<_>>>, Arc<Mutex<Vec<_>>>) = Default::default();
        let shared = (Arc::clone(&rejections), Arc::clone(&others));
        let server = ScriptedServer::start(move |request, stream| {
            if is_rejected(request) {
                shared.0.lock().push(Instant::now());
                let header = format!("Retry-After: {retry_after}\r\n");
                return gateway_mocks::write_rejection(request, stream, &header);
            }
            shared.1.lock().push(Instant::now());
            let prefill = gateway_mocks::prefill_body(request);
            let body = if request.is_prefill() { &prefill } else { "id: 1\ndata: a\n\n" };
            support::write_response(request, stream, body)
        });
        Self { server, rejections, others }
    }

    /// Checks that the server got almost nothing from half a second after its first rejection until
    /// the quiet that it asked for had ended.
    fn check(&self) {
        let rejections = self.rejections.lock();
        let first = *rejections.first().expect("a rejection");
        let others = self.others.lock();
        let is_late = |at: &&Instant| **at > first + GRACE && **at < first + QUIET;
        let late = rejections.iter().chain(others.iter()).filter(is_late).count();
        assert!(late <= REQUEST_LIMIT, "{late} requests while the server asked for quiet");
    }
}

fn start(service: &str, servers: &[(&ScriptedServer, &str)]) -> System {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    for (number, (server, stage)) in servers.iter().enumerate() {
        system.register(&format!("s{number}"), service, server, stage);
    }
    system
}

fn sound() -> ScriptedServer {
    ScriptedServer::start(|request, stream| {
        let prefill = gateway_mocks::prefill_body(request);
        let body = if request.is_prefill() { &prefill } else { "id: 1\ndata: a\n\n" };
        support::write_response(request, stream, body)
    })
}

/// Sends requests for somewhat longer than the quiet, and returns the share that was served.
fn load(system: &System, path: &str, headers: impl Fn(usize) -> String) -> f64 {
    let end = Instant::now() + QUIET + GRACE;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        let text = system.send(&get_request(path, &headers(sent)));
        served += usize::from(status_code(&text) == "200");
        sent += 1;
        thread::sleep(SEND_INTERVAL);
    }
    f64::from(served as u32) / f64::from(sent as u32)
}

fn prompt(number: usize) -> String {
    gateway_mocks::prompt_headers(&format!("a{number:x}"), &format!("b{number:x}"))
}

fn long_prompt(number: usize) -> String {
    let parts = format!("a{number:x}:300,b{number:x}:8700");
    format!("X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: {parts}\r\n")
}

#[test]
fn a_server_that_asks_for_quiet_gets_almost_nothing_until_its_end() {
    let quiet = QuietServer::start("2.5", |_| true);
    let system = start("plain", &[(&quiet.server, ""), (&sound(), "")]);
    assert!(load(&system, "/plain/x", |_| String::new()) > 0.95);
    quiet.check();
    let quiet = QuietServer::start("2.5", |_| true);
    let system = start("model", &[(&quiet.server, "decode"), (&sound(), "decode")]);
    assert!(load(&system, "/chat/x", prompt) > 0.95);
    quiet.check();
}

#[test]
fn a_prefill_engine_that_asks_for_quiet_gets_neither_prefills_nor_releases() {
    let quiet = QuietServer::start("2.5", ReceivedRequest::is_prefill);
    let servers = [(&quiet.server, "prefill"), (&sound(), "prefill"), (&sound(), "decode")];
    let system = start("model", &servers);
    assert!(load(&system, "/chat/x", long_prompt) > 0.9);
    quiet.check();
}

#[test]
fn a_decode_engine_that_asks_for_quiet_during_prefills_gets_no_decodes() {
    let is_decode = |request: &ReceivedRequest| !request.is_prefill();
    let quiet = QuietServer::start("2.5", is_decode);
    let system = start("model", &[(&sound(), "prefill"), (&quiet.server, "decode")]);
    load(&system, "/chat/x", long_prompt);
    quiet.check();
}

#[test]
fn callers_are_told_when_the_only_server_takes_requests_again() {
    let quiet = QuietServer::start("2.5", |_| true);
    let system = start("plain", &[(&quiet.server, "")]);
    system.send(&get_request("/plain/x", ""));
    let asked_at = Instant::now();
    thread::sleep(Duration::from_millis(600));
    let text = system.send(&get_request("/plain/x", ""));
    assert!(asked_at.elapsed() < Duration::from_millis(1200), "refused at once");
    assert_eq!(status_code(&text), "503", "{text}");
    let seconds = text.lines().find_map(|line| line.strip_prefix("retry-after: "));
    let seconds: f64 = seconds.and_then(|text| text.trim().parse().ok()).expect("retry-after");
    assert!((1.0..2.1).contains(&seconds), "{seconds} s");
    thread::sleep(Duration::from_secs_f64(seconds));
    let before = quiet.rejections.lock().len();
    system.send(&get_request("/plain/x", ""));
    assert_eq!(quiet.rejections.lock().len(), before + 1, "it is asked again after its quiet");
}

#[test]
fn a_malformed_retry_after_asks_for_no_quiet() {
    for malformed in ["-1", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let quiet = QuietServer::start(malformed, |_| true);
        let system = start("plain", &[(&quiet.server, "")]);
        system.send(&get_request("/plain/x", ""));
        let key = system.gateway.state.lock().fleet.key("s0").expect("a server");
        let quiet_until = system.gateway.state.lock().fleet.server(key).quiet_until;
        assert!(quiet_until <= system.gateway.now(), "{malformed}");
    }
}
