//! Selects the candidate engines of a prompt.
//!
//! In large fleets, updates on the prefills of other daemons arrive only after tens of
//! milliseconds. If each daemon evaluated all engines, all daemons would choose the engine with the
//! shortest queue and overload it. So a daemon evaluates only a subset of the engines, which
//! depends on the shared part of the prompt.

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

/// Smallest group size. A group has fewer candidates only if fewer engines are usable.
const MIN_GROUP_SIZE: usize = 4;

/// Returns how many engines a daemon evaluates together for a prompt.
///
/// The number falls as other daemons send more prompts (`sends_per_s`) whose updates haven't
/// arrived yet because of the `update_delay`.
pub fn group_size(engines: usize, sends_per_s: f64, update_delay: Duration) -> usize {
    let unseen_sends = sends_per_s * update_delay.as_secs_f64();
    ((engines as f64 / unseen_sends.max(1.0)).ceil() as usize).max(MIN_GROUP_SIZE)
}

/// Engines that are evaluated together.
type CandidateGroup<'a> = Vec<(EngineKey, &'a ServerState)>;

/// Returns two groups of at most `group_size` candidates. The first group prefers engines that have
/// the shared parts of the prompt cached, then engines of the home region, then the lowest
/// [`hash_rank`]. The second is chosen from all remaining engines by the hash alone.
pub fn candidate_groups<'a>(
    fleet: &'a ServerFleet,
    domains: &DomainMap,
    request: &PlacementRequest<'a>,
    now: Timestamp,
) -> [CandidateGroup<'a>; 2] {
    let mut ranked: Vec<_> = fleet
        .accepting(request.service, now)
        .filter(|(key, state)| {
            let is_prefill = state.entry.stage == EngineStage::Prefill;
            let is_unavailable = if is_prefill {
                !placement::is_prefill_available(state, now)
            } else {
                !request.can_decode(state)
            };
            !request.excluded.contains(key) && !is_unavailable
        })
        .map(|(key, state)| (engine_rank(domains, request, state), key, state))
        .collect();
    retain_within_pace(fleet, &mut ranked, |(_, key, _)| *key, now);
    ranked.sort_by_key(|(rank, key, _)| (*rank, *key));
    let count = request.group_size.min(ranked.len());
    let (first, rest) = ranked.split_at_mut(count);
    rest.sort_by_key(|(rank, key, _)| (rank.hash, *key));
    let second = &rest[..rest.len().min(request.group_size)];
    [&*first, second].map(|group| group.iter().map(|(_, key, state)| (*key, *state)).collect())
}

/// Removes the servers that are beyond their pace, unless there are no others.
pub fn retain_within_pace<T>(
    fleet: &ServerFleet,
    servers: &mut Vec<T>,
    key: impl Fn(&T) -> EngineKey,
    now: Timestamp,
) {
    let is_within: Vec<bool> =
        servers.iter().map(|server| fleet.is_within_pace(key(server), now)).collect();
    if is_within.contains(&true) {
        let mut is_within = is_within.into_iter();
        servers.retain(|_| is_within.next().unwrap_or(true));
    }
}

/// Sort key of an engine for a request: engines that have its shared parts cached come first, then
/// those of the home region; within each, the order is that of [`hash_rank`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EngineRank {
    lacks_shared: bool,
    is_other_region: bool,
    hash: u64,
}

fn engine_rank(
    domains: &DomainMap,
    request: &PlacementRequest<'_>,
    state: &ServerState,
) -> EngineRank {
    let prompt = request.prompt;
    let has_shared = prompt.shared_prefix_key().is_some()
        && state.prefix_index.cached_tokens(prompt, request.spec.kv_tokens)
            >= prompt.shared_prefix_tokens();
    let distance = domains.distance(request.home_domain, &state.entry.domain);
    let is_other_region = distance == DomainDistance::OtherRegion;
    EngineRank { lacks_shared: !has_shared, is_other_region, hash: hash_rank(request, state) }
}

/// Returns a rendezvous hash of the shared part and the engine, equal at all daemons. A request
/// without a shared part uses the hash of its own id.
pub fn hash_rank(request: &PlacementRequest<'_>, state: &ServerState) -> u64 {
    let key = request.prompt.shared_prefix_key().map_or(request.request_hash, |key| key.0);
    xxh3::xxh3_64_with_seed(&key.to_le_bytes(), server_hash(&state.entry.id))
}
