//! What the steward and the other parts of a daemon tell each other.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use gooseberry_core::time::Timestamp;
use gooseberry_wire::peer::PeerHello;
use parking_lot::Mutex;

use crate::snapshot::FleetSnapshot;

/// Time for which a daemon keeps an engine closed after it last heard the
/// steward ask for it.
///
/// It is longer than the age of a mark when it is acknowledged, the age of the
/// acknowledgement when the order is claimed, and the age of the claim when the
/// order is sent, together.
const MARK_EXPIRY: Duration = Duration::from_secs(6);
/// Greatest age of a mark that a daemon acknowledges, and of an acknowledgement
/// that a steward counts.
pub const ACK_MAX_AGE: Duration = Duration::from_millis(1500);

/// Holds which engines are to be drained, by this daemon's steward and by others.
#[derive(Debug, Default)]
pub struct DrainTable {
    steward: AtomicBool,
    own: Mutex<Vec<String>>,
    heard: Mutex<HashMap<String, StewardMark>>,
}

/// Holds what another daemon's steward last said.
#[derive(Debug)]
struct StewardMark {
    failure_domain: String,
    engines: Vec<String>,
    heard: Timestamp,
}

impl DrainTable {
    /// Tells whether this daemon is the steward of its failure domain.
    pub fn is_leader(&self) -> bool {
        self.steward.load(Ordering::Relaxed)
    }

    /// Notes whether this daemon is the steward.
    pub fn set_leader(&self, steward: bool) {
        self.steward.store(steward, Ordering::Relaxed);
    }

    /// Notes the engines that this daemon's steward wants without new work.
    pub fn set_draining(&self, engines: Vec<String>) {
        *self.own.lock() = engines;
    }

    /// Returns the engines that this daemon's steward wants without new work.
    pub fn draining(&self) -> Vec<String> {
        self.own.lock().clone()
    }

    /// Notes what another daemon says.
    pub fn observe_hello(&self, hello: &PeerHello, now: Timestamp) {
        let mut heard = self.heard.lock();
        if hello.steward != Some(true) && hello.draining.is_empty() {
            heard.remove(&hello.daemon);
            return;
        }
        let mark = StewardMark {
            failure_domain: hello.failure_domain.clone(),
            engines: hello.draining.clone(),
            heard: now,
        };
        heard.insert(hello.daemon.clone(), mark);
    }

    /// Tells how long ago a steward of a failure domain was heard.
    pub fn time_since_leader(&self, domain: &str, now: Timestamp) -> Option<Duration> {
        let heard = self.heard.lock();
        let marks = heard.values().filter(|mark| mark.failure_domain == domain);
        marks.map(|mark| now.since(mark.heard)).min()
    }

    /// Tells whether an engine gets no new work because it is to be drained.
    pub fn is_draining(&self, engine: &str, now: Timestamp) -> bool {
        self.is_marked(engine, now, MARK_EXPIRY)
    }

    fn is_marked(&self, engine: &str, now: Timestamp, age: Duration) -> bool {
        let names = |engines: &[String]| engines.iter().any(|name| name == engine);
        names(&self.own.lock())
            || self
                .heard
                .lock()
                .values()
                .any(|mark| now.since(mark.heard) < age && names(&mark.engines))
    }

    /// Returns the marked engines that get no new work from this daemon and run
    /// none of its requests.
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
