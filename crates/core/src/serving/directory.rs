//! Which backend servers may be used, according to their entries in the key-value service.
//!
//! An entry that is deleted while the service is available means that its server is shutting down.
//! An entry whose lease expired during an outage of the service proves nothing until the server has
//! had time to write it again.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use crate::time::Timestamp;

/// Time that a live server needs to write its entry again after an outage.
const REWRITE_WINDOW: Duration = Duration::from_millis(2000);
/// Time after the end of an outage during which a missing entry may have expired in the outage: the
/// changes of the outage arrive with the first responses.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time after a failed call began for which the list of entries may be out of date. If only this
/// daemon was cut off, its link may have recovered right after that call began. Requests must then
/// go by the current entries 3 s later, the least `stable-ms` of the deployments, and take some time
/// to arrive.
const STALE_LIST_LIMIT: Duration = Duration::from_millis(2800);

/// The phase of inference that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineStage {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only; the KV cache is exported.
    Prefill,
    /// Decode, and prefill at reduced speed.
    Decode,
}

/// Entry of a backend server in the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub id: SmolStr,
    pub service: SmolStr,
    pub address: SocketAddr,
    pub domain: SmolStr,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Version of the server's software. Versions may differ within a service.
    pub software: SmolStr,
    pub is_draining: bool,
    pub stage: EngineStage,
    /// Whether the platform may take the server back at short notice.
    pub is_reclaimable: bool,
    /// Start of the server, in milliseconds since the epoch. A new value under the same id means
    /// that the server has restarted and lost its state.
    pub started_at_ms: Option<u64>,
    /// Number of the write, which rises until the server starts again.
    pub sequence: u64,
}

impl ServerEntry {
    /// Returns whether another entry of this id is known to be of the same start of the server.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.started_at_ms.is_some()
            && self.started_at_ms == other.started_at_ms
            && self.address == other.address
    }
}

/// Whether a server may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPresence {
    /// Its entry exists.
    Present,
    /// Its entry expired in an outage of the key-value service. The server is used until `until`.
    Lapsed { until: Timestamp },
    /// It is shutting down or has ended.
    Gone,
}

impl ServerPresence {
    /// Returns whether new requests may be sent.
    pub fn is_usable(self, now: Timestamp) -> bool {
        match self {
            Self::Present => true,
            Self::Lapsed { until } => now < until,
            Self::Gone => false,
        }
    }
}

/// Whether the key-value service responds to this daemon, directly or through a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreConnectivity {
    outage_started_at: Option<Timestamp>,
    outage_ended_at: Option<Timestamp>,
    /// Time at which the last failed call began.
    last_failed_call_at: Timestamp,
    /// Time up to which all changes of the entries are known.
    listed_at: Option<Timestamp>,
}

impl StoreConnectivity {
    /// Records that a call failed which began at `called_at`. Returns whether it is the first failure
    /// of an outage.
    pub fn record_failure(&mut self, called_at: Timestamp) -> bool {
        let is_first = self.outage_started_at.is_none();
        self.outage_started_at.get_or_insert(called_at);
        self.last_failed_call_at = called_at;
        is_first
    }

    /// Records a response that has all changes up to `listed_at`. Returns whether it ends an outage. The
    /// list of a relay that is cut off too may be older than the outage and doesn't end it.
    pub fn record_success(&mut self, listed_at: Timestamp, now: Timestamp) -> bool {
        let ends = self.outage_started_at.is_some_and(|started_at| listed_at >= started_at);
        if ends {
            self.outage_started_at = None;
            self.outage_ended_at = Some(now);
        }
        ends
    }

    /// Records that all changes of the entries up to `at` have been received.
    pub fn record_list(&mut self, at: Timestamp) {
        self.listed_at = self.listed_at.max(Some(at));
    }

    /// Returns the age of the list of entries, or none if there was no list yet.
    pub fn list_age(&self, now: Timestamp) -> Option<Duration> {
        self.listed_at.map(|at| now.since(at))
    }

    /// Returns the time up to which all changes of the entries are known, or none if there was no list
    /// yet.
    pub fn listed_at(&self) -> Option<Timestamp> {
        self.listed_at
    }

    /// Returns whether the service isn't responding.
    pub fn is_unreachable(&self) -> bool {
        self.outage_started_at.is_some()
    }

    /// Returns the presence of a server whose entry is found missing now.
    pub fn missing_entry_presence(&self, now: Timestamp) -> ServerPresence {
        let lapsed = |since: Timestamp| {
            let until = since + REWRITE_WINDOW;
            ServerPresence::Lapsed { until: until.min(self.last_failed_call_at + STALE_LIST_LIMIT) }
        };
        if self.outage_started_at.is_some() {
            return lapsed(now);
        }
        match self.outage_ended_at {
            Some(at) if now.since(at) < OUTAGE_GRACE_PERIOD => lapsed(at),
            _ => ServerPresence::Gone,
        }
    }
}
