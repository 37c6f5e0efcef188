//! A retry budget, so that retries don't overload a slow fleet further.
//!
//! Retries are granted as a share of the first attempts in about the last minute. A small
//! minimum lets a service with little traffic retry the requests that a crash interrupted.
//! It isn't added to the share; the larger of the two applies.

use std::time::Duration;

use crate::time::Timestamp;

/// Number of retries that are always granted in each window, however low the traffic is.
pub const MIN_RETRIES: u64 = 32;
/// Time for which attempts count. The window consists of two halves.
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
    previous: AttemptCount,
    current: AttemptCount,
    started_at: Timestamp,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.advance_window(now);
        self.current.first += 1;
    }

    /// Grants and counts a retry, unless the budget is spent.
    pub fn try_acquire(&mut self, share: f64, now: Timestamp) -> bool {
        self.advance_window(now);
        let first = self.previous.first + self.current.first;
        let retries = self.previous.retries + self.current.retries;
        let allowed = ((first as f64 * share) as u64).max(MIN_RETRIES);
        if retries >= allowed {
            return false;
        }
        self.current.retries += 1;
        true
    }

    fn advance_window(&mut self, now: Timestamp) {
        let age = now.since(self.started_at);
        if age < RETRY_WINDOW / 2 {
            return;
        }
        let is_next = age < RETRY_WINDOW;
        self.previous = if is_next { self.current } else { AttemptCount::default() };
        self.current = AttemptCount::default();
        self.started_at = now;
    }
}
