//! A request that carries a prompt: placed or refused, then streamed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use gooseberry_core::{
    arena::EngineKey,
    serving::{
        admission::{self, AdmissionRequest, AdmissionVerdict},
        backlog::PendingPrefill,
        configuration::EngineSpec,
        decode_engines,
        directory::EngineStage,
        placement::{self, Placement, PlacementPath, PlacementRequest},
    },
};
use gooseberry_platform::{
    engine::{self, CacheHandle, SendOptions, SendPhase},
    front::LocalResponse,
};
use gooseberry_transport::body::ResponseBody;
use http::Response;
use http_body_util::BodyExt;

use crate::{
    call::{self, Call, CallRoute},
    prefill_guard::{ExportGuard, PrefillGuard},
    send::{self, ConnectionChoice, NotRunReason, SendOutcome, SendTarget},
    stream,
};

/// Time for reading a prompt beyond its estimate after which another engine
/// reads it: reading may be repeated.
const READ_LIMIT_FACTOR: f64 = 2.0;
const READ_LIMIT_SLACK: Duration = Duration::from_millis(600);
/// Time between looks at a silent engine.
const SILENCE_LOOK: Duration = Duration::from_millis(100);
/// Sends of one request that servers may reject before it is refused.
const REJECTION_LIMIT: usize = 3;

/// Carries a request to its answer.
pub async fn run(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
) -> Result<Response<ResponseBody>, LocalResponse> {
    let mut excluded: Vec<EngineKey> = Vec::new();
    let mut runs = 0;
    for sends in 0..=REJECTION_LIMIT {
        if sends > 0 && !call.try_retry(route) {
            break;
        }
        let (placement, read) = match admit(call, route, spec, &excluded) {
            // An earlier try may have run, which a refusal would deny.
            Err(_) if runs > 0 => break,
            admitted => admitted?,
        };
        match send_placed(call, route, spec, &placement, read).await {
            PromptTry::Answer(response) => return Ok(response),
            PromptTry::Failed(answer) => return Err(answer),
            PromptTry::NotRun(key) => excluded.push(key),
            PromptTry::Lost(key) => {
                runs += 1;
                if !route.row.kind.is_idempotent() || runs >= route.row.attempts {
                    break;
                }
                excluded.push(key);
            }
        }
    }
    Err(if runs > 0 { LocalResponse::BackendFailed } else { call::unavailable() })
}

