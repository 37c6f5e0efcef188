//! Where a request goes: the engine that reads its prompt, and the one that
//! makes its output.
//!
//! Answers the load of long prompts with large shared parts: an engine that
//! has the parts reads only the rest, so a request goes where its first event
//! is expected soonest, and a shared part is read at another engine only when
//! waiting for its present one costs more. Among equals the hash of the shared
//! part decides, so that all daemons choose the same engine without a message.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    arena::EngineKey,
    serving::{
        configuration::EngineTraits,
        directory::EngineStage,
        fleet::{server_hash, ServerFleet, ServerState},
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
/// Fewest tokens for which a KV cache is fetched.
const LEAST_FETCH_TOKENS: u32 = 512;
/// Milliseconds of a fetch beside the bytes.
const FETCH_MS: f64 = 6.0;
/// Engines among which an output's is chosen.
const DECODER_CHOICES: usize = 2;
/// Fewest engines that are looked at for a prompt.
const LEAST_GROUP: usize = 4;
/// One-way delay to the failure domains of the region, in milliseconds; the
/// deployments state 0.5 to 1.4.
const REGION_DELAY_MS: f64 = 1.0;
/// One-way delay to other regions, in milliseconds; the deployments state 8.
const FAR_DELAY_MS: f64 = 8.0;
/// Factors on the time of a KV cache transfer, as engines state them.
const REGION_TRANSFER: f64 = 2.0;
const FAR_TRANSFER: f64 = 10.0;

/// Returns how many of the engines a daemon looks at for a prompt first.
///
/// Daemons that know of each other's sends only after a while all choose the
/// engine with the shortest queue, and fill it together. So each looks at a part
/// of the engines that differs by shared part, the smaller the more prompts
/// are sent before their news arrives.
pub fn group_size(engines: usize, sends_per_s: f64, news_delay: Duration) -> usize {
    let unseen = sends_per_s * news_delay.as_secs_f64();
    ((engines as f64 / unseen.max(1.0)).ceil() as usize).max(LEAST_GROUP)
}

/// Where a failure domain lies, seen from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DomainDistance {
    Same,
    SameRegion,
    OtherRegion,
}

/// The regions of the failure domains.
#[derive(Clone, Debug, Default)]
pub struct DomainMap {
    regions: HashMap<SmolStr, SmolStr>,
}

impl DomainMap {
    /// Makes a map from failure domains to their regions.
    pub fn new(regions: HashMap<SmolStr, SmolStr>) -> Self {
        Self { regions }
    }

    /// Returns how far two failure domains are apart.
    pub fn distance(&self, one: &SmolStr, other: &SmolStr) -> DomainDistance {
        if one == other {
            return DomainDistance::Same;
        }
        match (self.regions.get(one), self.regions.get(other)) {
            (Some(one), Some(other)) if one == other => DomainDistance::SameRegion,
            _ => DomainDistance::OtherRegion,
        }
    }

    /// Returns the one-way delay between two failure domains.
    pub fn delay_ms(&self, one: &SmolStr, other: &SmolStr) -> f64 {
        match self.distance(one, other) {
            DomainDistance::Same => 0.1,
            DomainDistance::SameRegion => REGION_DELAY_MS,
            DomainDistance::OtherRegion => FAR_DELAY_MS,
        }
    }
}

/// Describes a request that carries a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    pub service: &'a SmolStr,
    pub prompt: &'a PromptShape,
    pub traits: EngineTraits,
    /// Failure domain of this daemon.
    pub home: &'a SmolStr,
    /// Engines that have failed this request.
    pub excluded: &'a [EngineKey],
    /// Hash of the request's id.
    pub hash: u64,
    /// Size of the request's body.
    pub body_bytes: usize,
    /// Engines that are looked at before others are, see [`group_size`].
    pub group: usize,
    /// Time to the first event with which the request is on time.
    pub limit_ms: f64,
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
    pub fn reader(self) -> EngineKey {
        match self {
            Self::Whole { engine } => engine,
            Self::Split { prefill, .. } => prefill,
        }
    }

    /// Returns the engine that makes the output.
    pub fn writer(self) -> EngineKey {
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
    /// Work of reading, as [`PromptShape::read_work`] counts it.
    pub reading: u32,
    /// Tokens to be read that belong to shared parts.
    pub shared_reading: u32,
    /// What the reader fetches from another engine before it reads.
    pub fetch: Option<CacheFetch>,
}

