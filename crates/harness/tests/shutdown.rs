//! Every program shuts down gracefully under load and exits with 0.

use std::thread;

use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestServer, TestSystem},
};
use gooseberry_standins::{
    plain::{PlainCounts, PlainFaults},
    token,
};
use gooseberry_wire::{
    engine::{CompletionRequest, CompletionResponse, LoadReport},
    problem::{ProblemDocument, RequestExecuted},
};
use http_types::Method;

/// Requests that are running when a program is terminated.
const REQUEST_COUNT: usize = 8;
/// Tokens of each response.
const TOKENS: u32 = 400;

fn assert_complete(call: &TestCall, prompt: &str) {
    let answer = call.send().expect("a response");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let answer: CompletionResponse = answer.json();
    assert_eq!(answer.choices[0].text, token::expected_text(prompt, TOKENS));
}

/// Sends requests to a server, terminates it once `is_running` holds, and asserts that
/// all responses are complete.
fn stop_under_load(
    server: &mut TestServer,
    call: impl Fn(&str) -> TestCall,
    is_running: impl Fn() -> bool,
) {
    thread::scope(|scope| {
        let calls: Vec<_> = (0..REQUEST_COUNT)
            .map(|index| {
                let prompt = format!("running {index}");
                let call = call(&prompt);
                scope.spawn(move || assert_complete(&call, &prompt))
            })
            .collect();
        process::wait_until("the requests are running", &is_running);
        server.process.terminate();
        let failed = calls.into_iter().map(|call| call.join()).filter(Result::is_err).count();
        assert_eq!(failed, 0, "requests without a complete response");
    });
    assert!(server.process.wait().success());
}

fn assert_shutting_down(document: &ProblemDocument) {
    assert_eq!(document.type_, "urn:gooseberrykeel:shutting-down");
    assert_eq!(document.executed, RequestExecuted::Unknown);
}

fn routed_count(daemon: &TestServer) -> usize {
    daemon.process.log().matches("\"routed\"").count()
}

#[test]
fn a_daemon_with_streams_in_flight() {
    let mut system = TestSystem::start(SystemOptions::default());
    let address = system.daemons[0].address.clone();
    let before = routed_count(&system.daemons[0]);
    let log = system.daemons[0].process.log_path();
    let is_running = || {
        let log = std::fs::read_to_string(&log).unwrap_or_default();
        log.matches("\"routed\"").count() >= before + REQUEST_COUNT
    };
    let call = |prompt: &str| system::completion_call(&address, prompt, TOKENS);
    stop_under_load(&mut system.daemons[0], call, is_running);
}

/// Guards against a shutdown that fails or truncates streams because the daemon can't
/// write its last records.
#[test]
fn a_daemon_with_streams_in_flight_while_the_platform_is_down() {
    let mut system = TestSystem::start(SystemOptions::default());
    let address = system.daemons[0].address.clone();
    system.platform.process.kill();
    let before = routed_count(&system.daemons[0]);
    let log = system.daemons[0].process.log_path();
    let is_running = || {
        let log = std::fs::read_to_string(&log).unwrap_or_default();
        log.matches("\"routed\"").count() >= before + REQUEST_COUNT
    };
    let call = |prompt: &str| system::completion_call(&address, prompt, TOKENS);
    stop_under_load(&mut system.daemons[0], call, is_running);
}

/// Guards against a shutdown that waits without limit for a platform that accepts
/// connections but doesn't respond.
#[test]
fn a_daemon_while_the_platform_is_paused() {
    let mut system = TestSystem::start(SystemOptions::default());
    system.platform.process.pause();
    system.daemons[0].process.terminate();
    assert!(system.daemons[0].process.wait().success());
}

