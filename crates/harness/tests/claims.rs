//! Non-idempotent calls are executed at most once. The plain servers count the
//! executions of each key.

use std::thread;

use async_std::task::{self, JoinHandle};
use gooseberry_harness::{
    calls::{TestCall, TestResponse},
    process,
    system::{self, SystemOptions, TestSystem},
};
use gooseberry_standins::plain::PlainFaults;
use gooseberry_wire::{
    platform::PlatformFaults,
    problem::{ProblemDocument, RequestExecuted},
};

/// Duration of a slow reservation.
const SLOW_RESERVATION_MS: u64 = 4_000;
/// Number of reads of the platform after which another try must be waiting for a
/// slow reservation, since nothing else reads so often in that time.
const WAITING_TRY_READS: u64 = 20;

fn start(daemons: usize) -> TestSystem {
    TestSystem::start(SystemOptions { daemons, engines: 1, ..SystemOptions::default() })
}

fn reserve(system: &TestSystem, daemon: usize, key: &str) -> TestResponse {
    let call = system::reservation_call(&system.daemons[daemon].address, key);
    call.send().expect("a response")
}

fn spawn(call: TestCall) -> JoinHandle<anyhow::Result<TestResponse>> {
    task::spawn(async move { call.send_async().await })
}

fn executed(answer: &TestResponse) -> RequestExecuted {
    answer.json::<ProblemDocument>().executed
}

fn platform_faults(system: &TestSystem, change: impl FnOnce(&mut PlatformFaults)) {
    let mut faults = system::no_platform_faults();
    change(&mut faults);
    system.platform.set_faults(&faults);
}

fn plain_faults(system: &TestSystem, change: impl FnOnce(&mut PlainFaults)) {
    let mut faults = system::no_plain_faults();
    change(&mut faults);
    system.plain_servers[0].set_faults(&faults);
}

/// Waits until a server has started to execute the call of a key.
fn wait_for_execution(system: &TestSystem, key: &str) {
    process::wait_until("the reservation is being executed", || {
        system::execution_count(system, key) > 0
    });
}

