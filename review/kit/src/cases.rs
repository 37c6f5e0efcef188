//! The cases.

use crate::world::{Verdict, World};

mod missed_configuration;

/// Finds a case by name.
pub fn find(name: &str) -> Option<fn(&World) -> Verdict> {
    Some(match name {
        "missed-configuration" => missed_configuration::run,
        _ => return None,
    })
}
