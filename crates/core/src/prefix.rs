//! Hashes of prompt prefixes, one per piece of KV cache. A piece is a KV cache block of
//! a fixed number of tokens.

use xxhash_rust::xxh3;

/// Counts the tokens of a text like the engines do, one per word.
pub fn count_tokens(prompt: &str) -> u32 {
    prompt.split_ascii_whitespace().count() as u32
}

/// Returns the chained hash of each complete piece of a prompt.
///
/// The hash of a piece covers all pieces before it, so two prompts share the first `n`
/// hashes exactly if they share the first `n` pieces.
///
/// # Panics
///
/// Panics if `piece_tokens` is 0.
pub fn piece_hashes(prompt: &str, piece_tokens: u32) -> Vec<u64> {
    assert!(piece_tokens > 0, "a KV cache piece must hold at least one token");
    let mut hashes = Vec::new();
    let mut hash = 0;
    let mut filled = 0;
    for word in prompt.split_ascii_whitespace() {
        hash = xxh3::xxh3_64_with_seed(word.as_bytes(), hash);
        filled += 1;
        if filled == piece_tokens {
            hashes.push(hash);
            filled = 0;
        }
    }
    hashes
}
