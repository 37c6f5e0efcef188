//! The gateway with stand-ins of the platform, on loopback.

mod framing;
mod news;
mod promises;
mod support;
mod truncation;
mod versions;
