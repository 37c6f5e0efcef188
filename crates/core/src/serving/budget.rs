//! The share of one daemon in the retry budget of the whole system.
//!
//! The budget allows, in any window, a share of the requests and some slack on
//! top. The share needs no agreement, because each daemon counts its own
//! requests; the slack is divided by the number of living daemons.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// Part of the budget that is used, so that daemons that disagree on their
/// number don't pass it together.
const USED_SHARE: f64 = 0.6;

/// What the system as a whole may spend on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each request.
    pub ratio: f64,
    pub window: Duration,
    /// Retries of a window whatever the traffic.
    pub slack: u32,
}

/// Counts the requests and retries of one service at one daemon.
#[derive(Clone, Debug, Default)]
pub struct RetryCounter {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryCounter {
    /// Counts a caller's request.
    pub fn record_request(&mut self, window: Duration, now: Timestamp) {
        trim(&mut self.requests, window, now);
        self.requests.push_back(now);
    }

    /// Grants a retry and counts it, unless this daemon's share is spent.
    pub fn try_retry(&mut self, allowance: RetryAllowance, daemons: u32, now: Timestamp) -> bool {
        trim(&mut self.requests, allowance.window, now);
        trim(&mut self.retries, allowance.window, now);
        let share = self.requests.len() as f64 * allowance.ratio;
        let slack = f64::from(allowance.slack) / f64::from(daemons.max(1));
        let granted = (share + slack) * USED_SHARE;
        if (self.retries.len() as f64) + 1.0 > granted {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn trim(times: &mut VecDeque<Timestamp>, window: Duration, now: Timestamp) {
    while times.front().is_some_and(|time| now.since(*time) >= window) {
        times.pop_front();
    }
}
