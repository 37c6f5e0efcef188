//! Which engines read prompts and which make outputs.
//!
//! Answers the load of long prompts with short outputs: an engine that makes
//! outputs reads prompts at half the speed and delays the events of others, so
//! each failure domain keeps as few of those as its outputs need and reads
//! with the rest. A change takes an engine away for seconds, so short bursts
//! are ridden out.

use std::collections::{BTreeMap, HashMap};

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
/// Part of a failure domain's engines that may be away for a change at once, at
/// least one.
const AWAY_SHARE: f64 = 0.25;

/// A change of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    pub engine: EngineKey,
    pub stage: EngineStage,
}

/// An order that was given and may not show in the engine's entry yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// The engine is on its way to the stage, as far as is known.
    Pending(EngineStage),
    /// The engine has refused it.
    Refused,
}

/// Returns the changes that a service's engines need, given the orders of late.
/// The idlest engines of a failure domain change first, so which ones they are
/// may differ from call to call; whether a domain needs a change doesn't.
pub fn plan(
    fleet: &ServerFleet,
    service: &SmolStr,
    orders: &HashMap<EngineKey, OrderState>,
) -> Vec<StageChange> {
    let mut domains: BTreeMap<&SmolStr, Vec<(EngineKey, &ServerState)>> = BTreeMap::new();
    for (key, state) in fleet.iter() {
        let stays = state.presence == ServerPresence::Present && !state.entry.is_draining;
        if state.entry.service == *service && stays {
            domains.entry(&state.entry.domain).or_default().push((key, state));
        }
    }
    domains.values().flat_map(|engines| changes(engines, orders)).collect()
}

fn changes(
    engines: &[(EngineKey, &ServerState)],
    orders: &HashMap<EngineKey, OrderState>,
) -> Vec<StageChange> {
    let next_stage = |key: &EngineKey, state: &ServerState| match orders.get(key) {
        Some(OrderState::Pending(stage)) => *stage,
        Some(OrderState::Refused) | None => state.entry.stage,
    };
    // Engines without a stage do both and take no orders.
    let has_stages = engines.iter().all(|(_, state)| state.entry.stage != EngineStage::Mixed);
    if engines.len() < 2 || !has_stages {
        return Vec::new();
    }
    let share_of = |share: f64| ((engines.len() as f64 * share).round() as usize).max(1);
    let is_writer =
        |(key, state): &&(EngineKey, &ServerState)| next_stage(key, state) == EngineStage::Decode;
    let (writers, wanted) = (engines.iter().filter(is_writer).count(), share_of(OUTPUT_SHARE));
    let (from, to) = if writers > wanted {
        (EngineStage::Decode, EngineStage::Prefill)
    } else {
        (EngineStage::Prefill, EngineStage::Decode)
    };
    let is_away = |(key, state): &&(EngineKey, &ServerState)| matches!(orders.get(key), Some(OrderState::Pending(stage)) if *stage != state.entry.stage);
    let away = engines.iter().filter(is_away).count();
    let count = writers.abs_diff(wanted).min(share_of(AWAY_SHARE).saturating_sub(away));
    let mut candidates: Vec<_> = engines
        .iter()
        .filter(|(key, state)| state.entry.stage == from && !orders.contains_key(key))
        .collect();
    candidates.sort_by_key(|(key, state)| (state.requests(), *key));
    let chosen = candidates.into_iter().take(count);
    chosen.map(|(key, _)| StageChange { engine: *key, stage: to }).collect()
}
