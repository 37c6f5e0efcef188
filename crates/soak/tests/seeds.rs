//! A short soak with a fixed seed, and the seeds that have failed.

use std::time::Duration;

use gooseberry_soak::SoakOptions;

fn soak(seed: u64, seconds: u64, daemons: usize) {
    let folder = tempfile::tempdir().expect("a folder");
    let terms = SoakOptions { seed, fault_period: Duration::from_secs(seconds), daemons };
    let report = gooseberry_soak::run(terms, folder.path());
    assert!(report.served > 0, "nothing was served: {report:?}");
    assert!(report.violations.is_empty(), "{:#?} after {:#?}", report.violations, report.faults);
}

/// Chats were refused as crashing after three of them had lost their answers.
#[test]
fn seed_102_recovers_after_lost_answers() {
    soak(102, 10, 4);
}

#[test]
fn a_short_soak_keeps_all_promises() {
    soak(1, 6, 3);
}
