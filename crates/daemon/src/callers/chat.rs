//! Chat completions in the OpenAI format, run as text completions.

use gooseberry_core::refusal::RequestRefusal;
use gooseberry_wire::engine::{
    ChatChoice, ChatDelta, ChatMessage, ChatRequest, ChatResponse, CompletionChunk,
    CompletionRequest, CompletionResponse,
};
use tide::Response;

use crate::callers::{
    app::CallerRequest,
    completion::{self, ResponseFormat},
    request,
};

/// Role of generated messages.
const ASSISTANT: &str = "assistant";
/// Priority until admission control sets the configured one.
const CHAT_PRIORITY: u32 = 1;

/// Handles a chat completion request.
///
/// # Errors
///
/// Returns the refusal if the request is invalid or can't be run.
pub async fn complete(mut request: CallerRequest) -> Result<Response, RequestRefusal> {
    let snapshot = request.state().snapshot.load_full();
    let (account, body) = request::read(&mut request, &snapshot).await?;
    let chat: ChatRequest = completion::parse_json(&body)?;
    if chat.messages.is_empty() {
        return Err(request::bad_request("the chat has no messages"));
    }
    let engine_request = CompletionRequest {
        prompt: prompt(&chat.messages),
        model: chat.model,
        max_tokens: chat.max_tokens,
        stream: chat.stream,
        adapter: chat.adapter,
        priority: CHAT_PRIORITY,
        stream_id: None,
        resume_from: 0,
        kv_handle: None,
        export_kv: false,
    };
    completion::run(request, account, engine_request, ResponseFormat::Chat).await
}

/// Formats the messages of a chat as the prompt for the engines.
pub fn prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt.push_str(ASSISTANT);
    prompt.push(':');
    prompt
}

/// Converts the response of a completion that isn't streamed to a chat response.
pub fn to_response(answer: CompletionResponse) -> ChatResponse {
    let choices = answer.choices.into_iter().map(|choice| ChatChoice {
        index: choice.index,
        message: Some(ChatMessage { role: ASSISTANT.to_owned(), content: choice.text }),
        delta: None,
        finish_reason: choice.finish_reason,
    });
    ChatResponse {
        id: answer.id,
        object: "chat.completion".to_owned(),
        model: answer.model,
        choices: choices.collect(),
        usage: Some(answer.usage),
        position: None,
    }
}

/// Converts a chunk of a streamed completion to a chunk of a streamed chat response.
pub fn to_chunk(chunk: CompletionChunk) -> ChatResponse {
    let choices = chunk.choices.into_iter().map(|choice| ChatChoice {
        index: choice.index,
        message: None,
        delta: Some(ChatDelta { content: choice.text }),
        finish_reason: choice.finish_reason,
    });
    ChatResponse {
        id: chunk.id,
        object: "chat.completion.chunk".to_owned(),
        model: chunk.model,
        choices: choices.collect(),
        usage: None,
        position: Some(chunk.position),
    }
}
