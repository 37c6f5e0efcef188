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
    serving::{
        configuration::{RouteKind, RouteRow, ServingConfiguration},
        event_stream::EventTracker,
        placement,
        prompt::{self, PartFingerprint},
    },
    time::Timestamp,
};
use gooseberry_platform::{
    engine::{self, SendOptions, SendPhase, SentAccount},
    front::{self, LocalResponse, RequestHead},
};
use gooseberry_transport::body::{ArrivingBody, ReadError, ResponseBody};
use http::{request, Response};
use parking_lot::Mutex;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

pub use crate::accounts::CallAccount;
use crate::{
    accounts::{self, CallAuthority},
    crashes::{self, TrialGuard},
    forward,
    gateway::Gateway,
    prompt_call,
    send::{self, ConnectionChoice, NotRunReason, SendOutcome, SendResponse, SendTarget},
};

/// Largest response of a plain service, in bytes. It is buffered before it is forwarded. The
/// deployments' responses have up to 5 kB.
const PLAIN_RESPONSE_LIMIT_BYTES: usize = 1024 * 1024;
/// Retry-after of a refusal that has no estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Share of the remaining time that one attempt of an idempotent request may take while another
/// attempt is possible.
const ATTEMPT_SHARE: f64 = 0.4;

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSource {
    Caller,
    /// Another daemon, which is cut off from the servers, handed it over.
    Daemon {
        /// Whether that daemon has counted it for the retry budget.
        is_counted: bool,
    },
}

/// A caller's request.
#[derive(Debug)]
pub struct Call {
    pub gateway: Arc<Gateway>,
    pub source: CallSource,
    /// None if the configuration has no accounts or the route is anonymous.
    pub account: Option<CallAccount>,
    pub authority: CallAuthority,
    pub parts: request::Parts,
    pub head: RequestHead,
    pub body: Bytes,
    pub arrived_at: Timestamp,
    pub deadline: Timestamp,
    pub execution: ExecutionState,
    /// Set while the request is the trial of prompt parts that are suspected to crash engines.
    pub trial: Mutex<Option<Arc<TrialGuard>>>,
    /// What the end of a server counts against while it serves the request: the shared parts of its
    /// prompt, and then the request as a whole.
    pub blamable_parts: Vec<PartFingerprint>,
}

/// Whether a server may have run a request.
#[derive(Debug, Default)]
pub struct ExecutionState {
    /// Whether a send is in progress that may reach a server.
    is_sent: AtomicBool,
    /// Whether a server has run the request, or a send has ended without proof that none did.
    has_run: AtomicBool,
    /// Whether a server may have got the request, or its prefill.
    has_arrived: AtomicBool,
    /// Whether the request is counted for its account.
    is_counted: AtomicBool,
    /// Whether the response waits for memory of this daemon instead of its server.
    waits_for_memory: AtomicBool,
    /// Servers that have refused the request, or its prefill.
    refusals: Mutex<Vec<EngineKey>>,
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

    /// Records that a server may have got the request, or its prefill.
    pub fn record_arrival(&self) {
        self.has_arrived.store(true, Ordering::Relaxed);
    }

