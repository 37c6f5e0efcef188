//! Plans which engines prefill and which decode.
//!
//! A decode engine runs prefills at half the speed and delays the stream events of other requests,
//! so only a share of each failure domain's engines decodes, and the rest prefill. The share follows
//! the load, as measured by [`StageDemand`]. A stage change makes an engine unavailable for seconds,
//! so a domain changes only if it is off its share by most of an engine.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use crate::{
    arena::EngineKey,
    serving::{
        directory::{EngineStage, ServerPresence},
        fleet::{ServerFleet, ServerState},
        software::SoftwareKey,
        stage_demand::StageDemand,
    },
};

/// Number of engines by which a domain has to be off its share before it changes.
const MIN_EXCESS: f64 = 0.75;
/// Share of a failure domain's engines that may change their stage at once; at least one may.
const CHANGING_SHARE: f64 = 0.25;

/// A stage change of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    pub engine: EngineKey,
    pub stage: EngineStage,
}

/// State of a stage change order. The engine's entry may not contain the new stage yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// The order was sent, and the engine hasn't refused it.
    Pending(EngineStage),
    /// The engine has refused the order.
    Refused,
}

/// Numbers of a service's engines of one software version.
#[derive(Clone, Copy, Debug, Default)]
struct VersionCount {
    engines: usize,
    /// Engines that decode after their pending orders.
    decoders: usize,
}

/// Returns the stage changes that a service needs, given its load and the recent orders.
///
/// In each failure domain the engines with the fewest requests change first, so the chosen engines
/// may differ between calls. Among them, changes that leave each software version a decode engine
/// come first: a stream that is resumed is decoded by the version that began it. A domain with a
/// single engine, or with an engine without a stage, needs none.
pub fn plan(
    fleet: &ServerFleet,
    service: &SmolStr,
    demand: &StageDemand,
    orders: &HashMap<EngineKey, OrderState>,
) -> Vec<StageChange> {
    let mut domains: BTreeMap<&SmolStr, Vec<(EngineKey, &ServerState)>> = BTreeMap::new();
    let mut versions: HashMap<SoftwareKey, VersionCount> = HashMap::new();
    for (key, state) in fleet.iter() {
        let is_present = state.presence == ServerPresence::Present && !state.is_departing();
        if state.entry.service == *service && is_present {
            domains.entry(&state.entry.domain).or_default().push((key, state));
            let version = versions.entry(SoftwareKey::of(&state.entry)).or_default();
            version.engines += 1;
            version.decoders += usize::from(next_stage(orders, key, state) == EngineStage::Decode);
        }
    }
    domains.values().flat_map(|engines| changes(engines, demand, orders, &mut versions)).collect()
}

/// Returns the stage of an engine after its pending order.
fn next_stage(
    orders: &HashMap<EngineKey, OrderState>,
    key: EngineKey,
    state: &ServerState,
) -> EngineStage {
    match orders.get(&key) {
        Some(OrderState::Pending(stage)) => *stage,
        Some(OrderState::Refused) | None => state.entry.stage,
    }
}

fn changes(
    engines: &[(EngineKey, &ServerState)],
    demand: &StageDemand,
    orders: &HashMap<EngineKey, OrderState>,
    versions: &mut HashMap<SoftwareKey, VersionCount>,
) -> Vec<StageChange> {
    // Engines without a stage run both phases and accept no orders.
    let has_stages = engines.iter().all(|(_, state)| state.entry.stage != EngineStage::Mixed);
    if engines.len() < 2 || !has_stages {
        return Vec::new();
    }
    let is_decode = |(key, state): &&(EngineKey, &ServerState)| {
        next_stage(orders, *key, state) == EngineStage::Decode
    };
    let slots = engines.iter().map(|(_, state)| state.entry.slots).min().unwrap_or_default();
    let target = (engines.len() as f64 * demand.decode_share(slots)).max(1.0);
    let excess = engines.iter().filter(is_decode).count() as f64 - target;
    let (from, to) = if excess > 0.0 {
        (EngineStage::Decode, EngineStage::Prefill)
    } else {
        (EngineStage::Prefill, EngineStage::Decode)
    };
    let is_changing = |(key, state): &&(EngineKey, &ServerState)| matches!(orders.get(key), Some(OrderState::Pending(stage)) if *stage != state.entry.stage);
    let changing = engines.iter().filter(is_changing).count();
    let most_changing = ((engines.len() as f64 * CHANGING_SHARE).round() as usize).max(1);
    let count =
        ((excess.abs() + 1.0 - MIN_EXCESS) as usize).min(most_changing.saturating_sub(changing));
    let mut candidates: Vec<_> = engines
        .iter()
        .filter(|(key, state)| state.entry.stage == from && !orders.contains_key(key))
        .collect();
    let mut changes = Vec::new();
    while changes.len() < count {
        let rank = |(key, state): &&(EngineKey, &ServerState)| {
            let version = versions.get(&SoftwareKey::of(&state.entry)).copied().unwrap_or_default();
            let is_deferred = match to {
                EngineStage::Decode => version.decoders > 0 || version.engines < 2,
                EngineStage::Prefill | EngineStage::Mixed => version.decoders < 2,
            };
            (is_deferred, state.requests(), *key)
        };
        let Some(index) = (0..candidates.len()).min_by_key(|index| rank(&candidates[*index]))
        else {
            break;
        };
        let (engine, state) = candidates.swap_remove(index);
        let version = versions.entry(SoftwareKey::of(&state.entry)).or_default();
        version.decoders = match to {
            EngineStage::Decode => version.decoders + 1,
            EngineStage::Prefill | EngineStage::Mixed => version.decoders.saturating_sub(1),
        };
        changes.push(StageChange { engine: *engine, stage: to });
    }
    changes
}
