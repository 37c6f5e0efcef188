//! The balance over daemons that live, that stopped and that were killed.

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

#[test]
fn a_killed_daemons_share_is_unknown_and_never_none() {
    let recorded = vec![record("stopped", true, row(10, 10)), record("killed", false, row(20, 17))];
    let report = OutcomeReport::new(recorded, vec![]);
    assert_eq!((report.rows[0].accepted, report.rows[0].whole), (30, 27));
    assert_eq!((report.rows[0].unknown, report.rows[0].running), (3, 0));
    assert_eq!(report.unknown_shares.len(), 1);
    assert!(table::text(&report).contains("killed/1 ended without a last word"));
}

#[test]
fn a_live_daemon_speaks_for_itself() {
    let recorded = vec![record("one", false, row(5, 5))];
    let report = OutcomeReport::new(recorded, vec![live("one", row(9, 8))]);
    assert_eq!((report.rows[0].accepted, report.rows[0].running), (9, 1));
    assert!(report.unknown_shares.is_empty());
}

#[test]
fn the_page_stands_alone_and_escapes_names() {
    let mut odd = row(1, 1);
    odd.account = "<script>".to_owned();
    let report = OutcomeReport::new(vec![record("stopped", true, odd)], vec![]);
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
