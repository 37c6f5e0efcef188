//! Daemon of an entry VM.
//!
//! One control thread owns all control state and publishes immutable snapshots; the
//! other threads carry traffic and read the newest snapshot. Nothing is stored on
//! disk: durable state is in the platform's key-value store.

pub mod callers;
pub mod claims;
pub mod context;
pub mod control;
pub mod demand;
pub mod gauge;
pub mod history;
pub mod leader;
pub mod limits;
pub mod loads;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod outcomes;
pub mod peers;
pub mod poison;
pub mod pollers;
pub mod program;
pub mod retries;
pub mod revisions;
pub mod routing;
pub mod snapshot;
