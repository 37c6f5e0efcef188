//! Sends a request to one backend server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use gooseberry_core::{
    arena::EngineKey,
    serving::{
        directory::EngineStage, fleet, part_evidence::EngineIncarnation, software::SoftwareKey,
    },
    time::Timestamp,
};
use gooseberry_platform::engine::{
    self, ConnectionUse, EngineReport, LimitStatement, ResponseClass, SendOptions,
};
use gooseberry_transport::{
    body::{self, ArrivingBody},
    client::{ClientConnection, SendError},
};
use http::{request, Request, Response, StatusCode};
use http_body_util::Full;
use smol_str::SmolStr;

use crate::gateway::Gateway;

/// Timeout of a connection to a backend server; round trips take 16 ms.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest response to a prefill, a report, an order or a release, in bytes. They have up to 1 kB.
pub const CONTROL_RESPONSE_LIMIT_BYTES: usize = 64 * 1024;

/// A server as it was when it was chosen.
#[derive(Clone, Debug)]
pub struct SendTarget {
    pub key: EngineKey,
    pub id: SmolStr,
    pub address: std::net::SocketAddr,
    pub domain: SmolStr,
    pub stage: EngineStage,
    pub software: SoftwareKey,
    pub incarnation: EngineIncarnation,
    /// Start of the server, in milliseconds since the epoch, if its entry states it.
    pub started_at_ms: Option<u64>,
}

impl SendTarget {
    /// Copies the properties of a server that a send needs.
    pub fn new(key: EngineKey, state: &gooseberry_core::serving::fleet::ServerState) -> Self {
        Self {
            key,
            id: state.entry.id.clone(),
            address: state.entry.address,
            domain: state.entry.domain.clone(),
            stage: state.entry.stage,
            software: SoftwareKey::of(&state.entry),
            incarnation: fleet::incarnation(&state.entry),
            started_at_ms: state.entry.started_at_ms,
        }
    }
}

/// Counts a request at a server for as long as it runs there.
#[derive(Debug)]
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    key: EngineKey,
}

impl InFlightGuard {
    /// Increments the count.
    pub fn new(gateway: &Arc<Gateway>, key: EngineKey) -> Self {
        gateway.state.lock().fleet.server_mut(key).running += 1;
        Self { gateway: Arc::clone(gateway), key }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state.lock();
        let server = state.fleet.server_mut(self.key);
        server.running = server.running.saturating_sub(1);
        state.fleet.record_paced_end(self.key, now);
    }
}

/// A response with the connection that it arrives on.
#[derive(Debug)]
pub struct SendResponse {
    pub sent_at: Timestamp,
    pub response: Response<ArrivingBody>,
    pub connection: ClientConnection,
    pub guard: InFlightGuard,
}

/// Outcome of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server responded to this request, with success or failure.
    Responded(Box<SendResponse>),
    /// The request provably hasn't run.
    NotRun(NotRunReason),
    /// The request may have run, and there is no valid response. The text is the reason.
    Unknown(SmolStr),
}

/// Why a request provably hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// The server rejected it.
    Rejected,
    /// Another server has the address now.
    Misdirected,
    /// No byte of the request was sent.
    Unreachable,
}

/// Which connections a send may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// A pooled connection, if there is one.
    Pooled,
    /// A new connection. A request that may run only once isn't sent on a pooled connection, which
    /// may have become unresponsive. Nor is one that this server has refused before: the refusal may
    /// arrive again, with the same id. The response to a request without an id is known only by its
    /// connection.
    New {
        /// Time for which the server may leave the request unread, if it is longer than the time in
        /// which a lost connection is detected. Only for a request that may run once: another one is
        /// sent to the next server instead.
        unread: Option<Duration>,
    },
}

