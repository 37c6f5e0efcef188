//! Handles a request with a prompt: admission, placement, prefill and stream.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::{future, FutureExt};
use gooseberry_core::{
    arena::EngineKey,
    serving::{
        admission::{self, AdmissionDecision, AdmissionRequest},
        backlog::PendingPrefill,
        configuration::{EngineSpec, RouteKind},
        placement::{self, Placement, PlacementPath, PlacementRequest},
        software::{SoftwareKey, StreamKey, StreamTarget},
    },
};
use gooseberry_platform::{
    engine::{self, CacheHandle, SendOptions, SendPhase},
    front::LocalResponse,
};
use gooseberry_transport::body::{self, ResponseBody};
use http::Response;

use crate::{
    call::{self, Call, CallRoute},
    crashes, origin,
    prefill_guard::{ExportGuard, PrefillGuard},
    send::{self, NotRunReason, SendOutcome, SendTarget},
    shares, stream,
};

mod decode;

/// Factor on the estimated time to the first event in the timeout of a prefill. After the timeout
/// another engine runs the prefill, which may be repeated.
const PREFILL_TIMEOUT_FACTOR: f64 = 2.0;
/// Time in the timeout of a prefill in addition to the estimate.
const PREFILL_TIMEOUT_SLACK: Duration = Duration::from_millis(600);
/// Time between checks whether a prefill has stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of further attempts of a request, after rejections and failures together.
const RETRY_LIMIT: usize = 3;

/// Handles a request and returns its response.
pub async fn run(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
) -> Result<Response<ResponseBody>, LocalResponse> {
    if !call.head.prompt.fits(spec.kv_tokens) {
        // The configuration allows the request, so it gets the response of a service without room.
        let reason = "the prompt exceeds the memory of an engine";
        return Ok(call.refuse(call::unavailable(), reason));
    }
    call.admit().await?;
    let software = if call.head.is_resumption {
        let Some(software) = origin::find(call, route).await else {
            let reason = "the software version that began the stream is unknown";
            return Ok(call.refuse(call::unavailable(), reason));
        };
        Some(software)
    } else {
        None
    };
    let mut excluded: Vec<EngineKey> = Vec::new();
    // Attempts that have run or may have run.
    let mut runs = 0;
    for sends in 0..=RETRY_LIMIT {
        if sends > 0 && !call.try_retry(route) {
            break;
        }
        let admitted = match call.admit().await {
            Ok(()) => admit(call, route, spec, software, &excluded),
            Err(answer) => Err(answer),
        };
        let (placement, prefill_guard) = match admitted {
            // An earlier attempt may have run, so a refusal, which guarantees that nothing ran,
            // would be wrong.
            Err(_) if runs > 0 => break,
            admitted => admitted?,
        };
        match send_placed(call, route, spec, software, &placement, prefill_guard).await {
            PromptAttempt::Responded(response) => return Ok(response),
            PromptAttempt::Failed(answer) => return Err(answer),
            PromptAttempt::NotRun(key) => excluded.push(key),
            PromptAttempt::Unknown(key) => {
                runs += 1;
                let is_trial = call.trial.lock().is_some();
                let can_repeat = route.row.kind.is_idempotent() && runs < route.row.attempts;
                if is_trial || !can_repeat {
                    break;
                }
                excluded.push(key);
            }
        }
    }
    Err(if runs > 0 { LocalResponse::BackendFailed } else { call::unavailable() })
}

