//! The clocks of a process.

use std::time::Duration;

use gooseberry_core::time::Timestamp;
use gooseberry_edges::clock::{Clock, ManualClock};

/// Guards against knowledge that seems fresh after a suspension.
#[test]
fn time_since_boot_counts_suspension() {
    let start = Timestamp::from_millis(1000);
    let manual = ManualClock::at(start);
    let clock = Clock::Manual(manual.clone());
    manual.suspend(Duration::from_secs(5));
    manual.advance(Duration::from_secs(1));
    assert_eq!(clock.now(), start + Duration::from_secs(1));
    assert_eq!(clock.time_since_boot(), start + Duration::from_secs(6));
}

/// Guards against a time of the machine that stands still.
#[test]
fn time_since_boot_of_the_system_moves_on() {
    let clock = Clock::system();
    let before = clock.time_since_boot();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.time_since_boot().since(before) >= Duration::from_millis(19));
}
