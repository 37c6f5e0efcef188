//! A peer that doesn't respond is removed from the live peers, and added again when
//! it responds.

use gooseberry_harness::{
    process,
    system::{SystemOptions, TestSystem},
};

/// Returns the peers that the first daemon lists as live.
fn live_peers(system: &TestSystem) -> Vec<String> {
    let statuses = system.statuses();
    let first = statuses.into_iter().find(|status| status.daemon == "daemon-0");
    let peers = first.expect("the first daemon's status").peers;
    peers.into_iter().map(|peer| peer.daemon).collect()
}

#[test]
fn a_paused_peer_is_removed_and_added_again() {
    let system = TestSystem::start(SystemOptions { daemons: 3, ..SystemOptions::default() });
    process::wait_until("both peers are live", || live_peers(&system).len() == 2);
    system.daemons[2].process.pause();
    process::wait_until("the paused peer is removed", || live_peers(&system) == ["daemon-1"]);
    system.daemons[2].process.resume();
    process::wait_until("the peer is live again", || live_peers(&system).len() == 2);
}
