//! Routing and admission with real processes: cached prefixes, stuck engines,
//! deadlines, spill to another region.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::task;
use gooseberry_harness::{
    calls::{TestCall, TestResponse},
    process,
    system::{self, SystemOptions, TestSystem},
};
use gooseberry_wire::{
    engine::{CompletionResponse, EngineFaults},
    problem::{ProblemDocument, RequestExecuted},
};
use sha2::{Digest, Sha256};

/// Link between the two regions of a test, with a generous rate.
const WIDE_LINK: &str =
    "\nlinks:\n  - {from: region-0, to: region-1, latency_ms: 1, bytes_per_second: 10000000}\n";
/// Link whose rate one prompt uses up for long.
const NARROW_LINK: &str =
    "\nlinks:\n  - {from: region-0, to: region-1, latency_ms: 1, bytes_per_second: 100}\n";

/// Returns a prompt that shares no prefix with one of another name.
fn prompt(name: &str, words: usize) -> String {
    (0..words).map(|index| format!("{name}{index} ")).collect()
}

fn with_deadline(call: TestCall, span: Duration) -> TestCall {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    call.header("request-deadline", &(now + span).as_millis().to_string())
}

/// Returns the decisions that a daemon has logged, as JSON.
fn decisions(system: &TestSystem) -> Vec<serde_json::Value> {
    let log = system.daemons[0].process.log();
    let lines = log.lines().filter(|line| line.contains("\"routed\""));
    lines.map(|line| serde_json::from_str(line).expect("a log line in JSON")).collect()
}

fn field<'a>(decision: &'a serde_json::Value, name: &str) -> &'a str {
    let value = &decision["fields"][name];
    value.as_str().or_else(|| decision[name].as_str()).unwrap_or_default()
}

fn complete(system: &TestSystem, prompt: &str, tokens: u32) -> TestResponse {
    let call = system::completion_call(&system.daemons[0].address, prompt, tokens);
    call.send().expect("an answer")
}

fn slow_steps(delay_ms: u64) -> EngineFaults {
    EngineFaults { step_delay_ms: delay_ms, ..system::no_engine_faults() }
}

#[test]
fn a_known_prefix_is_named_as_the_reason() {
    let system = TestSystem::start(SystemOptions { engines: 3, ..SystemOptions::default() });
    let shared = prompt("manual", 400);
    assert_eq!(complete(&system, &shared, 2).status, 200);
    assert_eq!(complete(&system, &format!("{shared} and a question"), 2).status, 200);
    let decisions = decisions(&system);
    let [.., first, second] = decisions.as_slice() else { panic!("two decisions") };
    assert_eq!(field(second, "reason"), "cached-prefix", "{second}");
    assert_eq!(field(first, "engine"), field(second, "engine"));
}

#[test]
fn a_stuck_engine_that_reports_idle_gets_no_new_work() {
    let system = TestSystem::start(SystemOptions { engines: 2, ..SystemOptions::default() });
    let stuck = EngineFaults { stuck: true, lie_idle: true, ..system::no_engine_faults() };
    system.engines[0].set_faults(&stuck);
    let caught = system::completion_call(&system.daemons[0].address, "caught", 5);
    let caught = task::spawn(async move { caught.send_async().await });
    let daemon = &system.daemons[0].process;
    process::wait_until("the engine is found out", || daemon.log().contains("engine is stuck"));
    let before = decisions(&system).len();
    // The other engine is busy meanwhile, so that an idle report would attract.
    let address = system.daemons[0].address.clone();
    let busy: Vec<_> = (0..8)
        .map(|index| {
            let call = system::completion_call(&address, &format!("busy {index}"), 300);
            task::spawn(async move { call.send_async().await })
        })
        .collect();
    for index in 0..10 {
        assert_eq!(complete(&system, &format!("innocent {index}"), 5).status, 200);
    }
    for answer in busy {
        assert_eq!(task::block_on(answer).expect("an answer").status, 200);
    }
    let decisions = decisions(&system);
    let after = &decisions[before..];
    let sent: Vec<_> = after.iter().filter(|it| field(it, "engine") == "engine-0-0").collect();
    assert!(sent.is_empty(), "sent to the stuck engine: {sent:?}");
    drop(caught);
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_before_it_is_sent() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    system.engines[0].set_faults(&slow_steps(100));
    for index in 0..4 {
        assert_eq!(complete(&system, &prompt(&format!("learn{index}x"), 200), 5).status, 200);
    }
    let before = decisions(&system).len();
    let call = system::completion_call(&system.daemons[0].address, "long", 10_000);
    let answer = with_deadline(call, Duration::from_secs(60)).send().expect("an answer");
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::No));
    assert_eq!(document.type_, "urn:gooseberrykeel:deadline-unmeetable");
    assert!(answer.retry_after.is_some());
    assert_eq!(decisions(&system).len(), before + 1, "one decision and no attempt");
}

