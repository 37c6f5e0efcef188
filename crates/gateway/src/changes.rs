//! Passes changes of the key-value service on to the members of a domain.
//!
//! In large fleets each watch of each daemon would cost a call for every
//! change. The relay of a domain watches, and its members ask it in place of
//! the service, in the same terms: what came after a revision.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use async_channel::{Receiver, Sender};
use async_std::net::TcpListener;
use bytes::Bytes;
use futures_lite::FutureExt;
use gooseberry_core::{serving::watch_plan::RelayFailure, time::Timestamp};
use gooseberry_platform::store::{StoreChange, StoreUpdate};
use gooseberry_transport::{
    body::ResponseBody,
    client::{ClientConnection, SendError},
    server::HttpServer,
};
use http::{header, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::{gateway::Gateway, program};

/// Changes that are kept for members that lag behind.
const KEPT_CHANGES: usize = 512;
/// Time for which a member's question waits for a change.
const WAIT_SPAN: Duration = Duration::from_millis(1200);
/// Time beyond the wait after which a relay's answer is late.
const WAIT_SLACK: Duration = Duration::from_millis(500);
/// Age of the service's last answer up to which a relay speaks for it.
const CONTACT_AGE: Duration = Duration::from_millis(2600);
/// Longest time for a connection to a relay.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Says why a relay gave no news.
#[derive(Debug, thiserror::Error)]
pub enum RelayFault {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("the relay's answer broke off: {0}")]
    Broken(hyper::Error),
    #[error("the relay didn't answer in time")]
    TimedOut,
    #[error("the relay answered with status {0}")]
    Status(StatusCode),
    #[error("the relay's answer isn't of its form: {0}")]
    Malformed(#[from] postcard::Error),
}

impl RelayFault {
    /// Returns what the relay lacks.
    pub fn failure(&self) -> RelayFailure {
        match self {
            Self::Status(StatusCode::GONE) => RelayFailure::Compacted,
            Self::Send(_)
            | Self::Broken(_)
            | Self::TimedOut
            | Self::Status(_)
            | Self::Malformed(_) => RelayFailure::Unreachable,
        }
    }
}

/// Keeps the latest changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    state: Mutex<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    changes: VecDeque<StoreChange>,
    /// Revision after which all changes are kept.
    floor: u64,
    /// Revision up to which all changes are known.
    revision: u64,
    /// When the service itself last answered this daemon.
    answered_at: Option<Timestamp>,
    waiting: Vec<Sender<()>>,
}

impl ChangeLog {
    /// Starts over after a read of all keys.
    pub fn reset(&self, revision: u64, now: Timestamp) {
        let mut state = self.state.lock();
        state.changes.clear();
        state.floor = revision;
        state.revision = revision;
        state.answered_at = Some(now);
        state.waiting.clear();
    }

    /// Adds changes; `answered_at` is set if they came from the service itself.
    pub fn extend(&self, news: &StoreUpdate, answered_at: Option<Timestamp>) {
        let mut state = self.state.lock();
        state.answered_at = answered_at.or(state.answered_at);
        state.changes.extend(news.changes.iter().cloned());
        while state.changes.len() > KEPT_CHANGES {
            if let Some(change) = state.changes.pop_front() {
                state.floor = state.floor.max(change.revision);
            }
        }
        if news.revision > state.revision {
            state.revision = news.revision;
            // Dropping the senders wakes all who wait.
            state.waiting.clear();
        }
    }

    /// Returns what came after a revision.
    ///
    /// # Errors
    ///
    /// Returns the status that says why this daemon can't tell.
    pub fn changes_after(&self, revision: u64, now: Timestamp) -> Result<StoreUpdate, StatusCode> {
        let state = self.state.lock();
        if state.answered_at.is_none_or(|at| now.since(at) > CONTACT_AGE) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if revision < state.floor {
            return Err(StatusCode::GONE);
        }
        let newer = state.changes.iter().filter(|change| change.revision > revision);
        Ok(StoreUpdate { changes: newer.cloned().collect(), revision: state.revision })
    }

    fn wait(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.state.lock();
        state.waiting.retain(|waiting| !waiting.is_closed());
        state.waiting.push(sender);
        receiver
    }
}

/// Serves the members of this domain.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(gateway: &Arc<Gateway>, log: &Arc<ChangeLog>) -> anyhow::Result<()> {
    let address = gateway.options.peer_listen;
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("can't listen at {address}"))?;
    let (gateway, log) = (Arc::clone(gateway), Arc::clone(log));
    program::spawn_server(&HttpServer::default(), listener, move |request| {
        let (gateway, log) = (Arc::clone(&gateway), Arc::clone(&log));
        async move { answer(&gateway, &log, &request).await }
    });
    Ok(())
}

async fn answer(
    gateway: &Gateway,
    log: &ChangeLog,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    let Ok(revision) = request.uri().path().trim_start_matches('/').parse() else {
        return program::status(StatusCode::NOT_FOUND);
    };
    let changed = log.wait();
    let mut news = log.changes_after(revision, gateway.now());
    if matches!(&news, Ok(news) if news.revision <= revision) {
        // The wait ends when the channel closes or by its limit; the log tells.
        let _ = gateway.clock.timeout(WAIT_SPAN, changed.recv()).await;
        news = log.changes_after(revision, gateway.now());
    }
    match news.map(|news| postcard::to_stdvec(&news)) {
        Ok(Ok(bytes)) => Response::new(ResponseBody::whole(bytes)),
        Ok(Err(error)) => {
            tracing::warn!(%error, "changes can't be written");
            program::status(StatusCode::INTERNAL_SERVER_ERROR)
        }
        Err(status) => program::status(status),
    }
}

/// Asks a relay for changes.
#[derive(Debug, Default)]
pub struct RelayClient {
    connection: Option<ClientConnection>,
}

impl RelayClient {
    /// Waits for changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns why the relay gave no news; the service itself is to be asked.
    pub async fn watch(
        &mut self,
        gateway: &Gateway,
        relay: SocketAddr,
        revision: u64,
    ) -> Result<StoreUpdate, RelayFault> {
        let kept = self.connection.take();
        let kept = kept.filter(|connection| connection.address() == relay && connection.is_open());
        let work = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => ClientConnection::connect(relay, CONNECT_LIMIT).await?,
            };
            let answer = connection.send(request(revision)).await?;
            let status = answer.status();
            let body = answer.into_body().collect().await.map_err(RelayFault::Broken)?;
            Ok((connection, status, body.to_bytes()))
        };
        let late = async {
            gateway.clock.sleep(WAIT_SPAN + WAIT_SLACK).await;
            Err(RelayFault::TimedOut)
        };
        let (connection, status, body) = work.or(late).await?;
        self.connection = Some(connection);
        if status != StatusCode::OK {
            return Err(RelayFault::Status(status));
        }
        Ok(postcard::from_bytes(&body)?)
    }
}

fn request(revision: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let path = format!("/{revision}");
    *request.uri_mut() = path.parse().unwrap_or_else(|_| http::Uri::from_static("/"));
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("relay"));
    request
}
