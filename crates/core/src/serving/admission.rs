//! Admission control: whether a request is sent now or refused.
//!
//! Prevents overload when callers send more prompt tokens than the engines can prefill. A request
//! whose first event is expected on time is sent. A request that would be late is sent only to an
//! engine with an almost empty queue, so that it delays no other request; otherwise it is refused
//! at once, with a retry-after. Queueing late requests at the daemon serves fewer callers: they use
//! capacity that newer requests need and miss their objective anyway. A request is also refused if
//! its deadline would leave too little time for the output.
//!
//! While a service is contended and the configuration has accounts, the standing of the request's
//! account and its priority limit the queue behind which it is sent, see
//! [`shares`](crate::serving::shares).

use std::time::Duration;

use crate::serving::{placement::Placement, shares::ContendedRequest};

/// Share of the objective that the estimated time to the first event may use. The rest is a margin
/// for estimation errors.
const OBJECTIVE_SHARE: f64 = 0.95;
/// Longest queue time of an engine that still gets late requests.
const LATE_QUEUE_LIMIT_MS: f64 = 60.0;
/// Time that must remain between the first event and the deadline, for the output.
const MIN_OUTPUT_MS: f64 = 800.0;
/// Shortest and longest retry-after of a refusal.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (200.0, 2000.0);
/// Shortest time over which the returns of callers that a contended service refuses are spread.
const MIN_RETURN_SPREAD_MS: f64 = 400.0;

/// Times of a request at its admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time from arrival within which the first event is on time.
    pub objective: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Present if the service is contended and the configuration has accounts.
    pub contention: Option<ContendedRequest>,
}

/// Result of the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    Send,
    /// Refused. There may be capacity after `retry_after`.
    Refuse {
        retry_after: Duration,
    },
}

/// Returns the longest estimated time from now to the first event, in milliseconds, with which the
/// request still meets its objective.
pub fn latest_first_event_ms(request: &AdmissionRequest) -> f64 {
    let objective_ms = request.objective.as_secs_f64() * 1000.0;
    objective_ms * OBJECTIVE_SHARE - request.waited.as_secs_f64() * 1000.0
}

/// Returns whether a request would be late behind a queue.
pub fn is_late(request: &AdmissionRequest, placement: &Placement) -> bool {
    placement.first_event_ms > latest_first_event_ms(request)
        && placement.wait_ms > LATE_QUEUE_LIMIT_MS
}

/// Returns whether a refused request could be served in time if the queue were empty.
pub fn is_queue_refusal(request: &AdmissionRequest, placement: &Placement) -> bool {
    placement.wait_ms > LATE_QUEUE_LIMIT_MS && !exceeds_deadline(request, placement)
}

/// Returns whether a request would have too little time for the output even if the queue were empty.
fn exceeds_deadline(request: &AdmissionRequest, placement: &Placement) -> bool {
    let left_ms = request.time_left.as_secs_f64() * 1000.0;
    placement.first_event_ms - placement.wait_ms + MIN_OUTPUT_MS > left_ms
}

/// Decides whether a request is sent, given its best placement.
///
/// The deadline check leaves out the time in the queue. It refuses only requests that would leave
/// too little time for the output even if the queue were empty.
pub fn decide(request: AdmissionRequest, placement: &Placement) -> AdmissionDecision {
    let left_ms = request.time_left.as_secs_f64() * 1000.0;
    let retry_after = match request.contention {
        Some(contention) => contended_retry_after(&request, placement, &contention),
        None => retry_after(placement.wait_ms),
    };
    if exceeds_deadline(&request, placement) {
        return AdmissionDecision::Refuse { retry_after };
    }
    if placement.wait_ms <= LATE_QUEUE_LIMIT_MS {
        return AdmissionDecision::Send;
    }
    let is_on_time = placement.first_event_ms <= latest_first_event_ms(&request);
    let is_sent = match request.contention {
        Some(contention) => {
            let is_in_share = placement.wait_ms <= wait_limit_ms(&request, &contention);
            let is_allowed_late =
                contention.may_be_late && placement.first_event_ms + MIN_OUTPUT_MS <= left_ms;
            (is_on_time && is_in_share) || is_allowed_late
        }
        None => is_on_time,
    };
    if is_sent {
        AdmissionDecision::Send
    } else {
        AdmissionDecision::Refuse { retry_after }
    }
}

/// Returns the retry-after of a refused request, from the queue time at its best placement.
pub fn retry_after(wait_ms: f64) -> Duration {
    let (min, max) = RETRY_AFTER_BOUNDS_MS;
    Duration::from_millis(wait_ms.clamp(min, max) as u64)
}

/// Returns the longest queue, in milliseconds, behind which a request to a contended service is sent.
fn wait_limit_ms(request: &AdmissionRequest, contention: &ContendedRequest) -> f64 {
    latest_first_event_ms(request).max(0.0) * contention.wait_share
}

/// Returns the retry-after of a request that a contended service refuses: a point in the time from
/// when the queue is short enough for the request to when the refused work can be done. Within the
/// caller's deadline if possible, and never after it.
fn contended_retry_after(
    request: &AdmissionRequest,
    placement: &Placement,
    contention: &ContendedRequest,
) -> Duration {
    let (min, max) = RETRY_AFTER_BOUNDS_MS;
    let earliest = placement.wait_ms - wait_limit_ms(request, contention);
    let earliest = earliest.clamp(min, max - MIN_RETURN_SPREAD_MS);
    let latest = placement.wait_ms + contention.refused_ms;
    let latest = latest.clamp(earliest + MIN_RETURN_SPREAD_MS, max);
    let point_ms = earliest + (latest - earliest) * contention.return_position;
    let left_ms = request.time_left.as_secs_f64() * 1000.0;
    let service_ms = placement.first_event_ms - placement.wait_ms + MIN_OUTPUT_MS;
    let last_ms = if left_ms - service_ms >= min { left_ms - service_ms } else { left_ms };
    Duration::from_millis(point_ms.min(last_ms) as u64)
}
