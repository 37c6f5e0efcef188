//! Load reports that become visible after a lag.

use std::{collections::VecDeque, time::Duration};

use gooseberry_core::time::Timestamp;
use gooseberry_wire::engine::LoadReport;

/// Reports that are younger than the lag, and the newest of the older ones.
#[derive(Debug)]
pub struct ReportHistory {
    lag: Duration,
    reports: VecDeque<(Timestamp, LoadReport)>,
}

impl ReportHistory {
    /// Makes an empty history.
    pub fn new(lag: Duration) -> Self {
        Self { lag, reports: VecDeque::new() }
    }

    /// Adds a report and removes those that no client can see any more.
    pub fn push(&mut self, now: Timestamp, report: LoadReport) {
        self.reports.push_back((now, report));
        let visible = now - self.lag;
        while self.reports.get(1).is_some_and(|(made_at, _)| *made_at <= visible) {
            self.reports.pop_front();
        }
    }

    /// Returns the report that clients see now.
    pub fn visible(&self) -> Option<&LoadReport> {
        self.reports.front().map(|(_, report)| report)
    }
}
