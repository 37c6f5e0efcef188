//! Limits of accounts over several daemons.

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
/// Requests per second that the account may send.
const REQUESTS_PER_SECOND: f64 = 20.0;
/// Burst that a daemon allows, in seconds of its rate.
const BURST_S: f64 = 2.0;

fn start(daemons: usize) -> TestSystem {
    let options = SystemOptions { daemons, engines: 1, ..SystemOptions::default() };
    let mut system = TestSystem::start_without_configuration(options);
    let digest: String =
        Sha256::digest(KEY.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    let account =
        format!("\n  - {{name: metered, key_sha256: [{digest}], requests_per_second: {REQUESTS_PER_SECOND}}}\n");
    let text = system.configuration_text(&account);
    system.put_configuration(0, &text);
    system.wait_until_ready();
    system
}

fn send(system: &TestSystem, daemon: usize) -> TestResponse {
    let address = &system.daemons[daemon].address;
    let call = TestCall::new(Method::Get, address, "/booking/tools").account_key(KEY);
    call.send().expect("a response")
}

/// Guards against a limit that each daemon grants in full, so that an account could
/// send a multiple of it through several daemons.
#[test]
fn an_account_is_limited_over_all_daemons() {
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
    let bound = REQUESTS_PER_SECOND * (started.elapsed().as_secs_f64() + BURST_S) + 2.0;
    assert!(f64::from(admitted) <= bound, "{admitted} above {bound}");
}

/// Guards against a daemon that refuses requests at its base share of the limit
/// while it receives all requests of the account.
#[test]
fn a_daemon_that_receives_all_requests_is_granted_the_pool_share() {
    let system = start(2);
    let started = Instant::now();
    let mut admitted = 0;
    // Without a granted share, a daemon may use a quarter of the limit.
    process::wait_until("the daemon is granted a share", || {
        admitted += u32::from(send(&system, 0).status == 200);
        let base = REQUESTS_PER_SECOND / 4.0 * (started.elapsed().as_secs_f64() + BURST_S) + 1.0;
        f64::from(admitted) > base + 10.0
    });
    let bound = REQUESTS_PER_SECOND * (started.elapsed().as_secs_f64() + BURST_S) + 2.0;
    assert!(f64::from(admitted) <= bound, "{admitted} above {bound}");
}

/// Guards against a daemon that refuses all requests of an account when no other
/// daemon is left to grant it a share.
#[test]
fn a_daemon_admits_requests_after_all_others_are_killed() {
    let mut system = start(3);
    for daemon in &mut system.daemons[1..] {
        daemon.process.kill();
    }
    let mut admitted = 0;
    process::wait_until("the remaining daemon admits requests", || {
        admitted += u32::from(send(&system, 0).status == 200);
        admitted > 20
    });
}
