//! Generates prompts of a given length with a given shared prefix.

use std::fmt::Write;

use gooseberry_wire::trace::TraceEntry;

/// Builds the prompt of a trace entry, one word per token.
///
/// The words of the shared prefix come first, then words that no other entry has.
pub fn build(entry: &TraceEntry, index: usize) -> String {
    let shared = if entry.prefix.is_some() { entry.prefix_tokens } else { 0 };
    let shared = shared.min(entry.prompt_tokens);
    let mut prompt = String::new();
    for word in 0..shared {
        let prefix = entry.prefix.as_deref().unwrap_or_default();
        let _ = write!(prompt, "{prefix}.{word} ");
    }
    for word in shared..entry.prompt_tokens {
        let _ = write!(prompt, "{index}.{word} ");
    }
    prompt
}
