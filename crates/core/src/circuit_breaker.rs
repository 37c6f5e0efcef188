//! Refusal at once while an outside service is down.

use std::time::Duration;

use crate::time::Timestamp;

/// Time between two probes of a service that failed.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Lets calls through while a service works, and probes while it doesn't.
///
/// Without it each caller would wait out the timeout of a silent service.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    /// Time of the next probe, if the last call failed.
    next_probe: Option<Timestamp>,
}

impl CircuitBreaker {
    /// Tells whether a call may go out now; while the service is down, one
    /// call in each [`PROBE_INTERVAL`] may.
    pub fn allows_call(&mut self, now: Timestamp) -> bool {
        match self.next_probe {
            Some(probe) if now < probe => false,
            Some(_) => {
                self.next_probe = Some(now + PROBE_INTERVAL);
                true
            }
            None => true,
        }
    }

    /// Notes that the service answered.
    pub fn record_success(&mut self) {
        self.next_probe = None;
    }

    /// Notes that a call failed.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.next_probe = Some(now + PROBE_INTERVAL);
    }
}
