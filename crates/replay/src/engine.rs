//! A simulated model engine with batched steps, KV cache, prefix cache and role changes.
//!
//! A piece is a KV cache block of a fixed number of tokens.

use std::collections::{BTreeMap, VecDeque};

use gooseberry_core::{fleet::EngineRole, roles::utility::StepTiming};

use crate::requests::RequestKey;

/// Tokens in a piece.
const PIECE_TOKENS: u32 = 16;
/// Factor by which an engine with a dedicated role is slower in the other phase.
const OTHER_PHASE_FACTOR: f64 = 3.0;

/// Holds the settings of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    pub step: StepTiming,
    /// Number of pieces that the engine's KV memory holds.
    pub kv_pieces: u32,
    /// Time that a role change takes after draining, in microseconds.
    pub role_change_us: u64,
}

/// Holds one request as an engine runs it.
#[derive(Clone, Debug)]
pub struct EngineSequence {
    pub request: RequestKey,
    pub prompt_tokens: u32,
    /// Identifier and tokens of the prefix that prompts share.
    pub prefix: Option<(u32, u32)>,
    pub prefill_left: u32,
    pub output_left: u32,
    pub deadline_us: u64,
    /// Whether it is queued behind all sequences that aren't batch work.
    pub is_batch: bool,
    /// Whether its KV cache was imported from another engine.
    pub imported: bool,
    /// Whether its KV cache is exported after the prefill.
    pub export_after_prefill: bool,
    pub last_token_us: Option<u64>,
    pieces: u32,
}

impl EngineSequence {
    /// Makes a sequence that hasn't started.
    pub fn new(request: RequestKey, prompt_tokens: u32, output_tokens: u32) -> Self {
        Self {
            request,
            prompt_tokens,
            prefix: None,
            prefill_left: prompt_tokens,
            output_left: output_tokens,
            deadline_us: u64::MAX,
            is_batch: false,
            imported: false,
            export_after_prefill: false,
            last_token_us: None,
            pieces: (prompt_tokens + output_tokens).div_ceil(PIECE_TOKENS).max(1),
        }
    }
}

/// Describes what happened to a sequence at the end of a step.
#[derive(Clone, Debug)]
pub enum SequenceEvent {
    /// The first token was generated.
    FirstToken(RequestKey),
    /// A later token was generated this long after the previous one, in microseconds.
    Token(u64),
    /// The prefill has ended, and the KV cache can be imported by another engine.
    Exported(EngineSequence),
    /// The last token was generated.
    Completed(RequestKey),
    /// The deadline passed, and the sequence was cancelled.
    DeadlinePassed(RequestKey),
}

/// Describes whether an engine serves or changes its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Serving,
    Draining(EngineRole),
    Changing(EngineRole),
}

/// Runs batches of sequences step by step.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    pub role: EngineRole,
    pub state: EngineState,
    /// Whether operators have withdrawn the engine, so that it only finishes its requests.
    pub withdrawn: bool,
    /// Share of requests that its version fails.
    pub failure_share: f64,
    /// Whether a step is running.
    pub stepping: bool,
    settings: EngineSettings,
    /// Pieces of the running sequences.
    used_pieces: u32,
    cache: BTreeMap<u32, CachedPrefix>,
    use_count: u64,
    queue: VecDeque<EngineSequence>,
    running: Vec<EngineSequence>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    last_use: u64,
    stored_us: u64,
}

impl SimulatedEngine {
    /// Makes an idle engine.
    pub fn new(role: EngineRole, settings: EngineSettings) -> Self {
        Self {
            role,
            state: EngineState::Serving,
            withdrawn: false,
            failure_share: 0.0,
            stepping: false,
            settings,
            used_pieces: 0,
            cache: BTreeMap::new(),
            use_count: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Returns whether the engine accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        self.state == EngineState::Serving && !self.withdrawn
    }

    /// Returns whether the engine has no running or queued sequence.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Returns the numbers of running and queued sequences.
    pub fn sequence_counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Returns the prompt tokens that remain to be prefilled.
    pub fn prefill_backlog(&self) -> u64 {
        let sequences = self.running.iter().chain(&self.queue);
        sequences.map(|sequence| u64::from(sequence.prefill_left)).sum()
    }

    /// Returns the output tokens that have still to be made.
    pub fn output_backlog(&self) -> u64 {
        let sequences = self.running.iter().chain(&self.queue);
        sequences.map(|sequence| u64::from(sequence.output_left)).sum()
    }

    /// Returns the tokens of a prefix that were cached before a time.
    pub fn cached_tokens(&self, prefix: Option<(u32, u32)>, before_us: u64) -> u32 {
        prefix
            .and_then(|(name, _)| self.cache.get(&name))
            .filter(|cached| cached.stored_us <= before_us)
            .map_or(0, |cached| cached.tokens)
    }

    /// Adds a sequence to the queue. Batch work is queued behind all other sequences.
    pub fn submit(&mut self, sequence: EngineSequence) {
        if sequence.is_batch {
            self.queue.push_back(sequence);
            return;
        }
        let position = self.queue.iter().position(|queued| queued.is_batch);
        self.queue.insert(position.unwrap_or(self.queue.len()), sequence);
    }

    /// Begins a step and returns its duration in microseconds, if there is work.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        Some(self.step_us())
    }

