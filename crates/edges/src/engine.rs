//! Model engines: completions, load reports, orders and cache events.

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

/// Longest time for a short answer of an engine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Field name of the events that a stream carries.
const EVENT_FIELD: &str = "data: ";
/// Event that ends a whole stream.
const END_MARK: &str = "[DONE]";

/// Statuses with which an engine says that it hasn't run a request: the
/// request can't be taken as it is, or not now.
const NOT_RUN_STATUSES: [u16; 8] = [400, 404, 409, 413, 422, 429, 501, 503];

/// Says why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The call has provably not arrived.
    #[error("the engine can't be reached: {0}")]
    Unreachable(#[source] HttpError),
    /// The connection broke or stayed silent after bytes had left.
    #[error("the engine's answer was lost: {0}")]
    ResponseLost(#[source] HttpError),
    /// The engine refused the call before it ran.
    #[error("the engine refused the call with status {0}")]
    Refused(u16),
    /// The answer can't be read.
    #[error("the engine's answer can't be read: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The stream ended without its end mark.
    #[error("the engine's stream ended early")]
    Truncated,
}

impl EngineError {
    /// Tells whether the engine may have run the request.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Unreachable(_) => false,
            Self::Refused(status) => !NOT_RUN_STATUSES.contains(status),
            Self::ResponseLost(_) | Self::Malformed(_) | Self::Truncated => true,
        }
    }

    /// Tells whether the connection has gone silent, though the engine may live.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::ResponseLost(HttpError::TimedOut { .. }))
    }

    /// Tells whether nothing listens at the engine's address. A listener that
    /// ends at that moment may reset a connection instead of refusing it.
    pub fn is_refused_connection(&self) -> bool {
        matches!(self, Self::Unreachable(HttpError::Connect { source, .. })
        if matches!(
            source.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
        ))
    }

    /// Tells whether the connection ended, as it does when an engine crashes.
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

/// Reads the tokens of a streamed completion.
pub trait TokenStream: Send + Sync {
    /// Waits for the next token; nothing after the stream's end mark.
    fn next(&mut self) -> ApiFuture<'_, Result<Option<CompletionChunk>, EngineError>>;
}

/// Reaches model engines.
pub trait EngineApi: Send + Sync {
    /// Starts or resumes a streamed completion.
    ///
    /// The stream fails if nothing, not even a heartbeat, comes for `silence`.
    fn complete<'a>(
        &'a self,
        address: &'a str,
        request: &'a CompletionRequest,
        silence: Duration,
    ) -> ApiFuture<'a, Result<Box<dyn TokenStream>, EngineError>>;

    /// Cancels a stream.
    fn cancel<'a>(
        &'a self,
        address: &'a str,
        stream_id: &'a str,
    ) -> ApiFuture<'a, Result<(), EngineError>>;

    /// Reads the load report.
    fn load<'a>(&'a self, address: &'a str) -> ApiFuture<'a, Result<LoadReport, EngineError>>;

    /// Gives an order.
    fn order<'a>(
        &'a self,
        address: &'a str,
        order: &'a EngineOrder,
    ) -> ApiFuture<'a, Result<OrderResponse, EngineError>>;

    /// Reads the cache events after a sequence number.
    fn cache_events<'a>(
        &'a self,
        address: &'a str,
        after: u64,
    ) -> ApiFuture<'a, Result<CacheEvents, EngineError>>;

    /// Tells an engine to fetch exported KV cache from another.
    fn import_kv<'a>(
        &'a self,
        address: &'a str,
        import: &'a KvImport,
    ) -> ApiFuture<'a, Result<(), EngineError>>;
}

/// Reaches engines by HTTP in the OpenAI style.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Makes a client.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    async fn call(
        &self,
        address: &str,
        call: impl Into<HttpCall> + Send,
        connection: ConnectionUse,
    ) -> Result<Vec<u8>, EngineError> {
        let answer = self.http.send(address, &call.into(), connection, ANSWER_TIMEOUT).await?;
        let status = answer.status();
        let bytes = answer.into_bytes(ANSWER_TIMEOUT).await?;
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
        wanted: &'a CompletionRequest,
        silence: Duration,
    ) -> ApiFuture<'a, Result<Box<dyn TokenStream>, EngineError>> {
        Box::pin(async move {
            let request = post(address, "/v1/completions", wanted);
            // A kept connection may have died unnoticed; that is a failed
            // attempt like any other.
            let answer = self.http.send(address, &request, ConnectionUse::Pooled, silence).await?;
            if answer.status() != StatusCode::Ok {
                return Err(EngineError::Refused(answer.status().into()));
            }
            let stream = EventStream { answer: Some(answer), line: String::new(), silence };
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

/// Reads tokens from the events of an HTTP answer.
struct EventStream {
    /// Answer whose body is read; none after the end mark.
    answer: Option<HttpResponse>,
    line: String,
    silence: Duration,
}

impl EventStream {
    async fn read_event(&mut self) -> Result<Option<CompletionChunk>, EngineError> {
        loop {
            let Some(answer) = &mut self.answer else {
                return Ok(None);
            };
            self.line.clear();
            if answer.read_line(&mut self.line, self.silence).await? == 0 {
                return Err(EngineError::Truncated);
            }
            // Comment lines are heartbeats and blank lines end events.
            let Some(event) = self.line.trim_end().strip_prefix(EVENT_FIELD) else {
                continue;
            };
            if event == END_MARK {
                self.finish().await;
                return Ok(None);
            }
            return serde_json::from_str(event).map(Some).map_err(EngineError::Malformed);
        }
    }

    /// Reads the rest after the end mark, so that the connection can be kept.
    async fn finish(&mut self) {
        let Some(mut answer) = self.answer.take() else {
            return;
        };
        loop {
            self.line.clear();
            match answer.read_line(&mut self.line, self.silence).await {
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
