//! HTTP calls of a test.

use std::time::Duration;

use async_std::task;
use gooseberry_edges::{
    clock::Clock,
    http::{ConnectionUse, HttpCall, HttpClient, HttpResponse},
};
use gooseberry_wire::{engine::CompletionChunk, problem::ProblemDocument};
use http_types::{Method, Request, Url};
use serde::{de::DeserializeOwned, Serialize};

/// Longest wait for an answer, so that a test that hangs ends.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Holds an answer.
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
    /// Panics if the body isn't valid.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&self.body)))
    }
}

/// A call that is built step by step.
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

    /// Adds the key of an account.
    pub fn account_key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.call.body = body.into();
        self
    }

    /// Sets a JSON body.
    pub fn json(self, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("a value that can be written as JSON");
        self.header("content-type", "application/json").body(body)
    }

    /// Sends the call on a new connection and reads the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer came.
    pub fn send(&self) -> anyhow::Result<TestResponse> {
        task::block_on(self.send_async())
    }

    /// Sends the call as [`Self::send`] does, for tests that run several.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer came.
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

    /// Sends the call and leaves its answer to be read event by event.
    ///
    /// # Panics
    ///
    /// Panics if no head of an answer comes.
    pub fn open_stream(&self) -> TestStream {
        let client = HttpClient::new(Clock::system());
        let sent = client.send(&self.address, &self.call, ConnectionUse::New, RESPONSE_TIMEOUT);
        TestStream { answer: task::block_on(sent).expect("the head of an answer") }
    }
}

/// Reads a streamed answer; dropping it closes the connection.
#[derive(Debug)]
pub struct TestStream {
    answer: HttpResponse,
}

impl TestStream {
    /// Waits for the next token; nothing after the end mark.
    ///
    /// # Panics
    ///
    /// Panics if the stream ends early or carries something else.
    pub fn next_token(&mut self) -> Option<CompletionChunk> {
        loop {
            let mut line = String::new();
            let read = task::block_on(self.answer.read_line(&mut line, RESPONSE_TIMEOUT));
            assert_ne!(read.expect("a line of the stream"), 0, "the stream ended early");
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
            assert_ne!(read.expect("a line of the stream"), 0, "the stream ended without an error");
            match line.trim_end().strip_prefix("data: ") {
                Some(event) if is_error => {
                    return serde_json::from_str(event).expect("a problem document");
                }
                Some(event) => assert_ne!(event, "[DONE]", "the stream was whole"),
                None => is_error |= line.trim_end() == "event: error",
            }
        }
    }

    /// Reads the rest of the answer as one text.
    pub fn read_to_end(&mut self) -> String {
        let mut text = String::new();
        while let Some(chunk) = self.next_token() {
            text.push_str(&chunk.choices[0].text);
        }
        text
    }
}
