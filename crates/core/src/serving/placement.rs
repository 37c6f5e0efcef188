//! Where a request goes: the engine that reads its prompt, and the one that
//! makes its output.
//!
//! Answers the load of long prompts with large shared parts: an engine that
//! has the parts reads only the rest, so a request goes where its first event
//! is expected soonest, and a shared part is read at another engine only when
//! waiting for its present one costs more. Among equals the hash of the shared
//! part decides, so that all daemons choose the same engine without a message.

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
    },
    time::Timestamp,
};

/// Milliseconds of a first event beside reading: a step of the batch.
const STEP_MS: f64 = 25.0;
/// Milliseconds from the export of a KV cache to its import, beside the bytes.
const EXPORT_MS: f64 = 12.0;
/// Cost of reading a shared part at one more engine, as a part of the time that
/// reading it takes: the capacity is missing for others.
const REREAD_WEIGHT: f64 = 0.6;
/// Cost of reading a prompt at an engine that decodes, as a part of the time
/// that it takes: the events of others pause meanwhile.
const INTERFERENCE_WEIGHT: f64 = 0.3;
/// Prompt tokens that an engine may read at once beside its outputs. Each step
/// that reads a piece of 1,024 tokens takes some 40 ms, and an event takes seven
/// steps: more than four pieces in a row make its pause exceed 200 ms.
const BESIDE_OUTPUT_TOKENS: f64 = 2048.0;
/// Milliseconds by which the hash of the shared part orders equal engines.
const HASH_SPREAD_MS: f64 = 30.0;
/// Cost of a kilobyte that crosses regions, as time: traffic between regions is
/// paid by volume. A body of 17 kB that goes to two engines costs as much as a
/// twentieth of a second.
const FAR_MS_PER_KB: f64 = 1.5;
/// The same between failure domains of a region.
const REGION_MS_PER_KB: f64 = 0.75;

/// Describes a request that carries a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    pub service: &'a SmolStr,
    pub prompt: &'a PromptShape,
    pub spec: EngineSpec,
    /// Failure domain of this daemon.
    pub home_domain: &'a SmolStr,
    /// Engines that have failed this request.
    pub excluded: &'a [EngineKey],
    /// Hash of the request's id.
    pub request_hash: u64,
    /// Size of the request's body.
    pub body_bytes: usize,
    /// Engines that are looked at before others are, see [`candidates::group_size`].
    pub group_size: usize,
    /// Time to the first event with which the request is on time.
    pub first_event_limit_ms: f64,
}

/// The engines that serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPath {
    /// One engine reads the prompt and makes the output.
    Whole { engine: EngineKey },
    /// One engine reads the prompt, another takes over its KV cache.
    Split { prefill: EngineKey, decode: EngineKey },
}

impl PlacementPath {
    /// Returns the engine that reads the prompt.
    pub fn prefill_engine(self) -> EngineKey {
        match self {
            Self::Whole { engine } => engine,
            Self::Split { prefill, .. } => prefill,
        }
    }

    /// Returns the engine that makes the output.
    pub fn decode_engine(self) -> EngineKey {
        match self {
            Self::Whole { engine } => engine,
            Self::Split { decode, .. } => decode,
        }
    }
}

/// A choice with what it was made from.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    pub path: PlacementPath,
    /// Expected time to the first event.
    pub first_event_ms: f64,
    /// Expected time until the prompt is begun.
    pub wait_ms: f64,
    /// Work of reading, as [`PromptShape::prefill_work`] counts it.
    pub prefill_tokens: u32,
    /// Tokens to be read that belong to shared parts.
    pub shared_prefill_tokens: u32,
    /// What the reader fetches from another engine before it reads.
    pub fetch: Option<CacheFetch>,
}