/// Chooses the engines for a prompt, or none if no engine is usable.
///
/// A group of engines is looked at, in the order of [`ReaderRank`], and a second
/// one from everywhere if none of the first is expected to be on time. Not more:
/// under overload all engines have queues, and if all were looked at, the first to
/// be free would get what all daemons have at that moment.
pub fn choose(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    now: Timestamp,
) -> Option<Placement> {
    let has_readers = fleet.usable(request.service, now).any(|(_, state)| is_reader(state, now));
    let sources = cache_sources(fleet, request, now);
    let mut ranked: Vec<_> = fleet
        .usable(request.service, now)
        .filter(|(key, state)| {
            let is_lossy = state.entry.stage == EngineStage::Prefill && !is_reader(state, now);
            !request.excluded.contains(key) && !is_lossy
        })
        .map(|(key, state)| (reader_rank(domains, request, state), key, state))
        .collect();
    ranked.sort_by_key(|(rank, key, _)| (*rank, *key));
    let count = request.group.min(ranked.len());
    let (first, rest) = ranked.split_at_mut(count);
    rest.sort_by_key(|(rank, key, _)| (rank.hash, *key));
    let second = &rest[..rest.len().min(request.group)];
    let mut decoders = DecoderMemo::default();
    let mut best: Option<(f64, Placement)> = None;
    for group in [&*first, second] {
        for (_, key, state) in group {
            let decoder = decoders.of_reader(fleet, domains, request, state, now);
            let source = best_source(domains, request, &sources, (*key, state));
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
        if best.as_ref().is_some_and(|(_, placement)| placement.first_event_ms <= request.limit_ms)
        {
            break;
        }
    }
    best.map(|(_, placement)| placement)
}

/// Orders the engines for a request: first those that have its shared parts,
/// then those of the own region, then by a hash of the shared part that all
/// daemons compute alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReaderRank {
    lacks_shared: bool,
    is_far: bool,
    hash: u64,
}

fn reader_rank(
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    state: &ServerState,
) -> ReaderRank {
    let prompt = request.prompt;
    let has_shared = prompt.shared_key().is_some()
        && state.parts.cached_tokens(prompt, request.traits.kv_tokens) >= prompt.shared_tokens();
    let distance = domains.distance(request.home, &state.entry.domain);
    let is_far = distance == DomainDistance::OtherRegion;
    ReaderRank { lacks_shared: !has_shared, is_far, hash: hash_rank(request, state) }
}

/// An engine that keeps a beginning of the prompt.
#[derive(Clone, Copy, Debug)]
struct CacheSource<'a> {
    key: EngineKey,
    state: &'a ServerState,
    tokens: u32,
}

/// Returns the engines that others can fetch a beginning of the prompt from.
fn cache_sources<'a>(
    fleet: &'a ServerFleet,
    request: &PlacementRequest<'a>,
    now: Timestamp,
) -> Vec<CacheSource<'a>> {
    let kv_tokens = request.traits.kv_tokens;
    let sources = fleet.usable(request.service, now).map(|(key, state)| {
        let tokens = state.parts.fetchable_tokens(request.prompt, kv_tokens);
        CacheSource { key, state, tokens }
    });
    sources.filter(|source| source.tokens >= LEAST_FETCH_TOKENS).collect()
}

/// What a reader fetches before it reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheFetch {
    pub source: EngineKey,
    /// Tokens of the prompt that the reader has after the fetch.
    pub cached: u32,
    /// Expected time of the fetch.
    pub fetch_ms: f64,
}

