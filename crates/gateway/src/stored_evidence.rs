//! Evidence against requests and prompt parts that crash servers, as the key-value service keeps it for
//! daemons that start later.

use std::time::Duration;

use gooseberry_core::serving::{
    part_evidence::{
        EngineIncarnation, PartConviction, RepeatedCrash, SuspectHistory, VerdictChanges,
    },
    prompt::PartFingerprint,
};
use gooseberry_platform::store::{PutCondition, StoreClient, StoreError, StorePut};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::gateway::Gateway;

/// Prefix of the keys under which convicted parts are kept for daemons that start later.
pub const VERDICT_PREFIX: &str = "crashing-parts/";
/// Prefix of the keys under which the crashes of requests under suspicion are kept, for daemons that
/// start after all were killed.
const SUSPECT_PREFIX: &str = "suspect-requests/";
/// Format of the values of these keys.
const SUSPECT_FORMAT: u32 = 1;
/// Time for which evidence is kept in the key-value service.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Delay before evidence that could not be stored is written again.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Value of a part's key: the engines that crashed under it, or none if it was acquitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    pub engines: Vec<u64>,
}

/// Value of the key of a request under suspicion. Without crashes, a request with it has completed since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    pub version: u32,
    pub crashes: Vec<CrashRecord>,
}

/// A crash in the value of the key of a request under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    pub engine: u64,
    /// Milliseconds since the first crash of the record.
    pub after_ms: u64,
    pub is_trial: bool,
}

impl SuspectRecord {
    fn new(history: &SuspectHistory) -> Self {
        let record = |crash: &RepeatedCrash| CrashRecord {
            engine: crash.engine.0,
            after_ms: crash.after.as_millis() as u64,
            is_trial: crash.is_trial,
        };
        Self { version: SUSPECT_FORMAT, crashes: history.crashes.iter().map(record).collect() }
    }

    fn history(&self, part: PartFingerprint) -> SuspectHistory {
        let crash = |record: &CrashRecord| RepeatedCrash {
            engine: EngineIncarnation(record.engine),
            after: Duration::from_millis(record.after_ms),
            is_trial: record.is_trial,
        };
        SuspectHistory { part, crashes: self.crashes.iter().map(crash).collect() }
    }
}

/// Writes verdicts to the key-value service, where daemons that start later read them. Those that
/// can't be written are returned to the state after a delay.
pub async fn publish_verdicts(gateway: &Gateway, changes: VerdictChanges) {
    let mut client = gateway.store.client();
    let mut failed = VerdictChanges::default();
    for conviction in changes.convicted {
        let engines = conviction.engines.iter().map(|engine| engine.0).collect();
        if !publish_verdict(gateway, &mut client, conviction.part, engines).await {
            failed.convicted.push(conviction);
        }
    }
    for part in changes.acquitted {
        if !publish_verdict(gateway, &mut client, part, Vec::new()).await {
            failed.acquitted.push(part);
        }
    }
    if failed != VerdictChanges::default() {
        gateway.clock.sleep(RETRY_DELAY).await;
        gateway.state.lock().return_verdict_changes(failed);
    }
}

/// Writes a verdict and returns whether that succeeded.
async fn publish_verdict(
    gateway: &Gateway,
    client: &mut StoreClient,
    part: PartFingerprint,
    engines: Vec<u64>,
) -> bool {
    let written = write_verdict(client, part, VerdictRecord { engines }).await;
    if let Err(fault) = &written {
        gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
        tracing::warn!(%part, %fault, "verdict not stored; retrying");
    }
    written.is_ok()
}

async fn write_verdict(
    client: &mut StoreClient,
    part: PartFingerprint,
    record: VerdictRecord,
) -> Result<(), StoreError> {
    write(client, &format!("{VERDICT_PREFIX}{part}"), &serde_json::to_vec(&record)?).await
}

