//! Stand-ins for the systems around gooseberrykeel, for tests and trials only.
//!
//! Each stand-in is a small program that implements the protocol of an external
//! system. Tests inject faults and read counts on its separate control port. No
//! stand-in simulates a network.

pub mod engine;
pub mod gateway_mocks;
pub mod plain;
pub mod platform;
pub mod program;
pub mod response;
pub mod token;
