//! Engine choice for the attempts of a completion, and the limits on further
//! attempts.

use std::{ops::Range, sync::Arc, time::Duration};

use gooseberry_core::{
    arena::EngineKey,
    poison::PoisonStatus,
    refusal::{RefusalReason, RequestRefusal},
    routing::{RouteDecision, RoutePhase},
};

use crate::{
    callers::{
        attempts::{CompletionRun, PlacedAttempt, READ_TIMEOUT},
        placement::{self, PlacementQuery, SendTracker},
        split::{self, SplitPlan},
    },
    poison::TrialGuard,
    retries::BUDGET_RETRY_AFTER,
};

/// Delay before a suspect requests a trial again, in milliseconds.
const TRIAL_RETRY_DELAY_MS: Range<u64> = 20..80;

impl CompletionRun {
    /// Decides on the first attempt, so that admission control can use the decision.
    /// Returns `None` if there is no engine to choose.
    pub fn plan(&mut self) -> Option<RouteDecision> {
        let whole = self.route()?;
        self.planned = Some(whole);
        self.split = split::plan(&self.context, &self.snapshot, &self.query(), &whole);
        self.split.map(|plan| plan.as_decision()).or(self.planned)
    }

    /// Chooses the engine of the next attempt and counts the attempt.
    pub(super) async fn place_attempt(&mut self) -> Result<PlacedAttempt, RequestRefusal> {
        let (decision, trial) = self.choose_engine().await?;
        self.charge_retry_budget()?;
        let tracker = self.start_tracking(&decision);
        Ok(PlacedAttempt { engine: decision.engine, trial, tracker })
    }

    /// Records that a stream that timed out is requested again at the same engine.
    pub(super) fn record_resumption(&mut self, engine: EngineKey) {
        let position = self.assembler.next_position();
        self.resumed_at = Some(position);
        let name = &self.snapshot.fleet.engines[engine].name;
        let request = self.request.stream_id.as_deref();
        tracing::info!(request, engine = %name, position, "resuming stream at the same engine");
    }

