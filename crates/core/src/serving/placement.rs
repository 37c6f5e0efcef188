//! Where a request goes: the engine that reads its prompt, and the one that
//! makes its output.
//!
//! Answers the load of long prompts with large shared parts: an engine that
//! has the parts reads only the rest, so a request goes where its first event
//! is expected soonest, and a shared part is read at another engine only when
//! waiting for its present one costs more. Among equals the hash of the shared
//! part decides, so that all daemons choose the same engine without a message.

use std::collections::HashMap;

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
/// One-way delay to the failure domains of the region, in milliseconds; the
/// deployments state 0.5 to 1.4.
const REGION_DELAY_MS: f64 = 1.0;
/// One-way delay to other regions, in milliseconds; the deployments state 8.
const FAR_DELAY_MS: f64 = 8.0;
/// Factors on the time of a KV cache transfer, as engines state them.
const REGION_TRANSFER: f64 = 2.0;
const FAR_TRANSFER: f64 = 10.0;

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

    fn delay_ms(&self, one: &SmolStr, other: &SmolStr) -> f64 {
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
}

/// Chooses the engines for a prompt, or none if no engine is usable.
pub fn choose(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    now: Timestamp,
) -> Option<Placement> {
    let mut best: Option<(f64, Placement)> = None;
    let has_readers = fleet.usable(request.service, now).any(|(_, state)| is_reader(state, now));
    let mut decoders = DecoderMemo::default();
    for (key, state) in fleet.usable(request.service, now) {
        let is_lossy = state.entry.stage == EngineStage::Prefill && !is_reader(state, now);
        if request.excluded.contains(&key) || is_lossy {
            continue;
        }
        let decoder = decoders.of_reader(fleet, domains, request, state, now);
        let weighed = weigh(fleet, domains, request, (key, state), decoder, now);
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
    best.map(|(_, placement)| placement)
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

/// Chooses an engine that takes over the output of a prompt read elsewhere.
pub fn choose_decoder(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    reader_domain: &SmolStr,
    now: Timestamp,
) -> Option<EngineKey> {
    fleet
        .usable(request.service, now)
        .filter(|(key, state)| {
            state.entry.stage != EngineStage::Prefill && !request.excluded.contains(key)
        })
        .min_by_key(|(_, state)| {
            let distance = domains.distance(reader_domain, &state.entry.domain);
            // Reading at the decoder delays its first events.
            (distance, state.requests() + state.wait_ms(now) as u32 / 20)
        })
        .map(|(key, _)| key)
}

fn weigh(
    fleet: &ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    (key, state): (EngineKey, &ServerState),
    decoder: Option<EngineKey>,
    now: Timestamp,
) -> Option<(f64, Placement)> {
    let prompt = request.prompt;
    let traits = request.traits;
    let cached = state.parts.cached_tokens(prompt, traits.kv_tokens);
    let reading = prompt.read_work(cached);
    let wait_ms = state.wait_ms(now);
    let reading_ms = f64::from(reading) / state.speed();
    let shared_reading = prompt.shared_tokens().saturating_sub(cached);
    let reread_ms = f64::from(shared_reading) / state.speed() * REREAD_WEIGHT;
    let delay_ms = 2.0 * domains.delay_ms(request.home, &state.entry.domain);
    let mut first_event_ms = wait_ms + reading_ms + delay_ms + STEP_MS;
    let mut cost = reread_ms;
    let path = match state.entry.stage {
        EngineStage::Prefill => {
            let reader_domain = &state.entry.domain;
            let decode = decoder?;
            let to = &fleet.server(decode).entry.domain;
            first_event_ms += delay_ms
                + EXPORT_MS
                + transfer_ms(traits, prompt.prompt_tokens, domains.distance(reader_domain, to));
            PlacementPath::Split { prefill: key, decode }
        }
        EngineStage::Decode | EngineStage::Mixed => {
            cost += reading_ms * INTERFERENCE_WEIGHT;
            PlacementPath::Whole { engine: key }
        }
    };
    if shared_reading > 0 {
        cost += HASH_SPREAD_MS * hash_rank(prompt, state);
    }
    cost += first_event_ms;
    Some((cost, Placement { path, first_event_ms, wait_ms, reading, shared_reading }))
}

/// Orders the engines for a shared part, from 0 to 1, alike at all daemons.
fn hash_rank(prompt: &PromptShape, state: &ServerState) -> f64 {
    let Some(key) = prompt.shared_key() else {
        return 0.0;
    };
    let hash = xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), server_hash(&state.entry.id));
    hash as f64 / u64::MAX as f64
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
