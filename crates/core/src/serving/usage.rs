//! Counts the requests of each client account, and decides what is reported of them and when.
//!
//! The load is up to 23,000 accounts whose requests begin to run at hundreds of daemons, whose wall
//! clocks are off by seconds. A report that differs from an earlier one of the same window must never
//! be sent, see `docs/design/usage-reports.md`.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use smol_str::SmolStr;

use crate::time::Timestamp;

/// Time after the end of a window in which the daemons' counts of it still change.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after the due time of a report until it is of no use.
const USE_TIME: Duration = Duration::from_secs(5);
/// Time after that until the stored report is removed. Daemons whose true times differ by less
/// can't store a window again that another one has removed.
const REMOVAL_RESERVE: Duration = Duration::from_secs(60);
/// Time by which a window must end after an era was recorded, for the differences of the daemons' true
/// times.
const ERA_RESERVE: Duration = Duration::from_secs(3);
/// Age from which the wall clock of another daemon is ignored: ten summaries.
const OFFSET_TTL: Duration = Duration::from_secs(5);

/// Counts by account, sorted by name.
pub type AccountCounts = BTreeMap<SmolStr, u64>;

/// Cumulative counts of one daemon by window.
pub type WindowCounts = BTreeMap<u64, AccountCounts>;

/// Length of the windows and time until their reports are due.
#[derive(Clone, Copy, Debug)]
pub struct WindowPlan {
    length: Duration,
    delay: Duration,
}

impl WindowPlan {
    /// Creates a plan from the length of a window, which is at least 1 ms, and the time from its end
    /// until its report is due.
    pub fn new(length: Duration, delay: Duration) -> Self {
        Self { length: length.max(Duration::from_millis(1)), delay }
    }

    /// Returns the window of a true time.
    pub fn window(&self, at: Timestamp) -> u64 {
        at.as_millis() / self.length_ms()
    }

    /// Returns the end of a window.
    pub fn end(&self, window: u64) -> Timestamp {
        Timestamp::from_millis(window.saturating_add(1).saturating_mul(self.length_ms()))
    }

    /// Returns the time from which counts that arrive are those at the end of the window.
    pub fn settled(&self, window: u64) -> Timestamp {
        self.end(window) + SETTLE_TIME.min(self.delay / 2)
    }

    /// Returns whether the report of a window is still of use.
    pub fn is_useful(&self, window: u64, now: Timestamp) -> bool {
        now <= self.end(window) + self.delay + USE_TIME
    }

    /// Returns whether the stored report of a window can be removed.
    pub fn is_removable(&self, window: u64, now: Timestamp) -> bool {
        now > self.end(window) + self.delay + USE_TIME + REMOVAL_RESERVE
    }

    /// Returns the oldest window whose report is still of use.
    pub fn oldest_useful(&self, now: Timestamp) -> u64 {
        self.window(now - self.delay - USE_TIME).saturating_sub(1)
    }

    /// Returns the next time after `now` at which the daemons are asked for their counts: twice a
    /// window, and once its counts have settled.
    pub fn next_poll(&self, now: Timestamp) -> Timestamp {
        let window = self.window(now);
        let begin = Timestamp::from_millis(window * self.length_ms());
        let settled = self.settled(window.saturating_sub(1));
        let times = [begin + self.length / 2, self.end(window), settled, self.settled(window)];
        times.into_iter().filter(|at| *at > now).min().unwrap_or(now + self.length)
    }

    fn length_ms(&self) -> u64 {
        self.length.as_millis() as u64
    }
}

/// Wall clocks of the daemons, as offsets from a clock of this daemon that never jumps.
#[derive(Clone, Debug, Default)]
pub struct WallOffsets {
    /// Offset and time of receipt by daemon, in milliseconds.
    others: HashMap<u64, (i64, Timestamp)>,
    /// The median, including this daemon's wall clock.
    median: i64,
}

impl WallOffsets {
    /// Records the wall clock of another daemon at its receipt.
    pub fn record(&mut self, daemon: u64, wall_ms: u64, now: Timestamp) {
        let offset = wall_ms as i64 - now.as_millis() as i64;
        self.others.insert(daemon, (offset, now));
    }

    /// Computes the median again from this daemon's wall clock and those of the others heard lately.
    pub fn update(&mut self, own_wall: Timestamp, now: Timestamp) {
        self.others.retain(|_, (_, at)| now.since(*at) < OFFSET_TTL);
        let own = own_wall.as_millis() as i64 - now.as_millis() as i64;
        let mut offsets: Vec<i64> = self.others.values().map(|(offset, _)| *offset).collect();
        offsets.push(own);
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        self.median = if offsets.len().is_multiple_of(2) {
            offsets[middle - 1] + (offsets[middle] - offsets[middle - 1]) / 2
        } else {
            offsets[middle]
        };
    }

    /// Returns the true time.
    pub fn true_time(&self, now: Timestamp) -> Timestamp {
        Timestamp::from_millis(now.as_millis().saturating_add_signed(self.median))
    }
}

