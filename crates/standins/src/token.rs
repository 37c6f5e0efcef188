//! The tokens that a stand-in engine generates.
//!
//! A token depends on the prompt and its position only, so that a caller can
//! tell whether an answer is whole, in order and its own.

use xxhash_rust::xxh3;

/// Returns the token at a position of the answer to a prompt.
pub fn token_text(prompt_hash: u64, position: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), prompt_hash);
    format!(" {:06x}", hash & 0xff_ffff)
}

/// Returns the hash of a prompt that [`token_text`] takes.
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Returns the whole answer to a prompt.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|position| token_text(hash, position)).collect()
}
