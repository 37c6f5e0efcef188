//! Backend servers that leave get no new work.

use async_std::task;
use gooseberry_edges::platform::{PlatformApi, PutOutcome};
use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestServer, TestSystem, ACCOUNT_KEY},
};
use gooseberry_wire::platform::{VmEntry, VmKind, VmState};
use http_types::Method;

/// Requests that a test sends after a server was closed.
const REQUESTS: usize = 30;

fn start() -> TestSystem {
    TestSystem::start(SystemOptions { daemons: 2, plain_servers: 2, ..SystemOptions::default() })
}

fn entry(server: &TestServer, kind: VmKind, state: VmState) -> VmEntry {
    VmEntry {
        name: server.name.clone(),
        address: server.address.clone(),
        failure_domain: "domain-0".to_owned(),
        kind,
        state,
        incarnation: 0,
    }
}

fn plain_call(daemon: &TestServer) -> TestCall {
    let call = TestCall::new(Method::Get, &daemon.address, "/booking/tools");
    call.account_key(ACCOUNT_KEY)
}

/// Sends requests at every daemon until none of a whole round reaches the
/// server, then as many again, of which none may.
fn assert_no_new_work(system: &TestSystem, server: &str) {
    let routed = || -> usize {
        let needle = format!("\"{server}\"");
        let logs = system.daemons.iter().map(|daemon| daemon.process.log());
        let lines = logs.map(|log| {
            let routed = log.lines().filter(|line| line.contains("routed"));
            routed.filter(|line| names(line, &needle)).count()
        });
        lines.sum()
    };
    let send_all = || {
        for daemon in &system.daemons {
            for index in 0..REQUESTS / system.daemons.len() {
                let prompt = format!("after the leave, {index}");
                let call = system::completion_call(&daemon.address, &prompt, 2);
                assert_eq!(call.send().expect("an answer").status, 200);
                let answer = plain_call(daemon).send().expect("an answer");
                assert_eq!(answer.status, 200);
            }
        }
    };
    process::wait_until("the server gets no new work", || {
        let before = routed();
        send_all();
        routed() == before
    });
    let before = routed();
    send_all();
    assert_eq!(routed(), before, "{server} got new work");
}

/// Tells whether a line of the log names a server as the chosen one.
fn names(line: &str, needle: &str) -> bool {
    ["engine", "server"].iter().any(|field| line.contains(&format!("\"{field}\":{needle}")))
}

fn assert_gets_work(system: &TestSystem, server: &str) {
    let needle = format!("\"{server}\"");
    process::wait_until("the server gets work", || {
        for daemon in &system.daemons {
            let calls: Vec<_> = (0..8)
                .map(|index| {
                    let prompt = format!("before {index} with some more words in it");
                    let call = system::completion_call(&daemon.address, &prompt, 40);
                    task::spawn(async move { call.send_async().await })
                })
                .collect();
            let plain: Vec<_> = (0..8)
                .map(|_| {
                    let call = plain_call(daemon);
                    task::spawn(async move { call.send_async().await })
                })
                .collect();
            for call in calls.into_iter().chain(plain) {
                let _ = task::block_on(call);
            }
        }
        system.daemons.iter().any(|daemon| {
            let log = daemon.process.log();
            log.lines().any(|line| line.contains("routed") && names(line, &needle))
        })
    });
}

fn slow_plain(system: &TestSystem) {
    for server in &system.plain_servers {
        let mut faults = system::no_plain_faults();
        faults.delay_ms = 20;
        server.set_faults(&faults);
    }
}

#[test]
fn servers_that_the_list_calls_leaving_get_no_new_work() {
    let system = start();
    slow_plain(&system);
    let (engine, plain) = (&system.engines[0], &system.plain_servers[0]);
    assert_gets_work(&system, &engine.name);
    assert_gets_work(&system, &plain.name);
    system.set_vms(&[
        entry(engine, VmKind::Engine, VmState::Leaving),
        entry(plain, VmKind::Plain, VmState::Leaving),
        entry(&system.engines[1], VmKind::Engine, VmState::Live),
        entry(&system.plain_servers[1], VmKind::Plain, VmState::Live),
    ]);
    assert_no_new_work(&system, &engine.name);
    assert_no_new_work(&system, &plain.name);
    // They have left; that they still answer doesn't bring them back.
    system.set_vms(&[
        entry(&system.engines[1], VmKind::Engine, VmState::Live),
        entry(&system.plain_servers[1], VmKind::Plain, VmState::Live),
    ]);
    assert_no_new_work(&system, &engine.name);
    assert_no_new_work(&system, &plain.name);
}

#[test]
fn a_server_that_says_it_is_leaving_gets_no_new_work() {
    let system = start();
    slow_plain(&system);
    let plain = &system.plain_servers[0];
    assert_gets_work(&system, &plain.name);
    let mut faults = system::no_plain_faults();
    faults.leaving = true;
    plain.set_faults(&faults);
    assert_no_new_work(&system, &plain.name);
}

#[test]
fn servers_that_the_configuration_withdraws_get_no_new_work() {
    let system = start();
    slow_plain(&system);
    let (engine, plain) = (&system.engines[0].name, &system.plain_servers[0].name);
    assert_gets_work(&system, engine);
    assert_gets_work(&system, plain);
    let mut text = system.configuration_text("");
    for server in [engine, plain] {
        text = text
            .replace(&format!("{{name: {server},"), &format!("{{name: {server}, leaving: true,"));
    }
    let found = task::block_on(system.platform_client().get("configuration"));
    let base = found.expect("an answer").expect("a configuration").revision;
    assert!(matches!(system.put_configuration(base, &text), PutOutcome::Written(_)));
    assert_no_new_work(&system, engine);
    assert_no_new_work(&system, plain);
}
