//! Decisions of the gateway: which route a request takes, which engine serves
//! it, when it is held or refused, and what may be sent again.
//!
//! All of it is free of input and output and takes the time as an argument.

pub mod admission;
pub mod backlog;
pub mod backoff;
pub mod budget;
pub mod cache_fetches;
pub mod candidates;
pub mod configuration;
pub mod crash_counts;
pub mod decode_engines;
pub mod directory;
pub mod distance;
pub mod fleet;
pub mod health;
pub mod placement;
pub mod prefix_index;
pub mod prompt;
pub mod rate;
pub mod relays;
pub mod shutdown;
pub mod stages;
pub mod watch_plan;
