//! Rate limits of the platform's calls.

use std::time::Duration;

use gooseberry_core::time::Timestamp;

/// Token bucket that allows a number of calls per second, with a burst of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    available: f64,
    updated: Timestamp,
}

impl RateLimit {
    /// Makes a limit with a full bucket.
    pub fn new(per_second: u32, now: Timestamp) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, available: per_second, updated: now }
    }

    /// Acquires one call; returns `false` if the rate doesn't allow it.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Reserves one call and returns the time it has to wait.
    pub fn reserve(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        self.available -= 1.0;
        if self.available >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.available / self.per_second)
    }

    fn refill(&mut self, now: Timestamp) {
        let refilled = now.since(self.updated).as_secs_f64() * self.per_second;
        self.available = (self.available + refilled).min(self.per_second.max(1.0));
        self.updated = now;
    }
}
