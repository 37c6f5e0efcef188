//! What this daemon knows of requests that crash engines, and tells its peers.
//!
//! Suspicion and conviction go to all peers before the request runs again or is
//! refused, so that its caller finds the next daemon informed. A conviction is
//! also recorded in the key-value service, for failure domains that are cut off
//! and daemons that start later.

pub mod quarantine;
pub mod rpc;

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_util::future;
use gooseberry_core::{
    poison::{PoisonStatus, PoisonTable, PoisonTrial, RequestFingerprint, QUARANTINE_DURATION},
    time::Timestamp,
};
use gooseberry_edges::{
    clock::Clock,
    engine::{EngineApi, EngineError},
};
use gooseberry_wire::{
    engine::CompletionRequest,
    peer::{self, PoisonNotice, TrialRequest},
    settings::DaemonSettings,
};
use jsonrpsee::core::traits::ToRpcParams;
use parking_lot::Mutex;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::poison::rpc::PeerClient;

/// Pause between looks at an engine whose connection broke.
const CRASH_LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Looks at an engine whose connection broke.
const CRASH_LOOKS: u32 = 30;

/// Holds the standing of requests for this daemon.
pub struct PoisonRegistry {
    table: Mutex<PoisonTable>,
    links: Vec<PeerClient>,
    clock: Clock,
    secret: String,
    holder: SmolStr,
    /// Tells the recorder of a new conviction.
    news: async_channel::Sender<()>,
}

/// Ends a trial when dropped, here and at all peers.
pub struct TrialGuard {
    registry: Arc<PoisonRegistry>,
    trial: TrialRequest,
}

impl PoisonRegistry {
    /// Makes an empty registry, and the receiver that hears of convictions.
    pub fn new(
        settings: &DaemonSettings,
        clock: Clock,
    ) -> (Arc<Self>, async_channel::Receiver<()>) {
        let (news, heard) = async_channel::bounded(1);
        let links = settings.peers.iter().map(|address| PeerClient::new(address)).collect();
        let registry = Self {
            table: Mutex::default(),
            links,
            clock,
            secret: settings.peer_secret.clone(),
            holder: SmolStr::new(&settings.name),
            news,
        };
        (Arc::new(registry), heard)
    }

    /// Says how a request may run now.
    pub fn status(&self, fingerprint: RequestFingerprint) -> PoisonStatus {
        self.table.lock().status(fingerprint, self.clock.now())
    }

    /// Tells whether a suspect runs on an engine.
    pub fn is_on_trial(&self, engine: &str) -> bool {
        self.table.lock().is_on_trial(engine, self.clock.now())
    }

    /// Notes a crash of the engine that ran a request, and tells all peers.
    pub async fn record_crash(&self, fingerprint: RequestFingerprint, on_trial: bool) {
        let standing =
            if on_trial { peer::PoisonStatus::Convicted } else { peer::PoisonStatus::Suspect };
        tracing::warn!(fingerprint = fingerprint.0, %standing, "a request's engine crashed");
        self.tell(fingerprint, standing).await;
    }

    /// Notes that a request ran to its end, and tells all peers.
    pub async fn clear(&self, fingerprint: RequestFingerprint) {
        self.tell(fingerprint, peer::PoisonStatus::Acquitted).await;
    }

    async fn tell(&self, fingerprint: RequestFingerprint, standing: peer::PoisonStatus) {
        let notice = PoisonNotice { fingerprint: fingerprint.0, standing };
        self.apply_notice(&notice);
        self.call_all::<()>("poison_notice", (&self.secret, &notice)).await;
    }

    /// Takes the standing of a request, from here or from a peer.
    pub fn apply_notice(&self, notice: &PoisonNotice) {
        let now = self.clock.now();
        let fingerprint = RequestFingerprint(notice.fingerprint);
        let mut table = self.table.lock();
        match notice.standing {
            peer::PoisonStatus::Suspect => table.suspect(fingerprint, now),
            peer::PoisonStatus::Acquitted => table.clear(fingerprint, now),
            peer::PoisonStatus::Convicted => {
                if table.quarantine(fingerprint, now + QUARANTINE_DURATION, now) {
                    let _ = self.news.try_send(());
                }
            }
        }
    }

