//! Passive health checks: whether an engine gets requests, based on the outcomes of the last ones.
//!
//! Active health checks can report a wrong state and each one costs a call, so request outcomes
//! decide. After a few failures the circuit breaker opens for a cooldown, in which the engine gets
//! no requests. Each cooldown is twice as long as the one before, up to a limit. After the cooldown
//! the engine gets requests again, and while the share of failures is high, one more failure starts
//! the next cooldown.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the newest outcome in the moving average of the share of failures.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Share of failures from which a failure starts a cooldown.
const FAILURE_SHARE_LIMIT: f64 = 0.45;
/// First cooldown.
const INITIAL_COOLDOWN: Duration = Duration::from_millis(800);
/// Longest cooldown.
const MAX_COOLDOWN: Duration = Duration::from_millis(3200);

/// Request outcomes of one engine, with its circuit breaker.
#[derive(Clone, Debug)]
pub struct EngineHealth {
    failure_share: f64,
    cooldown: Duration,
    cooldown_until: Timestamp,
}

impl Default for EngineHealth {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            cooldown: INITIAL_COOLDOWN,
            cooldown_until: Timestamp::default(),
        }
    }
}

impl EngineHealth {
    /// Records a successful request. Resets the length of the cooldown if few of the last requests
    /// failed.
    pub fn record_success(&mut self) {
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
        if self.failure_share < FAILURE_SHARE_LIMIT / 4.0 {
            self.cooldown = INITIAL_COOLDOWN;
        }
    }

    /// Records a request that the engine failed.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT;
        if self.failure_share >= FAILURE_SHARE_LIMIT {
            self.start_cooldown(now);
        }
    }

    /// Records that the engine is unreachable, and starts its cooldown at once.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        self.failure_share = self.failure_share.max(FAILURE_SHARE_LIMIT);
        self.start_cooldown(now);
    }

    /// Returns whether the engine gets requests now.
    pub fn is_available(&self, now: Timestamp) -> bool {
        now >= self.cooldown_until
    }

    /// Returns the share of failed requests, from 0 to 1, as a moving average.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    fn start_cooldown(&mut self, now: Timestamp) {
        if self.is_available(now) {
            self.cooldown_until = now + self.cooldown;
            self.cooldown = (self.cooldown * 2).min(MAX_COOLDOWN);
        }
    }
}
