//! Replays traces through the decision core, with small fakes of engines.
//!
//! One thread, one manual clock, one seed: the same trace, configuration and
//! seed give the same result. There is no model of the network; a region link
//! adds its latency and counts its bytes, and that is all.

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
