//! A request that crashes each engine that runs it.

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
/// Most engines that one poison request may cost a failure domain.
const LOSS_LIMIT: u32 = 2;
/// Rounds in which the caller asks each daemon again.
const ROUNDS: usize = 3;
/// Innocent requests that run beside the poison.
const INNOCENTS: usize = 24;
/// Tokens of an innocent answer.
const TOKENS: u32 = 300;
/// Interval at which ended engines are looked for.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

fn start() -> TestSystem {
    let engine_arguments = vec!["--crash-on".to_owned(), POISON.to_owned()];
    TestSystem::start(SystemOptions {
        daemons: 3,
        engines: 5,
        engine_arguments,
        ..SystemOptions::default()
    })
}

/// Starts engines again that have ended, and counts them.
fn restart_ended(
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
        thread::sleep(WATCH_INTERVAL);
    }
}

/// Sends the poison to each daemon in turn and returns the final answers.
fn send_poison(daemons: &[TestServer]) -> Vec<(u16, ProblemDocument)> {
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        for daemon in daemons {
            // What a caller can vary without changing the work of an engine
            // doesn't make another request of it.
            let tokens = 20 + round as u32;
            let call = system::completion_call(&daemon.address, POISON, tokens);
            let answer = call.send().expect("a final answer");
            answers.push((answer.status, answer.json()));
        }
    }
    answers
}

fn assert_whole(call: &TestCall, prompt: &str) {
    let answer = call.send().expect("an answer");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let answer: CompletionResponse = answer.json();
    assert_eq!(answer.choices[0].text, token::expected_text(prompt, TOKENS));
}

#[test]
fn poison_costs_two_engines_and_no_innocent_request() {
    let mut system = start();
    let (done, crashes) = (AtomicBool::new(false), AtomicU32::new(0));
    let TestSystem { folder, engines, daemons, .. } = &mut system;
    let daemons = &*daemons;
    let (answers, innocents_lost) = thread::scope(|scope| {
        scope.spawn(|| restart_ended(folder, engines, &done, &crashes));
        let innocents: Vec<_> = (0..INNOCENTS)
            .map(|index| {
                let prompt = format!("innocent {index}");
                let address = &daemons[index % daemons.len()].address;
                let call = system::completion_call(address, &prompt, TOKENS);
                scope.spawn(move || assert_whole(&call, &prompt))
            })
            .collect();
        let answers = send_poison(daemons);
        let results: Vec<_> = innocents.into_iter().map(|innocent| innocent.join()).collect();
        done.store(true, Ordering::SeqCst);
        let lost = results.iter().filter(|result| result.is_err()).count();
        (answers, lost)
    });
    let lost = crashes.load(Ordering::SeqCst);
    assert!(
        lost <= LOSS_LIMIT && innocents_lost == 0,
        "{lost} engines and {innocents_lost} innocent requests were lost"
    );
    for (status, document) in answers {
        assert_eq!((status, document.executed), (422, RequestExecuted::Unknown));
        assert_eq!(document.type_, "urn:gooseberrykeel:convicted");
    }
}

#[test]
fn an_ordinary_crash_convicts_nobody() {
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
                scope.spawn(move || assert_whole(&call, &prompt))
            })
            .collect();
        process::wait_until("the requests run", || {
            log().matches("\"routed\"").count() >= before + 6
        });
        engines[0].process.kill();
        scope.spawn(|| restart_ended(folder, engines, &done, &crashes));
        let lost = calls.into_iter().map(|call| call.join()).filter(Result::is_err).count();
        done.store(true, Ordering::SeqCst);
        assert_eq!(lost, 0);
    });
    let call = system::completion_call(&address, "bystander 0", TOKENS);
    assert_whole(&call, "bystander 0");
}

#[test]
fn a_conviction_outlives_the_daemons() {
    let engine_arguments = vec!["--crash-on".to_owned(), POISON.to_owned()];
    let mut system = TestSystem::start(SystemOptions {
        engines: 3,
        engine_arguments,
        ..SystemOptions::default()
    });
    let address = system.daemons[0].address.clone();
    let call = system::completion_call(&address, POISON, 5);
    assert_eq!(call.send().expect("a final answer").status, 422);
    let client = system.platform_client();
    process::wait_until("the conviction is recorded", || {
        task::block_on(client.get("convictions")).is_ok_and(|record| record.is_some())
    });
    system.daemons[0].process.kill();
    TestSystem::restart(&system.folder, &mut system.daemons[0]);
    process::wait_until("the new process has read it", || {
        system.daemons[0].process.log().contains("applied a recorded quarantine")
    });
    system.wait_until_ready();
    assert_eq!(call.send().expect("a final answer").status, 422);
    let running = system.engines.iter_mut().filter_map(|it| it.process.is_running().then_some(()));
    assert_eq!(running.count(), 1, "one engine of three is left");
}
