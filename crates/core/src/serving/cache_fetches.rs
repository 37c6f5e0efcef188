//! KV cache that an engine fetches from another engine before a prefill.
//!
//! Spreads the load of a shared prompt part over several engines if one engine can't serve all
//! requests with it: transferring the KV cache of the part between two engines takes at most a
//! tenth of the time of computing it again.

use crate::{
    arena::EngineKey,
    serving::{
        distance::{self, DomainMap},
        fleet::{ServerFleet, ServerState},
        placement::PlacementRequest,
    },
    time::Timestamp,
};

/// Smallest number of tokens that a fetch must add to the engine's own cache.
const MIN_FETCH_TOKENS: u32 = 512;
/// Fixed overhead of a fetch, in milliseconds.
const FETCH_OVERHEAD_MS: f64 = 6.0;

/// An engine that has a prefix of the prompt cached.
#[derive(Clone, Copy, Debug)]
pub struct CacheSource<'a> {
    key: EngineKey,
    state: &'a ServerState,
    tokens: u32,
}

/// Returns the engines from which at least `MIN_FETCH_TOKENS` of the prompt can be fetched.
pub fn cache_sources<'a>(
    fleet: &'a ServerFleet,
    request: &PlacementRequest<'a>,
    now: Timestamp,
) -> Vec<CacheSource<'a>> {
    let kv_tokens = request.spec.kv_tokens;
    let sources = fleet.usable(request.service, now).map(|(key, state)| {
        let tokens = state.prefix_index.fetchable_tokens(request.prompt, kv_tokens);
        CacheSource { key, state, tokens }
    });
    sources.filter(|source| source.tokens >= MIN_FETCH_TOKENS).collect()
}

/// A fetch that a prefill engine makes before the prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheFetch {
    pub source: EngineKey,
    /// Prompt tokens that are cached at the prefill engine after the fetch.
    pub cached_tokens: u32,
    /// Expected duration of the fetch.
    pub fetch_ms: f64,
}

/// Chooses the fetch that saves the most time for an engine, or returns none if no fetch that is
/// large enough saves time.
pub fn best_fetch(
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    sources: &[CacheSource<'_>],
    (key, state): (EngineKey, &ServerState),
) -> Option<CacheFetch> {
    let prompt = request.prompt;
    let own_tokens = state.prefix_index.cached_tokens(prompt, request.spec.kv_tokens);
    let prefill_ms = |cached| f64::from(prompt.prefill_work(cached)) / state.prefill_speed();
    let mut best: Option<(f64, CacheFetch)> = None;
    for source in sources {
        if source.key == key || source.tokens < own_tokens + MIN_FETCH_TOKENS {
            continue;
        }
        let domain_distance = domains.distance(&state.entry.domain, &source.state.entry.domain);
        let fetch_ms = FETCH_OVERHEAD_MS
            + distance::transfer_ms(request.spec, source.tokens - own_tokens, domain_distance);
        let saved_ms = prefill_ms(own_tokens) - prefill_ms(source.tokens) - fetch_ms;
        if saved_ms > 0.0 && best.as_ref().is_none_or(|(most, _)| saved_ms > *most) {
            let fetch = CacheFetch { source: source.key, cached_tokens: source.tokens, fetch_ms };
            best = Some((saved_ms, fetch));
        }
    }
    best.map(|(_, fetch)| fetch)
}
