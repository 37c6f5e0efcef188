//! A stand-in for the platform: key-value service, list of VMs and weight store.

pub mod http;
pub mod limits;
pub mod store;
