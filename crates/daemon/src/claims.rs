//! Claims in the platform's key-value service.

pub mod local;
pub mod prune;
pub mod record;
pub mod store;
