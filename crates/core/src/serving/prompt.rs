//! The prompt of a request, as a chain of parts that engines cache.

use xxhash_rust::xxh3;

/// Context, in tokens, at which attention doubles the time to read a token.
/// That of dense models of 70 billion parameters; it only scales estimates.
const ATTENTION_CONTEXT: f64 = 55_000.0;

/// Names a part together with all parts before it: a cached part is of use
/// only if the whole chain up to it is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixKey(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub key: PrefixKey,
    pub tokens: u32,
}

/// What is known of a request's prompt and output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    pub parts: Vec<PromptPart>,
    /// All tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub output_tokens: u32,
}

impl PromptShape {
    /// Chains named parts. The tokens that no part names belong to the request.
    pub fn new<'a>(
        model: &str,
        parts: impl IntoIterator<Item = (&'a str, u32)>,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> Self {
        let mut chain = xxh3::xxh3_64(model.as_bytes());
        let parts: Vec<_> = parts
            .into_iter()
            .map(|(name, tokens)| {
                chain = xxh3::xxh3_64_with_seed(name.as_bytes(), chain);
                PromptPart { key: PrefixKey(chain), tokens }
            })
            .collect();
        Self { parts, prompt_tokens, output_tokens }
    }

    /// Returns the work of reading all but the cached tokens, in tokens that are
    /// read without context.
    pub fn prefill_work(&self, cached: u32) -> u32 {
        let reading = f64::from(self.prompt_tokens.saturating_sub(cached).max(1));
        let context = f64::from(self.prompt_tokens) - reading / 2.0;
        (reading * (1.0 + context.max(0.0) / ATTENTION_CONTEXT)) as u32
    }

    /// Returns the key of the last part that other requests share too: all but
    /// the last one.
    pub fn shared_prefix_key(&self) -> Option<PrefixKey> {
        let count = self.parts.len();
        let last = if count > 1 { count - 2 } else { return None };
        Some(self.parts[last].key)
    }

    /// Returns the tokens of all parts but the last one.
    pub fn shared_prefix_tokens(&self) -> u32 {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.tokens).sum()
    }
}
