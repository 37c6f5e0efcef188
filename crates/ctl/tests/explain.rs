//! The story of a request, from lines of several daemons.

use expect_test::expect;
use gooseberry_ctl::explain;

const LINES: &str = r#"
edge-1 {"timestamp":"2026-01-10T05:50:50.000000Z","level":"INFO","message":"server is silent","server":"i-1","waited_ms":1100,"target":"t"}
edge-1 {"timestamp":"2026-01-10T05:50:40.000000Z","level":"INFO","message":"server is silent","server":"i-1","waited_ms":900,"target":"t"}
edge-1 {"timestamp":"2026-01-10T05:50:51.500000Z","level":"INFO","message":"answered","request":"r-1","status":502,"target":"t"}
edge-1 {"timestamp":"2026-01-10T05:50:51.108000Z","level":"INFO","message":"placed","request":"r-1","server":"i-1","tries":0,"target":"t"}
edge-2 {"timestamp":"2026-01-10T05:50:51.200000Z","level":"INFO","message":"server can't be reached","server":"i-1","fault":"timed out","target":"t"}
edge-2 {"timestamp":"2026-01-10T05:50:51.200000Z","level":"INFO","message":"placed","request":"r-2","server":"i-1","target":"t"}
edge-2 {"timestamp":"2026-01-10T05:50:51.200000Z","level":"INFO","message":"server is silent","server":"i-2","target":"t"}
not a line of ours
"#;

#[test]
fn a_story_is_told_in_order_with_what_daemons_believed_of_the_server() {
    let mut told = String::new();
    for line in explain::timeline(LINES.lines(), "r-1") {
        told += &format!("{} {} {}: {}\n", line.at_ms, line.origin, line.message, line.details);
    }
    expect![[r#"
        -1108 edge-1 server is silent: server=i-1 waited_ms=1100
        0 edge-1 placed: server=i-1 tries=0
        92 edge-2 server can't be reached: fault=timed out server=i-1
        392 edge-1 answered: status=502
    "#]]
    .assert_eq(&told);
}

#[test]
fn a_request_that_no_line_names_has_no_story() {
    assert!(explain::timeline(LINES.lines(), "r-9").is_empty());
}
