//! How often something happens, as an average over the last seconds.

use std::time::Duration;

use crate::time::Timestamp;

/// Time over which the average is taken.
const SPAN: Duration = Duration::from_secs(2);

/// Counts events with a weight that halves about each one and a half seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    weight: f64,
    updated_at: Timestamp,
}

impl EventRate {
    /// Counts an event.
    pub fn record(&mut self, now: Timestamp) {
        self.weight = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the events a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) / SPAN.as_secs_f64()
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.weight * (-passed / SPAN.as_secs_f64()).exp()
    }
}
