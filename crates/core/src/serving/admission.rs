//! Whether a request is sent now or refused.
//!
//! Answers the load of more prompt tokens than the engines can read: a request
//! that will have its first event on time is sent. One that would be late is
//! sent only where almost nothing waits, so that it makes no others late, and
//! is refused at once otherwise, with the time after which there is likely to
//! be room. Holding such requests at the daemon served fewer callers: they
//! took up the room of those that came after them and were late anyway.

use std::time::Duration;

use crate::serving::placement::Placement;

/// Part of the objective that the estimate may fill: estimates err.
const OBJECTIVE_SHARE: f64 = 0.95;
/// Wait at an engine up to which a late request is sent.
const LATE_WAIT_MS: f64 = 60.0;
/// Time that must be left for the output after the first event.
const OUTPUT_MS: f64 = 800.0;
/// Bounds of what a refused caller is told to wait.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (200.0, 2000.0);

/// What is known of a request when it is judged.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time within which the first event is on time.
    pub objective: Duration,
    /// Time since the request came.
    pub waited: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
}

/// Says what becomes of a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    Send,
    /// Refused with the time after which there may be room.
    Refuse {
        retry_after: Duration,
    },
}

/// Returns the longest time to the first event with which a request is on time.
pub fn latest_first_event_ms(request: &AdmissionRequest) -> f64 {
    let objective_ms = request.objective.as_secs_f64() * 1000.0;
    objective_ms * OBJECTIVE_SHARE - request.waited.as_secs_f64() * 1000.0
}

/// Judges a request by the best placement that it can have.
pub fn decide(request: AdmissionRequest, placement: &Placement) -> AdmissionVerdict {
    let left_ms = request.time_left.as_secs_f64() * 1000.0;
    let retry_after = retry_after(placement.wait_ms);
    if placement.first_event_ms - placement.wait_ms + OUTPUT_MS > left_ms {
        return AdmissionVerdict::Refuse { retry_after };
    }
    if placement.first_event_ms <= latest_first_event_ms(&request) {
        return AdmissionVerdict::Send;
    }
    if placement.wait_ms <= LATE_WAIT_MS {
        return AdmissionVerdict::Send;
    }
    AdmissionVerdict::Refuse { retry_after }
}

/// Returns when a refused caller may come back.
pub fn retry_after(wait_ms: f64) -> Duration {
    let (least, most) = RETRY_AFTER_BOUNDS_MS;
    Duration::from_millis(wait_ms.clamp(least, most) as u64)
}
