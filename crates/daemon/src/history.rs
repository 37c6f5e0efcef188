//! Samples of this daemon's work, for the operators' report.

use std::sync::Arc;

use gooseberry_core::{
    fleet::EngineRole,
    history::{HistorySample, SampleHistory, SAMPLE_INTERVAL},
};
use gooseberry_wire::peer;
use parking_lot::Mutex;

use crate::context::DaemonContext;

/// Samples of this daemon.
#[derive(Debug, Default)]
pub struct HistoryStore {
    samples: Mutex<SampleHistory>,
}

impl HistoryStore {
    /// Lists the samples, oldest first.
    pub fn list(&self) -> Vec<peer::HistorySample> {
        self.samples.lock().iter().map(to_wire).collect()
    }
}

/// Takes samples in an endless loop.
pub async fn sample_periodically(context: Arc<DaemonContext>, store: Arc<HistoryStore>) {
    loop {
        let sample = sample(&context);
        store.samples.lock().push(sample);
        context.clock.sleep(SAMPLE_INTERVAL).await;
    }
}

fn sample(context: &DaemonContext) -> HistorySample {
    let mut sample = context.outcomes.sample(context.clock.now());
    for (_, entry) in context.snapshot.load().engines.iter() {
        let count = match entry.view.role {
            EngineRole::Prefill => &mut sample.prefill_engines,
            EngineRole::Decode => &mut sample.decode_engines,
            EngineRole::Mixed => &mut sample.mixed_engines,
        };
        *count += 1;
    }
    sample
}

fn to_wire(sample: &HistorySample) -> peer::HistorySample {
    peer::HistorySample {
        at_ms: sample.at.as_millis(),
        whole: sample.whole,
        refused: sample.refused,
        unknown: sample.unknown,
        failed: sample.failed,
        prompt_tokens: sample.prompt_tokens,
        output_tokens: sample.output_tokens,
        prefill_engines: sample.prefill_engines,
        decode_engines: sample.decode_engines,
        mixed_engines: sample.mixed_engines,
    }
}