/// Chooses the engines for a prompt, or none if no engine is usable.
///
/// The first of [`candidates::candidate_groups`] is looked at, and the second
/// one from everywhere if none of the first is expected to be on time. Not more:
/// under overload all engines have queues, and if all were looked at, the first to
/// be free would get what all daemons have at that moment.
pub fn choose(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    now: Timestamp,
) -> Option<Placement> {
    let has_readers =
        fleet.usable(request.service, now).any(|(_, state)| is_prefill_available(state, now));
    let sources = cache_fetches::cache_sources(fleet, request, now);
    let groups = candidates::candidate_groups(fleet, domains, request, now);
    let mut decoders = DecoderCache::default();
    let mut best: Option<(f64, Placement)> = None;
    for group in &groups {
        for (key, state) in group {
            let decoder = decoders.for_prefill_engine(fleet, domains, request, state, now);
            let source = cache_fetches::best_source(domains, request, &sources, (*key, state));
            let weighed = weigh(fleet, domains, request, (*key, state), source, decoder, now);
            let Some((cost, placement)) = weighed else {
                continue;
            };
            if has_readers && pauses_outputs(state, &placement, now) {
                continue;
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
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

/// Tells whether an engine reads prompts for others to go on with.
pub fn is_prefill_available(state: &ServerState, now: Timestamp) -> bool {
    state.entry.stage == EngineStage::Prefill && state.export_health.is_available(now)
}

/// Tells whether reading a prompt would make the events of others late.
fn pauses_outputs(state: &ServerState, placement: &Placement, now: Timestamp) -> bool {
    let beside = state.backlog.interleaved_tokens(state.prefill_speed(), now);
    state.entry.stage == EngineStage::Decode
        && beside + f64::from(placement.prefill_tokens) > BESIDE_OUTPUT_TOKENS
}

fn weigh(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    (key, state): (EngineKey, &ServerState),
    fetch: Option<CacheFetch>,
    decoder: Option<EngineKey>,
    now: Timestamp,
) -> Option<(f64, Placement)> {
    let prompt = request.prompt;
    let spec = request.spec;
    let own = state.prefix_index.cached_tokens(prompt, spec.kv_tokens);
    let cached = fetch.map_or(own, |fetch| fetch.cached_tokens);
    let fetch_ms = fetch.map_or(0.0, |fetch| fetch.fetch_ms);
    let reading = prompt.prefill_work(cached);
    let wait_ms = state.wait_ms(now);
    let prefill_ms = f64::from(reading) / state.prefill_speed();
    let shared_reading = prompt.shared_prefix_tokens().saturating_sub(cached);
    let reread_ms = f64::from(shared_reading) / state.prefill_speed() * REREAD_WEIGHT;
    let delay_ms = 2.0 * domains.delay_ms(request.home_domain, &state.entry.domain);
    let mut first_event_ms = wait_ms + fetch_ms + prefill_ms + delay_ms + STEP_MS;
    let mut cost = reread_ms;
    let ms_per_kb = match domains.distance(request.home_domain, &state.entry.domain) {
        DomainDistance::Same => 0.0,
        DomainDistance::SameRegion => REGION_MS_PER_KB,
        DomainDistance::OtherRegion => FAR_MS_PER_KB,
    };
    let body_cost_ms = request.body_bytes as f64 / 1000.0 * ms_per_kb;
    let path = match state.entry.stage {
        EngineStage::Prefill => {
            let reader_domain = &state.entry.domain;
            let decode = decoder?;
            let to = &fleet.server(decode).entry.domain;
            first_event_ms += delay_ms
                + EXPORT_MS
                + distance::transfer_ms(
                    spec,
                    prompt.prompt_tokens,
                    domains.distance(reader_domain, to),
                );
            // The engine of the output gets the body too.
            cost += 2.0 * body_cost_ms;
            PlacementPath::Split { prefill: key, decode }
        }
        EngineStage::Decode | EngineStage::Mixed => {
            cost += prefill_ms * INTERFERENCE_WEIGHT + body_cost_ms;
            PlacementPath::Whole { engine: key }
        }
    };
    if shared_reading > 0 {
        cost += HASH_SPREAD_MS * (candidates::hash_rank(request, state) as f64 / u64::MAX as f64);
    }
    cost += first_event_ms;
    Some((
        cost,
        Placement {
            path,
            first_event_ms,
            wait_ms,
            prefill_tokens: reading,
            shared_prefill_tokens: shared_reading,
            fetch,
        },
    ))
}

/// Chooses a server for a request without a prompt: near ones with free slots
/// first, then the least loaded.
pub fn choose_plain(
    fleet: &ServerFleet,
    domains: &DomainMap,
    service: &SmolStr,
    home: &SmolStr,
    excluded: &[EngineKey],
    now: Timestamp,
) -> Option<EngineKey> {
    fleet
        .usable(service, now)
        .filter(|(key, _)| !excluded.contains(key))
        .min_by_key(|(_, state)| {
            let requests = state.requests();
            let is_full = requests >= state.entry.slots;
            let distance = domains.distance(home, &state.entry.domain);
            (is_full, if is_full { DomainDistance::Same } else { distance }, requests)
        })
        .map(|(key, _)| key)
}