/// Chooses what a reader fetches: what saves the most time, if anything does.
fn best_source(
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    sources: &[CacheSource<'_>],
    (key, state): (EngineKey, &ServerState),
) -> Option<CacheFetch> {
    let prompt = request.prompt;
    let own = state.parts.cached_tokens(prompt, request.traits.kv_tokens);
    let reading_ms = |cached| f64::from(prompt.read_work(cached)) / state.speed();
    let mut best: Option<(f64, CacheFetch)> = None;
    for source in sources {
        if source.key == key || source.tokens < own + LEAST_FETCH_TOKENS {
            continue;
        }
        let distance = domains.distance(&state.entry.domain, &source.state.entry.domain);
        let fetch_ms = FETCH_MS + transfer_ms(request.traits, source.tokens - own, distance);
        let saved_ms = reading_ms(own) - reading_ms(source.tokens) - fetch_ms;
        if saved_ms > 0.0 && best.as_ref().is_none_or(|(most, _)| saved_ms > *most) {
            let fetch = CacheFetch { source: source.key, cached: source.tokens, fetch_ms };
            best = Some((saved_ms, fetch));
        }
    }
    best.map(|(_, fetch)| fetch)
}

/// Remembers the decoder of each failure domain while one request is placed.
#[derive(Default)]
struct DecoderMemo<'a> {
    decoders: Vec<(&'a SmolStr, Option<EngineKey>)>,
}

impl<'a> DecoderMemo<'a> {
    fn of_reader(
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
        let decoder = choose_decoder(fleet, domains, request, domain, now);
        self.decoders.push((domain, decoder));
        decoder
    }
}

/// Tells whether an engine reads prompts for others to go on with.
fn is_reader(state: &ServerState, now: Timestamp) -> bool {
    state.entry.stage == EngineStage::Prefill && state.exports.is_fit(now)
}

/// Tells whether reading a prompt would make the events of others late.
fn pauses_outputs(state: &ServerState, placement: &Placement, now: Timestamp) -> bool {
    let beside = state.backlog.beside_tokens(state.speed(), now);
    state.entry.stage == EngineStage::Decode
        && beside + f64::from(placement.reading) > BESIDE_OUTPUT_TOKENS
}

/// Chooses an engine that takes over the output of a prompt read elsewhere: the
/// less loaded of two that the request's hash picks among the nearest. All
/// daemons would otherwise pick the same one until they hear of each other.
pub fn choose_decoder(
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
            let rank = xxh3::xxh3_64_with_seed(&request.hash.to_le_bytes(), seed);
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
    let traits = request.traits;
    let own = state.parts.cached_tokens(prompt, traits.kv_tokens);
    let cached = fetch.map_or(own, |fetch| fetch.cached);
    let fetch_ms = fetch.map_or(0.0, |fetch| fetch.fetch_ms);
    let reading = prompt.read_work(cached);
    let wait_ms = state.wait_ms(now);
    let reading_ms = f64::from(reading) / state.speed();
    let shared_reading = prompt.shared_tokens().saturating_sub(cached);
    let reread_ms = f64::from(shared_reading) / state.speed() * REREAD_WEIGHT;
    let delay_ms = 2.0 * domains.delay_ms(request.home, &state.entry.domain);
    let mut first_event_ms = wait_ms + fetch_ms + reading_ms + delay_ms + STEP_MS;
    let mut cost = reread_ms;
    let ms_per_kb = match domains.distance(request.home, &state.entry.domain) {
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
                + transfer_ms(traits, prompt.prompt_tokens, domains.distance(reader_domain, to));
            // The engine of the output gets the body too.
            cost += 2.0 * body_cost_ms;
            PlacementPath::Split { prefill: key, decode }
        }
        EngineStage::Decode | EngineStage::Mixed => {
            cost += reading_ms * INTERFERENCE_WEIGHT + body_cost_ms;
            PlacementPath::Whole { engine: key }
        }
    };
    if shared_reading > 0 {
        cost += HASH_SPREAD_MS * (hash_rank(request, state) as f64 / u64::MAX as f64);
    }
    cost += first_event_ms;
    Some((cost, Placement { path, first_event_ms, wait_ms, reading, shared_reading, fetch }))
}

/// Orders the engines for a shared part alike at all daemons. A request without
/// one has an order of its own.
fn hash_rank(request: &PlacementRequest<'_>, state: &ServerState) -> u64 {
    let key = request.prompt.shared_key().map_or(request.hash, |key| key.0);
    xxh3::xxh3_64_with_seed(&key.to_le_bytes(), server_hash(&state.entry.id))
}

fn transfer_ms(traits: EngineTraits, tokens: u32, distance: DomainDistance) -> f64 {
    let bits_per_ms = traits.link_mbps * 1000.0;
    let direct = f64::from(tokens) * traits.kv_bytes * 8.0 / bits_per_ms.max(1.0);
    direct
        * match distance {
            DomainDistance::Same => 1.0,
            DomainDistance::SameRegion => REGION_TRANSFER,
            DomainDistance::OtherRegion => FAR_TRANSFER,
        }
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
