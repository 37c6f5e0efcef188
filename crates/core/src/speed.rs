//! How fast an engine works, learned from the answers that it gives.
//!
//! The estimates are moving averages over samples that are clamped to bounds,
//! so that one odd answer, or an engine that is measured while it is stuck,
//! can't drive them to nonsense.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Time for one prompt token before anything is learned.
const DEFAULT_PREFILL: Duration = Duration::from_micros(40);
/// Time between output tokens before anything is learned.
const DEFAULT_DECODE: Duration = Duration::from_millis(10);
/// Bounds of the time for one prompt token.
const PREFILL_BOUNDS: (Duration, Duration) = (Duration::from_nanos(500), Duration::from_millis(2));
/// Bounds of the time between output tokens.
const DECODE_BOUNDS: (Duration, Duration) =
    (Duration::from_micros(100), Duration::from_millis(500));
/// Prompt tokens below which a first token tells nothing of the speed.
const LEAST_PROMPT_TOKENS: u64 = 64;
/// Output tokens below which an answer tells nothing of the speed.
const LEAST_OUTPUT_TOKENS: u32 = 4;
/// A sample moves the average by one part in this many.
const SMOOTHING: u64 = 8;

/// States how fast an engine works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// Time for one prompt token.
    pub prefill_per_token: Duration,
    /// Time between output tokens of one request.
    pub decode_per_token: Duration,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self { prefill_per_token: DEFAULT_PREFILL, decode_per_token: DEFAULT_DECODE }
    }
}

/// Learns the speed of one engine; threads may share it.
#[derive(Debug)]
pub struct SpeedEstimator {
    prefill_nanos: AtomicU64,
    decode_nanos: AtomicU64,
}

impl Default for SpeedEstimator {
    fn default() -> Self {
        let speed = EngineSpeed::default();
        Self {
            prefill_nanos: AtomicU64::new(speed.prefill_per_token.as_nanos() as u64),
            decode_nanos: AtomicU64::new(speed.decode_per_token.as_nanos() as u64),
        }
    }
}

impl SpeedEstimator {
    /// Returns the present estimate.
    pub fn speed(&self) -> EngineSpeed {
        EngineSpeed {
            prefill_per_token: Duration::from_nanos(self.prefill_nanos.load(Ordering::Relaxed)),
            decode_per_token: Duration::from_nanos(self.decode_nanos.load(Ordering::Relaxed)),
        }
    }

    /// Learns from a first token that came after `tokens` prompt tokens, those
    /// of the request and those before it, had been computed.
    pub fn observe_first_token(&self, tokens: u64, span: Duration) {
        if tokens >= LEAST_PROMPT_TOKENS {
            learn(&self.prefill_nanos, span.as_nanos() as u64 / tokens, PREFILL_BOUNDS);
        }
    }

    /// Learns from the time between the first and the last of some tokens.
    pub fn observe_output(&self, tokens: u32, span: Duration) {
        if tokens >= LEAST_OUTPUT_TOKENS {
            let sample = span.as_nanos() as u64 / u64::from(tokens - 1);
            learn(&self.decode_nanos, sample, DECODE_BOUNDS);
        }
    }
}

/// Moves an average towards a sample. A sample that another thread adds at the
/// same time may be lost, which costs nothing but that sample.
fn learn(average: &AtomicU64, sample: u64, bounds: (Duration, Duration)) {
    let sample = sample.clamp(bounds.0.as_nanos() as u64, bounds.1.as_nanos() as u64);
    let old = average.load(Ordering::Relaxed);
    let new = (old * (SMOOTHING - 1) + sample) / SMOOTHING;
    average.store(new, Ordering::Relaxed);
}
