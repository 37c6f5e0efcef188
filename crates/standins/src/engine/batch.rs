//! Continuous batching: which sequences run, and how long a step takes.

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

/// Sequences that run together.
const BATCH_LIMIT: usize = 64;
/// Sequences that wait; more are refused.
const QUEUE_LIMIT: usize = 1024;
/// Prompt tokens that one step computes.
const PREFILL_CHUNK: u32 = 512;

/// Times of a step, for an engine that does both phases.
#[derive(Clone, Debug)]
pub struct StepTiming {
    pub base: Duration,
    pub per_sequence: Duration,
    pub per_prompt_token: Duration,
}

/// Holds one sequence that waits or runs.
#[derive(Debug)]
struct Sequence {
    prompt: String,
    pieces: Vec<u64>,
    /// Pieces of KV memory that it holds while it runs.
    held: u32,
    /// Prompt tokens that have still to be computed.
    prefill_left: u32,
    /// Position after its last token.
    last: u32,
    priority: u32,
    imported: bool,
    export: bool,
    stream: SharedStream,
}

/// Says what the current step does.
#[derive(Debug, Default)]
struct StepPlan {
    prefill: u32,
    decoding: u32,
}

/// Runs sequences together, step by step.
#[derive(Debug)]
pub struct BatchState {
    pub memory: KvMemory,
    pub exports: ExportStore,
    pub steps: u64,
    piece_tokens: u32,
    costs: StepTiming,
    queue: Vec<Sequence>,
    running: Vec<Sequence>,
    streams: HashMap<String, SharedStream>,
}

/// Says why a request wasn't taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    #[error("the queue is full")]
    QueueFull,
    #[error("the sequence needs more memory than the engine has")]
    TooLong,
}

impl BatchState {
    /// Makes an empty batch.
    pub fn new(pieces: u32, piece_tokens: u32, costs: StepTiming, incarnation: u64) -> Self {
        Self {
            memory: KvMemory::new(pieces),
            exports: ExportStore::new(incarnation),
            steps: 0,
            piece_tokens,
            costs,
            queue: Vec::new(),
            running: Vec::new(),
            streams: HashMap::new(),
        }
    }

    /// Takes a request, or attaches it to the stream that it names.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request isn't taken.
    pub fn submit(
        &mut self,
        request: CompletionRequest,
        imported: Option<u64>,
        now: Timestamp,
    ) -> Result<SharedStream, SubmitError> {
        if let Some(stream) = request.stream_id.as_ref().and_then(|id| self.streams.get(id)) {
            return Ok(stream.clone());
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Err(SubmitError::QueueFull);
        }
        let prompt_tokens = prefix::count_tokens(&request.prompt);
        let held = (prompt_tokens + request.max_tokens).div_ceil(self.piece_tokens).max(1);
        if held > self.memory.free_pieces() && self.running.is_empty() {
            return Err(SubmitError::TooLong);
        }
        // Tokens follow from the KV cache, so that a wrong handle shows.
        let hash = imported.unwrap_or_else(|| token::prompt_hash(&request.prompt));
        let stream = StreamState::new(hash, prompt_tokens, request.resume_from, now);
        if let Some(id) = request.stream_id {
            self.streams.insert(id, stream.clone());
        }
        let sequence = Sequence {
            pieces: prefix::piece_hashes(&request.prompt, self.piece_tokens),
            held,
            prefill_left: prompt_tokens + request.resume_from,
            last: request.max_tokens.max(request.resume_from),
            priority: request.priority,
            imported: imported.is_some(),
            export: request.export_kv,
            stream: stream.clone(),
            prompt: request.prompt,
        };
        self.queue.push(sequence);
        Ok(stream)
    }

    /// Cancels a stream.
    pub fn cancel(&mut self, stream_id: &str) -> bool {
        let Some(stream) = self.streams.remove(stream_id) else { return false };
        stream.lock().finish(StreamEnd::Cancelled);
        true
    }

