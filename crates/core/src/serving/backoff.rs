//! How soon a call that failed is made again.
//!
//! Answers an outage of a dependency that all daemons call: each call costs it
//! work and is paid for, so the pauses grow and differ between daemons.

use std::time::Duration;

/// Part of a pause by which daemons differ.
const SPREAD: f64 = 0.3;

/// Spaces the calls of one task.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    first: Duration,
    longest: Duration,
    next: Duration,
    /// Place of this daemon among others, from 0 to 1.
    place: f64,
}

impl RetryBackoff {
    /// Makes a pace whose pauses grow from `first` to `longest`. `daemon` is a
    /// hash that differs between daemons.
    pub fn new(first: Duration, longest: Duration, daemon: u64) -> Self {
        Self { first, longest, next: first, place: daemon as f64 / u64::MAX as f64 }
    }

    /// Notes a call that failed and returns the pause before the next one.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next.mul_f64(1.0 - SPREAD * self.place);
        self.next = (self.next * 2).min(self.longest);
        pause
    }

    /// Notes a call that was answered.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
