//! Clients and servers for what a process depends on: time, HTTP, the platform
//! and the backend servers.
//!
//! Each kind of external system has one narrow trait in a file of its own, so
//! that supporting another protocol takes one new file and no other change.

use std::{future::Future, pin::Pin};

pub mod channel;
pub mod clock;
pub mod engine;
pub mod http;
pub mod listener;
pub mod plain;
pub mod platform;
pub mod stop;
mod unframed;

/// The boxed future that the API traits return; boxed, so that the traits are
/// object-safe and their implementations can be exchanged.
pub type ApiFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
