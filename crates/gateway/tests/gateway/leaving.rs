//! Servers that say in their responses that they leave, before the store's list shows it.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use gooseberry_standins::gateway_mocks::{self, ReceivedRequest};

use crate::support::{
    self, get_request, server_entry, status_code, write_text, ScriptedServer, System,
};

/// Number of requests of a test after a server said that it leaves.
const REQUESTS: usize = 12;

/// How a server that leaves responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeavingAnswer {
    Success,
    Rejection,
}

/// A server that says that it leaves once it has been told to.
struct LeavingServer {
    server: ScriptedServer,
    is_leaving: Arc<AtomicBool>,
}

impl LeavingServer {
    fn start(answer: LeavingAnswer) -> Self {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&is_leaving);
        let server = ScriptedServer::start(move |request, stream| {
            let is_leaving = shared.load(Ordering::SeqCst);
            let header = if is_leaving { "Server-Leaving: 1\r\n" } else { "" };
            if is_leaving && answer == LeavingAnswer::Rejection {
                return gateway_mocks::write_rejection(request, stream, header);
            }
            let prefill = gateway_mocks::prefill_body(request);
            let body = if request.is_prefill() { &prefill } else { "id: 1\ndata: a\n\n" };
            gateway_mocks::write_response_with(request, stream, header, body)
        });
        Self { server, is_leaving }
    }

    /// Returns the number of prompts and plain requests that the server got.
    fn requests(&self) -> usize {
        let is_counted = |request: &&ReceivedRequest| !request.id().is_empty();
        self.server.received().iter().filter(is_counted).count()
    }
}

fn start(service: &str, servers: &[(&LeavingServer, &str)]) -> System {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    for (number, (server, stage)) in servers.iter().enumerate() {
        system.register(&format!("s{number}"), service, &server.server, stage);
    }
    system
}

fn send(system: &System, path: &str, number: usize) -> String {
    let prompt = gateway_mocks::prompt_headers(&format!("a{number:x}"), &format!("b{number:x}"));
    system.send(&get_request(path, if path == "/plain/x" { "" } else { &prompt }))
}

