//! The gateway of an entry VM: forwards callers' requests to backend servers.
//!
//! One task watches the key-value service, and one sends the other daemons an update on each send.
//! Requests are placed by the functions of `gooseberry_core::serving` with the state in
//! [`state::GatewayState`].

pub mod call;
pub mod changes;
pub mod events;
pub mod front;
pub mod gateway;
pub mod metrics;
pub mod news;
pub mod peers;
pub mod program;
pub mod prompt_call;
pub mod reads;
pub mod send;
pub mod settings;
pub mod state;
pub mod steward;
pub mod stream;
