//! Decisions of the gateway: which route a request takes, which backend server serves it, whether
//! it is refused or retried, which engines prefill and decode, and which daemons relay updates.
//!
//! An engine is a backend server that serves a model. These modules do no I/O and get the current
//! time as an argument, so tests need neither a network nor a clock.

pub mod accounts;
pub mod admission;
pub mod backlog;
pub mod backoff;
pub mod budget;
pub mod cache_fetches;
pub mod call_rate;
pub mod caller_memory;
pub mod candidates;
pub mod capacity;
pub mod capacity_demand;
pub mod configuration;
pub mod connections;
pub mod decode_engines;
pub mod directory;
pub mod distance;
pub mod event_stream;
pub mod fencing;
pub mod fleet;
pub mod health;
pub mod held_entries;
pub mod pace;
pub mod part_evidence;
pub mod placement;
pub mod prefix_index;
pub mod prompt;
pub mod rate;
pub mod reach;
pub mod relays;
pub mod request_limit;
pub mod shares;
pub mod shutdown;
pub mod software;
pub mod stage_demand;
pub mod stages;
pub mod store_era;
pub mod usage;
pub mod watch_plan;
