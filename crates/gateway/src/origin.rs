//! Finds the software version that began a stream which a caller resumes.

use std::time::Duration;

use gooseberry_core::serving::software::{SoftwareKey, StreamKey};

use crate::{
    call::{Call, CallRoute},
    gateway::Gateway,
};

/// Longest wait for the responses of other daemons: twice the delay of 16 ms between regions and
/// back, and the batching of the question.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);
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
    let recorded = || gateway.state.lock().stream_software(stream);
    if let Some(software) = recorded() {
        return (Some(software), OriginSource::Record);
    }
    let asked_at = gateway.now();
    let sole_version = gateway.state.lock().sole_software(service, asked_at);
    if sole_version.is_some() {
        return (sole_version, OriginSource::SoleVersion);
    }
    gateway.state.lock().ask_origin(stream, service);
    gateway.wake_publisher();
    while gateway.now().since(asked_at) < RESPONSE_TIMEOUT {
        gateway.clock.sleep(CHECK_INTERVAL).await;
        if let Some(software) = recorded() {
            return (Some(software), OriginSource::Asked);
        }
    }
    (None, OriginSource::Unknown)
}
