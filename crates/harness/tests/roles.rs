//! A role change by demand while requests are running.

use std::time::Duration;

use async_std::task::{self, JoinHandle};
use gooseberry_harness::{
    process,
    system::{self, SystemOptions, TestSystem},
};
use gooseberry_standins::{engine::orders::OrderCounts, token};
use gooseberry_wire::engine::CompletionResponse;

/// Time between requests of each traffic mix.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(40);

/// Requests of the output-heavy mix that are sent after the prompt-heavy mix has
/// ended.
const OUTPUT_REQUEST_COUNT: usize = 200;

/// Prompt and output lengths of a traffic mix, in tokens.
#[derive(Clone, Copy, Debug)]
struct TrafficMix {
    name: &'static str,
    prompt_tokens: usize,
    output_tokens: u32,
}

/// More prompt tokens than three mixed engines can prefill while they decode.
const PROMPT_HEAVY: TrafficMix =
    TrafficMix { name: "prompts", prompt_tokens: 2_500, output_tokens: 20 };
const OUTPUT_HEAVY: TrafficMix =
    TrafficMix { name: "output", prompt_tokens: 10, output_tokens: 150 };

/// Sends requests at even intervals until it is finished, whether or not the
/// earlier ones have ended.
struct OpenTraffic {
    stop: async_std::channel::Sender<()>,
    sending: JoinHandle<Vec<JoinHandle<()>>>,
}

impl OpenTraffic {
    fn start(address: &str, mix: TrafficMix) -> Self {
        let address = address.to_owned();
        let (stop, stopped) = async_std::channel::bounded::<()>(1);
        let sending = task::spawn(async move {
            let mut answers = Vec::new();
            while !stopped.is_closed() {
                let number = answers.len();
                answers.push(task::spawn(assert_complete(address.clone(), mix, number)));
                task::sleep(ARRIVAL_INTERVAL).await;
            }
            answers
        });
        Self { stop, sending }
    }

    /// Stops sending, waits for all responses, which must be complete, and returns
    /// their number.
    fn finish(self) -> usize {
        self.stop.close();
        let answers = task::block_on(self.sending);
        let count = answers.len();
        answers.into_iter().for_each(task::block_on);
        count
    }
}

async fn assert_complete(address: String, mix: TrafficMix, number: usize) {
    let prompt = format!("{} {number}{}", mix.name, " word".repeat(mix.prompt_tokens));
    let call = system::completion_call(&address, &prompt, mix.output_tokens);
    let answer = call.send_async().await.expect("a response");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let answer: CompletionResponse = answer.json();
    assert_eq!(answer.choices[0].text, token::expected_text(&prompt, mix.output_tokens));
}

fn changes_by_demand(system: &TestSystem) -> usize {
    let log = system.daemons[0].process.log();
    log.lines().filter(|line| line.contains("\"reason\":\"demand\"")).count()
}

fn routed_count(system: &TestSystem) -> usize {
    system.daemons[0].process.log().matches("\"routed\"").count()
}

/// Returns whether an engine reports another role than it started with.
fn has_changed_role(system: &TestSystem) -> bool {
    system.engines.iter().any(|engine| system::engine_load(engine).role.to_string() != "mixed")
}

/// Guards against truncated responses and conflicting orders when an engine changes
/// its role under load.
#[test]
fn a_role_changes_with_the_demand_and_every_response_is_complete() {
    let system = TestSystem::start(SystemOptions { engines: 3, ..SystemOptions::default() });
    let address = &system.daemons[0].address;
    let prompts = OpenTraffic::start(address, PROMPT_HEAVY);
    process::wait_until("a role change is planned", || changes_by_demand(&system) > 0);
    process::wait_until("an engine has another role", || has_changed_role(&system));
    let output = OpenTraffic::start(address, OUTPUT_HEAVY);
    assert!(prompts.finish() > 0);
    let reported = system.engines.iter().map(|engine| system::engine_load(engine).role.to_string());
    println!("roles: {:?}", reported.collect::<Vec<_>>());
    let before = routed_count(&system);
    process::wait_until("the output-heavy requests are routed", || {
        routed_count(&system) >= before + OUTPUT_REQUEST_COUNT
    });
    assert!(output.finish() > 0);
    for engine in &system.engines {
        let counts: OrderCounts = engine.counts();
        let invalid = (counts.conflicting, counts.stale, counts.cut);
        assert_eq!(invalid, (0, 0, 0), "conflicting, stale and cut of {}", engine.name);
    }
}
