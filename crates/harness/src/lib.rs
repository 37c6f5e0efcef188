//! Starts the programs of a small system on loopback, for integration tests.
//!
//! The programs must have been built before, which `scripts/test.sh` does.
//! Every process is killed by its process id when its handle is dropped. Waits
//! have a long timeout that only ends a test that hangs, so the result of a
//! test doesn't depend on the speed of the machine.

pub mod calls;
pub mod process;
pub mod proxy;
pub mod system;
