//! Decisions of the gateway: which route a request takes, which engine serves it, whether it is
//! refused, and which requests may be retried.
//!
//! These modules do no I/O. They get the current time as an argument.

pub mod admission;
pub mod backlog;
pub mod budget;
pub mod candidates;
pub mod configuration;
pub mod decoders;
pub mod directory;
pub mod distance;
pub mod fetches;
pub mod fleet;
pub mod health;
pub mod leaving;
pub mod pace;
pub mod parts;
pub mod placement;
pub mod prompt;
pub mod rate;
pub mod relays;
pub mod stages;
pub mod suspects;
pub mod watching;
