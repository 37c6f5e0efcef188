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
    routing::{self, RouteDecision, RoutePhase, RouteRequest},
    stream::{AttemptNumber, StreamAssembler, TokenVerdict},
    time::Timestamp,
};
use gooseberry_edges::engine::{EngineError, TokenStream};
use gooseberry_wire::engine::{CompletionChunk, CompletionRequest};
use smol_str::SmolStr;

use crate::{
    callers::refusals,
    context::DaemonContext,
    snapshot::{FleetSnapshot, OutstandingGuard},
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
    _outstanding: OutstandingGuard,
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
                    TokenVerdict::Deliver => return Ok(Some(chunk)),
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
        let Some(decision) = self.route() else {
            let reason = if self.attempts == 0 {
                RefusalReason::NoBackend(self.snapshot.fleet.models[self.model].name.clone())
            } else {
                RefusalReason::BackendFailed
            };
            return Err(self.refuse(reason));
        };
        self.attempts += 1;
        let engine = decision.engine;
        let outstanding = self.snapshot.engines[engine].gauge.start(self.prompt_tokens);
        let address = self.snapshot.fleet.engines[engine].address.clone();
        self.request.resume_from = self.assembler.next_position();
        let context = Arc::clone(&self.context);
        match context.engines.complete(&address, &self.request, SILENCE_LIMIT).await {
            Ok(stream) => {
                self.sent = true;
                let number = self.assembler.start_attempt();
                let attempt = RunningAttempt { number, engine, stream, _outstanding: outstanding };
                self.current = Some(attempt);
            }
            Err(error) => {
                self.sent |=
                    !matches!(error, EngineError::Unreachable(_) | EngineError::Refused(_));
                let engine_name = &self.snapshot.fleet.engines[engine].name;
                tracing::warn!(engine = %engine_name, %error, "an attempt failed");
                self.excluded.push(engine);
            }
        }
        Ok(())
    }

    fn route(&self) -> Option<RouteDecision> {
        // The newest view of the engines is used, but never another revision's
        // keys: a request ends under the revision that it was accepted with.
        let newest = self.context.snapshot.load_full();
        let same_revision = newest.fleet.revision == self.snapshot.fleet.revision;
        let snapshot = if same_revision { &newest } else { &self.snapshot };
        let request = RouteRequest {
            model: self.model,
            phase: RoutePhase::Whole,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.request.max_tokens.saturating_sub(self.request.resume_from),
            time_left: self.deadline.since(self.context.clock.now()),
            bytes: self.request.prompt.len() as u64,
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
