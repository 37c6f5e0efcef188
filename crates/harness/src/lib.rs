//! Starts the programs of a small system on loopback, for integration tests.
//!
//! The programs must have been built before, which `scripts/test.sh` does.
//! Every process is ended by its own identifier when its handle is dropped.
//! Waits have generous limits that only end a test that hangs; no verdict
//! depends on how fast the machine is.

pub mod calls;
pub mod process;
pub mod proxy;
pub mod system;
