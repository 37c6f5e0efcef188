//! Rates that the platform allows.

use std::time::Duration;

use gooseberry_core::time::Timestamp;

/// Allows a number of calls a second, with a burst of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    available: f64,
    updated: Timestamp,
}

impl RateLimit {
    /// Makes a limit whose burst is unused.
    pub fn new(per_second: u32, now: Timestamp) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, available: per_second, updated: now }
    }

    /// Takes one call if the rate allows it.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Takes one call and returns how long it has to wait.
    pub fn reserve(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        self.available -= 1.0;
        if self.available >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.available / self.per_second)
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.updated).as_secs_f64() * self.per_second;
        self.available = (self.available + gained).min(self.per_second.max(1.0));
        self.updated = now;
    }
}
