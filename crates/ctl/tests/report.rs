//! Outcome counts over daemons that run, that were stopped and that were killed.

use gooseberry_ctl::report::{html, table, OutcomeReport};
use gooseberry_wire::peer::{
    BalanceRow, DaemonHistory, DaemonStatus, HistorySample, OutcomeRecord,
};

fn row(accepted: u64, whole: u64) -> BalanceRow {
    BalanceRow {
        service: "assistant".to_owned(),
        account: "branch".to_owned(),
        accepted,
        whole,
        refused: 0,
        unknown: 0,
        failed: 0,
        running: accepted - whole,
    }
}

fn record(daemon: &str, closed: bool, row: BalanceRow) -> OutcomeRecord {
    OutcomeRecord {
        daemon: daemon.to_owned(),
        incarnation: 1,
        as_of_ms: 7,
        closed,
        rows: vec![row],
    }
}

fn live(daemon: &str, row: BalanceRow) -> DaemonStatus {
    let status = serde_json::json!({
        "daemon": daemon, "failure_domain": "a", "incarnation": 1, "revision": 1, "ready": true,
        "engines": [], "peers": [], "balance": [row],
    });
    serde_json::from_value(status).expect("a status")
}

/// A killed daemon leaves a record that isn't closed. What it accepted after
/// that record must be reported as unknown, not as 0.
#[test]
fn counts_of_a_killed_daemon_are_reported_as_unknown() {
    let recorded = vec![record("stopped", true, row(10, 10)), record("killed", false, row(20, 17))];
    let report = OutcomeReport::new(recorded, vec![]);
    assert_eq!((report.rows[0].accepted, report.rows[0].whole), (30, 27));
    assert_eq!((report.rows[0].unknown, report.rows[0].running), (3, 0));
    assert_eq!(report.unknown_shares.len(), 1);
    assert!(table::text(&report).contains("killed/1 ended without a final record"));
}

/// The record of a live daemon is older than its status. Adding both would
/// count its requests twice.
#[test]
fn status_of_a_live_daemon_replaces_its_record() {
    let recorded = vec![record("one", false, row(5, 5))];
    let report = OutcomeReport::new(recorded, vec![live("one", row(9, 8))]);
    assert_eq!((report.rows[0].accepted, report.rows[0].running), (9, 1));
    assert!(report.unknown_shares.is_empty());
}

/// Names of accounts come from operators' text and must not end up as markup.
/// The page must not load anything from elsewhere.
#[test]
fn page_is_self_contained_and_escapes_names() {
    let mut row = row(1, 1);
    row.account = "<script>".to_owned();
    let report = OutcomeReport::new(vec![record("stopped", true, row)], vec![]);
    let sample = |at_ms, output_tokens| HistorySample {
        at_ms,
        whole: 0,
        refused: 0,
        unknown: 0,
        failed: 0,
        prompt_tokens: 0,
        output_tokens,
        prefill_engines: 1,
        decode_engines: 1,
        mixed_engines: 1,
    };
    let samples = vec![sample(0, 0), sample(10_000, 500), sample(20_000, 900)];
    let history = DaemonHistory { daemon: "one".to_owned(), incarnation: 1, samples };
    let page = html::page(&report, &[history]).expect("a page");
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script>"));
    assert!(page.contains("<svg") && !page.contains("http-equiv") && !page.contains("src="));
}
