//! Samples of a daemon's counters over several hours.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// Interval of the samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of samples kept, which cover six hours.
pub const KEPT_SAMPLES: usize = 2160;

/// Holds the running totals at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HistorySample {
    pub at: Timestamp,
    pub whole: u64,
    pub refused: u64,
    pub unknown: u64,
    pub failed: u64,
    /// Prompt tokens of complete responses.
    pub prompt_tokens: u64,
    /// Output tokens of complete responses.
    pub output_tokens: u64,
    pub prefill_engines: u32,
    pub decode_engines: u32,
    pub mixed_engines: u32,
}

/// Keeps the newest samples.
#[derive(Clone, Debug, Default)]
pub struct SampleHistory {
    samples: VecDeque<HistorySample>,
}

impl SampleHistory {
    /// Adds a sample and drops the oldest one if there are too many.
    pub fn push(&mut self, sample: HistorySample) {
        if self.samples.len() == KEPT_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the samples, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &HistorySample> {
        self.samples.iter()
    }
}