/// The counts that the leader has got from each daemon.
#[derive(Clone, Debug, Default)]
pub struct CollectedCounts {
    /// Counts by daemon start, of windows that aren't closed.
    starts: HashMap<u64, WindowCounts>,
    /// Requests by daemon start of closed windows.
    closed: BTreeMap<u64, HashMap<u64, u64>>,
}

impl CollectedCounts {
    /// Merges the cumulative counts of one start of a daemon. Returns the number of requests of closed
    /// windows that weren't known, which are lost.
    pub fn merge(&mut self, start: u64, windows: WindowCounts) -> u64 {
        let known = self.starts.entry(start).or_default();
        let mut lost = 0;
        for (window, counts) in windows {
            if let Some(totals) = self.closed.get_mut(&window) {
                let total: u64 = counts.values().sum();
                let before = totals.entry(start).or_default();
                lost += total.saturating_sub(*before);
                *before = total.max(*before);
                continue;
            }
            let known = known.entry(window).or_default();
            for (account, count) in counts {
                // A response may overtake an earlier one, and counts never fall.
                let known = known.entry(account).or_default();
                *known = count.max(*known);
            }
        }
        lost
    }

    /// Returns the sum of the counts of a window over all daemon starts.
    pub fn total(&self, window: u64) -> AccountCounts {
        let mut total = AccountCounts::new();
        for counts in self.starts.values().filter_map(|windows| windows.get(&window)) {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }

    /// Closes a window whose report is stored: later counts of it are lost.
    pub fn close(&mut self, window: u64) {
        let mut totals = HashMap::new();
        for (start, windows) in &mut self.starts {
            if let Some(counts) = windows.remove(&window) {
                totals.insert(*start, counts.values().sum());
            }
        }
        self.closed.entry(window).or_insert(totals);
    }

    /// Removes the windows before `oldest`.
    pub fn remove_before(&mut self, oldest: u64) {
        for windows in self.starts.values_mut() {
            *windows = windows.split_off(&oldest);
        }
        self.starts.retain(|_, windows| !windows.is_empty());
        self.closed = self.closed.split_off(&oldest);
    }
}

/// An era of the key-value service, and a time by which it had begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageEra {
    pub era: u64,
    pub since: Timestamp,
}

impl UsageEra {
    /// Returns the era in which a leader stores reports. `stored` is the record that it has read,
    /// `era` is that of its leader key, `is_first` tells whether no earlier one is known, and
    /// `acquired_at` is the true time at which it acquired the key. The record must be written if it
    /// differs.
    pub fn of_term(stored: Option<Self>, era: u64, is_first: bool, acquired_at: Timestamp) -> Self {
        let since = if is_first { Timestamp::default() } else { acquired_at };
        stored.filter(|stored| stored.era == era).unwrap_or(Self { era, since })
    }

    /// Returns whether no report of a window can have been stored in an earlier era.
    pub fn has_window(&self, window: u64, plan: &WindowPlan) -> bool {
        self.since == Timestamp::default() || plan.end(window) >= self.since + ERA_RESERVE
    }
}

/// A round of questions to all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRound {
    /// True time at which it began.
    pub began_at: Timestamp,
    /// Whether all daemons answered.
    pub is_complete: bool,
}

impl UsageRound {
    /// Returns whether the counts of a window are known as well as they will be: all daemons told them
    /// after its end, or half of the time until the report is due has passed.
    fn has_settled(&self, window: u64, plan: &WindowPlan) -> bool {
        let last_wait = plan.settled(window).max(plan.end(window) + plan.delay / 2);
        self.began_at >= if self.is_complete { plan.settled(window) } else { last_wait }
    }
}

/// What the key-value service is known to keep of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportState {
    /// The report is stored and its bytes are known.
    Stored,
    /// The platform has accepted it.
    Accepted,
}

/// The next step for a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStep {
    Store(u64),
    Send(u64),
    /// The report was of no use before it was accepted.
    Miss(u64),
    /// The window was never stored and is of no use any more.
    Forget(u64),
}

/// Returns the steps for the windows, oldest first. `states` has the windows whose stored bytes this
/// daemon knows, and `round` is the last round of questions.
pub fn steps(
    plan: &WindowPlan,
    era: UsageEra,
    states: &BTreeMap<u64, ReportState>,
    round: Option<UsageRound>,
    now: Timestamp,
) -> Vec<ReportStep> {
    let mut steps = Vec::new();
    for (window, state) in states {
        match state {
            ReportState::Stored if plan.is_useful(*window, now) => {
                steps.push(ReportStep::Send(*window));
            }
            ReportState::Stored => steps.push(ReportStep::Miss(*window)),
            ReportState::Accepted if !plan.is_useful(*window, now) => {
                steps.push(ReportStep::Forget(*window));
            }
            ReportState::Accepted => {}
        }
    }
    let Some(round) = round else {
        return steps;
    };
    let mut unstored = Vec::new();
    for window in plan.oldest_useful(now)..plan.window(now) {
        let is_settled = round.has_settled(window, plan);
        let may_be_stored = era.has_window(window, plan) && plan.is_useful(window, now);
        if is_settled && may_be_stored && !states.contains_key(&window) {
            unstored.push(ReportStep::Store(window));
        }
    }
    unstored.extend(steps);
    unstored
}
