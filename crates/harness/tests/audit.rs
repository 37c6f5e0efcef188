//! Outcome counts in the operators' report, refusals for a dependency that is down,
//! and secrets that must not reach the log.

use std::process::Command;

use gooseberry_harness::{
    process,
    system::{self, SystemOptions, TestSystem, ACCOUNT_KEY, PEER_SECRET},
};
use gooseberry_wire::{
    peer::BalanceRow,
    problem::{ProblemDocument, RequestExecuted},
};
use serde::Deserialize;

/// The report as `gooseberryctl` prints it.
#[derive(Debug, Deserialize)]
struct PrintedReport {
    rows: Vec<BalanceRow>,
    unknown_shares: Vec<serde_json::Value>,
}

fn report(system: &TestSystem) -> PrintedReport {
    let mut command = Command::new(process::program_path("gooseberryctl"));
    command.args(["--json", "--platform", &system.platform.address, "--secret", PEER_SECRET]);
    for daemon in &system.daemons {
        command.args(["--daemon", &daemon.control_address]);
    }
    let output = command.arg("report").output().expect("the command's output");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("a report as JSON")
}

fn row<'a>(report: &'a PrintedReport, service: &str) -> &'a BalanceRow {
    report.rows.iter().find(|row| row.service == service).expect("a row")
}

/// Guards against losing the counts of a daemon that shuts down before its last
/// record is written.
#[test]
fn outcome_counts_survive_a_graceful_shutdown() {
    let mut system = TestSystem::start(SystemOptions { daemons: 2, ..SystemOptions::default() });
    for _ in 0..5 {
        let call = system::completion_call(&system.daemons[0].address, "count me", 3);
        assert_eq!(call.send().expect("a response").status, 200);
    }
    let before = report(&system);
    system.daemons[0].process.terminate();
    assert!(system.daemons[0].process.wait().success());
    let after = report(&system);
    assert_eq!(row(&after, "assistant"), row(&before, "assistant"));
    assert!(after.unknown_shares.is_empty());
}

/// Guards against a report that silently omits the requests that a killed daemon
/// had not recorded.
#[test]
fn the_share_of_a_killed_daemon_is_reported_as_unknown() {
    let mut system = TestSystem::start(SystemOptions { daemons: 2, ..SystemOptions::default() });
    system.daemons[0].process.kill();
    assert_eq!(report(&system).unknown_shares.len(), 1);
}

#[test]
fn a_service_whose_dependency_is_down_is_refused_early() {
    let mut system = TestSystem::start(SystemOptions::default());
    let text = system.configuration_text("").replace(
        "{name: assistant, kind: completion, model: sample}",
        "{name: assistant, kind: completion, model: sample, depends_on: [booking]}",
    );
    let revision = system.recorded_revision();
    system.put_configuration(revision, &text);
    system.plain_servers[0].process.kill();
    let refused = || {
        let answer = system::completion_call(&system.daemons[0].address, "hello", 1).send().ok()?;
        (answer.status == 503).then(|| answer.json::<ProblemDocument>())
    };
    process::wait_until("requests are refused for the dependency", || refused().is_some());
    let document = refused().expect("a refusal");
    assert_eq!(document.dependency.as_deref(), Some("booking"));
    assert_eq!(document.executed, RequestExecuted::No);
}

#[test]
fn keys_and_secrets_are_not_logged() {
    let mut system = TestSystem::start(SystemOptions::default());
    let daemon = &system.daemons[0];
    let level = Command::new(process::program_path("gooseberryctl"))
        .args(["--secret", PEER_SECRET, "--daemon", &daemon.control_address, "log-level", "trace"])
        .output()
        .expect("the command's output");
    assert!(level.status.success(), "{}", String::from_utf8_lossy(&level.stderr));
    assert_eq!(
        system::reservation_call(&daemon.address, "k").send().expect("a response").status,
        200
    );
    let call = system::completion_call(&daemon.address, "hello", 2);
    assert_eq!(call.send().expect("a response").status, 200);
    let wrong = call.account_key("wrong-key-of-a-caller").send().expect("a response");
    assert_eq!(wrong.status, 401);
    system.daemons[0].process.terminate();
    assert!(system.daemons[0].process.wait().success());
    let log = system.daemons[0].process.log();
    assert!(log.contains("TRACE"), "no line of level TRACE is in the log");
    for secret in [ACCOUNT_KEY, PEER_SECRET, "wrong-key-of-a-caller"] {
        assert!(!log.contains(secret), "{secret} is in the log");
    }
}
