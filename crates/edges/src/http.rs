//! An HTTP client with a connection pool, whose errors tell whether a request
//! may have been sent.

use std::{collections::HashMap, io, pin::pin, sync::Arc, time::Duration};

use async_std::{
    io::{prelude::BufReadExt, ReadExt},
    net::TcpStream,
};
use futures_lite::future;
use gooseberry_core::serving::event_stream::{BodyFraming, EventTracker};
use http_types::{headers::CONTENT_TYPE, Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use smol_str::SmolStr;

use crate::{clock::Clock, unframed::RecordingStream};

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after that in which a connection that was established before may be reported. A task that others
/// kept from running can find its timer due before the runtime's report.
const LATE_REPORT_DURATION: Duration = Duration::from_millis(1);
/// Largest body of a response that is read as a whole, in bytes. A server in trouble may send bytes
/// without end.
const BODY_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Largest line of a stream, in bytes.
const LINE_LIMIT_BYTES: usize = 1024 * 1024;
/// Most idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// The reason why a call failed, and whether the request may have been sent.
///
/// The texts leave the process inside those of
/// [`PlatformError`](crate::platform::PlatformError).
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No byte of the request was sent.
    #[error("can't connect to {address}: {source}")]
    Connect { address: SmolStr, source: io::Error },
    /// The request may have reached the server, but its response ended early.
    #[error("lost the answer of {address}: {detail}")]
    ResponseLost { address: SmolStr, detail: String },
    /// The request may have reached the server; the response didn't arrive in
    /// time.
    #[error("{address} gave no answer in time")]
    TimedOut { address: SmolStr },
}

impl HttpError {
    /// Returns whether the request has provably not been sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Whether a request may be sent on a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A pooled connection may be used. If it turns out to be closed, a GET
    /// request is sent again on a new connection.
    Pooled,
    /// A new connection is opened, so that a request that must not be repeated
    /// is never lost on a connection that the server has closed.
    New,
}

/// A request with its body in memory, so that it can be sent again.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method, URL and headers; the body of this request stays empty.
    pub head: Request,
    pub body: Vec<u8>,
}

impl HttpCall {
    /// Creates a call without a body.
    pub fn new(head: Request) -> Self {
        Self { head, body: Vec::new() }
    }

    /// Creates a call with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics if the value can't be serialized as JSON. The generated wire types
    /// always can.
    pub fn with_json(mut head: Request, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("wire types can be serialized as JSON");
        head.insert_header(CONTENT_TYPE, http_types::mime::JSON);
        Self { head, body }
    }

    fn to_request(&self) -> Request {
        let mut request = self.head.clone();
        if !self.body.is_empty() {
            // `set_body` also sets the content type, but the caller's must stay.
            let content_type = request.header(CONTENT_TYPE).map(|value| value.last().clone());
            request.set_body(self.body.clone());
            if let Some(content_type) = content_type {
                request.insert_header(CONTENT_TYPE, content_type);
            }
        }
        request
    }
}

impl From<Request> for HttpCall {
    fn from(head: Request) -> Self {
        Self::new(head)
    }
}

/// An HTTP client; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    clock: Clock,
    idle: Arc<Mutex<HashMap<SmolStr, Vec<TcpStream>>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(clock: Clock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] that tells whether the request may have been
    /// sent.
    pub async fn send(
        &self,
        address: &str,
        call: &HttpCall,
        connection: ConnectionUse,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        if connection == ConnectionUse::Pooled {
            if let Some(stream) = self.take_idle(address).await {
                let result = self.exchange(address, stream, call, limit).await;
                // Only a GET is sent again here: any other request may already
                // be running, which the caller must be told.
                let reads_only = call.head.method() == Method::Get;
                match result {
                    Err(HttpError::ResponseLost { .. }) if reads_only => {}
                    result => return result,
                }
            }
        }
        let stream = self.connect(address).await?;
        self.exchange(address, stream, call, limit).await
    }

    async fn connect(&self, address: &str) -> Result<TcpStream, HttpError> {
        let mut connecting = pin!(TcpStream::connect(address));
        let mut connected = self.clock.timeout(CONNECT_TIMEOUT, connecting.as_mut()).await;
        if connected.is_err() {
            connected = self.clock.timeout(LATE_REPORT_DURATION, connecting).await;
        }
        let result = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream =
            result.map_err(|source| HttpError::Connect { address: address.into(), source })?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    async fn exchange(
        &self,
        address: &str,
        stream: TcpStream,
        call: &HttpCall,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let (recording, head) = RecordingStream::new(stream.clone());
        let exchange = async_h1::connect(recording, call.to_request());
        let answered = self.clock.timeout(limit, exchange).await;
        let address = SmolStr::new(address);
        match answered {
            // `async_h1` doesn't skip interim responses, and no request asks to switch protocols.
            Ok(Ok(response)) if response.status().is_informational() => {
                let detail = format!("the status {} isn't final", response.status());
                Err(HttpError::ResponseLost { address, detail })
            }
            Ok(Ok(mut response)) => {
                let is_unframed = head.restore_body(call.head.method(), &mut response);
                Ok(HttpResponse { response, is_unframed, stream, address, client: self.clone() })
            }
            Ok(Err(error)) => Err(HttpError::ResponseLost { address, detail: error.to_string() }),
            Err(_) => Err(self.handle_timeout(&address)),
        }
    }

    /// Removes a connection from the pool that its server hasn't closed.
    async fn take_idle(&self, address: &str) -> Option<TcpStream> {
        loop {
            let stream = self.idle.lock().get_mut(address)?.pop()?;
            // An idle connection has data to read only if it was closed.
            let peeked = future::poll_once(stream.peek(&mut [0])).await;
            if peeked.is_none() {
                return Some(stream);
            }
        }
    }

    /// Drops the pooled connections of an address: what made one connection
    /// unresponsive may affect the others too, while a new one may work.
    fn handle_timeout(&self, address: &SmolStr) -> HttpError {
        self.idle.lock().remove(address);
        HttpError::TimedOut { address: address.clone() }
    }

    fn return_connection(&self, address: &SmolStr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        let streams = idle.entry(address.clone()).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS {
            streams.push(stream);
        }
    }
}