    /// Cuts all sequences and returns how many there were.
    pub fn cancel_all(&mut self) -> u32 {
        let held: u32 = self.running.iter().map(|sequence| sequence.held).sum();
        self.memory.release(held);
        let mut cut = 0;
        for sequence in self.queue.drain(..).chain(self.running.drain(..)) {
            sequence.stream.lock().finish(StreamEnd::Cancelled);
            cut += 1;
        }
        cut
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

    /// Tells whether a running prompt contains a text.
    pub fn is_running_text(&self, text: &str) -> bool {
        self.running.iter().any(|sequence| sequence.prompt.contains(text))
    }

    /// Begins a step and returns its time, or nothing if there is no work.
    pub fn begin_step(&mut self, role: EngineRole, now: Timestamp) -> Option<Duration> {
        self.drop_abandoned(now);
        self.admit(now);
        if self.running.is_empty() {
            return None;
        }
        let plan = self.plan();
        Some(self.step_time(role, &plan))
    }

    /// Ends the step: computes prompts and emits tokens.
    pub fn finish_step(&mut self, now: Timestamp) {
        self.steps += 1;
        let mut budget = PREFILL_CHUNK;
        let mut index = 0;
        while index < self.running.len() {
            let done = self.advance(index, &mut budget, now);
            if done {
                let sequence = self.running.remove(index);
                self.memory.release(sequence.held);
            } else {
                index += 1;
            }
        }
    }

    fn advance(&mut self, index: usize, budget: &mut u32, now: Timestamp) -> bool {
        let sequence = &mut self.running[index];
        let mut stream = sequence.stream.lock();
        if stream.end.is_some() {
            return true;
        }
        if sequence.prefill_left > 0 {
            let computed = sequence.prefill_left.min(*budget);
            *budget -= computed;
            sequence.prefill_left -= computed;
            if sequence.prefill_left > 0 {
                return false;
            }
            self.memory.store(&sequence.pieces, now);
            if sequence.export {
                let handle = self.exports.add(stream.prompt_hash);
                stream.finish(StreamEnd::Exported(handle));
                return true;
            }
        }
        if stream.next_position < sequence.last {
            stream.push_token();
        }
        if stream.next_position >= sequence.last {
            stream.finish(StreamEnd::Completed);
            return true;
        }
        false
    }

    fn admit(&mut self, now: Timestamp) {
        // The sort is stable, so that requests of one priority keep their order.
        self.queue.sort_by_key(|sequence| std::cmp::Reverse(sequence.priority));
        while !self.queue.is_empty() && self.running.len() < BATCH_LIMIT {
            if !self.memory.allocate(self.queue[0].held, now) {
                return;
            }
            let mut sequence = self.queue.remove(0);
            let hit = self.memory.match_prefix(&sequence.pieces) * self.piece_tokens;
            let computed = if sequence.imported { u32::MAX } else { hit };
            // The last prompt token is always computed: it gives the first output.
            sequence.prefill_left = sequence.prefill_left.saturating_sub(computed).max(1);
            sequence.stream.lock().cached_tokens = hit;
            self.running.push(sequence);
        }
    }

    fn drop_abandoned(&mut self, now: Timestamp) {
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

    fn plan(&self) -> StepPlan {
        let waiting: u32 = self.running.iter().map(|sequence| sequence.prefill_left).sum();
        let decoding =
            self.running.iter().filter(|sequence| sequence.prefill_left == 0).count() as u32;
        StepPlan { prefill: waiting.min(PREFILL_CHUNK), decoding }
    }

    fn step_time(&self, role: EngineRole, plan: &StepPlan) -> Duration {
        let (prefill_factor, decode_factor) = role_factors(role);
        let decode = self.costs.per_sequence * plan.decoding;
        let prefill = self.costs.per_prompt_token * plan.prefill;
        self.costs.base + decode.mul_f64(decode_factor) + prefill.mul_f64(prefill_factor)
    }
}

/// Returns how much longer each phase takes in a role than in the mixed one.
fn role_factors(role: EngineRole) -> (f64, f64) {
    match role {
        EngineRole::Mixed => (1.0, 1.0),
        EngineRole::Prefill => (0.6, 3.0),
        EngineRole::Decode => (3.0, 0.6),
    }
}
