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
    serving::{
        store_era::{EraError, StoreRevision},
        watch_plan::{RelayCall, RelayFailure, RELAY_WAIT},
    },
    time::Timestamp,
};
use gooseberry_platform::store::{StoreChange, StoreUpdate};
use gooseberry_transport::{
    body::{self, ArrivingBody, ReadError, ResponseBody},
    client::{ClientConnection, SendError},
};
use http::{header, HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{forward, gateway::Gateway, program, usage};

/// Number of changes that are kept for members that lag behind.
const CHANGE_LIMIT: usize = 512;
/// Age of the service's last response up to which a relay serves its changes.
pub const MAX_RESPONSE_AGE: Duration = Duration::from_millis(2600);
/// Timeout of a connection to a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Header of a relay's response: the age of its list of changes, in milliseconds. Relays of earlier
/// builds don't send it.
const LIST_AGE_HEADER: HeaderName = HeaderName::from_static("list-age-ms");
/// Header of a member's request and of a relay's response: the era of the key-value service in which
/// the revisions were given out. Earlier builds don't send it.
const ERA_HEADER: HeaderName = HeaderName::from_static("list-era");
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
    #[error(transparent)]
    Era(#[from] EraError),
    #[error(
        "the relay doesn't state the era of its changes, and the key-value service has changed it"
    )]
    UnknownEra,
}

