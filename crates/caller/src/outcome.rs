//! How a request ended, as its caller saw it.

use std::time::Duration;

use gooseberry_wire::problem::{ProblemDocument, RequestExecuted};

/// Says how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CallerOutcome {
    /// The whole answer came, its own and in order.
    Whole,
    /// The request was refused and has not run.
    Refused,
    /// The caller was told that the request may have run.
    Unknown,
    /// The answer broke off, or the connection did.
    Failed,
    /// The answer was wrong: foreign, out of order or with gaps.
    Wrong,
}

/// Holds what a caller saw of one request.
#[derive(Clone, Debug)]
pub struct CallerResult {
    pub outcome: CallerOutcome,
    /// Reason of a refusal or failure.
    pub reason: String,
    pub first_token: Option<Duration>,
    /// Spans between tokens.
    pub between_tokens: Vec<Duration>,
    pub total: Duration,
    pub tokens: u32,
    /// Whether the answer came before the request's deadline.
    pub in_time: bool,
}

impl CallerResult {
    /// Makes a result without tokens.
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

    /// Makes the result of a refusal.
    pub fn from_problem(document: &ProblemDocument) -> Self {
        let outcome = match document.executed {
            RequestExecuted::No => CallerOutcome::Refused,
            RequestExecuted::Unknown => CallerOutcome::Unknown,
            RequestExecuted::Yes => CallerOutcome::Failed,
        };
        Self::without_tokens(outcome, &document.type_)
    }
}