/// Places a request and records its prefill, or refuses it.
fn admit(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    software: Option<SoftwareKey>,
    excluded: &[EngineKey],
) -> Result<(Placement, PrefillGuard), LocalResponse> {
    let gateway = &call.gateway;
    let now = gateway.now();
    let mut state = gateway.state.lock();
    let admission = AdmissionRequest {
        objective: route.row.objective,
        waited: now.since(call.arrived_at),
        time_left: call.time_left(),
        contention: None,
    };
    let request = PlacementRequest {
        service: &route.service,
        prompt: &call.head.prompt,
        spec,
        home_domain: &gateway.options.domain,
        software,
        excluded,
        request_hash: call.id_hash(),
        body_bytes: call.body.len(),
        group_size: state
            .placement_group_size(state.fleet.usable(&route.service, now).count(), now),
        first_event_limit_ms: admission::latest_first_event_ms(&admission),
        event_pause_ms: route.event_pause_ms(),
    };
    let placement = placement::choose(&state.fleet, &gateway.options.domains, &request, now);
    let Some(placement) = placement else {
        drop(state);
        return Err(call.no_server(route));
    };
    let shared = shares::share_request(call, route, &placement, excluded.is_empty());
    let contention = shared.and_then(|shared| state.shares.assess(&shared, now));
    let admission = AdmissionRequest { contention, ..admission };
    let decision = admission::decide(admission, &placement);
    shares::record_decision(gateway, &mut state, shared.as_ref(), &admission, &placement, decision);
    tracing::info!(
        request = %call.head.request_id,
        route = %route.row.name,
        version = route.configuration.version,
        account = call.account_name(),
        reader = %state.fleet.server(placement.path.prefill_engine()).entry.id,
        writer = %state.fleet.server(placement.path.decode_engine()).entry.id,
        reader_presence = ?state.fleet.server(placement.path.prefill_engine()).presence,
        writer_presence = ?state.fleet.server(placement.path.decode_engine()).presence,
        list_age_ms = state.list_age_ms(now),
        configuration_age_ms = gateway.configuration_age_ms(&state),
        software = %state.fleet.server(placement.path.decode_engine()).entry.software,
        resumes = call.head.resumed_request.as_deref(),
        last_event = call.head.last_event.as_deref(),
        prompt = call.head.prompt.prompt_tokens,
        shared_parts = call.head.prompt.describe_shared_parts(),
        reading = placement.prefill_tokens,
        shared_reading = placement.shared_prefill_tokens,
        wait_ms = placement.wait_ms as u64,
        fetch_from = placement.fetch.map(|fetch| state.fleet.server(fetch.source).entry.id.as_str()),
        fetch_ms = placement.fetch.map(|fetch| fetch.fetch_ms as u64),
        first_event_ms = placement.first_event_ms as u64,
        waited_ms = admission.waited.as_millis() as u64,
        account = call.account.as_ref().map(|account| account.name.as_str()),
        standing = admission.contention.map(|contention| tracing::field::display(contention.standing)),
        usage = admission.contention.map(|contention| contention.usage as u64),
        fair_share = admission.contention.map(|contention| contention.fair_share as u64),
        wait_share = admission.contention.map(|contention| contention.wait_share),
        may_be_late = admission.contention.map(|contention| contention.may_be_late),
        told_age_ms = admission.contention.and_then(|contention| contention.told_age).map(|age| age.as_millis() as u64),
        verdict = ?decision,
        "admission decided"
    );
    match decision {
        AdmissionDecision::Refuse { retry_after } => {
            Err(LocalResponse::Unavailable { retry_after })
        }
        AdmissionDecision::Send => {
            let key = placement.path.prefill_engine();
            let was_alone = placement.shared_prefill_tokens == 0
                && placement.fetch.is_none()
                && state.fleet.server(key).backlog.is_empty();
            let tokens = placement.prefill_tokens;
            let decode_engine = match placement.path {
                PlacementPath::Whole { .. } => None,
                PlacementPath::Split { decode, .. } => Some(decode),
            };
            let prompt = call.head.prompt.clone();
            let pending = PendingPrefill { prompt, tokens, sent_at: now, decode_engine };
            let send_id = state.begin_prefill(key, pending, now);
            state.record_send(key, now);
            if let Some(decode_engine) = decode_engine {
                state.record_send(decode_engine, now);
            }
            drop(state);
            gateway.wake_publisher();
            let prefill_guard = PrefillGuard {
                gateway: Arc::clone(gateway),
                request_id: call.head.request_id.clone(),
                key,
                send_id,
                tokens,
                started_at: now,
                was_alone,
                expected_ms: placement.first_event_ms,
                is_pending: true,
            };
            Ok((placement, prefill_guard))
        }
    }
}

/// Outcome of one attempt of a request.
enum PromptAttempt {
    Responded(Response<ResponseBody>),
    /// The server provably hasn't run it.
    NotRun(EngineKey),
    /// The server may have run it and hasn't responded.
    Unknown(EngineKey),
    /// There is no further attempt, and the caller gets this response.
    Failed(LocalResponse),
}

