//! The check of callers at daemons without links to servers.

use std::time::{Duration, Instant};

use gooseberry_soak::{
    checks::{self, InvariantViolation},
    history::{CallKind, CallRecord, FaultInterval, FaultScope, SoakHistory},
};

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Returns the history of a cut of 9 s at daemon 0, in which two daemons get a request each 50 ms.
/// `is_served` tells from the daemon and the time since the cut whether it is served.
fn history(is_served: impl Fn(usize, Duration) -> bool) -> SoakHistory {
    let began = Instant::now();
    let mut history = SoakHistory::default();
    let (from, until) = (began, began + Duration::from_secs(9));
    history.fault_intervals.push(FaultInterval { scope: FaultScope::DaemonLinks(0), from, until });
    for number in 0..180 {
        for daemon in 0..2 {
            let at = Duration::from_millis(50 * number);
            let answer = if is_served(daemon, at) { SERVED } else { REFUSED };
            history.calls.push(CallRecord {
                id: format!("{daemon}-{number}"),
                kind: CallKind::Plain,
                daemon,
                sent_at: began + at,
                ended_at: began + at,
                resumed: None,
                answer: answer.to_owned(),
                is_connected: true,
                is_poison: false,
            });
        }
    }
    history
}

fn is_violated(history: &SoakHistory) -> bool {
    let violations = checks::check(history, &[]);
    violations.iter().any(|violation| matches!(violation, InvariantViolation::CutCallers(_)))
}

#[test]
fn callers_that_are_refused_only_at_the_cut_daemon_are_found() {
    assert!(is_violated(&history(|daemon, _| daemon == 1)));
    assert!(!is_violated(&history(|_, _| true)));
}

#[test]
fn the_first_three_seconds_of_a_cut_do_not_count() {
    let early = Duration::from_secs(3);
    assert!(!is_violated(&history(|daemon, at| daemon == 1 || at >= early)));
}

/// Guards against a comparison of different moments: the cut daemon was compared with what the others
/// served before and after it.
#[test]
fn what_no_daemon_serves_does_not_count_against_the_cut_one() {
    let outage = Duration::from_secs(4)..Duration::from_secs(6);
    let mut history = history(|_, at| !outage.contains(&at));
    // The cut daemon is asked to shut down after the outage.
    let from = history.calls[0].sent_at + outage.end;
    let until = from + Duration::from_secs(3);
    history.fault_intervals.push(FaultInterval {
        scope: FaultScope::DaemonRestart(0),
        from,
        until,
    });
    assert!(!is_violated(&history));
}

#[test]
fn a_daemon_that_started_less_than_three_seconds_ago_does_not_count() {
    let mut history = history(|daemon, _| daemon == 1);
    let started = |at_ms: u64| {
        let from = history.calls[0].sent_at + Duration::from_millis(at_ms);
        FaultInterval { scope: FaultScope::DaemonRestart(0), from, until: from }
    };
    let starts = [started(3000), started(6000)];
    history.fault_intervals.extend(starts);
    assert!(!is_violated(&history));
    history.fault_intervals.pop();
    assert!(is_violated(&history), "from 3 s after the start it counts again");
}
