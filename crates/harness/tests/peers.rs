//! Silent peers are given up and taken back.

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
fn a_paused_peer_is_given_up_and_taken_back() {
    let system = TestSystem::start(SystemOptions { daemons: 3, ..SystemOptions::default() });
    process::wait_until("both peers are heard", || live_peers(&system).len() == 2);
    system.daemons[2].process.pause();
    process::wait_until("the paused peer is given up", || live_peers(&system) == ["daemon-1"]);
    system.daemons[2].process.resume();
    process::wait_until("the peer is taken back", || live_peers(&system).len() == 2);
}
