//! Backend servers that are being removed get no new requests, whether the platform's
//! list of VMs, the server itself or the configuration reports it.

use async_std::task;
use gooseberry_edges::platform::{PlatformApi, PutOutcome};
use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestServer, TestSystem, ACCOUNT_KEY},
};
use gooseberry_wire::platform::{VmEntry, VmKind, VmState};
use http_types::Method;

/// Requests that a test sends after the removal of a server has begun.
const REQUEST_COUNT: usize = 30;

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

/// Sends rounds of requests to every daemon until a round has no request at the
/// server, then asserts that another round has none either.
fn assert_no_new_requests(system: &TestSystem, server: &str) {
    let routed = || -> usize {
        let quoted_name = format!("\"{server}\"");
        let logs = system.daemons.iter().map(|daemon| daemon.process.log());
        let lines = logs.map(|log| {
            let routed = log.lines().filter(|line| line.contains("routed"));
            routed.filter(|line| has_server(line, &quoted_name)).count()
        });
        lines.sum()
    };
    let send_all = || {
        for daemon in &system.daemons {
            for index in 0..REQUEST_COUNT / system.daemons.len() {
                let prompt = format!("after the leave, {index}");
                let call = system::completion_call(&daemon.address, &prompt, 2);
                assert_eq!(call.send().expect("a response").status, 200);
                let answer = plain_call(daemon).send().expect("a response");
                assert_eq!(answer.status, 200);
            }
        }
    };
    process::wait_until("the server gets no new requests", || {
        let before = routed();
        send_all();
        routed() == before
    });
    let before = routed();
    send_all();
    assert_eq!(routed(), before, "{server} got new requests");
}

/// Returns whether a log line has the quoted name as its chosen engine or server.
fn has_server(line: &str, quoted_name: &str) -> bool {
    ["engine", "server"].iter().any(|field| line.contains(&format!("\"{field}\":{quoted_name}")))
}

fn assert_gets_requests(system: &TestSystem, server: &str) {
    let quoted_name = format!("\"{server}\"");
    process::wait_until("the server gets requests", || {
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
            log.lines().any(|line| line.contains("routed") && has_server(line, &quoted_name))
        })
    });
}

fn delay_plain_servers(system: &TestSystem) {
    for server in &system.plain_servers {
        let mut faults = system::no_plain_faults();
        faults.delay_ms = 20;
        server.set_faults(&faults);
    }
}

/// Guards against requests to servers that the platform lists as leaving, and to
/// servers that were removed from the list but still respond.
#[test]
fn servers_that_the_platform_lists_as_leaving_get_no_new_requests() {
    let system = start();
    delay_plain_servers(&system);
    let (engine, plain) = (&system.engines[0], &system.plain_servers[0]);
    assert_gets_requests(&system, &engine.name);
    assert_gets_requests(&system, &plain.name);
    system.set_vms(&[
        entry(engine, VmKind::Engine, VmState::Leaving),
        entry(plain, VmKind::Plain, VmState::Leaving),
        entry(&system.engines[1], VmKind::Engine, VmState::Live),
        entry(&system.plain_servers[1], VmKind::Plain, VmState::Live),
    ]);
    assert_no_new_requests(&system, &engine.name);
    assert_no_new_requests(&system, &plain.name);
    // The servers were removed from the list. They still respond, but must not get
    // requests again.
    system.set_vms(&[
        entry(&system.engines[1], VmKind::Engine, VmState::Live),
        entry(&system.plain_servers[1], VmKind::Plain, VmState::Live),
    ]);
    assert_no_new_requests(&system, &engine.name);
    assert_no_new_requests(&system, &plain.name);
}

/// Guards against requests to a server whose health check reports that it is leaving.
#[test]
fn a_server_that_reports_that_it_is_leaving_gets_no_new_requests() {
    let system = start();
    delay_plain_servers(&system);
    let plain = &system.plain_servers[0];
    assert_gets_requests(&system, &plain.name);
    let mut faults = system::no_plain_faults();
    faults.leaving = true;
    plain.set_faults(&faults);
    assert_no_new_requests(&system, &plain.name);
}

/// Guards against requests to servers that operators take out of the configuration.
#[test]
fn servers_that_the_configuration_withdraws_get_no_new_requests() {
    let system = start();
    delay_plain_servers(&system);
    let (engine, plain) = (&system.engines[0].name, &system.plain_servers[0].name);
    assert_gets_requests(&system, engine);
    assert_gets_requests(&system, plain);
    let mut text = system.configuration_text("");
    for server in [engine, plain] {
        text = text
            .replace(&format!("{{name: {server},"), &format!("{{name: {server}, leaving: true,"));
    }
    let found = task::block_on(system.platform_client().get("configuration"));
    let base = found.expect("a response").expect("a configuration").revision;
    assert!(matches!(system.put_configuration(base, &text), PutOutcome::Written(_)));
    assert_no_new_requests(&system, engine);
    assert_no_new_requests(&system, plain);
}
