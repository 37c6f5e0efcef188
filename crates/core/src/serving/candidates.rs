//! Which engines a daemon looks at for a prompt.
//!
//! Answers large fleets, where daemons hear of each other's sends after tens of
//! milliseconds: if each looked at all engines, all would choose the same one.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    arena::EngineKey,
    serving::{
        directory::EngineStage,
        distance::{DomainDistance, DomainMap},
        fleet::{server_hash, ServerFleet, ServerState},
        placement::{self, PlacementRequest},
    },
    time::Timestamp,
};

/// Fewest engines that are looked at for a prompt.
const LEAST_GROUP: usize = 4;

/// Returns how many of the engines a daemon looks at for a prompt first.
///
/// Daemons that know of each other's sends only after a while all choose the
/// engine with the shortest queue, and fill it together. So each looks at a part
/// of the engines that differs by shared part, the smaller the more prompts
/// are sent before their news arrives.
pub fn group_size(engines: usize, sends_per_s: f64, update_delay: Duration) -> usize {
    let unseen = sends_per_s * update_delay.as_secs_f64();
    ((engines as f64 / unseen.max(1.0)).ceil() as usize).max(LEAST_GROUP)
}

/// Engines that are looked at together.
type CandidateGroup<'a> = Vec<(EngineKey, &'a ServerState)>;

/// Returns the engines that are looked at first, in the order of [`ReaderRank`],
/// and a second group from everywhere.
pub fn candidate_groups<'a>(
    fleet: &'a ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'a>,
    now: Timestamp,
) -> [CandidateGroup<'a>; 2] {
    let mut ranked: Vec<_> = fleet
        .usable(request.service, now)
        .filter(|(key, state)| {
            let is_prefill = state.entry.stage == EngineStage::Prefill;
            let is_lossy = is_prefill && !placement::is_prefill_available(state, now);
            !request.excluded.contains(key) && !is_lossy
        })
        .map(|(key, state)| (reader_rank(domains, request, state), key, state))
        .collect();
    ranked.sort_by_key(|(rank, key, _)| (*rank, *key));
    let count = request.group_size.min(ranked.len());
    let (first, rest) = ranked.split_at_mut(count);
    rest.sort_by_key(|(rank, key, _)| (rank.hash, *key));
    let second = &rest[..rest.len().min(request.group_size)];
    [&*first, second].map(|group| group.iter().map(|(_, key, state)| (*key, *state)).collect())
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
    let has_shared = prompt.shared_prefix_key().is_some()
        && state.prefix_index.cached_tokens(prompt, request.spec.kv_tokens)
            >= prompt.shared_prefix_tokens();
    let distance = domains.distance(request.home_domain, &state.entry.domain);
    let is_far = distance == DomainDistance::OtherRegion;
    ReaderRank { lacks_shared: !has_shared, is_far, hash: hash_rank(request, state) }
}

/// Orders the engines for a shared part alike at all daemons. A request without
/// one has an order of its own.
pub fn hash_rank(request: &PlacementRequest<'_>, state: &ServerState) -> u64 {
    let key = request.prompt.shared_prefix_key().map_or(request.request_hash, |key| key.0);
    xxh3::xxh3_64_with_seed(&key.to_le_bytes(), server_hash(&state.entry.id))
}
