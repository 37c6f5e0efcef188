//! An HTTP client that keeps connections and says whether bytes may have left.

use std::{collections::HashMap, io, sync::Arc, time::Duration};

use async_std::{io::BufReadExt, net::TcpStream};
use futures_lite::future;
use http_types::{headers::CONTENT_TYPE, Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use smol_str::SmolStr;

use crate::clock::Clock;

/// Longest time for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept for each address.
const KEPT_PER_ADDRESS: usize = 64;

/// Says why a call failed, and whether bytes of it may have left.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No byte of the request has left.
    #[error("can't connect to {address}: {source}")]
    Connect { address: SmolStr, source: io::Error },
    /// The request may have arrived.
    #[error("lost the answer of {address}: {detail}")]
    ResponseLost { address: SmolStr, detail: String },
    /// The request may have arrived; the answer didn't come in time.
    #[error("{address} gave no answer in time")]
    TimedOut { address: SmolStr },
}

impl HttpError {
    /// Tells whether the request has provably not been sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Says whether a kept connection may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A kept connection may be used; if it turns out dead before an answer,
    /// a request that only reads goes out again on a new one.
    Pooled,
    /// A new connection is opened, so that a request that may not be repeated
    /// is never lost on a dead one.
    New,
}

/// Holds a request with its body in memory, so that it can go out again.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method, URL and headers; its own body stays empty.
    pub head: Request,
    pub body: Vec<u8>,
}

impl HttpCall {
    /// Makes a call without a body.
    pub fn new(head: Request) -> Self {
        Self { head, body: Vec::new() }
    }

    /// Makes a call whose body is JSON.
    ///
    /// # Panics
    ///
    /// Panics if the value can't be written as JSON, which border types can.
    pub fn with_json(mut head: Request, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("border types are valid JSON");
        head.insert_header(CONTENT_TYPE, http_types::mime::JSON);
        Self { head, body }
    }

    fn to_request(&self) -> Request {
        let mut request = self.head.clone();
        if !self.body.is_empty() {
            // Setting a body sets its type too, which must stay the caller's.
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

/// Sends requests and keeps connections for later ones.
#[derive(Clone, Debug)]
pub struct HttpClient {
    clock: Clock,
    idle: Arc<Mutex<HashMap<SmolStr, Vec<TcpStream>>>>,
}

impl HttpClient {
    /// Makes a client without connections.
    pub fn new(clock: Clock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] that tells whether bytes may have left.
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
                // A request that does work isn't sent again here: the first try
                // may run, and the caller must know that it may.
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
        let connected = self.clock.timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
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
        let exchange = async_h1::connect(stream.clone(), call.to_request());
        let answered = self.clock.timeout(limit, exchange).await;
        let address = SmolStr::new(address);
        match answered {
            Ok(Ok(response)) => {
                Ok(HttpResponse { response, stream, address, client: self.clone() })
            }
            Ok(Err(error)) => Err(HttpError::ResponseLost { address, detail: error.to_string() }),
            Err(_) => Err(self.note_silence(&address)),
        }
    }

    /// Takes a kept connection that its server hasn't closed meanwhile.
    async fn take_idle(&self, address: &str) -> Option<TcpStream> {
        loop {
            let stream = self.idle.lock().get_mut(address)?.pop()?;
            // An idle connection has nothing to read unless it has ended.
            let peeked = future::poll_once(stream.peek(&mut [0])).await;
            if peeked.is_none() {
                return Some(stream);
            }
        }
    }

    /// Forgets the kept connections of an address: what made one connection
    /// silent may have struck the others, while a new one works.
    fn note_silence(&self, address: &SmolStr) -> HttpError {
        self.idle.lock().remove(address);
        HttpError::TimedOut { address: address.clone() }
    }

    fn keep(&self, address: &SmolStr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        let streams = idle.entry(address.clone()).or_default();
        if streams.len() < KEPT_PER_ADDRESS {
            streams.push(stream);
        }
    }
}

/// Holds the head of an answer and reads its body.
#[derive(Debug)]
pub struct HttpResponse {
    pub response: Response,
    stream: TcpStream,
    address: SmolStr,
    client: HttpClient,
}

impl HttpResponse {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Reads the whole body and keeps the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early or doesn't come in time.
    pub async fn into_bytes(mut self, limit: Duration) -> Result<Vec<u8>, HttpError> {
        let expected = self.response.len();
        let body = self.response.take_body();
        let read = self.client.clock.timeout(limit, body.into_bytes()).await;
        let address = self.address.clone();
        let bytes = match read {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                return Err(HttpError::ResponseLost { address, detail: error.to_string() })
            }
            Err(_) => return Err(self.client.note_silence(&address)),
        };
        if expected.is_some_and(|expected| expected != bytes.len()) {
            let detail = "the body ended early".to_owned();
            return Err(HttpError::ResponseLost { address, detail });
        }
        self.finish();
        Ok(bytes)
    }

    /// Reads the next line of the body into a buffer; 0 bytes mean its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or stays silent for the limit.
    pub async fn read_line(
        &mut self,
        line: &mut String,
        limit: Duration,
    ) -> Result<usize, HttpError> {
        let address = self.address.clone();
        let reading = self.response.read_line(line);
        match self.client.clock.timeout(limit, reading).await {
            Ok(Ok(length)) => Ok(length),
            Ok(Err(error)) => Err(HttpError::ResponseLost { address, detail: error.to_string() }),
            Err(_) => Err(self.client.note_silence(&address)),
        }
    }

    /// Keeps the connection for later requests; the body must have been read.
    pub fn finish(self) {
        let closes = self
            .response
            .header("connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        if !closes {
            self.client.keep(&self.address, self.stream);
        }
    }
}
