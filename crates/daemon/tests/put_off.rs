//! Conditions under which a leader postpones a planned change, with a manual clock.

use std::time::Duration;

use gooseberry_core::{
    changes::EngineTarget,
    fleet::EngineRole,
    orders::{MAX_CLAIM_AGE, MAX_CLOCK_SKEW},
    time::Timestamp,
};
use gooseberry_daemon::leader::change::{ChangeReason, ChangeStep, EngineChange, DRAIN_TIMEOUT};
use gooseberry_wire::engine::LoadReport;

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Interval between the steps of a drain.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

fn change(not_before: Timestamp) -> EngineChange {
    let target = EngineTarget { role: Some(EngineRole::Decode), ..EngineTarget::default() };
    EngineChange::new(target, ChangeReason::Demand, "sample".into(), not_before)
}

fn report(made_at: Timestamp, running: u32) -> LoadReport {
    serde_json::from_value(serde_json::json!({
        "engine": "engine-0", "incarnation": 1, "made_at_ms": made_at.as_millis(),
        "state": "serving", "role": "mixed", "model": "sample",
        "running": running, "queued": 0, "prefill_backlog_tokens": 0, "sequence": 1, "steps": 1,
        "kv_pieces_free": 1, "kv_pieces_total": 1, "kv_piece_tokens": 1, "highest_fencing": 0,
    }))
    .expect("a valid report")
}

/// Steps a change until its drain ends, and returns the last step and the time it
/// took.
fn drain(
    change: &mut EngineChange,
    closed: bool,
    running: impl Fn(Duration) -> u32,
) -> (ChangeStep, Duration) {
    let mut now = START;
    loop {
        let passed = now.since(START);
        let step = change.step(closed, Some(&report(now, running(passed))), now);
        if !matches!(step, ChangeStep::Draining | ChangeStep::AwaitingWeights) {
            return (step, passed);
        }
        now = now + STEP_INTERVAL;
    }
}

#[test]
fn a_drain_whose_requests_do_not_end_times_out_at_its_limit_and_not_before() {
    let mut change = change(START);
    assert_eq!(
        drain(&mut change, true, |_| 1),
        (ChangeStep::TimedOut, DRAIN_TIMEOUT + STEP_INTERVAL)
    );
    // No order was claimed, so the change is postponed.
    assert!(!change.is_sendable(START + DRAIN_TIMEOUT + STEP_INTERVAL));
}

#[test]
fn a_drain_of_an_idle_engine_times_out_while_some_daemon_still_sends() {
    let ended = drain(&mut change(START), false, |_| 0);
    assert_eq!(ended, (ChangeStep::TimedOut, DRAIN_TIMEOUT + STEP_INTERVAL));
}

#[test]
fn a_drain_whose_requests_end_at_the_last_moment_is_not_postponed() {
    let running = |passed| u32::from(passed < DRAIN_TIMEOUT);
    let ended = drain(&mut change(START), true, running);
    assert_eq!(ended, (ChangeStep::Drained, DRAIN_TIMEOUT));
}

#[test]
fn an_idle_report_counts_only_if_it_is_newer_than_the_drain() {
    let ended = drain(&mut change(START), true, |_| 0);
    assert_eq!(ended, (ChangeStep::Drained, MAX_CLOCK_SKEW + STEP_INTERVAL));
}

#[test]
fn waiting_for_the_weight_store_is_not_part_of_the_drain() {
    let wait = DRAIN_TIMEOUT * 2;
    let ended = drain(&mut change(START + wait), true, |_| 1);
    assert_eq!(ended, (ChangeStep::TimedOut, wait + DRAIN_TIMEOUT + STEP_INTERVAL));
}

#[test]
fn a_change_whose_order_may_still_be_sent_is_not_postponed() {
    let mut change = change(START);
    change.order = Some(("steward/1".into(), START));
    assert!(change.is_sendable(START + MAX_CLAIM_AGE));
    assert!(!change.is_sendable(START + MAX_CLAIM_AGE + STEP_INTERVAL));
}