/// Sends a request, reads the response head and records failures in the server's health.
pub async fn send(
    gateway: &Arc<Gateway>,
    target: &SendTarget,
    caller: &request::Parts,
    body: &Bytes,
    send_options: &SendOptions<'_>,
    choice: ConnectionChoice,
    request_id: &str,
) -> SendOutcome {
    let guard = InFlightGuard::new(gateway, target.key);
    let sent_at = gateway.now();
    let sent =
        exchange(gateway, target, || engine::encode(caller, body, send_options), choice).await;
    let Exchange { response, connection, connection_use } = match sent {
        Ok(sent) => sent,
        Err(fault) if fault.is_unsent() => {
            record_unreachable(gateway, target, &fault);
            return count_send(
                gateway,
                SendOutcome::NotRun(NotRunReason::Unreachable),
                "unreachable",
            );
        }
        Err(fault) => {
            record_failure(gateway, target, &fault.to_string());
            return count_send(
                gateway,
                SendOutcome::Unknown(smol_str::format_smolstr!("{fault}")),
                "unanswered",
            );
        }
    };
    let class = engine::classify_response(&response, request_id, connection_use);
    match class {
        ResponseClass::Own | ResponseClass::NotRun | ResponseClass::Unsigned => {
            record_statements(gateway, target, &response, sent_at);
        }
        ResponseClass::Foreign | ResponseClass::Misdirected => {}
    }
    let outcome = match class {
        ResponseClass::Own => {
            SendOutcome::Responded(Box::new(SendResponse { sent_at, response, connection, guard }))
        }
        // A prefill response has no signature.
        ResponseClass::Unsigned if send_options.phase == engine::SendPhase::Prefill => {
            SendOutcome::Responded(Box::new(SendResponse { sent_at, response, connection, guard }))
        }
        ResponseClass::NotRun => {
            // A decode engine also rejects a request if the KV cache is unavailable. Then it isn't
            // known yet whether the prefill or the decode engine has failed.
            if !matches!(send_options.phase, engine::SendPhase::Decode { .. }) {
                record_failure(gateway, target, "rejected");
            }
            record_refusal(gateway, target.key);
            SendOutcome::NotRun(NotRunReason::Rejected)
        }
        ResponseClass::Misdirected => SendOutcome::NotRun(NotRunReason::Misdirected),
        ResponseClass::Foreign | ResponseClass::Unsigned => {
            record_failure(
                gateway,
                target,
                "the response doesn't belong to this request and server",
            );
            SendOutcome::Unknown(smol_str::format_smolstr!("{class} response"))
        }
    };
    count_send(gateway, outcome, &class.to_string())
}

fn count_send(gateway: &Gateway, outcome: SendOutcome, label: &str) -> SendOutcome {
    gateway.metrics.sends.with_label_values(&[label]).inc();
    outcome
}

/// Sends a request of this system itself on a new connection, which isn't pooled afterwards. It counts
/// against the server's request limit but isn't kept back by it.
pub async fn exchange_own(
    gateway: &Gateway,
    target: &SendTarget,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<(Response<ArrivingBody>, ClientConnection), SendError> {
    if gateway.state.lock().record_send(target.key, gateway.now()) {
        gateway.wake_publisher();
    }
    let sent_at = gateway.now();
    let Exchange { response, connection, .. } =
        exchange(gateway, target, request, ConnectionChoice::New { unread: None }).await?;
    // A misdirected response comes from another server.
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        record_statements(gateway, target, &response, sent_at);
    }
    Ok((response, connection))
}

/// Requests an engine's report. Returns none if there is none that can be used.
pub async fn report(gateway: &Gateway, target: &SendTarget) -> Option<EngineReport> {
    let (response, _connection) = exchange_own(gateway, target, engine::report).await.ok()?;
    let body = body::read_whole(response.into_body(), CONTROL_RESPONSE_LIMIT_BYTES).await.ok()?;
    engine::decode_report(&body).ok()
}

/// The head of a response, which isn't known to be that of the request.
struct Exchange {
    response: Response<ArrivingBody>,
    connection: ClientConnection,
    connection_use: ConnectionUse,
}

/// Sends a request on a pooled connection if `choice` allows it and there is one, otherwise on a
/// new connection. A new one is also used if the pooled one was closed before a byte was sent.
async fn exchange(
    gateway: &Gateway,
    target: &SendTarget,
    request: impl Fn() -> Request<Full<Bytes>>,
    choice: ConnectionChoice,
) -> Result<Exchange, SendError> {
    let (pooled, unread) = match choice {
        ConnectionChoice::Pooled => {
            (gateway.connections.take(target.address, gateway.instant()), None)
        }
        ConnectionChoice::New { unread } => (None, unread),
    };
    if let Some(mut connection) = pooled {
        match connection.send(request()).await {
            Err(fault) if fault.is_unsent() => {}
            sent => {
                let connection_use = ConnectionUse::Kept;
                return sent.map(|response| Exchange { response, connection, connection_use });
            }
        }
    }
    let mut connection = connect(gateway, target).await?;
    if let Some(unread) = unread {
        connection.allow_unread(unread);
    }
    let response = connection.send(request()).await?;
    Ok(Exchange { response, connection, connection_use: ConnectionUse::First })
}

/// Connects to a server, and records whether it can be reached.
///
/// # Errors
///
/// Returns [`SendError::NotConnected`] if the connection fails or isn't established in time.
pub async fn connect(
    gateway: &Gateway,
    target: &SendTarget,
) -> Result<ClientConnection, SendError> {
    gateway.metrics.connections.inc();
    let connected = ClientConnection::connect(target.address, CONNECT_TIMEOUT).await;
    let has_succeeded = connected.is_ok();
    let suspected = gateway.state.lock().record_connect(target.key, has_succeeded, gateway.now());
    if let Some(service) = suspected {
        gateway.suspect_cut(service);
    }
    connected
}

