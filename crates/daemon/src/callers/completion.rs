//! Completions in the OpenAI format, streamed or as one response.

use std::{io, pin::pin, sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use gooseberry_core::{
    outcomes::RequestOutcome,
    refusal::{RefusalReason, RequestRefusal},
};
use gooseberry_edges::{
    channel::{BodyChunk, ChannelReader},
    clock::Clock,
};
use gooseberry_wire::engine::{
    CompletionChoice, CompletionChunk, CompletionRequest, CompletionResponse, TokenUsage,
};
use serde::Serialize;
use tide::{Body, Response, StatusCode};

use crate::{
    callers::{
        admission,
        app::CallerRequest,
        attempts::{self, CompletionRun},
        chat, refusals, request,
    },
    outcomes::OutcomeGuard,
};

/// Response chunks that are buffered for a caller that reads slowly.
const BODY_CHUNK_LIMIT: usize = 64;

/// Interval of comment lines sent to a caller that waits for a token.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Format in which the caller gets its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    Completion,
    Chat,
}

/// Handles a completion request.
///
/// # Errors
///
/// Returns the refusal if the request is invalid or can't be run.
pub async fn complete(mut request: CallerRequest) -> Result<Response, RequestRefusal> {
    let snapshot = request.state().snapshot.load_full();
    let (account, body) = request::read(&mut request, &snapshot).await?;
    let engine_request: CompletionRequest = parse_json(&body)?;
    let engine_request = CompletionRequest {
        // These fields are set by the daemon only; values from the caller are
        // dropped.
        stream_id: None,
        resume_from: 0,
        kv_handle: None,
        export_kv: false,
        ..engine_request
    };
    run(request, account, engine_request, ResponseFormat::Completion).await
}

/// Parses a JSON body.
///
/// # Errors
///
/// Returns a refusal that describes the error.
pub fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, RequestRefusal> {
    serde_json::from_slice(body)
        .map_err(|error| request::bad_request(&format!("the body isn't valid: {error}")))
}

/// Runs a completion and responds in the given format.
///
/// # Errors
///
/// Returns the refusal if the request can't be run.
pub async fn run(
    request: CallerRequest,
    account: gooseberry_core::arena::AccountKey,
    mut engine_request: CompletionRequest,
    style: ResponseFormat,
) -> Result<Response, RequestRefusal> {
    let snapshot = request.state().snapshot.load_full();
    let Some((service, model)) = snapshot.fleet.completion_service(&engine_request.model) else {
        let reason = RefusalReason::UnknownService(engine_request.model.into());
        return Err(RequestRefusal::not_executed(reason));
    };
    check(&engine_request)?;
    let accepted = request::accept(&request, Arc::clone(&snapshot), account, service)?;
    if let Err(refusal) = accepted.check_dependencies() {
        return Err(accepted.refuse(refusal));
    }
    let context = Arc::clone(&accepted.context);
    let streamed = engine_request.stream;
    engine_request.stream = true;
    engine_request.model = snapshot.fleet.models[model].name.to_string();
    engine_request.stream_id = Some(attempts::stream_name(&context).to_string());
    admission::set_priority(&accepted, &mut engine_request);
    let started = context.clock.now();
    context.demand.count(&engine_request);
    let mut run = CompletionRun::new(&accepted, model, engine_request);
    let tokens = run.prompt_tokens().saturating_add(run.output_tokens());
    if let Err(refusal) =
        accepted.check_limit(tokens).and_then(|()| admission::admit(&accepted, &mut run))
    {
        return Err(accepted.refuse(refusal));
    }
    // The response head is sent with the first token, so that a request that can't
    // be run is refused with an HTTP status.
    let first = match run.next().await {
        Ok(first) => first,
        Err(refusal) => return Err(accepted.refuse(refusal)),
    };
    context.metrics.first_token(context.clock.now().since(started));
    let answer = RunningAnswer { run, first, guard: accepted.guard, style };
    if streamed {
        Ok(answer.stream())
    } else {
        answer.collect().await
    }
}

/// Refuses requests that no engine can serve.
fn check(engine_request: &CompletionRequest) -> Result<(), RequestRefusal> {
    if engine_request.prompt.is_empty() {
        return Err(request::bad_request("the prompt is empty"));
    }
    if engine_request.max_tokens == 0 {
        return Err(request::bad_request("max_tokens is 0, and an answer has at least one token"));
    }
    Ok(())
}

/// Completion whose first token has arrived.
struct RunningAnswer {
    run: CompletionRun,
    first: Option<CompletionChunk>,
    guard: OutcomeGuard,
    style: ResponseFormat,
}

impl RunningAnswer {
    /// Waits for all tokens and returns them in one response.
    async fn collect(mut self) -> Result<Response, RequestRefusal> {
        let mut text = String::new();
        let mut tokens = 0;
        let mut last = None;
        let mut next = self.first.take();
        while let Some(chunk) = next {
            if let Some(choice) = chunk.choices.first() {
                text.push_str(&choice.text);
            }
            tokens += 1;
            last = Some(chunk);
            next = match self.run.next().await {
                Ok(next) => next,
                Err(refusal) => {
                    self.guard.end(request::outcome(&refusal));
                    return Err(refusal);
                }
            };
        }
        let usage = TokenUsage {
            prompt_tokens: self.run.prompt_tokens(),
            completion_tokens: tokens,
            cached_tokens: 0,
        };
        let answer = complete_response(text, usage, last);
        self.guard.end_completion(self.run.prompt_tokens(), tokens);
        let mut response = Response::new(StatusCode::Ok);
        response.set_content_type(tide::http::mime::JSON);
        response.set_body(match self.style {
            ResponseFormat::Completion => json(&answer),
            ResponseFormat::Chat => json(&chat::to_response(answer)),
        });
        Ok(response)
    }

