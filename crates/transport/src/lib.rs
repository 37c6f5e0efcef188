//! HTTP/1.1 servers and clients: hyper over async-std's TCP streams.
//!
//! The same stack serves callers and connects to engines and the key-value
//! service. hyper is used with HTTP/1 only. It reads heads up to a configured
//! size, detects a caller that disconnects while its response is pending, and
//! distinguishes a complete response from a truncated one.

pub mod body;
pub mod client;
pub mod handle;
pub mod io;
pub mod meter;
pub mod pool;
pub mod server;
pub mod timer;
