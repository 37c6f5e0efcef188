//! At most once, with real processes and the executions that servers count.

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

/// Time that a slow reservation takes, in milliseconds.
const SLOW_MS: u64 = 4_000;
/// Reads that only a waiting try makes in the time of a slow reservation.
const WAITING_READS: u64 = 20;

fn start(daemons: usize) -> TestSystem {
    TestSystem::start(SystemOptions { daemons, engines: 1, ..SystemOptions::default() })
}

fn reserve(system: &TestSystem, daemon: usize, key: &str) -> TestResponse {
    let call = system::reservation_call(&system.daemons[daemon].address, key);
    call.send().expect("an answer")
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

/// Waits until the server has begun to run a key.
fn wait_run(system: &TestSystem, key: &str) {
    process::wait_until("the reservation runs", || system::execution_count(system, key) > 0);
}

#[test]
fn impatient_callers_at_all_daemons_share_one_execution() {
    let system = start(3);
    plain_faults(&system, |faults| faults.delay_ms = 300);
    let tries: Vec<_> = (0..9)
        .map(|index| spawn(system::reservation_call(&system.daemons[index % 3].address, "key")))
        .collect();
    for answer in tries {
        assert_eq!(task::block_on(answer).expect("an answer").status, 200);
    }
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn a_lost_answer_of_the_server_is_unknown_at_every_daemon_and_never_sent_again() {
    let system = start(2);
    plain_faults(&system, |faults| faults.lose_answers = 1);
    for daemon in [0, 1, 0] {
        let answer = reserve(&system, daemon, "key");
        assert_eq!((answer.status, executed(&answer)), (502, RequestExecuted::Unknown));
    }
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn a_lost_answer_of_the_claims_write_is_recognised() {
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
    process::wait_until("the reservation is taken", || reserve(&system, 0, "key").status == 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn an_answer_that_came_during_an_outage_is_given_again_and_kept_after_it() {
    let system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_run(&system, "key");
    platform_faults(&system, |faults| faults.down = true);
    assert_eq!(task::block_on(running).expect("an answer").status, 200);
    // The daemon that sent the call knows its answer without the platform.
    assert_eq!(reserve(&system, 0, "key").status, 200);
    platform_faults(&system, |_| {});
    process::wait_until("the answer is kept", || reserve(&system, 1, "key").status == 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn a_try_that_waits_for_a_running_one_never_says_not_run_when_the_platform_fails() {
    let system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_run(&system, "key");
    let reads = system::platform_counts(&system).reads;
    let waiting = spawn(system::reservation_call(&system.daemons[1].address, "key"));
    process::wait_until("the second try waits", || {
        system::platform_counts(&system).reads > reads + WAITING_READS
    });
    platform_faults(&system, |faults| faults.down = true);
    let answer = task::block_on(waiting).expect("an answer");
    assert_eq!(executed(&answer), RequestExecuted::Unknown);
    assert_eq!(task::block_on(running).expect("an answer").status, 200);
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn a_killed_daemons_claim_is_unknown_once_its_death_is_proven() {
    let mut system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_run(&system, "key");
    system.daemons[0].process.kill();
    assert!(task::block_on(running).is_err());
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[0]);
    let answer = reserve(&system, 1, "key");
    assert_eq!((answer.status, executed(&answer)), (502, RequestExecuted::Unknown));
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn a_paused_daemons_claim_is_waited_for_and_never_taken_over() {
    let system = start(2);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_run(&system, "key");
    system.daemons[0].process.pause();
    let deadline = now_ms() + 2 * SLOW_MS;
    let call = system::reservation_call(&system.daemons[1].address, "key");
    let answer = call.header("request-deadline", &deadline.to_string()).send().expect("an answer");
    assert_eq!((answer.status, executed(&answer)), (409, RequestExecuted::Unknown));
    assert!(answer.retry_after.is_some());
    system.daemons[0].process.resume();
    assert_eq!(task::block_on(running).expect("an answer").status, 200);
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
    let answer = call.send().expect("an answer");
    assert_eq!((answer.status, executed(&answer)), (422, RequestExecuted::No));
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn keys_retried_everywhere_through_all_faults_run_at_most_once() {
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
    wait_claims(&system, 4);
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
        let ending = caller.join().expect("a caller that ended");
        let runs = system::execution_count(&system, &format!("key-{index}"));
        assert!(runs <= 1, "key-{index} ran {runs} times");
        if ending == Ending::Answered {
            assert_eq!(runs, 1, "key-{index}");
        }
    }
}

fn wait_claims(system: &TestSystem, writes: u64) {
    let before = system::platform_counts(system).writes;
    process::wait_until("claims are written", || {
        system::platform_counts(system).writes >= before + writes
    });
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Answered,
    Unknown,
}

/// Sends a key to one daemon after another until its outcome is final.
fn retry_until_final(addresses: &[String], index: usize) -> Ending {
    let key = format!("key-{index}");
    for round in index.. {
        let address = &addresses[round % addresses.len()];
        let Ok(answer) = system::reservation_call(address, &key).send() else { continue };
        match answer.status {
            200 => return Ending::Answered,
            502 if executed(&answer) == RequestExecuted::Unknown => return Ending::Unknown,
            _ => {}
        }
    }
    unreachable!("the rounds never end")
}

#[test]
fn a_restarted_daemon_knows_that_its_former_process_is_dead() {
    let mut system = start(1);
    plain_faults(&system, |faults| faults.delay_ms = SLOW_MS);
    let running = spawn(system::reservation_call(&system.daemons[0].address, "key"));
    wait_run(&system, "key");
    system.daemons[0].process.kill();
    assert!(task::block_on(running).is_err());
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[0]);
    system.wait_until_ready();
    let answer = reserve(&system, 0, "key");
    assert_eq!((answer.status, executed(&answer)), (502, RequestExecuted::Unknown));
    assert_eq!(system::execution_count(&system, "key"), 1);
}

#[test]
fn a_refused_retry_says_that_earlier_tries_are_unknown() {
    let system = TestSystem::start(SystemOptions { daemons: 2, ..SystemOptions::default() });
    let first = system::reservation_call(&system.daemons[0].address, "again").send();
    assert_eq!(first.expect("an answer").status, 200);
    let down = PlatformFaults { down: true, ..system::no_platform_faults() };
    system.platform.set_faults(&down);
    let second = system::reservation_call(&system.daemons[1].address, "again").send();
    let document: ProblemDocument = second.expect("an answer").json();
    assert_eq!(document.executed, RequestExecuted::No);
    assert_eq!(document.earlier_tries, Some(RequestExecuted::Unknown));
    assert_eq!(system::execution_count(&system, "again"), 1);
}
