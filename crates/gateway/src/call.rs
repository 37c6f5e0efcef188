//! A caller's request on its way: from its route to its answer.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use bytes::Bytes;
use gooseberry_core::{
    arena::EngineKey,
    poison::RequestFingerprint,
    serving::{
        configuration::{RouteKind, RouteRow, ServingConfiguration},
        placement,
        prompt::PromptShape,
    },
    time::Timestamp,
};
use gooseberry_platform::{
    engine::{self, SendOptions, SendPhase},
    front::{self, LocalResponse, RequestHead},
};
use gooseberry_transport::body::ResponseBody;
use http::{request, Response};
use http_body_util::{BodyExt, Limited};
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    gateway::Gateway,
    prompt_call,
    send::{self, ConnectionChoice, SendOutcome, SendResponse, SendTarget},
};

/// Largest answer of a plain service that is read whole before it is passed
/// on, in bytes; the deployments' answers have up to 5 kB.
const WHOLE_ANSWER_LIMIT: usize = 1024 * 1024;
/// What a refused caller is told to wait when no estimate speaks of it.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Part of the time left that one try of an idempotent request may take while
/// another try is possible.
const TRY_SHARE: f64 = 0.4;

/// A request with all that is known of it.
#[derive(Debug)]
pub struct Call {
    pub gateway: Arc<Gateway>,
    pub parts: request::Parts,
    pub head: RequestHead,
    pub body: Bytes,
    pub arrived_at: Timestamp,
    pub deadline: Timestamp,
    pub execution: ExecutionState,
    /// What engines compute for the request, whoever sends it.
    pub fingerprint: RequestFingerprint,
}

/// Whether a server may have run a request.
#[derive(Debug, Default)]
pub struct ExecutionState {
    /// Whether a send is on its way that may reach a server.
    is_sent: AtomicBool,
    /// Whether an earlier send has run, or ended without proof that it hasn't.
    has_ended: AtomicBool,
}

impl ExecutionState {
    /// Notes that a send begins.
    pub fn record_send(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Notes that the present send provably hasn't run.
    pub fn record_not_run(&self) {
        self.is_sent.store(false, Ordering::Relaxed);
    }

    /// Notes that the present send has or may have run.
    pub fn record_run(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    fn may_have_run(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed) || self.has_ended.load(Ordering::Relaxed)
    }
}

/// What is decided of a request by its route.
#[derive(Clone, Debug)]
pub struct CallRoute {
    pub configuration: Arc<ServingConfiguration>,
    pub row: RouteRow,
    pub service: SmolStr,
}

impl Call {
    /// Computes the fingerprint of a request. One without a body has only its
    /// prompt to tell it from others on the same path.
    pub fn fingerprint(
        parts: &request::Parts,
        body: &Bytes,
        prompt: &PromptShape,
    ) -> RequestFingerprint {
        let path = xxh3::xxh3_64(parts.uri.path().as_bytes());
        let last_part = prompt.parts.last().filter(|_| body.is_empty());
        let seed = last_part.map_or(path, |part| path ^ part.key.0);
        RequestFingerprint(xxh3::xxh3_64_with_seed(body, seed))
    }

    /// Returns a hash of the request's id.
    pub fn hash(&self) -> u64 {
        xxh3::xxh3_64(self.head.request_id.as_bytes())
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.gateway.now())
    }

