//! Placement of a request: the engine for its prefill and the engine for its decode.
//!
//! Designed for long prompts with large shared parts. An engine that has the shared parts cached
//! computes only the rest, so a request goes where its first event is expected soonest. A shared
//! part is computed at another engine only if waiting for an engine that has it costs more. Among
//! equal engines the hash of the shared part decides, so that all daemons choose the same engine
//! without communication.

use smol_str::SmolStr;

use crate::{
    arena::EngineKey,
    serving::{
        cache_fetches::{self, CacheFetch},
        candidates,
        configuration::EngineSpec,
        decode_engines::DecoderCache,
        directory::EngineStage,
        distance::{self, DomainDistance, DomainMap},
        fleet::{ServerFleet, ServerState},
        prompt::PromptShape,
        software::SoftwareKey,
    },
    time::Timestamp,
};

/// Time from the end of the prefill to the first event, in milliseconds: one step of the engine's
/// batch.
const STEP_MS: f64 = 25.0;
/// Fixed overhead from the export of a KV cache to its import, in milliseconds.
const EXPORT_OVERHEAD_MS: f64 = 12.0;
/// Cost of computing a shared part at one more engine, as a part of its prefill time: that capacity
/// is not available to other requests.
const RECOMPUTE_WEIGHT: f64 = 0.6;
/// Cost of a prefill at an engine that decodes, as a part of its prefill time: it delays the stream
/// events of other requests.
const INTERFERENCE_WEIGHT: f64 = 0.3;
/// Longest time for which an engine that decodes prefills in a row, as a part of the pause that
/// events of its streams may have. The prefills delay the next event by as long.
const MAX_INTERLEAVED_SHARE: f64 = 0.5;
/// Largest cost, in milliseconds, that the rendezvous hash of a shared part adds at an engine that
/// lacks it. Among engines of about equal cost it makes all daemons choose the same one.
const HASH_SPREAD_MS: f64 = 30.0;
/// Cost of a kilobyte between regions, in milliseconds: this traffic is billed by volume. A body of
/// 17 kB that goes to two engines costs as much as 50 ms.
const OTHER_REGION_MS_PER_KB: f64 = 1.5;
/// Cost of a kilobyte between failure domains of a region, in milliseconds.
const SAME_REGION_MS_PER_KB: f64 = 0.75;

/// A request with a prompt that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    pub service: &'a SmolStr,
    pub prompt: &'a PromptShape,
    pub spec: EngineSpec,
    /// Failure domain of this daemon.
    pub home_domain: &'a SmolStr,
    /// Version that has to decode the request, if it resumes a stream. Any version may run the
    /// prefill, which writes no events.
    pub software: Option<SoftwareKey>,
    /// Engines that have rejected or failed this request.
    pub excluded: &'a [EngineKey],
    /// Hash of the request's id.
    pub request_hash: u64,
    /// Size of the request's body.
    pub body_bytes: usize,
    /// Number of engines that are evaluated first, see [`candidates::group_size`].
    pub group_size: usize,
    /// Time to the first event, in milliseconds, up to which the request is on time.
    pub first_event_limit_ms: f64,
    /// Shortest of the pauses between events, in milliseconds, with which streams of the service are
    /// on time.
    pub event_pause_ms: f64,
}

impl PlacementRequest<'_> {
    /// Returns whether an engine may decode the request.
    pub fn can_decode(&self, state: &ServerState) -> bool {
        state.entry.stage != EngineStage::Prefill
            && self.software.is_none_or(|software| software == SoftwareKey::of(&state.entry))
    }
}

/// The engines that serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPath {
    /// One engine runs both prefill and decode.
    Whole { engine: EngineKey },
    /// One engine runs the prefill, and another imports its KV cache and decodes.
    Split { prefill: EngineKey, decode: EngineKey },
}

impl PlacementPath {
    /// Returns the engine that runs the prefill.
    pub fn prefill_engine(self) -> EngineKey {
        match self {
            Self::Whole { engine } => engine,
            Self::Split { prefill, .. } => prefill,
        }
    }

    /// Returns the engine that decodes.
    pub fn decode_engine(self) -> EngineKey {
        match self {
            Self::Whole { engine } => engine,
            Self::Split { decode, .. } => decode,
        }
    }
}

/// A placement with the estimates that led to it.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    pub path: PlacementPath,
    /// Expected time from the send to the first event.
    pub first_event_ms: f64,
    /// Expected time until the prefill starts.
    pub wait_ms: f64,
    /// Work of the prefill, in the unit of [`PromptShape::prefill_work`].
    pub prefill_tokens: u32,
    /// Tokens of shared parts that have to be computed.
    pub shared_prefill_tokens: u32,
    /// KV cache that the prefill engine fetches from another engine before the prefill.
    pub fetch: Option<CacheFetch>,
}

