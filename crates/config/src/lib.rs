//! Reads YAML texts, checks them and builds the fleet that they describe.
//!
//! Every fault of a text is found in one pass and named with its line, its
//! field and what to do, because operators mend a text as a whole.

pub mod diagnostic;
pub mod document;
pub mod fleet;
pub mod settings;
