//! One completion over all its attempts.
//!
//! An engine that dies or falls silent in the middle is replaced: the next one
//! gets the prompt and the position to go on from, and the assembler lets each
//! position pass once.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{EngineKey, ModelKey},
    prefix,
    refusal::{RefusalReason, RequestRefusal},
    routing::{RouteDecision, RoutePhase},
    stream::{AttemptNumber, StreamAssembler, TokenVerdict},
    time::Timestamp,
};
use gooseberry_edges::engine::{EngineError, TokenStream};
use gooseberry_wire::engine::{CompletionChunk, CompletionRequest};
use smol_str::SmolStr;

use crate::{
    callers::{
        placement::{self, PlacedSend, PlacementQuery},
        refusals,
        split::{self, SplitPlan},
    },
    context::DaemonContext,
    routing::AdmissionGuard,
    snapshot::FleetSnapshot,
};

/// Time without a token or heartbeat after which an attempt is given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Runs one completion.
pub struct CompletionRun {
    context: Arc<DaemonContext>,
    snapshot: Arc<FleetSnapshot>,
    model: ModelKey,
    deadline: Timestamp,
    request: CompletionRequest,
    prompt_tokens: u32,
    /// Hashes of the prompt's cache pieces.
    pieces: Vec<u64>,
    /// Decision that admission was weighed with, for the first attempt.
    planned: Option<RouteDecision>,
    admission: Option<AdmissionGuard>,
    /// Engines for prompt and output, for the first attempt only.
    split: Option<SplitPlan>,
    assembler: StreamAssembler,
    current: Option<RunningAttempt>,
    attempts: u32,
    excluded: Vec<EngineKey>,
    /// Whether bytes of the request may have reached an engine.
    sent: bool,
}

/// Holds the attempt that runs now.
struct RunningAttempt {
    number: AttemptNumber,
    engine: EngineKey,
    stream: Box<dyn TokenStream>,
    placed: PlacedSend,
}

impl CompletionRun {
    /// Prepares a completion; nothing is sent yet.
    pub fn new(
        context: Arc<DaemonContext>,
        snapshot: Arc<FleetSnapshot>,
        model: ModelKey,
        deadline: Timestamp,
        request: CompletionRequest,
    ) -> Self {
        Self {
            prompt_tokens: prefix::count_tokens(&request.prompt),
            pieces: placement::pieces(&snapshot, model, &request.prompt),
            planned: None,
            admission: None,
            split: None,
            context,
            snapshot,
            model,
            deadline,
            request,
            assembler: StreamAssembler::default(),
            current: None,
            attempts: 0,
            excluded: Vec::new(),
            sent: false,
        }
    }

    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// Returns the number of output tokens that are asked for.
    pub fn output_tokens(&self) -> u32 {
        self.request.max_tokens
    }

    /// Decides on the first attempt, so that admission can weigh it.
    pub fn plan(&mut self) -> Option<RouteDecision> {
        let whole = self.route()?;
        self.planned = Some(whole);
        self.split = split::plan(&self.context, &self.snapshot, &self.query(), &whole);
        self.split.map(|plan| plan.as_decision()).or(self.planned)
    }

    /// Keeps an admission until the completion ends.
    pub fn hold(&mut self, admission: AdmissionGuard) {
        self.admission = Some(admission);
    }

    /// Waits for the next token; nothing once the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if the deadline passes or no engine can go on.
    pub async fn next(&mut self) -> Result<Option<CompletionChunk>, RequestRefusal> {
        let left = self.deadline.since(self.context.clock.now());
        let clock = self.context.clock.clone();
        match clock.timeout(left, self.next_token()).await {
            Ok(result) => result,
            Err(_) => Err(self.refuse(RefusalReason::DeadlineUnmeetable)),
        }
    }

    async fn next_token(&mut self) -> Result<Option<CompletionChunk>, RequestRefusal> {
        loop {
            let Some(attempt) = &mut self.current else {
                self.open().await?;
                continue;
            };
            match attempt.stream.next().await {
                Ok(Some(chunk)) => match self.assembler.accept(attempt.number, chunk.position) {
                    TokenVerdict::Deliver => {
                        let entry = &self.snapshot.engines[attempt.engine];
                        let bytes = chunk.choices.first().map_or(0, |choice| choice.text.len());
                        attempt.placed.token(&self.context, entry, &self.pieces, bytes);
                        return Ok(Some(chunk));
                    }
                    TokenVerdict::Duplicate | TokenVerdict::Foreign => {}
                    TokenVerdict::Gap { expected } => {
                        tracing::warn!(expected, found = chunk.position, "gap in a stream");
                        self.give_up_attempt();
                    }
                },
                Ok(None) => {
                    self.current = None;
                    return Ok(None);
                }
                Err(error) => {
                    let engine = &self.snapshot.fleet.engines[attempt.engine].name;
                    tracing::warn!(%engine, %error, "an attempt failed");
                    self.give_up_attempt();
                }
            }
        }
    }

