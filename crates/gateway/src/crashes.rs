//! Finds out which requests ended because their server did, and refuses requests that crash servers,
//! or whose prompt parts do.

use std::{io, sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::serving::{
    event_stream::BodyFraming,
    part_evidence::{
        EngineIncarnation, PartConviction, PartRefusal, PartVerdict, RepeatedCrash, SuspectHistory,
        VerdictChanges,
    },
    prompt::{self, PartFingerprint},
    relays,
};
use gooseberry_platform::{
    front::LocalResponse,
    store::{StoreClient, StoreError, StorePut},
};
use gooseberry_transport::client::SendError;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    call::Call,
    gateway::Gateway,
    send::{self, SendTarget},
    state::DoubtfulEnd,
};

/// Prefix of the keys under which convicted parts are kept for daemons that start later.
pub const KEY_PREFIX: &str = "crashing-parts/";
/// Prefix of the keys under which the crashes of requests under suspicion are kept, for daemons that
/// start after all were killed.
const SUSPECT_PREFIX: &str = "suspect-requests/";
/// Format of the values of these keys.
const SUSPECT_FORMAT: u32 = 1;
/// Time for which evidence is kept in the key-value service.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Time for which doubtful ends are collected before a server is probed.
const PROBE_DELAY: Duration = Duration::from_millis(100);
/// Delay before verdicts that could not be stored are written again.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time in the delay of a trial in addition to that of updates, for queues at the daemons.
const TRIAL_MARGIN: Duration = Duration::from_millis(15);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Value of a part's key: the engines that crashed under it, or none if it was acquitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    pub engines: Vec<u64>,
}

/// Value of the key of a request under suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SuspectRecord {
    version: u32,
    crashes: Vec<CrashRecord>,
}

/// A crash in the value of the key of a request under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashRecord {
    engine: u64,
    /// Milliseconds since the first crash of the record.
    after_ms: u64,
    is_trial: bool,
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

/// The trial of suspect parts that a request is. Other requests with the parts wait until it is
/// dropped.
#[derive(Debug)]
pub struct TrialGuard {
    gateway: Arc<Gateway>,
    holder: u64,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.gateway.state.lock().end_part_trial(self.holder);
        self.gateway.wake_publisher();
    }
}

/// Decides whether a call may be sent to a server now. Each send asks, also a repeat.
///
/// # Errors
///
/// Returns the response to the caller if one of the call's parts is convicted, or on trial in
/// another request.
pub async fn admit(call: &Call) -> Result<(), LocalResponse> {
    let verdict = decide(call);
    let is_new_trial = verdict == PartVerdict::Trial && call.trial.lock().is_none();
    if !is_new_trial {
        return admitted(call, verdict);
    }
    let gateway = &call.gateway;
    let guard = TrialGuard { gateway: Arc::clone(gateway), holder: call.id_hash() };
    *call.trial.lock() = Some(Arc::new(guard));
    gateway.wake_publisher();
    // Other daemons may begin a trial at the same time, and all but one of them give way.
    gateway.clock.sleep(trial_delay(gateway)).await;
    let outcome = admitted(call, decide(call));
    if outcome.is_err() {
        call.trial.lock().take();
    } else {
        tracing::info!(
            request = %call.head.request_id,
            blamable_parts = prompt::describe_parts(&call.blamable_parts),
            "request is the trial of its parts"
        );
    }
    outcome
}

fn decide(call: &Call) -> PartVerdict {
    let gateway = &call.gateway;
    gateway.state.lock().admit_parts(&call.blamable_parts, call.id_hash(), gateway.now())
}

fn admitted(call: &Call, verdict: PartVerdict) -> Result<(), LocalResponse> {
    match verdict {
        PartVerdict::Clear | PartVerdict::Trial => Ok(()),
        PartVerdict::Refused(refusal) => Err(refuse(call, refusal)),
    }
}

/// Returns the time in which all daemons hear that a trial began.
fn trial_delay(gateway: &Gateway) -> Duration {
    let daemons = 1 + gateway.state.lock().live_peers(gateway.now());
    if daemons == 1 {
        return Duration::ZERO;
    }
    relays::update_delay(daemons as usize) + TRIAL_MARGIN
}

fn refuse(call: &Call, refusal: PartRefusal) -> LocalResponse {
    let PartRefusal { part, reason, crashes, retry_after } = refusal;
    call.gateway.metrics.part_refusals.with_label_values(&[<&str>::from(reason)]).inc();
    tracing::info!(
        request = %call.head.request_id,
        %part,
        %reason,
        crashes,
        is_request = part.is_request(),
        "request or its prompt part may crash servers; not sent"
    );
    LocalResponse::Unavailable { retry_after }
}

