//! The operators' command: the configuration text, and what the daemons say.
//!
//! Operators drive the system only by editing the text; every other command
//! here reads, or makes an edit of the text on their behalf.

pub mod arguments;
pub mod commands;
pub mod configuration;
pub mod daemons;
pub mod drain;
pub mod effect;
pub mod exit;
pub mod explain;
pub mod history;
pub mod output;
pub mod report;