/// The head of a response, and a reader of its body.
#[derive(Debug)]
pub struct HttpResponse {
    pub response: Response,
    /// Whether the body ends with the connection.
    is_unframed: bool,
    stream: TcpStream,
    address: SmolStr,
    client: HttpClient,
}

impl HttpResponse {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    fn has_events(&self) -> bool {
        let is_event_type = self.response.content_type().is_some_and(|content_type| {
            content_type.essence().eq_ignore_ascii_case("text/event-stream")
        });
        self.status().is_success() && is_event_type
    }

    /// Reads the complete body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, ends early or doesn't arrive in time.
    pub async fn into_bytes(mut self, limit: Duration) -> Result<Vec<u8>, HttpError> {
        let expected = self.response.len();
        let mut body = self.response.take_body().take(BODY_LIMIT_BYTES as u64 + 1);
        let mut bytes = Vec::new();
        let read = self.client.clock.timeout(limit, body.read_to_end(&mut bytes)).await;
        let address = self.address.clone();
        match read {
            Ok(Ok(length)) if length > BODY_LIMIT_BYTES => {
                let detail = format!("the body has more than {BODY_LIMIT_BYTES} bytes");
                return Err(HttpError::ResponseLost { address, detail });
            }
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                return Err(HttpError::ResponseLost { address, detail: error.to_string() })
            }
            Err(_) => return Err(self.client.handle_timeout(&address)),
        }
        if expected.is_some_and(|expected| expected != bytes.len()) {
            let detail = "the body ended early".to_owned();
            return Err(HttpError::ResponseLost { address, detail });
        }
        let framing = match expected {
            _ if self.is_unframed => BodyFraming::Connection,
            Some(_) => BodyFraming::Length,
            None => BodyFraming::Chunked,
        };
        if self.has_events() && !EventTracker::after(&bytes).is_complete(framing) {
            let detail = "the stream ended inside an event or before the first one".to_owned();
            return Err(HttpError::ResponseLost { address, detail });
        }
        self.finish();
        Ok(bytes)
    }

    /// Appends the next line of the body to a buffer and returns its length in
    /// bytes, which is 0 at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the line is too long or none arrives within the
    /// limit.
    pub async fn read_line(
        &mut self,
        line: &mut String,
        limit: Duration,
    ) -> Result<usize, HttpError> {
        let address = self.address.clone();
        let mut limited = (&mut self.response).take(LINE_LIMIT_BYTES as u64 + 1);
        let reading = limited.read_line(line);
        match self.client.clock.timeout(limit, reading).await {
            Ok(Ok(length)) if length > LINE_LIMIT_BYTES => {
                let detail = format!("a line has more than {LINE_LIMIT_BYTES} bytes");
                Err(HttpError::ResponseLost { address, detail })
            }
            Ok(Ok(length)) => Ok(length),
            Ok(Err(error)) => Err(HttpError::ResponseLost { address, detail: error.to_string() }),
            Err(_) => Err(self.client.handle_timeout(&address)),
        }
    }

    /// Returns the connection to the pool, unless the server closes it. The body
    /// must have been read to its end.
    pub fn finish(self) {
        let closes = self
            .response
            .header("connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        if !closes && !self.is_unframed {
            self.client.return_connection(&self.address, self.stream);
        }
    }
}
