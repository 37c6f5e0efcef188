//! This daemon's share of the retry budget of the whole system.
//!
//! In any window the budget allows a fixed ratio of the requests, plus a fixed number (the slack).
//! The ratio needs no coordination, because each daemon counts its own requests. The slack is
//! divided by the number of known daemons.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// Share of the budget that daemons use. The rest is a margin that keeps them within the budget
/// while they disagree on the number of daemons.
const USED_SHARE: f64 = 0.6;

/// Retry budget of the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    pub window: Duration,
    /// Retries in each window that are allowed at any request rate.
    pub slack: u32,
}

/// Counts the requests and retries of one service at one daemon.
#[derive(Clone, Debug, Default)]
pub struct RetryCounter {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryCounter {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, window: Duration, now: Timestamp) {
        remove_expired(&mut self.requests, window, now);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true, or returns false if this daemon's share of the budget is
    /// spent.
    pub fn try_retry(&mut self, allowance: RetryAllowance, daemons: u32, now: Timestamp) -> bool {
        remove_expired(&mut self.requests, allowance.window, now);
        remove_expired(&mut self.retries, allowance.window, now);
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

fn remove_expired(times: &mut VecDeque<Timestamp>, window: Duration, now: Timestamp) {
    while times.front().is_some_and(|time| now.since(*time) >= window) {
        times.pop_front();
    }
}
