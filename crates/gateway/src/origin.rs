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
    let stream = call.head.resumed_request.as_deref().map(StreamKey::of);
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
    stream: Option<StreamKey>,
) -> (Option<SoftwareKey>, OriginSource) {
    let recorded = |stream| gateway.state.lock().stream_software(stream);
    if let Some(software) = stream.and_then(recorded) {
        return (Some(software), OriginSource::Record);
    }
    let sole_version = {
        let state = gateway.state.lock();
        state.versions.sole_version(service, &state.fleet, gateway.now())
    };
    if sole_version.is_some() {
        return (sole_version, OriginSource::SoleVersion);
    }
    let Some(stream) = stream else {
        return (None, OriginSource::Unknown);
    };
    gateway.state.lock().ask_origin(stream);
    gateway.wake_publisher();
    let asked_at = gateway.now();
    while gateway.now().since(asked_at) < RESPONSE_TIMEOUT {
        gateway.clock.sleep(CHECK_INTERVAL).await;
        if let Some(software) = recorded(stream) {
            return (Some(software), OriginSource::Asked);
        }
    }
    (None, OriginSource::Unknown)
}
