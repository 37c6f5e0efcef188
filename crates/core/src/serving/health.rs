//! Whether an engine is fit for requests, judged by what became of the last
//! ones.
//!
//! Health checks lie at times and cost a call, so outcomes decide: after a few
//! failures an engine is left alone for a while that doubles, and then gets
//! single requests until one succeeds.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the newest outcome in the moving share of failures.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Share of failures from which an engine is left alone.
const FAILURE_SHARE: f64 = 0.45;
/// First time for which an engine is left alone.
const FIRST_REST: Duration = Duration::from_millis(800);
/// Longest time for which an engine is left alone.
const LONGEST_REST: Duration = Duration::from_millis(3200);

/// Follows the outcomes of one engine.
#[derive(Clone, Debug)]
pub struct EngineHealth {
    failures: f64,
    rest: Duration,
    resting_until: Timestamp,
}

impl Default for EngineHealth {
    fn default() -> Self {
        Self { failures: 0.0, rest: FIRST_REST, resting_until: Timestamp::default() }
    }
}

impl EngineHealth {
    /// Notes a request that ended well.
    pub fn record_success(&mut self) {
        self.failures *= 1.0 - OUTCOME_WEIGHT;
        if self.failures < FAILURE_SHARE / 4.0 {
            self.rest = FIRST_REST;
        }
    }

    /// Notes a request that the engine failed.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures += (1.0 - self.failures) * OUTCOME_WEIGHT;
        if self.failures >= FAILURE_SHARE {
            self.leave_alone(now);
        }
    }

    /// Notes that the engine can't be reached: it is left alone at once.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        self.failures = self.failures.max(FAILURE_SHARE);
        self.leave_alone(now);
    }

    /// Tells whether the engine takes requests now.
    pub fn is_available(&self, now: Timestamp) -> bool {
        now >= self.resting_until
    }

    /// Returns the share of failures among the last requests.
    pub fn failure_share(&self) -> f64 {
        self.failures
    }

    fn leave_alone(&mut self, now: Timestamp) {
        if self.is_available(now) {
            self.resting_until = now + self.rest;
            self.rest = (self.rest * 2).min(LONGEST_REST);
        }
    }
}