#[test]
fn an_engine_with_streams_in_flight() {
    let mut system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    let address = system.engines[0].address.clone();
    let call = |prompt: &str| {
        let wanted = CompletionRequest {
            model: "sample".to_owned(),
            prompt: prompt.to_owned(),
            max_tokens: TOKENS,
            stream: false,
            stream_id: None,
            resume_from: 0,
            priority: 1,
            kv_handle: None,
            adapter: None,
            export_kv: false,
        };
        TestCall::new(Method::Post, &address, "/v1/completions").json(&wanted)
    };
    let load = TestCall::new(Method::Get, &address, "/load");
    let is_running = || {
        let report: LoadReport = load.send().expect("a response of the engine").json();
        report.running as usize == REQUEST_COUNT
    };
    stop_under_load(&mut system.engines[0], call, is_running);
}

#[test]
fn a_plain_server_with_calls_in_flight() {
    let mut system = TestSystem::start(SystemOptions::default());
    let server = &mut system.plain_servers[0];
    server.set_faults(&PlainFaults { delay_ms: 1000, ..system::no_plain_faults() });
    let address = server.address.clone();
    let before: PlainCounts = server.counts();
    thread::scope(|scope| {
        let calls: Vec<_> = (0..REQUEST_COUNT)
            .map(|_| {
                let call = TestCall::new(Method::Get, &address, "/availability");
                scope.spawn(move || call.send().expect("a response").status)
            })
            .collect();
        process::wait_until("the calls are running", || {
            let counts: PlainCounts = server.counts();
            counts.unkeyed >= before.unkeyed + REQUEST_COUNT as u64
        });
        server.process.terminate();
        for call in calls {
            assert_eq!(call.join().expect("a thread that did not panic"), 200);
        }
    });
    assert!(server.process.wait().success());
}

#[test]
fn the_platform_with_a_watch_in_flight() {
    let mut system = TestSystem::start(SystemOptions::default());
    system.platform.process.terminate();
    assert!(system.platform.process.wait().success());
    let call = system::completion_call(&system.daemons[0].address, "still serving", 3);
    assert_eq!(call.send().expect("a response").status, 200);
}

/// Guards against requests whose connections are closed without a response when they
/// run longer than the drain timeout.
#[test]
fn a_daemon_with_a_stream_longer_than_its_drain_timeout() {
    let settings = "drain_s: 2\n".to_owned();
    let mut system =
        TestSystem::start(SystemOptions { daemon_settings: settings, ..SystemOptions::default() });
    system.plain_servers[0]
        .set_faults(&PlainFaults { delay_ms: 30_000, ..system::no_plain_faults() });
    let address = system.daemons[0].address.clone();
    let before = routed_count(&system.daemons[0]);
    // The stream is short enough for admission to accept it with its deadline of
    // 30 s.
    let mut stream = system::stream_call(&address, "long", 2500).open_stream();
    let other_calls = [
        system::completion_call(&address, "long and unstreamed", 2500),
        TestCall::new(Method::Get, &address, "/booking/availability")
            .account_key(system::ACCOUNT_KEY),
        system::reservation_call(&address, "long"),
    ];
    let others = other_calls.map(|call| thread::spawn(move || call.send().expect("a response")));
    stream.next_token().expect("a first token");
    process::wait_until("the requests are running", || {
        routed_count(&system.daemons[0]) >= before + 4
    });
    system.daemons[0].process.terminate();
    // The requests take longer than the drain timeout. They must end with a refusal,
    // not with a closed connection.
    let document = stream.read_error_event();
    assert_shutting_down(&document);
    assert!(document.retry_after_s.is_some());
    for other in others {
        let answer = other.join().expect("a thread that did not panic");
        assert_eq!(answer.status, 503, "{}", String::from_utf8_lossy(&answer.body));
        assert!(answer.retry_after.is_some());
        assert_shutting_down(&answer.json());
    }
    assert!(system.daemons[0].process.wait().success());
    let log = system.daemons[0].process.log();
    assert!(log.contains("\"ended\":4") && log.contains("\"cut\":0"), "{log}");
}
