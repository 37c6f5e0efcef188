//! Windows, true time, counts and steps of the usage reports.

use std::{collections::BTreeMap, time::Duration};

use gooseberry_core::{
    serving::usage::{
        self, AccountCounts, CollectedCounts, ReportState, ReportStep, UsageEra, UsageRound,
        WallOffsets, WindowCounts, WindowPlan,
    },
    time::Timestamp,
};

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn plan() -> WindowPlan {
    WindowPlan::new(Duration::from_secs(5), Duration::from_secs(10))
}

fn counts(rows: &[(&str, u64)]) -> AccountCounts {
    rows.iter().map(|(name, count)| ((*name).into(), *count)).collect()
}

/// Guards against a request at a boundary that is counted in the window before.
#[test]
fn a_window_begins_at_its_boundary() {
    assert_eq!(plan().window(at(4999)), 0);
    assert_eq!(plan().window(at(5000)), 1);
    assert_eq!(plan().end(0), at(5000));
}

/// Guards against counts that are read too seldom, or before the end of their window has arrived.
#[test]
fn daemons_are_asked_twice_a_window_and_after_its_end() {
    let mut now = at(20_000);
    let mut polls = Vec::new();
    while now < at(30_000) {
        now = plan().next_poll(now);
        polls.push(now.as_millis());
    }
    assert_eq!(polls, [21_000, 22_500, 25_000, 26_000, 27_500, 30_000]);
}

/// Guards against windows that follow the clock of a single machine.
#[test]
fn true_time_is_the_median_of_clocks_that_are_off_by_seconds() {
    let mut offsets = WallOffsets::default();
    let now = at(1000);
    for (daemon, wall) in [(1, 103_000), (2, 100_040), (3, 100_000), (4, 92_000)] {
        offsets.record(daemon, wall, now);
    }
    offsets.update(at(160_000), now);
    assert_eq!(offsets.true_time(now), at(100_040));
    // The others are no longer heard, so this daemon's own clock is all that there is.
    let later = now + Duration::from_secs(6);
    offsets.update(at(166_000), later);
    assert_eq!(offsets.true_time(later), at(166_000));
}

/// Guards against requests of a killed daemon that are lost or counted twice when it starts again, and
/// against late ones that change a stored report unnoticed.
#[test]
fn counts_are_cumulative_by_start() {
    let mut collected = CollectedCounts::default();
    let windows = |rows: &[(&str, u64)]| WindowCounts::from([(7, counts(rows))]);
    collected.merge(1, windows(&[("a", 3)]));
    collected.merge(1, windows(&[("a", 5), ("b", 1)]));
    // Overtaken by the one before.
    collected.merge(1, windows(&[("a", 4)]));
    // The daemon was killed and started again.
    collected.merge(2, windows(&[("a", 2)]));
    assert_eq!(collected.total(7), counts(&[("a", 7), ("b", 1)]));
    collected.close(7);
    assert_eq!(collected.merge(2, windows(&[("a", 2)])), 0);
    assert_eq!(collected.merge(2, windows(&[("a", 5)])), 3);
    assert_eq!(collected.merge(2, windows(&[("a", 5)])), 0);
    collected.remove_before(8);
    assert_eq!(collected.total(7), counts(&[]));
}

/// Guards against a report that is stored before its counts have settled, or sent without being stored.
#[test]
fn only_stored_reports_are_sent() {
    let era = UsageEra { era: 1, since: at(0) };
    let mut states = BTreeMap::new();
    let steps = |states: &BTreeMap<_, _>, polled, now| {
        let round = UsageRound { began_at: at(polled), is_complete: true };
        usage::steps(&plan(), era, states, Some(round), at(now))
    };
    assert_eq!(steps(&states, 10_000, 10_900), [ReportStep::Store(0)]);
    assert_eq!(steps(&states, 11_000, 11_100), [ReportStep::Store(0), ReportStep::Store(1)]);
    states.insert(0, ReportState::Accepted);
    states.insert(1, ReportState::Stored);
    assert_eq!(steps(&states, 11_000, 12_000), [ReportStep::Send(1)]);
    assert!(steps(&states, 0, 25_001).contains(&ReportStep::Miss(1)));
}

/// Guards against a report without the counts of a daemon that was unreachable for a moment, and against
/// one that a killed daemon delays until it is late.
#[test]
fn a_silent_daemon_is_awaited_for_half_of_the_time() {
    let era = UsageEra { era: 1, since: at(0) };
    let steps = |began_at| {
        let round = UsageRound { began_at: at(began_at), is_complete: false };
        usage::steps(&plan(), era, &BTreeMap::new(), Some(round), at(began_at))
    };
    assert_eq!(steps(9_999), []);
    assert_eq!(steps(10_000), [ReportStep::Store(0)]);
}

/// Guards against two different reports of a window, one of which was stored before the key-value service
/// came back from a copy.
#[test]
fn windows_of_an_earlier_era_are_not_stored_again() {
    let stored = Some(UsageEra { era: 1, since: at(0) });
    assert_eq!(UsageEra::of_term(stored, 1, false, at(16_000)).since, at(0));
    let era = UsageEra::of_term(stored, 2, false, at(16_000));
    // The first era has no earlier reports.
    assert_eq!(UsageEra::of_term(None, 1, true, at(16_000)).since, at(0));
    assert_eq!(era, UsageEra { era: 2, since: at(16_000) });
    let round = UsageRound { began_at: at(22_000), is_complete: true };
    let steps = usage::steps(&plan(), era, &BTreeMap::new(), Some(round), at(22_000));
    assert_eq!(steps, [ReportStep::Store(3)]);
    // A leader that still has the stored bytes goes on sending them.
    let states = BTreeMap::from([(2, ReportState::Stored)]);
    let steps = usage::steps(&plan(), era, &states, None, at(22_000));
    assert_eq!(steps, [ReportStep::Send(2)]);
}

/// Guards against a window that is stored a second time after the first report was removed.
#[test]
fn reports_are_removed_long_after_they_are_of_no_use() {
    for window in 0..4 {
        let useless = plan().end(window) + Duration::from_secs(15);
        assert!(plan().is_useful(window, useless));
        assert!(!plan().is_removable(window, useless + Duration::from_secs(60)));
        assert!(plan().is_removable(window, useless + Duration::from_secs(61)));
    }
}