    /// Records why a server didn't run the request.
    pub fn record_reason(&self, server: EngineKey, reason: NotRunReason) {
        match reason {
            NotRunReason::Rejected | NotRunReason::Misdirected => {
                self.record_arrival();
                self.refusals.lock().push(server);
            }
            NotRunReason::Unreachable => {}
        }
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

impl CallRoute {
    /// Returns the pause between events, in milliseconds, with which all streams of the service are
    /// on time.
    pub fn event_pause_ms(&self) -> f64 {
        let service = self.configuration.service(&self.service);
        let pause = service.map_or(self.row.event_pause, |service| service.event_pause);
        pause.as_secs_f64() * 1000.0
    }
}

impl Call {
    /// Returns the parts of a request that may be what crashes a server.
    ///
    /// The request as a whole has two fingerprints if its path has a query, without it and with it.
    /// Requests that differ in the query may be alike in what matters, and the evidence tells whether
    /// they are.
    pub fn blamable_parts(
        parts: &request::Parts,
        body: &Bytes,
        head: &RequestHead,
    ) -> Vec<PartFingerprint> {
        let prompt = &head.prompt;
        let hash_after = |hash: u64, text: &str| xxh3::xxh3_64_with_seed(text.as_bytes(), hash);
        let mut hash = hash_after(xxh3::xxh3_64(body), parts.method.as_str());
        hash = hash_after(hash_after(hash, &head.host), &head.path);
        // A prompt without a body is identified by its parts.
        if let Some(part) = prompt.parts.last().filter(|_| body.is_empty()) {
            hash = xxh3::xxh3_64_with_seed(&part.key.0.to_le_bytes(), hash);
        }
        let query = parts.uri.query().map(|query| hash_after(hash, query));
        let hashes = std::iter::once(hash).chain(query);
        let shared_parts = prompt.shared_parts.iter().copied();
        shared_parts.chain(hashes.map(PartFingerprint::of_request)).collect()
    }

    /// Returns the name of the request's account.
    pub fn account_name(&self) -> Option<&str> {
        self.account.as_ref().map(|account| account.name.as_str())
    }

    /// Returns the request's scheduling priority: that of its account or else of its route.
    pub fn priority(&self, route: &CallRoute) -> u8 {
        let priority = self.account.as_ref().and_then(|account| account.priority);
        priority.unwrap_or(route.row.priority)
    }

    /// Returns what servers are told about the request's account.
    pub fn sent_account(&self) -> SentAccount<'_> {
        accounts::sent_account(self.account.as_ref(), self.authority)
    }

    /// Authorizes the request again, by the configuration that is the newest one now.
    ///
    /// # Errors
    ///
    /// Returns the response for the caller if the request isn't authorized any more.
    pub fn check_access(&self) -> Result<(), LocalResponse> {
        let gate = self.gateway.account_gate();
        gate.check(&self.head, self.account.as_ref(), self.authority).map_err(|refusal| {
            refusal.log(&self.head.request_id);
            let decision = refusal.decision.to_string();
            self.gateway.metrics.access_refusals.with_label_values(&[&decision]).inc();
            refusal.response()
        })
    }

    /// Waits until the request may be sent to a server, as far as it may crash servers, and authorizes
    /// it again.
    ///
    /// # Errors
    ///
    /// Returns the response for the caller if the request may not be sent.
    pub async fn admit(&self) -> Result<(), LocalResponse> {
        crashes::admit(self).await?;
        self.check_access()
    }

    /// Counts the request for its account when it begins to run, once for all its sends.
    pub fn record_usage(&self) {
        if let Some(account) = &self.account {
            if !self.execution.is_counted.swap(true, Ordering::Relaxed) {
                self.gateway.usage.record(&account.name);
            }
        }
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
        let is_cut = || self.gateway.state.lock().is_cut(&route.service);
        if is_cut() {
            match self.source {
                CallSource::Daemon { .. } => return forward::not_taken(),
                CallSource::Caller => {
                    if let Some(response) = forward::forward(self, route, false).await {
                        return response;
                    }
                }
            }
        }
        if self.source != (CallSource::Daemon { is_counted: true }) {
            let now = self.gateway.now();
            let window = self.gateway.limits.lock().retry_allowance.window;
            self.gateway.state.lock().record_request(&route.service, window, now);
        }
        let service = route.configuration.service(&route.service);
        let answer = match service.and_then(|service| service.engine) {
            Some(spec) => prompt_call::run(self, route, spec).await,
            None => self.run_plain(route).await,
        };
        let is_unsent = !self.execution.has_arrived.load(Ordering::Relaxed);
        if answer.is_err() && is_unsent && self.source == CallSource::Caller && is_cut() {
            if let Some(response) = forward::forward(self, route, true).await {
                return response;
            }
        }
        match answer {
            Ok(response) => response,
            Err(answer) => {
                let mut response = self.refuse(answer, log_reason(answer));
                let is_handed_over = matches!(self.source, CallSource::Daemon { .. });
                if is_handed_over && is_unsent && answer.guarantees_not_run() {
                    forward::mark_not_taken(&mut response);
                }
                response
            }
        }
    }

    /// Creates a response of the gateway itself and logs the reason. A response that guarantees
    /// that the request hasn't run is replaced if the request may have run.
    pub fn refuse(&self, answer: LocalResponse, reason: &str) -> Response<ResponseBody> {
        let is_contradicted = answer.guarantees_not_run() && self.may_have_run();
        let answer = if is_contradicted { LocalResponse::BackendFailed } else { answer };
        let waited_ms = self.gateway.now().since(self.arrived_at).as_millis() as u64;
        let id = &self.head.request_id;
        let account = self.account_name();
        tracing::info!(request = %id, account, answer = ?answer, reason, waited_ms, "responded without a backend server");
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

    /// Returns which connections a send of the request to a server may use. `may_repeat` states whether
    /// what is sent may run more than once.
    pub fn connection_choice(&self, server: EngineKey, may_repeat: bool) -> ConnectionChoice {
        if !may_repeat {
            ConnectionChoice::New { unread: Some(self.time_left()) }
        } else if self.execution.refusals.lock().contains(&server) {
            ConnectionChoice::New { unread: None }
        } else {
            ConnectionChoice::Pooled
        }
    }

    async fn run_plain(&self, route: &CallRoute) -> Result<Response<ResponseBody>, LocalResponse> {
        let mut excluded: Vec<EngineKey> = Vec::new();
        // Attempts that have run or may have run.
        let mut runs = 0;
        let mut last = None;
        loop {
            match self.admit().await {
                Ok(()) => {}
                // A refusal guarantees that nothing ran, and an earlier attempt may have run.
                Err(_) if runs > 0 => break,
                Err(answer) => return Err(answer),
            }
            let Some(target) = self.choose_plain(route, &excluded) else {
                break;
            };
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
                    let is_trial = self.trial.lock().is_some();
                    if is_trial || !can_repeat {
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
            account = self.account_name(),
            server = %server.entry.id,
            presence = ?server.presence,
            list_age_ms = state.list_age_ms(now),
            configuration_age_ms = gateway.configuration_age_ms(&state),
            requests = server.requests(),
            tries = excluded.len(),
            blamable_parts = prompt::describe_parts(&self.blamable_parts),
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
            account: self.sent_account(),
        };
        let choice = self.connection_choice(target.key, route.row.kind.is_idempotent());
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
                    self.execution.record_arrival();
                    self.record_usage();
                    self.read_plain(route.row.kind, target, *answer).await
                }
                SendOutcome::NotRun(reason) => {
                    let id = &self.head.request_id;
                    tracing::info!(request = %id, server = %target.id, %reason, "request not run by server");
                    self.execution.record_reason(target.key, reason);
                    PlainAttempt::NotRun
                }
                SendOutcome::Unknown(_) => {
                    self.execution.record_arrival();
                    crashes::record_interruption(self, target);
                    PlainAttempt::Failed(Err(LocalResponse::BackendFailed))
                }
            }
        };
        let limit = if can_repeat { time_left.mul_f64(ATTEMPT_SHARE) } else { time_left };
        let outcome = match self.gateway.clock.timeout(limit, work).await {
            Ok(outcome) => outcome,
            // The server has responded, and isn't to blame.
            Err(_) if self.execution.waits_for_memory.swap(false, Ordering::Relaxed) => {
                let id = &self.head.request_id;
                tracing::info!(request = %id, server = %target.id, "no memory for a response in time");
                PlainAttempt::Failed(Err(LocalResponse::TimedOut))
            }
            Err(_) => {
                self.execution.record_arrival();
                send::record_failure(&self.gateway, target, "no response in time");
                crashes::record_interruption(self, target);
                PlainAttempt::Failed(Err(LocalResponse::TimedOut))
            }
        };
        match outcome {
            PlainAttempt::NotRun => self.execution.record_not_run(),
            PlainAttempt::Responded(_) | PlainAttempt::Failed(_) => self.execution.record_run(),
        }
        outcome
    }

