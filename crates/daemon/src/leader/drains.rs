//! Drain state that the leader shares with the other parts of a daemon.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use gooseberry_core::time::Timestamp;
use gooseberry_wire::peer::PeerHello;
use parking_lot::Mutex;

use crate::snapshot::FleetSnapshot;

/// Time for which a daemon keeps an engine closed after the last drain mark from a
/// leader.
///
/// It exceeds the sum of three ages: of a mark when it is acknowledged, of the
/// acknowledgement when the order is claimed, and of the claim when the order is
/// sent.
const MARK_EXPIRY: Duration = Duration::from_secs(6);
/// Greatest age of a mark that a daemon acknowledges, and of an acknowledgement
/// that a leader counts.
pub const ACK_MAX_AGE: Duration = Duration::from_millis(1500);

/// Engines to be drained, as marked by this daemon's leader and by other daemons.
#[derive(Debug, Default)]
pub struct DrainTable {
    is_leader: AtomicBool,
    own_marks: Mutex<Vec<String>>,
    peer_marks: Mutex<HashMap<String, DrainMark>>,
}

/// Engines that another daemon's leader last marked.
#[derive(Debug)]
struct DrainMark {
    failure_domain: String,
    engines: Vec<String>,
    received_at: Timestamp,
}

impl DrainTable {
    /// Returns whether this daemon is the leader of its failure domain.
    pub fn is_leader(&self) -> bool {
        self.is_leader.load(Ordering::Relaxed)
    }

    /// Sets whether this daemon is the leader.
    pub fn set_leader(&self, is_leader: bool) {
        self.is_leader.store(is_leader, Ordering::Relaxed);
    }

    /// Sets the engines that this daemon's leader drains.
    pub fn set_draining(&self, engines: Vec<String>) {
        *self.own_marks.lock() = engines;
    }

    /// Returns the engines that this daemon's leader drains.
    pub fn draining(&self) -> Vec<String> {
        self.own_marks.lock().clone()
    }

    /// Records the drain marks in another daemon's hello.
    pub fn observe_hello(&self, hello: &PeerHello, now: Timestamp) {
        let mut peer_marks = self.peer_marks.lock();
        if hello.steward != Some(true) && hello.draining.is_empty() {
            peer_marks.remove(&hello.daemon);
            return;
        }
        let mark = DrainMark {
            failure_domain: hello.failure_domain.clone(),
            engines: hello.draining.clone(),
            received_at: now,
        };
        peer_marks.insert(hello.daemon.clone(), mark);
    }

    /// Returns the time since the last hello of a failure domain's leader.
    pub fn time_since_leader(&self, domain: &str, now: Timestamp) -> Option<Duration> {
        let peer_marks = self.peer_marks.lock();
        let marks = peer_marks.values().filter(|mark| mark.failure_domain == domain);
        marks.map(|mark| now.since(mark.received_at)).min()
    }

    /// Returns whether an engine gets no new requests because it is to be drained.
    pub fn is_draining(&self, engine: &str, now: Timestamp) -> bool {
        self.is_marked(engine, now, MARK_EXPIRY)
    }

    fn is_marked(&self, engine: &str, now: Timestamp, age: Duration) -> bool {
        let contains = |engines: &[String]| engines.iter().any(|name| name == engine);
        contains(&self.own_marks.lock())
            || self
                .peer_marks
                .lock()
                .values()
                .any(|mark| now.since(mark.received_at) < age && contains(&mark.engines))
    }

    /// Returns the marked engines to which this daemon sends no new requests and on
    /// which none of its requests run.
    pub fn drained(&self, snapshot: &FleetSnapshot, now: Timestamp) -> Vec<String> {
        let engines = snapshot.fleet.engines.iter().filter(|(key, row)| {
            let idle = snapshot
                .engines
                .get(*key)
                .is_some_and(|entry| entry.gauge.is_closed() && entry.gauge.outstanding() == 0);
            idle && self.is_marked(&row.name, now, ACK_MAX_AGE)
        });
        engines.map(|(_, row)| row.name.to_string()).collect()
    }
}
