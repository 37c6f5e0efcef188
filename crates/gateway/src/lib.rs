//! The gateway of an entry VM: carries callers' requests to backend servers.
//!
//! One task follows the key-value service and one tells the other daemons what
//! is sent where; requests are placed by the decisions in
//! `gooseberry_core::serving` over the tables of [`state::GatewayState`].

pub mod call;
pub mod changes;
pub mod front;
pub mod gateway;
pub mod leader;
pub mod metrics;
pub mod peers;
pub mod prefill_guard;
pub mod program;
pub mod prompt_call;
pub mod send;
pub mod settings;
pub mod state;
pub mod store_watch;
pub mod stream;
pub mod updates;
