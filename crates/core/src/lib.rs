//! Decision logic of gooseberrykeel, free of input and output.
//!
//! Everything that the daemons decide is decided here: where a request goes,
//! whether it is admitted, who may order an engine, whether a call may run.
//! Functions take the time as an argument and tables as values, so that tests
//! can replay any interleaving under a clock of their own.

pub mod arena;
pub mod balance;
pub mod claims;
pub mod fleet;
pub mod membership;
pub mod poison;
pub mod prefix;
pub mod refusal;
pub mod retries;
pub mod roles;
pub mod routing;
pub mod stream;
pub mod time;
