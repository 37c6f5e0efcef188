//! Guarantees to callers and backend servers, checked over sockets.

use std::{
    io::Read,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc, Arc,
    },
    time::Duration,
};

use gooseberry_core::serving::event_stream::BodyFraming;
use gooseberry_standins::gateway_mocks;

use crate::{
    crashing_engine::{CrashingEngine, EngineRecord, POISON_PART},
    support::{
        self, get_request, read_response, server_entry, status_code, write_response, write_text,
        ScriptedServer, System,
    },
};

fn normal_server() -> ScriptedServer {
    ScriptedServer::start(|request, stream| write_response(request, stream, "done"))
}

fn system() -> System {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    system
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let system = system();
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let forged = "X-Expect-Instance: other\r\nX-Request-Priority: 0\r\nX-Kv-Source: x\r\n\
                  Connection: x-private\r\nX-Private: 1\r\nX-Kept: 1\r\n";
    let text = system.send(&get_request("/plain/stock?id=7", forged));
    assert_eq!(status_code(&text), "200");
    assert!(text.contains("x-response-seal: seal") && text.ends_with("\r\n\r\ndone"), "{text}");
    let seen = server.received();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line, "GET /plain/stock?id=7 HTTP/1.1");
    assert_eq!(seen[0].header("x-expect-instance"), Some("one"));
    assert_eq!(seen[0].header("x-request-priority"), None);
    assert_eq!(seen[0].header("x-kv-source"), None);
    assert_eq!(seen[0].header("x-private"), None);
    assert_eq!(seen[0].header("x-kept"), Some("1"));
    let disconnected: u64 = seen[0].header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(
        disconnected <= 3000,
        "the deadline of {disconnected} ms exceeds the 3000 ms of the caller"
    );
}

#[test]
fn without_a_configuration_the_response_is_503_and_the_daemon_is_not_ready() {
    let system = System::start();
    assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "503");
    assert!(!system.gateway.is_ready());
    system.configure(1);
    system.wait_version(1);
    support::wait_for(|| system.gateway.is_ready());
    assert_eq!(status_code(&system.send(&get_request("/nowhere/x", ""))), "404");
}

#[test]
fn a_refusal_without_servers_has_a_retry_after() {
    let text = system().send(&get_request("/order/x", ""));
    assert_eq!(status_code(&text), "503");
    assert!(text.contains("retry-after: 0."), "{text}");
}

#[test]
fn a_non_idempotent_request_whose_connection_breaks_is_sent_once_and_not_reported_as_not_run() {
    let system = system();
    let breaking = || ScriptedServer::start(|_, _| false);
    let (one, two) = (breaking(), breaking());
    system.register("one", "plain", &one, "");
    system.register("two", "plain", &two, "");
    assert_eq!(status_code(&system.send(&get_request("/order/x", ""))), "502");
    assert_eq!(one.received().len() + two.received().len(), 1);
}

#[test]
fn a_non_idempotent_request_that_a_server_rejects_goes_to_another() {
    let system = system();
    let full = ScriptedServer::start(|_, stream| {
        write_text(stream, "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
    });
    system.register("full", "plain", &full, "");
    let first = system.send(&get_request("/order/x", ""));
    assert_eq!(status_code(&first), "503");
    let server = normal_server();
    system.register("sound", "plain", &server, "");
    for _ in 0..4 {
        assert_eq!(status_code(&system.send(&get_request("/order/x", ""))), "200");
    }
    assert_eq!(server.received().len(), 4);
}

#[test]
fn an_idempotent_request_is_retried_after_a_truncated_response() {
    let system = system();
    let broken = ScriptedServer::start(|request, stream| {
        let id = request.id();
        write_text(
            stream,
            &format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\
                 Content-Length: 10\r\n\r\nhalf"
            ),
        );
        false
    });
    let server = normal_server();
    system.register("broken", "plain", &broken, "");
    system.register("sound", "plain", &server, "");
    for _ in 0..6 {
        assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "200");
    }
    assert!(!server.received().is_empty());
}

