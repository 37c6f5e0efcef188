//! One completion over all its attempts.
//!
//! An engine that dies or falls silent in the middle is replaced: the next one
//! gets the prompt and the position to go on from, and the assembler lets each
//! position pass once.

use std::{ops::Range, sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::{
    arena::{EngineKey, ModelKey},
    poison::{PoisonVerdict, RequestFingerprint},
    prefix,
    refusal::{RefusalReason, RequestRefusal},
    routing::{self, RouteDecision, RouteRequest},
    stream::{AttemptNumber, StreamAssembler, TokenVerdict},
    time::Timestamp,
};
use gooseberry_edges::{
    clock::Clock,
    engine::{EngineError, TokenStream},
};
use gooseberry_wire::engine::{CompletionChunk, CompletionRequest};
use smol_str::SmolStr;

use crate::{
    callers::{held::HeldStream, refusals, request::AcceptedRequest},
    context::DaemonContext,
    poison::{self, HeldTrial},
    retries::SPENT_RETRY,
    snapshot::{FleetSnapshot, OutstandingGuard},
};

/// Time without a token or heartbeat after which a connection is given up. With
/// one more try at the same engine, another engine goes on within twice this
/// time and the time for opening a connection.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Pause before a suspect asks for a trial again, in milliseconds.
const TRIAL_PAUSE: Range<u64> = 20..80;

/// Runs one completion.
pub struct CompletionRun {
    context: Arc<DaemonContext>,
    snapshot: Arc<FleetSnapshot>,
    model: ModelKey,
    deadline: Timestamp,
    request: CompletionRequest,
    prompt_tokens: u32,
    assembler: StreamAssembler,
    current: Option<RunningAttempt>,
    attempts: u32,
    excluded: Vec<EngineKey>,
    /// Engine whose connection went silent, to be asked for the stream again.
    silent: Option<(EngineKey, Option<HeldTrial>)>,
    /// Position at which a stream was last resumed at its own engine.
    resumed_at: Option<u32>,
    /// Whether bytes of the request may have reached an engine.
    sent: bool,
    /// Whether the last attempt reached its engine.
    reached: bool,
    fingerprint: RequestFingerprint,
    service: SmolStr,
}

/// Holds the attempt that runs now.
struct RunningAttempt {
    number: AttemptNumber,
    engine: EngineKey,
    stream: Box<dyn TokenStream>,
    held: HeldStream,
    /// Process of the engine when the attempt began.
    incarnation: Option<u64>,
    /// Trial that the attempt is, if the request is a suspect.
    trial: Option<HeldTrial>,
    _outstanding: OutstandingGuard,
}

impl CompletionRun {
    /// Prepares a completion; nothing is sent yet.
    pub fn new(accepted: &AcceptedRequest, model: ModelKey, request: CompletionRequest) -> Self {
        Self {
            service: accepted.snapshot.fleet.services[accepted.service].name.clone(),
            prompt_tokens: prefix::count_tokens(&request.prompt),
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
            silent: None,
            resumed_at: None,
            sent: false,
            reached: false,
        }
    }

    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// Waits for the next token; nothing once the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if the deadline passes or no engine can go on.
    pub async fn next(&mut self) -> Result<Option<CompletionChunk>, RequestRefusal> {
        let left = self.time_left();
        let clock = self.context.clock.clone();
        match clock.timeout(left, self.next_token()).await {
            Ok(result) => result,
            Err(_) => Err(self.deadline_passed()),
        }
    }

    /// Returns the clock that the run follows.
    pub fn clock(&self) -> Clock {
        self.context.clock.clone()
    }

    /// Returns the final refusal of a run whose deadline has passed.
    pub fn deadline_passed(&self) -> RequestRefusal {
        self.refuse(RefusalReason::DeadlineUnmeetable)
    }

    /// Returns the time that is left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    async fn next_token(&mut self) -> Result<Option<CompletionChunk>, RequestRefusal> {
        loop {
            let Some(attempt) = &mut self.current else {
                self.open().await?;
                continue;
            };
            match attempt.stream.next().await {
                Ok(Some(chunk)) => {
                    if self.judge(&chunk) {
                        return Ok(Some(chunk));
                    }
                }
                Ok(None) => {
                    self.finish().await;
                    return Ok(None);
                }
                Err(error) => self.give_up(&error).await,
            }
        }
    }

    /// Tells whether a token is the next one of this answer.
    fn judge(&mut self, chunk: &CompletionChunk) -> bool {
        let Some(attempt) = &self.current else { return false };
        if Some(chunk.id.as_str()) != self.request.stream_id.as_deref() {
            tracing::error!(found = chunk.id, "an engine sent a token of another stream");
            self.exclude_current();
            return false;
        }
        match self.assembler.accept(attempt.number, chunk.position) {
            TokenVerdict::Deliver => true,
            TokenVerdict::Duplicate | TokenVerdict::Foreign => false,
            TokenVerdict::Gap { expected } => {
                tracing::warn!(expected, found = chunk.position, "gap in a stream");
                self.exclude_current();
                false
            }
        }
    }

    async fn finish(&mut self) {
        let Some(mut attempt) = self.current.take() else { return };
        attempt.held.keep();
        let poison = &self.context.poison;
        if poison.judge(self.fingerprint) == PoisonVerdict::Suspect {
            poison.acquit(self.fingerprint).await;
        }
    }

    /// Ends a failed attempt. A silent connection says nothing about its
    /// engine, so the stream is asked for there once more before another
    /// engine computes the prompt again.
    async fn give_up(&mut self, error: &EngineError) {
        let may_resume = error.is_silence() && self.may_resume();
        let Some(mut attempt) = self.current.take() else { return };
        if may_resume {
            attempt.held.keep();
            self.silent = Some((attempt.engine, attempt.trial.take()));
            return;
        }
        let engine = &self.snapshot.fleet.engines[attempt.engine].name;
        tracing::warn!(%engine, %error, "an attempt failed");
        self.excluded.push(attempt.engine);
        if error.is_break() {
            self.look_for_crash(attempt.engine, attempt.incarnation, attempt.trial).await;
        }
    }

    /// Finds out whether the engine of a broken attempt has crashed, before the
    /// request runs anywhere else. The look goes on if the deadline ends the
    /// wait for it, so that the next try finds what it shows.
    async fn look_for_crash(
        &self,
        engine: EngineKey,
        incarnation: Option<u64>,
        trial: Option<HeldTrial>,
    ) {
        let context = Arc::clone(&self.context);
        let row = &self.snapshot.fleet.engines[engine];
        let (name, address) = (row.name.clone(), row.address.clone());
        let fingerprint = self.fingerprint;
        let look = task::spawn(async move {
            let engines = context.engines.as_ref();
            if poison::has_crashed(engines, &context.clock, &address, incarnation).await {
                context.poison.note_crash(fingerprint, trial.is_some()).await;
            } else {
                tracing::info!(engine = %name, incarnation, "a connection broke without a crash");
            }
        });
        look.await;
    }

    /// Tells whether the answer went on since it was last resumed, so that a
    /// silent engine isn't asked again and again.
    fn may_resume(&self) -> bool {
        self.resumed_at != Some(self.assembler.next_position())
    }

    fn exclude_current(&mut self) {
        if let Some(attempt) = self.current.take() {
            self.excluded.push(attempt.engine);
        }
    }

    async fn open(&mut self) -> Result<(), RequestRefusal> {
        let (engine, trial) = match self.silent.take() {
            Some((engine, trial)) => (self.resume_at(engine), trial),
            None => {
                let placed = self.place().await?;
                self.spend_attempt()?;
                placed
            }
        };
        let outstanding = self.snapshot.engines[engine].gauge.start(self.prompt_tokens);
        let address = self.snapshot.fleet.engines[engine].address.clone();
        let incarnation = self.incarnation(engine);
        self.request.resume_from = self.assembler.next_position();
        let stream_id = self.request.stream_id.as_deref().unwrap_or_default();
        let mut held = HeldStream::new(&self.context, &address, stream_id);
        // The deadline may end the wait for the answer's head: from here on the
        // engine may run the request, unless it provably didn't get it.
        let sent_before = std::mem::replace(&mut self.sent, true);
        let context = Arc::clone(&self.context);
        match context.engines.complete(&address, &self.request, SILENCE_LIMIT).await {
            Ok(stream) => {
                let number = self.assembler.start_attempt();
                self.current = Some(RunningAttempt {
                    number,
                    engine,
                    stream,
                    held,
                    incarnation,
                    trial,
                    _outstanding: outstanding,
                });
            }
            Err(error) => {
                self.sent = sent_before || error.may_have_run();
                self.reached = !matches!(error, EngineError::Unreachable(_));
                let name = &self.snapshot.fleet.engines[engine].name;
                tracing::warn!(engine = %name, %error, "an attempt failed");
                if error.is_silence() && self.may_resume() {
                    held.keep();
                    self.silent = Some((engine, trial));
                    return Ok(());
                }
                if !error.may_have_run() {
                    held.keep();
                }
                self.excluded.push(engine);
                if error.is_break() {
                    self.look_for_crash(engine, incarnation, trial).await;
                }
            }
        }
        Ok(())
    }

    /// Returns the process that an engine last reported.
    fn incarnation(&self, engine: EngineKey) -> Option<u64> {
        let newest = self.context.snapshot.load();
        let same_revision = newest.fleet.revision == self.snapshot.fleet.revision;
        let snapshot = if same_revision { &newest } else { &self.snapshot };
        snapshot.engines[engine].incarnation
    }

    /// Chooses an engine; a suspect waits until it can run on trial.
    async fn place(&mut self) -> Result<(EngineKey, Option<HeldTrial>), RequestRefusal> {
        loop {
            match self.context.poison.judge(self.fingerprint) {
                PoisonVerdict::Innocent => return Ok((self.choose_engine()?, None)),
                PoisonVerdict::Convicted => {
                    return Err(RequestRefusal::unknown(RefusalReason::Convicted));
                }
                PoisonVerdict::Suspect => {}
            }
            if let Some((engine, trial)) = self.begin_trial().await? {
                return Ok((engine, Some(trial)));
            }
            // Daemons that refuse each other must not ask again at once.
            let pause = rand::random_range(TRIAL_PAUSE);
            self.context.clock.sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Asks for a trial on an engine without one.
    async fn begin_trial(&mut self) -> Result<Option<(EngineKey, HeldTrial)>, RequestRefusal> {
        let has_attempts = self.attempts < self.snapshot.fleet.limits.attempts;
        let excluded = self.excluded.len();
        let poison = Arc::clone(&self.context.poison);
        let engines = self.snapshot.fleet.engines.iter();
        let on_trial = engines.filter(|(_, row)| poison.is_on_trial(&row.name));
        self.excluded.extend(on_trial.map(|(engine, _)| engine));
        let has_trials = self.excluded.len() > excluded;
        let chosen = self.choose_engine();
        self.excluded.truncate(excluded);
        let engine = match chosen {
            Ok(engine) => engine,
            Err(_) if has_trials && has_attempts => return Ok(None),
            Err(refusal) => return Err(refusal),
        };
        let name = &self.snapshot.fleet.engines[engine].name;
        let trial = poison.begin_trial(self.fingerprint, name, self.time_left()).await;
        if trial.is_none() {
            self.attempts -= 1;
        }
        Ok(trial.map(|trial| (engine, trial)))
    }

    /// Counts an attempt against the service's retry budget. Only an engine
    /// that was reached has had work from the attempt before.
    fn spend_attempt(&mut self) -> Result<(), RequestRefusal> {
        let retries = &self.context.retries;
        let share = self.snapshot.fleet.limits.retry_share;
        if self.attempts == 1 {
            retries.note_first(&self.service);
        } else if self.reached && !retries.try_retry(&self.service, share) {
            let refusal = self.refuse(RefusalReason::RetryBudgetSpent);
            return Err(refusal.retry_after(SPENT_RETRY));
        }
        self.reached = true;
        Ok(())
    }

    fn resume_at(&mut self, engine: EngineKey) -> EngineKey {
        let position = self.assembler.next_position();
        self.resumed_at = Some(position);
        let name = &self.snapshot.fleet.engines[engine].name;
        let request = self.request.stream_id.as_deref();
        tracing::info!(request, engine = %name, position, "resuming at the same engine");
        engine
    }

    /// Chooses the engine of the next attempt.
    fn choose_engine(&mut self) -> Result<EngineKey, RequestRefusal> {
        if self.attempts >= self.snapshot.fleet.limits.attempts {
            return Err(self.refuse(RefusalReason::BackendFailed));
        }
        let Some(decision) = self.route() else {
            let reason = if self.attempts == 0 {
                RefusalReason::NoBackend(self.snapshot.fleet.models[self.model].name.clone())
            } else {
                RefusalReason::BackendFailed
            };
            return Err(self.refuse(reason));
        };
        self.attempts += 1;
        Ok(decision.engine)
    }

    fn route(&self) -> Option<RouteDecision> {
        // The newest view of the engines is used, but never another revision's
        // keys: a request ends under the revision that it was accepted with.
        let newest = self.context.snapshot.load_full();
        let same_revision = newest.fleet.revision == self.snapshot.fleet.revision;
        let snapshot = if same_revision { &newest } else { &self.snapshot };
        let request = RouteRequest {
            model: self.model,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.request.max_tokens,
        };
        let excluded = |engine| self.excluded.contains(&engine);
        let decision = routing::choose(&request, snapshot.engine_views(), |_| 0, excluded)?;
        self.log(&decision);
        Some(decision)
    }

    fn log(&self, decision: &RouteDecision) {
        let name = |engine: EngineKey| &self.snapshot.fleet.engines[engine].name;
        tracing::info!(
            request = self.request.stream_id.as_deref(),
            engine = %name(decision.engine),
            reason = %decision.reason,
            wait_ms = decision.wait.as_millis() as u64,
            runner_up = decision.runner_up.map(|engine| name(engine).as_str()),
            attempt = self.attempts + 1,
            revision = self.snapshot.fleet.revision,
            "routed"
        );
    }

    fn refuse(&self, reason: RefusalReason) -> RequestRefusal {
        let refusal = if self.sent {
            RequestRefusal::unknown(reason)
        } else {
            RequestRefusal::not_executed(reason)
        };
        refusal.retry_after(refusals::SHORT_RETRY)
    }
}

/// Makes the name of a stream towards the engines, unique over all daemons.
pub fn stream_name(context: &DaemonContext) -> SmolStr {
    smol_str::format_smolstr!("{}-{:016x}", context.settings.name, rand::random::<u64>())
}
