//! Handles a caller's request from its route to its response.

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
        event_stream::EventTracker,
        placement,
        prompt::PromptShape,
    },
    time::Timestamp,
};
use gooseberry_platform::{
    engine::{self, SendOptions, SendPhase},
    front::{self, LocalResponse, RequestHead},
};
use gooseberry_transport::body::{self, ResponseBody};
use http::{request, Response};
use parking_lot::Mutex;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    crashes::TrialGuard,
    gateway::Gateway,
    prompt_call,
    send::{self, ConnectionChoice, SendOutcome, SendResponse, SendTarget},
};

/// Largest response of a plain service, in bytes. It is buffered before it is forwarded. The
/// deployments' responses have up to 5 kB.
const PLAIN_RESPONSE_LIMIT_BYTES: usize = 1024 * 1024;
/// Retry-after of a refusal that has no estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Share of the remaining time that one attempt of an idempotent request may take while another
/// attempt is possible.
const ATTEMPT_SHARE: f64 = 0.4;

/// A caller's request.
#[derive(Debug)]
pub struct Call {
    pub gateway: Arc<Gateway>,
    pub parts: request::Parts,
    pub head: RequestHead,
    pub body: Bytes,
    pub arrived_at: Timestamp,
    pub deadline: Timestamp,
    pub execution: ExecutionState,
    /// Set while the request is the trial of prompt parts that are suspected to crash engines.
    pub trial: Mutex<Option<Arc<TrialGuard>>>,
    /// Hash of the content of the request. Equal requests of different callers have the same
    /// fingerprint.
    pub fingerprint: RequestFingerprint,
}

/// Whether a server may have run a request.
#[derive(Debug, Default)]
pub struct ExecutionState {
    /// Whether a send is in progress that may reach a server.
    is_sent: AtomicBool,
    /// Whether a server has run the request, or a send has ended without proof that none did.
    has_run: AtomicBool,
}

impl ExecutionState {
    /// Records that a send of the request starts.
    pub fn record_send(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Records that the server of the current send provably didn't run the request.
    pub fn record_not_run(&self) {
        self.is_sent.store(false, Ordering::Relaxed);
    }

    /// Records that the server of the current send has run the request or may have run it.
    pub fn record_run(&self) {
        self.has_run.store(true, Ordering::Relaxed);
    }

    fn may_have_run(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed) || self.has_run.load(Ordering::Relaxed)
    }
}

/// Route and service of a request.
#[derive(Clone, Debug)]
pub struct CallRoute {
    pub configuration: Arc<ServingConfiguration>,
    pub row: RouteRow,
    pub service: SmolStr,
}

