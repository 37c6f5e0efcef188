//! Decisions of the gateway: which route a request takes, which engine serves
//! it, when it is held or refused, and what may be sent again.
//!
//! All of it is free of input and output and takes the time as an argument.

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
