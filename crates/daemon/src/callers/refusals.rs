//! Refusals as RFC 9457 problem documents.

use std::time::Duration;

use gooseberry_core::refusal::{RefusalReason, RequestExecuted, RequestRefusal};
use gooseberry_wire::problem::{self, ProblemDocument};
use tide::{http::headers, Body, Response};

/// Time after which a caller may come back when another daemon can help.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Start of the types of problem documents.
const TYPE_PREFIX: &str = "urn:gooseberrykeel:";

/// Refuses a request that is longer than the drain of a stopping daemon and may
/// have run.
pub fn drain_timed_out() -> RequestRefusal {
    RequestRefusal::unknown(RefusalReason::ShuttingDown).retry_after(RETRY_AFTER)
}

/// Answers a request that is refused.
pub fn answer(refusal: &RequestRefusal) -> Response {
    respond(refusal, document(refusal))
}

/// Answers a refused request that carries an idempotency key.
///
/// Unless the claim on the key was seen, `executed: no` speaks of this try
/// only, and the answer says so: an earlier try may have run.
pub fn respond_idempotent(refusal: &RequestRefusal) -> Response {
    let mut document = document(refusal);
    if refusal.executed == RequestExecuted::No && !refusal.covers_key {
        document.earlier_tries = Some(problem::RequestExecuted::Unknown);
    }
    respond(refusal, document)
}

fn respond(refusal: &RequestRefusal, document: ProblemDocument) -> Response {
    let mut response = Response::new(document.status);
    let body = serde_json::to_string(&document).expect("border types are valid JSON");
    response.set_body(Body::from_string(body));
    response.set_content_type("application/problem+json");
    if let Some(seconds) = document.retry_after_s {
        response.insert_header(headers::RETRY_AFTER, seconds.to_string());
    }
    if closes_connection(&refusal.reason) {
        response.insert_header(headers::CONNECTION, "close");
    }
    response
}

/// Tells whether the connection ends with a refusal, because the daemon stops or
/// the rest of the body isn't read.
fn closes_connection(reason: &RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::ShuttingDown
            | RefusalReason::BodyTooLarge(_)
            | RefusalReason::BodyTooSlow(_)
            | RefusalReason::WrongKey
    )
}

/// Writes a refusal as a problem document.
pub fn document(refusal: &RequestRefusal) -> ProblemDocument {
    let name: &'static str = (&refusal.reason).into();
    let dependency = match &refusal.reason {
        RefusalReason::DependencyDown(service) => Some(service.to_string()),
        _ => None,
    };
    ProblemDocument {
        type_: format!("{TYPE_PREFIX}{name}"),
        title: name.replace('-', " "),
        status: refusal.status(),
        detail: refusal.reason.to_string(),
        executed: match refusal.executed {
            RequestExecuted::No => problem::RequestExecuted::No,
            RequestExecuted::Unknown => problem::RequestExecuted::Unknown,
            RequestExecuted::Yes => problem::RequestExecuted::Yes,
        },
        // Whole seconds, and never too early.
        retry_after_s: refusal.retry_after.map(|span| span.as_secs_f64().ceil() as u64),
        dependency,
        earlier_tries: None,
    }
}
