//! Which daemons pass news on.

use gooseberry_core::serving::relays::{self, RelayCandidate, RelayPlan};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Five weak daemons and a strong one in each of three domains.
fn candidates(silent: &[&str]) -> Vec<RelayCandidate<usize>> {
    let mut candidates = Vec::new();
    for domain in DOMAINS {
        for index in 0..6 {
            let name = format!("{domain}-{index}");
            candidates.push(RelayCandidate {
                is_unresponsive: silent.contains(&name.as_str()),
                name: name.into(),
                domain: domain.into(),
                address: candidates.len(),
                capacity: if index == 3 { 0.5 } else { 0.12 },
            });
        }
    }
    candidates
}

fn plan(name: &str, candidates: &[RelayCandidate<usize>]) -> RelayPlan<usize> {
    relays::plan(name, candidates)
}

#[test]
fn small_fleets_tell_each_other_directly() {
    let few = &candidates(&[])[..6];
    let plan = plan("a-0", few);
    assert_eq!(plan.local_updates, vec![1, 2, 3, 4, 5]);
    assert_eq!(plan.relay, None);
}

#[test]
fn members_tell_their_relay_and_relays_tell_members_and_relays() {
    let all = candidates(&[]);
    assert_eq!(plan("a-0", &all).local_updates, vec![3]);
    let relay = plan("a-3", &all);
    assert_eq!(relay.member_updates, vec![0, 1, 2, 4, 5, 9, 15]);
    assert_eq!(relay.remote_updates, vec![0, 1, 2, 4, 5]);
}

/// Each daemon's news reaches each other daemon exactly once.
#[test]
fn news_reaches_all_once() {
    for silent in [&[][..], &["a-3"], &["a-3", "b-3", "b-0"]] {
        let all = candidates(silent);
        let plans: Vec<_> = all.iter().map(|candidate| plan(&candidate.name, &all)).collect();
        for origin in 0..all.len() {
            let mut heard = vec![0; all.len()];
            for first in &plans[origin].local_updates {
                heard[*first] += 1;
                // A relay passes on what comes from its members, and spreads what
                // comes from other domains.
                let is_home = all[origin].domain == all[*first].domain;
                let next = if is_home {
                    &plans[*first].member_updates
                } else {
                    &plans[*first].remote_updates
                };
                for second in next {
                    heard[*second] += 1;
                    if all[*second].domain != all[*first].domain {
                        for third in &plans[*second].remote_updates {
                            heard[*third] += 1;
                        }
                    }
                }
            }
            heard[origin] = 1;
            assert!(heard.iter().all(|count| *count == 1), "from {origin}: {heard:?}");
        }
    }
}

#[test]
fn a_silent_relay_is_replaced_by_the_next_strongest() {
    let all = candidates(&["a-3"]);
    assert_eq!(plan("a-4", &all).local_updates, vec![0]);
    assert!(!plan("a-0", &all).member_updates.is_empty());
}
