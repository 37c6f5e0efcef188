//! Replays traces through the decision core, with simulated engines.
//!
//! A replay runs in one thread with a manual clock and a seeded random number
//! generator, so the same trace, configuration and seed give the same result.
//! The network isn't simulated, except that a region link adds its latency and
//! its bytes are counted.

pub mod compare;
pub mod controller;
pub mod engine;
pub mod generate;
pub mod health;
pub mod oracle;
pub mod report;
pub mod requests;
pub mod router;
pub mod run;
pub mod trace;
