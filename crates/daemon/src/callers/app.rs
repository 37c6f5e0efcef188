//! HTTP routes for callers.

use std::sync::Arc;

use gooseberry_core::refusal::{RefusalReason, RequestRefusal};
use tide::{Request, Response, StatusCode};

use crate::{
    callers::{chat, completion, plain, refusals},
    context::DaemonContext,
};

/// HTTP request together with the context of this daemon.
pub type CallerRequest = Request<Arc<DaemonContext>>;

/// Builds the HTTP application for callers.
pub fn build(context: Arc<DaemonContext>) -> tide::Server<Arc<DaemonContext>> {
    let mut app = tide::with_state(context);
    app.at("/healthz").get(|_| async { Ok(Response::new(StatusCode::Ok)) });
    app.at("/readyz").get(ready);
    app.at("/v1/completions").post(complete);
    app.at("/v1/chat/completions").post(complete_chat);
    app.at("/*path").all(forward);
    app
}

async fn ready(request: CallerRequest) -> tide::Result {
    let ready = request.state().is_ready();
    Ok(Response::new(if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable }))
}

async fn complete(request: CallerRequest) -> tide::Result {
    if let Some(refusal) = refuse_all(request.state()) {
        return Ok(refusals::respond(&refusal));
    }
    Ok(completion::complete(request).await.unwrap_or_else(|refusal| refusals::respond(&refusal)))
}

async fn complete_chat(request: CallerRequest) -> tide::Result {
    if let Some(refusal) = refuse_all(request.state()) {
        return Ok(refusals::respond(&refusal));
    }
    Ok(chat::complete(request).await.unwrap_or_else(|refusal| refusals::respond(&refusal)))
}

async fn forward(request: CallerRequest) -> tide::Result {
    let respond = if request.header(plain::IDEMPOTENCY_KEY_HEADER).is_some() {
        refusals::respond_idempotent
    } else {
        refusals::respond
    };
    if let Some(refusal) = refuse_all(request.state()) {
        return Ok(respond(&refusal));
    }
    Ok(plain::forward(request).await.unwrap_or_else(|refusal| respond(&refusal)))
}

/// Refuses every request while the daemon is shutting down or has no configuration.
fn refuse_all(context: &DaemonContext) -> Option<RequestRefusal> {
    let reason = if context.stop.is_triggered() {
        RefusalReason::ShuttingDown
    } else if context.snapshot.load().fleet.revision == 0 {
        RefusalReason::NotConfigured
    } else {
        return None;
    };
    Some(RequestRefusal::not_executed(reason).retry_after(refusals::RETRY_AFTER))
}
