//! Detects engines that send reports and make no progress.
//!
//! A stuck engine may still send reports, even ones that show it idle, so the arrival
//! of reports proves nothing. The counter of batch steps in them shows the progress: if it
//! doesn't change for [`STALL_TIMEOUT`], during which requests of this daemon were
//! outstanding, the engine is stuck.

use std::time::Duration;

use crate::time::Timestamp;

/// Time without a step, with requests outstanding, after which an engine counts as stuck.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a stuck engine without outstanding requests is tried again.
pub const PROBE_DELAY: Duration = Duration::from_secs(5);

/// Holds the progress of an engine according to a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressReport {
    pub incarnation: u64,
    /// Batch steps completed since the engine's start.
    pub steps: u64,
    /// Time at which the engine made the report.
    pub made_at: Timestamp,
    /// Requests of this daemon that are outstanding at the engine.
    pub outstanding: u32,
}

/// Tracks the progress of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last: Option<ProgressReport>,
    /// Time of the report since which no step was made although requests were outstanding.
    no_step_since: Timestamp,
    stuck_at: Option<Timestamp>,
}

impl StallDetector {
    /// Applies a load report.
    pub fn observe(&mut self, report: ProgressReport, now: Timestamp) {
        let last = self.last.replace(report);
        let made_step = last.is_none_or(|last| {
            last.incarnation != report.incarnation || last.steps != report.steps
        });
        if made_step {
            self.stuck_at = None;
        }
        if made_step || report.outstanding == 0 {
            self.no_step_since = report.made_at;
        } else if report.made_at.since(self.no_step_since) >= STALL_TIMEOUT {
            self.stuck_at = Some(now);
        }
    }

    /// Tells whether the engine is stuck.
    ///
    /// An engine without outstanding requests is tried again after [`PROBE_DELAY`].
    pub fn is_stuck(&self, now: Timestamp) -> bool {
        self.stuck_at.is_some_and(|since| now.since(since) < PROBE_DELAY)
    }
}
