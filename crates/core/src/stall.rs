//! Engines that report and do nothing.
//!
//! A stuck engine may go on to report, even that it is idle, so its reports
//! alone prove nothing. Its step counter tells: if it stands still over some
//! time in which work of this daemon was outstanding, the engine is stuck.

use std::time::Duration;

use crate::time::Timestamp;

/// Time without a step, with work outstanding, after which an engine is stuck.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a stuck engine without work is tried again.
pub const PROBE_DELAY: Duration = Duration::from_secs(5);

/// Holds what a load report says of an engine's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressReport {
    pub incarnation: u64,
    pub steps: u64,
    /// Time at which the engine made the report.
    pub made_at: Timestamp,
    /// Requests of this daemon that are outstanding there.
    pub outstanding: u32,
}

/// Watches the progress of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last: Option<ProgressReport>,
    /// Report since which no step was made although work was outstanding.
    still_since: Timestamp,
    stuck_at: Option<Timestamp>,
}

impl StallDetector {
    /// Notes a load report.
    pub fn observe(&mut self, report: ProgressReport, now: Timestamp) {
        let last = self.last.replace(report);
        let moved = last.is_none_or(|last| {
            last.incarnation != report.incarnation || last.steps != report.steps
        });
        if moved {
            self.stuck_at = None;
        }
        if moved || report.outstanding == 0 {
            self.still_since = report.made_at;
        } else if report.made_at.since(self.still_since) >= STALL_TIMEOUT {
            self.stuck_at = Some(now);
        }
    }

    /// Tells whether the engine is stuck.
    ///
    /// One that has no work left is tried again after a while.
    pub fn is_stuck(&self, now: Timestamp) -> bool {
        self.stuck_at.is_some_and(|since| now.since(since) < PROBE_DELAY)
    }
}