#[test]
fn a_response_to_another_request_is_not_forwarded() {
    let system = system();
    let confused = ScriptedServer::start(|_, stream| {
        write_text(
            stream,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\n\
             Content-Length: 6\r\n\r\nsecret",
        )
    });
    system.register("one", "plain", &confused, "");
    let text = system.send(&get_request("/order/x", ""));
    assert_eq!(status_code(&text), "502");
    assert!(!text.contains("secret"));
}

#[test]
fn a_success_without_a_signature_is_not_forwarded() {
    let system = system();
    let unsigned = ScriptedServer::start(|_, stream| {
        write_text(stream, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake")
    });
    system.register("one", "plain", &unsigned, "");
    assert_eq!(status_code(&system.send(&get_request("/order/x", ""))), "502");
}

#[test]
fn a_second_response_on_a_connection_is_not_forwarded() {
    let system = system();
    let chatty = ScriptedServer::start(|request, stream| {
        write_response(request, stream, "done") && write_response(request, stream, "extra")
    });
    system.register("one", "plain", &chatty, "");
    for _ in 0..5 {
        let text = system.send(&get_request("/plain/x", ""));
        assert!(!text.contains("extra"), "{text}");
    }
}

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let system = system();
    let (draining, remaining) = (normal_server(), normal_server());
    system.register("leaving", "plain", &draining, "");
    system.register("staying", "plain", &remaining, "");
    system.store.put("servers/leaving", &server_entry("plain", &draining, "", "draining"));
    system.wait(|state| {
        state.fleet.key("leaving").is_some_and(|key| state.fleet.server(key).entry.is_draining)
    });
    for _ in 0..8 {
        assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "200");
    }
    assert_eq!(draining.received().len(), 0);
    system.store.remove("servers/staying");
    let now = system.gateway.now();
    system.wait(|state| {
        state.fleet.key("staying").is_some_and(|key| !state.fleet.server(key).is_usable(now))
    });
    assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "503");
}

#[test]
fn a_malformed_entry_adds_no_server_and_affects_no_other() {
    let system = system();
    let server = normal_server();
    system.store.put("servers/odd", &serde_json::json!({"service": 7, "state": "ready"}));
    system.store.put("servers/state", &server_entry("plain", &server, "", "asleep"));
    system.register("sound", "plain", &server, "");
    assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "200");
    assert!(system.gateway.state.lock().fleet.key("odd").is_none());
    assert!(system.gateway.state.lock().fleet.key("state").is_none());
}

/// Guards against a leader key that is never free again: the previous leader's key was deleted
/// while the history was compacted, so the deletion was never received.
#[test]
fn a_leader_key_deleted_with_the_history_is_free_again() {
    let system = System::start();
    system.store.put("gateway/steward", &"another".into());
    system.configure(1);
    system.wait_version(1);
    system.store.remove_and_compact("gateway/steward");
    support::wait_for(|| system.store.value_text("gateway/steward").as_deref() == Some("daemon-1"));
}

#[test]
fn an_older_configuration_is_never_applied() {
    let system = system();
    system.configure(5);
    system.wait_version(5);
    system.configure(3);
    let server = normal_server();
    system.register("after", "plain", &server, "");
    system.wait_version(5);
}

