//! Reasons for which a request is refused or ends without a complete response.

use std::time::Duration;

use smol_str::SmolStr;

/// States whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestExecuted {
    /// Provably not run: no byte of it reached a backend server.
    No,
    /// May have run: bytes may have been sent and no response was received.
    Unknown,
    /// Has run, but its response can't be returned.
    Yes,
}

/// States the reason of a refusal. Its name is the last part of the problem's type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    #[error("the request isn't valid: {0}")]
    BadRequest(SmolStr),
    #[error("the body exceeds the limit of {0} bytes")]
    BodyTooLarge(u64),
    #[error("the body didn't come within {} s", .0.as_secs())]
    BodyTooSlow(Duration),
    #[error("the account key is missing or unknown")]
    WrongKey,
    #[error("no service offers the model or path {0}")]
    UnknownService(SmolStr),
    #[error("the deadline has passed")]
    DeadlinePassed,
    #[error("the deadline can't be met now")]
    DeadlineUnmeetable,
    #[error("the engines are overloaded and this account holds its share")]
    Overloaded,
    #[error("the account has used up its limit")]
    LimitReached,
    #[error("the daemon is shutting down")]
    ShuttingDown,
    #[error("the daemon has no configuration yet")]
    NotConfigured,
    #[error("no backend server of {0} is available")]
    NoBackend(SmolStr),
    #[error("the service {0} that this one depends on is not available")]
    DependencyDown(SmolStr),
    #[error("the call may run at most once and needs an Idempotency-Key header")]
    KeyRequired,
    #[error("a call with the same key is still running")]
    ClaimRunning,
    #[error("the key was used before with another request")]
    KeyReused,
    #[error("the claim on the key can't be recorded now")]
    ClaimUnavailable,
    #[error("whether an earlier call with this key has run isn't known")]
    OutcomeUnknown,
    #[error("the call has run, but its answer was too large to keep")]
    AnswerNotKept,
    #[error("the backend server failed before it gave an answer")]
    BackendFailed,
    #[error("this request crashed backend servers and isn't run again")]
    Convicted,
    #[error("the retry budget is spent")]
    RetryBudgetSpent,
}

/// Describes the refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    pub reason: RefusalReason,
    pub executed: RequestExecuted,
    /// Time after which a retry may succeed, if it can.
    pub retry_after: Option<Duration>,
    /// Whether `executed` covers all attempts with the request's key, and not only the
    /// refused one.
    pub covers_key: bool,
}

impl RequestRefusal {
    /// Refuses a request of which no byte has been sent to a backend server.
    pub fn not_executed(reason: RefusalReason) -> Self {
        Self { reason, executed: RequestExecuted::No, retry_after: None, covers_key: false }
    }

    /// Refuses a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { reason, executed: RequestExecuted::Unknown, retry_after: None, covers_key: false }
    }

    /// Refuses a request that has run but whose response can't be returned.
    pub fn executed(reason: RefusalReason) -> Self {
        Self { reason, executed: RequestExecuted::Yes, retry_after: None, covers_key: false }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, duration: Duration) -> Self {
        self.retry_after = Some(duration);
        self
    }

    /// Marks the refusal as covering all attempts with the request's key, because the key's
    /// claim was read.
    pub fn covering_key(mut self) -> Self {
        self.covers_key = true;
        self
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self.reason {
            RefusalReason::BadRequest(_)
            | RefusalReason::DeadlinePassed
            | RefusalReason::KeyRequired => 400,
            RefusalReason::WrongKey => 401,
            RefusalReason::UnknownService(_) => 404,
            RefusalReason::BodyTooSlow(_) => 408,
            RefusalReason::ClaimRunning => 409,
            RefusalReason::AnswerNotKept => 410,
            RefusalReason::BodyTooLarge(_) => 413,
            RefusalReason::KeyReused | RefusalReason::Convicted => 422,
            RefusalReason::LimitReached => 429,
            RefusalReason::BackendFailed | RefusalReason::OutcomeUnknown => 502,
            RefusalReason::DeadlineUnmeetable
            | RefusalReason::Overloaded
            | RefusalReason::ShuttingDown
            | RefusalReason::NotConfigured
            | RefusalReason::NoBackend(_)
            | RefusalReason::DependencyDown(_)
            | RefusalReason::ClaimUnavailable
            | RefusalReason::RetryBudgetSpent => 503,
        }
    }
}
