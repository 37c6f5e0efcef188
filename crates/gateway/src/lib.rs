//! The gateway of an entry VM: forwards callers' requests to backend servers. Each entry VM runs
//! one gateway process, called daemon.
//!
//! One task watches the key-value service, and others exchange updates on prefills with the other
//! daemons. Requests are placed by the functions of `gooseberry_core::serving` with the state in
//! [`state::GatewayState`].

pub mod accounts;
pub mod call;
pub mod caller_memory;
pub mod capacity;
pub mod changes;
pub mod crashes;
pub mod duties;
pub mod forward;
pub mod front;
pub mod gateway;
pub mod leader;
pub mod metrics;
pub mod origin;
pub mod pace;
pub mod peers;
pub mod prefill_guard;
pub mod program;
pub mod prompt_call;
pub mod reach;
pub mod registration;
pub mod send;
pub mod settings;
pub mod shares;
pub mod state;
pub mod store_watch;
pub mod stored_evidence;
pub mod stream;
pub mod updates;
pub mod usage;
pub mod usage_poll;
pub mod usage_report;