    /// Takes a conviction that another failure domain recorded.
    pub fn apply_quarantine(&self, fingerprint: RequestFingerprint, until: Timestamp) {
        let now = self.clock.now();
        if now < until && self.table.lock().quarantine(fingerprint, until, now) {
            tracing::info!(fingerprint = fingerprint.0, "took a recorded conviction");
        }
    }

    /// Returns the convictions in force with the times at which they expire.
    pub fn quarantined(&self) -> Vec<(RequestFingerprint, Timestamp)> {
        self.table.lock().quarantined(self.clock.now())
    }

    /// Reserves an engine for a suspect at this daemon and all peers that can
    /// be reached; nothing if any of them knows of a trial against it.
    pub async fn begin_trial(
        self: &Arc<Self>,
        fingerprint: RequestFingerprint,
        engine: &str,
        span: Duration,
    ) -> Option<TrialGuard> {
        let trial = TrialRequest {
            fingerprint: fingerprint.0,
            engine: engine.to_owned(),
            holder: self.holder.to_string(),
            span_ms: span.as_millis() as u64,
        };
        if !self.reserve(&trial) {
            return None;
        }
        // From here on the reservation is given back if it isn't used.
        let held = TrialGuard { registry: Arc::clone(self), trial };
        let answers = self.call_all("poison_trial", (&self.secret, &held.trial)).await;
        answers.into_iter().all(|granted| granted).then_some(held)
    }

    /// Reserves an engine for a suspect at this daemon.
    pub fn reserve(&self, request: &TrialRequest) -> bool {
        let span = Duration::from_millis(request.span_ms);
        self.table.lock().begin_trial(trial(request), span, self.clock.now())
    }

    /// Ends a trial at this daemon.
    pub fn release(&self, request: &TrialRequest) {
        self.table.lock().end_trial(&trial(request));
    }

    /// Calls all peers at once and returns the answers of those that gave one.
    async fn call_all<T: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        params: impl ToRpcParams + Send + Clone,
    ) -> Vec<T> {
        let calls = self.links.iter().map(|link| link.call(method, params.clone()));
        future::join_all(calls).await.into_iter().flatten().collect()
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.registry.release(&self.trial);
        let (registry, trial) = (Arc::clone(&self.registry), self.trial.clone());
        task::spawn(async move {
            registry.call_all::<()>("poison_trial_end", (&registry.secret, &trial)).await;
        });
    }
}

fn trial(request: &TrialRequest) -> PoisonTrial {
    PoisonTrial {
        fingerprint: RequestFingerprint(request.fingerprint),
        engine: SmolStr::new(&request.engine),
        holder: SmolStr::new(&request.holder),
    }
}

/// Returns the fingerprint of what engines compute for a request.
///
/// The number of tokens, the priority and the account are left out: a caller
/// can change them and still crash an engine with the same prompt.
pub fn fingerprint(request: &CompletionRequest) -> RequestFingerprint {
    let adapter = request.adapter.as_deref().unwrap_or_default();
    let seed = xxh3::xxh3_64(format!("{}\n{adapter}", request.model).as_bytes());
    RequestFingerprint(xxh3::xxh3_64_with_seed(request.prompt.as_bytes(), seed))
}

/// Tells whether an engine whose connection broke has crashed: its address
/// refuses connections, or another incarnation answers there. An engine that
/// cut a stream on purpose still answers as the same incarnation, and one that
/// can't be reached may be cut off only.
pub async fn has_crashed(
    engines: &dyn EngineApi,
    clock: &Clock,
    address: &str,
    incarnation: Option<u64>,
) -> bool {
    for _ in 0..CRASH_LOOKS {
        match engines.load(address).await {
            Ok(report) => return incarnation.is_some_and(|known| known != report.incarnation),
            Err(error) if error.is_refused_connection() => return true,
            Err(error) if error.is_timeout() => return false,
            Err(EngineError::Unreachable(_)) => return false,
            // A process that ends or starts answers without a report.
            Err(_) => clock.sleep(CRASH_LOOK_PAUSE).await,
        }
    }
    false
}
