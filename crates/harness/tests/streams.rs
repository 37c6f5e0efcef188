//! Whole answers: engines that die or fall silent, callers that leave.

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

/// Tokens of an answer that is interrupted in the middle.
const TOKENS: u32 = 600;
/// Tokens of an answer that doesn't end while a test runs.
const ENDLESS: u32 = 100_000;

/// Returns the engine that the last request of a daemon was routed to.
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

#[test]
fn an_engine_killed_in_the_middle_is_replaced() {
    let mut system = TestSystem::start(SystemOptions::default());
    let mut stream =
        system::stream_call(&system.daemons[0].address, "killed", TOKENS).open_stream();
    let first = stream.next_token().expect("a first token").choices[0].text.clone();
    let engine = routed_engine(&system);
    system.engines[engine].process.kill();
    assert_eq!(first + &stream.read_to_end(), token::expected_text("killed", TOKENS));
}

#[test]
fn a_connection_that_goes_silent_is_replaced_at_the_same_engine() {
    let system = TestSystem::start(SystemOptions::default());
    let mut stream =
        system::stream_call(&system.daemons[0].address, "silent", TOKENS).open_stream();
    let first = stream.next_token().expect("a first token").choices[0].text.clone();
    let routed = log_count(&system, "\"routed\"");
    let silent = EngineFaults { silent_streams: true, ..system::no_engine_faults() };
    system.engines[routed_engine(&system)].set_faults(&silent);
    assert_eq!(first + &stream.read_to_end(), token::expected_text("silent", TOKENS));
    assert_eq!(log_count(&system, "\"routed\""), routed, "the engine was given up");
    assert_eq!(log_count(&system, "resuming stream at the same engine"), 1);
}

#[test]
fn a_paused_engine_is_replaced_and_its_stream_cancelled() {
    let system = TestSystem::start(SystemOptions::default());
    let mut stream =
        system::stream_call(&system.daemons[0].address, "paused", TOKENS).open_stream();
    let first = stream.next_token().expect("a first token").choices[0].text.clone();
    let engine = &system.engines[routed_engine(&system)];
    engine.process.pause();
    assert_eq!(first + &stream.read_to_end(), token::expected_text("paused", TOKENS));
    engine.process.resume();
    process::wait_until("the stream left behind has ended", || {
        system::engine_load(engine).running == 0
    });
}

/// Makes a call that admission takes, since its deadline is far away.
fn endless_call(system: &TestSystem, prompt: &str) -> TestCall {
    system::stream_call(&system.daemons[0].address, prompt, ENDLESS)
        .header("request-deadline", &system::deadline_in(Duration::from_secs(3600)))
}

#[test]
fn a_caller_that_leaves_has_its_stream_cancelled() {
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

#[test]
fn a_caller_that_leaves_is_noticed_while_no_token_comes() {
    let system = TestSystem::start(SystemOptions::default());
    let mut stream = endless_call(&system, "left").open_stream();
    stream.next_token().expect("a first token");
    let stuck = EngineFaults { stuck: true, ..system::no_engine_faults() };
    system.engines[routed_engine(&system)].set_faults(&stuck);
    drop(stream);
    process::wait_until("the daemon notices", || log_count(&system, "caller disconnected") == 1);
}

#[test]
fn a_request_that_may_have_run_is_not_called_not_executed() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    system.engines[0].process.pause();
    let call = system::completion_call(&system.daemons[0].address, "late", 5)
        .header("request-deadline", &system::deadline_in(Duration::from_millis(1200)));
    let answer = call.send().expect("a final answer");
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::Unknown));
    assert!(answer.retry_after.is_some());
}

#[test]
fn a_stuck_engine_costs_no_more_than_the_deadline() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    let stuck = EngineFaults { stuck: true, ..system::no_engine_faults() };
    system.engines[0].set_faults(&stuck);
    let call = system::completion_call(&system.daemons[0].address, "stuck", 5)
        .header("request-deadline", &system::deadline_in(Duration::from_millis(1500)));
    let document: ProblemDocument = call.send().expect("a final answer").json();
    assert_eq!(document.executed, RequestExecuted::Unknown);
    system.engines[0].set_faults(&system::no_engine_faults());
    process::wait_until("the engine has dropped the request", || {
        let load = system::engine_load(&system.engines[0]);
        load.running + load.queued == 0
    });
}
