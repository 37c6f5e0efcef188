//! One completion across all its attempts.
//!
//! If an engine crashes or stops sending in the middle of a response, the next
//! engine gets the prompt and the position to resume from. The assembler delivers
//! each position once.

mod choice;

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use gooseberry_core::{
    arena::{EngineKey, ModelKey},
    poison::{PoisonStatus, RequestFingerprint},
    prefix,
    refusal::{RefusalReason, RequestRefusal},
    routing::RouteDecision,
    stream::{AttemptNumber, StreamAssembler, TokenVerdict},
    time::Timestamp,
};
use gooseberry_edges::{
    clock::Clock,
    engine::{EngineError, TokenStream},
    stop::StopSignal,
};
use gooseberry_wire::engine::{CompletionChunk, CompletionRequest};
use smol_str::SmolStr;

use crate::{
    callers::{
        placement::{self, SendTracker},
        refusals,
        request::AcceptedRequest,
        split::SplitPlan,
        stream_guard::StreamGuard,
    },
    context::DaemonContext,
    poison::{self, TrialGuard},
    routing::AdmissionGuard,
    snapshot::FleetSnapshot,
};

/// Time without a token or heartbeat after which a connection is closed. With one
/// more attempt at the same engine, another engine takes over within twice this
/// time plus the time to connect.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// One completion with the state of its attempts.
pub struct CompletionRun {
    context: Arc<DaemonContext>,
    snapshot: Arc<FleetSnapshot>,
    model: ModelKey,
    deadline: Timestamp,
    request: CompletionRequest,
    prompt_tokens: u32,
    /// Hashes of the prompt's pieces. A piece is a KV cache block.
    pieces: Vec<u64>,
    /// Routing decision that admission control was based on, for the first attempt.
    planned: Option<RouteDecision>,
    admission: Option<AdmissionGuard>,
    /// Prefill and decode engines, for the first attempt only.
    split: Option<SplitPlan>,
    assembler: StreamAssembler,
    current: Option<RunningAttempt>,
    attempts: u32,
    excluded: Vec<EngineKey>,
    /// Attempt whose connection timed out, to be resumed at the same engine.
    timed_out: Option<PlacedAttempt>,
    /// Position at which a stream was last resumed at the same engine.
    resumed_at: Option<u32>,
    /// Whether bytes of the request may have reached an engine.
    sent: bool,
    /// Whether the last attempt reached its engine.
    reached: bool,
    fingerprint: RequestFingerprint,
    service: SmolStr,
}

/// Attempt in progress.
struct RunningAttempt {
    number: AttemptNumber,
    engine: EngineKey,
    stream: Box<dyn TokenStream>,
    guard: StreamGuard,
    /// Incarnation of the engine's process when the attempt began.
    incarnation: Option<u64>,
    /// Reservation of the engine, if the request is a suspect on trial.
    trial: Option<TrialGuard>,
    tracker: SendTracker,
}

/// Engine of an attempt that isn't running yet.
struct PlacedAttempt {
    engine: EngineKey,
    trial: Option<TrialGuard>,
    tracker: SendTracker,
}

impl CompletionRun {
    /// Prepares a completion. Nothing is sent yet.
    pub fn new(accepted: &AcceptedRequest, model: ModelKey, request: CompletionRequest) -> Self {
        Self {
            service: accepted.snapshot.fleet.services[accepted.service].name.clone(),
            prompt_tokens: prefix::count_tokens(&request.prompt),
            pieces: placement::pieces(&accepted.snapshot, model, &request.prompt),
            planned: None,
            admission: None,
            split: None,
            fingerprint: poison::fingerprint(&request),
            context: Arc::clone(&accepted.context),
            snapshot: Arc::clone(&accepted.snapshot),
            model,
            deadline: accepted.deadline,
            request,
            assembler: StreamAssembler::default(),
            current: None,
            attempts: 0,
            excluded: Vec::new(),
            timed_out: None,
            resumed_at: None,
            sent: false,
            reached: false,
        }
    }

    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// Returns the requested number of output tokens.
    pub fn output_tokens(&self) -> u32 {
        self.request.max_tokens
    }

    /// Keeps an admission until the completion ends.
    pub fn set_admission(&mut self, admission: AdmissionGuard) {
        self.admission = Some(admission);
    }

