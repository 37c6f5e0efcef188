//! A single outgoing HTTP/1.1 connection.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{net::TcpStream, task};
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_util::future::{AbortHandle, Abortable};
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};

use crate::{
    body::ArrivingBody,
    io::{self, StreamIo},
    meter::OverheadMeter,
};

/// Largest head of a response, in bytes.
const RESPONSE_HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Receive window of a server with the kernel's default settings, in bytes. A shorter request is
/// acknowledged although the server doesn't read it.
const RECEIVE_WINDOW_BYTES: u64 = 64 * 1024;

/// The reason why a request got no response, and whether it may have been executed.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be established, so no byte of the request was sent.
    #[error("can't connect to {address}: {reason}")]
    NotConnected { address: SocketAddr, reason: std::io::Error },
    /// The connection closed before any byte of the request was sent.
    #[error("the connection to {0} closed before the request was sent")]
    NotSent(SocketAddr),
    /// The request was sent at least in part and no response arrived; the
    /// request may have been executed.
    #[error("request sent to {address}, but no response arrived: {reason}")]
    Unanswered { address: SocketAddr, reason: hyper::Error },
    /// The response has a status that no final response can have; the request may have been
    /// executed.
    #[error("request sent to {address}, but its response has the invalid status {status}")]
    InvalidStatus { address: SocketAddr, status: StatusCode },
}

impl SendError {
    /// Returns whether no byte of the request can have reached the server.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::NotConnected { .. } | Self::NotSent(_) => true,
            Self::Unanswered { .. } | Self::InvalidStatus { .. } => false,
        }
    }
}

/// Time after the time limit in which a connection that was established within it may be reported. A
/// task that others kept from running can find its timer due before the runtime's report.
const LATE_REPORT_DURATION: Duration = Duration::from_millis(1);

/// A connection that carries one request at a time.
///
/// Dropping it closes the socket at once, which the server can take as a
/// cancellation of the request.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    meter: OverheadMeter,
    /// Time for which the server may leave a long request unread.
    unread_limit: Option<Duration>,
    /// Another handle of the socket.
    socket: TcpStream,
    /// Time at which the last response on this connection was complete.
    pub idle_since: Instant,
    /// Idle timeout that the server stated, if any.
    pub idle_limit: Option<Duration>,
}

impl ClientConnection {
    /// Connects to an address within a time limit.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotConnected`] if the connection fails or isn't
    /// established in time.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, SendError> {
        let timeout = async {
            task::sleep(limit).await;
            task::sleep(LATE_REPORT_DURATION).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let not_connected = |reason| SendError::NotConnected { address, reason };
        let stream = TcpStream::connect(address).or(timeout).await.map_err(not_connected)?;
        let socket = stream.clone();
        let meter = OverheadMeter::default();
        let io = StreamIo::outgoing(stream, meter.clone()).map_err(not_connected)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(RESPONSE_HEAD_LIMIT_BYTES)
            .handshake(io)
            .await
            .map_err(|error| not_connected(std::io::Error::other(error)))?;
        let (driver, registration) = AbortHandle::new_pair();
        task::spawn(async move {
            // The sender returns the same error from its pending request.
            let _ = Abortable::new(connection, registration).await;
        });
        Ok(Self {
            address,
            sender,
            driver,
            meter,
            unread_limit: None,
            socket,
            idle_since: Instant::now(),
            idle_limit: None,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the request can have reached the
    /// server.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ArrivingBody>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent(self.address));
        }
        self.meter.record_progress();
        let length = request.body().size_hint().exact().unwrap_or_default();
        let unread_limit = self.unread_limit.filter(|_| length > RECEIVE_WINDOW_BYTES);
        if let Some(limit) = unread_limit {
            self.set_unacknowledged_timeout(limit);
        }
        let sent = self.sender.try_send_request(request).await;
        if unread_limit.is_some() {
            self.set_unacknowledged_timeout(io::UNACKNOWLEDGED_TIMEOUT);
        }
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent(self.address),
            None => SendError::Unanswered { address: self.address, reason: error.into_error() },
        })?;
        let status = response.status();
        if !is_final(status) {
            return Err(SendError::InvalidStatus { address: self.address, status });
        }
        Ok(response.map(|body| ArrivingBody::new(body, self.meter.clone())))
    }

    /// Lets the server leave a request unread for this long, if it is longer than its receive window.
    /// Such a server can't be told from a lost connection, which is then detected as late.
    pub fn allow_unread(&mut self, limit: Duration) {
        self.unread_limit = Some(limit).filter(|limit| *limit > io::UNACKNOWLEDGED_TIMEOUT);
    }

    fn set_unacknowledged_timeout(&self, limit: Duration) {
        if let Err(error) = io::set_unacknowledged_timeout(&self.socket, limit) {
            tracing::debug!(%error, "failed to change the timeout of a connection");
        }
    }

    /// Makes the kernel discard what it hasn't sent when the connection is closed. Otherwise it goes on
    /// sending it, so that a request may arrive after its timeout.
    pub fn discard_unsent_on_close(&self) {
        io::reset_on_close(&self.socket);
    }

    /// Waits until the connection is ready for the next request or closed;
    /// returns whether it is ready.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether the connection is open and ready for a request now.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Returns whether a final response may have a status (RFC 9110, section 15). No request asks to switch
/// protocols, and codes from 600 on are invalid.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
