//! Calls to model engines: completions, load reports, orders and cache events.

use std::{io, time::Duration};

use gooseberry_wire::engine::{
    CacheEvents, CompletionChunk, CompletionRequest, EngineOrder, KvImport, LoadReport,
    OrderResponse,
};
use http_types::{Method, Request, StatusCode, Url};
use serde::{de::DeserializeOwned, Serialize};

use crate::{
    http::{ConnectionUse, HttpCall, HttpClient, HttpError, HttpResponse},
    ApiFuture,
};

/// Timeout for responses that aren't streamed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most lines that are read after the last event of a stream, so that the connection can be reused.
const TRAILING_LINE_LIMIT: usize = 16;
/// Prefix of the lines that carry the data of a server-sent event.
const EVENT_DATA_PREFIX: &str = "data: ";
/// Data of the event that ends a complete stream.
const END_EVENT: &str = "[DONE]";

/// Statuses with which an engine states that it hasn't executed a request: the
/// request is invalid, or can't be accepted at present.
const NOT_RUN_STATUSES: [u16; 8] = [400, 404, 409, 413, 422, 429, 501, 503];

/// The reason why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The request has provably not been sent.
    #[error("the engine can't be reached: {0}")]
    Unreachable(#[source] HttpError),
    /// The connection closed or timed out after the request may have been sent.
    #[error("no complete response from the engine: {0}")]
    ResponseLost(#[source] HttpError),
    /// The engine responded with an error status.
    #[error("the engine refused the call with status {0}")]
    Refused(u16),
    /// The response isn't valid JSON of its schema.
    #[error("the engine's response can't be parsed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The stream ended without the event `[DONE]`.
    #[error("the engine's stream ended without [DONE]")]
    Truncated,
}

impl EngineError {
    /// Returns whether the engine may have executed the request.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Unreachable(_) => false,
            Self::Refused(status) => !NOT_RUN_STATUSES.contains(status),
            Self::ResponseLost(_) | Self::Malformed(_) | Self::Truncated => true,
        }
    }

    /// Returns whether the response timed out; the engine may still be running.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::ResponseLost(HttpError::TimedOut { .. }))
    }

    /// Returns whether nothing listens at the engine's address. A listener that
    /// closes during the connect may reset the connection instead of refusing it.
    pub fn is_refused_connection(&self) -> bool {
        matches!(self, Self::Unreachable(HttpError::Connect { source, .. })
        if matches!(
            source.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
        ))
    }

    /// Returns whether the connection closed early, as it does when an engine
    /// crashes.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::ResponseLost(HttpError::ResponseLost { .. }) | Self::Truncated)
    }
}

impl From<HttpError> for EngineError {
    fn from(error: HttpError) -> Self {
        if error.is_unsent() {
            Self::Unreachable(error)
        } else {
            Self::ResponseLost(error)
        }
    }
}

/// The tokens of a streamed completion.
pub trait TokenStream: Send + Sync {
    /// Waits for the next token; returns `None` after the event `[DONE]`.
    fn next(&mut self) -> ApiFuture<'_, Result<Option<CompletionChunk>, EngineError>>;
}

/// Calls to model engines.
pub trait EngineApi: Send + Sync {
    /// Starts or resumes a streamed completion.
    ///
    /// The stream fails if it receives nothing, not even a heartbeat, for
    /// `idle_timeout`.
    fn complete<'a>(
        &'a self,
        address: &'a str,
        request: &'a CompletionRequest,
        idle_timeout: Duration,
    ) -> ApiFuture<'a, Result<Box<dyn TokenStream>, EngineError>>;

    /// Cancels a stream.
    fn cancel<'a>(
        &'a self,
        address: &'a str,
        stream_id: &'a str,
    ) -> ApiFuture<'a, Result<(), EngineError>>;

    /// Reads the load report.
    fn load<'a>(&'a self, address: &'a str) -> ApiFuture<'a, Result<LoadReport, EngineError>>;

    /// Sends an order.
    fn order<'a>(
        &'a self,
        address: &'a str,
        order: &'a EngineOrder,
    ) -> ApiFuture<'a, Result<OrderResponse, EngineError>>;

    /// Reads the KV cache events after a sequence number.
    fn cache_events<'a>(
        &'a self,
        address: &'a str,
        after: u64,
    ) -> ApiFuture<'a, Result<CacheEvents, EngineError>>;

    /// Instructs an engine to fetch an exported KV cache from another engine.
    fn import_kv<'a>(
        &'a self,
        address: &'a str,
        import: &'a KvImport,
    ) -> ApiFuture<'a, Result<(), EngineError>>;
}