/// Places a request and notes that its prompt is to be read, or refuses it.
fn admit(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    excluded: &[EngineKey],
) -> Result<(Placement, PrefillGuard), LocalResponse> {
    let gateway = &call.gateway;
    let now = gateway.now();
    let mut state = gateway.state.lock();
    let admission = AdmissionRequest {
        objective: route.row.objective,
        waited: now.since(call.arrived_at),
        time_left: call.time_left(),
    };
    let request = PlacementRequest {
        service: &route.service,
        prompt: &call.head.prompt,
        spec,
        home_domain: &gateway.options.domain,
        excluded,
        request_hash: call.hash(),
        body_bytes: call.body.len(),
        group_size: state
            .placement_group_size(state.fleet.usable(&route.service, now).count(), now),
        first_event_limit_ms: admission::latest_first_event_ms(&admission),
    };
    let placement = placement::choose(&state.fleet, &gateway.options.domains, &request, now);
    let Some(placement) = placement else {
        return Err(call::unavailable());
    };
    let verdict = admission::decide(admission, &placement);
    tracing::info!(
        request = %call.head.request_id,
        route = %route.row.name,
        version = route.configuration.version,
        reader = %state.fleet.server(placement.path.prefill_engine()).entry.id,
        writer = %state.fleet.server(placement.path.decode_engine()).entry.id,
        prompt = call.head.prompt.prompt_tokens,
        reading = placement.prefill_tokens,
        shared_reading = placement.shared_prefill_tokens,
        wait_ms = placement.wait_ms as u64,
        fetch_from = placement.fetch.map(|fetch| state.fleet.server(fetch.source).entry.id.as_str()),
        fetch_ms = placement.fetch.map(|fetch| fetch.fetch_ms as u64),
        first_event_ms = placement.first_event_ms as u64,
        waited_ms = admission.waited.as_millis() as u64,
        verdict = ?verdict,
        "judged"
    );
    match verdict {
        AdmissionVerdict::Refuse { retry_after } => Err(LocalResponse::Unavailable { retry_after }),
        AdmissionVerdict::Send => {
            let key = placement.path.prefill_engine();
            let was_alone = placement.shared_prefill_tokens == 0
                && placement.fetch.is_none()
                && state.fleet.server(key).backlog.is_empty();
            let tokens = placement.prefill_tokens;
            let writer = match placement.path {
                PlacementPath::Whole { .. } => None,
                PlacementPath::Split { decode, .. } => Some(decode),
            };
            let prompt = call.head.prompt.clone();
            let read = PendingPrefill { prompt, tokens, sent_at: now, decode_engine: writer };
            let send_id = state.begin_prefill(key, read, now);
            drop(state);
            gateway.wake_publisher();
            let read = PrefillGuard {
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
            Ok((placement, read))
        }
    }
}

/// What came of one try of a request.
enum PromptTry {
    Answer(Response<ResponseBody>),
    /// The server provably hasn't run it.
    NotRun(EngineKey),
    /// The server may have run it and gave no answer.
    Lost(EngineKey),
    Failed(LocalResponse),
}

async fn send_placed(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    placement: &Placement,
    read: PrefillGuard,
) -> PromptTry {
    let fetch_from = placement.fetch.map(|fetch| target(call, fetch.source).address);
    match placement.path {
        PlacementPath::Whole { engine } => {
            let target = target(call, engine);
            send_whole(call, route, &target, SendPhase::Whole, fetch_from, Some(read)).await
        }
        PlacementPath::Split { prefill, decode } => {
            let prefill = target(call, prefill);
            let silent = async {
                wait_for_silence(call, &prefill, read_limit(placement)).await;
                Err(PromptTry::NotRun(prefill.key))
            };
            let handle = match read_prompt(call, route, &prefill, fetch_from).or(silent).await {
                Ok(handle) => handle,
                Err(outcome) => return outcome,
            };
            let mut read = read;
            read.complete();
            let guard = ExportGuard {
                gateway: Arc::clone(&call.gateway),
                target: prefill.clone(),
                handle: Some(handle.clone()),
            };
            let outcome = hand_over(call, route, spec, &prefill, decode, &handle).await;
            if !matches!(outcome, PromptTry::NotRun(_)) {
                guard.disarm();
            }
            outcome
        }
    }
}

/// Waits until an engine that reads a prompt is taken for dead: the estimate is
/// far exceeded and no daemon has had a prompt read there lately.
async fn wait_for_silence(call: &Call, target: &SendTarget, limit: Duration) {
    let gateway = &call.gateway;
    let began = gateway.now();
    loop {
        gateway.clock.sleep(SILENCE_LOOK).await;
        let now = gateway.now();
        let waited = now.since(began);
        let silence =
            gateway.state.lock().fleet.server(target.key).backlog.time_since_progress(now);
        if waited.min(silence) >= limit {
            send::record_stalled(gateway, target, waited);
            return;
        }
    }
}

/// Returns the time after which an engine that reads a prompt is given up.
fn read_limit(placement: &Placement) -> Duration {
    Duration::from_secs_f64(placement.first_event_ms * READ_LIMIT_FACTOR / 1000.0)
        + READ_LIMIT_SLACK
}

/// Has an engine take a KV cache over and make the output.
///
/// A rejection may mean that the engine is full or that the KV cache is gone.
/// The second engine tells: if it rejects the request too, the reader loses
/// what it exports.
async fn hand_over(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    reader: &SendTarget,
    planned: EngineKey,
    handle: &CacheHandle,
) -> PromptTry {
    let phase = SendPhase::Decode { source: handle.clone() };
    let first = target(
        call,
        still_usable(call, route, planned).unwrap_or_else(|| {
            // It may have gone while the prompt was read.
            choose_decoder(call, route, spec, reader, &[]).unwrap_or(planned)
        }),
    );
    let outcome = send_whole(call, route, &first, phase.clone(), None, None).await;
    if !matches!(outcome, PromptTry::NotRun(_)) {
        return outcome;
    }
    let Some(second) = choose_decoder(call, route, spec, reader, &[first.key]) else {
        return PromptTry::NotRun(reader.key);
    };
    if !call.try_retry(route) {
        return PromptTry::Failed(call::unavailable());
    }
    let second = target(call, second);
    match send_whole(call, route, &second, phase, None, None).await {
        PromptTry::NotRun(_) => {
            send::record_lost_export(&call.gateway, reader);
            PromptTry::NotRun(reader.key)
        }
        outcome => {
            send::record_failure(&call.gateway, &first, "rejected what another engine took");
            outcome
        }
    }
}

/// Returns an engine that was chosen before if it still takes new outputs.
fn still_usable(call: &Call, route: &CallRoute, key: EngineKey) -> Option<EngineKey> {
    let gateway = &call.gateway;
    let state = gateway.state.lock();
    let server = state.fleet.server(key);
    let is_usable = server.is_usable(gateway.now())
        && server.entry.service == route.service
        && server.entry.stage != EngineStage::Prefill;
    is_usable.then_some(key)
}

fn target(call: &Call, key: EngineKey) -> SendTarget {
    SendTarget::new(key, call.gateway.state.lock().fleet.server(key))
}

fn choose_decoder(
    call: &Call,
    route: &CallRoute,
    spec: EngineSpec,
    reader: &SendTarget,
    excluded: &[EngineKey],
) -> Option<EngineKey> {
    let options = &call.gateway.options;
    let state = call.gateway.state.lock();
    let request = PlacementRequest {
        service: &route.service,
        prompt: &call.head.prompt,
        spec,
        home_domain: &options.domain,
        excluded,
        request_hash: call.hash(),
        body_bytes: call.body.len(),
        group_size: 1,
        first_event_limit_ms: 0.0,
    };
    decode_engines::choose(
        &state.fleet,
        &options.domains,
        &request,
        &reader.domain,
        call.gateway.now(),
    )
}

fn terms<'a>(
    call: &'a Call,
    route: &CallRoute,
    target: &'a SendTarget,
    phase: SendPhase,
    fetch_from: Option<SocketAddr>,
) -> SendOptions<'a> {
    SendOptions {
        server_id: &target.id,
        time_left: call.time_left(),
        priority: Some(route.row.priority),
        phase,
        fetch_from,
        last_event: call.head.last_event.as_deref(),
    }
}

