//! Prefill work that is queued at an engine. Speeds are in tokens per millisecond.
//!
//! Each daemon sends the others an update when it sends a prompt and when its first event arrives,
//! so each daemon knows all pending prefills. Between updates the estimate of the remaining work
//! falls at the measured speed of the engine.

use std::{collections::HashMap, time::Duration};

use crate::{
    arena::EngineKey,
    serving::prompt::{PrefixKey, PromptShape},
    time::Timestamp,
};

/// Share of an engine's prefill speed that can be sustained interleaved with decoding. Each event
/// of a stream takes several engine steps, and steps that include prefill take many times longer.
const INTERLEAVED_SPEED_SHARE: f64 = 0.4;

/// Id of one prompt that was sent: the daemon that sent it and its sequence number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SendId {
    /// Hash of the daemon's name and incarnation.
    pub daemon: u64,
    pub number: u64,
}

/// A prompt that was sent to an engine and whose prefill isn't finished.
#[derive(Clone, Debug)]
pub struct PendingPrefill {
    pub prompt: PromptShape,
    /// Work of the prefill, in the unit of [`PromptShape::prefill_work`].
    pub tokens: u32,
    pub sent_at: Timestamp,
    /// Engine that imports the KV cache after the prefill.
    pub decode_engine: Option<EngineKey>,
}

/// Pending prefills of one engine.
#[derive(Clone, Debug, Default)]
pub struct PrefillBacklog {
    pending: HashMap<SendId, PendingPrefill>,
    pending_tokens: f64,
    /// Estimate of the remaining tokens at `updated_at`, from the measured speed of the engine.
    remaining_tokens: f64,
    updated_at: Timestamp,
    /// Time at which the last prefill finished or was abandoned.
    progressed_at: Timestamp,
    /// Level, at `interleaved_at`, of the leaky bucket of [`Self::interleaved_tokens`].
    interleaved: f64,
    interleaved_at: Timestamp,
}

impl PrefillBacklog {
    /// Adds a pending prefill.
    pub fn add(&mut self, send_id: SendId, prefill: PendingPrefill, speed: f64, now: Timestamp) {
        self.advance(speed, now);
        let tokens = f64::from(prefill.tokens);
        if self.pending.insert(send_id, prefill).is_none() {
            self.pending_tokens += tokens;
            self.remaining_tokens += tokens;
        }
    }

    /// Removes a prefill that finished or was abandoned, and returns it if it was pending.
    pub fn remove(
        &mut self,
        send_id: SendId,
        speed: f64,
        now: Timestamp,
    ) -> Option<PendingPrefill> {
        self.advance(speed, now);
        let prefill = self.pending.remove(&send_id)?;
        self.progressed_at = now;
        self.pending_tokens = (self.pending_tokens - f64::from(prefill.tokens)).max(0.0);
        if self.pending.is_empty() {
            self.pending_tokens = 0.0;
        }
        self.remaining_tokens = self.remaining_tokens.min(self.pending_tokens);
        Some(prefill)
    }

    /// Returns whether the prompt of a pending prefill contains the part.
    pub fn has_pending_part(&self, key: PrefixKey) -> bool {
        let mut parts = self.pending.values().flat_map(|prefill| &prefill.prompt.parts);
        parts.any(|part| part.key == key)
    }

    /// Removes the pending prefills for which `should_remove` returns true.
    pub fn remove_if(&mut self, mut should_remove: impl FnMut(SendId, Timestamp) -> bool) {
        self.pending.retain(|send_id, prefill| !should_remove(*send_id, prefill.sent_at));
        self.pending_tokens = self.pending.values().map(|prefill| f64::from(prefill.tokens)).sum();
        self.remaining_tokens = self.remaining_tokens.min(self.pending_tokens);
    }

    /// Returns the estimated tokens that the engine has to prefill before a new prompt.
    ///
    /// The oldest prompt may be almost finished, but the later ones can't have started. They count
    /// in full even if, by the measured speed of the engine, they should have been prefilled.
    pub fn tokens_ahead(&self, speed: f64, now: Timestamp) -> f64 {
        let elapsed_ms = now.since(self.updated_at).as_millis() as f64;
        let remaining = (self.remaining_tokens - elapsed_ms * speed).max(0.0);
        let oldest = self.pending.values().min_by_key(|prefill| prefill.sent_at);
        let later_tokens =
            self.pending_tokens - oldest.map_or(0.0, |prefill| f64::from(prefill.tokens));
        remaining.max(later_tokens)
    }

    /// Returns the time since a prefill at this engine, of any daemon, last finished or was
    /// abandoned.
    pub fn time_since_progress(&self, now: Timestamp) -> Duration {
        now.since(self.progressed_at)
    }

    /// Returns the work of all pending prefills, in the unit of [`PromptShape::prefill_work`].
    pub fn pending_tokens(&self) -> f64 {
        self.pending_tokens
    }

    /// Iterates over the pending prefills.
    pub fn pending(&self) -> impl Iterator<Item = &PendingPrefill> {
        self.pending.values()
    }

    /// Returns the number of pending prefills.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no prefill is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records tokens that are prefilled interleaved with decoding.
    pub fn record_interleaved(&mut self, tokens: u32, speed: f64, now: Timestamp) {
        self.interleaved = self.interleaved_tokens(speed, now) + f64::from(tokens);
        self.interleaved_at = now;
    }

    /// Returns the tokens that were recently prefilled interleaved with decoding, as the level of a
    /// leaky bucket that drains at a fixed share of the engine's speed.
    pub fn interleaved_tokens(&self, speed: f64, now: Timestamp) -> f64 {
        let elapsed_ms = now.since(self.interleaved_at).as_millis() as f64;
        (self.interleaved - elapsed_ms * speed * INTERLEAVED_SPEED_SHARE).max(0.0)
    }

    fn advance(&mut self, speed: f64, now: Timestamp) {
        let elapsed_ms = now.since(self.updated_at).as_millis() as f64;
        self.remaining_tokens =
            (self.remaining_tokens - elapsed_ms * speed).max(0.0).min(self.pending_tokens);
        self.updated_at = now;
    }
}
