//! Routing and admission: cached prefixes, stuck engines, deadlines, priorities and
//! spill to another region.

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

/// Link between the two regions of a test, with enough bandwidth for all requests.
const FAST_LINK: &str =
    "\nlinks:\n  - {from: region-0, to: region-1, latency_ms: 1, bytes_per_second: 10000000}\n";
/// Link with so little bandwidth that one prompt uses it up for a long time.
const SLOW_LINK: &str =
    "\nlinks:\n  - {from: region-0, to: region-1, latency_ms: 1, bytes_per_second: 100}\n";

/// Returns a prompt that shares no prefix with prompts of other names.
fn prompt(name: &str, words: usize) -> String {
    (0..words).map(|index| format!("{name}{index} ")).collect()
}

fn with_deadline(call: TestCall, timeout: Duration) -> TestCall {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    call.header("request-deadline", &(now + timeout).as_millis().to_string())
}

/// Returns the routing decisions in the log of the first daemon.
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
    call.send().expect("a response")
}

fn step_delay(delay_ms: u64) -> EngineFaults {
    EngineFaults { step_delay_ms: delay_ms, ..system::no_engine_faults() }
}

/// Guards against routing that ignores the prefix cache: a request with a known
/// prefix must go to the engine that has it.
#[test]
fn a_cached_prefix_is_logged_as_the_reason() {
    let system = TestSystem::start(SystemOptions { engines: 3, ..SystemOptions::default() });
    let shared = prompt("manual", 400);
    assert_eq!(complete(&system, &shared, 2).status, 200);
    assert_eq!(complete(&system, &format!("{shared} and a question"), 2).status, 200);
    let decisions = decisions(&system);
    let [.., first, second] = decisions.as_slice() else { panic!("two decisions") };
    assert_eq!(field(second, "reason"), "cached-prefix", "{second}");
    assert_eq!(field(first, "engine"), field(second, "engine"));
}

/// Guards against an engine that makes no steps, reports that it is idle, and so
/// attracts all new requests.
#[test]
fn a_stuck_engine_that_reports_idle_gets_no_new_requests() {
    let system = TestSystem::start(SystemOptions { engines: 2, ..SystemOptions::default() });
    let stuck = EngineFaults { stuck: true, lie_idle: true, ..system::no_engine_faults() };
    system.engines[0].set_faults(&stuck);
    let caught = system::completion_call(&system.daemons[0].address, "caught", 5);
    let caught = task::spawn(async move { caught.send_async().await });
    let daemon = &system.daemons[0].process;
    process::wait_until("the engine is detected as stuck", || {
        daemon.log().contains("engine is stuck")
    });
    let before = decisions(&system).len();
    // The other engine is busy, so the reported load of the stuck one is lower.
    let address = system.daemons[0].address.clone();
    let busy: Vec<_> = (0..8)
        .map(|index| {
            let call = system::completion_call(&address, &format!("busy {index}"), 300);
            task::spawn(async move { call.send_async().await })
        })
        .collect();
    for index in 0..10 {
        assert_eq!(complete(&system, &format!("other {index}"), 5).status, 200);
    }
    for answer in busy {
        assert_eq!(task::block_on(answer).expect("a response").status, 200);
    }
    let decisions = decisions(&system);
    let after = &decisions[before..];
    let sent: Vec<_> = after.iter().filter(|it| field(it, "engine") == "engine-0-0").collect();
    assert!(sent.is_empty(), "requests sent to the stuck engine: {sent:?}");
    drop(caught);
}

/// Guards against engine time spent on a request that can't meet its deadline.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_before_it_is_sent() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    system.engines[0].set_faults(&step_delay(100));
    for index in 0..4 {
        assert_eq!(complete(&system, &prompt(&format!("learn{index}x"), 200), 5).status, 200);
    }
    let before = decisions(&system).len();
    let call = system::completion_call(&system.daemons[0].address, "long", 10_000);
    let answer = with_deadline(call, Duration::from_secs(60)).send().expect("a response");
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::No));
    assert_eq!(document.type_, "urn:gooseberrykeel:deadline-unmeetable");
    assert!(answer.retry_after.is_some());
    assert_eq!(decisions(&system).len(), before + 1, "one decision and no attempt");
}

