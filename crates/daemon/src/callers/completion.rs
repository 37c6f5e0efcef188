//! Completions in the OpenAI style, whole or streamed.

use std::{io, sync::Arc};

use async_std::task;
use gooseberry_core::{
    balance::RequestOutcome,
    refusal::{RefusalReason, RequestRefusal},
};
use gooseberry_edges::channel::{BodyPart, ChannelReader};
use gooseberry_wire::engine::{
    CompletionAnswer, CompletionChoice, CompletionChunk, CompletionRequest, TokenUsage,
};
use serde::Serialize;
use tide::{Body, Response, StatusCode};

use crate::{
    balance::RequestTicket,
    callers::{
        admission,
        app::CallerRequest,
        attempts::{self, CompletionRun},
        chat, refusals, request,
    },
};

/// Parts of a body that wait for a slow caller.
const BODY_PARTS: usize = 64;

/// Says in which style a caller reads its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStyle {
    Completion,
    Chat,
}

/// Answers a completion request.
///
/// # Errors
///
/// Returns the refusal if the request isn't valid or can't be run.
pub async fn complete(mut request: CallerRequest) -> Result<Response, RequestRefusal> {
    let snapshot = request.state().snapshot.load_full();
    let (account, body) = request::read(&mut request, &snapshot).await?;
    let wanted: CompletionRequest = parse(&body)?;
    let wanted = CompletionRequest {
        // These fields are ours towards the engines, never the caller's.
        stream_id: None,
        resume_from: 0,
        kv_handle: None,
        export_kv: false,
        ..wanted
    };
    run(request, account, wanted, AnswerStyle::Completion).await
}

/// Reads a JSON body.
///
/// # Errors
///
/// Returns a refusal that says what is wrong.
pub fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, RequestRefusal> {
    serde_json::from_slice(body)
        .map_err(|error| request::bad_request(&format!("the body isn't valid: {error}")))
}

/// Runs a completion and answers in the caller's style.
///
/// # Errors
///
/// Returns the refusal if the request can't be run.
pub async fn run(
    request: CallerRequest,
    account: gooseberry_core::arena::AccountKey,
    mut wanted: CompletionRequest,
    style: AnswerStyle,
) -> Result<Response, RequestRefusal> {
    let snapshot = request.state().snapshot.load_full();
    let Some((service, model)) = snapshot.fleet.completion_service(&wanted.model) else {
        let reason = RefusalReason::UnknownService(wanted.model.into());
        return Err(RequestRefusal::not_executed(reason));
    };
    let accepted = request::accept(&request, Arc::clone(&snapshot), account, service)?;
    if let Err(refusal) = accepted.check_dependencies() {
        return Err(accepted.refuse(refusal));
    }
    let context = Arc::clone(&accepted.context);
    let streamed = wanted.stream;
    wanted.stream = true;
    wanted.model = snapshot.fleet.models[model].name.to_string();
    wanted.stream_id = Some(attempts::stream_name(&context).to_string());
    admission::set_priority(&accepted, &mut wanted);
    let started = context.clock.now();
    context.demand.count(&wanted);
    let mut run =
        CompletionRun::new(Arc::clone(&context), snapshot, model, accepted.deadline, wanted);
    let tokens = run.prompt_tokens().saturating_add(run.output_tokens());
    if let Err(refusal) =
        accepted.check_limit(tokens).and_then(|()| admission::admit(&accepted, &mut run))
    {
        return Err(accepted.refuse(refusal));
    }
    // The head of the answer goes out with the first token, so that a request
    // that can't be run gets its refusal as a status.
    let first = match run.next().await {
        Ok(first) => first,
        Err(refusal) => return Err(accepted.refuse(refusal)),
    };
    context.metrics.first_token(context.clock.now().since(started));
    let answer = RunningAnswer { run, first, ticket: accepted.ticket, style };
    if streamed {
        Ok(answer.stream())
    } else {
        answer.collect().await
    }
}

/// Holds a completion whose first token has come.
struct RunningAnswer {
    run: CompletionRun,
    first: Option<CompletionChunk>,
    ticket: RequestTicket,
    style: AnswerStyle,
}

impl RunningAnswer {
    /// Waits for all tokens and answers at once.
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
                    self.ticket.end(request::outcome(&refusal));
                    return Err(refusal);
                }
            };
        }
        let usage = TokenUsage {
            prompt_tokens: self.run.prompt_tokens(),
            completion_tokens: tokens,
            cached_tokens: 0,
        };
        let answer = whole_answer(text, usage, last);
        self.ticket.end_whole(self.run.prompt_tokens(), tokens);
        let mut response = Response::new(StatusCode::Ok);
        response.set_content_type(tide::http::mime::JSON);
        response.set_body(match self.style {
            AnswerStyle::Completion => json(&answer),
            AnswerStyle::Chat => json(&chat::whole(answer)),
        });
        Ok(response)
    }

    /// Answers with a stream that another task writes.
    fn stream(self) -> Response {
        let (parts, body) = ChannelReader::new(BODY_PARTS);
        task::spawn(self.send(parts));
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(body, None));
        response.set_content_type("text/event-stream");
        response
    }

    async fn send(mut self, parts: async_channel::Sender<BodyPart>) {
        let mut next = self.first.take();
        let mut tokens = 0;
        while let Some(chunk) = next {
            tokens += 1;
            if parts.send(Ok(self.event(chunk))).await.is_err() {
                // The caller left; the dropped ticket counts it as failed.
                return;
            }
            next = match self.run.next().await {
                Ok(next) => next,
                Err(refusal) => return self.break_off(&refusal, &parts).await,
            };
        }
        if parts.send(Ok(b"data: [DONE]\n\n".to_vec())).await.is_ok() {
            self.ticket.end_whole(self.run.prompt_tokens(), tokens);
        }
    }

    /// Ends a stream that can't be whole with an explicit error.
    async fn break_off(self, refusal: &RequestRefusal, parts: &async_channel::Sender<BodyPart>) {
        let document = refusals::document(refusal);
        let body = serde_json::to_string(&document).expect("border types are valid JSON");
        let event = format!("event: error\ndata: {body}\n\n");
        let _ = parts.send(Ok(event.into_bytes())).await;
        let _ = parts.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
        self.ticket.end(RequestOutcome::Failed);
    }

    fn event(&self, chunk: CompletionChunk) -> Vec<u8> {
        let mut event = b"data: ".to_vec();
        match self.style {
            AnswerStyle::Completion => write_json(&mut event, &chunk),
            AnswerStyle::Chat => write_json(&mut event, &chat::part(chunk)),
        }
        event.extend_from_slice(b"\n\n");
        event
    }
}

fn whole_answer(
    text: String,
    usage: TokenUsage,
    last: Option<CompletionChunk>,
) -> CompletionAnswer {
    let (id, model, finish_reason) = match last {
        Some(chunk) => {
            let reason = chunk.choices.into_iter().next().and_then(|choice| choice.finish_reason);
            (chunk.id, chunk.model, reason)
        }
        None => (String::new(), String::new(), Some("length".to_owned())),
    };
    CompletionAnswer {
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
    serde_json::to_writer(bytes, value).expect("border types are valid JSON");
}
