//! Requests whose prefill and decode run on different engines, and failures between
//! the two phases.

use async_std::task;
use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestServer, TestSystem},
};
use gooseberry_standins::{engine::orders::OrderCounts, token};
use gooseberry_wire::engine::{CompletionResponse, EngineFaults};
use http_types::Method;

/// Output tokens of each request.
const TOKENS: u32 = 40;

/// Starts a system whose engines have the given roles, and waits until the daemon
/// splits requests.
fn start(roles: &[&str]) -> TestSystem {
    let system = TestSystem::start(SystemOptions {
        engines: roles.len(),
        engine_arguments: vec!["--change-ms".to_owned(), "10".to_owned()],
        ..SystemOptions::default()
    });
    for (engine, role) in system.engines.iter().zip(roles) {
        let order = serde_json::json!({"order_id": "first", "fencing": 1, "role": role});
        let call = TestCall::new(Method::Post, &engine.address, "/orders").json(&order);
        assert_eq!(call.send().expect("a response of the engine").status, 200);
    }
    let mut warm_up_count = 0;
    process::wait_until("the daemon splits requests", || {
        // Engines refuse requests while they change their roles.
        warm_up_count += 1;
        let prompt = prompt(&format!("warm{warm_up_count}x"));
        let call = system::completion_call(&system.daemons[0].address, &prompt, TOKENS);
        let _ = call.send().expect("a response");
        system.daemons[0].process.log().contains("prefill and decode split")
    });
    system
}

fn prompt(name: &str) -> String {
    (0..2000).map(|index| format!("{name}{index} ")).collect()
}

fn complete(system: &TestSystem, prompt: &str) -> CompletionResponse {
    let call = system::completion_call(&system.daemons[0].address, prompt, TOKENS);
    let answer = call.send().expect("a response");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    answer.json()
}

fn assert_complete(answer: &CompletionResponse, prompt: &str) {
    assert_eq!(answer.choices[0].text, token::expected_text(prompt, TOKENS));
}

fn import_count(engine: &TestServer) -> u32 {
    engine.counts::<OrderCounts>().imported
}

fn split_count(system: &TestSystem) -> usize {
    system.daemons[0].process.log().matches("prefill and decode split").count()
}

#[test]
fn a_long_prompt_is_prefilled_by_one_engine_and_decoded_by_another() {
    let system = start(&["prefill", "decode"]);
    let before = import_count(&system.engines[1]);
    for index in 0..5 {
        let prompt = prompt(&format!("split{index}x"));
        assert_complete(&complete(&system, &prompt), &prompt);
    }
    assert_eq!(import_count(&system.engines[1]), before + 5);
    assert_eq!(import_count(&system.engines[0]), 0);
}

/// Guards against a failed request when the prefill engine refuses to export its KV
/// cache.
#[test]
fn a_refused_export_falls_back_to_one_engine() {
    let system = start(&["prefill", "decode"]);
    let before = import_count(&system.engines[1]);
    let faults = EngineFaults { refuse_export: true, ..system::no_engine_faults() };
    system.engines[0].set_faults(&faults);
    let prompt = prompt("refused");
    assert_complete(&complete(&system, &prompt), &prompt);
    assert_eq!(import_count(&system.engines[1]), before);
    assert!(system.daemons[0].process.log().contains("runs without a split"));
}

/// Sends a request with a slow prefill, and waits until the daemon has split it.
fn start_slow_split(
    system: &TestSystem,
    prompt: &str,
) -> task::JoinHandle<anyhow::Result<gooseberry_harness::calls::TestResponse>> {
    for engine in &system.engines[..2] {
        let faults = EngineFaults { step_delay_ms: 100, ..system::no_engine_faults() };
        engine.set_faults(&faults);
    }
    let before = split_count(system);
    let call = system::completion_call(&system.daemons[0].address, prompt, TOKENS);
    let running = task::spawn(async move { call.send_async().await });
    process::wait_until("the request is split", || split_count(system) > before);
    running
}

/// Returns the index of the prefill engine of the latest split.
fn prefill_engine(system: &TestSystem) -> usize {
    let log = system.daemons[0].process.log();
    let line =
        log.lines().rfind(|line| line.contains("prefill and decode split")).expect("a split");
    let names = system.engines.iter().map(|engine| format!("\"prefill\":\"{}\"", engine.name));
    names.into_iter().position(|name| line.contains(&name)).expect("a prefill engine")
}

/// Guards against a failed request when the prefill engine crashes during prefill.
#[test]
fn a_prefill_engine_crash_before_the_export_fails_no_request() {
    let mut system = start(&["prefill", "prefill", "decode"]);
    let prompt = prompt("killed");
    let running = start_slow_split(&system, &prompt);
    let engine = prefill_engine(&system);
    system.engines[engine].process.kill();
    let answer = task::block_on(running).expect("a response");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    assert_complete(&answer.json(), &prompt);
    assert!(system.daemons[0].process.log().contains("runs without a split"));
}

/// Guards against a failed request when the prefill engine crashes after the export,
/// before the decode engine has fetched the KV cache.
#[test]
fn a_prefill_engine_crash_before_the_import_fails_no_request() {
    let mut system = start(&["prefill", "prefill", "decode"]);
    let before = import_count(&system.engines[2]);
    let prompt = prompt("between");
    let running = start_slow_split(&system, &prompt);
    // The decode engine is paused until the exporter has been killed, so it receives
    // the request only afterwards.
    system.engines[2].process.pause();
    let engine = prefill_engine(&system);
    let faults = EngineFaults { step_delay_ms: 0, ..system::no_engine_faults() };
    system.engines[engine].set_faults(&faults);
    let exporter = system.engines[engine].control_address.clone();
    process::wait_until("the prompt is exported", || {
        let call = TestCall::new(Method::Get, &exporter, "/counts");
        let counts: OrderCounts = call.send().expect("counts").json();
        counts.exported > 0
            && counts.exported >= split_count(&system) as u32 - other_exports(&system, engine)
    });
    system.engines[engine].process.kill();
    system.engines[2].process.resume();
    let answer = task::block_on(running).expect("a response");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    assert_complete(&answer.json(), &prompt);
    assert_eq!(import_count(&system.engines[2]), before);
}

/// Returns the number of exports of the other prefill engine.
fn other_exports(system: &TestSystem, engine: usize) -> u32 {
    system.engines[1 - engine].counts::<OrderCounts>().exported
}

/// Guards against a poison prompt that crashes more than two engines because its
/// prefill and its decode run on different engines.
#[test]
fn a_split_poison_prompt_crashes_at_most_two_engines() {
    let mut system = start(&["prefill", "prefill", "prefill", "prefill", "decode"]);
    let faults = EngineFaults { crash_on: Some("poison".to_owned()), ..system::no_engine_faults() };
    for engine in &system.engines {
        engine.set_faults(&faults);
    }
    let poison = prompt("poison");
    for _ in 0..3 {
        let call = system::completion_call(&system.daemons[0].address, &poison, TOKENS);
        assert_eq!(call.send().expect("a final response").status, 422);
    }
    let running = system.engines.iter_mut().filter_map(|it| it.process.is_running().then_some(()));
    assert!(running.count() >= 3, "more than two of five engines crashed");
}