    /// Ends the step and returns its events.
    pub fn finish_step(&mut self, now_us: u64) -> Vec<SequenceEvent> {
        self.stepping = false;
        let mut events = Vec::new();
        let mut budget = self.settings.step.prefill_chunk;
        let mut running = Vec::with_capacity(self.running.len());
        for mut sequence in std::mem::take(&mut self.running) {
            if self.advance(&mut sequence, &mut budget, now_us, &mut events) {
                running.push(sequence);
            } else {
                self.used_pieces -= sequence.pieces;
            }
        }
        self.running = running;
        self.drop_expired(now_us, &mut events);
        events
    }

    /// Advances one sequence and returns whether it keeps running on this engine.
    fn advance(
        &mut self,
        sequence: &mut EngineSequence,
        budget: &mut u32,
        now_us: u64,
        events: &mut Vec<SequenceEvent>,
    ) -> bool {
        if sequence.deadline_us <= now_us {
            events.push(SequenceEvent::DeadlinePassed(sequence.request));
            return false;
        }
        if sequence.prefill_left > 0 {
            let computed = sequence.prefill_left.min(*budget);
            *budget -= computed;
            sequence.prefill_left -= computed;
            if sequence.prefill_left > 0 {
                return true;
            }
            self.store(sequence.prefix, now_us);
        }
        match sequence.last_token_us {
            None => events.push(SequenceEvent::FirstToken(sequence.request)),
            Some(last_us) => events.push(SequenceEvent::Token(now_us - last_us)),
        }
        sequence.last_token_us = Some(now_us);
        sequence.output_left = sequence.output_left.saturating_sub(1);
        if sequence.output_left == 0 {
            events.push(SequenceEvent::Completed(sequence.request));
            return false;
        }
        if sequence.export_after_prefill {
            events.push(SequenceEvent::Exported(sequence.clone()));
            return false;
        }
        true
    }

    fn drop_expired(&mut self, now_us: u64, events: &mut Vec<SequenceEvent>) {
        self.queue.retain(|sequence| {
            let expired = sequence.deadline_us <= now_us;
            if expired {
                events.push(SequenceEvent::DeadlinePassed(sequence.request));
            }
            !expired
        });
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.step.batch as usize {
            let free = self.settings.kv_pieces - self.used_pieces;
            if self.queue.front().is_none_or(|next| next.pieces > free) {
                return;
            }
            let Some(mut sequence) = self.queue.pop_front() else { return };
            self.used_pieces += sequence.pieces;
            let computed = match sequence.imported {
                true => u32::MAX,
                false => self.use_prefix(sequence.prefix),
            };
            // The last prompt token is always computed, since it gives the first output token.
            sequence.prefill_left = sequence.prefill_left.saturating_sub(computed).max(1);
            self.evict();
            self.running.push(sequence);
        }
    }

    fn use_prefix(&mut self, prefix: Option<(u32, u32)>) -> u32 {
        self.use_count += 1;
        let Some((name, _)) = prefix else { return 0 };
        let Some(cached) = self.cache.get_mut(&name) else { return 0 };
        cached.last_use = self.use_count;
        cached.tokens
    }

    fn store(&mut self, prefix: Option<(u32, u32)>, now_us: u64) {
        let Some((name, tokens)) = prefix else { return };
        self.use_count += 1;
        let last_use = self.use_count;
        let entry =
            self.cache.entry(name).or_insert(CachedPrefix { tokens, last_use, stored_us: now_us });
        entry.last_use = last_use;
        self.evict();
    }

    /// Evicts the least recently used prefixes until the others fit into the free pieces.
    fn evict(&mut self) {
        let free_pieces = self.settings.kv_pieces - self.used_pieces;
        let mut cached_pieces: u32 =
            self.cache.values().map(|cached| cached.tokens.div_ceil(PIECE_TOKENS)).sum();
        while cached_pieces > free_pieces {
            let oldest = self.cache.iter().min_by_key(|(_, cached)| cached.last_use);
            let Some((name, tokens)) = oldest.map(|(name, cached)| (*name, cached.tokens)) else {
                return;
            };
            self.cache.remove(&name);
            cached_pieces -= tokens.div_ceil(PIECE_TOKENS);
        }
    }

    fn step_us(&self) -> u64 {
        let step = &self.settings.step;
        let waiting: u32 = self.running.iter().map(|sequence| sequence.prefill_left).sum();
        let decoding =
            self.running.iter().filter(|sequence| sequence.prefill_left == 0).count() as u32;
        let (prefill_factor, decode_factor) = match self.role {
            EngineRole::Mixed => (1.0, 1.0),
            EngineRole::Prefill => (step.dedicated_factor, OTHER_PHASE_FACTOR),
            EngineRole::Decode => (OTHER_PHASE_FACTOR, step.dedicated_factor),
        };
        let prefill = step.per_prompt_token * waiting.min(step.prefill_chunk);
        let decode = step.per_sequence * decoding;
        let total = step.base + prefill.mul_f64(prefill_factor) + decode.mul_f64(decode_factor);
        total.as_micros() as u64
    }

    /// Starts draining the engine for another role. The role changes once the engine is idle.
    pub fn start_role_change(&mut self, role: EngineRole) {
        self.state = EngineState::Draining(role);
    }

    /// Begins the role change if the engine has drained, and returns its
    /// duration in microseconds.
    pub fn begin_role_change(&mut self) -> Option<u64> {
        let EngineState::Draining(role) = self.state else { return None };
        if !self.is_idle() {
            return None;
        }
        self.state = EngineState::Changing(role);
        Some(self.settings.role_change_us)
    }

    /// Ends the role change.
    pub fn finish_role_change(&mut self) {
        if let EngineState::Changing(role) = self.state {
            self.role = role;
            self.state = EngineState::Serving;
        }
    }
}
