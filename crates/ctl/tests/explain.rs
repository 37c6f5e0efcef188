//! The timeline of a request, from log lines of several daemons.

use expect_test::expect;
use gooseberry_ctl::explain;

const LINES: &str = r#"
edge-1 {"timestamp":"2026-01-10T05:50:50.000000Z","level":"INFO","message":"server is not responding","server":"i-1","waited_ms":1100,"target":"t"}
edge-1 {"timestamp":"2026-01-10T05:50:40.000000Z","level":"INFO","message":"server is not responding","server":"i-1","waited_ms":900,"target":"t"}
edge-1 {"timestamp":"2026-01-10T05:50:51.500000Z","level":"INFO","message":"response sent to caller","request":"r-1","status":502,"target":"t"}
edge-1 {"timestamp":"2026-01-10T05:50:51.108000Z","level":"INFO","message":"request sent to server","request":"r-1","server":"i-1","tries":0,"target":"t"}
edge-2 {"timestamp":"2026-01-10T05:50:51.200000Z","level":"INFO","message":"server is unreachable","server":"i-1","fault":"timed out","target":"t"}
edge-2 {"timestamp":"2026-01-10T05:50:51.200000Z","level":"INFO","message":"request sent to server","request":"r-2","server":"i-1","target":"t"}
edge-2 {"timestamp":"2026-01-10T05:50:51.200000Z","level":"INFO","message":"server is not responding","server":"i-2","target":"t"}
a line without JSON
"#;

/// Log lines of several daemons come in any order. The timeline must have the
/// lines of the request and those on its server from 5 s before, and no line of
/// another request, of another server or from earlier.
#[test]
fn timeline_is_ordered_and_has_state_changes_of_the_server() {
    let mut text = String::new();
    for entry in explain::timeline(LINES.lines(), "r-1") {
        text += &format!("{} {} {}: {}\n", entry.at_ms, entry.origin, entry.message, entry.details);
    }
    expect![[r#"
        -1108 edge-1 server is not responding: server=i-1 waited_ms=1100
        0 edge-1 request sent to server: server=i-1 tries=0
        92 edge-2 server is unreachable: fault=timed out server=i-1
        392 edge-1 response sent to caller: status=502
    "#]]
    .assert_eq(&text);
}

#[test]
fn request_without_lines_has_an_empty_timeline() {
    assert!(explain::timeline(LINES.lines(), "r-9").is_empty());
}

/// The account, and the version and age of the configuration, tell why a daemon refused a key.
#[test]
fn timeline_has_what_the_refusal_of_a_key_was_based_on() {
    let line = r#"edge-1 {"timestamp":"2026-01-10T05:50:51.108000Z","level":"INFO","message":"request not authorized","request":"r-1","decision":"unavailable","key":"valid","account":"red","version":7,"age_ms":4600,"target":"t"}"#;
    let entries = explain::timeline([line], "r-1");
    assert_eq!(entries[0].message, "request not authorized");
    expect!["account=red age_ms=4600 decision=unavailable key=valid version=7"]
        .assert_eq(&entries[0].details);
}
