//! Which parts of prompts an engine is likely to have in its cache.
//!
//! Engines evict the least recently used parts. The table counts the tokens
//! that went into an engine since a part was last used there and takes the part
//! as evicted when they would have filled most of its memory.

use std::collections::HashMap;

use crate::serving::prompt::{PrefixKey, PromptShape};

/// Part of an engine's memory that cached parts are taken to have; the rest is
/// held by running requests.
const CACHE_SHARE: f64 = 0.7;
/// Entries kept for one engine before the stale ones are dropped.
const ENTRY_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct PartEntry {
    /// Tokens that the engine had taken in when the part was last used.
    used_at: u64,
    /// Whether the part has been read; until then it can't be fetched.
    is_read: bool,
}

/// Remembers the parts that one engine has read.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    entries: HashMap<PrefixKey, PartEntry>,
    /// Tokens that the engine has taken in.
    taken: u64,
}

impl PrefixIndex {
    /// Returns the prompt tokens that the engine needn't read again.
    pub fn cached_tokens(&self, prompt: &PromptShape, kv_tokens: u64) -> u32 {
        let kept = prompt.parts.iter().take_while(|part| self.holds(part.key, kv_tokens));
        kept.map(|part| part.tokens).sum::<u32>().min(prompt.prompt_tokens)
    }

    /// Returns the prompt tokens that other engines can fetch from this one: a
    /// part that is still being read can't be had.
    pub fn fetchable_tokens(&self, prompt: &PromptShape, kv_tokens: u64) -> u32 {
        let is_read = |key| self.entries.get(&key).is_some_and(|entry| entry.is_read);
        let is_there = |key| self.holds(key, kv_tokens) && is_read(key);
        let kept = prompt.parts.iter().take_while(|part| is_there(part.key));
        kept.map(|part| part.tokens).sum::<u32>().min(prompt.prompt_tokens)
    }

    /// Notes that an engine is to read a prompt.
    pub fn insert(&mut self, prompt: &PromptShape, kv_tokens: u64) {
        let cached = self.cached_tokens(prompt, kv_tokens);
        self.taken += u64::from(prompt.prompt_tokens - cached);
        for part in &prompt.parts {
            let is_read = self.holds(part.key, kv_tokens)
                && self.entries.get(&part.key).is_some_and(|entry| entry.is_read);
            self.entries.insert(part.key, PartEntry { used_at: self.taken, is_read });
        }
        if self.entries.len() > ENTRY_LIMIT {
            let oldest = self.taken.saturating_sub((kv_tokens as f64 * CACHE_SHARE) as u64);
            self.entries.retain(|_, entry| entry.used_at >= oldest);
        }
    }

    /// Notes that a prompt has been read.
    pub fn mark_computed(&mut self, prompt: &PromptShape) {
        for part in &prompt.parts {
            if let Some(entry) = self.entries.get_mut(&part.key) {
                entry.is_read = true;
            }
        }
    }

    /// Forgets the parts of a prompt that was given up before it was read, but
    /// for those that others brought or bring in.
    pub fn remove_uncomputed(
        &mut self,
        prompt: &PromptShape,
        is_awaited: impl Fn(PrefixKey) -> bool,
    ) {
        for part in &prompt.parts {
            let is_unread = self.entries.get(&part.key).is_some_and(|entry| !entry.is_read);
            if is_unread && !is_awaited(part.key) {
                self.entries.remove(&part.key);
            }
        }
    }

    /// Forgets all, because the engine has started anew.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn holds(&self, key: PrefixKey, kv_tokens: u64) -> bool {
        let room = (kv_tokens as f64 * CACHE_SHARE) as u64;
        self.entries.get(&key).is_some_and(|entry| self.taken - entry.used_at < room)
    }
}