/// Has a prompt read and its KV cache exported. Reading alone isn't a run.
async fn read_prompt(
    call: &Call,
    route: &CallRoute,
    target: &SendTarget,
    fetch_from: Option<SocketAddr>,
) -> Result<CacheHandle, PromptTry> {
    let gateway = &call.gateway;
    let terms = terms(call, route, target, SendPhase::Prefill, fetch_from);
    let id = &call.head.request_id;
    let choice = ConnectionChoice::Pooled;
    let sent = send::send(gateway, target, &call.parts, &call.body, &terms, choice, id).await;
    let answer = match sent {
        SendOutcome::Answered(answer) => *answer,
        SendOutcome::NotRun(reason) => {
            log_not_run(call, target, reason);
            return Err(PromptTry::NotRun(target.key));
        }
        SendOutcome::Unknown(_) => return Err(PromptTry::NotRun(target.key)),
    };
    let is_success = answer.response.status().is_success();
    let idle = engine::idle_limit(answer.response.headers());
    let closes = engine::closes_connection(answer.response.headers());
    let body = answer.response.into_body().collect().await;
    let handle = match body {
        Ok(body) if is_success => engine::decode_handle(target.address, &body.to_bytes()),
        Ok(_) => {
            send::record_failure(gateway, target, "the prompt wasn't read");
            return Err(PromptTry::NotRun(target.key));
        }
        Err(error) => {
            send::record_failure(gateway, target, &error.to_string());
            return Err(PromptTry::NotRun(target.key));
        }
    };
    match handle {
        Ok(handle) => {
            send::record_success(gateway, target.key);
            if !closes {
                send::return_connection(gateway, answer.connection, idle).await;
            }
            Ok(handle)
        }
        Err(error) => {
            send::record_failure(gateway, target, &error.to_string());
            Err(PromptTry::NotRun(target.key))
        }
    }
}

async fn send_whole(
    call: &Call,
    route: &CallRoute,
    target: &SendTarget,
    phase: SendPhase,
    fetch_from: Option<SocketAddr>,
    read: Option<PrefillGuard>,
) -> PromptTry {
    let gateway = &call.gateway;
    let terms = terms(call, route, target, phase, fetch_from);
    let id = &call.head.request_id;
    let choice = Call::connection_choice(route.row.kind);
    call.execution.record_send();
    let sent = send::send(gateway, target, &call.parts, &call.body, &terms, choice, id).await;
    match sent {
        SendOutcome::Answered(answer) => {
            if answer.response.status().is_server_error() {
                send::record_failure(gateway, target, "the engine answered with a failure");
            }
            PromptTry::Answer(stream::forward(call, target, *answer, read))
        }
        SendOutcome::NotRun(reason) => {
            call.execution.record_not_run();
            log_not_run(call, target, reason);
            PromptTry::NotRun(target.key)
        }
        SendOutcome::Unknown(_) => {
            call.execution.record_run();
            let now = gateway.now();
            gateway.state.lock().record_crash(call.fingerprint.0, now);
            gateway.wake_publisher();
            PromptTry::Lost(target.key)
        }
    }
}

fn log_not_run(call: &Call, target: &SendTarget, reason: NotRunReason) {
    tracing::info!(request = %call.head.request_id, server = %target.id, %reason, "not run");
}
