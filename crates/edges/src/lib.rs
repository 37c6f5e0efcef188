//! The edges of a process: time, HTTP, the platform and the backend servers.
//!
//! Each kind of outside system has one narrow trait in a file of its own, so
//! that another protocol at an edge means one new file and no other change.

use std::{future::Future, pin::Pin};

pub mod channel;
pub mod clock;
pub mod engine;
pub mod http;
pub mod listener;
pub mod plain;
pub mod platform;
pub mod stop;

/// A future that an edge returns; boxed, so that edges can be exchanged.
pub type ApiFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
