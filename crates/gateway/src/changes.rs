//! Forwards changes of the key-value service to the daemons of a failure domain.
//!
//! In large fleets, each change would cost a call to the service for each daemon that watches it.
//! So only the relay of a domain watches the service. The other members of the domain request the
//! changes after a revision from the relay, as they would from the service.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use async_channel::{Receiver, Sender};
use async_std::net::TcpListener;
use bytes::Bytes;
use futures_lite::FutureExt;
use gooseberry_core::{
    serving::watch_plan::{RelayCall, RelayFailure, RELAY_WAIT},
    time::Timestamp,
};
use gooseberry_platform::store::{StoreChange, StoreUpdate};
use gooseberry_transport::{
    body::{self, ReadError, ResponseBody},
    client::{ClientConnection, SendError},
};
use http::{header, HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::{forward, gateway::Gateway, program};

/// Number of changes that are kept for members that lag behind.
const CHANGE_LIMIT: usize = 512;
/// Age of the service's last response up to which a relay serves its changes.
pub const MAX_RESPONSE_AGE: Duration = Duration::from_millis(2600);
/// Timeout of a connection to a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Header of a relay's response: the age of its list of changes, in milliseconds. Relays of earlier
/// builds don't send it.
const LIST_AGE_HEADER: HeaderName = HeaderName::from_static("list-age-ms");
/// Largest response of a relay, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Why a relay sent no changes.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("the relay's response can't be used: {0}")]
    Read(#[from] ReadError),
    #[error("the relay didn't respond in time")]
    TimedOut,
    #[error("the relay responded with status {0}")]
    Status(StatusCode),
    #[error("the relay's response can't be decoded: {0}")]
    Malformed(#[from] postcard::Error),
}

impl RelayError {
    /// Returns whether the relay is unreachable or no longer keeps the requested changes.
    pub fn failure(&self) -> RelayFailure {
        match self {
            Self::Status(StatusCode::GONE) => RelayFailure::Compacted,
            Self::Send(_)
            | Self::Read(_)
            | Self::TimedOut
            | Self::Status(_)
            | Self::Malformed(_) => RelayFailure::Unreachable,
        }
    }
}

/// The latest changes of the key-value service, which a relay serves to the members of its domain.
#[derive(Debug, Default)]
pub struct ChangeLog {
    state: Mutex<LogState>,
}

/// Times of a response of the service itself.
#[derive(Clone, Copy, Debug)]
pub struct ListTimes {
    pub responded_at: Timestamp,
    /// Time of the call: the response has all changes up to then.
    pub listed_at: Timestamp,
}

#[derive(Debug, Default)]
struct LogState {
    changes: VecDeque<StoreChange>,
    /// Revision after which all changes are kept.
    oldest_revision: u64,
    /// Revision up to which all changes are known.
    revision: u64,
    /// Time of the last response of the service itself, rather than a relay, to this daemon.
    responded_at: Option<Timestamp>,
    /// Time up to which the service itself has told this daemon of all changes.
    listed_at: Option<Timestamp>,
    /// Senders of the requests that wait for a change.
    waiters: Vec<Sender<()>>,
}

impl ChangeLog {
    /// Clears the log after a read of all keys.
    pub fn reset(&self, revision: u64, times: ListTimes) {
        let mut state = self.state.lock();
        state.changes.clear();
        state.oldest_revision = revision;
        state.revision = revision;
        state.responded_at = Some(times.responded_at);
        state.listed_at = Some(times.listed_at);
        state.waiters.clear();
    }

    /// Adds changes. `times` is set if they came from the service itself.
    pub fn extend(&self, update: &StoreUpdate, times: Option<ListTimes>) {
        let mut state = self.state.lock();
        if let Some(times) = times {
            state.responded_at = Some(times.responded_at);
            state.listed_at = Some(times.listed_at);
        }
        state.changes.extend(update.changes.iter().cloned());
        while state.changes.len() > CHANGE_LIMIT {
            if let Some(change) = state.changes.pop_front() {
                state.oldest_revision = state.oldest_revision.max(change.revision);
            }
        }
        if update.revision > state.revision {
            state.revision = update.revision;
            // Dropping the senders wakes all waiting requests.
            state.waiters.clear();
        }
    }

    /// Returns the changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns the HTTP status for the member if this daemon can't serve the changes.
    pub fn changes_after(&self, revision: u64, now: Timestamp) -> Result<StoreUpdate, StatusCode> {
        let state = self.state.lock();
        if state.responded_at.is_none_or(|at| now.since(at) >= MAX_RESPONSE_AGE) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if revision < state.oldest_revision {
            return Err(StatusCode::GONE);
        }
        let newer = state.changes.iter().filter(|change| change.revision > revision);
        Ok(StoreUpdate { changes: newer.cloned().collect(), revision: state.revision })
    }

    /// Returns for how long a member's request may wait for changes: no longer than the list counts as
    /// current.
    pub fn poll_timeout(&self, wanted: Duration, now: Timestamp) -> Duration {
        let responded_at = self.state.lock().responded_at;
        let time_left = responded_at.map(|at| (at + MAX_RESPONSE_AGE).since(now));
        wanted.min(RELAY_WAIT).min(time_left.unwrap_or_default())
    }

    /// Returns the time since which there may be changes that this log doesn't have.
    fn list_age(&self, now: Timestamp) -> Option<Duration> {
        self.state.lock().listed_at.map(|at| now.since(at))
    }

    /// Returns a receiver whose channel is closed at the next change.
    fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.state.lock();
        state.waiters.retain(|waiter| !waiter.is_closed());
        state.waiters.push(sender);
        receiver
    }
}

/// Serves other daemons: changes to the members of this domain, and requests that are handed over.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(gateway: &Arc<Gateway>, log: &Arc<ChangeLog>) -> anyhow::Result<()> {
    let address = gateway.options.peer_listen;
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("can't listen on {address}"))?;
    let (server, gateway, log) =
        (gateway.peer_server.clone(), Arc::clone(gateway), Arc::clone(log));
    program::spawn_server(&server, listener, move |request| {
        let (gateway, log) = (Arc::clone(&gateway), Arc::clone(&log));
        async move {
            if forward::is_forwarded(&request) {
                forward::take_over(gateway, request).await
            } else {
                respond(&gateway, &log, &request).await
            }
        }
    });
    Ok(())
}

