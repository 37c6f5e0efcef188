//! Requests that crash engines, as known to this daemon and its peers.
//!
//! Suspects and quarantines are sent to all peers before the request runs again or
//! is refused, so that the next daemon already knows when the caller retries there.
//! Quarantines are also recorded in the key-value store, for failure domains that
//! can't be reached and daemons that start later.

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

/// Delay between checks of an engine whose connection was lost.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Checks of an engine whose connection was lost.
const CRASH_CHECK_LIMIT: u32 = 30;

/// Status of suspect and quarantined requests at this daemon.
pub struct PoisonRegistry {
    table: Mutex<PoisonTable>,
    peers: Vec<PeerClient>,
    clock: Clock,
    secret: String,
    holder: SmolStr,
    /// Notifies the task that records quarantines.
    quarantine_sender: async_channel::Sender<()>,
}

/// Ends a trial on drop, here and at all peers.
pub struct TrialGuard {
    registry: Arc<PoisonRegistry>,
    trial: TrialRequest,
}

impl PoisonRegistry {
    /// Creates an empty registry, and the receiver that is notified of quarantines.
    pub fn new(
        settings: &DaemonSettings,
        clock: Clock,
    ) -> (Arc<Self>, async_channel::Receiver<()>) {
        let (quarantine_sender, receiver) = async_channel::bounded(1);
        let peers = settings.peers.iter().map(|address| PeerClient::new(address)).collect();
        let registry = Self {
            table: Mutex::default(),
            peers,
            clock,
            secret: settings.peer_secret.clone(),
            holder: SmolStr::new(&settings.name),
            quarantine_sender,
        };
        (Arc::new(registry), receiver)
    }

    /// Returns how a request may run now.
    pub fn status(&self, fingerprint: RequestFingerprint) -> PoisonStatus {
        self.table.lock().status(fingerprint, self.clock.now())
    }

    /// Returns whether a suspect runs on an engine.
    pub fn is_on_trial(&self, engine: &str) -> bool {
        self.table.lock().is_on_trial(engine, self.clock.now())
    }

    /// Records a crash of the engine that ran a request, and notifies all peers.
    pub async fn record_crash(&self, fingerprint: RequestFingerprint, on_trial: bool) {
        let standing =
            if on_trial { peer::PoisonStatus::Convicted } else { peer::PoisonStatus::Suspect };
        tracing::warn!(
            fingerprint = fingerprint.0,
            %standing,
            "engine crashed while it ran a request"
        );
        self.notify_peers(fingerprint, standing).await;
    }

    /// Records that a request ran to its end, and notifies all peers.
    pub async fn clear(&self, fingerprint: RequestFingerprint) {
        self.notify_peers(fingerprint, peer::PoisonStatus::Acquitted).await;
    }

    async fn notify_peers(&self, fingerprint: RequestFingerprint, standing: peer::PoisonStatus) {
        let notice = PoisonNotice { fingerprint: fingerprint.0, standing };
        self.apply_notice(&notice);
        self.call_all::<()>("poison_notice", (&self.secret, &notice)).await;
    }

    /// Applies the status of a request, from this daemon or from a peer.
    pub fn apply_notice(&self, notice: &PoisonNotice) {
        let now = self.clock.now();
        let fingerprint = RequestFingerprint(notice.fingerprint);
        let mut table = self.table.lock();
        match notice.standing {
            peer::PoisonStatus::Suspect => table.suspect(fingerprint, now),
            peer::PoisonStatus::Acquitted => table.clear(fingerprint, now),
            peer::PoisonStatus::Convicted => {
                if table.quarantine(fingerprint, now + QUARANTINE_DURATION, now) {
                    let _ = self.quarantine_sender.try_send(());
                }
            }
        }
    }

    /// Applies a quarantine that another failure domain recorded.
    pub fn apply_quarantine(&self, fingerprint: RequestFingerprint, until: Timestamp) {
        let now = self.clock.now();
        if now < until && self.table.lock().quarantine(fingerprint, until, now) {
            tracing::info!(fingerprint = fingerprint.0, "applied a recorded quarantine");
        }
    }

    /// Returns the quarantined requests with their expiry times.
    pub fn quarantined(&self) -> Vec<(RequestFingerprint, Timestamp)> {
        self.table.lock().quarantined(self.clock.now())
    }

    /// Reserves an engine for a suspect at this daemon and all peers that can be
    /// reached. Returns `None` if any of them has a conflicting trial.
    pub async fn begin_trial(
        self: &Arc<Self>,
        fingerprint: RequestFingerprint,
        engine: &str,
        duration: Duration,
    ) -> Option<TrialGuard> {
        let trial = TrialRequest {
            fingerprint: fingerprint.0,
            engine: engine.to_owned(),
            holder: self.holder.to_string(),
            span_ms: duration.as_millis() as u64,
        };
        if !self.reserve(&trial) {
            return None;
        }
        // From here on the reservation is released if it isn't used.
        let guard = TrialGuard { registry: Arc::clone(self), trial };
        let answers = self.call_all("poison_trial", (&self.secret, &guard.trial)).await;
        answers.into_iter().all(|granted| granted).then_some(guard)
    }

    /// Reserves an engine for a suspect at this daemon.
    pub fn reserve(&self, request: &TrialRequest) -> bool {
        let duration = Duration::from_millis(request.span_ms);
        self.table.lock().begin_trial(trial(request), duration, self.clock.now())
    }

    /// Ends a trial at this daemon.
    pub fn release(&self, request: &TrialRequest) {
        self.table.lock().end_trial(&trial(request));
    }

    /// Calls all peers concurrently and returns the responses that arrived.
    async fn call_all<T: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        params: impl ToRpcParams + Send + Clone,
    ) -> Vec<T> {
        let calls = self.peers.iter().map(|client| client.call(method, params.clone()));
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
/// The number of tokens, the priority and the account are left out: a caller could
/// change them and still crash an engine with the same prompt.
pub fn fingerprint(request: &CompletionRequest) -> RequestFingerprint {
    let adapter = request.adapter.as_deref().unwrap_or_default();
    let seed = xxh3::xxh3_64(format!("{}\n{adapter}", request.model).as_bytes());
    RequestFingerprint(xxh3::xxh3_64_with_seed(request.prompt.as_bytes(), seed))
}

/// Returns whether an engine whose connection was lost has crashed: its address
/// refuses connections, or another incarnation responds there. An engine that
/// closed a stream on purpose still responds as the same incarnation, and one that
/// can't be reached may be separated by the network only.
pub async fn has_crashed(
    engines: &dyn EngineApi,
    clock: &Clock,
    address: &str,
    incarnation: Option<u64>,
) -> bool {
    for _ in 0..CRASH_CHECK_LIMIT {
        match engines.load(address).await {
            Ok(report) => return incarnation.is_some_and(|known| known != report.incarnation),
            Err(error) if error.is_refused_connection() => return true,
            Err(error) if error.is_timeout() => return false,
            Err(EngineError::Unreachable(_)) => return false,
            // A process that is stopping or starting responds without a report.
            Err(_) => clock.sleep(CRASH_CHECK_DELAY).await,
        }
    }
    false
}