/// Sends the request to the engines of its placement.
async fn send_placed(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    software: Option<SoftwareKey>,
    placement: &Placement,
    prefill_guard: PrefillGuard,
) -> PromptAttempt {
    let fetch_from = placement.fetch.map(|fetch| target(call, fetch.source).address);
    match placement.path {
        PlacementPath::Whole { engine } => {
            let target = target(call, engine);
            send_request(call, route, &target, SendPhase::Whole, fetch_from, Some(prefill_guard))
                .await
        }
        PlacementPath::Split { prefill, decode: decode_engine } => {
            let prefill = target(call, prefill);
            let stalled = async {
                wait_until_stalled(call, &prefill, prefill_timeout(placement)).await;
                Err(PromptAttempt::NotRun(prefill.key))
            };
            let handle = match run_prefill(call, route, &prefill, fetch_from).or(stalled).await {
                Ok(handle) => handle,
                Err(outcome) => return outcome,
            };
            let mut prefill_guard = prefill_guard;
            prefill_guard.complete();
            let export_guard = ExportGuard {
                gateway: Arc::clone(&call.gateway),
                target: prefill.clone(),
                handle: Some(handle.clone()),
            };
            let outcome =
                decode::run_decode(call, route, spec, software, &prefill, decode_engine, &handle)
                    .await;
            if !matches!(outcome, PromptAttempt::NotRun(_)) {
                export_guard.disarm();
            }
            outcome
        }
    }
}

/// Waits until an engine counts as unresponsive, and records it: the prefill hasn't finished within
/// `limit`, and no prefill of any daemon has ended at the engine for as long.
async fn wait_until_stalled(call: &Call, target: &SendTarget, limit: Duration) {
    let gateway = &call.gateway;
    let started_at = gateway.now();
    loop {
        gateway.clock.sleep(STALL_CHECK_INTERVAL).await;
        let now = gateway.now();
        let waited = now.since(started_at);
        let idle_time =
            gateway.state.lock().fleet.server(target.key).backlog.time_since_progress(now);
        if waited.min(idle_time) >= limit {
            send::record_stalled(gateway, target, waited);
            return;
        }
    }
}

/// Returns the timeout of a prefill.
fn prefill_timeout(placement: &Placement) -> Duration {
    Duration::from_secs_f64(placement.first_event_ms * PREFILL_TIMEOUT_FACTOR / 1000.0)
        + PREFILL_TIMEOUT_SLACK
}

fn target(call: &Call, key: EngineKey) -> SendTarget {
    SendTarget::new(key, call.gateway.state.lock().fleet.server(key))
}

fn send_options<'a>(
    call: &'a Call,
    route: &CallRoute,
    target: &'a SendTarget,
    phase: SendPhase,
    fetch_from: Option<SocketAddr>,
) -> SendOptions<'a> {
    SendOptions {
        server_id: &target.id,
        time_left: call.time_left(),
        priority: Some(call.priority(route)),
        phase,
        fetch_from,
        last_event: call.head.last_event.as_deref(),
        account: call.sent_account(),
    }
}

/// Runs a prefill and returns the exported KV cache. A prefill alone doesn't count as a run of the
/// request.
async fn run_prefill(
    call: &Call,
    route: &CallRoute,
    target: &SendTarget,
    fetch_from: Option<SocketAddr>,
) -> Result<CacheHandle, PromptAttempt> {
    let gateway = &call.gateway;
    let send_options = send_options(call, route, target, SendPhase::Prefill, fetch_from);
    let id = &call.head.request_id;
    let choice = call.connection_choice(target.key, true);
    let sent =
        send::send(gateway, target, &call.parts, &call.body, &send_options, choice, id).await;
    record_arrival(call, target, &sent);
    let answer = match sent {
        SendOutcome::Responded(answer) => *answer,
        SendOutcome::NotRun(reason) => {
            log_not_run(call, target, reason);
            return Err(PromptAttempt::NotRun(target.key));
        }
        // The prefill may have run, but it may also be repeated.
        SendOutcome::Unknown(_) => {
            crashes::record_interruption(call, target);
            return Err(PromptAttempt::NotRun(target.key));
        }
    };
    let is_success = answer.response.status().is_success();
    let idle = engine::idle_limit(answer.response.headers());
    let closes = engine::closes_connection(answer.response.headers());
    let limit = send::CONTROL_RESPONSE_LIMIT_BYTES;
    let body = body::read_whole(answer.response.into_body(), limit).await;
    let handle = match body {
        Ok(body) if is_success => engine::decode_handle(target.address, &body),
        Ok(_) => {
            send::record_failure(gateway, target, "the prefill failed");
            return Err(PromptAttempt::NotRun(target.key));
        }
        Err(error) => {
            send::record_failure(gateway, target, &error.to_string());
            crashes::record_interruption(call, target);
            return Err(PromptAttempt::NotRun(target.key));
        }
    };
    match handle {
        Ok(handle) => {
            send::record_success(gateway, target.key);
            if !closes {
                send::return_connection(gateway, target.key, answer.connection, idle).await;
            }
            Ok(handle)
        }
        Err(error) => {
            send::record_failure(gateway, target, &error.to_string());
            Err(PromptAttempt::NotRun(target.key))
        }
    }
}

