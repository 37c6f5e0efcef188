//! What the cases share: daemons started as deployed, model engines, callers and the record.

pub mod caller;
pub mod engine;
pub mod load;
pub mod net;
pub mod process;
pub mod proxy;
pub mod record;
pub mod setup;
pub mod store;
pub mod wire;
