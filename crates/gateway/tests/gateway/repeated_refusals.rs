//! Faulty servers that write an earlier response once more on a kept connection: it says nothing of the
//! request that is sent there.

use std::{
    collections::HashSet,
    net::TcpStream,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use gooseberry_standins::gateway_mocks::{self, ReceivedRequest};
use parking_lot::Mutex;

use crate::support::{
    get_request, status_code, write_response, write_text, ScriptedServer, System,
};

/// Responses that an earlier request got.
const REFUSALS: [&str; 5] = [
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 X\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: other\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
];

fn system() -> System {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    system
}

/// Ports of the connections on which a server has responded.
type KeptPorts = Arc<Mutex<HashSet<u16>>>;

/// Records the connection of a request, and returns whether it has carried one before.
fn is_kept(ports: &KeptPorts, stream: &TcpStream) -> bool {
    let port = stream.peer_addr().expect("connected peer").port();
    !ports.lock().insert(port)
}

/// A server that runs each request, and writes an earlier refusal in place of the response to the
/// second one of each connection.
fn repeating_server(refusal: &'static str, runs: &Arc<AtomicUsize>) -> ScriptedServer {
    let (ports, runs) = (KeptPorts::default(), Arc::clone(runs));
    ScriptedServer::start(move |request, stream| {
        runs.fetch_add(1, Ordering::SeqCst);
        if is_kept(&ports, stream) {
            write_text(stream, refusal);
            return false;
        }
        write_response(request, stream, "done")
    })
}

#[test]
fn a_request_that_runs_is_not_reported_as_not_run_by_an_earlier_refusal() {
    for refusal in REFUSALS {
        let system = system();
        let runs = Arc::new(AtomicUsize::new(0));
        let server = repeating_server(refusal, &runs);
        system.register("one", "plain", &server, "");
        let mut statuses = HashSet::new();
        for number in 1..=6 {
            let text = system.send(&get_request("/plain/x", ""));
            statuses.insert(status_code(&text).to_owned());
            assert_eq!(runs.load(Ordering::SeqCst), number, "{refusal}");
        }
        let expected: HashSet<String> = ["200", "502"].map(str::to_owned).into();
        assert_eq!(statuses, expected, "{refusal}");
    }
}

#[test]
fn a_misdirected_response_to_another_request_sends_none_to_a_second_server() {
    let system = system();
    let faulty = || {
        ScriptedServer::start(|_, stream| {
            write_text(stream, "HTTP/1.1 421 X\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n")
        })
    };
    let servers = [faulty(), faulty()];
    system.register("one", "plain", &servers[0], "");
    system.register("two", "plain", &servers[1], "");
    assert_eq!(status_code(&system.send(&get_request("/order/x", ""))), "502");
    assert_eq!(servers.iter().map(|server| server.received().len()).sum::<usize>(), 1);
}

#[test]
fn what_an_earlier_response_says_of_its_server_is_not_recorded() {
    let system = system();
    let server = ScriptedServer::start(|_, stream| write_text(stream, REFUSALS[4]));
    system.register("one", "plain", &server, "");
    assert_eq!(status_code(&system.send(&get_request("/order/x", ""))), "502");
    let state = system.gateway.state.lock();
    assert!(!state.fleet.server(state.fleet.key("one").expect("known server")).is_leaving);
}

#[test]
fn a_prefill_does_not_take_the_handle_of_an_earlier_one() {
    let system = system();
    let ports = KeptPorts::default();
    let prefill = ScriptedServer::start(move |request, stream| {
        if is_kept(&ports, stream) {
            let body = r#"{"kv-handle":"earlier","token-count":1,"version":1}"#;
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            write_text(stream, &(head + body));
            return false;
        }
        gateway_mocks::write_prefill_response(request, stream)
    });
    let decode = ScriptedServer::start(|request, stream| {
        write_response(request, stream, "id: 1\ndata: a\n\n")
    });
    system.register("prefill", "model", &prefill, "prefill");
    system.register("decode", "model", &decode, "decode");
    for number in 0..4 {
        let parts = format!("a{number:x}:300,b{number:x}:8700");
        let prompt = format!("X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: {parts}\r\n");
        system.send(&get_request("/chat/x", &prompt));
    }
    assert!(prefill.received().len() > 1, "a second prompt is prefilled");
    let sources = decode.received();
    let sources = sources.iter().filter_map(|request| request.header("x-kv-source"));
    let earlier: Vec<_> = sources.filter(|source| source.ends_with("/earlier")).collect();
    assert!(earlier.is_empty(), "{earlier:?}");
}

/// Keeps two connections to an engine, on which streams ran at the same time.
fn keep_two_connections(system: &System) {
    thread::scope(|scope| {
        for number in 0..2 {
            let parts = format!("c{number:x}:300,d{number:x}:100");
            let prompt =
                format!("X-Model: m\r\nX-Token-Usage: 400,5\r\nX-Prompt-Prefix: {parts}\r\n");
            scope.spawn(move || {
                assert_eq!(status_code(&system.send(&get_request("/review/x", &prompt))), "200");
            });
        }
    });
}

#[test]
fn a_request_that_was_refused_is_sent_again_on_a_new_connection_only() {
    let system = system();
    let ports = KeptPorts::default();
    let sends: Arc<Mutex<Vec<(String, bool)>>> = Arc::default();
    let record = Arc::clone(&sends);
    let refuse = |request: &ReceivedRequest| request.prompt_parts().starts_with("aa:");
    let decode = ScriptedServer::start(move |request, stream| {
        let is_kept = is_kept(&ports, stream);
        let mut sends = record.lock();
        let is_first = !sends.iter().any(|(id, _)| id == request.id());
        sends.push((request.id().to_owned(), is_kept));
        drop(sends);
        if refuse(request) && is_first {
            let id = request.id();
            let head = format!("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\n");
            return write_text(stream, &(head + "Content-Length: 0\r\n\r\n"));
        }
        thread::sleep(Duration::from_millis(200));
        write_response(request, stream, "id: 1\ndata: a\n\n")
    });
    let prefill = ScriptedServer::start(gateway_mocks::write_prefill_response);
    system.register("decode", "model", &decode, "decode");
    keep_two_connections(&system);
    system.register("prefill", "model", &prefill, "prefill");
    let prompt = "X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: aa:300,bb:8700\r\n";
    let text = system.send(&get_request("/review/x", prompt));
    let sends = sends.lock();
    let (last, _) = sends.last().expect("the engine got requests");
    let again: Vec<bool> =
        sends.iter().filter(|(id, _)| id == last).map(|(_, is_kept)| *is_kept).collect();
    assert_eq!(again, [true, false], "{text}");
}