#[test]
fn a_deadline_that_passes_while_an_engine_is_silent_is_not_called_not_executed() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    system.engines[0].process.pause();
    let call = system::completion_call(&system.daemons[0].address, "silent", 5);
    let answer = with_deadline(call, Duration::from_millis(700)).send().expect("an answer");
    system.engines[0].process.resume();
    let document: ProblemDocument = answer.json();
    // The paused engine has the request in its buffer and runs it later.
    let passed = document.type_ == "urn:gooseberrykeel:deadline-unmeetable";
    assert!(!passed || document.executed == RequestExecuted::Unknown, "{document:?}");
}

#[test]
fn a_batch_account_yields_while_people_wait() {
    let size = SystemOptions { engines: 1, ..SystemOptions::default() };
    let mut system = TestSystem::start_without_configuration(size);
    let digest: String =
        Sha256::digest(b"batch-key").iter().map(|byte| format!("{byte:02x}")).collect();
    let account = format!("\n  - {{name: summaries, key_sha256: [{digest}], priority: batch}}\n");
    let text = system.configuration_text(&account);
    system.put_configuration(0, &text);
    system.wait_until_ready();
    let batch = |system: &TestSystem| {
        let call = system::completion_call(&system.daemons[0].address, "summary", 5);
        call.header("authorization", "Bearer batch-key").send().expect("an answer")
    };
    assert_eq!(batch(&system).status, 200);
    // Steps of two seconds keep the prompts in the queue while the test looks.
    system.engines[0].set_faults(&slow_steps(2000));
    let before = decisions(&system).len();
    let people: Vec<_> = (0..8)
        .map(|index| {
            let prompt = prompt(&format!("person{index}x"), 2000);
            let call = system::completion_call(&system.daemons[0].address, &prompt, 5);
            task::spawn(async move { call.send_async().await })
        })
        .collect();
    process::wait_until("people wait", || decisions(&system).len() >= before + people.len());
    let answer = batch(&system);
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::No));
    assert_eq!(document.type_, "urn:gooseberrykeel:overloaded");
    assert!(answer.retry_after.is_some());
    system.engines[0].set_faults(&system::no_engine_faults());
    for person in people {
        let answer = task::block_on(person).expect("an answer");
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    }
}

fn two_regions(link: &str) -> TestSystem {
    let size = SystemOptions { engines: 1, domains: 2, ..SystemOptions::default() };
    let mut system = TestSystem::start_without_configuration(size);
    let text = system.configuration_text(link);
    system.put_configuration(0, &text);
    system.wait_until_ready();
    system.engines[0].set_faults(&slow_steps(100));
    for index in 0..4 {
        assert_eq!(complete(&system, &prompt(&format!("learn{index}x"), 200), 5).status, 200);
    }
    system
}

fn long_call(system: &TestSystem, name: &str) -> TestCall {
    let prompt = prompt(name, 200);
    let call = system::completion_call(&system.daemons[0].address, &prompt, 1000);
    with_deadline(call, Duration::from_secs(25))
}

#[test]
fn a_request_that_home_cannot_finish_in_time_is_spilled() {
    let system = two_regions(WIDE_LINK);
    let answer = long_call(&system, "spilled").send().expect("an answer");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let answer: CompletionResponse = answer.json();
    assert_eq!(answer.usage.completion_tokens, 1000);
    let decisions = decisions(&system);
    let last = decisions.last().expect("a decision");
    assert_eq!((field(last, "engine"), field(last, "reason")), ("engine-1-0", "spill"));
    assert!(system.daemons[0].process.log().contains("request spilled"));
}

#[test]
fn a_link_in_debt_carries_no_further_requests() {
    let system = two_regions(NARROW_LINK);
    assert_eq!(long_call(&system, "first").send().expect("an answer").status, 200);
    let answer = long_call(&system, "second").send().expect("an answer");
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::No));
    assert!(answer.retry_after.is_some());
}

#[test]
fn nothing_is_spilled_without_a_link() {
    let system = two_regions("");
    let answer = long_call(&system, "kept").send().expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(!system.daemons[0].process.log().contains("request spilled"));
}