async fn respond(
    gateway: &Gateway,
    log: &ChangeLog,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    let Ok(revision) = request.uri().path().trim_start_matches('/').parse() else {
        return program::status_response(StatusCode::NOT_FOUND);
    };
    let changed = log.subscribe();
    let mut update = log.changes_after(revision, gateway.now());
    if matches!(&update, Ok(update) if update.revision <= revision) {
        // The result doesn't matter: the log is read again whether a change arrived or the wait
        // timed out.
        let timeout = log.poll_timeout(wanted_wait(request.uri()), gateway.now());
        let _ = gateway.clock.timeout(timeout, changed.recv()).await;
        update = log.changes_after(revision, gateway.now());
    }
    match update.map(|update| postcard::to_stdvec(&update)) {
        Ok(Ok(bytes)) => {
            let mut response = Response::new(ResponseBody::whole(bytes));
            if let Some(age) = log.list_age(gateway.now()) {
                response.headers_mut().insert(LIST_AGE_HEADER, (age.as_millis() as u64).into());
            }
            response
        }
        Ok(Err(error)) => {
            tracing::warn!(%error, "changes can't be encoded");
            program::status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
        Err(status) => program::status_response(status),
    }
}

/// The changes that a relay sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayUpdate {
    pub update: StoreUpdate,
    /// Age of the relay's list at its response, if it says so.
    pub list_age: Option<Duration>,
}

/// Client that requests changes from a relay.
#[derive(Debug, Default)]
pub struct RelayClient {
    connection: Option<ClientConnection>,
}

impl RelayClient {
    /// Waits for changes after a revision. Returns an update without changes if the long poll ends
    /// before there is one.
    ///
    /// # Errors
    ///
    /// Returns why the relay sent no changes. The changes must be requested from the
    /// key-value service instead.
    pub async fn watch(
        &mut self,
        gateway: &Gateway,
        relay: SocketAddr,
        revision: u64,
        call: RelayCall,
    ) -> Result<RelayUpdate, RelayError> {
        let pooled = self.connection.take();
        let pooled =
            pooled.filter(|connection| connection.address() == relay && connection.is_open());
        let work = async {
            let mut connection = match pooled {
                Some(connection) => connection,
                None => ClientConnection::connect(relay, CONNECT_TIMEOUT).await?,
            };
            let answer = connection.send(request(revision, call.wait)).await?;
            let (status, list_age) = (answer.status(), list_age(answer.headers()));
            let body = body::read_whole(answer.into_body(), RESPONSE_LIMIT_BYTES).await?;
            Ok((connection, status, list_age, body))
        };
        let timeout = async {
            gateway.clock.sleep(call.timeout).await;
            Err(RelayError::TimedOut)
        };
        let (connection, status, list_age, body) = work.or(timeout).await?;
        self.connection = Some(connection);
        if status != StatusCode::OK {
            return Err(RelayError::Status(status));
        }
        Ok(RelayUpdate { update: postcard::from_bytes(&body)?, list_age })
    }
}

fn list_age(headers: &HeaderMap) -> Option<Duration> {
    let age_ms = headers.get(LIST_AGE_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(age_ms))
}

/// Returns the time for which a member wants its request to wait. Members of earlier builds don't state
/// it.
fn wanted_wait(uri: &Uri) -> Duration {
    let wait_ms = uri.query().and_then(|query| query.strip_prefix("wait-ms="));
    wait_ms.and_then(|text| text.parse().ok()).map_or(RELAY_WAIT, Duration::from_millis)
}

fn request(revision: u64, wait: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let path = format!("/{revision}?wait-ms={}", wait.as_millis());
    *request.uri_mut() = path.parse().unwrap_or_else(|_| http::Uri::from_static("/"));
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("relay"));
    request
}
