//! The recorded times of faults.

use std::time::{Duration, Instant};

use gooseberry_soak::history::{FaultInterval, FaultScope, SoakHistory};

#[test]
fn a_fault_that_ends_late_explains_failures_until_its_end() {
    let from = Instant::now();
    let until = from + Duration::from_secs(1);
    let mut history = SoakHistory::default();
    history.fault_intervals.extend([
        FaultInterval { scope: FaultScope::Servers, from, until },
        FaultInterval { scope: FaultScope::Daemon(0), from, until: from },
    ]);
    let ended_at = from + Duration::from_secs(4);
    history.extend_intervals(0..2, ended_at);
    let untils: Vec<_> = history.fault_intervals.iter().map(|interval| interval.until).collect();
    assert_eq!(untils, [ended_at, from]);
}
