//! What an engine fetches from another one before it reads a prompt.
//!
//! Answers the load of shared parts that are asked for at more engines than one
//! can serve: moving the KV cache of a part between two engines takes a tenth of
//! the time of reading it again, or less.

use crate::{
    arena::EngineKey,
    serving::{
        distance::{self, DomainMap},
        fleet::{ServerFleet, ServerState},
        placement::PlacementRequest,
    },
    time::Timestamp,
};

/// Fewest tokens for which a KV cache is fetched.
const LEAST_FETCH_TOKENS: u32 = 512;
/// Milliseconds of a fetch beside the bytes.
const FETCH_MS: f64 = 6.0;

/// An engine that keeps a beginning of the prompt.
#[derive(Clone, Copy, Debug)]
pub struct CacheSource<'a> {
    key: EngineKey,
    state: &'a ServerState,
    tokens: u32,
}

/// Returns the engines that others can fetch a beginning of the prompt from.
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
    sources.filter(|source| source.tokens >= LEAST_FETCH_TOKENS).collect()
}

/// What a reader fetches before it reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheFetch {
    pub source: EngineKey,
    /// Tokens of the prompt that the reader has after the fetch.
    pub cached_tokens: u32,
    /// Expected time of the fetch.
    pub fetch_ms: f64,
}

/// Chooses what a reader fetches: what saves the most time, if anything does.
pub fn best_source(
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    sources: &[CacheSource<'_>],
    (key, state): (EngineKey, &ServerState),
) -> Option<CacheFetch> {
    let prompt = request.prompt;
    let own = state.prefix_index.cached_tokens(prompt, request.spec.kv_tokens);
    let prefill_ms = |cached| f64::from(prompt.prefill_work(cached)) / state.prefill_speed();
    let mut best: Option<(f64, CacheFetch)> = None;
    for source in sources {
        if source.key == key || source.tokens < own + LEAST_FETCH_TOKENS {
            continue;
        }
        let apart = domains.distance(&state.entry.domain, &source.state.entry.domain);
        let fetch_ms = FETCH_MS + distance::transfer_ms(request.spec, source.tokens - own, apart);
        let saved_ms = prefill_ms(own) - prefill_ms(source.tokens) - fetch_ms;
        if saved_ms > 0.0 && best.as_ref().is_none_or(|(most, _)| saved_ms > *most) {
            let fetch = CacheFetch { source: source.key, cached_tokens: source.tokens, fetch_ms };
            best = Some((saved_ms, fetch));
        }
    }
    best.map(|(_, fetch)| fetch)
}