/// Chooses the engines for a prompt, or returns none if no engine is usable.
///
/// Evaluates the first group of [`candidates::candidate_groups`], and the second group if no engine
/// of the first is expected to be on time. No further engines are evaluated: under overload all
/// engines have queues, and if all daemons evaluated all engines, the first engine with an empty
/// queue would get the requests of all daemons at that moment.
pub fn choose(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    now: Timestamp,
) -> Option<Placement> {
    let has_prefill_engines =
        fleet.accepting(request.service, now).any(|(_, state)| is_prefill_available(state, now));
    let sources = cache_fetches::cache_sources(fleet, request, now);
    let groups = candidates::candidate_groups(fleet, domains, request, now);
    let mut decoder_cache = DecoderCache::default();
    let mut best: Option<(f64, Placement)> = None;
    for group in &groups {
        for (key, state) in group {
            let decode_engine =
                decoder_cache.for_prefill_engine(fleet, domains, request, state, now);
            let fetch = cache_fetches::best_fetch(domains, request, &sources, (*key, state));
            let evaluated =
                evaluate(fleet, domains, request, (*key, state), fetch, decode_engine, now);
            let Some((cost, placement)) = evaluated else {
                continue;
            };
            if has_prefill_engines && delays_outputs(state, request, &placement, now) {
                continue;
            }
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, placement));
            }
        }
        if best
            .as_ref()
            .is_some_and(|(_, placement)| placement.first_event_ms <= request.first_event_limit_ms)
        {
            break;
        }
    }
    best.map(|(_, placement)| placement)
}

/// Returns whether an engine only runs prefills and its exported KV caches are available.
pub fn is_prefill_available(state: &ServerState, now: Timestamp) -> bool {
    state.entry.stage == EngineStage::Prefill && state.export_health.is_available(now)
}

/// Returns whether the prefill would delay the stream events of other requests too long.
fn delays_outputs(
    state: &ServerState,
    request: &PlacementRequest<'_>,
    placement: &Placement,
    now: Timestamp,
) -> bool {
    let speed = state.prefill_speed();
    let interleaved = state.backlog.interleaved_tokens(speed, now);
    let interleaved_ms = (interleaved + f64::from(placement.prefill_tokens)) / speed;
    state.entry.stage == EngineStage::Decode
        && interleaved_ms > request.event_pause_ms * MAX_INTERLEAVED_SHARE
}

/// Returns the placement that uses an engine for the prefill, with its cost in milliseconds.
/// Returns none if the engine only prefills and there is no decode engine for it.
fn evaluate(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    (key, state): (EngineKey, &ServerState),
    fetch: Option<CacheFetch>,
    decode_engine: Option<EngineKey>,
    now: Timestamp,
) -> Option<(f64, Placement)> {
    let prompt = request.prompt;
    let spec = request.spec;
    let own_tokens = state.prefix_index.cached_tokens(prompt, spec.kv_tokens);
    let cached = fetch.map_or(own_tokens, |fetch| fetch.cached_tokens);
    let fetch_ms = fetch.map_or(0.0, |fetch| fetch.fetch_ms);
    let prefill_tokens = prompt.prefill_work(cached);
    let wait_ms = state.wait_ms(now);
    let prefill_ms = f64::from(prefill_tokens) / state.prefill_speed();
    let shared_prefill_tokens = prompt.shared_prefix_tokens().saturating_sub(cached);
    let recompute_ms = f64::from(shared_prefill_tokens) / state.prefill_speed() * RECOMPUTE_WEIGHT;
    let delay_ms = 2.0 * domains.delay_ms(request.home_domain, &state.entry.domain);
    let mut first_event_ms = wait_ms + fetch_ms + prefill_ms + delay_ms + STEP_MS;
    let mut cost = recompute_ms;
    let ms_per_kb = match domains.distance(request.home_domain, &state.entry.domain) {
        DomainDistance::Same => 0.0,
        DomainDistance::SameRegion => SAME_REGION_MS_PER_KB,
        DomainDistance::OtherRegion => OTHER_REGION_MS_PER_KB,
    };
    let body_cost_ms = request.body_bytes as f64 / 1000.0 * ms_per_kb;
    let path = match state.entry.stage {
        EngineStage::Prefill => {
            let prefill_domain = &state.entry.domain;
            let decode = decode_engine?;
            let decode_domain = &fleet.server(decode).entry.domain;
            first_event_ms += delay_ms
                + EXPORT_OVERHEAD_MS
                + distance::transfer_ms(
                    spec,
                    prompt.prompt_tokens,
                    domains.distance(prefill_domain, decode_domain),
                );
            // The decode engine gets the body too.
            cost += 2.0 * body_cost_ms;
            PlacementPath::Split { prefill: key, decode }
        }
        EngineStage::Decode | EngineStage::Mixed => {
            cost += prefill_ms * INTERFERENCE_WEIGHT + body_cost_ms;
            PlacementPath::Whole { engine: key }
        }
    };
    if shared_prefill_tokens > 0 {
        cost += HASH_SPREAD_MS * (candidates::hash_rank(request, state) as f64 / u64::MAX as f64);
    }
    cost += first_event_ms;
    Some((
        cost,
        Placement { path, first_event_ms, wait_ms, prefill_tokens, shared_prefill_tokens, fetch },
    ))
}

/// Chooses a server for a request without a prompt: the least loaded one of the nearest with a free
/// slot, or the least loaded one if no server has a free slot. A server beyond its pace is chosen only
/// if there is no other.
pub fn choose_plain(
    fleet: &ServerFleet,
    domains: &DomainMap,
    service: &SmolStr,
    home_domain: &SmolStr,
    excluded: &[EngineKey],
    now: Timestamp,
) -> Option<EngineKey> {
    let mut servers: Vec<_> =
        fleet.accepting(service, now).filter(|(key, _)| !excluded.contains(key)).collect();
    candidates::retain_within_pace(fleet, &mut servers, |(key, _)| *key, now);
    servers
        .into_iter()
        .min_by_key(|(_, state)| {
            let requests = state.requests();
            let is_full = requests >= state.entry.slots;
            let distance = domains.distance(home_domain, &state.entry.domain);
            (is_full, if is_full { DomainDistance::Same } else { distance }, requests)
        })
        .map(|(key, _)| key)
}
