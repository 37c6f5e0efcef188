//! Limits of accounts over several daemons, with real processes.

use std::time::Instant;

use gooseberry_harness::{
    calls::{TestCall, TestResponse},
    process,
    system::{SystemOptions, TestSystem},
};
use gooseberry_wire::problem::{ProblemDocument, RequestExecuted};
use http_types::Method;
use sha2::{Digest, Sha256};

/// Key of the account with a limit.
const KEY: &str = "metered-key";
/// Requests a second that the account may send.
const LIMIT: f64 = 20.0;
/// Seconds of its rate that a daemon may save up.
const BURST: f64 = 2.0;

fn start(daemons: usize) -> TestSystem {
    let size = SystemOptions { daemons, engines: 1, ..SystemOptions::default() };
    let mut system = TestSystem::start_without_configuration(size);
    let digest: String =
        Sha256::digest(KEY.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    let account =
        format!("\n  - {{name: metered, key_sha256: [{digest}], requests_per_second: {LIMIT}}}\n");
    let text = system.configuration_text(&account);
    system.put_configuration(0, &text);
    system.wait_until_ready();
    system
}

fn send(system: &TestSystem, daemon: usize) -> TestResponse {
    let address = &system.daemons[daemon].address;
    let call = TestCall::new(Method::Get, address, "/booking/tools").account_key(KEY);
    call.send().expect("an answer")
}

#[test]
fn an_account_keeps_to_its_limit_over_all_daemons() {
    let system = start(2);
    let started = Instant::now();
    let mut admitted = 0;
    for index in 0..400 {
        let answer = send(&system, index % 2);
        if answer.status == 200 {
            admitted += 1;
            continue;
        }
        let document: ProblemDocument = answer.json();
        assert_eq!((answer.status, document.executed), (429, RequestExecuted::No));
        assert_eq!(document.type_, "urn:gooseberrykeel:limit-reached");
        assert!(answer.retry_after.is_some());
    }
    let bound = LIMIT * (started.elapsed().as_secs_f64() + BURST) + 2.0;
    assert!(f64::from(admitted) <= bound, "{admitted} above {bound}");
}

#[test]
fn a_daemon_that_sees_all_the_traffic_borrows_the_pool() {
    let system = start(2);
    let started = Instant::now();
    let mut admitted = 0;
    // Without a loan a daemon has a quarter of the limit.
    process::wait_until("the daemon has borrowed", || {
        admitted += u32::from(send(&system, 0).status == 200);
        let own = LIMIT / 4.0 * (started.elapsed().as_secs_f64() + BURST) + 1.0;
        f64::from(admitted) > own + 10.0
    });
    let bound = LIMIT * (started.elapsed().as_secs_f64() + BURST) + 2.0;
    assert!(f64::from(admitted) <= bound, "{admitted} above {bound}");
}

#[test]
fn a_daemon_goes_on_when_all_others_are_gone() {
    let mut system = start(3);
    for daemon in &mut system.daemons[1..] {
        daemon.process.kill();
    }
    let mut admitted = 0;
    process::wait_until("the rest goes on with its part", || {
        admitted += u32::from(send(&system, 0).status == 200);
        admitted > 20
    });
}
