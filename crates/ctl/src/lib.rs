//! The operators' command: edits the configuration text and prints the state of the daemons.
//!
//! Operators control the system only by editing the configuration text. Every
//! other command only reads, or edits the text on their behalf.

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