    /// Tells whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.execution.may_have_run()
    }

    /// Finds the route and service of the request in the configuration that is
    /// in force now.
    pub fn route(&self) -> Result<CallRoute, LocalResponse> {
        let configuration = self.gateway.state.lock().configuration.clone();
        let Some(configuration) = configuration else {
            return Err(unavailable());
        };
        let row = configuration.route(&self.head.host, &self.head.path);
        let row = row.ok_or(LocalResponse::UnknownRoute)?.clone();
        let service = row.target(&self.head.request_id).ok_or(LocalResponse::UnknownRoute)?.clone();
        Ok(CallRoute { configuration, row, service })
    }

    /// Carries the request to its answer.
    pub async fn run(&self, route: &CallRoute) -> Response<ResponseBody> {
        let now = self.gateway.now();
        let window = self.gateway.limits.lock().retry_allowance.window;
        {
            let mut state = self.gateway.state.lock();
            state.record_request(&route.service, window, now);
            if state.crashes.is_quarantined(self.fingerprint, now) {
                return self.refuse(LocalResponse::Convicted, "crashed several engines");
            }
        }
        let service = route.configuration.service(&route.service);
        let answer = match service.and_then(|service| service.engine) {
            Some(spec) => prompt_call::run(self, route, spec).await,
            None => self.run_plain(route).await,
        };
        answer.unwrap_or_else(|answer| self.refuse(answer, reason(answer)))
    }

    /// Makes an own answer and logs why. An answer that promises that the
    /// request hasn't run is never given once it may have.
    pub fn refuse(&self, answer: LocalResponse, reason: &str) -> Response<ResponseBody> {
        let is_false = answer.guarantees_not_run() && self.may_have_run();
        let answer = if is_false { LocalResponse::BackendFailed } else { answer };
        let waited_ms = self.gateway.now().since(self.arrived_at).as_millis() as u64;
        let id = &self.head.request_id;
        tracing::info!(request = %id, answer = ?answer, reason, waited_ms, "own answer");
        answer.encode(id)
    }

    /// Grants a further send, if the budget has one.
    pub fn try_retry(&self, route: &CallRoute) -> bool {
        let now = self.gateway.now();
        let allowance = self.gateway.limits.lock().retry_allowance;
        let granted = self.gateway.state.lock().try_retry(&route.service, allowance, now);
        let verdict = if granted { "granted" } else { "refused" };
        self.gateway.metrics.retries.with_label_values(&[verdict]).inc();
        granted
    }

    /// Returns how a request of this kind may be connected.
    pub fn connection_choice(kind: RouteKind) -> ConnectionChoice {
        if kind.is_idempotent() {
            ConnectionChoice::Pooled
        } else {
            ConnectionChoice::New
        }
    }

    async fn run_plain(&self, route: &CallRoute) -> Result<Response<ResponseBody>, LocalResponse> {
        let mut excluded: Vec<EngineKey> = Vec::new();
        let mut runs = 0;
        let mut last = None;
        while let Some(target) = self.choose_plain(route, &excluded) {
            let is_first = excluded.is_empty();
            if !is_first && !self.try_retry(route) {
                break;
            }
            excluded.push(target.key);
            let can_repeat = route.row.kind.is_idempotent() && runs + 1 < route.row.attempts;
            match self.try_plain(route, &target, can_repeat).await {
                PlainTry::Answer(response) => return Ok(response),
                PlainTry::NotRun => {}
                PlainTry::Failed(answer) => {
                    runs += 1;
                    last = Some(answer);
                    if !can_repeat {
                        break;
                    }
                }
            }
        }
        match last {
            Some(answer) => answer,
            None => Err(unavailable()),
        }
    }

    fn choose_plain(&self, route: &CallRoute, excluded: &[EngineKey]) -> Option<SendTarget> {
        let gateway = &self.gateway;
        let options = &gateway.options;
        let state = gateway.state.lock();
        let key = placement::choose_plain(
            &state.fleet,
            &options.domains,
            &route.service,
            &options.domain,
            excluded,
            gateway.now(),
        )?;
        let server = state.fleet.server(key);
        tracing::info!(
            request = %self.head.request_id,
            route = %route.row.name,
            version = route.configuration.version,
            server = %server.entry.id,
            requests = server.requests(),
            tries = excluded.len(),
            "placed"
        );
        Some(SendTarget::new(key, server))
    }

    async fn try_plain(
        &self,
        route: &CallRoute,
        target: &SendTarget,
        can_repeat: bool,
    ) -> PlainTry {
        let time_left = self.time_left();
        let terms = SendOptions {
            server_id: &target.id,
            time_left,
            priority: None,
            phase: SendPhase::Whole,
            fetch_from: None,
            last_event: self.head.last_event.as_deref(),
        };
        let choice = Self::connection_choice(route.row.kind);
        self.execution.record_send();
        let work = async {
            let sent = send::send(
                &self.gateway,
                target,
                &self.parts,
                &self.body,
                &terms,
                choice,
                &self.head.request_id,
            );
            match sent.await {
                SendOutcome::Answered(answer) => self.read_plain(target, *answer).await,
                SendOutcome::NotRun(reason) => {
                    let id = &self.head.request_id;
                    tracing::info!(request = %id, server = %target.id, %reason, "not run");
                    PlainTry::NotRun
                }
                SendOutcome::Unknown(_) => PlainTry::Failed(Err(LocalResponse::BackendFailed)),
            }
        };
        let limit = if can_repeat { time_left.mul_f64(TRY_SHARE) } else { time_left };
        let outcome = match self.gateway.clock.timeout(limit, work).await {
            Ok(outcome) => outcome,
            Err(_) => {
                send::record_failure(&self.gateway, target, "no answer in time");
                PlainTry::Failed(Err(LocalResponse::TimedOut))
            }
        };
        match outcome {
            PlainTry::NotRun => self.execution.record_not_run(),
            PlainTry::Answer(_) | PlainTry::Failed(_) => self.execution.record_run(),
        }
        outcome
    }

    /// Reads an answer whole, so that one that breaks off isn't passed on.
    async fn read_plain(&self, target: &SendTarget, answer: SendResponse) -> PlainTry {
        let (mut parts, body) = answer.response.into_parts();
        let body = match Limited::new(body, WHOLE_ANSWER_LIMIT).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                send::record_failure(&self.gateway, target, &error.to_string());
                return PlainTry::Failed(Err(LocalResponse::BackendFailed));
            }
        };
        if !engine::closes_connection(&parts.headers) {
            let idle = engine::idle_limit(&parts.headers);
            send::return_connection(&self.gateway, answer.connection, idle).await;
        }
        front::strip_connection_headers(&mut parts.headers);
        let is_failure = parts.status.is_server_error();
        if !is_failure {
            send::record_success(&self.gateway, target.key);
        }
        let response = Response::from_parts(parts, ResponseBody::whole(body));
        if is_failure {
            return PlainTry::Failed(Ok(response));
        }
        PlainTry::Answer(response)
    }
}

/// What came of one try of a plain request.
enum PlainTry {
    Answer(Response<ResponseBody>),
    NotRun,
    /// The request has or may have run; the answer is what the caller gets if
    /// no other try follows.
    Failed(Result<Response<ResponseBody>, LocalResponse>),
}

/// Says that a request isn't run for want of servers.
pub fn unavailable() -> LocalResponse {
    LocalResponse::Unavailable { retry_after: DEFAULT_RETRY_AFTER }
}

/// Says in the log why a request has no answer of a server.
fn reason(answer: LocalResponse) -> &'static str {
    match answer {
        LocalResponse::Unavailable { .. } => "no server, or no room in time",
        LocalResponse::BackendFailed => "a backend server failed",
        LocalResponse::TimedOut => "a backend server didn't answer in time",
        LocalResponse::Convicted => "crashed several engines",
        LocalResponse::BadRequest
        | LocalResponse::UnknownRoute
        | LocalResponse::BodyTooLarge
        | LocalResponse::BodyTimeout => "the request can't be taken",
    }
}
