//! Estimates which prompt parts an engine has in its prefix cache.
//!
//! Engines evict the least recently used parts. The index counts the tokens that were added to an
//! engine's cache since a part was last used there, and regards the part as evicted when they would
//! fill most of the engine's KV cache.

use std::collections::HashMap;

use crate::serving::prompt::{PrefixKey, PromptShape};

/// Share of an engine's KV cache that holds cached prompt parts. Running requests use the rest.
const CACHE_SHARE: f64 = 0.7;
/// Entries per engine above which stale entries are removed.
const ENTRY_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct PartEntry {
    /// Value of `added_tokens` at the last use of the part.
    used_at: u64,
    /// Whether the prefill of the part is finished. Until then it can't be fetched.
    is_computed: bool,
}

/// Parts that one engine is estimated to have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    entries: HashMap<PrefixKey, PartEntry>,
    /// Tokens added to the engine's cache so far.
    added_tokens: u64,
}

impl PrefixIndex {
    /// Returns the number of tokens, from the start of the prompt, that the engine has cached when
    /// its pending prefills are finished.
    pub fn cached_tokens(&self, prompt: &PromptShape, kv_tokens: u64) -> u32 {
        let cached_parts =
            prompt.parts.iter().take_while(|part| self.is_cached(part.key, kv_tokens));
        cached_parts.map(|part| part.tokens).sum::<u32>().min(prompt.prompt_tokens)
    }

    /// Returns the number of tokens, from the start of the prompt, that other engines can fetch
    /// from this one. A part whose prefill isn't finished can't be fetched.
    pub fn fetchable_tokens(&self, prompt: &PromptShape, kv_tokens: u64) -> u32 {
        let is_computed = |key| self.entries.get(&key).is_some_and(|entry| entry.is_computed);
        let is_fetchable = |key| self.is_cached(key, kv_tokens) && is_computed(key);
        let cached_parts = prompt.parts.iter().take_while(|part| is_fetchable(part.key));
        cached_parts.map(|part| part.tokens).sum::<u32>().min(prompt.prompt_tokens)
    }

    /// Records that a prompt was sent to the engine.
    pub fn insert(&mut self, prompt: &PromptShape, kv_tokens: u64) {
        let cached = self.cached_tokens(prompt, kv_tokens);
        self.added_tokens += u64::from(prompt.prompt_tokens - cached);
        for part in &prompt.parts {
            let is_computed = self.is_cached(part.key, kv_tokens)
                && self.entries.get(&part.key).is_some_and(|entry| entry.is_computed);
            self.entries.insert(part.key, PartEntry { used_at: self.added_tokens, is_computed });
        }
        if self.entries.len() > ENTRY_LIMIT {
            let oldest = self.added_tokens.saturating_sub((kv_tokens as f64 * CACHE_SHARE) as u64);
            self.entries.retain(|_, entry| entry.used_at >= oldest);
        }
    }

    /// Records that the prefill of a prompt has finished.
    pub fn mark_computed(&mut self, prompt: &PromptShape) {
        for part in &prompt.parts {
            if let Some(entry) = self.entries.get_mut(&part.key) {
                entry.is_computed = true;
            }
        }
    }

    /// Removes the parts of a prompt whose prefill was abandoned, except those that are cached
    /// already or belong to another pending prompt.
    pub fn remove_uncomputed(
        &mut self,
        prompt: &PromptShape,
        is_pending: impl Fn(PrefixKey) -> bool,
    ) {
        for part in &prompt.parts {
            let is_uncomputed = self.entries.get(&part.key).is_some_and(|entry| !entry.is_computed);
            if is_uncomputed && !is_pending(part.key) {
                self.entries.remove(&part.key);
            }
        }
    }

    /// Removes all parts, after a restart of the engine.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn is_cached(&self, key: PrefixKey, kv_tokens: u64) -> bool {
        let capacity_tokens = (kv_tokens as f64 * CACHE_SHARE) as u64;
        self.entries
            .get(&key)
            .is_some_and(|entry| self.added_tokens - entry.used_at < capacity_tokens)
    }
}
