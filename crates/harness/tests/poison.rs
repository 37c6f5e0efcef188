//! A poison request, which crashes each engine that runs it.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::Duration,
};

use async_std::task;
use gooseberry_edges::platform::PlatformApi;
use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestServer, TestSystem},
};
use gooseberry_standins::token;
use gooseberry_wire::{
    engine::CompletionResponse,
    problem::{ProblemDocument, RequestExecuted},
};
use tempfile::TempDir;

/// Text that crashes the engines of these tests.
const POISON: &str = "poison";
/// Most engines of a failure domain that one poison request may crash.
const MAX_CRASHES: u32 = 2;
/// Number of times that the poison request is sent to each daemon.
const ROUND_COUNT: usize = 3;
/// Other requests that run at the same time as the poison request.
const OTHER_REQUEST_COUNT: usize = 24;
/// Tokens of each other response.
const TOKENS: u32 = 300;
/// Interval at which the engine processes are polled.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn start() -> TestSystem {
    let engine_arguments = vec!["--crash-on".to_owned(), POISON.to_owned()];
    TestSystem::start(SystemOptions {
        daemons: 3,
        engines: 5,
        engine_arguments,
        ..SystemOptions::default()
    })
}

/// Restarts engines whose process has exited, and counts them, until `done`.
fn restart_crashed_engines(
    folder: &TempDir,
    engines: &mut [TestServer],
    done: &AtomicBool,
    crashes: &AtomicU32,
) {
    while !done.load(Ordering::SeqCst) {
        for engine in &mut *engines {
            if !engine.process.is_running() {
                crashes.fetch_add(1, Ordering::SeqCst);
                TestSystem::restart(folder, engine);
            }
        }
        thread::sleep(ENGINE_POLL_INTERVAL);
    }
}

/// Sends the poison request to each daemon in turn and returns the responses.
fn send_poison(daemons: &[TestServer]) -> Vec<(u16, ProblemDocument)> {
    let mut answers = Vec::new();
    for round in 0..ROUND_COUNT {
        for daemon in daemons {
            // The number of tokens isn't part of the request's fingerprint, so this
            // is the same poison request in each round.
            let tokens = 20 + round as u32;
            let call = system::completion_call(&daemon.address, POISON, tokens);
            let answer = call.send().expect("a final response");
            answers.push((answer.status, answer.json()));
        }
    }
    answers
}

fn assert_complete(call: &TestCall, prompt: &str) {
    let answer = call.send().expect("a response");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let answer: CompletionResponse = answer.json();
    assert_eq!(answer.choices[0].text, token::expected_text(prompt, TOKENS));
}

/// Guards against a poison request that crashes more than two engines because it is
/// retried, and against other requests that fail with the crashed engines.
#[test]
fn a_poison_request_crashes_two_engines_and_fails_no_other_request() {
    let mut system = start();
    let (done, crashes) = (AtomicBool::new(false), AtomicU32::new(0));
    let TestSystem { folder, engines, daemons, .. } = &mut system;
    let daemons = &*daemons;
    let (answers, failed_requests) = thread::scope(|scope| {
        scope.spawn(|| restart_crashed_engines(folder, engines, &done, &crashes));
        let others: Vec<_> = (0..OTHER_REQUEST_COUNT)
            .map(|index| {
                let prompt = format!("other {index}");
                let address = &daemons[index % daemons.len()].address;
                let call = system::completion_call(address, &prompt, TOKENS);
                scope.spawn(move || assert_complete(&call, &prompt))
            })
            .collect();
        let answers = send_poison(daemons);
        let results: Vec<_> = others.into_iter().map(|other| other.join()).collect();
        done.store(true, Ordering::SeqCst);
        let failed = results.iter().filter(|result| result.is_err()).count();
        (answers, failed)
    });
    let crashed_engines = crashes.load(Ordering::SeqCst);
    assert!(
        crashed_engines <= MAX_CRASHES && failed_requests == 0,
        "{crashed_engines} engines crashed and {failed_requests} other requests failed"
    );
    for (status, document) in answers {
        assert_eq!((status, document.executed), (422, RequestExecuted::Unknown));
        assert_eq!(document.type_, "urn:gooseberrykeel:convicted");
    }
}

/// Guards against a quarantine of the requests that run on an engine when it crashes
/// for another reason.
#[test]
fn an_ordinary_crash_quarantines_no_request() {
    let mut system = start();
    let (done, crashes) = (AtomicBool::new(false), AtomicU32::new(0));
    let TestSystem { folder, engines, daemons, .. } = &mut system;
    let address = daemons[0].address.clone();
    let log = || daemons[0].process.log();
    let before = log().matches("\"routed\"").count();
    thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|index| {
                let prompt = format!("bystander {index}");
                let call = system::completion_call(&address, &prompt, TOKENS);
                scope.spawn(move || assert_complete(&call, &prompt))
            })
            .collect();
        process::wait_until("the requests are running", || {
            log().matches("\"routed\"").count() >= before + 6
        });
        engines[0].process.kill();
        scope.spawn(|| restart_crashed_engines(folder, engines, &done, &crashes));
        let failed = calls.into_iter().map(|call| call.join()).filter(Result::is_err).count();
        done.store(true, Ordering::SeqCst);
        assert_eq!(failed, 0);
    });
    let call = system::completion_call(&address, "bystander 0", TOKENS);
    assert_complete(&call, "bystander 0");
}

/// Guards against a poison request that crashes further engines after all daemons
/// have restarted, because its quarantine was kept in memory only.
#[test]
fn a_quarantine_survives_a_restart_of_the_daemons() {
    let engine_arguments = vec!["--crash-on".to_owned(), POISON.to_owned()];
    let mut system = TestSystem::start(SystemOptions {
        engines: 3,
        engine_arguments,
        ..SystemOptions::default()
    });
    let address = system.daemons[0].address.clone();
    let call = system::completion_call(&address, POISON, 5);
    assert_eq!(call.send().expect("a final response").status, 422);
    let client = system.platform_client();
    process::wait_until("the quarantine is recorded", || {
        task::block_on(client.get("convictions")).is_ok_and(|record| record.is_some())
    });
    system.daemons[0].process.kill();
    TestSystem::restart(&system.folder, &mut system.daemons[0]);
    process::wait_until("the restarted daemon has read the record", || {
        system.daemons[0].process.log().contains("applied a recorded quarantine")
    });
    system.wait_until_ready();
    assert_eq!(call.send().expect("a final response").status, 422);
    let running = system.engines.iter_mut().filter_map(|it| it.process.is_running().then_some(()));
    assert_eq!(running.count(), 1, "one engine of three is running");
}
