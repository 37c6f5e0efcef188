//! Sends one request of a trace and checks its response.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gooseberry_edges::http::{ConnectionUse, HttpCall, HttpClient, HttpError, HttpResponse};
use gooseberry_standins::token;
use gooseberry_wire::{
    engine::{CompletionChunk, CompletionRequest},
    problem::ProblemDocument,
    trace::TraceEntry,
};
use http_types::{Method, Request, StatusCode, Url};

use crate::{
    outcome::{CallerOutcome, CallerResult},
    prompt,
};

/// Time after the deadline for which the caller still waits for a response.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Deadline of a trace entry without one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Sends one request and checks its response.
pub struct CallerRequest<'a> {
    pub client: &'a HttpClient,
    pub daemon: &'a str,
    pub key: &'a str,
    pub entry: &'a TraceEntry,
    pub index: usize,
}

impl CallerRequest<'_> {
    /// Sends the request and returns its result.
    pub async fn run(&self) -> CallerResult {
        let started = Instant::now();
        let mut result = match self.exchange(started).await {
            Ok(result) => result,
            Err(error) => CallerResult::without_tokens(CallerOutcome::Failed, error_name(&error)),
        };
        result.total = started.elapsed();
        result.in_time = result.outcome == CallerOutcome::Whole && result.total <= self.deadline();
        result
    }

    fn deadline(&self) -> Duration {
        self.entry.deadline_ms.map_or(DEFAULT_DEADLINE, Duration::from_millis)
    }

    async fn exchange(&self, started: Instant) -> Result<CallerResult, HttpError> {
        let prompt = prompt::build(self.entry, self.index);
        let call = self.call(&prompt);
        let limit = self.deadline() + DEADLINE_GRACE;
        let response = self.client.send(self.daemon, &call, ConnectionUse::New, limit).await?;
        if is_problem(&response) {
            let bytes = response.into_bytes(limit).await?;
            return Ok(match serde_json::from_slice::<ProblemDocument>(&bytes) {
                Ok(document) => CallerResult::from_problem(&document),
                Err(_) => CallerResult::without_tokens(CallerOutcome::Wrong, "not-a-problem"),
            });
        }
        if self.entry.path.is_some() {
            return self.read_plain(response, limit).await;
        }
        if response.status() != StatusCode::Ok {
            return Ok(CallerResult::without_tokens(CallerOutcome::Wrong, "bare-status"));
        }
        let mut checker = StreamChecker::new(&prompt, self.entry.output_tokens, started);
        checker.read(response, limit).await?;
        Ok(checker.into_result())
    }

    fn call(&self, prompt: &str) -> HttpCall {
        let path = self.entry.path.as_deref().unwrap_or("/v1/completions");
        let url = Url::parse(&format!("http://{}{path}", self.daemon))
            .expect("the daemon address and the path form a valid URL");
        let method = self.entry.method.as_deref().and_then(|name| name.parse().ok());
        let mut head = Request::new(method.unwrap_or(Method::Post), url);
        head.insert_header("authorization", format!("Bearer {}", self.key));
        head.insert_header("request-deadline", self.absolute_deadline().to_string());
        if let Some(key) = &self.entry.key {
            head.insert_header("idempotency-key", key.as_str());
        }
        if self.entry.path.is_some() {
            let body = self.entry.body.clone().unwrap_or_default().into_bytes();
            return HttpCall { head, body };
        }
        let completion = CompletionRequest {
            model: self.entry.service.clone(),
            prompt: prompt.to_owned(),
            max_tokens: self.entry.output_tokens,
            stream: true,
            stream_id: None,
            resume_from: 0,
            priority: 1,
            kv_handle: None,
            adapter: None,
            export_kv: false,
        };
        HttpCall::with_json(head, &completion)
    }

    fn absolute_deadline(&self) -> u128 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (now + self.deadline()).as_millis()
    }

    async fn read_plain(
        &self,
        response: HttpResponse,
        limit: Duration,
    ) -> Result<CallerResult, HttpError> {
        let bytes = response.into_bytes(limit).await?;
        let echo: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let own_key = echo["key"].as_str() == self.entry.key.as_deref();
        let own_body = echo["body"].as_str() == Some(self.entry.body.as_deref().unwrap_or(""));
        if own_key && own_body {
            return Ok(CallerResult::without_tokens(CallerOutcome::Whole, ""));
        }
        Ok(CallerResult::without_tokens(CallerOutcome::Wrong, "foreign-answer"))
    }
}

fn is_problem(response: &HttpResponse) -> bool {
    let content_type = response.response.header("content-type");
    content_type.is_some_and(|values| values.last().as_str().contains("problem+json"))
}

fn error_name(error: &HttpError) -> &'static str {
    match error {
        HttpError::Connect { .. } => "can't-connect",
        HttpError::ResponseLost { .. } => "answer-lost",
        HttpError::TimedOut { .. } => "silent",
    }
}

/// Reads a streamed response and checks each token.
struct StreamChecker {
    prompt_hash: u64,
    expected_tokens: u32,
    next_position: u32,
    started: Instant,
    last_token_at: Option<Instant>,
    result: CallerResult,
}

impl StreamChecker {
    fn new(prompt: &str, expected_tokens: u32, started: Instant) -> Self {
        Self {
            prompt_hash: token::prompt_hash(prompt),
            expected_tokens,
            next_position: 0,
            started,
            last_token_at: None,
            result: CallerResult::without_tokens(CallerOutcome::Failed, "truncated"),
        }
    }

    async fn read(&mut self, mut response: HttpResponse, limit: Duration) -> Result<(), HttpError> {
        let mut line = String::new();
        let mut is_error = false;
        loop {
            line.clear();
            if response.read_line(&mut line, limit).await? == 0 {
                return Ok(());
            }
            let text = line.trim_end();
            is_error |= text == "event: error";
            let Some(event) = text.strip_prefix("data: ") else { continue };
            if is_error {
                self.set_outcome(CallerOutcome::Failed, "explicit-error");
                return Ok(());
            }
            if event == "[DONE]" {
                self.finish();
                return Ok(());
            }
            if !self.accept_event(event) {
                return Ok(());
            }
        }
    }

    fn accept_event(&mut self, event: &str) -> bool {
        let Ok(chunk) = serde_json::from_str::<CompletionChunk>(event) else {
            self.set_outcome(CallerOutcome::Wrong, "malformed-token");
            return false;
        };
        let expected = token::token_text(self.prompt_hash, self.next_position);
        let text = chunk.choices.first().map(|choice| choice.text.as_str());
        if chunk.position != self.next_position || text != Some(expected.as_str()) {
            self.set_outcome(CallerOutcome::Wrong, "wrong-token");
            return false;
        }
        self.next_position += 1;
        self.record_token_time();
        true
    }

    fn record_token_time(&mut self) {
        let now = Instant::now();
        match self.last_token_at.replace(now) {
            Some(last) => self.result.between_tokens.push(now - last),
            None => self.result.first_token = Some(now - self.started),
        }
    }

    fn finish(&mut self) {
        if self.next_position == self.expected_tokens {
            self.set_outcome(CallerOutcome::Whole, "");
        } else {
            self.set_outcome(CallerOutcome::Wrong, "missing-tokens");
        }
    }

    fn set_outcome(&mut self, outcome: CallerOutcome, reason: &str) {
        self.result.outcome = outcome;
        self.result.reason = reason.to_owned();
    }

    fn into_result(mut self) -> CallerResult {
        self.result.tokens = self.next_position;
        self.result
    }
}
