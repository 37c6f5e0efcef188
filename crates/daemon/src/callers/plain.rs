//! Forwards calls with any method to plain services. Those serve no model and are
//! selected by path prefix. Non-idempotent calls run at most once.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use gooseberry_core::{
    arena::PlainKey,
    claims::{ClaimKey, ClaimState, StoredResponse},
    outcomes::RequestOutcome,
    refusal::{RefusalReason, RequestRefusal},
};
use gooseberry_edges::http::{HttpCall, HttpError, HttpResponse};
use http_types::{headers, Request as HttpRequest, Url};
use smol_str::SmolStr;
use tide::{Body, Response};
use xxhash_rust::xxh3;

use crate::{
    callers::{
        app::CallerRequest,
        refusals,
        request::{self, AcceptedRequest},
    },
    claims::store::{ClaimCall, ClaimOutcome, HeldClaim},
    retries::BUDGET_RETRY_AFTER,
};

/// Header with the idempotency key of a call that runs at most once.
pub(super) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Headers that aren't forwarded: hop-by-hop headers, headers that are set anew for the
/// backend server, and the header with the caller's account key.
const DROPPED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Forwards a request to a plain service.
///
/// # Errors
///
/// Returns the refusal if the request is invalid or can't be run.
pub async fn forward(mut request: CallerRequest) -> Result<Response, RequestRefusal> {
    let snapshot = request.state().snapshot.load_full();
    let path = request.url().path().to_owned();
    let Some(service) = snapshot.fleet.plain_service(&path) else {
        let reason = RefusalReason::UnknownService(path.into());
        return Err(RequestRefusal::not_executed(reason));
    };
    let (account, body) = request::read(&mut request, &snapshot).await?;
    let accepted = request::accept(&request, snapshot, account, service)?;
    if let Err(refusal) = accepted.check_dependencies() {
        return Err(accepted.refuse(refusal));
    }
    let call = PlainCall { call: copy_request(&request, body), path };
    let row = &accepted.snapshot.fleet.services[service];
    let result = if row.is_non_idempotent(request.method().as_ref(), &call.path) {
        let key = request
            .header(IDEMPOTENCY_KEY_HEADER)
            .map(|values| SmolStr::new(values.last().as_str()));
        run_once(&accepted, &call, key).await
    } else {
        run_idempotent(&accepted, &call).await
    };
    match result {
        Ok(response) => {
            accepted.guard.end(RequestOutcome::Whole);
            Ok(response)
        }
        Err(refusal) => Err(accepted.refuse(refusal)),
    }
}

/// Caller's HTTP call, from which the call to the chosen backend server is built.
struct PlainCall {
    call: HttpCall,
    path: String,
}

impl PlainCall {
    /// Returns a hash of the method, path, query and body. It detects a different call
    /// with the same idempotency key.
    fn fingerprint(&self) -> u64 {
        let method = self.call.head.method().to_string();
        let query = self.call.head.url().query().unwrap_or_default();
        let seed = xxh3::xxh3_64(format!("{method} {}?{query}", self.path).as_bytes());
        xxh3::xxh3_64_with_seed(&self.call.body, seed)
    }

    fn for_server(&self, address: &str) -> HttpCall {
        let mut call = self.call.clone();
        let mut url = Url::parse(&format!("http://{address}"))
            .expect("addresses are validated with the configuration");
        url.set_path(&self.path);
        url.set_query(self.call.head.url().query());
        *call.head.url_mut() = url;
        call
    }
}

/// Copies a caller's request without the headers that aren't forwarded.
fn copy_request(request: &CallerRequest, body: Vec<u8>) -> HttpCall {
    let mut head = HttpRequest::new(request.method(), request.url().clone());
    for (name, values) in request.iter() {
        if !DROPPED_HEADERS.contains(&name.as_str()) {
            for value in values.iter() {
                head.append_header(name, value.clone());
            }
        }
    }
    HttpCall { head, body }
}

/// Runs an idempotent call. If a server fails, it is sent to another one.
async fn run_idempotent(
    accepted: &AcceptedRequest,
    call: &PlainCall,
) -> Result<Response, RequestRefusal> {
    accepted.check_limit(0)?;
    let fleet = &accepted.snapshot.fleet;
    let name = fleet.services[accepted.service].name.clone();
    let retries = &accepted.context.retries;
    retries.record_first_attempt(&name);
    let mut tried = Vec::new();
    let mut sent = false;
    let mut reason = RefusalReason::BackendFailed;
    while (tried.len() as u32) < fleet.limits.max_attempts {
        let Some(server) = choose(accepted, &tried) else { break };
        if sent && !retries.try_retry(&name, fleet.limits.retry_share) {
            reason = RefusalReason::RetryBudgetSpent;
            break;
        }
        match send(accepted, call, server).await {
            Ok(answer) => return Ok(respond(answer)),
            Err(error) => {
                tracing::warn!(%error, "call to backend server failed");
                sent |= !error.is_unsent();
                tried.push(server);
                if sent && accepted.context.drain_deadline.is_triggered() {
                    return Err(refusals::drain_timed_out());
                }
            }
        }
    }
    if !sent {
        let refusal = RequestRefusal::not_executed(RefusalReason::NoBackend(name));
        return Err(refusal.retry_after(refusals::RETRY_AFTER));
    }
    let is_spent = reason == RefusalReason::RetryBudgetSpent;
    let retry_after = if is_spent { BUDGET_RETRY_AFTER } else { refusals::RETRY_AFTER };
    Err(RequestRefusal::unknown(reason).retry_after(retry_after))
}

