//! Sends a request to a decode engine after another engine has run its prefill.

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        configuration::EngineSpec, decode_engines, directory::EngineStage,
        placement::PlacementRequest, software::SoftwareKey,
    },
};
use gooseberry_platform::engine::{CacheHandle, SendPhase};

use crate::{
    call::{self, Call, CallRoute},
    prompt_call::{self, PromptAttempt},
    send::{self, SendTarget},
};

/// Sends the request to the decode engine, which imports the KV cache.
///
/// A rejection may mean that the engine is full or that the KV cache is unavailable, so the request
/// is sent to a second engine. If that one rejects the request too, the exports of the prefill
/// engine count as unavailable.
pub(super) async fn run_decode(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    software: Option<SoftwareKey>,
    prefill_engine: &SendTarget,
    planned: EngineKey,
    handle: &CacheHandle,
) -> PromptAttempt {
    let phase = SendPhase::Decode { source: handle.clone() };
    // The engine may have become unusable during the prefill.
    let first = still_usable(call, route, software, planned)
        .or_else(|| choose_decode_engine(call, route, spec, software, prefill_engine, &[]))
        .or_else(|| may_be_sent(call, planned).then_some(planned));
    let Some(first) = first else {
        return PromptAttempt::NotRun(planned);
    };
    let first = prompt_call::target(call, first);
    if software.is_some_and(|software| software != first.software) {
        // The engine has started again with another version during the prefill.
        return PromptAttempt::NotRun(first.key);
    }
    let outcome = prompt_call::send_request(call, route, &first, phase.clone(), None, None).await;
    if !matches!(outcome, PromptAttempt::NotRun(_)) {
        return outcome;
    }
    let Some(second) =
        choose_decode_engine(call, route, spec, software, prefill_engine, &[first.key])
    else {
        return PromptAttempt::NotRun(prefill_engine.key);
    };
    if !call.try_retry(route) {
        return PromptAttempt::Failed(call::unavailable());
    }
    let second = prompt_call::target(call, second);
    match prompt_call::send_request(call, route, &second, phase, None, None).await {
        PromptAttempt::NotRun(_) => {
            send::record_lost_export(&call.gateway, prefill_engine);
            PromptAttempt::NotRun(prefill_engine.key)
        }
        outcome => {
            send::record_failure(
                &call.gateway,
                &first,
                "rejected a KV cache that another engine imported",
            );
            outcome
        }
    }
}

/// Returns whether an engine may be tried although it isn't usable: not if it leaves, is gone or has
/// asked for quiet.
fn may_be_sent(call: &Call, key: EngineKey) -> bool {
    let gateway = &call.gateway;
    let state = gateway.state.lock();
    let server = state.fleet.server(key);
    let now = gateway.now();
    server.presence.is_usable(now) && !server.is_departing() && !server.is_quiet(now)
}

/// Returns the engine if it is still usable for decode.
fn still_usable(
    call: &Call,
    route: &CallRoute,
    software: Option<SoftwareKey>,
    key: EngineKey,
) -> Option<EngineKey> {
    let gateway = &call.gateway;
    let state = gateway.state.lock();
    let server = state.fleet.server(key);
    let is_usable = server.is_usable(gateway.now())
        && server.entry.service == route.service
        && server.entry.stage != EngineStage::Prefill
        && software.is_none_or(|software| software == SoftwareKey::of(&server.entry));
    is_usable.then_some(key)
}

/// Chooses a decode engine in place of the planned one, and records the send to it.
fn choose_decode_engine(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    software: Option<SoftwareKey>,
    prefill_engine: &SendTarget,
    excluded: &[EngineKey],
) -> Option<EngineKey> {
    let options = &call.gateway.options;
    let now = call.gateway.now();
    let mut state = call.gateway.state.lock();
    let request = PlacementRequest {
        service: &route.service,
        prompt: &call.head.prompt,
        spec,
        home_domain: &options.domain,
        software,
        excluded,
        request_hash: call.id_hash(),
        body_bytes: call.body.len(),
        group_size: 1,
        first_event_limit_ms: 0.0,
        event_pause_ms: route.event_pause_ms(),
    };
    let domain = &prefill_engine.domain;
    let key = decode_engines::choose(&state.fleet, &options.domains, &request, domain, now)?;
    let server = state.fleet.server(key);
    tracing::info!(
        request = %call.head.request_id,
        server = %server.entry.id,
        presence = ?server.presence,
        list_age_ms = state.list_age_ms(now),
        "another decode engine chosen"
    );
    if state.record_send(key, now) {
        call.gateway.wake_publisher();
    }
    Some(key)
}