#[test]
fn prefill_and_decode_run_at_different_engines() {
    let system = system();
    let prefill_engine = ScriptedServer::start(|request, stream| {
        assert_eq!(request.header("x-serving-stage"), Some("prefill"));
        let body = r#"{"kv-handle":"h1","token-count":5000,"version":1}"#;
        write_text(
            stream,
            &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        )
    });
    let source = format!("{}/h1", prefill_engine.address);
    let decode_engine = ScriptedServer::start(move |request, stream| {
        assert_eq!(request.header("x-kv-source"), Some(source.as_str()));
        write_response(request, stream, "id: 1\ndata: x\n\n")
    });
    system.register("reader", "model", &prefill_engine, "prefill");
    system.register("writer", "model", &decode_engine, "decode");
    let prompt = "X-Model: m\r\nX-Token-Usage: 5000,20\r\nX-Prompt-Prefix: aa:4000,bb:1000\r\n";
    let text = system.send(&get_request("/chat/x", prompt));
    assert_eq!(status_code(&text), "200", "{text}");
    assert!(text.contains("data: x"));
    assert_eq!((prefill_engine.received().len(), decode_engine.received().len()), (1, 1));
}

#[test]
fn a_truncated_stream_does_not_look_complete() {
    let system = system();
    let breaking = ScriptedServer::start(|request, stream| {
        let id = request.id();
        write_text(
            stream,
            &format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\
                 Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n"
            ),
        );
        false
    });
    system.register("one", "model", &breaking, "decode");
    let text = system.send(&get_request("/chat/x", "X-Model: m\r\nX-Token-Usage: 100,20\r\n"));
    assert!(text.contains("id: 1") && !support::is_complete_response(&text), "{text}");
}

/// Guards against lost resumable streams: they failed if their engine reset the connection before
/// the first event, although they may run again.
#[test]
fn a_stream_that_may_be_resumed_goes_to_another_engine_before_its_first_event() {
    for (path, expected, sends) in [("/review/x", "200", 2), ("/chat/x", "502", 1)] {
        let system = system();
        let count = Arc::new(AtomicUsize::new(0));
        let engine = || {
            let count = Arc::clone(&count);
            ScriptedServer::start(move |request, stream| {
                let is_first = count.fetch_add(1, Ordering::Relaxed) == 0;
                !is_first && write_response(request, stream, "data: 1\n\n")
            })
        };
        let (one, two) = (engine(), engine());
        system.register("one", "model", &one, "");
        system.register("two", "model", &two, "");
        let prompt = "X-Model: m\r\nX-Token-Usage: 100,5\r\nX-Prompt-Prefix: aa:100\r\n";
        let text = system.send(&get_request(path, prompt));
        assert_eq!(status_code(&text), expected, "{text}");
        assert_eq!(one.received().len() + two.received().len(), sends);
    }
}

/// Guards against fingerprint collisions: requests without a body and with the same path had the
/// same fingerprint, so a soak test refused all chats after three of them had lost their responses
/// (seeds 102 and 113).
#[test]
fn prompts_without_a_body_are_not_quarantined_for_each_other() {
    let system = system();
    let record: Arc<EngineRecord> = Arc::default();
    let framing = BodyFraming::Chunked;
    let start = |_| CrashingEngine::start(&system.store, "model", "decode", framing, &record);
    let _engines: Vec<_> = (0..3).map(start).collect();
    let prompt =
        |part| format!("X-Model: m\r\nX-Token-Usage: 100,5\r\nX-Prompt-Prefix: {part}:100\r\n");
    let send = |part| status_code(&system.send(&get_request("/chat/x", &prompt(part)))).to_owned();
    support::wait_for(|| {
        send(POISON_PART);
        !system.gateway.state.lock().parts.convictions().is_empty()
    });
    support::wait_for(|| send("aa") == "200");
    let arrivals = record.poison_arrivals.lock().len();
    for _ in 0..4 {
        assert_eq!((send(POISON_PART).as_str(), send("bb").as_str()), ("503", "200"));
    }
    assert_eq!(record.poison_arrivals.lock().len(), arrivals);
}

