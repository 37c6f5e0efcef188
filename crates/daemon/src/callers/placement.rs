//! Engine choice for a completion, from a snapshot of the fleet, cache hints and the
//! open links between regions.

use std::time::Duration;

use gooseberry_core::{
    arena::{EngineKey, ModelKey},
    prefix,
    routing::{self, RouteDecision, RoutePhase, RouteRequest},
    spill::LinkUse,
    time::Timestamp,
};

use crate::{
    context::DaemonContext,
    gauge::{SendTimer, SendWork},
    routing::{RoutingState, SpillMeter},
    snapshot::{EngineEntry, FleetSnapshot},
};

/// Bytes sent per token in addition to its text.
const TOKEN_OVERHEAD_BYTES: u64 = 160;

/// Request for which an engine is chosen.
#[derive(Clone, Copy)]
pub struct PlacementQuery<'a> {
    pub model: ModelKey,
    pub phase: RoutePhase,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Hashes of the prompt's pieces. A piece is a KV cache block.
    pub pieces: &'a [u64],
    pub time_left: Duration,
    /// Size of the prompt in bytes.
    pub bytes: u64,
    /// Engines that must not be chosen.
    pub excluded: &'a [EngineKey],
}

/// Chooses an engine for a query.
///
/// Engines of other failure domains are considered only if none in the home domain
/// meets the deadline, so that most decisions scan the home domain only.
pub fn choose(
    state: &RoutingState,
    snapshot: &FleetSnapshot,
    query: &PlacementQuery<'_>,
    now: Timestamp,
) -> Option<RouteDecision> {
    let hits = state.lookup(query.pieces);
    let links = state.open_links(now);
    let request = RouteRequest {
        model: query.model,
        phase: query.phase,
        prompt_tokens: query.prompt_tokens,
        output_tokens: query.output_tokens,
        time_left: query.time_left,
        bytes: query.bytes,
    };
    let cached = |engine: EngineKey| {
        let entry = &snapshot.engines[engine];
        hits.pieces(entry.cache_key) * entry.piece_tokens
    };
    let excluded = |engine: EngineKey| {
        query.excluded.contains(&engine) || !links.allows(snapshot.engines[engine].link)
    };
    let home = || snapshot.engine_views(&snapshot.home_engines, query.model);
    let decision = routing::choose(&request, home(), cached, excluded);
    if decision.is_some_and(|decision| decision.finish <= query.time_left) {
        return decision;
    }
    let remote = snapshot.engine_views(&snapshot.remote_engines, query.model);
    routing::choose(&request, home().chain(remote), cached, excluded)
}

/// Returns the hashes of a prompt's pieces, at the piece size of the first engine that
/// is open for the model. Returns no hashes if no engine is open.
pub fn pieces(snapshot: &FleetSnapshot, model: ModelKey, prompt: &str) -> Vec<u64> {
    let mut entries = snapshot.engines.iter().map(|(_, entry)| entry);
    let serving = entries.find(|entry| entry.view.model == model && entry.is_open());
    serving.map_or_else(Vec::new, |entry| prefix::piece_hashes(prompt, entry.piece_tokens.max(1)))
}

/// Tracks one sent request, to update the engine's speed, the hints on its KV cache and
/// the bytes sent over a link between regions.
pub struct SendTracker {
    timer: SendTimer,
    meter: Option<SpillMeter>,
}

/// Starts to track a request that is about to be sent to the chosen engine.
pub fn track_send(
    context: &DaemonContext,
    entry: &EngineEntry,
    decision: &RouteDecision,
    prompt_tokens: u32,
    bytes: u64,
) -> SendTracker {
    let now = context.clock.now();
    let uncached_tokens = prompt_tokens.saturating_sub(decision.cached_tokens);
    let timer = entry.gauge.track_request(
        SendWork { role: entry.view.role, prompt_tokens, uncached_tokens, queue: decision.queue },
        now,
    );
    let meter = match entry.link {
        LinkUse::Metered(link) => Some(context.routing.track_spill(link, bytes, now)),
        LinkUse::Local | LinkUse::Closed => None,
    };
    SendTracker { timer, meter }
}

impl SendTracker {
    /// Records a token of the response. The first one shows that the engine has the
    /// prompt in its KV cache.
    pub fn observe_token(
        &mut self,
        context: &DaemonContext,
        entry: &EngineEntry,
        pieces: &[u64],
        text_bytes: usize,
    ) {
        let now: Timestamp = context.clock.now();
        if self.timer.observe_token(now) {
            context.routing.observe_prompt(entry.cache_key, pieces);
        }
        if let Some(meter) = &self.meter {
            meter.charge(text_bytes as u64 + TOKEN_OVERHEAD_BYTES, now);
        }
    }
}