/// Sends requests until a server has said that it leaves, and then some more, none of which it may
/// get.
fn check_leaving(service: &str, path: &str, stage: &str, answer: LeavingAnswer) {
    let servers = [LeavingServer::start(answer), LeavingServer::start(answer)];
    let system = start(service, &[(&servers[0], stage), (&servers[1], stage)]);
    servers[0].is_leaving.store(true, Ordering::SeqCst);
    let mut number = 0;
    while servers[0].requests() == 0 {
        send(&system, path, number);
        number += 1;
        assert!(number < 200, "the server that leaves gets no request");
    }
    let before = servers[0].requests();
    for number in 0..REQUESTS {
        assert_eq!(status_code(&send(&system, path, 1000 + number)), "200", "{answer:?}");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(servers[0].requests(), before, "{path} {answer:?}");
}

#[test]
fn a_server_that_says_it_leaves_gets_no_further_requests() {
    for answer in [LeavingAnswer::Success, LeavingAnswer::Rejection] {
        check_leaving("plain", "/plain/x", "", answer);
        check_leaving("model", "/chat/x", "decode", answer);
    }
}

#[test]
fn a_prefill_engine_that_says_it_leaves_gets_no_further_prefills() {
    let servers = [LeavingAnswer::Success; 2].map(LeavingServer::start);
    let decode = LeavingServer::start(LeavingAnswer::Success);
    let system =
        start("model", &[(&servers[0], "prefill"), (&servers[1], "prefill"), (&decode, "decode")]);
    servers[0].is_leaving.store(true, Ordering::SeqCst);
    let long_prompt = |number: usize| {
        let parts = format!("a{number:x}:300,b{number:x}:8700");
        format!("X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: {parts}\r\n")
    };
    let mut number = 0;
    while servers[0].requests() == 0 {
        system.send(&get_request("/chat/x", &long_prompt(number)));
        number += 1;
        assert!(number < 200, "the engine that leaves gets no prefill");
    }
    let before = servers[0].requests();
    for number in 0..REQUESTS {
        system.send(&get_request("/chat/x", &long_prompt(1000 + number)));
    }
    assert_eq!(servers[0].requests(), before);
}

#[test]
fn other_daemons_hear_that_a_server_leaves() {
    let servers = [LeavingAnswer::Success; 2].map(LeavingServer::start);
    let system = start("plain", &[(&servers[0], ""), (&servers[1], "")]);
    let other = system.join("daemon-2");
    other.wait(|state| {
        state.fleet.iter().count() == 2 && state.live_peers(other.gateway.now()) == 1
    });
    servers[0].is_leaving.store(true, Ordering::SeqCst);
    while servers[0].requests() == 0 {
        send(&system, "/plain/x", 0);
    }
    thread::sleep(Duration::from_millis(300));
    let before = servers[0].requests();
    for number in 0..REQUESTS {
        assert_eq!(status_code(&send(&other, "/plain/x", number)), "200");
    }
    assert_eq!(servers[0].requests(), before);
}

#[test]
fn a_new_start_of_a_server_that_left_serves_at_once() {
    let server = LeavingServer::start(LeavingAnswer::Success);
    let system = start("plain", &[(&server, "")]);
    server.is_leaving.store(true, Ordering::SeqCst);
    assert_eq!(status_code(&send(&system, "/plain/x", 0)), "200");
    assert_eq!(status_code(&send(&system, "/plain/x", 1)), "503");
    server.is_leaving.store(false, Ordering::SeqCst);
    let mut entry = server_entry("plain", &server.server, "", "ready");
    entry["born"] = 1_700_000_000_000_u64.into();
    system.store.put_server("s0", &entry);
    support::wait_for(|| status_code(&send(&system, "/plain/x", 2)) == "200");
}

#[test]
fn a_stream_that_runs_at_a_server_that_leaves_runs_on() {
    let is_open = Arc::new(AtomicBool::new(true));
    let server = {
        let is_open = Arc::clone(&is_open);
        ScriptedServer::start(move |request, stream| {
            let headers = "Server-Leaving: 1\r\nTransfer-Encoding: chunked";
            write_text(stream, &gateway_mocks::response_head(request, headers));
            let event = "id: 1\ndata: a\n\n";
            while is_open.load(Ordering::SeqCst) {
                write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
                thread::sleep(Duration::from_millis(20));
            }
            write_text(stream, "0\r\n\r\n")
        })
    };
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    system.register("s0", "model", &server, "decode");
    let text = thread::scope(|scope| {
        let running = scope.spawn(|| send(&system, "/chat/x", 0));
        support::wait_for(|| !server.received().is_empty());
        thread::sleep(Duration::from_millis(500));
        is_open.store(false, Ordering::SeqCst);
        running.join().expect("no panic")
    });
    assert!(support::is_complete_response(&text), "{text}");
    assert!(text.matches("data: a").count() > 10, "{text}");
}

#[test]
fn no_request_goes_to_a_decode_engine_that_is_gone_after_the_prefill() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let store = system.store.clone();
    let gateway = Arc::clone(&system.gateway);
    let prefill = ScriptedServer::start(move |request, stream| {
        if request.is_prefill() {
            store.remove_server("decode");
            support::wait_for(|| {
                let state = gateway.state.lock();
                let server = state.fleet.server(state.fleet.key("decode").expect("known server"));
                !server.is_usable(gateway.now())
            });
        }
        gateway_mocks::write_prefill_response(request, stream)
    });
    let decode = LeavingServer::start(LeavingAnswer::Success);
    system.register("prefill", "model", &prefill, "prefill");
    system.register("decode", "model", &decode.server, "decode");
    let prompt = "X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: aa:300,bb:8700\r\n";
    let text = system.send(&get_request("/chat/x", prompt));
    assert_eq!(prefill.received().iter().filter(|request| request.is_prefill()).count(), 1);
    assert_eq!(decode.requests(), 0, "{text}");
    assert_eq!(status_code(&text), "503");
}
