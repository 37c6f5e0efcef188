//! Rate of events, as an exponential moving average.

use std::time::Duration;

use crate::time::Timestamp;

/// Time constant of the average.
pub const AVERAGING_WINDOW: Duration = Duration::from_secs(2);

/// Counts events with a weight that halves about every 1.4 seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    weight: f64,
    updated_at: Timestamp,
}

impl EventRate {
    /// Counts an event.
    pub fn record(&mut self, now: Timestamp) {
        self.record_amount(1.0, now);
    }

    /// Counts an amount, such as of work, in place of an event.
    pub fn record_amount(&mut self, amount: f64, now: Timestamp) {
        self.weight = self.decayed(now) + amount;
        self.updated_at = now;
    }

    /// Returns the events per second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) / AVERAGING_WINDOW.as_secs_f64()
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.weight * (-elapsed / AVERAGING_WINDOW.as_secs_f64()).exp()
    }
}
