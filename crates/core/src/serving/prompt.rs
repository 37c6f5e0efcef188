//! The prompt of a request, as a chain of parts.
//!
//! A part is a named section of the prompt. Engines keep parts in their prefix caches and reuse
//! them for requests that start with the same parts.

use std::fmt;

use xxhash_rust::xxh3;

/// Context length in tokens at which attention doubles the time per token. The value is that of
/// dense models with 70 billion parameters; it only scales estimates.
const ATTENTION_DOUBLING_TOKENS: f64 = 55_000.0;

/// Hash of a part together with the model and all parts before it. A cached part is usable only if
/// the whole chain before it is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixKey(pub u64);

/// Hash of a part's name alone, or of a request as a whole. Unlike a [`PrefixKey`] it is the same in
/// every prompt that has the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartFingerprint(pub u64);

/// Bit that is set in the fingerprints of whole requests and clear in those of parts.
const REQUEST_BIT: u64 = 1 << 63;

impl PartFingerprint {
    /// Returns the fingerprint of a part with this name.
    pub fn of_name(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) & !REQUEST_BIT)
    }

    /// Returns the fingerprint of a request whose content has this hash.
    pub fn of_request(hash: u64) -> Self {
        Self(hash | REQUEST_BIT)
    }

    /// Returns whether this is the fingerprint of a whole request.
    pub fn is_request(self) -> bool {
        self.0 & REQUEST_BIT != 0
    }
}

impl fmt::Display for PartFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Largest number of shared parts of a prompt whose fingerprints are kept.
const FINGERPRINT_LIMIT: usize = 64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub key: PrefixKey,
    pub tokens: u32,
}

/// Tokens and parts of a request's prompt, and the limit of its output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    pub parts: Vec<PromptPart>,
    /// Fingerprints of the parts that other requests may share: all but the last one, in order.
    pub shared_parts: Vec<PartFingerprint>,
    /// All tokens of the prompt.
    pub prompt_tokens: u32,
    /// Largest number of output tokens.
    pub output_tokens: u32,
}

impl PromptShape {
    /// Creates a prompt from named parts. Tokens that belong to no named part are regarded as used
    /// by this request only.
    pub fn new<'a>(
        model: &str,
        parts: impl IntoIterator<Item = (&'a str, u32)>,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> Self {
        let mut chain = xxh3::xxh3_64(model.as_bytes());
        let mut shared_parts = Vec::new();
        let parts: Vec<_> = parts
            .into_iter()
            .map(|(name, tokens)| {
                chain = xxh3::xxh3_64_with_seed(name.as_bytes(), chain);
                shared_parts.push(PartFingerprint::of_name(name));
                PromptPart { key: PrefixKey(chain), tokens }
            })
            .collect();
        shared_parts.pop();
        shared_parts.truncate(FINGERPRINT_LIMIT);
        Self { parts, shared_parts, prompt_tokens, output_tokens }
    }

    /// Returns whether the prompt fits into an engine's KV cache. The output isn't counted, since most
    /// are shorter than their limit. A capacity of 0 tokens isn't known.
    pub fn fits(&self, kv_tokens: u64) -> bool {
        kv_tokens == 0 || u64::from(self.prompt_tokens) <= kv_tokens
    }

    /// Returns the work of a prefill of all but the cached tokens.
    ///
    /// The unit is the work of one token at the start of a prompt. A later token is more work,
    /// since attention covers all tokens before it.
    pub fn prefill_work(&self, cached: u32) -> u32 {
        let uncached_tokens = f64::from(self.prompt_tokens.saturating_sub(cached).max(1));
        let context = f64::from(self.prompt_tokens) - uncached_tokens / 2.0;
        (uncached_tokens * (1.0 + context.max(0.0) / ATTENTION_DOUBLING_TOKENS)) as u32
    }

    /// Returns the key of the last shared part, or none if the prompt has fewer than two parts. All
    /// parts but the last one are assumed to be shared with other requests.
    pub fn shared_prefix_key(&self) -> Option<PrefixKey> {
        let count = self.parts.len();
        let last = if count > 1 { count - 2 } else { return None };
        Some(self.parts[last].key)
    }

    /// Returns the number of tokens in the shared parts: all parts but the last one.
    pub fn shared_prefix_tokens(&self) -> u32 {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.tokens).sum()
    }

    /// Returns the fingerprints of the shared parts as text for the log, in hexadecimal.
    pub fn describe_shared_parts(&self) -> String {
        describe_parts(&self.shared_parts)
    }
}

/// Returns fingerprints as text for the log, in hexadecimal.
pub fn describe_parts(parts: &[PartFingerprint]) -> String {
    let texts: Vec<_> = parts.iter().map(PartFingerprint::to_string).collect();
    texts.join(",")
}
