//! Finds out which requests ended because their server did, and refuses requests that crash servers,
//! or whose prompt parts do.

use std::{io, sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::serving::{
    event_stream::BodyFraming,
    part_evidence::{PartRefusal, PartVerdict},
    prompt::{self, PartFingerprint},
    relays,
};
use gooseberry_platform::front::LocalResponse;
use gooseberry_transport::client::SendError;

use crate::{
    call::Call,
    gateway::Gateway,
    send::{self, SendTarget},
    state::DoubtfulEnd,
};

/// Time for which doubtful ends are collected before a server is probed.
const PROBE_DELAY: Duration = Duration::from_millis(100);
/// Time in the delay of a trial in addition to that of updates, for queues at the daemons.
const TRIAL_MARGIN: Duration = Duration::from_millis(15);
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
