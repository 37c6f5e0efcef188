//! The tokens that a stand-in engine generates.
//!
//! A token depends only on the prompt and on its position, so that a caller can
//! check whether a response is complete, in order and belongs to its request.

use xxhash_rust::xxh3;

/// Returns the token at a position of the response to a prompt.
pub fn token_text(prompt_hash: u64, position: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), prompt_hash);
    format!(" {:06x}", hash & 0xff_ffff)
}

/// Returns the hash of a prompt, as [`token_text`] takes it.
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Returns the complete text of a response with a number of tokens.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|position| token_text(hash, position)).collect()
}
