//! Parses and checks YAML texts: the settings and the fleet configuration.
//!
//! All errors of a text are reported in one pass, each with its line, its field
//! and a remedy, so that operators can correct the text in one go.

pub mod diagnostic;
pub mod document;
pub mod fleet;
pub mod settings;
