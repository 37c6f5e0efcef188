//! Exponential backoff with jitter for failed calls.
//!
//! During an outage of a dependency that all daemons call, each call adds load to the dependency
//! and is billed. So the delays grow, and they differ between daemons.

use std::time::Duration;

/// Largest share of a delay that the jitter removes.
const JITTER_SHARE: f64 = 0.3;

/// Backoff of the calls of one task.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    first: Duration,
    longest: Duration,
    next: Duration,
    /// Fixed jitter of this daemon, from 0 to 1.
    jitter: f64,
}

impl RetryBackoff {
    /// Creates a backoff whose delays grow from `first` to `longest`. `daemon` is a hash that
    /// differs between daemons.
    pub fn new(first: Duration, longest: Duration, daemon: u64) -> Self {
        Self { first, longest, next: first, jitter: daemon as f64 / u64::MAX as f64 }
    }

    /// Records a failed call and returns the delay before the next one.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next.mul_f64(1.0 - JITTER_SHARE * self.jitter);
        self.next = (self.next * 2).min(self.longest);
        delay
    }

    /// Records a successful call, which resets the delay.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
