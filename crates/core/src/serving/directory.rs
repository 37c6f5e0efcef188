//! Which backend servers may be used, by their entries in the key-value
//! service.
//!
//! An entry that goes while the service answers means that its server leaves.
//! One that lapsed while the service was away proves nothing until the server
//! had time to write it again.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use crate::time::Timestamp;

/// Time that a live server needs to write its entry again after an outage.
const REWRITE_SPAN: Duration = Duration::from_millis(2000);
/// Time after an outage's end in which a missing entry may have lapsed during
/// it: the events of the outage come with the first answers.
const OUTAGE_TAIL: Duration = Duration::from_millis(500);

/// The phase that an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineStage {
    /// Prompts and outputs.
    #[default]
    Mixed,
    /// Prompts only; their KV cache is exported.
    Prefill,
    /// Outputs, and prompts at reduced speed.
    Decode,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub id: SmolStr,
    pub service: SmolStr,
    pub address: SocketAddr,
    pub domain: SmolStr,
    /// Requests that run at once.
    pub slots: u32,
    pub is_draining: bool,
    pub stage: EngineStage,
    /// Start of the server, in milliseconds since the epoch; a new value under
    /// the same id means that it knows nothing of before.
    pub started_at_ms: Option<u64>,
}

/// Says whether a server may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPresence {
    /// Its entry stands.
    Present,
    /// Its entry is missing since an outage; it is used until then.
    Lapsed { until: Timestamp },
    /// It leaves or has left.
    Gone,
}

impl ServerPresence {
    /// Tells whether new requests may be sent.
    pub fn is_usable(self, now: Timestamp) -> bool {
        match self {
            Self::Present => true,
            Self::Lapsed { until } => now < until,
            Self::Gone => false,
        }
    }
}

/// Follows whether the key-value service answers this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreConnectivity {
    lost_at: Option<Timestamp>,
    regained_at: Option<Timestamp>,
}

impl StoreConnectivity {
    /// Notes a call that failed; returns whether contact is lost just now.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        let is_news = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        is_news
    }

    /// Notes an answer; returns how long contact was lost, if it was.
    pub fn record_success(&mut self, now: Timestamp) -> Option<Duration> {
        let lost_at = self.lost_at.take()?;
        self.regained_at = Some(now);
        Some(now.since(lost_at))
    }

    /// Tells whether the service doesn't answer.
    pub fn is_unreachable(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Says what a missing entry means now.
    pub fn missing_entry_presence(&self, now: Timestamp) -> ServerPresence {
        if self.lost_at.is_some() {
            return ServerPresence::Lapsed { until: now + REWRITE_SPAN };
        }
        match self.regained_at {
            Some(at) if now.since(at) < OUTAGE_TAIL => {
                ServerPresence::Lapsed { until: at + REWRITE_SPAN }
            }
            _ => ServerPresence::Gone,
        }
    }
}
