//! A budget for retries, so that a slow fleet isn't made slower by them.
//!
//! Retries are granted as a share of the first attempts of the last minute. A
//! small floor lets a service with little traffic survive a crash; it counts
//! within the share, not on top of it.

use std::time::Duration;

use crate::time::Timestamp;

/// Retries that each window grants whatever the traffic.
pub const MIN_RETRIES: u64 = 32;
/// Time for which attempts count, in two halves.
pub const RETRY_WINDOW: Duration = Duration::from_secs(60);

/// Counts the attempts of half a window.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCount {
    first: u64,
    retries: u64,
}

/// Grants retries of one service at one daemon.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    earlier: AttemptCount,
    current: AttemptCount,
    started: Timestamp,
}

impl RetryBudget {
    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.roll(now);
        self.current.first += 1;
    }

    /// Grants a retry and counts it, unless the budget is spent.
    pub fn try_acquire(&mut self, share: f64, now: Timestamp) -> bool {
        self.roll(now);
        let first = self.earlier.first + self.current.first;
        let retries = self.earlier.retries + self.current.retries;
        let granted = ((first as f64 * share) as u64).max(MIN_RETRIES);
        if retries >= granted {
            return false;
        }
        self.current.retries += 1;
        true
    }

    fn roll(&mut self, now: Timestamp) {
        let age = now.since(self.started);
        if age < RETRY_WINDOW / 2 {
            return;
        }
        let is_next = age < RETRY_WINDOW;
        self.earlier = if is_next { self.current } else { AttemptCount::default() };
        self.current = AttemptCount::default();
        self.started = now;
    }
}
