//! Selection of the daemons that relay updates.

use gooseberry_core::serving::relays::{self, RelayCandidate, RelayPlan};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Five daemons of low capacity and one of high capacity in each of three domains.
fn candidates(unresponsive: &[&str]) -> Vec<RelayCandidate<usize>> {
    let mut candidates = Vec::new();
    for domain in DOMAINS {
        for index in 0..6 {
            let name = format!("{domain}-{index}");
            candidates.push(RelayCandidate {
                is_unresponsive: unresponsive.contains(&name.as_str()),
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
fn small_fleets_send_directly() {
    let few = &candidates(&[])[..6];
    let plan = plan("a-0", few);
    assert_eq!(plan.own_update_targets, vec![1, 2, 3, 4, 5]);
    assert_eq!(plan.relay, None);
}

#[test]
fn members_send_to_their_relay_and_relays_forward() {
    let all = candidates(&[]);
    assert_eq!(plan("a-0", &all).own_update_targets, vec![3]);
    let relay = plan("a-3", &all);
    assert_eq!(relay.member_update_targets, vec![0, 1, 2, 4, 5, 9, 15]);
    assert_eq!(relay.remote_update_targets, vec![0, 1, 2, 4, 5]);
}

/// The updates of each daemon reach each other daemon exactly once.
#[test]
fn updates_reach_each_daemon_once() {
    for unresponsive in [&[][..], &["a-3"], &["a-3", "b-3", "b-0"]] {
        let all = candidates(unresponsive);
        let plans: Vec<_> = all.iter().map(|candidate| plan(&candidate.name, &all)).collect();
        for origin in 0..all.len() {
            let mut received = vec![0; all.len()];
            for first in &plans[origin].own_update_targets {
                received[*first] += 1;
                // A relay forwards updates of its members to all, and updates of other domains to
                // its members.
                let is_home = all[origin].domain == all[*first].domain;
                let next = if is_home {
                    &plans[*first].member_update_targets
                } else {
                    &plans[*first].remote_update_targets
                };
                for second in next {
                    received[*second] += 1;
                    if all[*second].domain != all[*first].domain {
                        for third in &plans[*second].remote_update_targets {
                            received[*third] += 1;
                        }
                    }
                }
            }
            received[origin] = 1;
            assert!(received.iter().all(|count| *count == 1), "from {origin}: {received:?}");
        }
    }
}

#[test]
fn an_unresponsive_relay_is_replaced_by_the_next_in_capacity() {
    let all = candidates(&["a-3"]);
    assert_eq!(plan("a-4", &all).own_update_targets, vec![0]);
    assert!(!plan("a-0", &all).member_update_targets.is_empty());
}
