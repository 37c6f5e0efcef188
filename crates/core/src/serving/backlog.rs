//! How much prompt work waits at an engine.
//!
//! Every daemon tells the others what it sends and when the first event comes
//! back, so that each knows all requests whose prompt isn't read yet. Between
//! these messages the work shrinks at the engine's learned speed.

use std::{collections::HashMap, time::Duration};

use crate::{
    arena::EngineKey,
    serving::prompt::{PrefixKey, PromptShape},
    time::Timestamp,
};

/// Part of an engine's speed at which it may read for long beside outputs: each
/// event takes several steps, and those that read are many times longer.
const BESIDE_SHARE: f64 = 0.4;

/// Names one send: the daemon that made it and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SendId {
    /// Hash of the daemon's name and incarnation.
    pub daemon: u64,
    pub number: u64,
}

/// A prompt that an engine has yet to read.
#[derive(Clone, Debug)]
pub struct PendingPrefill {
    pub prompt: PromptShape,
    /// Work of reading it, as [`PromptShape::prefill_work`] counts it.
    pub tokens: u32,
    pub sent_at: Timestamp,
    /// The engine that is to take over the KV cache.
    pub decode_engine: Option<EngineKey>,
}

/// Follows the prompts that one engine has yet to read.
#[derive(Clone, Debug, Default)]
pub struct PrefillBacklog {
    pending: HashMap<SendId, PendingPrefill>,
    pending_tokens: f64,
    /// Tokens that are left if the engine has worked at its learned speed.
    work: f64,
    updated_at: Timestamp,
    /// When a prompt was last read.
    progressed_at: Timestamp,
    /// Tokens read beside outputs, at `beside_at`.
    beside: f64,
    beside_at: Timestamp,
}

impl PrefillBacklog {
    /// Notes a send.
    pub fn add(&mut self, send_id: SendId, read: PendingPrefill, speed: f64, now: Timestamp) {
        self.settle(speed, now);
        let tokens = f64::from(read.tokens);
        if self.pending.insert(send_id, read).is_none() {
            self.pending_tokens += tokens;
            self.work += tokens;
        }
    }

    /// Notes that a prompt was read, or that its send ended otherwise; returns it
    /// if it was pending.
    pub fn remove(
        &mut self,
        send_id: SendId,
        speed: f64,
        now: Timestamp,
    ) -> Option<PendingPrefill> {
        self.settle(speed, now);
        let read = self.pending.remove(&send_id)?;
        self.progressed_at = now;
        self.pending_tokens = (self.pending_tokens - f64::from(read.tokens)).max(0.0);
        if self.pending.is_empty() {
            self.pending_tokens = 0.0;
        }
        self.work = self.work.min(self.pending_tokens);
        Some(read)
    }

    /// Tells whether a pending prompt has a part.
    pub fn has_pending_part(&self, key: PrefixKey) -> bool {
        let mut parts = self.pending.values().flat_map(|read| &read.prompt.parts);
        parts.any(|part| part.key == key)
    }

    /// Drops the sends of a daemon that fit a condition.
    pub fn drop_sends(&mut self, mut is_gone: impl FnMut(SendId, Timestamp) -> bool) {
        self.pending.retain(|send_id, read| !is_gone(*send_id, read.sent_at));
        self.pending_tokens = self.pending.values().map(|read| f64::from(read.tokens)).sum();
        self.work = self.work.min(self.pending_tokens);
    }

    /// Returns the tokens that are likely to be read before a new prompt.
    ///
    /// The oldest prompt may be almost read, but those behind it aren't: an
    /// engine that is slower than its learned speed keeps them.
    pub fn tokens_ahead(&self, speed: f64, now: Timestamp) -> f64 {
        let passed = now.since(self.updated_at).as_millis() as f64;
        let worked = (self.work - passed * speed).max(0.0);
        let oldest = self.pending.values().min_by_key(|read| read.sent_at);
        let behind = self.pending_tokens - oldest.map_or(0.0, |read| f64::from(read.tokens));
        worked.max(behind)
    }

    /// Returns the time since any prompt was read, by any daemon.
    pub fn time_since_progress(&self, now: Timestamp) -> Duration {
        now.since(self.progressed_at)
    }

    /// Returns the number of prompts that aren't read yet.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Notes tokens that are read beside outputs.
    pub fn record_interleaved(&mut self, tokens: u32, speed: f64, now: Timestamp) {
        self.beside = self.interleaved_tokens(speed, now) + f64::from(tokens);
        self.beside_at = now;
    }

    /// Returns the tokens read beside outputs of late, as a bucket that leaks at
    /// a part of the engine's speed.
    pub fn interleaved_tokens(&self, speed: f64, now: Timestamp) -> f64 {
        let passed = now.since(self.beside_at).as_millis() as f64;
        (self.beside - passed * speed * BESIDE_SHARE).max(0.0)
    }

    fn settle(&mut self, speed: f64, now: Timestamp) {
        let passed = now.since(self.updated_at).as_millis() as f64;
        self.work = (self.work - passed * speed).max(0.0).min(self.pending_tokens);
        self.updated_at = now;
    }
}
