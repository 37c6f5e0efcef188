//! Demand for a model, smoothed over a short and a long window.

use std::{collections::VecDeque, time::Duration};

use crate::{roles::utility::TokenDemand, time::Timestamp};

/// Time constant of the short window.
const SHORT_WINDOW: Duration = Duration::from_secs(5);
/// Time constant of the long window.
const LONG_WINDOW: Duration = Duration::from_secs(30);
/// Time between kept samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);
/// Samples kept: ten minutes.
const KEPT_SAMPLES: usize = 60;

/// Follows the demand for one model.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    short: TokenDemand,
    long: TokenDemand,
    samples: VecDeque<TokenDemand>,
    first_seen_at: Option<Timestamp>,
    seen_at: Option<Timestamp>,
    sampled_at: Option<Timestamp>,
}

impl DemandEstimator {
    /// Adds what was asked for since the last call.
    pub fn observe(&mut self, now: Timestamp, demand: TokenDemand) {
        match self.seen_at {
            None => {
                self.short = demand;
                self.long = demand;
            }
            Some(seen_at) => {
                let span = now.since(seen_at);
                self.short = blend(self.short, demand, weight(span, SHORT_WINDOW));
                self.long = blend(self.long, demand, weight(span, LONG_WINDOW));
            }
        }
        self.seen_at = Some(now);
        self.first_seen_at.get_or_insert(now);
        self.sample(now);
    }

    /// Tells whether demand has been seen for long enough to plan for it.
    pub fn has_enough_data(&self) -> bool {
        let span = self.first_seen_at.zip(self.seen_at).map(|(first, last)| last.since(first));
        span.is_some_and(|span| span >= SHORT_WINDOW * 2)
    }

    /// Returns the demand over the short window.
    pub fn short(&self) -> TokenDemand {
        self.short
    }

    /// Returns the demand over the long window.
    pub fn long(&self) -> TokenDemand {
        self.long
    }

    /// Visits the kept samples, oldest first.
    pub fn samples(&self) -> impl ExactSizeIterator<Item = TokenDemand> + '_ {
        self.samples.iter().copied()
    }

    fn sample(&mut self, now: Timestamp) {
        if self.sampled_at.is_some_and(|at| now.since(at) < SAMPLE_INTERVAL) {
            return;
        }
        self.sampled_at = Some(now);
        self.samples.push_back(self.short);
        if self.samples.len() > KEPT_SAMPLES {
            self.samples.pop_front();
        }
    }
}

/// Returns the weight of a new value that stands for a span.
fn weight(span: Duration, window: Duration) -> f64 {
    1.0 - (-span.as_secs_f64() / window.as_secs_f64()).exp()
}

fn blend(old: TokenDemand, new: TokenDemand, weight: f64) -> TokenDemand {
    TokenDemand {
        prompt: old.prompt + (new.prompt - old.prompt) * weight,
        output: old.output + (new.output - old.output) * weight,
    }
}
