//! What the cases share: daemons started as deployed, model engines, callers and the record.

pub mod caller;
pub mod engine;
pub mod load;
pub mod process;
pub mod record;
pub mod setup;
