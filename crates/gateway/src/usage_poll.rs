//! Asks the daemons for the requests that they have counted.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{stream, StreamExt};
use gooseberry_edges::clock::Clock;
use gooseberry_transport::{
    body::{self, ReadError},
    client::{ClientConnection, SendError},
};
use http::{header, HeaderValue, Request, StatusCode, Uri};
use http_body_util::Full;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::{
    peers::ForwardTarget,
    usage::{self, UsageAnswer},
};

/// Timeout of a question and its answer; round trips take 16 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of all questions of a round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(2000);
/// Daemons that are asked at a time.
const CONCURRENCY: usize = 32;
/// Largest answer, in bytes: the counts of 23,000 accounts in some windows.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Why a daemon didn't tell its counts.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("the daemon's answer can't be read: {0}")]
    Read(#[from] ReadError),
    #[error("the daemon responded with status {0}")]
    Status(StatusCode),
    #[error("the daemon's answer can't be decoded: {0}")]
    Malformed(#[from] postcard::Error),
    #[error("the daemon didn't respond in time")]
    TimedOut,
}

/// The answers of a round of questions.
#[derive(Debug, Default)]
pub struct AnswerRound {
    pub answers: Vec<UsageAnswer>,
    /// Names of the daemons that didn't answer.
    pub silent: Vec<SmolStr>,
}

/// Asks all daemons for their counts.
pub async fn ask_all(targets: Vec<ForwardTarget>, clock: &Clock) -> AnswerRound {
    let round = Mutex::new(AnswerRound {
        answers: Vec::new(),
        silent: targets.iter().map(|target| target.name.clone()).collect(),
    });
    let answered = &round;
    let questions = stream::iter(targets).for_each_concurrent(CONCURRENCY, |target| async move {
        let asked = clock.timeout(ANSWER_TIMEOUT, ask(&target)).await;
        match asked.unwrap_or(Err(AnswerError::TimedOut)) {
            Ok(answer) => {
                let mut round = answered.lock();
                round.silent.retain(|name| *name != target.name);
                round.answers.push(answer);
            }
            Err(fault) => {
                tracing::debug!(daemon = %target.name, %fault, "daemon didn't tell its usage");
            }
        }
    });
    // The daemons that haven't answered by then count as silent.
    let _ = clock.timeout(ROUND_TIMEOUT, questions).await;
    round.into_inner()
}

async fn ask(target: &ForwardTarget) -> Result<UsageAnswer, AnswerError> {
    let mut connection = ClientConnection::connect(target.address, ANSWER_TIMEOUT).await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(usage::PATH);
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("daemon"));
    if let Ok(token) = HeaderValue::from_str(&target.token) {
        headers.insert(usage::TOKEN, token);
    }
    let response = connection.send(request).await?;
    if response.status() != StatusCode::OK {
        return Err(AnswerError::Status(response.status()));
    }
    let body = body::read_whole(response.into_body(), ANSWER_LIMIT_BYTES).await?;
    Ok(postcard::from_bytes(&body)?)
}
