//! The operators' command: the configuration text, and what the daemons say.

pub mod arguments;
pub mod configuration;
pub mod daemons;
pub mod exit;
pub mod history;
pub mod report;
pub mod run;
