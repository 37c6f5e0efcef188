//! Which configuration a daemon puts in force, and who waits for new ones.
//!
//! Revisions only grow. A daemon that starts knows nothing, so it asks all of
//! its peers before it puts anything in force: the first offer may come from a
//! peer that has just been resumed, or from a platform that lost its data, and
//! be lower than what this VM had in force before.

use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3;

/// Daemons of a failure domain that wait on the platform for new revisions.
pub const DOMAIN_WATCHERS: usize = 2;
/// Step in which a starting daemon counts its wait for peers.
pub const STARTUP_TICK: Duration = Duration::from_millis(100);
/// Steps for which a starting daemon waits for peers that give no answer. Steps
/// are counted instead of time: a process that is paused while it starts hasn't
/// asked anybody meanwhile.
pub const STARTUP_TICK_LIMIT: u32 = 20;
/// Time for which one watch waits; a connection that has gone silent is given
/// up soon enough for a change to be in force within 4 s.
pub const WATCH_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond that for which the answer to a watch may be late.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Pause after a failed watch, and of a daemon that leaves it to its peers.
pub const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval of heartbeats between daemons.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for an answer of a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a lost connection to a peer is opened again.
pub const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Says what becomes of an offered revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum RevisionVerdict {
    /// It is higher than all seen before.
    Accepted,
    /// It is the newest one already.
    Known,
    /// It is lower than the newest one and is refused.
    Lower,
}

/// Holds which revisions a daemon has accepted and applied.
#[derive(Clone, Debug)]
pub struct RevisionTable {
    newest: u64,
    applied: u64,
    /// Peers that haven't been asked since the start.
    unasked: Vec<SmolStr>,
    /// Steps that are left of the wait for peers.
    ticks: u32,
}

impl RevisionTable {
    /// Makes the table of a daemon that starts now.
    pub fn new(peers: impl IntoIterator<Item = SmolStr>) -> Self {
        let unasked = peers.into_iter().collect();
        Self { newest: 0, applied: 0, unasked, ticks: STARTUP_TICK_LIMIT }
    }

    /// Returns the highest revision that was accepted, or 0.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Judges a revision whose text is valid.
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
        !self.unasked.is_empty() && self.ticks > 0
    }

    /// Counts one step of [`STARTUP_TICK`].
    pub fn tick(&mut self) {
        self.ticks = self.ticks.saturating_sub(1);
    }

    /// Notes that a peer has offered what it has.
    pub fn peer_answered(&mut self, peer: &str) {
        self.unasked.retain(|unasked| unasked != peer);
    }

    /// Returns the revision to put in force now, if there is one.
    pub fn next_to_apply(&mut self) -> Option<u64> {
        if self.is_starting() || self.newest <= self.applied {
            return None;
        }
        self.applied = self.newest;
        Some(self.applied)
    }
}

/// Says what a daemon does after a peer has told its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum PeerExchange {
    /// The peer has a higher one, which is asked for.
    Ask,
    /// The peer has a lower one and gets this daemon's.
    Tell,
    /// Nothing is exchanged.
    Nothing,
}

/// Compares revisions with a peer on one connection.
///
/// `told` is the highest one that the peer was told before: a peer that refuses
/// a text isn't told it again and again.
pub fn compare(own: u64, peer: u64, told: u64) -> PeerExchange {
    if peer > own {
        PeerExchange::Ask
    } else if own > peer.max(told) {
        PeerExchange::Tell
    } else {
        PeerExchange::Nothing
    }
}

/// Describes a live daemon of the same failure domain.
#[derive(Clone, Copy, Debug)]
pub struct WatchCandidate<'a> {
    pub name: &'a str,
    /// Whether the platform answered it lately.
    pub platform_reachable: bool,
}

/// Tells whether a daemon waits on the platform, or leaves that to its peers.
///
/// Each daemon decides by what it hears; one that hears nobody waits itself.
/// One that can't reach the platform leaves it to those that can.
pub fn should_watch<'a>(
    own: WatchCandidate<'_>,
    peers: impl IntoIterator<Item = WatchCandidate<'a>>,
) -> bool {
    let (mut able, mut able_ahead, mut ahead) = (0, 0, 0);
    for peer in peers {
        let is_ahead = usize::from(rank(peer.name) < rank(own.name));
        ahead += is_ahead;
        if peer.platform_reachable {
            able += 1;
            able_ahead += is_ahead;
        }
    }
    match (own.platform_reachable, able) {
        (true, _) => able_ahead < DOMAIN_WATCHERS,
        (false, 0) => ahead < DOMAIN_WATCHERS,
        (false, _) => false,
    }
}

fn rank(name: &str) -> (u64, &str) {
    (xxh3::xxh3_64(name.as_bytes()), name)
}
