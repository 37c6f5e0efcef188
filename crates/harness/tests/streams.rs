//! Streams stay complete when an engine crashes or stops responding, and are cancelled
//! when the caller disconnects.

use std::time::Duration;

use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestServer, TestSystem},
};
use gooseberry_standins::token;
use gooseberry_wire::{
    engine::EngineFaults,
    problem::{ProblemDocument, RequestExecuted},
};

/// Tokens of a stream that is interrupted before its end.
const TOKENS: u32 = 600;
/// Tokens of a stream that doesn't end while a test runs.
const ENDLESS_TOKENS: u32 = 100_000;

/// Returns the index of the engine that the last request was routed to.
fn routed_engine(system: &TestSystem) -> usize {
    let log = system.daemons[0].process.log();
    let routed =
        log.lines().rev().find(|line| line.contains("\"routed\"") && line.contains("engine-"));
    let line = routed.expect("a routing decision");
    let is_named = |engine: &TestServer| line.contains(&format!("\"engine\":\"{}\"", engine.name));
    system.engines.iter().position(is_named).expect("an engine of the system")
}

fn log_count(system: &TestSystem, text: &str) -> usize {
    system.daemons[0].process.log().matches(text).count()
}

/// Guards against a truncated stream when its engine crashes: another engine must
/// continue it without a missing or repeated token.
#[test]
fn a_stream_of_a_killed_engine_continues_at_another() {
    let mut system = TestSystem::start(SystemOptions::default());
    let mut stream =
        system::stream_call(&system.daemons[0].address, "killed", TOKENS).open_stream();
    let first = stream.next_token().expect("a first token").choices[0].text.clone();
    let engine = routed_engine(&system);
    system.engines[engine].process.kill();
    assert_eq!(first + &stream.read_to_end(), token::expected_text("killed", TOKENS));
}

/// Guards against moving a stream to another engine when only its connection stops
/// responding: the stream must be resumed at the same engine.
#[test]
fn a_stream_of_an_unresponsive_connection_is_resumed_at_the_same_engine() {
    let system = TestSystem::start(SystemOptions::default());
    let mut stream =
        system::stream_call(&system.daemons[0].address, "silent", TOKENS).open_stream();
    let first = stream.next_token().expect("a first token").choices[0].text.clone();
    let routed = log_count(&system, "\"routed\"");
    let faults = EngineFaults { silent_streams: true, ..system::no_engine_faults() };
    system.engines[routed_engine(&system)].set_faults(&faults);
    assert_eq!(first + &stream.read_to_end(), token::expected_text("silent", TOKENS));
    assert_eq!(
        log_count(&system, "\"routed\""),
        routed,
        "the request was routed to another engine"
    );
    assert_eq!(log_count(&system, "resuming stream at the same engine"), 1);
}

/// Guards against a stream that keeps running on an unresponsive engine after another
/// engine has continued it.
#[test]
fn a_stream_of_a_paused_engine_continues_at_another_and_is_cancelled() {
    let system = TestSystem::start(SystemOptions::default());
    let mut stream =
        system::stream_call(&system.daemons[0].address, "paused", TOKENS).open_stream();
    let first = stream.next_token().expect("a first token").choices[0].text.clone();
    let engine = &system.engines[routed_engine(&system)];
    engine.process.pause();
    assert_eq!(first + &stream.read_to_end(), token::expected_text("paused", TOKENS));
    engine.process.resume();
    process::wait_until("the stream of the paused engine has ended", || {
        system::engine_load(engine).running == 0
    });
}

/// Makes a call for a stream that doesn't end, with a deadline that is late enough for
/// admission to accept it.
fn endless_call(system: &TestSystem, prompt: &str) -> TestCall {
    system::stream_call(&system.daemons[0].address, prompt, ENDLESS_TOKENS)
        .header("request-deadline", &system::deadline_in(Duration::from_secs(3600)))
}

/// Guards against engine time spent on a stream whose caller has disconnected.
#[test]
fn the_stream_of_a_disconnected_caller_is_cancelled() {
    let system = TestSystem::start(SystemOptions::default());
    let mut stream = endless_call(&system, "left").open_stream();
    stream.next_token().expect("a first token");
    let engine = &system.engines[routed_engine(&system)];
    process::wait_until("the engine reports the stream", || {
        system::engine_load(engine).running == 1
    });
    drop(stream);
    process::wait_until("the engine has cancelled the stream", || {
        system::engine_load(engine).running == 0
    });
}

/// Guards against a daemon that detects a disconnected caller only when it writes a
/// token.
#[test]
fn a_disconnected_caller_is_detected_while_no_token_arrives() {
    let system = TestSystem::start(SystemOptions::default());
    let mut stream = endless_call(&system, "left").open_stream();
    stream.next_token().expect("a first token");
    let stuck = EngineFaults { stuck: true, ..system::no_engine_faults() };
    system.engines[routed_engine(&system)].set_faults(&stuck);
    drop(stream);
    process::wait_until("the daemon detects the disconnected caller", || {
        log_count(&system, "caller disconnected") == 1
    });
}

/// Guards against a response "not executed" for a request that an unresponsive engine
/// may have executed.
#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_executed() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    system.engines[0].process.pause();
    let call = system::completion_call(&system.daemons[0].address, "late", 5)
        .header("request-deadline", &system::deadline_in(Duration::from_millis(1200)));
    let answer = call.send().expect("a final response");
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::Unknown));
    assert!(answer.retry_after.is_some());
}

/// Guards against a caller that waits beyond its deadline for a stuck engine, and
/// against the request staying at the engine.
#[test]
fn a_request_at_a_stuck_engine_ends_at_its_deadline() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    let stuck = EngineFaults { stuck: true, ..system::no_engine_faults() };
    system.engines[0].set_faults(&stuck);
    let call = system::completion_call(&system.daemons[0].address, "stuck", 5)
        .header("request-deadline", &system::deadline_in(Duration::from_millis(1500)));
    let document: ProblemDocument = call.send().expect("a final response").json();
    assert_eq!(document.executed, RequestExecuted::Unknown);
    system.engines[0].set_faults(&system::no_engine_faults());
    process::wait_until("the engine has no request left", || {
        let load = system::engine_load(&system.engines[0]);
        load.running + load.queued == 0
    });
}
