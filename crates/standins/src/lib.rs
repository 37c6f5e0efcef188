//! Stand-ins for the systems around gooseberrykeel, for tests and trials only.
//!
//! Each is a small program that speaks the outside system's protocol and takes
//! faults on a control port of its own. None of them models a network.

pub mod engine;
pub mod gateway_mocks;
pub mod plain;
pub mod platform;
pub mod program;
pub mod response;
pub mod token;
