//! Requests that a daemon accepts during its shutdown end before its exit.

use std::time::Duration;

use gooseberry_core::{
    serving::shutdown::{self, RecentDurations, ShutdownProgress, NOTICE_DURATION},
    time::Timestamp,
};
use proptest::prelude::*;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn progress(since_start_ms: u64, grace_ms: u64) -> ShutdownProgress {
    ShutdownProgress {
        since_start: Duration::from_millis(since_start_ms),
        until_exit: Duration::from_millis(grace_ms.saturating_sub(since_start_ms)),
    }
}

proptest! {
    /// Guards against bounds on the duration of requests other than their deadlines: callers of some
    /// deployment have longer ones.
    #[test]
    fn no_request_is_accepted_late_whose_deadline_is_after_the_exit(
        since_start_ms in 2_600_u64..120_000,
        grace_ms in 1_000_u64..120_000,
        beyond_ms in 0_u64..60_000,
        longest_ms in proptest::option::of(0_u64..120_000),
    ) {
        let progress = progress(since_start_ms, grace_ms);
        let time_left = progress.until_exit + Duration::from_millis(beyond_ms);
        let longest = longest_ms.map(Duration::from_millis);
        prop_assert!(!shutdown::accepts(time_left, longest, progress));
    }
}

#[test]
fn requests_that_end_before_the_exit_are_accepted() {
    let deadline = Duration::from_millis(800);
    assert!(shutdown::accepts(deadline, None, progress(6_000, 7_600)));
    assert!(!shutdown::accepts(deadline, None, progress(7_000, 7_600)));
}

/// Daemons that are all stopped at once serve on until the load balancer knows.
#[test]
fn requests_like_recent_ones_that_ended_in_time_are_accepted_at_first() {
    let (deadline, longest) = (Duration::from_secs(8), Duration::from_millis(4_500));
    assert!(shutdown::accepts(deadline, Some(longest), progress(100, 7_600)));
    assert!(!shutdown::accepts(deadline, Some(longest), progress(100, 4_000)));
    assert!(!shutdown::accepts(deadline, None, progress(100, 7_600)), "nothing is known");
    let notice_ms = NOTICE_DURATION.as_millis() as u64;
    assert!(!shutdown::accepts(deadline, Some(longest), progress(notice_ms, 7_600)));
}

#[test]
fn the_longest_of_the_recent_durations_counts() {
    let mut durations = RecentDurations::default();
    assert_eq!(durations.longest(START), None);
    let after = |seconds| START + Duration::from_secs(seconds);
    durations.record(Duration::from_secs(5), after(0));
    durations.record(Duration::from_secs(2), after(50));
    assert_eq!(durations.longest(after(59)), Some(Duration::from_secs(5)));
    durations.record(Duration::from_secs(3), after(70));
    assert_eq!(durations.longest(after(110)), Some(Duration::from_secs(5)));
    assert_eq!(durations.longest(after(150)), Some(Duration::from_secs(3)));
    assert_eq!(durations.longest(after(600)), None);
}
