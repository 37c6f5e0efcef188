//! Which daemons pass news on to others.
//!
//! Answers fleets in which a message from each daemon to each other costs more
//! than the requests themselves: in each failure domain the strongest daemon
//! that hasn't fallen silent collects the news of its domain and passes it on to
//! its members and to the relays of the other domains. Small fleets tell each
//! other directly, which is faster.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

/// Daemons up to which each tells each other directly.
const DIRECT_LIMIT: usize = 12;
/// Time in which news gets from one daemon to another one of a small fleet: it
/// is collected for 3 ms and crosses regions in 8 ms.
const DIRECT_DELAY: Duration = Duration::from_millis(10);
/// The same through the relays of two domains, which collect it again.
const RELAYED_DELAY: Duration = Duration::from_millis(30);

/// A daemon as others see it.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayCandidate<A> {
    pub name: SmolStr,
    pub domain: SmolStr,
    pub address: A,
    /// Share of a core that its VM has.
    pub capacity: f64,
    /// Whether it fell silent although it was to pass news on.
    pub is_unresponsive: bool,
}

/// What a daemon does with news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPlan<A> {
    /// Where own news goes.
    pub local_updates: Vec<A>,
    /// Where news of this domain's members goes, if this daemon is a relay.
    pub member_updates: Vec<A>,
    /// Where news of other domains goes, if this daemon is a relay.
    pub remote_updates: Vec<A>,
    /// The relay of this domain, if it is another daemon.
    pub relay: Option<A>,
    /// Relays from which news is to come.
    pub expected_relays: Vec<SmolStr>,
}

impl<A> RelayPlan<A> {
    fn direct(own: Vec<A>) -> Self {
        Self {
            local_updates: own,
            member_updates: Vec::new(),
            remote_updates: Vec::new(),
            relay: None,
            expected_relays: Vec::new(),
        }
    }
}

/// Returns the usual time in which news gets from one daemon to another.
pub fn update_delay(daemons: usize) -> Duration {
    if daemons <= DIRECT_LIMIT {
        DIRECT_DELAY
    } else {
        RELAYED_DELAY
    }
}

/// Plans where the news of a daemon goes. `candidates` holds all daemons, this
/// one too.
pub fn plan<A: Copy>(name: &str, candidates: &[RelayCandidate<A>]) -> RelayPlan<A> {
    let others = || candidates.iter().filter(|candidate| candidate.name != name);
    if candidates.len() <= DIRECT_LIMIT {
        return RelayPlan::direct(others().map(|candidate| candidate.address).collect());
    }
    let mut relays: BTreeMap<&SmolStr, &RelayCandidate<A>> = BTreeMap::new();
    for candidate in candidates {
        let relay = relays.entry(&candidate.domain).or_insert(candidate);
        if is_before(candidate, relay) {
            *relay = candidate;
        }
    }
    let home = candidates.iter().find(|candidate| candidate.name == name);
    let Some(home) = home.map(|candidate| &candidate.domain) else {
        return RelayPlan::direct(Vec::new());
    };
    let relay = relays[home];
    if relay.name != name {
        let mut plan = RelayPlan::direct(vec![relay.address]);
        plan.relay = Some(relay.address);
        plan.expected_relays.push(relay.name.clone());
        return plan;
    }
    let members = others().filter(|candidate| candidate.domain == *home);
    let members: Vec<A> = members.map(|candidate| candidate.address).collect();
    let far = || relays.values().filter(|relay| relay.domain != *home);
    let expected_relays = far().map(|relay| relay.name.clone()).collect();
    let member_updates: Vec<A> =
        members.iter().copied().chain(far().map(|relay| relay.address)).collect();
    RelayPlan {
        local_updates: member_updates.clone(),
        member_updates,
        remote_updates: members,
        relay: None,
        expected_relays,
    }
}

/// Orders the candidates of a domain: strong ones first, silent ones last; names
/// break ties, so that all daemons choose alike.
fn is_before<A>(one: &RelayCandidate<A>, other: &RelayCandidate<A>) -> bool {
    let rank = |candidate: &RelayCandidate<A>| (!candidate.is_unresponsive, candidate.capacity);
    match rank(one).partial_cmp(&rank(other)) {
        Some(std::cmp::Ordering::Greater) => true,
        Some(std::cmp::Ordering::Less) | None => false,
        Some(std::cmp::Ordering::Equal) => one.name < other.name,
    }
}
