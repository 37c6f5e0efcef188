//! Outcomes of requests, as their callers observed them.

use std::time::Duration;

use gooseberry_wire::problem::{ProblemDocument, RequestExecuted};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CallerOutcome {
    /// The response was complete, in order and belonged to this request.
    Whole,
    /// The request was refused and has not been executed.
    Refused,
    /// The response reports that the request may have been executed.
    Unknown,
    /// The response was truncated or the connection failed.
    Failed,
    /// The response was wrong: it belonged to another request, was out of order or had gaps.
    Wrong,
}

/// Outcome and timing of one request, as its caller observed them.
#[derive(Clone, Debug)]
pub struct CallerResult {
    pub outcome: CallerOutcome,
    /// Reason of a refusal or failure; empty for a complete response.
    pub reason: String,
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub between_tokens: Vec<Duration>,
    pub total: Duration,
    pub tokens: u32,
    /// Whether the complete response arrived before the request's deadline.
    pub in_time: bool,
}

impl CallerResult {
    /// Makes a result of a request that received no token.
    pub fn without_tokens(outcome: CallerOutcome, reason: &str) -> Self {
        Self {
            outcome,
            reason: reason.to_owned(),
            first_token: None,
            between_tokens: Vec::new(),
            total: Duration::ZERO,
            tokens: 0,
            in_time: false,
        }
    }

    /// Makes the result of a response that is a problem document.
    pub fn from_problem(document: &ProblemDocument) -> Self {
        let outcome = match document.executed {
            RequestExecuted::No => CallerOutcome::Refused,
            RequestExecuted::Unknown => CallerOutcome::Unknown,
            RequestExecuted::Yes => CallerOutcome::Failed,
        };
        Self::without_tokens(outcome, &document.type_)
    }
}
