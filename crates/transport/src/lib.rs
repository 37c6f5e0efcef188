//! HTTP/1.1 by hyper over the streams of async-std.
//!
//! One stack serves callers and reaches engines and the key-value service.
//! hyper is used with HTTP/1 only: it reads heads of any configured size,
//! notices a caller that leaves while its answer is awaited, and tells a whole
//! answer from one that was cut.

pub mod body;
pub mod client;
pub mod io;
pub mod pool;
pub mod server;
pub mod timer;