/// Guards against refusals of sound requests: three lost responses counted as crashes of the engine.
#[test]
fn requests_whose_responses_are_lost_at_a_live_server_go_on_being_sent() {
    let prompt = "X-Model: m\r\nX-Token-Usage: 100,5\r\nX-Prompt-Prefix: aa:100\r\n";
    for (path, service, headers) in [("/chat/x", "model", prompt), ("/plain/x", "plain", "")] {
        let system = system();
        let loses = Arc::new(AtomicBool::new(true));
        let server = {
            let loses = Arc::clone(&loses);
            ScriptedServer::start(move |request, stream| {
                !loses.load(Ordering::SeqCst) && write_response(request, stream, "data: 1\n\n")
            })
        };
        system.register("one", service, &server, "");
        let send = || {
            support::wait_for(|| {
                let state = system.gateway.state.lock();
                let key = state.fleet.key("one").expect("known server");
                state.fleet.server(key).is_usable(system.gateway.now())
            });
            status_code(&system.send(&get_request(path, headers))).to_owned()
        };
        for _ in 0..5 {
            assert_eq!(send(), "502");
        }
        loses.store(false, Ordering::SeqCst);
        assert_eq!(send(), "200");
    }
}

#[test]
fn a_disconnected_caller_ends_the_work_at_the_engine() {
    let system = system();
    let (sender, disconnected) = mpsc::channel();
    let sender = std::sync::Mutex::new(sender);
    let slow = ScriptedServer::start(move |request, stream| {
        let id = request.id();
        write_text(
            stream,
            &format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\
                 Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n"
            ),
        );
        // Returns when the gateway closes the connection.
        let _ = stream.read(&mut [0]);
        let _ = sender.lock().unwrap().send(());
        false
    });
    system.register("one", "model", &slow, "decode");
    let mut stream = system.connect();
    write_text(&mut stream, &get_request("/chat/x", "X-Model: m\r\nX-Token-Usage: 100,20\r\n"));
    let mut first = [0; 64];
    assert!(stream.read(&mut first).unwrap() > 0);
    drop(stream);
    disconnected
        .recv_timeout(Duration::from_secs(20))
        .expect("the gateway should close the connection");
}

/// Guards against aborted requests at the exit: callers that came more than three seconds after
/// SIGTERM were disconnected. The load balancer sends to daemons that shut down if a failure domain
/// has no others.
#[test]
fn a_daemon_that_shuts_down_refuses_requests_that_it_could_not_finish() {
    for (grace_s, expected) in [(8, "200"), (1, "503")] {
        let system = system();
        let server = normal_server();
        system.register("one", "plain", &server, "");
        system.gateway.limits.lock().grace = Duration::from_secs(grace_s);
        system.gateway.set_stopping();
        let text = system.send(&get_request("/order/x", ""));
        assert_eq!(status_code(&text), expected, "{text}");
        assert!(text.contains("connection: close"), "{text}");
    }
}

/// Guards against a timeout of the daemon's own, shorter than that of the route, for callers that state no
/// deadline.
#[test]
fn a_request_without_a_deadline_has_the_timeout_of_its_route() {
    let system = System::start();
    let mut configuration = gateway_mocks::configuration(1, "plain");
    for route in configuration["routes"].as_array_mut().expect("a list of routes") {
        route["timeout-ms"] = 60_000.into();
    }
    system.store.put_configuration(&configuration);
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let request = get_request("/order/x", "").replace("X-Deadline-Ms: 3000\r\n", "");
    assert_eq!(status_code(&system.send(&request)), "200");
    let received = server.received();
    let sent = received.iter().find(|request| request.path() == "/order/x").expect("the request");
    let time_left: f64 =
        sent.header("x-deadline-ms").and_then(|text| text.parse().ok()).expect("a deadline");
    assert!((50_000.0..=60_000.0).contains(&time_left), "{time_left} ms");
}

#[test]
fn readiness_is_served_on_its_own_address() {
    let system = system();
    support::wait_for(|| system.gateway.is_ready());
    let mut stream = std::net::TcpStream::connect(system.ready).expect("connection succeeds");
    write_text(&mut stream, "GET /gooseberrykeel/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(status_code(&read_response(&mut stream)), "200");
}
