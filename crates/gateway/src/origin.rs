//! Finds the software version that began a stream which a caller resumes.

use std::time::Duration;

use gooseberry_core::serving::{
    directory::ServerEntry,
    software::{self, OriginKnowledge, SoftwareKey, StreamKey, UnconfirmedOrigin},
    store_era::StoreRevision,
};
use gooseberry_platform::{
    servers,
    store::{StoreChange, StoreKey},
};

use crate::{
    call::{Call, CallRoute},
    gateway::Gateway,
    send::{self, SendTarget},
};

/// Longest wait for the responses of other daemons: twice the delay of 16 ms between regions and
/// back, the batching of the question, and their own call to the key-value service.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of the call that tells whether a service still has only one version. The caller waits for it.
const LIST_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the report that tells whether an engine has started again.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two looks for a response.
const CHECK_INTERVAL: Duration = Duration::from_millis(4);

/// How the version of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum OriginSource {
    /// A record of this daemon, made by itself or told by another.
    Record,
    /// The service has had only one version.
    SoleVersion,
    /// Another daemon responded to the question.
    Asked,
    /// No daemon that can be reached knows.
    Unknown,
}

/// Returns the version that began the stream which a call resumes, or `None` if that can't be
/// known. Asks other daemons if this one has no record.
pub async fn find(call: &Call, route: &CallRoute) -> Option<SoftwareKey> {
    let gateway = &call.gateway;
    // A caller that doesn't name the first attempt gets a version only if it can't be another one.
    // The key of its own attempt then identifies the question.
    let stream = StreamKey::of(call.head.stream_id());
    let (software, source) = search(gateway, &route.service, stream).await;
    gateway.metrics.resumes.with_label_values(&[&source.to_string()]).inc();
    tracing::info!(
        request = %call.head.request_id,
        resumes = call.head.resumed_request.as_deref(),
        last_event = call.head.last_event.as_deref(),
        %source,
        software = software.map(|software| software.0),
        "version of a resumed stream"
    );
    software
}

async fn search(
    gateway: &Gateway,
    service: &str,
    stream: StreamKey,
) -> (Option<SoftwareKey>, OriginSource) {
    let known = || gateway.state.lock().stream_software(stream);
    let knowledge = gateway.state.lock().stream_origin(stream);
    match knowledge {
        OriginKnowledge::Known(software) => return (Some(software), OriginSource::Record),
        OriginKnowledge::Unconfirmed(origin) => {
            if !confirm(gateway, vec![origin]).await.is_empty() {
                return (Some(origin.software), OriginSource::Record);
            }
            tracing::info!(
                stream = stream.0,
                "engine may have started again before it got a stream"
            );
        }
        OriginKnowledge::Unknown | OriginKnowledge::Doubtful => {}
    }
    if let Some(software) = current_sole_version(gateway, service).await {
        return (Some(software), OriginSource::SoleVersion);
    }
    let asked_at = gateway.now();
    gateway.state.lock().ask_origin(stream, service);
    gateway.wake_publisher();
    while gateway.now().since(asked_at) < RESPONSE_TIMEOUT {
        gateway.clock.sleep(CHECK_INTERVAL).await;
        if let Some(software) = known() {
            return (Some(software), OriginSource::Asked);
        }
    }
    (None, OriginSource::Unknown)
}

/// Returns the version that began all streams of a service up to now, if it was a single one.
///
/// An engine of another version may have joined since this daemon's list was read, and streams may have
/// begun there at other daemons. So the changes since then are read from the key-value service, and in
/// doubt there is no version.
pub async fn current_sole_version(gateway: &Gateway, service: &str) -> Option<SoftwareKey> {
    let (software, revision) = {
        let state = gateway.state.lock();
        (state.sole_software(service, gateway.now())?, state.listed_revision)
    };
    let newer = newer_entries(gateway, revision).await?;
    if !software::remains_sole_version(software, service, &newer) {
        tracing::info!(%service, %revision, "a service has had another version since the list was read");
        return None;
    }
    // Changes may have been missed meanwhile.
    let is_unchanged = gateway.state.lock().sole_software(service, gateway.now()) == Some(software);
    is_unchanged.then_some(software)
}

/// Returns the records whose engines haven't started again before they got their streams, by the changes
/// of the entries since the list was read. If these can't be read, the list counts.
pub async fn confirm(
    gateway: &Gateway,
    mut records: Vec<UnconfirmedOrigin>,
) -> Vec<UnconfirmedOrigin> {
    let revision = gateway.state.lock().listed_revision;
    let Some(newer) = newer_entries(gateway, revision).await else {
        return records;
    };
    let state = gateway.state.lock();
    records.retain(|origin| software::is_confirmed(origin.target, &state.fleet, &newer));
    records
}

/// Reads the entries that servers have written since a revision, or returns none if they can't be read.
async fn newer_entries(gateway: &Gateway, revision: StoreRevision) -> Option<Vec<ServerEntry>> {
    let mut client = gateway.store.client();
    match client.watch(revision, Duration::ZERO, LIST_TIMEOUT).await {
        Ok(update) => {
            gateway.metrics.store_calls.with_label_values(&["answered"]).inc();
            Some(update.changes.iter().filter_map(changed_entry).collect())
        }
        Err(fault) => {
            gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
            tracing::info!(%revision, %fault, "can't read the server entries that are newer than the list");
            None
        }
    }
}

/// Returns whether an engine runs the version that its entry states.
///
/// It may have started again with another version since the list was read, and doesn't check which
/// streams it continues. So the engine itself is asked when it started. If that can't be told, its entry
/// counts unless the list may be out of date.
pub async fn runs_stated_version(gateway: &Gateway, target: &SendTarget) -> bool {
    let is_listed = || !gateway.state.lock().fleet.connectivity.is_unreachable();
    let Some(stated) = target.started_at_ms else {
        return is_listed();
    };
    let report = gateway.clock.timeout(REPORT_TIMEOUT, send::report(gateway, target)).await;
    let reported = report.ok().flatten().and_then(|report| report.started_at_ms);
    let runs_stated = reported.map_or_else(is_listed, |reported| reported == stated);
    if !runs_stated {
        tracing::info!(server = %target.id, stated, reported, "engine may have started again with another version");
    }
    runs_stated
}

fn changed_entry(change: &StoreChange) -> Option<ServerEntry> {
    match (&change.subject, &change.value) {
        (StoreKey::Server(id), Some(text)) => servers::decode(id, text).ok(),
        _ => None,
    }
}