/// Records what a response says about its server: whether it leaves, asks for quiet, and which rate
/// of requests it takes.
fn record_statements(
    gateway: &Gateway,
    target: &SendTarget,
    response: &Response<ArrivingBody>,
    sent_at: Timestamp,
) {
    let headers = response.headers();
    let now = gateway.now();
    let mut state = gateway.state.lock();
    if fleet::incarnation(&state.fleet.server(target.key).entry) != target.incarnation {
        return;
    }
    state.record_response(target.key, now);
    let mut has_news = false;
    if engine::is_leaving(headers) && state.record_leaving(target.key) {
        gateway.metrics.leaving_servers.inc();
        tracing::info!(server = %target.id, "server says that it leaves; sending it no requests");
        has_news = true;
    }
    if let Some(quiet) = engine::requested_quiet(response) {
        state.record_quiet(target.key, quiet, now);
        gateway.metrics.quiet_requests.inc();
        let quiet_ms = quiet.as_millis() as u64;
        tracing::info!(server = %target.id, quiet_ms, "server asked for quiet; sending it no requests");
    }
    let has_changed = match engine::limit_statement(headers) {
        LimitStatement::Unlimited => state.record_limit(target.key, None, sent_at, now),
        LimitStatement::PerSecond(limit) => {
            state.record_limit(target.key, Some(limit), sent_at, now)
        }
        LimitStatement::Malformed => {
            tracing::warn!(server = %target.id, "request limit of a server can't be decoded");
            false
        }
    };
    if has_changed {
        let per_second = state.fleet.server(target.key).request_limit.per_second();
        tracing::info!(server = %target.id, per_second, "server changed its request limit");
        has_news = true;
    }
    drop(state);
    if has_news {
        gateway.wake_publisher();
    }
}

/// Returns a connection to the pool after the response was read completely.
pub async fn return_connection(
    gateway: &Gateway,
    key: EngineKey,
    mut connection: ClientConnection,
    idle: Option<Duration>,
) {
    if connection.is_reusable().await {
        connection.idle_limit = idle;
        let limit = gateway.state.lock().idle_connections(key, gateway.now());
        gateway.connections.put(connection, limit, gateway.instant());
    }
}

/// Records that a server completed a request.
pub fn record_success(gateway: &Gateway, key: EngineKey) {
    let mut state = gateway.state.lock();
    let server = state.fleet.server_mut(key);
    server.health.record_success();
    server.pace.record_success();
}

/// Records the time to the response to a plain request, or to the first event of a decode.
pub fn record_response(gateway: &Gateway, key: EngineKey, sent_at: Timestamp) {
    let now = gateway.now();
    let elapsed_ms = now.since(sent_at).as_millis() as f64;
    gateway.state.lock().fleet.record_response(key, elapsed_ms, now);
}

/// Records that a server refused a request for lack of capacity, or cut off its response.
pub fn record_refusal(gateway: &Gateway, key: EngineKey) {
    gateway.state.lock().fleet.record_refusal(key, gateway.now());
}

/// Records that a server failed a request.
pub fn record_failure(gateway: &Gateway, target: &SendTarget, reason: &str) {
    let now = gateway.now();
    let mut state = gateway.state.lock();
    let health = &mut state.fleet.server_mut(target.key).health;
    health.record_failure(now);
    let (share, is_fit) = (health.failure_share(), health.is_available(now));
    state.fleet.record_unavailable(target.key, now);
    tracing::info!(server = %target.id, reason, share, is_fit, "server failed a request");
}

/// Records that a server hasn't responded for much longer than its work takes.
pub fn record_stalled(gateway: &Gateway, target: &SendTarget, waited: Duration) {
    let now = gateway.now();
    record_unusable(gateway, target.key, now);
    tracing::info!(server = %target.id, waited_ms = waited.as_millis() as u64, "server is not responding");
}

/// Records that the KV caches that a server exports are unavailable.
pub fn record_lost_export(gateway: &Gateway, target: &SendTarget) {
    let now = gateway.now();
    gateway.state.lock().fleet.server_mut(target.key).export_health.record_unreachable(now);
    tracing::info!(server = %target.id, "exported KV cache is unavailable");
}

fn record_unreachable(gateway: &Gateway, target: &SendTarget, fault: &SendError) {
    record_unusable(gateway, target.key, gateway.now());
    tracing::info!(server = %target.id, %fault, "server is unreachable");
}

fn record_unusable(gateway: &Gateway, key: EngineKey, now: Timestamp) {
    let mut state = gateway.state.lock();
    state.fleet.server_mut(key).health.record_unreachable(now);
    state.fleet.record_unavailable(key, now);
}
