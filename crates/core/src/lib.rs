//! Decision logic of gooseberrykeel, without any I/O.
//!
//! All decisions of the daemons are made here: where a request is sent, whether it is
//! admitted, which process may send orders to an engine, and whether a call may run.
//! Functions take the time and tables as arguments, so that tests can replay any
//! interleaving under a simulated clock.

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
pub mod ready_budget;
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
