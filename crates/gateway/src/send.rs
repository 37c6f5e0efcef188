//! One send of a request to one backend server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use gooseberry_core::{arena::EngineKey, serving::directory::EngineStage};
use gooseberry_platform::engine::{self, ResponseClass, SendOptions};
use gooseberry_transport::client::{ClientConnection, SendError};
use http::{request, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use smol_str::SmolStr;

use crate::gateway::Gateway;

/// Longest time for a connection to a backend server; round trips take 16 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// A server as it was when it was chosen.
#[derive(Clone, Debug)]
pub struct SendTarget {
    pub key: EngineKey,
    pub id: SmolStr,
    pub address: std::net::SocketAddr,
    pub domain: SmolStr,
    pub stage: EngineStage,
}

impl SendTarget {
    /// Notes where a server can be reached now.
    pub fn new(key: EngineKey, state: &gooseberry_core::serving::fleet::ServerState) -> Self {
        Self {
            key,
            id: state.entry.id.clone(),
            address: state.entry.address,
            domain: state.entry.domain.clone(),
            stage: state.entry.stage,
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
    /// Counts a request.
    pub fn new(gateway: &Arc<Gateway>, key: EngineKey) -> Self {
        gateway.state.lock().fleet.server_mut(key).running += 1;
        Self { gateway: Arc::clone(gateway), key }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state.lock();
        let server = state.fleet.server_mut(self.key);
        server.running = server.running.saturating_sub(1);
    }
}

/// An answer with what it came on.
#[derive(Debug)]
pub struct SendResponse {
    pub response: Response<Incoming>,
    pub connection: ClientConnection,
    pub guard: InFlightGuard,
}

/// What came of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server answered this request, well or badly.
    Answered(Box<SendResponse>),
    /// The request provably hasn't run.
    NotRun(NotRunReason),
    /// The request may have run and has no answer.
    Unknown(SmolStr),
}

/// Proof that a request hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// The server says so.
    Rejected,
    /// Another server has the address.
    Misdirected,
    /// No byte of the request left.
    Unreachable,
}

/// Says which connections a send may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// One that was used before, if there is one.
    Pooled,
    /// A new one: a request that may run only once isn't risked on a
    /// connection that may have gone silent.
    New,
}

/// Sends a request and reads the head of the answer.
pub async fn send(
    gateway: &Arc<Gateway>,
    target: &SendTarget,
    caller: &request::Parts,
    body: &Bytes,
    terms: &SendOptions<'_>,
    choice: ConnectionChoice,
    request_id: &str,
) -> SendOutcome {
    let guard = InFlightGuard::new(gateway, target.key);
    let sent = exchange(gateway, target, || engine::encode(caller, body, terms), choice).await;
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(fault) if fault.is_unsent() => {
            note_unreachable(gateway, target, &fault);
            return finish(gateway, SendOutcome::NotRun(NotRunReason::Unreachable), "unreachable");
        }
        Err(fault) => {
            record_failure(gateway, target, &fault.to_string());
            return finish(
                gateway,
                SendOutcome::Unknown(smol_str::format_smolstr!("{fault}")),
                "unanswered",
            );
        }
    };
    let meaning = engine::classify_response(&response, request_id);
    let outcome = match meaning {
        ResponseClass::Own => {
            SendOutcome::Answered(Box::new(SendResponse { response, connection, guard }))
        }
        // An answer to a prefill has no signature.
        ResponseClass::Unsigned if terms.phase == engine::SendPhase::Prefill => {
            SendOutcome::Answered(Box::new(SendResponse { response, connection, guard }))
        }
        ResponseClass::NotRun => {
            // Who is at fault for a KV cache that can't be had isn't known yet.
            if !matches!(terms.phase, engine::SendPhase::Decode { .. }) {
                record_failure(gateway, target, "rejected");
            }
            SendOutcome::NotRun(NotRunReason::Rejected)
        }
        ResponseClass::Misdirected => SendOutcome::NotRun(NotRunReason::Misdirected),
        ResponseClass::Foreign | ResponseClass::Unsigned => {
            record_failure(gateway, target, "the answer isn't the server's to this request");
            SendOutcome::Unknown(smol_str::format_smolstr!("{meaning} answer"))
        }
    };
    finish(gateway, outcome, &meaning.to_string())
}

fn finish(gateway: &Gateway, outcome: SendOutcome, label: &str) -> SendOutcome {
    gateway.metrics.sends.with_label_values(&[label]).inc();
    outcome
}

/// Sends on a kept connection if that is allowed, and on a new one if the kept
/// one turns out to be closed before a byte left.
pub async fn exchange(
    gateway: &Gateway,
    target: &SendTarget,
    request: impl Fn() -> Request<Full<Bytes>>,
    choice: ConnectionChoice,
) -> Result<(Response<Incoming>, ClientConnection), SendError> {
    let kept = match choice {
        ConnectionChoice::Pooled => gateway.connections.take(target.address, gateway.instant()),
        ConnectionChoice::New => None,
    };
    if let Some(mut connection) = kept {
        match connection.send(request()).await {
            Err(fault) if fault.is_unsent() => {}
            sent => return sent.map(|response| (response, connection)),
        }
    }
    gateway.metrics.connections.inc();
    let mut connection = ClientConnection::connect(target.address, CONNECT_LIMIT).await?;
    let response = connection.send(request()).await?;
    Ok((response, connection))
}

/// Keeps a connection whose answer was read to its end.
pub async fn return_connection(
    gateway: &Gateway,
    mut connection: ClientConnection,
    idle: Option<Duration>,
) {
    if connection.is_reusable().await {
        connection.idle_limit = idle;
        gateway.connections.put(connection, gateway.instant());
    }
}

/// Notes that a server answered as it should.
pub fn record_success(gateway: &Gateway, key: EngineKey) {
    gateway.state.lock().fleet.server_mut(key).health.record_success();
}

/// Notes that a server failed a request.
pub fn record_failure(gateway: &Gateway, target: &SendTarget, reason: &str) {
    let now = gateway.now();
    let mut state = gateway.state.lock();
    let health = &mut state.fleet.server_mut(target.key).health;
    health.record_failure(now);
    let (share, is_fit) = (health.failure_share(), health.is_available(now));
    tracing::info!(server = %target.id, reason, share, is_fit, "server failed a request");
}

/// Notes that a server is silent for much longer than its work takes.
pub fn record_stalled(gateway: &Gateway, target: &SendTarget, waited: Duration) {
    let now = gateway.now();
    gateway.state.lock().fleet.server_mut(target.key).health.record_unreachable(now);
    tracing::info!(server = %target.id, waited_ms = waited.as_millis() as u64, "server is silent");
}

/// Notes that the KV caches that a server exports can't be had.
pub fn record_lost_export(gateway: &Gateway, target: &SendTarget) {
    let now = gateway.now();
    gateway.state.lock().fleet.server_mut(target.key).export_health.record_unreachable(now);
    tracing::info!(server = %target.id, "exported KV cache is lost");
}

fn note_unreachable(gateway: &Gateway, target: &SendTarget, fault: &SendError) {
    let now = gateway.now();
    gateway.state.lock().fleet.server_mut(target.key).health.record_unreachable(now);
    tracing::info!(server = %target.id, %fault, "server can't be reached");
}