    /// Returns a streaming response that another task writes.
    fn stream(self) -> Response {
        let (chunks, body) = ChannelReader::new(BODY_CHUNK_LIMIT);
        task::spawn(self.send(chunks));
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(body, None));
        response.set_content_type("text/event-stream");
        response
    }

    async fn send(mut self, chunks: async_channel::Sender<BodyChunk>) {
        let clock = self.run.clock();
        let drain_deadline = self.run.drain_deadline();
        let mut next = self.first.take();
        let mut tokens = 0;
        while let Some(chunk) = next {
            tokens += 1;
            // A caller that doesn't read occupies its engine no longer than until
            // its deadline or the daemon's drain timeout.
            let event = self.event(chunk);
            let sending = async { Some(chunks.send(Ok(event)).await) };
            let drain_timed_out = async {
                drain_deadline.wait().await;
                None
            };
            match clock.timeout(self.run.time_left(), sending.or(drain_timed_out)).await {
                Ok(Some(Ok(()))) => {}
                Ok(Some(Err(_))) => return self.log_disconnect(),
                Ok(None) => {
                    let refusal = self.run.drain_timed_out();
                    return self.abort_stream(&refusal, &chunks).await;
                }
                Err(_) => {
                    let refusal = self.run.deadline_passed();
                    return self.abort_stream(&refusal, &chunks).await;
                }
            }
            next = match next_while_connected(&mut self.run, &clock, &chunks).await {
                Some(Ok(next)) => next,
                Some(Err(refusal)) => return self.abort_stream(&refusal, &chunks).await,
                None => return self.log_disconnect(),
            };
        }
        if chunks.send(Ok(b"data: [DONE]\n\n".to_vec())).await.is_ok() {
            self.guard.end_completion(self.run.prompt_tokens(), tokens);
        }
    }

    /// Logs that the caller disconnected. Dropping the run cancels the stream at
    /// its engine, and dropping the outcome guard counts the request as failed.
    fn log_disconnect(self) {
        tracing::info!("caller disconnected");
    }

    /// Ends an incomplete stream with an explicit error event.
    async fn abort_stream(
        self,
        refusal: &RequestRefusal,
        chunks: &async_channel::Sender<BodyChunk>,
    ) {
        self.guard.end(RequestOutcome::Failed);
        // Frees the engine before the error is sent to a caller that may read
        // slowly.
        drop(self.run);
        let document = refusals::document(refusal);
        let body = serde_json::to_string(&document).expect("wire types serialize to JSON");
        let event = format!("event: error\ndata: {body}\n\n");
        let _ = chunks.send(Ok(event.into_bytes())).await;
        let _ = chunks.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
    }

    fn event(&self, chunk: CompletionChunk) -> Vec<u8> {
        let mut event = b"data: ".to_vec();
        match self.style {
            ResponseFormat::Completion => write_json(&mut event, &chunk),
            ResponseFormat::Chat => write_json(&mut event, &chat::to_chunk(chunk)),
        }
        event.extend_from_slice(b"\n\n");
        event
    }
}

/// Waits for the next token while the caller is connected. Returns `None` once it
/// has disconnected.
///
/// A disconnect is detected only by a failed write, so comment lines are sent while
/// there is no token.
async fn next_while_connected(
    run: &mut CompletionRun,
    clock: &Clock,
    chunks: &async_channel::Sender<BodyChunk>,
) -> Option<Result<Option<CompletionChunk>, RequestRefusal>> {
    let mut waiting = pin!(run.next());
    loop {
        let next = async { Some(waiting.as_mut().await) };
        let disconnected = async {
            chunks.closed().await;
            None
        };
        match clock.timeout(HEARTBEAT_INTERVAL, next.or(disconnected)).await {
            Ok(result) => return result,
            // If the channel is full, there is enough to write.
            Err(_) => drop(chunks.try_send(Ok(b": heartbeat\n\n".to_vec()))),
        }
    }
}

fn complete_response(
    text: String,
    usage: TokenUsage,
    last: Option<CompletionChunk>,
) -> CompletionResponse {
    let (id, model, finish_reason) = match last {
        Some(chunk) => {
            let reason = chunk.choices.into_iter().next().and_then(|choice| choice.finish_reason);
            (chunk.id, chunk.model, reason)
        }
        None => (String::new(), String::new(), Some("length".to_owned())),
    };
    CompletionResponse {
        id,
        object: "text_completion".to_owned(),
        model,
        choices: vec![CompletionChoice { index: 0, text, finish_reason }],
        usage,
    }
}

fn json(value: &impl Serialize) -> Body {
    let mut bytes = Vec::new();
    write_json(&mut bytes, value);
    Body::from_bytes(bytes)
}

fn write_json(bytes: &mut Vec<u8>, value: &impl Serialize) {
    serde_json::to_writer(bytes, value).expect("wire types serialize to JSON");
}
