//! A stand-in for a model engine with continuous batching.
//!
//! One step generates a token for each running sequence and computes a share
//! of the prompts; its time grows with both. KV memory is limited and held in
//! pieces of fixed size, which also cache prompt prefixes.

pub mod batch;
pub mod cache;
pub mod exports;
pub mod http;
pub mod orders;
pub mod reports;
pub mod streams;
