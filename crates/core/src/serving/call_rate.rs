//! Limits calls to the rate that another system accepts from all daemons together.
//!
//! The load is a burst of calls after each renewal of the leader's lease. How the other system counts
//! isn't known, so no interval of a second has more calls than it accepts in one.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// Length of the interval in which calls are counted, at rates from 1 per second.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time by which calls may arrive closer together than they were sent.
const JITTER: Duration = Duration::from_millis(100);

/// Times of the recent calls.
#[derive(Clone, Debug)]
pub struct CallRate {
    /// Calls that an interval may have.
    limit: usize,
    interval: Duration,
    recent: VecDeque<Timestamp>,
}

impl CallRate {
    /// Creates a limit of a number of calls per second. A rate that isn't positive allows no calls.
    pub fn new(per_second: f64) -> Self {
        let is_slow = per_second < 1.0;
        let limit = if is_slow { 1.0 } else { per_second };
        let interval = Duration::try_from_secs_f64(limit / per_second).unwrap_or(Duration::MAX);
        let interval = if is_slow { interval } else { INTERVAL };
        let limit = if per_second > 0.0 { limit as usize } else { 0 };
        Self { limit, interval, recent: VecDeque::new() }
    }

    /// Counts a call if the rate allows it now, and returns whether it does.
    pub fn try_call(&mut self, now: Timestamp) -> bool {
        let span = self.interval.saturating_add(JITTER);
        while self.recent.front().is_some_and(|at| now.since(*at) >= span) {
            self.recent.pop_front();
        }
        let is_allowed = self.recent.len() < self.limit;
        if is_allowed {
            self.recent.push_back(now);
        }
        is_allowed
    }
}
