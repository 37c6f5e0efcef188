//! A caller that replays a trace and checks each answer.
//!
//! Requests leave at the times of the trace, whether or not earlier ones were
//! answered. Each ends in exactly one way, and the balance says so.

pub mod outcome;
pub mod prompt;
pub mod replay;
pub mod request;
pub mod statistics;
pub mod trace;
