//! HTTP interface for callers: completions, chat completions, plain services and
//! health checks.

pub mod admission;
pub mod app;
pub mod attempts;
pub mod chat;
pub mod completion;
pub mod identity;
pub mod placement;
pub mod plain;
pub mod refusals;
pub mod request;
pub mod split;
pub mod stream_guard;
