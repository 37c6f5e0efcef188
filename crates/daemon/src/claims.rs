//! Idempotency claims in the platform's key-value store.

pub mod local;
pub mod prune;
pub mod record;
pub mod store;
