//! Continuous batching: selects the sequences that run and computes the duration
//! of each step.
//!
//! A piece is a KV cache block.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::{prefix, time::Timestamp};
use gooseberry_wire::engine::{CompletionRequest, EngineRole};

use crate::{
    engine::{
        cache::KvMemory,
        exports::ExportStore,
        streams::{SharedStream, StreamEnd, StreamState},
    },
    token,
};

/// Largest number of sequences that run together.
const MAX_RUNNING_SEQUENCES: usize = 64;
/// Largest number of queued sequences; further requests are refused.
const MAX_QUEUED_SEQUENCES: usize = 1024;
/// Largest number of prompt tokens that one step prefills.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// Durations of which a step of an engine in the mixed role is made up.
#[derive(Clone, Debug)]
pub struct StepTiming {
    /// Fixed duration of each step.
    pub base: Duration,
    /// Duration added for each decoding sequence.
    pub per_sequence: Duration,
    /// Duration added for each prompt token.
    pub per_prompt_token: Duration,
}

/// A sequence that is queued or running.
#[derive(Debug)]
struct Sequence {
    prompt: String,
    pieces: Vec<u64>,
    /// Number of pieces of KV memory that the sequence holds while it runs.
    held_pieces: u32,
    /// Prompt tokens that still have to be prefilled.
    remaining_prefill_tokens: u32,
    /// Position after the last token to generate.
    end_position: u32,
    priority: u32,
    /// Whether the KV cache of the prompt was imported from another engine.
    is_imported: bool,
    /// Whether the sequence ends after prefill with an export of its KV cache.
    exports_kv: bool,
    stream: SharedStream,
}

/// Work of the current step.
#[derive(Debug, Default)]
struct StepPlan {
    prefill_tokens: u32,
    decoding_sequences: u32,
}

/// Sequences, KV memory and streams of the engine.
#[derive(Debug)]
pub struct BatchState {
    pub memory: KvMemory,
    pub exports: ExportStore,
    pub steps: u64,
    piece_tokens: u32,
    timing: StepTiming,
    queue: Vec<Sequence>,
    running: Vec<Sequence>,
    streams: HashMap<String, SharedStream>,
}

/// Reason why a request wasn't queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    #[error("the engine's queue is full")]
    QueueFull,
    #[error("the sequence needs more KV memory than the engine has")]
    TooLong,
}

impl BatchState {
    /// Makes an empty batch with `pieces` pieces of KV memory.
    pub fn new(pieces: u32, piece_tokens: u32, timing: StepTiming, incarnation: u64) -> Self {
        Self {
            memory: KvMemory::new(pieces),
            exports: ExportStore::new(incarnation),
            steps: 0,
            piece_tokens,
            timing,
            queue: Vec::new(),
            running: Vec::new(),
            streams: HashMap::new(),
        }
    }

    /// Queues a request, or returns the stream whose id it carries if there is one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request can't be queued.
    pub fn submit(
        &mut self,
        request: CompletionRequest,
        imported: Option<u64>,
        now: Timestamp,
    ) -> Result<SharedStream, SubmitError> {
        if let Some(stream) = request.stream_id.as_ref().and_then(|id| self.streams.get(id)) {
            return Ok(stream.clone());
        }
        if self.queue.len() >= MAX_QUEUED_SEQUENCES {
            return Err(SubmitError::QueueFull);
        }
        let prompt_tokens = prefix::count_tokens(&request.prompt);
        let held_pieces = (prompt_tokens + request.max_tokens).div_ceil(self.piece_tokens).max(1);
        if held_pieces > self.memory.free_pieces() && self.running.is_empty() {
            return Err(SubmitError::TooLong);
        }
        // The tokens depend on the KV cache that is used, so that a test detects the import of
        // a wrong handle.
        let hash = imported.unwrap_or_else(|| token::prompt_hash(&request.prompt));
        let stream = StreamState::new(hash, prompt_tokens, request.resume_from, now);
        if let Some(id) = request.stream_id {
            self.streams.insert(id, stream.clone());
        }
        let sequence = Sequence {
            pieces: prefix::piece_hashes(&request.prompt, self.piece_tokens),
            held_pieces,
            remaining_prefill_tokens: prompt_tokens + request.resume_from,
            end_position: request.max_tokens.max(request.resume_from),
            priority: request.priority,
            is_imported: imported.is_some(),
            exports_kv: request.export_kv,
            stream: stream.clone(),
            prompt: request.prompt,
        };
        self.queue.push(sequence);
        Ok(stream)
    }

    /// Cancels a stream; returns `false` if it is unknown.
    pub fn cancel(&mut self, stream_id: &str) -> bool {
        let Some(stream) = self.streams.remove(stream_id) else { return false };
        stream.lock().finish(StreamEnd::Cancelled);
        true
    }

    /// Cancels all sequences and returns their number.
    pub fn cancel_all(&mut self) -> u32 {
        let held_pieces: u32 = self.running.iter().map(|sequence| sequence.held_pieces).sum();
        self.memory.release(held_pieces);
        let mut cancelled = 0;
        for sequence in self.queue.drain(..).chain(self.running.drain(..)) {
            sequence.stream.lock().finish(StreamEnd::Cancelled);
            cancelled += 1;
        }
        cancelled
    }