/// Calls engines by HTTP with the OpenAI completions API.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    async fn call(
        &self,
        address: &str,
        call: impl Into<HttpCall> + Send,
        connection: ConnectionUse,
    ) -> Result<Vec<u8>, EngineError> {
        let answer = self.http.send(address, &call.into(), connection, RESPONSE_TIMEOUT).await?;
        let status = answer.status();
        let bytes = answer.into_bytes(RESPONSE_TIMEOUT).await?;
        if status != StatusCode::Ok {
            return Err(EngineError::Refused(status.into()));
        }
        Ok(bytes)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        address: &str,
        request: impl Into<HttpCall> + Send,
        connection: ConnectionUse,
    ) -> Result<T, EngineError> {
        let bytes = self.call(address, request, connection).await?;
        serde_json::from_slice(&bytes).map_err(EngineError::Malformed)
    }
}

fn request(method: Method, address: &str, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}"))
        .expect("the configuration admits only addresses");
    Request::new(method, url)
}

fn post(address: &str, path: &str, value: &impl Serialize) -> HttpCall {
    HttpCall::with_json(request(Method::Post, address, path), value)
}

impl EngineApi for EngineClient {
    fn complete<'a>(
        &'a self,
        address: &'a str,
        completion: &'a CompletionRequest,
        idle_timeout: Duration,
    ) -> ApiFuture<'a, Result<Box<dyn TokenStream>, EngineError>> {
        Box::pin(async move {
            let request = post(address, "/v1/completions", completion);
            // A pooled connection may have closed unnoticed. The attempt then
            // fails and is handled like any other failed attempt.
            let answer =
                self.http.send(address, &request, ConnectionUse::Pooled, idle_timeout).await?;
            if answer.status() != StatusCode::Ok {
                return Err(EngineError::Refused(answer.status().into()));
            }
            let stream = EventStream { answer: Some(answer), line: String::new(), idle_timeout };
            Ok(Box::new(stream) as Box<dyn TokenStream>)
        })
    }

    fn cancel<'a>(
        &'a self,
        address: &'a str,
        stream_id: &'a str,
    ) -> ApiFuture<'a, Result<(), EngineError>> {
        Box::pin(async move {
            let path = format!("/v1/streams/{stream_id}/cancel");
            let request = request(Method::Post, address, &path);
            self.call(address, request, ConnectionUse::Pooled).await.map(|_| ())
        })
    }

    fn load<'a>(&'a self, address: &'a str) -> ApiFuture<'a, Result<LoadReport, EngineError>> {
        let request = request(Method::Get, address, "/load");
        Box::pin(self.read(address, request, ConnectionUse::Pooled))
    }

    fn order<'a>(
        &'a self,
        address: &'a str,
        order: &'a EngineOrder,
    ) -> ApiFuture<'a, Result<OrderResponse, EngineError>> {
        let request = post(address, "/orders", order);
        Box::pin(self.read(address, request, ConnectionUse::New))
    }

    fn cache_events<'a>(
        &'a self,
        address: &'a str,
        after: u64,
    ) -> ApiFuture<'a, Result<CacheEvents, EngineError>> {
        let request = request(Method::Get, address, &format!("/events?after={after}"));
        Box::pin(self.read(address, request, ConnectionUse::Pooled))
    }

    fn import_kv<'a>(
        &'a self,
        address: &'a str,
        import: &'a KvImport,
    ) -> ApiFuture<'a, Result<(), EngineError>> {
        Box::pin(async move {
            let request = post(address, "/kv/import", import);
            self.call(address, request, ConnectionUse::New).await.map(|_| ())
        })
    }
}

/// Reads tokens from the server-sent events of an HTTP response.
struct EventStream {
    /// Response whose body is read; `None` after the event `[DONE]`.
    answer: Option<HttpResponse>,
    line: String,
    idle_timeout: Duration,
}

impl EventStream {
    async fn read_event(&mut self) -> Result<Option<CompletionChunk>, EngineError> {
        loop {
            let Some(answer) = &mut self.answer else {
                return Ok(None);
            };
            self.line.clear();
            if answer.read_line(&mut self.line, self.idle_timeout).await? == 0 {
                return Err(EngineError::Truncated);
            }
            // Comment lines are heartbeats, and blank lines end events.
            let Some(event) = self.line.trim_end().strip_prefix(EVENT_DATA_PREFIX) else {
                continue;
            };
            if event == END_EVENT {
                self.finish().await;
                return Ok(None);
            }
            return serde_json::from_str(event).map(Some).map_err(EngineError::Malformed);
        }
    }

    /// Reads the body to its end, so that the connection can be reused.
    async fn finish(&mut self) {
        let Some(mut answer) = self.answer.take() else {
            return;
        };
        for _ in 0..TRAILING_LINE_LIMIT {
            self.line.clear();
            match answer.read_line(&mut self.line, self.idle_timeout).await {
                Ok(0) => return answer.finish(),
                Ok(_) => {}
                Err(_) => return,
            }
        }
    }
}

impl TokenStream for EventStream {
    fn next(&mut self) -> ApiFuture<'_, Result<Option<CompletionChunk>, EngineError>> {
        Box::pin(self.read_event())
    }
}
