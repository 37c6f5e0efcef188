//! Passive health checks: whether an engine gets requests, based on the outcomes of the last ones.
//!
//! Active health checks can report a wrong state and each one costs a call, so request outcomes
//! decide. After a few failures the circuit breaker opens for a cooldown that doubles each time.
//! After the cooldown the engine gets single requests until one succeeds.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Share of failures from which an engine gets no requests.
const FAILURE_SHARE: f64 = 0.45;
/// First cooldown.
const FIRST_REST: Duration = Duration::from_millis(800);
/// Longest cooldown.
const LONGEST_REST: Duration = Duration::from_millis(3200);

/// Request outcomes of one engine, with its circuit breaker.
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
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.failures *= 1.0 - OUTCOME_WEIGHT;
        if self.failures < FAILURE_SHARE / 4.0 {
            self.rest = FIRST_REST;
        }
    }

    /// Records a request that the engine failed.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures += (1.0 - self.failures) * OUTCOME_WEIGHT;
        if self.failures >= FAILURE_SHARE {
            self.leave_alone(now);
        }
    }

    /// Records that the engine is unreachable, and starts its cooldown at once.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        self.failures = self.failures.max(FAILURE_SHARE);
        self.leave_alone(now);
    }

    /// Returns whether the engine gets requests now.
    pub fn is_available(&self, now: Timestamp) -> bool {
        now >= self.resting_until
    }

    /// Returns the moving average of failures, from 0 to 1.
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
