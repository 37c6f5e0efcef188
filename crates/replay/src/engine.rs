//! A fake of a model engine: batch steps, KV pieces, prefix cache, roles.

use std::collections::{BTreeMap, VecDeque};

use gooseberry_core::{fleet::EngineRole, roles::utility::StepTiming};

use crate::requests::RequestKey;

/// Tokens in a piece of KV memory.
const PIECE_TOKENS: u32 = 16;
/// Factor on the time of the other phase in a dedicated role.
const FOREIGN_FACTOR: f64 = 3.0;

/// Holds the settings of a fake engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    pub step: StepTiming,
    /// Pieces of KV memory.
    pub kv_pieces: u32,
    /// Time that a role change takes after the drain, in microseconds.
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
    /// Whether it yields to others in the queue.
    pub is_batch: bool,
    /// Whether its KV cache came from another engine.
    pub imported: bool,
    /// Whether it leaves after its prompt is computed.
    pub export_after_prefill: bool,
    pub last_token_us: Option<u64>,
    held: u32,
}

impl EngineSequence {
    /// Makes a sequence that has not run.
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
            held: (prompt_tokens + output_tokens).div_ceil(PIECE_TOKENS).max(1),
        }
    }
}

/// Says what happened to a sequence at the end of a step.
#[derive(Clone, Debug)]
pub enum SequenceEvent {
    /// The first token came.
    FirstToken(RequestKey),
    /// A later token came after this time, in microseconds.
    Token(u64),
    /// The prompt is computed and the KV cache can be imported elsewhere.
    Exported(EngineSequence),
    /// The last token came.
    Completed(RequestKey),
    /// The deadline passed, and the sequence was cancelled.
    DeadlinePassed(RequestKey),
}

/// Says whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Serving,
    Draining(EngineRole),
    Changing(EngineRole),
}

/// Runs sequences together, step by step.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    pub role: EngineRole,
    pub state: EngineState,
    /// Whether operators withdrew the engine: it finishes what it has.
    pub withdrawn: bool,
    /// Share of requests that its version fails.
    pub failure_share: f64,
    /// Whether a step is running.
    pub stepping: bool,
    shape: EngineSettings,
    used: u32,
    cache: BTreeMap<u32, CachedPrefix>,
    uses: u64,
    queue: VecDeque<EngineSequence>,
    running: Vec<EngineSequence>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    used: u64,
    stored_us: u64,
}

