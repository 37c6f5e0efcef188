//! Decision logic of gooseberrykeel, free of input and output.
//!
//! Everything that the daemons decide is decided here: where a request goes,
//! whether it is admitted, who may order an engine, whether a call may run.
//! Functions take the time as an argument and tables as values, so that tests
//! can replay any interleaving under a clock of their own.

pub mod admission;
pub mod arena;
pub mod bucket;
pub mod changes;
pub mod circuit_breaker;
pub mod claims;
pub mod fleet;
pub mod history;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod outcomes;
pub mod poison;
pub mod prefix;
pub mod prefix_table;
pub mod readers;
pub mod refusal;
pub mod rendezvous;
pub mod retries;
pub mod revisions;
pub mod roles;
pub mod routing;
pub mod sends;
pub mod serving;
pub mod slots;
pub mod speed;
pub mod spill;
pub mod stall;
pub mod stream;
pub mod time;
