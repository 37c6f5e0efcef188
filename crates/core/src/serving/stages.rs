//! Which engines read prompts and which make outputs.
//!
//! Answers the load of long prompts with short outputs: an engine that makes
//! outputs reads prompts at half the speed and delays the events of others, so
//! each failure domain keeps as few of those as its outputs need and reads
//! with the rest. A change takes an engine away for seconds, so short bursts
//! are ridden out.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::{
    arena::EngineKey,
    serving::{
        directory::{EngineStage, ServerPresence},
        fleet::{ServerFleet, ServerState},
    },
};

/// Part of a failure domain's engines that makes outputs, at least one.
const OUTPUT_SHARE: f64 = 0.25;

/// A change of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    pub engine: EngineKey,
    pub stage: EngineStage,
}

/// Returns the changes that a service's engines need, one for each failure
/// domain at a time.
pub fn plan(fleet: &ServerFleet, service: &SmolStr) -> Vec<StageChange> {
    let mut domains: BTreeMap<&SmolStr, Vec<(EngineKey, &ServerState)>> = BTreeMap::new();
    for (key, state) in fleet.iter() {
        let stays = state.presence == ServerPresence::Present && !state.entry.is_draining;
        if state.entry.service == *service && stays {
            domains.entry(&state.entry.domain).or_default().push((key, state));
        }
    }
    domains.values().filter_map(|engines| change(engines)).collect()
}

fn change(engines: &[(EngineKey, &ServerState)]) -> Option<StageChange> {
    let with_stage = |stage| {
        let fitting = engines.iter().filter(move |(_, state)| state.entry.stage == stage);
        fitting.collect::<Vec<_>>()
    };
    let (readers, writers) = (with_stage(EngineStage::Prefill), with_stage(EngineStage::Decode));
    // Engines without a stage do both and take no orders.
    if engines.len() < 2 || readers.len() + writers.len() < engines.len() {
        return None;
    }
    let wanted = ((engines.len() as f64 * OUTPUT_SHARE).round() as usize).max(1);
    let (candidates, stage) = match writers.len().cmp(&wanted) {
        std::cmp::Ordering::Equal => return None,
        std::cmp::Ordering::Greater => (writers, EngineStage::Prefill),
        std::cmp::Ordering::Less => (readers, EngineStage::Decode),
    };
    let idlest = candidates.into_iter().min_by_key(|(key, state)| (state.requests(), *key))?;
    Some(StageChange { engine: idlest.0, stage })
}