/// Records that a call was interrupted at a server, which may have ended.
pub fn record_interruption(call: &Call, target: &SendTarget) {
    let trial = call.trial.lock().clone();
    let parts = &call.blamable_parts;
    record_doubt(&call.gateway, target, parts, DoubtfulEnd::Interrupted, trial);
}

/// Records the end of a request whose server may have ended with it, and finds out whether it has. A
/// server that still accepts connections has not; if it has started again, its new entry shows that.
pub fn record_doubt(
    gateway: &Arc<Gateway>,
    target: &SendTarget,
    parts: &[PartFingerprint],
    end: DoubtfulEnd,
    trial: Option<Arc<TrialGuard>>,
) {
    let now = gateway.now();
    let incarnation = target.incarnation;
    let is_trial = trial.is_some();
    let is_due = gateway.state.lock().record_doubt(incarnation, parts, end, is_trial, now);
    if is_due || trial.is_some() {
        task::spawn(probe(Arc::clone(gateway), target.clone(), trial));
    }
}

/// Records that a request with these parts was completed. A response that ends with its connection
/// also looks complete if its server crashed, so such a one counts once the server is known to live.
pub fn record_completion(
    gateway: &Arc<Gateway>,
    target: &SendTarget,
    parts: &[PartFingerprint],
    framing: BodyFraming,
    trial: Option<Arc<TrialGuard>>,
) {
    let is_news = {
        let mut state = gateway.state.lock();
        let is_doubtful = framing == BodyFraming::Connection && state.needs_confirmation(parts);
        if is_doubtful {
            drop(state);
            return record_doubt(gateway, target, parts, DoubtfulEnd::Unframed, trial);
        }
        state.complete_parts(parts, gateway.now())
    };
    if is_news {
        gateway.wake_publisher();
    }
}

/// What a probe of a server shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum ProbeOutcome {
    Alive,
    /// Its address refuses connections.
    Ended,
    /// Nothing responds, which may also be the fault of the link.
    Unknown,
}

/// Connects to a server. A refused connection shows that it has ended.
async fn probe(gateway: Arc<Gateway>, target: SendTarget, trial: Option<Arc<TrialGuard>>) {
    gateway.clock.sleep(PROBE_DELAY).await;
    let began_at = gateway.now();
    gateway.state.lock().begin_probe(target.incarnation);
    let connected = send::connect(&gateway, &target).await;
    let service = gateway.state.lock().fleet.server(target.key).entry.service.clone();
    let outcome = match &connected {
        Ok(_) => ProbeOutcome::Alive,
        Err(_) if gateway.state.lock().is_cut(&service) => ProbeOutcome::Unknown,
        Err(SendError::NotConnected { reason, .. })
            if reason.kind() == io::ErrorKind::ConnectionRefused =>
        {
            ProbeOutcome::Ended
        }
        Err(_) => ProbeOutcome::Unknown,
    };
    tracing::info!(server = %target.id, %outcome, "server probed after a doubtful end of a request");
    let now = gateway.now();
    let has_news = match outcome {
        ProbeOutcome::Alive => gateway.state.lock().confirm_alive(target.incarnation, began_at),
        ProbeOutcome::Ended => {
            gateway.state.lock().confirm_crash(target.incarnation, now);
            true
        }
        ProbeOutcome::Unknown => false,
    };
    if has_news {
        gateway.wake_publisher();
    }
    drop(trial);
}

/// Writes verdicts to the key-value service, where daemons that start later read them. Those that
/// can't be written are returned to the state after a delay.
pub async fn publish_verdicts(gateway: &Gateway, changes: VerdictChanges) {
    let mut client = StoreClient::new(gateway.options.store);
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
    write(client, &format!("{KEY_PREFIX}{part}"), &serde_json::to_vec(&record)?).await
}

async fn write(client: &mut StoreClient, key: &str, value: &[u8]) -> Result<(), StoreError> {
    let lease = client.grant_lease(EVIDENCE_TTL, CALL_TIMEOUT).await?.id;
    let put = StorePut { key, value, lease, expected: None };
    client.put(&put, CALL_TIMEOUT).await.map(|_| ())
}

/// Writes the crashes of requests under suspicion to the key-value service. Those that can't be written
/// are returned to the state after a delay.
pub async fn publish_suspects(gateway: &Gateway, histories: Vec<SuspectHistory>) {
    let mut client = StoreClient::new(gateway.options.store);
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

/// Applies a verdict from the key-value service.
pub fn apply_verdict(gateway: &Gateway, name: &SmolStr, value: &[u8]) {
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
    if record.engines.is_empty() {
        state.parts.record_completion(&[part], now);
    } else {
        let engines = record.engines.into_iter().map(EngineIncarnation).collect();
        if state.apply_conviction(&PartConviction { part, engines }, now) {
            tracing::info!(%part, "request or prompt part is convicted in the key-value service");
        }
    }
}