/// Runs a call at most once, whichever daemons the caller sends it to and however often.
async fn run_once(
    accepted: &AcceptedRequest,
    call: &PlainCall,
    key: Option<SmolStr>,
) -> Result<Response, RequestRefusal> {
    let Some(key) = key else {
        return Err(RequestRefusal::not_executed(RefusalReason::KeyRequired));
    };
    let fleet = &accepted.snapshot.fleet;
    let service = &fleet.services[accepted.service];
    let account = fleet.accounts[accepted.account].name.clone();
    let context = &accepted.context;
    let claim = ClaimCall {
        key: ClaimKey { service: service.name.clone(), account, key },
        holder: context.process.clone(),
        fingerprint: call.fingerprint(),
        deadline: accepted.deadline,
        retry_horizon: service.retry_horizon,
    };
    let members = || context.snapshot.load().membership.clone();
    let claiming = context.claims.claim(&claim, members);
    let drain_timed_out = async {
        context.drain_deadline.wait().await;
        ClaimOutcome::Refused(refusals::drain_timed_out())
    };
    match claiming.or(drain_timed_out).await {
        ClaimOutcome::Held(held) => send_claimed(accepted, call, *held).await,
        ClaimOutcome::Answered(answer) => Ok(replay_response(answer)),
        ClaimOutcome::Refused(refusal) => Err(refusal),
    }
}

/// Sends a claimed call once and records the outcome.
async fn send_claimed(
    accepted: &AcceptedRequest,
    call: &PlainCall,
    held: HeldClaim,
) -> Result<Response, RequestRefusal> {
    let claims = &accepted.context.claims;
    let Some(server) = choose(accepted, &[]) else {
        claims.settle(held, ClaimState::Released);
        let name = accepted.snapshot.fleet.services[accepted.service].name.clone();
        let refusal = RequestRefusal::not_executed(RefusalReason::NoBackend(name));
        return Err(refusal.retry_after(refusals::RETRY_AFTER).covering_key());
    };
    if !claims.is_sendable(&held) {
        claims.settle(held, ClaimState::Released);
        let refusal = RequestRefusal::not_executed(RefusalReason::DeadlinePassed);
        return Err(refusal.covering_key());
    }
    match send(accepted, call, server).await {
        Ok(answer) => {
            claims.settle(held, ClaimState::answered(&answer));
            Ok(respond(answer))
        }
        Err(error) if error.is_unsent() => {
            claims.settle(held, ClaimState::Released);
            let refusal = RequestRefusal::not_executed(RefusalReason::BackendFailed);
            Err(refusal.retry_after(refusals::RETRY_AFTER).covering_key())
        }
        Err(error) => {
            tracing::warn!(%error, "no response to a claimed call; its outcome is unknown");
            claims.settle(held, ClaimState::Lost);
            if accepted.context.drain_deadline.is_triggered() {
                return Err(refusals::drain_timed_out());
            }
            Err(RequestRefusal::unknown(RefusalReason::OutcomeUnknown))
        }
    }
}

/// Chooses the open server with the lowest network latency. Among equals it chooses the
/// one with the fewest outstanding calls of this daemon.
fn choose(accepted: &AcceptedRequest, tried: &[PlainKey]) -> Option<PlainKey> {
    let snapshot = &accepted.snapshot;
    let newest = accepted.context.snapshot.load_full();
    let same_revision = newest.fleet.revision == snapshot.fleet.revision;
    let view = if same_revision { &newest } else { snapshot };
    let open = view.plain_servers.iter().filter(|(key, entry)| {
        let row = &view.fleet.plain_servers[*key];
        entry.is_open() && row.service == accepted.service && !tried.contains(key)
    });
    let (key, _) = open.min_by_key(|(_, entry)| (entry.latency, entry.gauge.outstanding()))?;
    let server = &view.fleet.plain_servers[key].name;
    tracing::info!(%server, tried = tried.len(), revision = view.fleet.revision, "routed");
    Some(key)
}

async fn send(
    accepted: &AcceptedRequest,
    call: &PlainCall,
    server: PlainKey,
) -> Result<StoredResponse, HttpError> {
    let address = accepted.snapshot.fleet.plain_servers[server].address.clone();
    let _outstanding = accepted.snapshot.plain_servers[server].gauge.track_call();
    let call = call.for_server(&address);
    let plain = Arc::clone(&accepted.context.plain);
    let receiving = async {
        let answer = plain.forward(&address, &call, accepted.time_left()).await?;
        read_response(answer, accepted.time_left()).await
    };
    let drain_timed_out = async {
        accepted.context.drain_deadline.wait().await;
        let detail = "the daemon is shutting down".to_owned();
        Err(HttpError::ResponseLost { address: address.clone(), detail })
    };
    receiving.or(drain_timed_out).await
}

async fn read_response(answer: HttpResponse, limit: Duration) -> Result<StoredResponse, HttpError> {
    let status = answer.status().into();
    let content_type = answer.response.header(headers::CONTENT_TYPE);
    let content_type = content_type.map_or("", |values| values.last().as_str()).into();
    let body = answer.into_bytes(limit).await?;
    Ok(StoredResponse { status, content_type, body })
}

fn respond(answer: StoredResponse) -> Response {
    let mut response = Response::new(answer.status);
    response.set_body(Body::from_bytes(answer.body));
    if !answer.content_type.is_empty() {
        response.insert_header(headers::CONTENT_TYPE, answer.content_type.as_str());
    }
    response
}

/// Builds the response to a repeated call from the stored response of the call that ran.
fn replay_response(answer: StoredResponse) -> Response {
    let mut response = respond(answer);
    response.insert_header("idempotency-replayed", "true");
    response
}