impl SimulatedEngine {
    /// Makes an idle engine.
    pub fn new(role: EngineRole, shape: EngineSettings) -> Self {
        Self {
            role,
            state: EngineState::Serving,
            withdrawn: false,
            failure_share: 0.0,
            stepping: false,
            shape,
            used: 0,
            cache: BTreeMap::new(),
            uses: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Tells whether the engine takes new work.
    pub fn accepts_requests(&self) -> bool {
        self.state == EngineState::Serving && !self.withdrawn
    }

    /// Tells whether the engine has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Returns the numbers of running and waiting sequences.
    pub fn sequence_counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Returns the prompt tokens that have still to be computed.
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

    /// Takes a sequence; those that yield wait behind the others.
    pub fn submit(&mut self, sequence: EngineSequence) {
        if sequence.is_batch {
            self.queue.push_back(sequence);
            return;
        }
        let place = self.queue.iter().position(|waiting| waiting.is_batch);
        self.queue.insert(place.unwrap_or(self.queue.len()), sequence);
    }

    /// Begins a step and returns its time in microseconds, if there is work.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        Some(self.step_us())
    }

    /// Ends the step and tells what came of it.
    pub fn finish_step(&mut self, now_us: u64) -> Vec<SequenceEvent> {
        self.stepping = false;
        let mut events = Vec::new();
        let mut budget = self.shape.step.prefill_chunk;
        let mut running = Vec::with_capacity(self.running.len());
        for mut sequence in std::mem::take(&mut self.running) {
            if self.advance(&mut sequence, &mut budget, now_us, &mut events) {
                running.push(sequence);
            } else {
                self.used -= sequence.held;
            }
        }
        self.running = running;
        self.drop_late(now_us, &mut events);
        events
    }

    /// Advances one sequence and tells whether it stays.
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

    fn drop_late(&mut self, now_us: u64, events: &mut Vec<SequenceEvent>) {
        self.queue.retain(|sequence| {
            let late = sequence.deadline_us <= now_us;
            if late {
                events.push(SequenceEvent::DeadlinePassed(sequence.request));
            }
            !late
        });
    }

    fn admit(&mut self) {
        while self.running.len() < self.shape.step.batch as usize {
            let free = self.shape.kv_pieces - self.used;
            if self.queue.front().is_none_or(|next| next.held > free) {
                return;
            }
            let Some(mut sequence) = self.queue.pop_front() else { return };
            self.used += sequence.held;
            let computed = match sequence.imported {
                true => u32::MAX,
                false => self.hit(sequence.prefix),
            };
            // The last prompt token is always computed: it gives the first output.
            sequence.prefill_left = sequence.prefill_left.saturating_sub(computed).max(1);
            self.evict();
            self.running.push(sequence);
        }
    }

    fn hit(&mut self, prefix: Option<(u32, u32)>) -> u32 {
        self.uses += 1;
        let Some((name, _)) = prefix else { return 0 };
        let Some(cached) = self.cache.get_mut(&name) else { return 0 };
        cached.used = self.uses;
        cached.tokens
    }

    fn store(&mut self, prefix: Option<(u32, u32)>, now_us: u64) {
        let Some((name, tokens)) = prefix else { return };
        self.uses += 1;
        let used = self.uses;
        let entry =
            self.cache.entry(name).or_insert(CachedPrefix { tokens, used, stored_us: now_us });
        entry.used = used;
        self.evict();
    }

    /// Drops the prefixes used least lately until the rest fits the free pieces.
    fn evict(&mut self) {
        let room = self.shape.kv_pieces - self.used;
        let mut held: u32 =
            self.cache.values().map(|cached| cached.tokens.div_ceil(PIECE_TOKENS)).sum();
        while held > room {
            let oldest = self.cache.iter().min_by_key(|(_, cached)| cached.used);
            let Some((name, tokens)) = oldest.map(|(name, cached)| (*name, cached.tokens)) else {
                return;
            };
            self.cache.remove(&name);
            held -= tokens.div_ceil(PIECE_TOKENS);
        }
    }

    fn step_us(&self) -> u64 {
        let step = &self.shape.step;
        let waiting: u32 = self.running.iter().map(|sequence| sequence.prefill_left).sum();
        let decoding =
            self.running.iter().filter(|sequence| sequence.prefill_left == 0).count() as u32;
        let (prefill_factor, decode_factor) = match self.role {
            EngineRole::Mixed => (1.0, 1.0),
            EngineRole::Prefill => (step.dedicated_factor, FOREIGN_FACTOR),
            EngineRole::Decode => (FOREIGN_FACTOR, step.dedicated_factor),
        };
        let prefill = step.per_prompt_token * waiting.min(step.prefill_chunk);
        let decode = step.per_sequence * decoding;
        let total = step.base + prefill.mul_f64(prefill_factor) + decode.mul_f64(decode_factor);
        total.as_micros() as u64
    }

    /// Drains the engine for a role; it changes once it is idle.
    pub fn start_role_change(&mut self, role: EngineRole) {
        self.state = EngineState::Draining(role);
    }

    /// Begins the change if the engine has drained, and returns its time.
    pub fn begin_role_change(&mut self) -> Option<u64> {
        let EngineState::Draining(role) = self.state else { return None };
        if !self.is_idle() {
            return None;
        }
        self.state = EngineState::Changing(role);
        Some(self.shape.role_change_us)
    }

    /// Ends the change.
    pub fn finish_role_change(&mut self) {
        if let EngineState::Changing(role) = self.state {
            self.role = role;
            self.state = EngineState::Serving;
        }
    }
}
