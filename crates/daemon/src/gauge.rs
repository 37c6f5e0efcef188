//! Counts of this daemon's requests at one backend server.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use gooseberry_core::{
    fleet::EngineRole,
    sends::{SendNumber, UnreportedSends},
    speed::{EngineSpeed, SpeedEstimator},
    time::Timestamp,
};
use parking_lot::Mutex;

/// Counts this daemon's requests at one backend server.
#[derive(Debug, Default)]
pub struct ServerGauge {
    outstanding: AtomicU32,
    sends: Mutex<UnreportedSends>,
    /// Copies of the sums of `sends`, which routing reads without its lock.
    unreported_requests: AtomicU32,
    unreported_tokens: AtomicU64,
    estimator: SpeedEstimator,
    /// Whether the newest snapshot gives the server no new requests. All snapshots
    /// share the gauge, so that a request with an older snapshot sees the change
    /// too.
    closed: AtomicBool,
}

impl ServerGauge {
    /// Sets whether the server gets no new requests.
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::Release);
    }

    /// Closes the server as it is removed from the tables. Returns `false`, so that
    /// `retain` removes it.
    pub fn close(&self) -> bool {
        self.set_closed(true);
        false
    }

    /// Returns whether the server gets no new requests.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Counts a call to a plain service until the guard is dropped.
    pub fn track_call(self: &Arc<Self>) -> OutstandingGuard {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard { gauge: Arc::clone(self) }
    }

    /// Counts a request to an engine until the timer is dropped.
    pub fn track_request(self: &Arc<Self>, work: SendWork, now: Timestamp) -> SendTimer {
        let number = self.update_sends(|sends| sends.push(work.prompt_tokens, now));
        let per_token = self.estimator.speed().prefill_per_token.as_nanos().max(1);
        let queued_tokens = (work.queue.as_nanos() / per_token) as u64;
        SendTimer {
            number,
            sent_at: now,
            role: work.role,
            tokens_before_first: u64::from(work.uncached_tokens) + queued_tokens,
            first_at: None,
            last_at: now,
            tokens: 0,
            outstanding: self.track_call(),
        }
    }

    /// Returns the number of requests that haven't ended.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Returns the number of requests sent since the last report was made.
    pub fn unreported_requests(&self) -> u32 {
        self.unreported_requests.load(Ordering::Relaxed)
    }

    /// Returns the number of prompt tokens sent since the last report was made.
    pub fn unreported_tokens(&self) -> u64 {
        self.unreported_tokens.load(Ordering::Relaxed)
    }

    /// Returns the estimated speed.
    pub fn speed(&self) -> EngineSpeed {
        self.estimator.speed()
    }

    /// Applies a report, which includes the requests sent before it was made.
    pub fn observe_report(&self, made_at: Timestamp) {
        self.update_sends(|sends| sends.observe_report(made_at));
    }

    fn update_sends<T>(&self, change: impl FnOnce(&mut UnreportedSends) -> T) -> T {
        let mut sends = self.sends.lock();
        let changed = change(&mut sends);
        self.unreported_requests.store(sends.requests(), Ordering::Relaxed);
        self.unreported_tokens.store(sends.tokens(), Ordering::Relaxed);
        changed
    }
}

/// Work that a request brings to an engine.
#[derive(Clone, Copy, Debug)]
pub struct SendWork {
    pub role: EngineRole,
    pub prompt_tokens: u32,
    /// Prompt tokens that aren't in the engine's cache.
    pub uncached_tokens: u32,
    /// Estimated time in the engine's queue.
    pub queue: Duration,
}

/// Counts one request as outstanding until dropped.
#[derive(Debug)]
pub struct OutstandingGuard {
    gauge: Arc<ServerGauge>,
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.gauge.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Tracks one request at an engine, and updates the engine's estimated speed.
#[derive(Debug)]
pub struct SendTimer {
    number: SendNumber,
    sent_at: Timestamp,
    /// Prompt tokens to be computed before the first token, including those of the
    /// queued requests ahead of this one.
    tokens_before_first: u64,
    role: EngineRole,
    first_at: Option<Timestamp>,
    last_at: Timestamp,
    tokens: u32,
    outstanding: OutstandingGuard,
}

impl SendTimer {
    /// Records a token and returns whether it is the first one.
    pub fn observe_token(&mut self, now: Timestamp) -> bool {
        self.tokens += 1;
        self.last_at = now;
        if self.first_at.is_some() {
            return false;
        }
        self.first_at = Some(now);
        let gauge = &self.outstanding.gauge;
        gauge.update_sends(|sends| sends.remove(self.number));
        // An engine is slower at work outside its role, which routing accounts for
        // itself.
        if self.role.prefills() {
            let duration = now.since(self.sent_at);
            gauge.estimator.observe_first_token(self.tokens_before_first, duration);
        }
        true
    }
}

impl Drop for SendTimer {
    fn drop(&mut self) {
        let gauge = &self.outstanding.gauge;
        gauge.update_sends(|sends| sends.remove(self.number));
        if let Some(first_at) = self.first_at.filter(|_| self.role.decodes()) {
            gauge.estimator.observe_output(self.tokens, self.last_at.since(first_at));
        }
    }
}
