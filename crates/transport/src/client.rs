//! One outgoing HTTP/1.1 connection.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{net::TcpStream, task};
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_util::future::{AbortHandle, Abortable};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};

use crate::io::StreamIo;

/// Largest head of an answer, in bytes.
const ANSWER_HEAD_LIMIT: usize = 64 * 1024;

/// Says why a request got no answer, and whether it can have run.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be made: no byte of the request left.
    #[error("can't connect to {address}: {reason}")]
    NotConnected { address: SocketAddr, reason: std::io::Error },
    /// The connection was gone before a byte of the request left.
    #[error("the connection to {0} closed before the request was sent")]
    NotSent(SocketAddr),
    /// Bytes of the request left and no answer came back: it may have run.
    #[error("no answer from {address}: {reason}")]
    Unanswered { address: SocketAddr, reason: hyper::Error },
}

impl SendError {
    /// Tells whether no byte of the request can have reached the other end.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::NotConnected { .. } | Self::NotSent(_) => true,
            Self::Unanswered { .. } => false,
        }
    }
}

/// A connection that carries one request at a time. Dropping it closes the
/// socket at once, which tells the other end that nobody waits any more.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// When the last answer on this connection was complete.
    pub idle_since: Instant,
    /// Longest idle time that the other end allows, if it said so.
    pub idle_limit: Option<Duration>,
}

impl ClientConnection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotConnected`] if no connection is made in time.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, SendError> {
        let late = async {
            task::sleep(limit).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let refuse = |reason| SendError::NotConnected { address, reason };
        let stream = TcpStream::connect(address).or(late).await.map_err(refuse)?;
        let io = StreamIo::new(stream).map_err(refuse)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(ANSWER_HEAD_LIMIT)
            .handshake(io)
            .await
            .map_err(|error| refuse(std::io::Error::other(error)))?;
        let (driver, registration) = AbortHandle::new_pair();
        task::spawn(async move {
            // The sender sees the same fault and reports it with its request.
            let _ = Abortable::new(connection, registration).await;
        });
        Ok(Self { address, sender, driver, idle_since: Instant::now(), idle_limit: None })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the request can have reached the other end.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent(self.address));
        }
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => SendError::NotSent(self.address),
                None => SendError::Unanswered { address: self.address, reason: error.into_error() },
            }
        })
    }

    /// Waits until the connection can take the next request; returns whether it
    /// can.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Tells whether the connection is known to be open.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns the address of the other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
