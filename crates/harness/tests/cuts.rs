//! Failure domains that are cut from each other, one of them from the platform.

use async_std::task;
use gooseberry_edges::platform::{PlatformApi, PutOutcome};
use gooseberry_harness::{
    process,
    proxy::ProxyState,
    system::{self, SystemOptions, TestServer, TestSystem},
};
use gooseberry_standins::{engine::orders::OrderCounts, token};
use gooseberry_wire::{
    engine::CompletionResponse,
    order::{OrderPhase, OrderRecord},
    problem::{ProblemDocument, RequestExecuted},
};

/// Daemons of each failure domain.
const DAEMONS: usize = 2;
/// Failure domain that the platform can't be reached from.
const CUT_DOMAIN: usize = 1;
/// Keys that are reserved on both sides of a cut.
const KEYS: usize = 8;
/// Tokens of each completion.
const TOKENS: u32 = 20;
/// Engine whose role is edited during a cut.
const EDITED: &str = "engine-1-0";

fn start() -> TestSystem {
    let size = SystemOptions {
        daemons: DAEMONS,
        domains: 2,
        uses_proxies: true,
        ..SystemOptions::default()
    };
    let system = TestSystem::start(size);
    wait_heard(&system);
    process::wait_until("both domains have a steward", || {
        (0..2).all(|domain| is_recorded(&system, &format!("stewards/domain-{domain}")))
    });
    system
}

fn is_recorded(system: &TestSystem, key: &str) -> bool {
    task::block_on(system.platform_client().get(key)).expect("an answer").is_some()
}

/// Sets the links between the domains, and one domain's link to the platform.
fn set_links(system: &TestSystem, state: ProxyState) {
    for link in &system.domain_proxies {
        link.set_state(state);
    }
    system.platform_proxies[CUT_DOMAIN].set_state(state);
}

/// Returns the number of live peers of each daemon.
fn heard(system: &TestSystem) -> Vec<usize> {
    system.statuses().iter().map(|status| status.peers.len()).collect()
}

fn wait_heard(system: &TestSystem) {
    process::wait_until("all peers are heard", || heard(system) == [2 * DAEMONS - 1; 2 * DAEMONS]);
}

fn revisions(system: &TestSystem) -> Vec<u64> {
    system.statuses().iter().map(|status| status.revision).collect()
}

/// Completes a prompt at every daemon, each on an engine of its own domain.
fn complete_everywhere(system: &TestSystem, prompt: &str) {
    for (index, daemon) in system.daemons.iter().enumerate() {
        let logged = daemon.process.log().len();
        let answer = system::completion_call(&daemon.address, prompt, TOKENS).send();
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
        let answer: CompletionResponse = answer.json();
        assert_eq!(answer.choices[0].text, token::expected_text(prompt, TOKENS));
        let own = format!("\"engine\":\"engine-{}-", index / DAEMONS);
        let log = daemon.process.log().split_off(logged);
        let routed = log.lines().find(|line| line.contains("\"routed\""));
        assert!(routed.is_some_and(|line| line.contains(&own)), "{log}");
    }
}

