//! Token buckets: a rate with a bounded burst.

use std::time::Duration;

use crate::time::Timestamp;

/// Allows amounts at a rate; its level is bounded by the burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Units for each second.
    rate: f64,
    /// Seconds of the rate that may be saved up.
    burst: Duration,
    level: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn full(rate: f64, burst: Duration, now: Timestamp) -> Self {
        Self { rate, burst, level: rate * burst.as_secs_f64(), filled_at: now }
    }

    /// Changes the rate from now on; what exceeds the new burst is lost.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(self.capacity());
    }

    /// Takes an amount in any case; the level may become negative.
    pub fn charge(&mut self, amount: f64, now: Timestamp) {
        self.fill(now);
        self.level = (self.level - amount).min(self.capacity());
    }

    /// Returns the time after which the bucket is no longer in debt.
    pub fn time_until_available(&mut self, now: Timestamp) -> Duration {
        if self.is_available(now) {
            return Duration::ZERO;
        }
        if self.rate <= 0.0 {
            return Duration::MAX;
        }
        let span = Duration::try_from_secs_f64(-self.level / self.rate);
        // An empty bucket has room only after some time, however short.
        span.unwrap_or(Duration::MAX).max(Duration::from_millis(1))
    }

    /// Tells whether the bucket isn't in debt.
    pub fn is_available(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        self.level > 0.0
    }

    fn capacity(&self) -> f64 {
        self.rate * self.burst.as_secs_f64()
    }

    fn fill(&mut self, now: Timestamp) {
        let gained = self.rate * now.since(self.filled_at).as_secs_f64();
        // A clock that steps back must not fill the same time twice.
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + gained).min(self.capacity());
    }
}
