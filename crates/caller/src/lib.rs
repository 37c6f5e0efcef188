//! A load generator that replays a trace and checks each response.
//!
//! Requests are sent at the times of the trace, whether or not earlier ones have
//! got a response (open loop). Each request has exactly one outcome, and the
//! statistics report requests without one as unaccounted.

pub mod outcome;
pub mod prompt;
pub mod replay;
pub mod request;
pub mod statistics;
pub mod trace;
