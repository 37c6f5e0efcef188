//! Which engine makes the output of a prompt that another one has read.

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    arena::EngineKey,
    serving::{
        directory::EngineStage,
        distance::DomainMap,
        fleet::{server_hash, ServerFleet, ServerState},
        placement::PlacementRequest,
    },
    time::Timestamp,
};

/// Engines among which an output's is chosen.
const DECODER_CHOICES: usize = 2;

/// Chooses an engine that takes over the output of a prompt read elsewhere: the
/// less loaded of two that the request's hash picks among the nearest. All
/// daemons would otherwise pick the same one until they hear of each other.
pub fn choose(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    reader_domain: &SmolStr,
    now: Timestamp,
) -> Option<EngineKey> {
    let mut ranked: Vec<_> = fleet
        .usable(request.service, now)
        .filter(|(key, state)| {
            state.entry.stage != EngineStage::Prefill && !request.excluded.contains(key)
        })
        .map(|(key, state)| {
            let distance = domains.distance(reader_domain, &state.entry.domain);
            let seed = server_hash(&state.entry.id);
            let rank = xxh3::xxh3_64_with_seed(&request.request_hash.to_le_bytes(), seed);
            ((distance, rank), key, state)
        })
        .collect();
    ranked.sort_by_key(|(rank, key, _)| (*rank, *key));
    let nearest = ranked.first()?.0 .0;
    let near = ranked.iter().take_while(|((distance, _), _, _)| *distance == nearest);
    // Reading at the decoder delays its first events.
    let load = |state: &ServerState| state.requests() + state.wait_ms(now) as u32 / 20;
    near.take(DECODER_CHOICES).min_by_key(|(_, _, state)| load(state)).map(|(_, key, _)| *key)
}

/// Remembers the decoder of each failure domain while one request is placed.
#[derive(Default)]
pub struct DecoderCache<'a> {
    decoders: Vec<(&'a SmolStr, Option<EngineKey>)>,
}

impl<'a> DecoderCache<'a> {
    /// Returns the engine that takes over from a reader, none if the reader
    /// makes outputs itself.
    pub fn for_prefill_engine(
        &mut self,
        fleet: &ServerFleet,
        domains: &DomainMap,
        request: &PlacementRequest<'_>,
        reader: &'a ServerState,
        now: Timestamp,
    ) -> Option<EngineKey> {
        if reader.entry.stage != EngineStage::Prefill {
            return None;
        }
        let domain = &reader.entry.domain;
        let known = self.decoders.iter().find(|(known, _)| *known == domain);
        if let Some((_, decoder)) = known {
            return *decoder;
        }
        let decoder = choose(fleet, domains, request, domain, now);
        self.decoders.push((domain, decoder));
        decoder
    }
}
