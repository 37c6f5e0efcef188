//! Hands callers' requests to another daemon while this one is cut off from the servers, and takes
//! over requests of other daemons.
//!
//! The other daemon handles the request like one of its own callers, but never hands it on. The token
//! that it requires is in its entry in the key-value service, which only daemons read.

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use async_std::task;
use bytes::Bytes;
use futures_lite::FutureExt;
use gooseberry_core::serving::accounts::AccountDecision;
use gooseberry_platform::front::{self as platform_front, LocalResponse};
use gooseberry_transport::{
    body::{ArrivingBody, BodyError, ResponseBody},
    client::{ClientConnection, SendError},
};
use http::{header, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::{
    accounts::ForwardedAccount,
    call::{Call, CallRoute, CallSource},
    front,
    gateway::Gateway,
    peers::ForwardTarget,
};

/// Header of a request that a daemon hands over, with the other daemon's token.
const TOKEN: HeaderName = HeaderName::from_static("gooseberry-forward-token");
/// Header of a request that its daemon has counted for the retry budget.
const COUNTED: HeaderName = HeaderName::from_static("gooseberry-forward-counted");
/// Header of a request with the version of the configuration by which its daemon has routed it.
const VERSION: HeaderName = HeaderName::from_static("gooseberry-forward-version");
/// Header of a response of a daemon that hasn't taken the request over.
const NOT_TAKEN: HeaderName = HeaderName::from_static("gooseberry-forward-not-taken");
/// Number of daemons to which a request is handed until one takes it.
const TARGET_LIMIT: usize = 3;
/// Largest number of requests of other daemons that run here at a time.
const TAKEN_LIMIT: usize = 256;
/// Time for which a daemon that has refused a request is chosen only if the other choice has, too.
const REFUSAL_DURATION: Duration = Duration::from_millis(500);
/// Timeout of a connection to another daemon; round trips take 16 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the deadline in which the other daemon's response may still arrive.
const RESPONSE_SLACK: Duration = Duration::from_millis(40);
/// Chunks that are buffered for a slow caller before reads from the other daemon pause.
const CHUNK_BUFFER: usize = 16;

/// Counts a request at a daemon until its response ends.
struct ForwardGuard {
    gateway: Arc<Gateway>,
    name: SmolStr,
}

impl ForwardGuard {
    fn new(gateway: &Arc<Gateway>, name: &SmolStr) -> Self {
        *gateway.forwards.lock().entry(name.clone()).or_default() += 1;
        Self { gateway: Arc::clone(gateway), name: name.clone() }
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let mut forwards = self.gateway.forwards.lock();
        if let Some(count) = forwards.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                forwards.remove(&self.name);
            }
        }
    }
}

/// Counts a request of another daemon until its response head is returned, or the daemon gives up.
struct TakenGuard(Arc<Gateway>);

impl TakenGuard {
    /// Counts a request, unless there are too many.
    fn new(gateway: &Arc<Gateway>) -> Option<Self> {
        let taken = gateway.taken.fetch_add(1, Ordering::Relaxed);
        let guard = Self(Arc::clone(gateway));
        (taken < TAKEN_LIMIT).then_some(guard)
    }
}