impl RelayError {
    /// Returns whether the relay is unreachable or doesn't have the requested changes.
    pub fn failure(&self) -> RelayFailure {
        match self {
            Self::Status(StatusCode::GONE) | Self::Era(_) | Self::UnknownEra => {
                RelayFailure::Compacted
            }
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
    /// Time of the call, in a clock that counts suspension: the response has all changes up to then.
    pub listed_at: Timestamp,
}

#[derive(Debug, Default)]
struct LogState {
    changes: VecDeque<StoreChange>,
    /// Number of the revision after which all changes are kept.
    oldest_revision: u64,
    /// Revision up to which all changes are known.
    revision: StoreRevision,
    /// Time of the last response of the service itself, rather than a relay, to this daemon.
    responded_at: Option<Timestamp>,
    /// Time up to which the service itself has told this daemon of all changes.
    /// The time is that of a clock that counts suspension.
    listed_at: Option<Timestamp>,
    /// Senders of the requests that wait for a change.
    waiters: Vec<Sender<()>>,
}

impl ChangeLog {
    /// Clears the log after a read of all keys.
    pub fn reset(&self, revision: StoreRevision, times: ListTimes) {
        let mut state = self.state.lock();
        state.changes.clear();
        state.oldest_revision = revision.number;
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

    /// Returns the changes after a revision. `newest_era` is that of the service as far as this daemon
    /// knows.
    ///
    /// # Errors
    ///
    /// Returns the HTTP status for the member if this daemon can't serve the changes.
    pub fn changes_after(
        &self,
        revision: StoreRevision,
        newest_era: u64,
        now: Timestamp,
    ) -> Result<StoreUpdate, StatusCode> {
        let state = self.state.lock();
        let is_current = state.revision.era >= newest_era.max(revision.era);
        if !is_current || state.responded_at.is_none_or(|at| now.since(at) >= MAX_RESPONSE_AGE) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if revision.era < state.revision.era || revision.number < state.oldest_revision {
            return Err(StatusCode::GONE);
        }
        let newer = state.changes.iter().filter(|change| change.revision > revision.number);
        Ok(StoreUpdate { changes: newer.cloned().collect(), revision: state.revision })
    }

    /// Returns for how long a member's request may wait for changes: no longer than the list counts as
    /// current.
    pub fn poll_timeout(&self, wanted: Duration, now: Timestamp) -> Duration {
        let responded_at = self.state.lock().responded_at;
        let time_left = responded_at.map(|at| (at + MAX_RESPONSE_AGE).since(now));
        wanted.min(RELAY_WAIT).min(time_left.unwrap_or_default())
    }

    /// Returns the era of the log's revisions.
    fn era(&self) -> u64 {
        self.state.lock().revision.era
    }

    /// Returns the time up to which this log has all changes, in a clock that counts suspension.
    fn listed_at(&self) -> Option<Timestamp> {
        self.state.lock().listed_at
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
    let limits = program::shedding_limits(&gateway, gateway.memory.limits().peer_connections);
    program::spawn_server(&server, listener, limits, move |request| {
        let (gateway, log) = (Arc::clone(&gateway), Arc::clone(&log));
        async move {
            if usage::is_question(&request) {
                usage::answer(&gateway.usage, &gateway.peer_token, &request)
            } else if forward::is_forwarded(&request) {
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
    request: &Request<ArrivingBody>,
) -> Response<ResponseBody> {
    let Ok(number) = request.uri().path().trim_start_matches('/').parse() else {
        return program::status_response(StatusCode::NOT_FOUND);
    };
    let era = match stated_era(request.headers()) {
        Some(era) => era,
        // A member of an earlier build may have its revision from an era that has ended.
        None if gateway.store.has_changed_era() => {
            return program::status_response(StatusCode::GONE);
        }
        None => log.era(),
    };
    let revision = StoreRevision { era, number };
    let changed = log.subscribe();
    // Read before the changes: the log may get newer ones in between, and the list mustn't seem newer
    // than it is.
    let mut listed_at = log.listed_at();
    let mut update = log.changes_after(revision, gateway.store.newest_era(), gateway.now());
    if matches!(&update, Ok(update) if update.revision <= revision) {
        // The result doesn't matter: the log is read again whether a change arrived or the wait
        // timed out.
        let timeout = log.poll_timeout(wanted_wait(request.uri()), gateway.now());
        let _ = gateway.clock.timeout(timeout, changed.recv()).await;
        listed_at = log.listed_at();
        update = log.changes_after(revision, gateway.store.newest_era(), gateway.now());
    }
    let era = update.as_ref().map_or(gateway.store.newest_era(), |update| update.revision.era);
    let mut response = match update.map(|update| postcard::to_stdvec(&RelayMessage::from(update))) {
        Ok(Ok(bytes)) => Response::new(ResponseBody::whole(bytes)),
        Ok(Err(error)) => {
            tracing::warn!(%error, "changes can't be encoded");
            program::status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
        Err(status) => program::status_response(status),
    };
    let headers = response.headers_mut();
    headers.insert(ERA_HEADER, era.into());
    if let Some(listed_at) = listed_at {
        let age = gateway.clock.time_since_boot().since(listed_at);
        headers.insert(LIST_AGE_HEADER, (age.as_millis() as u64).into());
    }
    response
}

/// Body of a relay's response. Other builds read it too, so it doesn't change; the era of its revisions
/// is in a header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMessage {
    pub changes: Vec<StoreChange>,
    pub revision: u64,
}

impl From<StoreUpdate> for RelayMessage {
    fn from(update: StoreUpdate) -> Self {
        Self { changes: update.changes, revision: update.revision.number }
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
        revision: StoreRevision,
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
            let (head, body) = answer.into_parts();
            let body = body::read_whole(body, RESPONSE_LIMIT_BYTES).await?;
            Ok((connection, head, body))
        };
        let timeout = async {
            gateway.clock.sleep(call.timeout).await;
            Err(RelayError::TimedOut)
        };
        let (connection, head, body) = work.or(timeout).await?;
        self.connection = Some(connection);
        let era = match stated_era(&head.headers) {
            Some(era) => gateway.store.record_era(Some(era), Some(revision.era))?,
            // A relay of an earlier build may go on in an era that has ended.
            None if gateway.store.has_changed_era() => return Err(RelayError::UnknownEra),
            None => revision.era,
        };
        if head.status != StatusCode::OK {
            return Err(RelayError::Status(head.status));
        }
        let RelayMessage { changes, revision: number } = postcard::from_bytes(&body)?;
        let update = StoreUpdate { changes, revision: StoreRevision { era, number } };
        Ok(RelayUpdate { update, list_age: list_age(&head.headers) })
    }
}

fn stated_era(headers: &HeaderMap) -> Option<u64> {
    headers.get(ERA_HEADER)?.to_str().ok()?.parse().ok()
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

fn request(revision: StoreRevision, wait: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let path = format!("/{}?wait-ms={}", revision.number, wait.as_millis());
    *request.uri_mut() = path.parse().unwrap_or_else(|_| http::Uri::from_static("/"));
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("relay"));
    request.headers_mut().insert(ERA_HEADER, revision.era.into());
    request
}
