//! Selects the daemons that relay updates to other daemons.
//!
//! In large fleets, a message from each daemon to each other daemon would cost more than the
//! requests themselves. So the daemon with the highest capacity that is responsive is the relay of
//! its failure domain: it collects the updates of its domain and sends them to the members of the
//! domain and to the relays of the other domains. Daemons of small fleets send to each other
//! directly, which is faster.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

/// Largest number of daemons for which each daemon sends updates to all others directly.
const DIRECT_LIMIT: usize = 12;
/// Delay of an update between two daemons of a small fleet: it is batched for 3 ms, and the network
/// delay between regions is 8 ms.
const DIRECT_DELAY: Duration = Duration::from_millis(10);
/// Delay of an update through the relays of two domains, each of which batches it again.
const RELAYED_DELAY: Duration = Duration::from_millis(30);

/// A daemon that may become a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayCandidate<A> {
    pub name: SmolStr,
    pub domain: SmolStr,
    pub address: A,
    /// Share of a CPU core that its VM has.
    pub capacity: f64,
    /// Whether it stopped sending updates while it was a relay.
    pub is_unresponsive: bool,
}

/// Where a daemon sends updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPlan<A> {
    /// Addresses to which this daemon's own updates are sent.
    pub own_update_targets: Vec<A>,
    /// Addresses to which the updates of this domain's members are forwarded, if this daemon is a
    /// relay.
    pub member_update_targets: Vec<A>,
    /// Addresses to which the updates of other domains are forwarded, if this daemon is a relay.
    pub remote_update_targets: Vec<A>,
    /// The relay of this domain, if it is another daemon.
    pub relay: Option<A>,
    /// Relays that are expected to send updates to this daemon.
    pub expected_relays: Vec<SmolStr>,
}

impl<A> RelayPlan<A> {
    fn direct(own_update_targets: Vec<A>) -> Self {
        Self {
            own_update_targets,
            member_update_targets: Vec::new(),
            remote_update_targets: Vec::new(),
            relay: None,
            expected_relays: Vec::new(),
        }
    }
}

/// Returns the usual delay of an update from one daemon to another.
pub fn update_delay(daemons: usize) -> Duration {
    if daemons <= DIRECT_LIMIT {
        DIRECT_DELAY
    } else {
        RELAYED_DELAY
    }
}

/// Plans where a daemon sends updates. `candidates` holds all daemons, including this one.
pub fn plan<A: Copy>(name: &str, candidates: &[RelayCandidate<A>]) -> RelayPlan<A> {
    let others = || candidates.iter().filter(|candidate| candidate.name != name);
    if candidates.len() <= DIRECT_LIMIT {
        return RelayPlan::direct(others().map(|candidate| candidate.address).collect());
    }
    let mut relays: BTreeMap<&SmolStr, &RelayCandidate<A>> = BTreeMap::new();
    for candidate in candidates {
        let relay = relays.entry(&candidate.domain).or_insert(candidate);
        if is_preferred(candidate, relay) {
            *relay = candidate;
        }
    }
    let home_domain = candidates.iter().find(|candidate| candidate.name == name);
    let Some(home_domain) = home_domain.map(|candidate| &candidate.domain) else {
        return RelayPlan::direct(Vec::new());
    };
    let relay = relays[home_domain];
    if relay.name != name {
        let mut plan = RelayPlan::direct(vec![relay.address]);
        plan.relay = Some(relay.address);
        plan.expected_relays.push(relay.name.clone());
        return plan;
    }
    let members = others().filter(|candidate| candidate.domain == *home_domain);
    let members: Vec<A> = members.map(|candidate| candidate.address).collect();
    let other_relays = || relays.values().filter(|relay| relay.domain != *home_domain);
    let expected_relays = other_relays().map(|relay| relay.name.clone()).collect();
    let member_update_targets: Vec<A> =
        members.iter().copied().chain(other_relays().map(|relay| relay.address)).collect();
    RelayPlan {
        own_update_targets: member_update_targets.clone(),
        member_update_targets,
        remote_update_targets: members,
        relay: None,
        expected_relays,
    }
}

/// Returns whether a candidate precedes another of its domain: responsive daemons first, then those
/// with the highest capacity. Names break ties, so that all daemons choose the same relay.
fn is_preferred<A>(one: &RelayCandidate<A>, other: &RelayCandidate<A>) -> bool {
    let rank = |candidate: &RelayCandidate<A>| (!candidate.is_unresponsive, candidate.capacity);
    match rank(one).partial_cmp(&rank(other)) {
        Some(std::cmp::Ordering::Greater) => true,
        Some(std::cmp::Ordering::Less) | None => false,
        Some(std::cmp::Ordering::Equal) => one.name < other.name,
    }
}