/// Guards against several executions of a key that is sent to all daemons at once.
#[test]
fn concurrent_tries_at_all_daemons_share_one_execution() {
    let system = start(3);
    plain_faults(&system, |faults| faults.delay_ms = 300);
    let tries: Vec<_> = (0..9)
        .map(|index| spawn(system::reservation_call(&system.daemons[index % 3].address, "key")))
        .collect();
    for answer in tries {
        assert_eq!(task::block_on(answer).expect("a response").status, 200);
    }
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against sending a call again after the server executed it and dropped
/// its response.
#[test]
fn a_lost_response_of_the_server_is_unknown_at_every_daemon_and_not_sent_again() {
    let system = start(2);
    plain_faults(&system, |faults| faults.lose_answers = 1);
    for daemon in [0, 1, 0] {
        let answer = reserve(&system, daemon, "key");
        assert_eq!((answer.status, executed(&answer)), (502, RequestExecuted::Unknown));
    }
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against a daemon that takes its own claim for that of another process,
/// because the response to its write was lost.
#[test]
fn a_claim_whose_write_response_was_lost_is_recognised() {
    let system = start(2);
    platform_faults(&system, |faults| faults.lose_write_answers = 1);
    assert_eq!(reserve(&system, 0, "key").status, 200);
    assert_eq!(reserve(&system, 1, "key").status, 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn while_the_platform_is_down_a_reservation_is_refused_and_not_run() {
    let system = start(1);
    assert_eq!(reserve(&system, 0, "before").status, 200);
    platform_faults(&system, |faults| faults.down = true);
    let answer = reserve(&system, 0, "key");
    assert_eq!((answer.status, executed(&answer)), (503, RequestExecuted::No));
    assert!(answer.retry_after.is_some());
    assert_eq!(system::execution_count(&system, "key"), 0);
    platform_faults(&system, |_| {});
    process::wait_until("the reservation is accepted", || reserve(&system, 0, "key").status == 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against losing a response that was received while the platform was down:
/// retries must get it again, during the outage and after it.
#[test]
fn a_response_received_during_an_outage_is_replayed_and_stored_after_it() {
    let system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_RESERVATION_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_for_execution(&system, "key");
    platform_faults(&system, |faults| faults.down = true);
    assert_eq!(task::block_on(running).expect("a response").status, 200);
    // The daemon that sent the call has its response in memory.
    assert_eq!(reserve(&system, 0, "key").status, 200);
    platform_faults(&system, |_| {});
    process::wait_until("the response is stored", || reserve(&system, 1, "key").status == 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against a response "not executed" to a try that waits for a running one
/// when the platform becomes unavailable.
#[test]
fn a_try_that_waits_for_a_running_one_is_unknown_when_the_platform_fails() {
    let system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_RESERVATION_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_for_execution(&system, "key");
    let reads = system::platform_counts(&system).reads;
    let waiting = spawn(system::reservation_call(&system.daemons[1].address, "key"));
    process::wait_until("the second try is waiting", || {
        system::platform_counts(&system).reads > reads + WAITING_TRY_READS
    });
    platform_faults(&system, |faults| faults.down = true);
    let answer = task::block_on(waiting).expect("a response");
    assert_eq!(executed(&answer), RequestExecuted::Unknown);
    assert_eq!(task::block_on(running).expect("a response").status, 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against executing a call again whose daemon was killed while the call
/// was running.
#[test]
fn the_claim_of_a_killed_daemon_is_unknown_once_its_death_is_proven() {
    let mut system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_RESERVATION_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_for_execution(&system, "key");
    system.daemons[0].process.kill();
    assert!(task::block_on(running).is_err());
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[0]);
    let answer = reserve(&system, 1, "key");
    assert_eq!((answer.status, executed(&answer)), (502, RequestExecuted::Unknown));
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against taking over the claim of a daemon that doesn't respond but is
/// alive: its call may still be running.
#[test]
fn the_claim_of_a_paused_daemon_is_not_taken_over() {
    let system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_RESERVATION_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_for_execution(&system, "key");
    system.daemons[0].process.pause();
    let deadline = now_ms() + 2 * SLOW_RESERVATION_MS;
    let call = system::reservation_call(&system.daemons[1].address, "key");
    let answer = call.header("request-deadline", &deadline.to_string()).send().expect("a response");
    assert_eq!((answer.status, executed(&answer)), (409, RequestExecuted::Unknown));
    assert!(answer.retry_after.is_some());
    system.daemons[0].process.resume();
    assert_eq!(task::block_on(running).expect("a response").status, 200);
    assert_eq!(reserve(&system, 1, "key").status, 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

fn now_ms() -> u64 {
    gooseberry_edges::clock::Clock::system().now().as_millis()
}

#[test]
fn a_key_with_another_query_is_refused() {
    let system = start(1);
    assert_eq!(reserve(&system, 0, "key").status, 200);
    let mut call = TestCall::new(
        http_types::Method::Post,
        &system.daemons[0].address,
        "/booking/reservations?tool=saw",
    );
    call = call.account_key(system::ACCOUNT_KEY).header("idempotency-key", "key").body("one drill");
    let answer = call.send().expect("a response");
    assert_eq!((answer.status, executed(&answer)), (422, RequestExecuted::No));
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against double executions under combined faults: lost write responses, a
/// paused daemon, a killed daemon, lost responses of the server, and an outage.
#[test]
fn keys_retried_at_all_daemons_during_faults_are_executed_at_most_once() {
    const KEYS: usize = 12;
    let mut system = start(3);
    plain_faults(&system, |faults| faults.delay_ms = 50);
    let addresses: Vec<_> = system.daemons.iter().map(|daemon| daemon.address.clone()).collect();
    let callers: Vec<_> = (0..KEYS)
        .map(|index| {
            let addresses = addresses.clone();
            thread::spawn(move || retry_until_final(&addresses, index))
        })
        .collect();
    platform_faults(&system, |faults| faults.lose_write_answers = 5);
    system.daemons[0].process.pause();
    wait_for_writes(&system, 4);
    platform_faults(&system, |faults| faults.delay_ms = 200);
    plain_faults(&system, |faults| faults.lose_answers = 2);
    system.daemons[1].process.kill();
    system.daemons[0].process.resume();
    platform_faults(&system, |faults| faults.down = true);
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[1]);
    platform_faults(&system, |_| {});
    plain_faults(&system, |_| {});
    for (index, caller) in callers.into_iter().enumerate() {
        let outcome = caller.join().expect("the outcome of a caller");
        let executions = system::execution_count(&system, &format!("key-{index}"));
        assert!(executions <= 1, "key-{index} was executed {executions} times");
        if outcome == RetryOutcome::Succeeded {
            assert_eq!(executions, 1, "key-{index}");
        }
    }
}

fn wait_for_writes(system: &TestSystem, writes: u64) {
    let before = system::platform_counts(system).writes;
    process::wait_until("claims are written", || {
        system::platform_counts(system).writes >= before + writes
    });
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryOutcome {
    Succeeded,
    Unknown,
}

/// Sends a key to one daemon after another until its outcome is final.
fn retry_until_final(addresses: &[String], index: usize) -> RetryOutcome {
    let key = format!("key-{index}");
    for round in index.. {
        let address = &addresses[round % addresses.len()];
        let Ok(answer) = system::reservation_call(address, &key).send() else { continue };
        match answer.status {
            200 => return RetryOutcome::Succeeded,
            502 if executed(&answer) == RequestExecuted::Unknown => return RetryOutcome::Unknown,
            _ => {}
        }
    }
    unreachable!("the loop has no end")
}

/// Guards against a restarted daemon that waits for a claim of its own former
/// process, or executes its call again.
#[test]
fn a_restarted_daemon_detects_that_its_former_process_is_dead() {
    let mut system = start(1);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_RESERVATION_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_for_execution(&system, "key");
    system.daemons[0].process.kill();
    assert!(task::block_on(running).is_err());
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[0]);
    system.wait_until_ready();
    let answer = reserve(&system, 0, "key");
    assert_eq!((answer.status, executed(&answer)), (502, RequestExecuted::Unknown));
    assert_eq!(system::execution_count(&system, "key"), 1);
}

/// Guards against a refusal that hides that an earlier try of the key may have been
/// executed.
#[test]
fn a_refused_retry_reports_earlier_tries_as_unknown() {
    let system = TestSystem::start(SystemOptions { daemons: 2, ..SystemOptions::default() });
    let first = system::reservation_call(&system.daemons[0].address, "again").send();
    assert_eq!(first.expect("a response").status, 200);
    let down = PlatformFaults { down: true, ..system::no_platform_faults() };
    system.platform.set_faults(&down);
    let second = system::reservation_call(&system.daemons[1].address, "again").send();
    let document: ProblemDocument = second.expect("a response").json();
    assert_eq!(document.executed, RequestExecuted::No);
    assert_eq!(document.earlier_tries, Some(RequestExecuted::Unknown));
    assert_eq!(system::execution_count(&system, "again"), 1);
}