    /// Returns the numbers of running and queued sequences.
    pub fn sequence_counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Returns the number of prompt tokens that still have to be prefilled.
    pub fn prefill_backlog(&self) -> u64 {
        let sequences = self.running.iter().chain(&self.queue);
        sequences.map(|sequence| u64::from(sequence.remaining_prefill_tokens)).sum()
    }

    /// Returns whether the prompt of a running sequence contains a text.
    pub fn is_running_text(&self, text: &str) -> bool {
        self.running.iter().any(|sequence| sequence.prompt.contains(text))
    }

    /// Begins a step and returns its duration, or `None` if there is no work.
    pub fn begin_step(&mut self, role: EngineRole, now: Timestamp) -> Option<Duration> {
        self.cancel_abandoned(now);
        self.start_queued(now);
        if self.running.is_empty() {
            return None;
        }
        let plan = self.plan_step();
        Some(self.step_duration(role, &plan))
    }

    /// Ends the step: applies its prefill and emits its tokens.
    pub fn finish_step(&mut self, now: Timestamp) {
        self.steps += 1;
        let mut budget_tokens = PREFILL_CHUNK_TOKENS;
        let mut index = 0;
        while index < self.running.len() {
            let done = self.advance(index, &mut budget_tokens, now);
            if done {
                let sequence = self.running.remove(index);
                self.memory.release(sequence.held_pieces);
            } else {
                index += 1;
            }
        }
    }

    /// Applies the step to one running sequence; returns whether the sequence has ended.
    fn advance(&mut self, index: usize, budget_tokens: &mut u32, now: Timestamp) -> bool {
        let sequence = &mut self.running[index];
        let mut stream = sequence.stream.lock();
        if stream.end.is_some() {
            return true;
        }
        if sequence.remaining_prefill_tokens > 0 {
            let prefilled = sequence.remaining_prefill_tokens.min(*budget_tokens);
            *budget_tokens -= prefilled;
            sequence.remaining_prefill_tokens -= prefilled;
            if sequence.remaining_prefill_tokens > 0 {
                return false;
            }
            self.memory.store(&sequence.pieces, now);
            if sequence.exports_kv {
                let handle = self.exports.add(stream.prompt_hash);
                stream.finish(StreamEnd::Exported(handle));
                return true;
            }
        }
        if stream.next_position < sequence.end_position {
            stream.push_token();
        }
        if stream.next_position >= sequence.end_position {
            stream.finish(StreamEnd::Completed);
            return true;
        }
        false
    }

    fn start_queued(&mut self, now: Timestamp) {
        // The sort is stable, so requests of equal priority keep their order of arrival.
        self.queue.sort_by_key(|sequence| std::cmp::Reverse(sequence.priority));
        while !self.queue.is_empty() && self.running.len() < MAX_RUNNING_SEQUENCES {
            if !self.memory.allocate(self.queue[0].held_pieces, now) {
                return;
            }
            let mut sequence = self.queue.remove(0);
            let cached_tokens = self.memory.match_prefix(&sequence.pieces) * self.piece_tokens;
            let reused_tokens = if sequence.is_imported { u32::MAX } else { cached_tokens };
            // The last prompt token is always prefilled, since it yields the first output token.
            sequence.remaining_prefill_tokens =
                sequence.remaining_prefill_tokens.saturating_sub(reused_tokens).max(1);
            sequence.stream.lock().cached_tokens = cached_tokens;
            self.running.push(sequence);
        }
    }

    fn cancel_abandoned(&mut self, now: Timestamp) {
        self.streams.retain(|_, stream| {
            let mut stream = stream.lock();
            let abandoned = stream.is_abandoned(now);
            if abandoned {
                stream.finish(StreamEnd::Cancelled);
            }
            !abandoned
        });
        self.queue.retain(|sequence| sequence.stream.lock().end.is_none());
    }

    fn plan_step(&self) -> StepPlan {
        let remaining: u32 =
            self.running.iter().map(|sequence| sequence.remaining_prefill_tokens).sum();
        let decoding_sequences =
            self.running.iter().filter(|sequence| sequence.remaining_prefill_tokens == 0).count()
                as u32;
        StepPlan { prefill_tokens: remaining.min(PREFILL_CHUNK_TOKENS), decoding_sequences }
    }

    fn step_duration(&self, role: EngineRole, plan: &StepPlan) -> Duration {
        let (prefill_factor, decode_factor) = role_factors(role);
        let decode = self.timing.per_sequence * plan.decoding_sequences;
        let prefill = self.timing.per_prompt_token * plan.prefill_tokens;
        self.timing.base + decode.mul_f64(decode_factor) + prefill.mul_f64(prefill_factor)
    }
}

/// Returns the factors by which prefill and decode take longer in a role than in the mixed role.
fn role_factors(role: EngineRole) -> (f64, f64) {
    match role {
        EngineRole::Mixed => (1.0, 1.0),
        EngineRole::Prefill => (0.6, 3.0),
        EngineRole::Decode => (3.0, 0.6),
    }
}
