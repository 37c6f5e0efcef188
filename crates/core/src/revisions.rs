//! Decides which configuration revision a daemon applies, and which daemons watch for
//! new ones.
//!
//! The applied revision never decreases. A starting daemon knows no revision, so it
//! asks all of its peers before it applies one. The first offer may be lower than the
//! revision that this VM applied before: it may come from a peer that has just been
//! resumed, or from a platform that lost its data.

use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3;

/// Number of daemons of a failure domain that watch the platform for new revisions.
pub const DOMAIN_WATCHERS: usize = 2;
/// Interval of the steps in which a starting daemon counts its wait for peers.
pub const STARTUP_TICK: Duration = Duration::from_millis(100);
/// Number of steps for which a starting daemon waits for unresponsive peers. Steps are
/// counted instead of time, because a process that is paused during its start has sent
/// no requests meanwhile.
pub const STARTUP_TICK_LIMIT: u32 = 20;
/// Time for which one watch waits for a change. An unresponsive connection is closed
/// soon enough that a change is applied within 4 s.
pub const WATCH_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond [`WATCH_POLL_TIMEOUT`] by which the response to a watch may be late.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Delay after a failed watch, and between the checks of a daemon that doesn't watch.
pub const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval of heartbeats between daemons.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request to a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a daemon reconnects to a peer.
pub const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// States the result of offering a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum RevisionVerdict {
    /// It is higher than all earlier ones.
    Accepted,
    /// It is the newest one, which is known already.
    Known,
    /// It is lower than the newest one and is refused.
    Lower,
}

/// Holds the revisions that a daemon has accepted and applied.
#[derive(Clone, Debug)]
pub struct RevisionTable {
    newest: u64,
    applied: u64,
    /// Peers that haven't responded since the start.
    pending_peers: Vec<SmolStr>,
    /// Remaining steps of the wait for peers.
    remaining_ticks: u32,
}

impl RevisionTable {
    /// Creates the table of a daemon that starts now.
    pub fn new(peers: impl IntoIterator<Item = SmolStr>) -> Self {
        let pending_peers = peers.into_iter().collect();
        Self { newest: 0, applied: 0, pending_peers, remaining_ticks: STARTUP_TICK_LIMIT }
    }

    /// Returns the highest accepted revision, or 0.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Accepts or refuses a revision whose text is valid.
    pub fn offer(&mut self, revision: u64) -> RevisionVerdict {
        if revision < self.newest {
            return RevisionVerdict::Lower;
        }
        if revision == self.newest {
            return RevisionVerdict::Known;
        }
        self.newest = revision;
        RevisionVerdict::Accepted
    }

    /// Tells whether the daemon still waits for peers.
    pub fn is_starting(&self) -> bool {
        !self.pending_peers.is_empty() && self.remaining_ticks > 0
    }

    /// Counts one step of [`STARTUP_TICK`].
    pub fn tick(&mut self) {
        self.remaining_ticks = self.remaining_ticks.saturating_sub(1);
    }

    /// Records that a peer has offered its revision.
    pub fn peer_answered(&mut self, peer: &str) {
        self.pending_peers.retain(|pending| pending != peer);
    }

    /// Returns the revision to apply now, if there is one, and marks it as applied.
    pub fn next_to_apply(&mut self) -> Option<u64> {
        if self.is_starting() || self.newest <= self.applied {
            return None;
        }
        self.applied = self.newest;
        Some(self.applied)
    }
}

/// States what a daemon does after a peer has sent its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum PeerExchange {
    /// The peer has a higher one, which this daemon requests.
    Ask,
    /// The peer has a lower one, and this daemon sends its own.
    Tell,
    /// Nothing is exchanged.
    Nothing,
}

/// Compares revisions with a peer on one connection.
///
/// `sent` is the highest revision that was sent to the peer before. It isn't sent again
/// to a peer that refuses its text.
pub fn compare(own: u64, peer: u64, sent: u64) -> PeerExchange {
    if peer > own {
        PeerExchange::Ask
    } else if own > peer.max(sent) {
        PeerExchange::Tell
    } else {
        PeerExchange::Nothing
    }
}

/// Describes a live daemon of the same failure domain.
#[derive(Clone, Copy, Debug)]
pub struct WatchCandidate<'a> {
    pub name: &'a str,
    /// Whether the platform has responded to it recently.
    pub platform_reachable: bool,
}

/// Tells whether a daemon watches the platform, or leaves that to its peers.
///
/// Each daemon decides from the heartbeats that it receives; a daemon without live
/// peers watches itself. A daemon that can't reach the platform leaves the watch to
/// peers that can.
pub fn should_watch<'a>(
    own: WatchCandidate<'_>,
    peers: impl IntoIterator<Item = WatchCandidate<'a>>,
) -> bool {
    let (mut reachable, mut reachable_ahead, mut ahead) = (0, 0, 0);
    for peer in peers {
        let is_ahead = usize::from(rank(peer.name) < rank(own.name));
        ahead += is_ahead;
        if peer.platform_reachable {
            reachable += 1;
            reachable_ahead += is_ahead;
        }
    }
    match (own.platform_reachable, reachable) {
        (true, _) => reachable_ahead < DOMAIN_WATCHERS,
        (false, 0) => ahead < DOMAIN_WATCHERS,
        (false, _) => false,
    }
}

fn rank(name: &str) -> (u64, &str) {
    (xxh3::xxh3_64(name.as_bytes()), name)
}