async fn send_request(
    call: &Call,
    route: &CallRoute,
    target: &SendTarget,
    phase: SendPhase,
    fetch_from: Option<SocketAddr>,
    prefill_guard: Option<PrefillGuard>,
) -> PromptAttempt {
    // The prompt's parts may have been convicted during its prefill.
    if let Err(answer) = crashes::admit(call).await {
        return PromptAttempt::Failed(answer);
    }
    let gateway = &call.gateway;
    if call.head.is_resumption && !origin::runs_stated_version(gateway, target).await {
        return PromptAttempt::NotRun(target.key);
    }
    // The key may have been removed during the prefill.
    if let Err(answer) = call.check_access() {
        return PromptAttempt::Failed(answer);
    }
    let send_options = send_options(call, route, target, phase, fetch_from);
    let id = &call.head.request_id;
    let choice = call.connection_choice(target.key, route.row.kind.is_idempotent());
    call.execution.record_send();
    let sending = send::send(gateway, target, &call.parts, &call.body, &send_options, choice, id);
    let sent = if route.row.kind == RouteKind::ResumableStream && !call.head.is_resumption {
        send_with_origin(call, target, sending).await
    } else {
        sending.await
    };
    record_arrival(call, target, &sent);
    match sent {
        SendOutcome::Responded(answer) => {
            if answer.response.status().is_server_error() {
                send::record_failure(gateway, target, "the engine responded with a server error");
            }
            let row = &route.row;
            PromptAttempt::Responded(stream::forward(call, row, target, *answer, prefill_guard))
        }
        SendOutcome::NotRun(reason) => {
            call.execution.record_not_run();
            log_not_run(call, target, reason);
            PromptAttempt::NotRun(target.key)
        }
        SendOutcome::Unknown(_) => {
            call.execution.record_run();
            crashes::record_interruption(call, target);
            PromptAttempt::Unknown(target.key)
        }
    }
}

/// Sends a stream that may be resumed, and records the version that begins it. While the list of servers
/// may be out of date, that is known only from the engine.
async fn send_with_origin(
    call: &Call,
    target: &SendTarget,
    sending: impl Future<Output = SendOutcome>,
) -> SendOutcome {
    let gateway = &call.gateway;
    let stream = StreamKey::of(&call.head.request_id);
    let record = || {
        gateway.state.lock().record_stream(stream, target.software, gateway.now());
        gateway.wake_publisher();
    };
    let is_listed = !gateway.state.lock().fleet.connectivity.is_unreachable();
    if is_listed {
        let start = StreamTarget::new(target.incarnation);
        gateway.state.lock().record_stream_target(stream, start);
        record();
        return sending.await;
    }
    let confirming = origin::runs_stated_version(gateway, target);
    let (sent, is_confirmed) = future::zip(sending, confirming).await;
    if is_confirmed {
        record();
    }
    sent
}

fn record_arrival(call: &Call, target: &SendTarget, sent: &SendOutcome) {
    match sent {
        SendOutcome::NotRun(reason) => call.execution.record_reason(target.key, *reason),
        SendOutcome::Responded(_) | SendOutcome::Unknown(_) => call.execution.record_arrival(),
    }
}

fn log_not_run(call: &Call, target: &SendTarget, reason: NotRunReason) {
    tracing::info!(request = %call.head.request_id, server = %target.id, %reason, "request not run by server");
}