    /// Waits for the next token. Returns `None` once the response is complete.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if the deadline passes, the daemon's drain times
    /// out or no engine can continue.
    pub async fn next(&mut self) -> Result<Option<CompletionChunk>, RequestRefusal> {
        let left = self.time_left();
        let clock = self.context.clock.clone();
        let drain_deadline = self.context.drain_deadline.clone();
        let token = async { Some(self.next_token().await) };
        let drain_timed_out = async {
            drain_deadline.wait().await;
            None
        };
        match clock.timeout(left, token.or(drain_timed_out)).await {
            Ok(Some(result)) => result,
            Ok(None) => Err(self.drain_timed_out()),
            Err(_) => Err(self.deadline_passed()),
        }
    }

    /// Returns the clock that the run uses.
    pub fn clock(&self) -> Clock {
        self.context.clock.clone()
    }

    /// Returns the signal that ends the remaining requests of a stopping daemon.
    pub fn drain_deadline(&self) -> StopSignal {
        self.context.drain_deadline.clone()
    }

    /// Returns the final refusal after the deadline has passed.
    pub fn deadline_passed(&self) -> RequestRefusal {
        self.refuse(RefusalReason::DeadlineUnmeetable)
    }

    /// Returns the final refusal of a run that didn't end before the daemon's drain
    /// timed out.
    pub fn drain_timed_out(&self) -> RequestRefusal {
        self.refuse(RefusalReason::ShuttingDown)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    async fn next_token(&mut self) -> Result<Option<CompletionChunk>, RequestRefusal> {
        loop {
            let Some(attempt) = &mut self.current else {
                self.open_stream().await?;
                continue;
            };
            match attempt.stream.next().await {
                Ok(Some(chunk)) => {
                    if self.accept_token(&chunk) {
                        return Ok(Some(chunk));
                    }
                }
                Ok(None) => {
                    self.finish().await;
                    return Ok(None);
                }
                Err(error) => self.fail_attempt(&error).await,
            }
        }
    }

    /// Returns whether a token is the next one of this response.
    fn accept_token(&mut self, chunk: &CompletionChunk) -> bool {
        let Some(attempt) = &self.current else { return false };
        if Some(chunk.id.as_str()) != self.request.stream_id.as_deref() {
            tracing::error!(found = chunk.id, "engine sent a token with the id of another stream");
            self.exclude_current();
            return false;
        }
        match self.assembler.accept(attempt.number, chunk.position) {
            TokenVerdict::Deliver => {
                self.record_token(chunk);
                true
            }
            TokenVerdict::Duplicate | TokenVerdict::OtherAttempt => false,
            TokenVerdict::Gap { expected } => {
                tracing::warn!(expected, found = chunk.position, "stream skipped a position");
                self.exclude_current();
                false
            }
        }
    }

    fn record_token(&mut self, chunk: &CompletionChunk) {
        let Some(attempt) = &mut self.current else { return };
        let entry = &self.snapshot.engines[attempt.engine];
        let bytes = chunk.choices.first().map_or(0, |choice| choice.text.len());
        attempt.tracker.observe_token(&self.context, entry, &self.pieces, bytes);
    }

    async fn finish(&mut self) {
        let Some(mut attempt) = self.current.take() else { return };
        attempt.guard.disarm();
        let poison = &self.context.poison;
        if poison.status(self.fingerprint) == PoisonStatus::Suspect {
            poison.clear(self.fingerprint).await;
        }
    }

    /// Ends a failed attempt. A timeout doesn't show that the engine has failed, so
    /// the stream is requested there once more before another engine computes the
    /// prompt again.
    async fn fail_attempt(&mut self, error: &EngineError) {
        let may_resume = error.is_timeout() && self.may_resume();
        let Some(mut attempt) = self.current.take() else { return };
        if may_resume {
            attempt.guard.disarm();
            let RunningAttempt { engine, trial, tracker, .. } = attempt;
            self.timed_out = Some(PlacedAttempt { engine, trial, tracker });
            return;
        }
        let engine = &self.snapshot.fleet.engines[attempt.engine].name;
        tracing::warn!(%engine, %error, "attempt failed");
        self.excluded.push(attempt.engine);
        if error.is_disconnect() {
            self.check_for_crash(attempt.engine, attempt.incarnation, attempt.trial).await;
        }
    }

    /// Checks whether the engine of a broken connection has crashed, before the
    /// request runs anywhere else. The check continues in the background if the
    /// deadline ends the wait for it, so that the caller's next try uses its
    /// result.
    async fn check_for_crash(
        &self,
        engine: EngineKey,
        incarnation: Option<u64>,
        trial: Option<TrialGuard>,
    ) {
        let context = Arc::clone(&self.context);
        let row = &self.snapshot.fleet.engines[engine];
        let (name, address) = (row.name.clone(), row.address.clone());
        let fingerprint = self.fingerprint;
        let check = task::spawn(async move {
            let engines = context.engines.as_ref();
            if poison::has_crashed(engines, &context.clock, &address, incarnation).await {
                context.poison.record_crash(fingerprint, trial.is_some()).await;
            } else {
                tracing::info!(
                    engine = %name,
                    incarnation,
                    "connection to engine ended, but the engine hasn't crashed"
                );
            }
        });
        check.await;
    }

    /// Returns whether the response has progressed since it was last resumed, so
    /// that an engine that sends nothing isn't asked repeatedly.
    fn may_resume(&self) -> bool {
        self.resumed_at != Some(self.assembler.next_position())
    }

    fn exclude_current(&mut self) {
        if let Some(attempt) = self.current.take() {
            self.excluded.push(attempt.engine);
        }
    }

    async fn open_stream(&mut self) -> Result<(), RequestRefusal> {
        let PlacedAttempt { engine, trial, tracker } = match self.timed_out.take() {
            Some(attempt) => {
                self.record_resumption(attempt.engine);
                attempt
            }
            None => self.place_attempt().await?,
        };
        let address = self.snapshot.fleet.engines[engine].address.clone();
        let incarnation = self.incarnation(engine);
        self.request.resume_from = self.assembler.next_position();
        let stream_id = self.request.stream_id.as_deref().unwrap_or_default();
        let mut guard = StreamGuard::new(&self.context, &address, stream_id);
        // The deadline may end the wait for the response head. From here on the
        // engine may run the request, unless the error proves that it didn't
        // receive it.
        let sent_before = std::mem::replace(&mut self.sent, true);
        let context = Arc::clone(&self.context);
        match context.engines.complete(&address, &self.request, READ_TIMEOUT).await {
            Ok(stream) => {
                let number = self.assembler.start_attempt();
                self.current = Some(RunningAttempt {
                    number,
                    engine,
                    stream,
                    guard,
                    incarnation,
                    trial,
                    tracker,
                });
            }
            Err(error) => {
                self.sent = sent_before || error.may_have_run();
                self.reached = !matches!(error, EngineError::Unreachable(_));
                let name = &self.snapshot.fleet.engines[engine].name;
                tracing::warn!(engine = %name, %error, "attempt failed");
                if error.is_timeout() && self.may_resume() {
                    guard.disarm();
                    self.timed_out = Some(PlacedAttempt { engine, trial, tracker });
                    return Ok(());
                }
                if !error.may_have_run() {
                    guard.disarm();
                }
                self.excluded.push(engine);
                if error.is_disconnect() {
                    self.check_for_crash(engine, incarnation, trial).await;
                }
            }
        }
        Ok(())
    }

    /// Returns the incarnation that an engine last reported.
    fn incarnation(&self, engine: EngineKey) -> Option<u64> {
        let newest = self.context.snapshot.load();
        let same_revision = newest.fleet.revision == self.snapshot.fleet.revision;
        let snapshot = if same_revision { &newest } else { &self.snapshot };
        snapshot.engines[engine].report.as_ref().map(|report| report.incarnation)
    }

    fn refuse(&self, reason: RefusalReason) -> RequestRefusal {
        let refusal = if self.sent {
            RequestRefusal::unknown(reason)
        } else {
            RequestRefusal::not_executed(reason)
        };
        refusal.retry_after(refusals::RETRY_AFTER)
    }
}

/// Returns a name for a stream at the engines, unique across all daemons.
pub fn stream_name(context: &DaemonContext) -> SmolStr {
    smol_str::format_smolstr!("{}-{:016x}", context.settings.name, rand::random::<u64>())
}