    /// Chooses an engine. A suspect (a request that was in flight when its engine
    /// crashed) waits until it can run in a trial.
    async fn choose_engine(
        &mut self,
    ) -> Result<(RouteDecision, Option<TrialGuard>), RequestRefusal> {
        loop {
            match self.context.poison.status(self.fingerprint) {
                PoisonStatus::Clear => match self.decide().await? {
                    Some(decision) => return Ok((decision, None)),
                    None => continue,
                },
                PoisonStatus::Quarantined => {
                    return Err(RequestRefusal::unknown(RefusalReason::Convicted));
                }
                PoisonStatus::Suspect => {}
            }
            if let Some((decision, trial)) = self.begin_trial().await? {
                return Ok((decision, Some(trial)));
            }
            // The delay is random, so that daemons that refused each other's trials
            // don't request them at the same time again.
            let delay_ms = rand::random_range(TRIAL_RETRY_DELAY_MS);
            self.context.clock.sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Requests a trial on an engine that has none. Returns `None` if the trial wasn't
    /// granted, or no engine without a trial can be chosen.
    async fn begin_trial(&mut self) -> Result<Option<(RouteDecision, TrialGuard)>, RequestRefusal> {
        let has_attempts = self.attempts < self.snapshot.fleet.limits.max_attempts;
        let excluded = self.excluded.len();
        let poison = Arc::clone(&self.context.poison);
        let engines = self.snapshot.fleet.engines.iter();
        let on_trial = engines.filter(|(_, row)| poison.is_on_trial(&row.name));
        self.excluded.extend(on_trial.map(|(engine, _)| engine));
        let has_trials = self.excluded.len() > excluded;
        let chosen = self.decide_single_engine();
        self.excluded.truncate(excluded);
        let decision = match chosen {
            Ok(decision) => decision,
            Err(_) if has_trials && has_attempts => return Ok(None),
            Err(refusal) => return Err(refusal),
        };
        let name = &self.snapshot.fleet.engines[decision.engine].name;
        let trial = poison.begin_trial(self.fingerprint, name, self.time_left()).await;
        if trial.is_none() {
            self.attempts -= 1;
        }
        Ok(trial.map(|trial| (decision, trial)))
    }

    /// Counts an attempt against the service's retry budget. It is a retry only if
    /// the attempt before it reached an engine.
    fn charge_retry_budget(&mut self) -> Result<(), RequestRefusal> {
        let retries = &self.context.retries;
        let share = self.snapshot.fleet.limits.retry_share;
        if self.attempts == 1 {
            retries.record_first_attempt(&self.service);
        } else if self.reached && !retries.try_retry(&self.service, share) {
            let refusal = self.refuse(RefusalReason::RetryBudgetSpent);
            return Err(refusal.retry_after(BUDGET_RETRY_AFTER));
        }
        self.reached = true;
        Ok(())
    }

    /// Decides on the next attempt of a request that isn't a suspect. Returns `None`
    /// if prefill on another engine failed, which may have made the request a suspect.
    async fn decide(&mut self) -> Result<Option<RouteDecision>, RequestRefusal> {
        self.check_attempts()?;
        self.request.kv_handle = None;
        let planned = self.planned.filter(|it| !self.excluded.contains(&it.engine));
        let decision = match self.split.take() {
            Some(plan) => match self.run_prefill(&plan).await {
                Some(decode) => Some(decode),
                None => return Ok(None),
            },
            None => planned.or_else(|| self.route()),
        };
        self.planned = None;
        self.count_attempt(decision).map(Some)
    }

    /// Decides on an attempt on a single engine, as a trial requires.
    fn decide_single_engine(&mut self) -> Result<RouteDecision, RequestRefusal> {
        self.check_attempts()?;
        self.request.kv_handle = None;
        self.planned = None;
        self.split = None;
        let decision = self.route();
        self.count_attempt(decision)
    }

    fn check_attempts(&self) -> Result<(), RequestRefusal> {
        if self.attempts >= self.snapshot.fleet.limits.max_attempts {
            return Err(self.refuse(RefusalReason::BackendFailed));
        }
        Ok(())
    }

    fn count_attempt(
        &mut self,
        decision: Option<RouteDecision>,
    ) -> Result<RouteDecision, RequestRefusal> {
        let Some(decision) = decision else {
            let reason = if self.attempts == 0 {
                RefusalReason::NoBackend(self.snapshot.fleet.models[self.model].name.clone())
            } else {
                RefusalReason::BackendFailed
            };
            return Err(self.refuse(reason));
        };
        self.attempts += 1;
        Ok(decision)
    }

    /// Runs prefill on the prefill engine of a split and transfers the KV cache to the
    /// decode engine. Returns the decision for the decode; on failure logs the reason and
    /// returns `None`.
    async fn run_prefill(&mut self, plan: &SplitPlan) -> Option<RouteDecision> {
        let was_sent = self.sent;
        let incarnation = self.incarnation(plan.prefill());
        // The deadline may end this wait after bytes have been sent.
        self.sent = true;
        let transfer = split::transfer_kv(
            &self.context,
            &self.snapshot,
            plan,
            &self.request,
            &self.pieces,
            READ_TIMEOUT,
        );
        match transfer.await {
            Ok(handoff) => {
                self.request.kv_handle = Some(handoff.handle);
                Some(handoff.decode)
            }
            Err(error) => {
                tracing::warn!(
                    request = self.request.stream_id.as_deref(),
                    %error,
                    "KV cache transfer failed; the request runs without a split"
                );
                self.sent = was_sent || !error.is_unsent();
                if let Some(engine) = error.failed_engine() {
                    // The prefill was an attempt of its own; the next attempt is a
                    // retry.
                    self.context.retries.record_first_attempt(&self.service);
                    self.reached = true;
                    self.attempts += 1;
                    self.excluded.push(engine);
                }
                if error.is_disconnect() {
                    self.check_for_crash(plan.prefill(), incarnation, None).await;
                }
                None
            }
        }
    }

    fn route(&self) -> Option<RouteDecision> {
        // Uses the newest snapshot of the engines, but never the keys of another
        // revision: a request ends under the revision that it was accepted with.
        let newest = self.context.snapshot.load_full();
        let same_revision = newest.fleet.revision == self.snapshot.fleet.revision;
        let snapshot = if same_revision { &newest } else { &self.snapshot };
        let decision = placement::choose(
            &self.context.routing,
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

    fn start_tracking(&self, decision: &RouteDecision) -> SendTracker {
        let entry = &self.snapshot.engines[decision.engine];
        let bytes = self.request.prompt.len() as u64;
        // With an imported KV cache only the last prompt token is computed.
        let imported = self.request.kv_handle.is_some();
        let prompt_tokens = if imported { 1 } else { self.prompt_tokens };
        placement::track_send(&self.context, entry, decision, prompt_tokens, bytes)
    }

    fn log(&self, decision: &RouteDecision) {
        let name = |engine: EngineKey| &self.snapshot.fleet.engines[engine].name;
        tracing::info!(
            request = self.request.stream_id.as_deref(),
            engine = %name(decision.engine),
            reason = %decision.reason,
            place = %decision.locality,
            cached = decision.cached_tokens,
            wait_ms = decision.first_token.as_millis() as u64,
            runner_up = decision.runner_up.map(|engine| name(engine).as_str()),
            attempt = self.attempts + 1,
            revision = self.snapshot.fleet.revision,
            "routed"
        );
    }
}
