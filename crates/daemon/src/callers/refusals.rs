//! Refusals as RFC 9457 problem documents.

use std::time::Duration;

use gooseberry_core::refusal::{RefusalReason, RequestExecuted, RequestRefusal};
use gooseberry_wire::problem::{self, ProblemDocument};
use tide::{http::headers, Body, Response};

/// `Retry-After` of refusals after which another daemon can serve the request.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Prefix of the `type` of problem documents.
const TYPE_PREFIX: &str = "urn:gooseberrykeel:";

/// Returns the refusal of a request that didn't end before the drain of a stopping
/// daemon timed out. The request may have run.
pub fn drain_timed_out() -> RequestRefusal {
    RequestRefusal::unknown(RefusalReason::ShuttingDown).retry_after(RETRY_AFTER)
}

/// Builds the response for a refused request.
pub fn respond(refusal: &RequestRefusal) -> Response {
    build_response(refusal, document(refusal))
}

/// Builds the response for a refused request that has an idempotency key.
///
/// Unless the claim on the key was read, `executed: no` applies to this try only.
/// The document then reports that an earlier try may have run.
pub fn respond_idempotent(refusal: &RequestRefusal) -> Response {
    let mut document = document(refusal);
    if refusal.executed == RequestExecuted::No && !refusal.covers_key {
        document.earlier_tries = Some(problem::RequestExecuted::Unknown);
    }
    build_response(refusal, document)
}

fn build_response(refusal: &RequestRefusal, document: ProblemDocument) -> Response {
    let mut response = Response::new(document.status);
    let body = serde_json::to_string(&document).expect("wire types serialize to JSON");
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

/// Returns whether the connection is closed after a refusal, because the daemon is
/// shutting down or the rest of the body isn't read.
fn closes_connection(reason: &RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::ShuttingDown
            | RefusalReason::BodyTooLarge(_)
            | RefusalReason::BodyTooSlow(_)
            | RefusalReason::WrongKey
    )
}

/// Builds the problem document of a refusal.
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
        // Rounded up to whole seconds, so that no caller retries too early.
        retry_after_s: refusal.retry_after.map(|duration| duration.as_secs_f64().ceil() as u64),
        dependency,
        earlier_tries: None,
    }
}