impl Drop for TakenGuard {
    fn drop(&mut self) {
        self.0.taken.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How the attempt to hand a request over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum ForwardOutcome {
    Taken,
    NotTaken,
    Unreachable,
    /// The daemon may have taken the request and hasn't responded.
    Unanswered,
}

/// Hands a request to a daemon that reaches the servers of its service. Returns the response, also a
/// refusal of the last daemon that has no capacity, or `None` if there is no such daemon. `is_counted`
/// tells whether the request is already counted
/// for the retry budget.
pub async fn forward(
    call: &Call,
    route: &CallRoute,
    is_counted: bool,
) -> Option<Response<ResponseBody>> {
    let mut tried: Vec<SmolStr> = Vec::new();
    let mut refusal = None;
    while tried.len() < TARGET_LIMIT {
        if let Err(answer) = call.check_access() {
            return Some(call.refuse(answer, "the request is no longer authorized"));
        }
        let Some(target) = choose(call, route, &tried) else {
            break;
        };
        tried.push(target.name.clone());
        let guard = ForwardGuard::new(&call.gateway, &target.name);
        let exchange = exchange(call, route, &target, is_counted);
        let limit = call.time_left() + RESPONSE_SLACK;
        let sent = call.gateway.clock.timeout(limit, exchange).await;
        let (outcome, response) = match sent {
            Ok(Ok((response, connection))) if !response.headers().contains_key(NOT_TAKEN) => {
                let response = stream(call, response, connection, guard);
                (ForwardOutcome::Taken, Some(response))
            }
            Ok(Ok((response, connection))) => {
                call.gateway
                    .refused_forwards
                    .lock()
                    .insert(target.name.clone(), call.gateway.now());
                if response.headers().contains_key(header::RETRY_AFTER) {
                    refusal = Some(stream(call, response, connection, guard));
                }
                (ForwardOutcome::NotTaken, None)
            }
            Ok(Err(fault)) if fault.is_unsent() => (ForwardOutcome::Unreachable, None),
            Ok(Err(_)) => {
                let response = call.refuse(LocalResponse::BackendFailed, "another daemon failed");
                (ForwardOutcome::Unanswered, Some(response))
            }
            Err(_) => {
                let response = call.refuse(LocalResponse::TimedOut, "another daemon timed out");
                (ForwardOutcome::Unanswered, Some(response))
            }
        };
        call.gateway.metrics.forwards.with_label_values(&[&outcome.to_string()]).inc();
        tracing::info!(
            request = %call.head.request_id,
            service = %route.service,
            daemon = %target.name,
            %outcome,
            status = response.as_ref().map(|response| response.status().as_u16()),
            "request handed to another daemon"
        );
        if response.is_some() {
            return response;
        }
        call.execution.record_not_run();
    }
    refusal.map(|mut refusal| {
        refusal.headers_mut().remove(NOT_TAKEN);
        refusal
    })
}

/// Chooses one of two daemons that reach the service: one that hasn't refused lately, or else the one
/// that has fewer requests of this daemon. A daemon that refuses has few.
fn choose(call: &Call, route: &CallRoute, tried: &[SmolStr]) -> Option<ForwardTarget> {
    let gateway = &call.gateway;
    let names = gateway.state.lock().reaching_daemons(&route.service, gateway.now());
    let targets = names.iter().filter(|name| !tried.contains(name));
    let targets: Vec<_> = targets.filter_map(|name| gateway.peers.forward_target(name)).collect();
    let (forwards, mut refused) = (gateway.forwards.lock(), gateway.refused_forwards.lock());
    let now = gateway.now();
    refused.retain(|_, refused_at| now.since(*refused_at) < REFUSAL_DURATION);
    let rank = |target: &&ForwardTarget| {
        let count = forwards.get(&target.name).copied().unwrap_or_default();
        (refused.contains_key(&target.name), count)
    };
    targets.choose_multiple(&mut rand::rng(), 2).min_by_key(rank).cloned()
}

async fn exchange(
    call: &Call,
    route: &CallRoute,
    target: &ForwardTarget,
    is_counted: bool,
) -> Result<(Response<ArrivingBody>, ClientConnection), SendError> {
    // Always a new connection: a request that may run only once must not get lost on an old one.
    let mut connection = ClientConnection::connect(target.address, CONNECT_TIMEOUT).await?;
    if !route.row.kind.is_idempotent() {
        connection.allow_unread(call.time_left());
    }
    let mut request = platform_front::forward(&call.parts, &call.body, call.time_left());
    let headers = request.headers_mut();
    if let Ok(token) = HeaderValue::from_str(&target.token) {
        headers.insert(TOKEN, token);
    }
    let gate = call.gateway.account_gate();
    let account = gate.forwarded(call.account.as_ref(), call.authority);
    ForwardedAccount::write(account.as_ref(), headers);
    headers.insert(VERSION, route.configuration.version.into());
    if is_counted {
        headers.insert(COUNTED, HeaderValue::from_static("1"));
    }
    call.execution.record_send();
    let response = connection.send(request).await?;
    Ok((response, connection))
}

/// Returns the caller's response and starts a task that forwards the body to it.
fn stream(
    call: &Call,
    response: Response<ArrivingBody>,
    connection: ClientConnection,
    guard: ForwardGuard,
) -> Response<ResponseBody> {
    let (sender, receiver) = async_channel::bounded(CHUNK_BUFFER);
    let (mut parts, mut body) = response.into_parts();
    let length = parts.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    platform_front::strip_connection_headers(&mut parts.headers);
    let clock = call.gateway.clock.clone();
    let memory = Arc::clone(&call.gateway.memory);
    let caller = call.parts.extensions.clone();
    let limit = call.time_left() + RESPONSE_SLACK;
    task::spawn(async move {
        let chunks = async {
            while let Some(frame) = body.frame().await {
                let data = match frame {
                    Ok(frame) => {
                        let data = frame.into_data().unwrap_or_default();
                        Ok(memory.hold_part(&data, &caller).await)
                    }
                    Err(_) => Err(BodyError::Broken),
                };
                let is_broken = data.is_err();
                if sender.send(data).await.is_err() || is_broken {
                    return;
                }
            }
        };
        let disconnected = sender.closed();
        if clock.timeout(limit, chunks.or(disconnected)).await.is_err() {
            // Sending fails only if the caller has disconnected.
            let _ = sender.send(Err(BodyError::TimedOut)).await;
        }
        drop((connection, guard));
    });
    Response::from_parts(parts, ResponseBody::parts(receiver, length))
}

/// Returns whether a request was handed over by another daemon.
pub fn is_forwarded(request: &Request<ArrivingBody>) -> bool {
    request.headers().contains_key(TOKEN)
}

/// Handles a request of another daemon's caller.
pub async fn take_over(
    gateway: Arc<Gateway>,
    mut request: Request<ArrivingBody>,
) -> Response<ResponseBody> {
    let headers = request.headers_mut();
    let token = headers.remove(TOKEN);
    let is_counted = headers.remove(COUNTED).is_some();
    let version = headers.remove(VERSION);
    let account = ForwardedAccount::take(headers);
    let version = version.and_then(|version| version.to_str().ok()?.parse().ok()).unwrap_or(0);
    let is_known = token
        .is_some_and(|token| bool::from(token.as_bytes().ct_eq(gateway.peer_token.as_bytes())));
    if !is_known {
        tracing::warn!("request with a wrong token at the address for other daemons; not taken");
        return not_taken();
    }
    // An older configuration may lack the route, or lead to another service.
    let is_current = {
        let state = gateway.state.lock();
        state.configuration.as_ref().is_some_and(|configuration| configuration.version >= version)
    };
    let guard = TakenGuard::new(&gateway).filter(|_| is_current && gateway.is_ready());
    let Some(_guard) = guard else {
        return not_taken();
    };
    if account.as_ref().is_some_and(ForwardedAccount::has_expired) {
        tracing::info!("request of another daemon whose decision about its key no longer holds");
        return not_taken();
    }
    if let Some(account) = account {
        request.extensions_mut().insert(account);
    }
    gateway.metrics.taken_over.inc();
    let source = CallSource::Daemon { is_counted };
    let response = front::respond_to(Arc::clone(&gateway), request, source).await;
    if response.extensions().get::<AccountDecision>().is_some() {
        // Not authorized by this daemon's configuration. The other one decides by its own.
        return not_taken();
    }
    response
}

/// Marks a refusal of a request that another daemon handed over and no server has got, so that this
/// daemon can hand it to the next one.
pub fn mark_not_taken(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(NOT_TAKEN, HeaderValue::from_static("1"));
}

/// Returns the response that a request wasn't taken over, and hasn't run.
pub fn not_taken() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    mark_not_taken(&mut response);
    response
}
