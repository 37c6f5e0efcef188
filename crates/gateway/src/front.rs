//! Reads callers' requests and returns the responses.

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use bytes::Bytes;
use gooseberry_core::serving::shutdown;
use gooseberry_platform::front::{self as platform_front, LocalResponse, RequestHead};
use gooseberry_transport::{
    body::{ArrivingBody, ResponseBody},
    handle::ConnectionHandle,
};
use http::{header, request, HeaderValue, Request, Response};
use http_body::Body;
use http_body_util::BodyExt;
use parking_lot::Mutex;

use crate::{
    accounts::AccountRefusal,
    call::{self, Call, CallSource, ExecutionState},
    caller_memory::{BodyLimits, BodyRefusal},
    gateway::Gateway,
};

/// Largest request body, in bytes, until a configuration states one. Bodies are held in memory.
const DEFAULT_BODY_LIMIT_BYTES: u64 = 4 * 1024 * 1024;
/// Largest body of a request that isn't authorized, in bytes, that is read and discarded.
const DISCARD_LIMIT_BYTES: u64 = 64 * 1024;
/// Longest time for which such a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after the deadline in which an engine's own timeout response may still arrive.
const TIMEOUT_SLACK: Duration = Duration::from_millis(60);

/// Counts a request until its response head is returned.
struct RunningGuard<'a>(&'a Gateway);

impl<'a> RunningGuard<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        gateway.running.fetch_add(1, Ordering::Relaxed);
        Self(gateway)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles a caller's request and returns the response, whose body may still be streaming.
pub async fn respond(
    gateway: Arc<Gateway>,
    request: Request<ArrivingBody>,
) -> Response<ResponseBody> {
    respond_to(gateway, request, CallSource::Caller).await
}

/// Handles a request that came directly or from another daemon.
pub async fn respond_to(
    gateway: Arc<Gateway>,
    request: Request<ArrivingBody>,
    source: CallSource,
) -> Response<ResponseBody> {
    let running = RunningGuard::new(&gateway);
    let mut response = handle(&gateway, request, source).await;
    drop(running);
    if gateway.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle(
    gateway: &Arc<Gateway>,
    request: Request<ArrivingBody>,
    source: CallSource,
) -> Response<ResponseBody> {
    let arrived_at = gateway.now();
    let (mut parts, body) = request.into_parts();
    let head = match platform_front::decode(&parts) {
        Ok(head) => head,
        Err(fault) => {
            tracing::info!(%fault, path = parts.uri.path(), "request head can't be decoded");
            return LocalResponse::BadRequest.encode("");
        }
    };
    let access = match gateway.account_gate().authorize(&mut parts, &head) {
        Ok(access) => access,
        Err(refusal) => return refuse(gateway, &parts, &head, body, &refusal).await,
    };
    let body = match read_body(gateway, body).await {
        Ok(body) => body,
        Err(refusal) => return refuse_body(&head.request_id, &refusal),
    };
    let time_left = head.time_left;
    let mut call = Call {
        gateway: Arc::clone(gateway),
        blamable_parts: Call::blamable_parts(&parts, &body, &head),
        source,
        account: access.account,
        authority: access.authority,
        parts,
        head,
        body,
        arrived_at,
        deadline: arrived_at + time_left.unwrap_or_default(),
        execution: ExecutionState::default(),
        trial: Mutex::default(),
    };
    let route = match call.route() {
        Ok(route) => route,
        Err(answer) => {
            return call.refuse(answer, "no configuration yet, or no route matches the request")
        }
    };
    let timeout = route.row.timeout;
    call.deadline = arrived_at + time_left.map_or(timeout, |time_left| time_left.min(timeout));
    if let Some(connection) = call.parts.extensions.get::<ConnectionHandle>() {
        connection.set_deadline(gateway.instant() + call.time_left());
    }
    let name = route.row.name.clone();
    if let Some(progress) = gateway.shutdown_progress() {
        let longest = gateway.longest_duration(&name);
        if !shutdown::accepts(call.time_left(), longest, progress) {
            return call.refuse(crate::call::unavailable(), "this daemon is shutting down");
        }
    }
    let limit = call.time_left() + TIMEOUT_SLACK;
    let response = match gateway.clock.timeout(limit, call.run(&route)).await {
        Ok(response) => response,
        Err(_) if call.may_have_run() => call.refuse(LocalResponse::TimedOut, "deadline"),
        Err(_) => call.refuse(crate::call::unavailable(), "deadline passed before any send"),
    };
    let elapsed = gateway.now().since(arrived_at);
    if !route.row.kind.is_stream() {
        gateway.record_duration(&name, elapsed);
    }
    gateway.metrics.latency.with_label_values(&[&name]).observe(elapsed.as_secs_f64());
    if let Some(account) = &call.account {
        gateway.metrics.account_requests.lock().record(&account.name);
    }
    let status = response.status();
    gateway.metrics.requests.with_label_values(&[&name, status.as_str()]).inc();
    tracing::info!(
        request = %call.head.request_id,
        route = %name,
        account = call.account_name(),
        status = status.as_u16(),
        elapsed_ms = elapsed.as_millis() as u64,
        "response sent to caller"
    );
    response
}

/// Refuses a request that isn't authorized. A small body is read and discarded, so that the connection
/// can be used further.
async fn refuse(
    gateway: &Gateway,
    parts: &request::Parts,
    head: &RequestHead,
    body: ArrivingBody,
    refusal: &AccountRefusal,
) -> Response<ResponseBody> {
    refusal.log(&head.request_id);
    let decision = refusal.decision.to_string();
    gateway.metrics.access_refusals.with_label_values(&[&decision]).inc();
    let mut response = refusal.response().encode(&head.request_id);
    response.extensions_mut().insert(refusal.decision);
    // A client that expects to be asked for the body sends none after a refusal.
    let is_small = body.size_hint().exact().is_some_and(|length| length <= DISCARD_LIMIT_BYTES)
        && !parts.headers.contains_key(header::EXPECT);
    let discarded = async { is_small && discard(body).await };
    if !matches!(gateway.clock.timeout(DISCARD_TIMEOUT, discarded).await, Ok(true)) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a body without keeping it. Returns whether it arrived as a whole.
async fn discard(mut body: ArrivingBody) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

fn body_limit(gateway: &Gateway) -> u64 {
    let state = gateway.state.lock();
    state.configuration.as_ref().map_or(DEFAULT_BODY_LIMIT_BYTES, |row| row.limits.body_bytes)
}

async fn read_body(gateway: &Gateway, body: ArrivingBody) -> Result<Bytes, BodyRefusal> {
    let limits = BodyLimits { bytes: body_limit(gateway), min_rate: gateway.options.min_body_rate };
    gateway.memory.read_body(body, limits).await
}

/// Returns the response for a request whose body isn't read to its end. The connection can't be
/// used further.
fn refuse_body(request_id: &str, refusal: &BodyRefusal) -> Response<ResponseBody> {
    let answer = match refusal {
        BodyRefusal::TooLong(_) => LocalResponse::BodyTooLarge,
        BodyRefusal::TooSlow => LocalResponse::BodyTimeout,
        BodyRefusal::Shed | BodyRefusal::Exhausted(_) => call::unavailable(),
        BodyRefusal::Truncated(_) => LocalResponse::BadRequest,
    };
    tracing::info!(request = %request_id, ?answer, %refusal, "request body can't be read");
    let mut response = answer.encode(request_id);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
