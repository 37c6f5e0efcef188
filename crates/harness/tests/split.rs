//! Prefill and decode on different engines, and what fails in between.

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

/// Starts a system whose engines have the given roles.
fn start(roles: &[&str]) -> TestSystem {
    let system = TestSystem::start(SystemOptions {
        engines: roles.len(),
        engine_arguments: vec!["--change-ms".to_owned(), "10".to_owned()],
        ..SystemOptions::default()
    });
    for (engine, role) in system.engines.iter().zip(roles) {
        let order = serde_json::json!({"order_id": "first", "fencing": 1, "role": role});
        let call = TestCall::new(Method::Post, &engine.address, "/orders").json(&order);
        assert_eq!(call.send().expect("an answer of the engine").status, 200);
    }
    let mut warm = 0;
    process::wait_until("the daemon splits requests", || {
        // Engines refuse requests while they change their roles.
        warm += 1;
        let warm = prompt(&format!("warm{warm}x"));
        let call = system::completion_call(&system.daemons[0].address, &warm, TOKENS);
        let _ = call.send().expect("an answer");
        system.daemons[0].process.log().contains("prefill and decode split")
    });
    system
}

fn prompt(name: &str) -> String {
    (0..2000).map(|index| format!("{name}{index} ")).collect()
}

fn complete(system: &TestSystem, prompt: &str) -> CompletionResponse {
    let call = system::completion_call(&system.daemons[0].address, prompt, TOKENS);
    let answer = call.send().expect("an answer");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    answer.json()
}

fn check(answer: &CompletionResponse, prompt: &str) {
    assert_eq!(answer.choices[0].text, token::expected_text(prompt, TOKENS));
}

fn imported(engine: &TestServer) -> u32 {
    engine.counts::<OrderCounts>().imported
}

fn splits(system: &TestSystem) -> usize {
    system.daemons[0].process.log().matches("prefill and decode split").count()
}

#[test]
fn a_long_prompt_is_computed_by_one_engine_and_answered_by_another() {
    let system = start(&["prefill", "decode"]);
    let before = imported(&system.engines[1]);
    for index in 0..5 {
        let prompt = prompt(&format!("split{index}x"));
        check(&complete(&system, &prompt), &prompt);
    }
    assert_eq!(imported(&system.engines[1]), before + 5);
    assert_eq!(imported(&system.engines[0]), 0);
}

#[test]
fn a_refused_export_falls_back_to_one_engine() {
    let system = start(&["prefill", "decode"]);
    let before = imported(&system.engines[1]);
    let refusing = EngineFaults { refuse_export: true, ..system::no_engine_faults() };
    system.engines[0].set_faults(&refusing);
    let prompt = prompt("refused");
    check(&complete(&system, &prompt), &prompt);
    assert_eq!(imported(&system.engines[1]), before);
    assert!(system.daemons[0].process.log().contains("runs without a split"));
}

/// Starts a long request whose export takes a while, and waits for its split.
fn start_slow_split(
    system: &TestSystem,
    prompt: &str,
) -> task::JoinHandle<anyhow::Result<gooseberry_harness::calls::TestResponse>> {
    for engine in &system.engines[..2] {
        let slow = EngineFaults { step_delay_ms: 100, ..system::no_engine_faults() };
        engine.set_faults(&slow);
    }
    let before = splits(system);
    let call = system::completion_call(&system.daemons[0].address, prompt, TOKENS);
    let running = task::spawn(async move { call.send_async().await });
    process::wait_until("the request is split", || splits(system) > before);
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

#[test]
fn a_prefill_engine_that_dies_before_the_export_costs_no_answer() {
    let mut system = start(&["prefill", "prefill", "decode"]);
    let prompt = prompt("killed");
    let running = start_slow_split(&system, &prompt);
    let engine = prefill_engine(&system);
    system.engines[engine].process.kill();
    let answer = task::block_on(running).expect("an answer");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    check(&answer.json(), &prompt);
    assert!(system.daemons[0].process.log().contains("runs without a split"));
}

#[test]
fn a_prefill_engine_that_dies_before_the_import_costs_no_answer() {
    let mut system = start(&["prefill", "prefill", "decode"]);
    let before = imported(&system.engines[2]);
    let prompt = prompt("between");
    let running = start_slow_split(&system, &prompt);
    // The decode engine hears of the import only once the exporter is gone.
    system.engines[2].process.pause();
    let engine = prefill_engine(&system);
    let faults = EngineFaults { step_delay_ms: 0, ..system::no_engine_faults() };
    system.engines[engine].set_faults(&faults);
    let exporter = system.engines[engine].control_address.clone();
    process::wait_until("the prompt is exported", || {
        let call = TestCall::new(Method::Get, &exporter, "/counts");
        let counts: OrderCounts = call.send().expect("counts").json();
        counts.exported > 0 && counts.exported >= splits(&system) as u32 - other(&system, engine)
    });
    system.engines[engine].process.kill();
    system.engines[2].process.resume();
    let answer = task::block_on(running).expect("an answer");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    check(&answer.json(), &prompt);
    assert_eq!(imported(&system.engines[2]), before);
}

/// Returns the exports of the other prefill engine.
fn other(system: &TestSystem, engine: usize) -> u32 {
    system.engines[1 - engine].counts::<OrderCounts>().exported
}

#[test]
fn a_poison_prompt_costs_two_engines_although_it_is_split() {
    let mut system = start(&["prefill", "prefill", "prefill", "prefill", "decode"]);
    let faults = EngineFaults { crash_on: Some("poison".to_owned()), ..system::no_engine_faults() };
    for engine in &system.engines {
        engine.set_faults(&faults);
    }
    let poison = prompt("poison");
    for _ in 0..3 {
        let call = system::completion_call(&system.daemons[0].address, &poison, TOKENS);
        assert_eq!(call.send().expect("a final answer").status, 422);
    }
    let running = system.engines.iter_mut().filter_map(|it| it.process.is_running().then_some(()));
    assert!(running.count() >= 3, "more than two of five engines are lost");
}