async fn write(client: &mut StoreClient, key: &str, value: &[u8]) -> Result<(), StoreError> {
    let lease = Some(client.grant_lease(EVIDENCE_TTL, CALL_TIMEOUT).await?);
    let put = StorePut { key, value, lease, condition: PutCondition::Any };
    client.put(&put, CALL_TIMEOUT).await.map(|_| ())
}

/// Writes the crashes of requests under suspicion to the key-value service. Those that can't be written
/// are returned to the state after a delay.
pub async fn publish_suspects(gateway: &Gateway, histories: Vec<SuspectHistory>) {
    let mut client = gateway.store.client();
    let mut failed = Vec::new();
    for history in histories {
        let part = history.part;
        if let Err(fault) = write_suspect(&mut client, &history).await {
            gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
            tracing::warn!(%part, %fault, "crashes of a request not stored; retrying");
            failed.push(part);
        } else {
            let crashes = history.crashes.len();
            tracing::info!(%part, crashes, "crashes of a request stored");
        }
    }
    if !failed.is_empty() {
        gateway.clock.sleep(RETRY_DELAY).await;
        let mut state = gateway.state.lock();
        failed.into_iter().for_each(|part| state.return_suspect(part));
    }
}

async fn write_suspect(
    client: &mut StoreClient,
    history: &SuspectHistory,
) -> Result<(), StoreError> {
    let key = format!("{SUSPECT_PREFIX}{}", history.part);
    write(client, &key, &serde_json::to_vec(&SuspectRecord::new(history))?).await
}

/// Applies the stored crashes of a request under suspicion, if the key is that of one. Only a daemon that
/// starts needs them: the others know the crashes, and which of them were found wrong.
pub fn restore_suspect(gateway: &Gateway, key: &str, value: &[u8]) {
    let Some(name) = key.strip_prefix(SUSPECT_PREFIX) else {
        return;
    };
    let part = u64::from_str_radix(name, 16).map(PartFingerprint);
    match (part, serde_json::from_slice::<SuspectRecord>(value)) {
        // The crashes were withdrawn.
        (Ok(_), Ok(record)) if record.version == SUSPECT_FORMAT && record.crashes.is_empty() => {}
        (Ok(part), Ok(record)) if record.version == SUSPECT_FORMAT && part.is_request() => {
            let now = gateway.now();
            gateway.state.lock().restore_suspect(&record.history(part), now);
            tracing::info!(%part, crashes = record.crashes.len(), "crashes of a request restored");
        }
        (Ok(_), Ok(SuspectRecord { version, .. })) => {
            tracing::warn!(%name, version, "crashes of a request have another format; ignored");
        }
        (Err(error), _) => {
            tracing::warn!(%name, %error, "key of a request under suspicion can't be decoded");
        }
        (_, Err(error)) => {
            tracing::warn!(%name, %error, "crashes of a request can't be decoded");
        }
    }
}

/// Applies a verdict from the key-value service. `is_restored` states whether it may be from the copy from
/// which the service came back.
pub fn apply_verdict(gateway: &Gateway, name: &SmolStr, value: &[u8], is_restored: bool) {
    let part = u64::from_str_radix(name, 16).map(PartFingerprint);
    let (part, record) = match (part, serde_json::from_slice::<VerdictRecord>(value)) {
        (Ok(part), Ok(record)) => (part, record),
        (Err(error), _) => {
            return tracing::warn!(%name, %error, "key of a verdict can't be decoded")
        }
        (_, Err(error)) => return tracing::warn!(%name, %error, "verdict can't be decoded"),
    };
    let now = gateway.now();
    let mut state = gateway.state.lock();
    if is_restored && record.engines.is_empty() && state.parts.is_convicted(part) {
        return tracing::info!(%part, "part was convicted after the acquittal that the key-value service has restored");
    }
    if record.engines.is_empty() {
        state.parts.record_completion(&[part], now);
    } else {
        let engines = record.engines.into_iter().map(EngineIncarnation).collect();
        if state.apply_conviction(&PartConviction { part, engines }, now) {
            tracing::info!(%part, "request or prompt part is convicted in the key-value service");
        }
    }
}