/// Reserves every key at all daemons at once; each answer is whole or honest.
fn reserve_everywhere(system: &TestSystem, name: &str) {
    let keys: Vec<_> = (0..KEYS).map(|index| format!("{name}-{index}")).collect();
    let mut tries = Vec::new();
    for key in &keys {
        for (index, daemon) in system.daemons.iter().enumerate() {
            let call = system::reservation_call(&daemon.address, key);
            let answer = task::spawn(async move { call.send_async().await });
            tries.push((key, index, answer));
        }
    }
    let mut claims = Vec::new();
    for (key, index, answer) in tries {
        let daemon = &system.daemons[index];
        let answer = task::block_on(answer).expect("an answer");
        let executed = match answer.status {
            200 => RequestExecuted::Yes,
            _ => answer.json::<ProblemDocument>().executed,
        };
        println!("{key} at {}: {} {executed:?}", daemon.name, answer.status);
        let is_cut = index / DAEMONS == CUT_DOMAIN;
        if is_cut && answer.status != 200 {
            let refused = (answer.status, executed, answer.retry_after.is_some());
            assert_eq!(refused, (503, RequestExecuted::No, true), "{key} at {}", daemon.name);
        }
        claims.push((key, answer.status, executed));
    }
    for key in &keys {
        let of_key = || claims.iter().filter(|(claimed, ..)| *claimed == key);
        let executions = system::execution_count(system, key);
        assert!(executions <= 1, "{key} ran {executions} times");
        let ran = of_key().any(|(_, status, _)| *status == 200);
        assert!(!ran || executions == 1, "{key} was answered and never ran");
        let not_run = of_key().all(|(.., executed)| *executed == RequestExecuted::No);
        assert!(!not_run || executions == 0, "{key} ran and was refused as not run");
    }
    // The side with the platform goes on taking reservations.
    assert!(claims.iter().any(|(_, status, _)| *status == 200), "no reservation was taken");
}

/// Records an edit of one engine's role and returns its revision.
fn edit_role(system: &TestSystem) -> u64 {
    let text = system.configuration_text("");
    let row = format!("{{name: {EDITED},");
    let text = text.replace(&row, &format!("{row} role: decode,"));
    match system.put_configuration(system.recorded_revision(), &text) {
        PutOutcome::Written(revision) => revision,
        PutOutcome::Conflict(found) => panic!("the edit lost against {found:?}"),
    }
}

fn is_ordered(system: &TestSystem) -> bool {
    let key = format!("orders/{EDITED}");
    let found = task::block_on(system.platform_client().get(&key)).expect("an answer");
    found.is_some_and(|found| {
        let record: OrderRecord = serde_json::from_str(&found.value).expect("a valid record");
        record.phase == OrderPhase::Settled && record.role.as_deref() == Some("decode")
    })
}

fn assert_no_conflict(system: &TestSystem) {
    for engine in &system.engines {
        let counts: OrderCounts = TestServer::counts(engine);
        let broken = (counts.conflicting, counts.stale, counts.cut);
        assert_eq!(broken, (0, 0, 0), "conflicting, stale and cut of {}", engine.name);
    }
}

fn serve_through(state: ProxyState) {
    let system = start();
    let before = revisions(&system);
    set_links(&system, state);
    complete_everywhere(&system, "at the start of the cut");
    reserve_everywhere(&system, "early");
    let edited = edit_role(&system);
    process::wait_until("the other domain is given up", || {
        heard(&system) == [DAEMONS - 1; 2 * DAEMONS]
    });
    process::wait_until("the edit is in force beside the platform", || {
        revisions(&system)[..DAEMONS] == [edited; DAEMONS]
    });
    complete_everywhere(&system, "during the cut");
    reserve_everywhere(&system, "late");
    assert_eq!(revisions(&system)[DAEMONS..], before[DAEMONS..], "nothing passes the cut");
    set_links(&system, ProxyState::Forwarding);
    wait_heard(&system);
    process::wait_until("the edit is in force everywhere", || {
        revisions(&system) == [edited; 2 * DAEMONS]
    });
    process::wait_until("the edit's order is settled", || is_ordered(&system));
    process::wait_until("every daemon takes reservations", || {
        system.daemons.iter().all(|daemon| {
            let call = system::reservation_call(&daemon.address, &format!("at {}", daemon.name));
            call.send().expect("an answer").status == 200
        })
    });
    reserve_everywhere(&system, "early");
    reserve_everywhere(&system, "healed");
    complete_everywhere(&system, "after the cut");
    assert_no_conflict(&system);
}

#[test]
fn domains_that_are_cut_from_each_other_go_on_serving() {
    serve_through(ProxyState::Closed);
}

#[test]
fn domains_whose_connections_froze_go_on_serving() {
    serve_through(ProxyState::Stalled);
}
