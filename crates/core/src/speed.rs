//! Speed of an engine, estimated from its responses.
//!
//! The estimates are moving averages over samples that are clamped to bounds, so that one
//! unusual response, or a sample taken while the engine is stuck, can't make them useless.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Time per prompt token before the first sample.
const DEFAULT_PREFILL: Duration = Duration::from_micros(40);
/// Time between output tokens before the first sample.
const DEFAULT_DECODE: Duration = Duration::from_millis(10);
/// Bounds of the time per prompt token.
const PREFILL_BOUNDS: (Duration, Duration) = (Duration::from_nanos(500), Duration::from_millis(2));
/// Bounds of the time between output tokens.
const DECODE_BOUNDS: (Duration, Duration) =
    (Duration::from_micros(100), Duration::from_millis(500));
/// Minimum number of prompt tokens of a sample; fewer don't show the speed.
const MIN_PROMPT_TOKENS: u64 = 64;
/// Minimum number of output tokens of a sample; fewer don't show the speed.
const MIN_OUTPUT_TOKENS: u32 = 4;
/// Each sample moves the average by their difference divided by this.
const SMOOTHING_DIVISOR: u64 = 8;

/// States the speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// Time per prompt token.
    pub prefill_per_token: Duration,
    /// Time between output tokens of one request.
    pub decode_per_token: Duration,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self { prefill_per_token: DEFAULT_PREFILL, decode_per_token: DEFAULT_DECODE }
    }
}

/// Estimates the speed of one engine; threads may share it.
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
    /// Returns the current estimate.
    pub fn speed(&self) -> EngineSpeed {
        EngineSpeed {
            prefill_per_token: Duration::from_nanos(self.prefill_nanos.load(Ordering::Relaxed)),
            decode_per_token: Duration::from_nanos(self.decode_nanos.load(Ordering::Relaxed)),
        }
    }

    /// Adds the sample of a first token, which was generated after `tokens` prompt tokens had
    /// been prefilled: those of the request and those queued before it.
    pub fn observe_first_token(&self, tokens: u64, duration: Duration) {
        if tokens >= MIN_PROMPT_TOKENS {
            update_average(
                &self.prefill_nanos,
                duration.as_nanos() as u64 / tokens,
                PREFILL_BOUNDS,
            );
        }
    }

    /// Adds the sample of the time between the first and the last of `tokens` output tokens.
    pub fn observe_output(&self, tokens: u32, duration: Duration) {
        if tokens >= MIN_OUTPUT_TOKENS {
            let sample = duration.as_nanos() as u64 / u64::from(tokens - 1);
            update_average(&self.decode_nanos, sample, DECODE_BOUNDS);
        }
    }
}

/// Moves an average towards a sample. If two threads add samples at the same time, one of
/// them may be lost, which has no other effect.
fn update_average(average: &AtomicU64, sample: u64, bounds: (Duration, Duration)) {
    let sample = sample.clamp(bounds.0.as_nanos() as u64, bounds.1.as_nanos() as u64);
    let old = average.load(Ordering::Relaxed);
    let new = (old * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR;
    average.store(new, Ordering::Relaxed);
}