    fn give_up_attempt(&mut self) {
        if let Some(attempt) = self.current.take() {
            self.excluded.push(attempt.engine);
        }
    }

    async fn open(&mut self) -> Result<(), RequestRefusal> {
        if self.attempts >= self.snapshot.fleet.limits.attempts {
            return Err(self.refuse(RefusalReason::BackendFailed));
        }
        let Some(decision) = self.next_decision().await else {
            let reason = if self.attempts == 0 {
                RefusalReason::NoBackend(self.snapshot.fleet.models[self.model].name.clone())
            } else {
                RefusalReason::BackendFailed
            };
            return Err(self.refuse(reason));
        };
        self.attempts += 1;
        let engine = decision.engine;
        let placed = self.begin(&decision);
        let address = self.snapshot.fleet.engines[engine].address.clone();
        self.request.resume_from = self.assembler.next_position();
        let context = Arc::clone(&self.context);
        let was_sent = self.sent;
        // The deadline may end this wait, and then bytes may have left.
        self.sent = true;
        match context.engines.complete(&address, &self.request, SILENCE_LIMIT).await {
            Ok(stream) => {
                let number = self.assembler.start_attempt();
                let attempt = RunningAttempt { number, engine, stream, placed };
                self.current = Some(attempt);
            }
            Err(error) => {
                self.sent = was_sent
                    || !matches!(error, EngineError::Unreachable(_) | EngineError::Refused(_));
                let engine_name = &self.snapshot.fleet.engines[engine].name;
                tracing::warn!(engine = %engine_name, %error, "an attempt failed");
                self.excluded.push(engine);
            }
        }
        Ok(())
    }

    /// Returns where the next attempt goes; a split is tried once, first.
    async fn next_decision(&mut self) -> Option<RouteDecision> {
        self.request.kv_handle = None;
        let planned = self.planned.take();
        if let Some(plan) = self.split.take() {
            if let Some(decode) = self.hand_over(&plan).await {
                return Some(decode);
            }
            if self.attempts >= self.snapshot.fleet.limits.attempts {
                return None;
            }
        }
        planned
            .filter(|decision| !self.excluded.contains(&decision.engine))
            .or_else(|| self.route())
    }

    /// Has the prompt computed elsewhere, or notes why that failed.
    async fn hand_over(&mut self, plan: &SplitPlan) -> Option<RouteDecision> {
        let was_sent = self.sent;
        // The deadline may end this wait, and then bytes may have left.
        self.sent = true;
        let handed = split::hand_over(
            &self.context,
            &self.snapshot,
            plan,
            &self.request,
            &self.pieces,
            SILENCE_LIMIT,
        );
        match handed.await {
            Ok(handoff) => {
                self.request.kv_handle = Some(handoff.handle);
                Some(handoff.decode)
            }
            Err(error) => {
                tracing::warn!(request = self.request.stream_id.as_deref(), %error, "not split");
                self.sent = was_sent || !error.is_unsent();
                if let Some(engine) = error.lost_engine() {
                    self.attempts += 1;
                    self.excluded.push(engine);
                }
                None
            }
        }
    }

    fn route(&self) -> Option<RouteDecision> {
        // The newest view of the engines is used, but never another revision's
        // keys: a request ends under the revision that it was accepted with.
        let newest = self.context.snapshot.load_full();
        let same_revision = newest.fleet.revision == self.snapshot.fleet.revision;
        let snapshot = if same_revision { &newest } else { &self.snapshot };
        let decision = placement::choose(
            &self.context.desk,
            snapshot,
            &self.query(),
            self.context.clock.now(),
        )?;
        self.log(&decision);
        Some(decision)
    }

    fn query(&self) -> PlacementQuery<'_> {
        PlacementQuery {
            model: self.model,
            phase: RoutePhase::Whole,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.request.max_tokens.saturating_sub(self.request.resume_from),
            time_left: self.deadline.since(self.context.clock.now()),
            pieces: &self.pieces,
            bytes: self.request.prompt.len() as u64,
            excluded: &self.excluded,
        }
    }

    fn begin(&self, decision: &RouteDecision) -> PlacedSend {
        let entry = &self.snapshot.engines[decision.engine];
        let bytes = self.request.prompt.len() as u64;
        // With imported KV cache only the last prompt token is computed.
        let imported = self.request.kv_handle.is_some();
        let prompt_tokens = if imported { 1 } else { self.prompt_tokens };
        placement::begin(&self.context, entry, decision, prompt_tokens, bytes)
    }

    fn log(&self, decision: &RouteDecision) {
        let name = |engine: EngineKey| &self.snapshot.fleet.engines[engine].name;
        tracing::info!(
            request = self.request.stream_id.as_deref(),
            engine = %name(decision.engine),
            reason = %decision.reason,
            place = %decision.place,
            cached = decision.cached_tokens,
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