impl Call {
    /// Computes the fingerprint of a request from its path and body, or from its path and prompt if
    /// it has no body.
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
    pub fn id_hash(&self) -> u64 {
        xxh3::xxh3_64(self.head.request_id.as_bytes())
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.gateway.now())
    }

    /// Returns whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.execution.may_have_run()
    }

    /// Finds the route and the service of the request in the current configuration.
    pub fn route(&self) -> Result<CallRoute, LocalResponse> {
        let configuration = self.gateway.state.lock().configuration.clone();
        let Some(configuration) = configuration else {
            return Err(unavailable());
        };
        let row = configuration.route(&self.head.host, &self.head.path);
        let row = row.ok_or(LocalResponse::UnknownRoute)?.clone();
        // A resumed stream stays at the service that began it.
        let service = row.target(self.head.stream_id()).ok_or(LocalResponse::UnknownRoute)?.clone();
        Ok(CallRoute { configuration, row, service })
    }

    /// Handles the request and returns its response.
    pub async fn run(&self, route: &CallRoute) -> Response<ResponseBody> {
        let now = self.gateway.now();
        let window = self.gateway.limits.lock().retry_allowance.window;
        {
            let mut state = self.gateway.state.lock();
            state.record_request(&route.service, window, now);
            if state.crashes.is_quarantined(self.fingerprint, now) {
                return self
                    .refuse(LocalResponse::Convicted, "the request crashed several engines");
            }
        }
        let service = route.configuration.service(&route.service);
        let answer = match service.and_then(|service| service.engine) {
            Some(spec) => prompt_call::run(self, route, spec).await,
            None => self.run_plain(route).await,
        };
        answer.unwrap_or_else(|answer| self.refuse(answer, log_reason(answer)))
    }

    /// Creates a response of the gateway itself and logs the reason. A response that guarantees
    /// that the request hasn't run is replaced if the request may have run.
    pub fn refuse(&self, answer: LocalResponse, reason: &str) -> Response<ResponseBody> {
        let is_contradicted = answer.guarantees_not_run() && self.may_have_run();
        let answer = if is_contradicted { LocalResponse::BackendFailed } else { answer };
        let waited_ms = self.gateway.now().since(self.arrived_at).as_millis() as u64;
        let id = &self.head.request_id;
        tracing::info!(request = %id, answer = ?answer, reason, waited_ms, "responded without a backend server");
        answer.encode(id)
    }

    /// Grants a retry if the retry budget allows it.
    pub fn try_retry(&self, route: &CallRoute) -> bool {
        let now = self.gateway.now();
        let allowance = self.gateway.limits.lock().retry_allowance;
        let granted = self.gateway.state.lock().try_retry(&route.service, allowance, now);
        let decision = if granted { "granted" } else { "refused" };
        self.gateway.metrics.retries.with_label_values(&[decision]).inc();
        granted
    }

    /// Returns which connections a request of this kind may use.
    pub fn connection_choice(kind: RouteKind) -> ConnectionChoice {
        if kind.is_idempotent() {
            ConnectionChoice::Pooled
        } else {
            ConnectionChoice::New
        }
    }

    async fn run_plain(&self, route: &CallRoute) -> Result<Response<ResponseBody>, LocalResponse> {
        let mut excluded: Vec<EngineKey> = Vec::new();
        // Attempts that have run or may have run.
        let mut runs = 0;
        let mut last = None;
        while let Some(target) = self.choose_plain(route, &excluded) {
            let is_first = excluded.is_empty();
            if !is_first && !self.try_retry(route) {
                break;
            }
            excluded.push(target.key);
            let can_repeat = route.row.kind.is_idempotent() && runs + 1 < route.row.attempts;
            match self.send_plain(route, &target, can_repeat).await {
                PlainAttempt::Responded(response) => return Ok(response),
                PlainAttempt::NotRun => {}
                PlainAttempt::Failed(answer) => {
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
            None => Err(self.no_server(route)),
        }
    }

    /// Returns the response for a request that no server of its service can run now.
    pub fn no_server(&self, route: &CallRoute) -> LocalResponse {
        let now = self.gateway.now();
        let retry_after = self.gateway.state.lock().request_retry_after(&route.service, now);
        let Some(retry_after) = retry_after else {
            return unavailable();
        };
        self.gateway.metrics.held_back.inc();
        tracing::info!(
            request = %self.head.request_id,
            service = %route.service,
            retry_after_ms = retry_after.as_millis() as u64,
            "servers hold requests back by a limit or for quiet"
        );
        LocalResponse::Unavailable { retry_after }
    }

    fn choose_plain(&self, route: &CallRoute, excluded: &[EngineKey]) -> Option<SendTarget> {
        let gateway = &self.gateway;
        let options = &gateway.options;
        let now = gateway.now();
        let mut state = gateway.state.lock();
        let key = placement::choose_plain(
            &state.fleet,
            &options.domains,
            &route.service,
            &options.domain,
            excluded,
            now,
        )?;
        if state.record_send(key, now) {
            gateway.wake_publisher();
        }
        let server = state.fleet.server(key);
        tracing::info!(
            request = %self.head.request_id,
            route = %route.row.name,
            version = route.configuration.version,
            server = %server.entry.id,
            requests = server.requests(),
            tries = excluded.len(),
            fingerprint = %self.fingerprint,
            method = %self.parts.method,
            path = self.parts.uri.path(),
            body_bytes = self.body.len(),
            "request sent to server"
        );
        Some(SendTarget::new(key, server))
    }

    async fn send_plain(
        &self,
        route: &CallRoute,
        target: &SendTarget,
        can_repeat: bool,
    ) -> PlainAttempt {
        let time_left = self.time_left();
        let send_options = SendOptions {
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
                &send_options,
                choice,
                &self.head.request_id,
            );
            match sent.await {
                SendOutcome::Responded(answer) => {
                    self.read_plain(route.row.kind, target, *answer).await
                }
                SendOutcome::NotRun(reason) => {
                    let id = &self.head.request_id;
                    tracing::info!(request = %id, server = %target.id, %reason, "request not run by server");
                    PlainAttempt::NotRun
                }
                SendOutcome::Unknown(_) => PlainAttempt::Failed(Err(LocalResponse::BackendFailed)),
            }
        };
        let limit = if can_repeat { time_left.mul_f64(ATTEMPT_SHARE) } else { time_left };
        let outcome = match self.gateway.clock.timeout(limit, work).await {
            Ok(outcome) => outcome,
            Err(_) => {
                send::record_failure(&self.gateway, target, "no response in time");
                PlainAttempt::Failed(Err(LocalResponse::TimedOut))
            }
        };
        match outcome {
            PlainAttempt::NotRun => self.execution.record_not_run(),
            PlainAttempt::Responded(_) | PlainAttempt::Failed(_) => self.execution.record_run(),
        }
        outcome
    }

    /// Reads the complete response, so that a truncated one isn't forwarded.
    async fn read_plain(
        &self,
        kind: RouteKind,
        target: &SendTarget,
        answer: SendResponse,
    ) -> PlainAttempt {
        let has_events = engine::has_events(&answer.response, kind);
        let framing = engine::body_framing(answer.response.headers());
        let (mut parts, body) = answer.response.into_parts();
        let body = match body::read_whole(body, PLAIN_RESPONSE_LIMIT_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                send::record_failure(&self.gateway, target, &error.to_string());
                return PlainAttempt::Failed(Err(LocalResponse::BackendFailed));
            }
        };
        if has_events && !EventTracker::after(&body).is_complete(framing) {
            send::record_failure(&self.gateway, target, "the response ended inside an event");
            return PlainAttempt::Failed(Err(LocalResponse::BackendFailed));
        }
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
            return PlainAttempt::Failed(Ok(response));
        }
        PlainAttempt::Responded(response)
    }
}

/// Outcome of one attempt of a plain request.
enum PlainAttempt {
    Responded(Response<ResponseBody>),
    NotRun,
    /// The request has run or may have run. The caller gets this response if there is no further
    /// attempt.
    Failed(Result<Response<ResponseBody>, LocalResponse>),
}

/// Returns the response for a request that no server can run now.
pub fn unavailable() -> LocalResponse {
    LocalResponse::Unavailable { retry_after: DEFAULT_RETRY_AFTER }
}

/// Returns the reason for the log of a response without a backend server.
fn log_reason(answer: LocalResponse) -> &'static str {
    match answer {
        LocalResponse::Unavailable { .. } => "no server available, or none with capacity in time",
        LocalResponse::BackendFailed => "a backend server failed",
        LocalResponse::TimedOut => "a backend server didn't respond in time",
        LocalResponse::Convicted => "the request crashed several engines",
        LocalResponse::BadRequest
        | LocalResponse::UnknownRoute
        | LocalResponse::BodyTooLarge
        | LocalResponse::BodyTimeout => "the request was not accepted",
    }
}
