//! A stand-in for a model engine with continuous batching.
//!
//! Each step generates a token for every decoding sequence and prefills part of
//! the prompts; its duration grows with both. KV memory is limited and divided
//! into pieces (KV cache blocks of fixed size), which also cache prompt prefixes.

pub mod batch;
pub mod cache;
pub mod exports;
pub mod http;
pub mod orders;
pub mod reports;
pub mod streams;
