//! A role change by demand, with real processes and traffic that goes on.

use std::time::Duration;

use async_std::task::{self, JoinHandle};
use gooseberry_harness::{
    process,
    system::{self, SystemOptions, TestSystem},
};
use gooseberry_standins::{engine::orders::OrderCounts, token};
use gooseberry_wire::engine::CompletionResponse;

/// Time between requests of each kind of traffic.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(40);

/// Requests for much output after the prompts have ended.
const OUTPUT_REQUESTS: usize = 200;

/// Says how long the prompts and answers of some traffic are, in tokens.
#[derive(Clone, Copy, Debug)]
struct TrafficMix {
    name: &'static str,
    prompt: usize,
    output: u32,
}

/// More prompt tokens than three mixed engines compute beside their answers.
const PROMPT_HEAVY: TrafficMix = TrafficMix { name: "prompts", prompt: 2_500, output: 20 };
const OUTPUT_HEAVY: TrafficMix = TrafficMix { name: "output", prompt: 10, output: 150 };

/// Sends requests at even intervals until told to stop.
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
                answers.push(task::spawn(check(address.clone(), mix, number)));
                task::sleep(ARRIVAL_INTERVAL).await;
            }
            answers
        });
        Self { stop, sending }
    }

    /// Waits for all answers, each of which is whole, and returns their number.
    fn finish(self) -> usize {
        self.stop.close();
        let answers = task::block_on(self.sending);
        let count = answers.len();
        answers.into_iter().for_each(task::block_on);
        count
    }
}

async fn check(address: String, mix: TrafficMix, number: usize) {
    let prompt = format!("{} {number}{}", mix.name, " word".repeat(mix.prompt));
    let call = system::completion_call(&address, &prompt, mix.output);
    let answer = call.send_async().await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let answer: CompletionResponse = answer.json();
    assert_eq!(answer.choices[0].text, token::expected_text(&prompt, mix.output));
}

fn changes_by_demand(system: &TestSystem) -> usize {
    let log = system.daemons[0].process.log();
    log.lines().filter(|line| line.contains("\"reason\":\"demand\"")).count()
}

fn routed(system: &TestSystem) -> usize {
    system.daemons[0].process.log().matches("\"routed\"").count()
}

/// Tells whether some engine reports another role than it started with.
fn has_changed_role(system: &TestSystem) -> bool {
    system.engines.iter().any(|engine| system::engine_load(engine).role.to_string() != "mixed")
}

#[test]
fn a_role_changes_with_the_demand_and_every_answer_is_whole() {
    let system = TestSystem::start(SystemOptions { engines: 3, ..SystemOptions::default() });
    let address = &system.daemons[0].address;
    let prompts = OpenTraffic::start(address, PROMPT_HEAVY);
    process::wait_until("a role change is planned", || changes_by_demand(&system) > 0);
    process::wait_until("an engine has another role", || has_changed_role(&system));
    let output = OpenTraffic::start(address, OUTPUT_HEAVY);
    assert!(prompts.finish() > 0);
    let reported = system.engines.iter().map(|engine| system::engine_load(engine).role.to_string());
    println!("roles: {:?}", reported.collect::<Vec<_>>());
    let before = routed(&system);
    process::wait_until("output is asked for", || routed(&system) >= before + OUTPUT_REQUESTS);
    assert!(output.finish() > 0);
    for engine in &system.engines {
        let counts: OrderCounts = engine.counts();
        let broken = (counts.conflicting, counts.stale, counts.cut);
        assert_eq!(broken, (0, 0, 0), "conflicting, stale and cut of {}", engine.name);
    }
}
