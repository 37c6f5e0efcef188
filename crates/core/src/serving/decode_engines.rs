//! Selects the engine that decodes a prompt after another engine has prefilled it.

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    arena::EngineKey,
    serving::{
        candidates,
        directory::EngineStage,
        distance::DomainMap,
        fleet::{server_hash, ServerFleet, ServerState},
        placement::PlacementRequest,
    },
    time::Timestamp,
};

/// Number of engines from which the less loaded is chosen.
const DECODE_CANDIDATES: usize = 2;

/// Chooses the decode engine for a prompt that another engine prefills: the less loaded of two that
/// the request's hash selects among the nearest engines. Without the hash all daemons would choose
/// the same engine until their updates arrive.
pub fn choose(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    prefill_domain: &SmolStr,
    now: Timestamp,
) -> Option<EngineKey> {
    let mut ranked: Vec<_> = fleet
        .accepting(request.service, now)
        .filter(|(key, state)| request.can_decode(state) && !request.excluded.contains(key))
        .map(|(key, state)| {
            let distance = domains.distance(prefill_domain, &state.entry.domain);
            let seed = server_hash(&state.entry.id);
            let rank = xxh3::xxh3_64_with_seed(&request.request_hash.to_le_bytes(), seed);
            ((distance, rank), key, state)
        })
        .collect();
    candidates::retain_within_pace(fleet, &mut ranked, |(_, key, _)| *key, now);
    ranked.sort_by_key(|(rank, key, _)| (*rank, *key));
    let nearest = ranked.first()?.0 .0;
    let near = ranked.iter().take_while(|((distance, _), _, _)| *distance == nearest);
    // Prefill work at a decode engine delays its first events: 20 ms of it count as one request.
    let load = |state: &ServerState| state.requests() + state.wait_ms(now) as u32 / 20;
    near.take(DECODE_CANDIDATES).min_by_key(|(_, _, state)| load(state)).map(|(_, key, _)| *key)
}

/// Caches the decode engine of each failure domain during one placement.
#[derive(Default)]
pub struct DecoderCache<'a> {
    decode_engines: Vec<(&'a SmolStr, Option<EngineKey>)>,
}

impl<'a> DecoderCache<'a> {
    /// Returns the decode engine for a prefill engine, or none if the engine decodes itself.
    pub fn for_prefill_engine(
        &mut self,
        fleet: &ServerFleet,
        domains: &DomainMap,
        request: &PlacementRequest<'_>,
        prefill_engine: &'a ServerState,
        now: Timestamp,
    ) -> Option<EngineKey> {
        if prefill_engine.entry.stage != EngineStage::Prefill {
            return None;
        }
        let domain = &prefill_engine.entry.domain;
        let known = self.decode_engines.iter().find(|(known, _)| *known == domain);
        if let Some((_, decode_engine)) = known {
            return *decode_engine;
        }
        let decode_engine = choose(fleet, domains, request, domain, now);
        self.decode_engines.push((domain, decode_engine));
        decode_engine
    }
}
