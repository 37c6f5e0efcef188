//! Requested tokens, summed by model.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use gooseberry_core::{fleet::FleetTable, prefix, roles::ModelDemand, time::Timestamp};
use gooseberry_wire::{
    engine::CompletionRequest,
    peer::{DemandRow, PeerHello},
};
use parking_lot::RwLock;
use smol_str::SmolStr;

/// Window over which rates are computed. It covers several heartbeats.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Counts the tokens requested from this daemon since its start.
#[derive(Debug, Default)]
pub struct DemandMeter {
    models: RwLock<HashMap<SmolStr, Arc<ModelMeter>>>,
}

#[derive(Debug, Default)]
struct ModelMeter {
    prompt_tokens: AtomicU64,
    output_tokens: AtomicU64,
}

impl DemandMeter {
    /// Counts the tokens of a request.
    pub fn count(&self, request: &CompletionRequest) {
        let meter = self.meter(&request.model);
        let prompt = u64::from(prefix::count_tokens(&request.prompt));
        meter.prompt_tokens.fetch_add(prompt, Ordering::Relaxed);
        meter.output_tokens.fetch_add(u64::from(request.max_tokens), Ordering::Relaxed);
    }

    fn meter(&self, model: &str) -> Arc<ModelMeter> {
        if let Some(meter) = self.models.read().get(model) {
            return Arc::clone(meter);
        }
        Arc::clone(self.models.write().entry(model.into()).or_default())
    }

    /// Returns the sums of all models, for the heartbeat.
    pub fn rows(&self) -> Vec<DemandRow> {
        let models = self.models.read();
        let rows = models.iter().map(|(model, meter)| DemandRow {
            model: model.to_string(),
            prompt_tokens: meter.prompt_tokens.load(Ordering::Relaxed),
            output_tokens: meter.output_tokens.load(Ordering::Relaxed),
        });
        rows.collect()
    }
}

/// Computes rates from the sums in the daemons' heartbeats.
#[derive(Debug, Default)]
pub struct DemandRates {
    sources: HashMap<DemandSource, VecDeque<DemandSample>>,
}

/// Process and model of a series of samples.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DemandSource {
    daemon: String,
    incarnation: u64,
    model: String,
}

#[derive(Clone, Copy, Debug)]
struct DemandSample {
    at: Timestamp,
    prompt_tokens: u64,
    output_tokens: u64,
}

impl DemandRates {
    /// Adds the sums of a daemon.
    pub fn observe(&mut self, hello: &PeerHello, now: Timestamp) {
        for row in &hello.demand {
            let source = DemandSource {
                daemon: hello.daemon.clone(),
                incarnation: hello.incarnation,
                model: row.model.clone(),
            };
            let samples = self.sources.entry(source).or_default();
            samples.push_back(DemandSample {
                at: now,
                prompt_tokens: row.prompt_tokens,
                output_tokens: row.output_tokens,
            });
        }
    }

    /// Returns the rates of all models over the last `RATE_WINDOW`.
    pub fn demand(&mut self, fleet: &FleetTable, now: Timestamp) -> Vec<ModelDemand> {
        self.sources.retain(|_, samples| {
            while samples.front().is_some_and(|sample| now.since(sample.at) > RATE_WINDOW) {
                samples.pop_front();
            }
            !samples.is_empty()
        });
        let models = fleet.models.iter();
        models
            .map(|(model, row)| {
                let sources = self.sources.iter().filter(|(source, _)| source.model == row.name);
                let rates = sources.map(|(_, samples)| rates(samples));
                let (prompt, output) =
                    rates.fold((0.0, 0.0), |sum, rate| (sum.0 + rate.0, sum.1 + rate.1));
                ModelDemand {
                    model,
                    prompt_tokens_per_second: prompt,
                    output_tokens_per_second: output,
                }
            })
            .collect()
    }
}

/// Returns prompt and output tokens per second between the first and the last
/// sample.
fn rates(samples: &VecDeque<DemandSample>) -> (f64, f64) {
    let (Some(first), Some(last)) = (samples.front(), samples.back()) else { return (0.0, 0.0) };
    let window = last.at.since(first.at).as_secs_f64();
    if window == 0.0 {
        return (0.0, 0.0);
    }
    let prompt = last.prompt_tokens.saturating_sub(first.prompt_tokens) as f64;
    let output = last.output_tokens.saturating_sub(first.output_tokens) as f64;
    (prompt / window, output / window)
}