    async fn read_response(&self, body: ArrivingBody) -> Result<Bytes, ReadError> {
        let memory = &self.gateway.memory;
        let is_waiting = &self.execution.waits_for_memory;
        let caller = &self.parts.extensions;
        memory.read_response(body, PLAIN_RESPONSE_LIMIT_BYTES, caller, is_waiting).await
    }

    /// Reads the complete response, so that a truncated one isn't forwarded.
    async fn read_plain(
        &self,
        kind: RouteKind,
        target: &SendTarget,
        answer: SendResponse,
    ) -> PlainAttempt {
        let has_events = engine::has_events(&answer.response, kind);
        if answer.response.status().is_success() {
            send::record_response(&self.gateway, target.key, answer.sent_at);
        }
        let framing = engine::body_framing(answer.response.headers());
        let (mut parts, body) = answer.response.into_parts();
        let body = match self.read_response(body).await {
            Ok(body) => body,
            Err(error) => {
                send::record_failure(&self.gateway, target, &error.to_string());
                crashes::record_interruption(self, target);
                return PlainAttempt::Failed(Err(LocalResponse::BackendFailed));
            }
        };
        if has_events && !EventTracker::after(&body).is_complete(framing) {
            send::record_failure(&self.gateway, target, "the response ended inside an event");
            crashes::record_interruption(self, target);
            return PlainAttempt::Failed(Err(LocalResponse::BackendFailed));
        }
        if !engine::closes_connection(&parts.headers) {
            let idle = engine::idle_limit(&parts.headers);
            send::return_connection(&self.gateway, target.key, answer.connection, idle).await;
        }
        front::strip_connection_headers(&mut parts.headers);
        let is_failure = parts.status.is_server_error();
        if !is_failure {
            send::record_success(&self.gateway, target.key);
        }
        if parts.status.is_success() {
            let trial = self.trial.lock().clone();
            let gateway = &self.gateway;
            crashes::record_completion(gateway, target, &self.blamable_parts, framing, trial);
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
        LocalResponse::Unauthorized => "the request's API key is no longer valid",
        LocalResponse::BadRequest
        | LocalResponse::UnknownRoute
        | LocalResponse::BodyTooLarge
        | LocalResponse::BodyTimeout => "the request was not accepted",
    }
}
