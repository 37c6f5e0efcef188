//! Demand for a model, as moving averages over a short and a long window.

use std::{collections::VecDeque, time::Duration};

use crate::{roles::utility::TokenDemand, time::Timestamp};

/// Time constant of the short window.
const SHORT_WINDOW: Duration = Duration::from_secs(5);
/// Time constant of the long window.
const LONG_WINDOW: Duration = Duration::from_secs(30);
/// Interval of the kept samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of samples kept, which cover ten minutes.
const SAMPLE_LIMIT: usize = 60;

/// Tracks the demand for one model.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    short: TokenDemand,
    long: TokenDemand,
    samples: VecDeque<TokenDemand>,
    first_observed_at: Option<Timestamp>,
    observed_at: Option<Timestamp>,
    sampled_at: Option<Timestamp>,
}

impl DemandEstimator {
    /// Adds the demand since the last call, in tokens per second.
    pub fn observe(&mut self, now: Timestamp, demand: TokenDemand) {
        match self.observed_at {
            None => {
                self.short = demand;
                self.long = demand;
            }
            Some(observed_at) => {
                let duration = now.since(observed_at);
                self.short = interpolate(self.short, demand, weight(duration, SHORT_WINDOW));
                self.long = interpolate(self.long, demand, weight(duration, LONG_WINDOW));
            }
        }
        self.observed_at = Some(now);
        self.first_observed_at.get_or_insert(now);
        self.add_sample(now);
    }

    /// Tells whether demand has been observed for long enough to plan for it.
    pub fn has_enough_data(&self) -> bool {
        let duration =
            self.first_observed_at.zip(self.observed_at).map(|(first, last)| last.since(first));
        duration.is_some_and(|duration| duration >= SHORT_WINDOW * 2)
    }

    /// Returns the average over the short window.
    pub fn short(&self) -> TokenDemand {
        self.short
    }

    /// Returns the average over the long window.
    pub fn long(&self) -> TokenDemand {
        self.long
    }

    /// Returns the kept samples, oldest first.
    pub fn samples(&self) -> impl ExactSizeIterator<Item = TokenDemand> + '_ {
        self.samples.iter().copied()
    }

    fn add_sample(&mut self, now: Timestamp) {
        if self.sampled_at.is_some_and(|at| now.since(at) < SAMPLE_INTERVAL) {
            return;
        }
        self.sampled_at = Some(now);
        self.samples.push_back(self.short);
        if self.samples.len() > SAMPLE_LIMIT {
            self.samples.pop_front();
        }
    }
}

/// Returns the weight of a new value that covers a duration.
fn weight(duration: Duration, window: Duration) -> f64 {
    1.0 - (-duration.as_secs_f64() / window.as_secs_f64()).exp()
}

fn interpolate(old: TokenDemand, new: TokenDemand, weight: f64) -> TokenDemand {
    TokenDemand {
        prompt: old.prompt + (new.prompt - old.prompt) * weight,
        output: old.output + (new.output - old.output) * weight,
    }
}