/// Guards against a response "not executed" for a request that an unresponsive
/// engine has received and may execute after the deadline.
#[test]
fn a_deadline_that_passes_at_an_unresponsive_engine_is_not_reported_as_not_executed() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..SystemOptions::default() });
    system.engines[0].process.pause();
    let call = system::completion_call(&system.daemons[0].address, "silent", 5);
    let answer = with_deadline(call, Duration::from_millis(700)).send().expect("a response");
    system.engines[0].process.resume();
    let document: ProblemDocument = answer.json();
    // The request is in the receive buffer of the paused engine, which executes it
    // later.
    let passed = document.type_ == "urn:gooseberrykeel:deadline-unmeetable";
    assert!(!passed || document.executed == RequestExecuted::Unknown, "{document:?}");
}

/// Guards against batch requests that take engine time while requests of normal
/// priority are queued.
#[test]
fn a_batch_request_is_refused_while_other_requests_are_queued() {
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
        call.header("authorization", "Bearer batch-key").send().expect("a response")
    };
    assert_eq!(batch(&system).status, 200);
    // Steps of two seconds keep the prompts queued while the test sends a batch
    // request.
    system.engines[0].set_faults(&step_delay(2000));
    let before = decisions(&system).len();
    let queued: Vec<_> = (0..8)
        .map(|index| {
            let prompt = prompt(&format!("person{index}x"), 2000);
            let call = system::completion_call(&system.daemons[0].address, &prompt, 5);
            task::spawn(async move { call.send_async().await })
        })
        .collect();
    process::wait_until("requests are queued", || {
        decisions(&system).len() >= before + queued.len()
    });
    let answer = batch(&system);
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::No));
    assert_eq!(document.type_, "urn:gooseberrykeel:overloaded");
    assert!(answer.retry_after.is_some());
    system.engines[0].set_faults(&system::no_engine_faults());
    for call in queued {
        let answer = task::block_on(call).expect("a response");
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    }
}

fn start_two_regions(link: &str) -> TestSystem {
    let size = SystemOptions { engines: 1, domains: 2, ..SystemOptions::default() };
    let mut system = TestSystem::start_without_configuration(size);
    let text = system.configuration_text(link);
    system.put_configuration(0, &text);
    system.wait_until_ready();
    system.engines[0].set_faults(&step_delay(100));
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

/// Guards against a refusal of a request that an engine of another region can finish
/// before its deadline.
#[test]
fn a_request_that_the_home_domain_cannot_finish_in_time_is_spilled() {
    let system = start_two_regions(FAST_LINK);
    let answer = long_call(&system, "spilled").send().expect("a response");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let answer: CompletionResponse = answer.json();
    assert_eq!(answer.usage.completion_tokens, 1000);
    let decisions = decisions(&system);
    let last = decisions.last().expect("a decision");
    assert_eq!((field(last, "engine"), field(last, "reason")), ("engine-1-0", "spill"));
    assert!(system.daemons[0].process.log().contains("request spilled"));
}

/// Guards against requests that are spilled over a link whose bandwidth is used up.
#[test]
fn a_link_without_bandwidth_left_carries_no_further_requests() {
    let system = start_two_regions(SLOW_LINK);
    assert_eq!(long_call(&system, "first").send().expect("a response").status, 200);
    let answer = long_call(&system, "second").send().expect("a response");
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (503, RequestExecuted::No));
    assert!(answer.retry_after.is_some());
}

#[test]
fn no_request_is_spilled_without_a_link() {
    let system = start_two_regions("");
    let answer = long_call(&system, "kept").send().expect("a response");
    assert_eq!(answer.status, 503);
    assert!(!system.daemons[0].process.log().contains("request spilled"));
}
