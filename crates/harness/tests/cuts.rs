//! A network partition between two failure domains. One of them can't reach the
//! platform either.

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
/// Failure domain that can't reach the platform during the partition.
const ISOLATED_DOMAIN: usize = 1;
/// Number of keys that are reserved on both sides of the partition.
const KEY_COUNT: usize = 8;
/// Tokens of each completion.
const TOKENS: u32 = 20;
/// Engine whose role is edited during the partition.
const EDITED_ENGINE: &str = "engine-1-0";

fn start() -> TestSystem {
    let options = SystemOptions {
        daemons: DAEMONS,
        domains: 2,
        uses_proxies: true,
        ..SystemOptions::default()
    };
    let system = TestSystem::start(options);
    wait_for_peers(&system);
    process::wait_until("both domains have a leader", || {
        (0..2).all(|domain| is_recorded(&system, &format!("stewards/domain-{domain}")))
    });
    system
}

fn is_recorded(system: &TestSystem, key: &str) -> bool {
    task::block_on(system.platform_client().get(key)).expect("a response").is_some()
}

/// Sets the state of the proxies between the domains, and of the isolated domain's
/// proxy to the platform.
fn set_proxies(system: &TestSystem, state: ProxyState) {
    for proxy in &system.domain_proxies {
        proxy.set_state(state);
    }
    system.platform_proxies[ISOLATED_DOMAIN].set_state(state);
}

/// Returns the number of live peers of each daemon.
fn live_peers(system: &TestSystem) -> Vec<usize> {
    system.statuses().iter().map(|status| status.peers.len()).collect()
}

fn wait_for_peers(system: &TestSystem) {
    process::wait_until("all peers are live", || {
        live_peers(system) == [2 * DAEMONS - 1; 2 * DAEMONS]
    });
}

fn revisions(system: &TestSystem) -> Vec<u64> {
    system.statuses().iter().map(|status| status.revision).collect()
}

/// Completes a prompt at every daemon, each of which must use an engine of its own
/// domain.
fn complete_everywhere(system: &TestSystem, prompt: &str) {
    for (index, daemon) in system.daemons.iter().enumerate() {
        let logged = daemon.process.log().len();
        let answer = system::completion_call(&daemon.address, prompt, TOKENS).send();
        let answer = answer.expect("a response");
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
        let answer: CompletionResponse = answer.json();
        assert_eq!(answer.choices[0].text, token::expected_text(prompt, TOKENS));
        let own = format!("\"engine\":\"engine-{}-", index / DAEMONS);
        let log = daemon.process.log().split_off(logged);
        let routed = log.lines().find(|line| line.contains("\"routed\""));
        assert!(routed.is_some_and(|line| line.contains(&own)), "{log}");
    }
}

/// Reserves every key at all daemons at once. A response must report correctly
/// whether the call was executed.
fn reserve_everywhere(system: &TestSystem, name: &str) {
    let keys: Vec<_> = (0..KEY_COUNT).map(|index| format!("{name}-{index}")).collect();
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
        let answer = task::block_on(answer).expect("a response");
        let executed = match answer.status {
            200 => RequestExecuted::Yes,
            _ => answer.json::<ProblemDocument>().executed,
        };
        println!("{key} at {}: {} {executed:?}", daemon.name, answer.status);
        let is_isolated = index / DAEMONS == ISOLATED_DOMAIN;
        if is_isolated && answer.status != 200 {
            let refused = (answer.status, executed, answer.retry_after.is_some());
            assert_eq!(refused, (503, RequestExecuted::No, true), "{key} at {}", daemon.name);
        }
        claims.push((key, answer.status, executed));
    }
    for key in &keys {
        let of_key = || claims.iter().filter(|(claimed, ..)| *claimed == key);
        let executions = system::execution_count(system, key);
        assert!(executions <= 1, "{key} was executed {executions} times");
        let succeeded = of_key().any(|(_, status, _)| *status == 200);
        assert!(!succeeded || executions == 1, "{key} succeeded without an execution");
        let none_executed = of_key().all(|(.., executed)| *executed == RequestExecuted::No);
        assert!(
            !none_executed || executions == 0,
            "{key} was executed and refused as not executed"
        );
    }
    // The domain that reaches the platform accepts reservations.
    assert!(claims.iter().any(|(_, status, _)| *status == 200), "no reservation was accepted");
}

/// Records an edit of one engine's role and returns its revision.
fn edit_role(system: &TestSystem) -> u64 {
    let text = system.configuration_text("");
    let row = format!("{{name: {EDITED_ENGINE},");
    let text = text.replace(&row, &format!("{row} role: decode,"));
    match system.put_configuration(system.recorded_revision(), &text) {
        PutOutcome::Written(revision) => revision,
        PutOutcome::Conflict(found) => panic!("the edit conflicts with {found:?}"),
    }
}

fn is_order_settled(system: &TestSystem) -> bool {
    let key = format!("orders/{EDITED_ENGINE}");
    let found = task::block_on(system.platform_client().get(&key)).expect("a response");
    found.is_some_and(|found| {
        let record: OrderRecord = serde_json::from_str(&found.value).expect("a valid record");
        record.phase == OrderPhase::Settled && record.role.as_deref() == Some("decode")
    })
}

fn assert_no_invalid_orders(system: &TestSystem) {
    for engine in &system.engines {
        let counts: OrderCounts = TestServer::counts(engine);
        let invalid = (counts.conflicting, counts.stale, counts.cut);
        assert_eq!(invalid, (0, 0, 0), "conflicting, stale and cut of {}", engine.name);
    }
}

fn check_partition(state: ProxyState) {
    let system = start();
    let before = revisions(&system);
    set_proxies(&system, state);
    complete_everywhere(&system, "at the start of the partition");
    reserve_everywhere(&system, "early");
    let edited = edit_role(&system);
    process::wait_until("the peers of the other domain are removed", || {
        live_peers(&system) == [DAEMONS - 1; 2 * DAEMONS]
    });
    process::wait_until("the edit is in force in the domain that reaches the platform", || {
        revisions(&system)[..DAEMONS] == [edited; DAEMONS]
    });
    complete_everywhere(&system, "during the partition");
    reserve_everywhere(&system, "late");
    assert_eq!(
        revisions(&system)[DAEMONS..],
        before[DAEMONS..],
        "the isolated domain got the edit"
    );
    set_proxies(&system, ProxyState::Forwarding);
    wait_for_peers(&system);
    process::wait_until("the edit is in force everywhere", || {
        revisions(&system) == [edited; 2 * DAEMONS]
    });
    process::wait_until("the edit's order is settled", || is_order_settled(&system));
    process::wait_until("every daemon accepts reservations", || {
        system.daemons.iter().all(|daemon| {
            let call = system::reservation_call(&daemon.address, &format!("at {}", daemon.name));
            call.send().expect("a response").status == 200
        })
    });
    reserve_everywhere(&system, "early");
    reserve_everywhere(&system, "healed");
    complete_everywhere(&system, "after the partition");
    assert_no_invalid_orders(&system);
}

/// Guards against daemons that stop serving completions, execute a reservation
/// twice or send an order twice when connections are closed and refused.
#[test]
fn partitioned_domains_continue_to_serve() {
    check_partition(ProxyState::Closed);
}

/// Guards against the same failures when connections stay open and nothing is
/// forwarded, so that only timeouts detect the partition.
#[test]
fn domains_with_stalled_connections_continue_to_serve() {
    check_partition(ProxyState::Stalled);
}
