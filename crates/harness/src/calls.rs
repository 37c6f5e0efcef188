//! HTTP calls that a test sends, and their responses.

use std::time::Duration;

use async_std::task;
use gooseberry_edges::{
    clock::Clock,
    http::{ConnectionUse, HttpCall, HttpClient, HttpResponse},
};
use gooseberry_wire::{engine::CompletionChunk, problem::ProblemDocument};
use http_types::{Method, Request, Url};
use serde::{de::DeserializeOwned, Serialize};

/// Longest wait for a response, so that a test that hangs ends.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Holds a complete response.
#[derive(Clone, Debug)]
pub struct TestResponse {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
}

impl TestResponse {
    /// Reads the body as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the body isn't JSON of the type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&self.body)))
    }
}

/// Builds and sends an HTTP call.
#[derive(Clone, Debug)]
pub struct TestCall {
    address: String,
    call: HttpCall,
}

impl TestCall {
    /// Makes a call without headers or body.
    pub fn new(method: Method, address: &str, path: &str) -> Self {
        let url = Url::parse(&format!("http://{address}{path}")).expect("a valid URL");
        let call = HttpCall::new(Request::new(method, url));
        Self { address: address.to_owned(), call }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.call.head.insert_header(name, value);
        self
    }

    /// Adds the key of an account as a bearer token.
    pub fn account_key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.call.body = body.into();
        self
    }

    /// Sets a JSON body and its content type.
    pub fn json(self, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("a value that can be serialized as JSON");
        self.header("content-type", "application/json").body(body)
    }

    /// Sends the call on a new connection and reads the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response was received.
    pub fn send(&self) -> anyhow::Result<TestResponse> {
        task::block_on(self.send_async())
    }

    /// Sends the call as [`Self::send`] does, for tests that run several calls at
    /// once.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response was received.
    pub async fn send_async(&self) -> anyhow::Result<TestResponse> {
        let client = HttpClient::new(Clock::system());
        let answer =
            client.send(&self.address, &self.call, ConnectionUse::New, RESPONSE_TIMEOUT).await?;
        let status = answer.status().into();
        let retry_after = answer.response.header("retry-after");
        let retry_after = retry_after.map(|values| values.last().to_string());
        let body = answer.into_bytes(RESPONSE_TIMEOUT).await?;
        Ok(TestResponse { status, retry_after, body })
    }

    /// Sends the call and returns its response as a stream of events.
    ///
    /// # Panics
    ///
    /// Panics if no response head is received.
    pub fn open_stream(&self) -> TestStream {
        let client = HttpClient::new(Clock::system());
        let sent = client.send(&self.address, &self.call, ConnectionUse::New, RESPONSE_TIMEOUT);
        TestStream { answer: task::block_on(sent).expect("a response head") }
    }
}

/// Reads a streamed response; dropping it closes the connection.
#[derive(Debug)]
pub struct TestStream {
    answer: HttpResponse,
}

impl TestStream {
    /// Waits for the next token; returns `None` at the `[DONE]` event.
    ///
    /// # Panics
    ///
    /// Panics if the stream ends before its `[DONE]` event or an event isn't a
    /// token.
    pub fn next_token(&mut self) -> Option<CompletionChunk> {
        loop {
            let mut line = String::new();
            let read = task::block_on(self.answer.read_line(&mut line, RESPONSE_TIMEOUT));
            assert_ne!(
                read.expect("a line of the stream"),
                0,
                "the stream ended before its [DONE] event"
            );
            match line.trim_end().strip_prefix("data: ") {
                Some("[DONE]") => return None,
                Some(event) => return Some(serde_json::from_str(event).expect("a token")),
                None => {}
            }
        }
    }

    /// Reads tokens until the error event that ends the stream, and returns its
    /// problem document.
    ///
    /// # Panics
    ///
    /// Panics if the stream ends without an error event.
    pub fn read_error_event(&mut self) -> ProblemDocument {
        let mut is_error = false;
        loop {
            let mut line = String::new();
            let read = task::block_on(self.answer.read_line(&mut line, RESPONSE_TIMEOUT));
            assert_ne!(
                read.expect("a line of the stream"),
                0,
                "the stream ended without an error event"
            );
            match line.trim_end().strip_prefix("data: ") {
                Some(event) if is_error => {
                    return serde_json::from_str(event).expect("a problem document");
                }
                Some(event) => assert_ne!(event, "[DONE]", "no error event"),
                None => is_error |= line.trim_end() == "event: error",
            }
        }
    }

    /// Reads the remaining tokens and returns their text.
    pub fn read_to_end(&mut self) -> String {
        let mut text = String::new();
        while let Some(chunk) = self.next_token() {
            text.push_str(&chunk.choices[0].text);
        }
        text
    }
}
