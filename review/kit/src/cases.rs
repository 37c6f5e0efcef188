//! The cases.

use crate::world::{Verdict, World};

mod fence_after_drill;
mod leaving_by_odd_entry;
mod missed_configuration;
mod resumed_in_outage;
mod stream_at_shutdown;

/// Finds a case by name.
pub fn find(name: &str) -> Option<fn(&World) -> Verdict> {
    Some(match name {
        "missed-configuration" => missed_configuration::run,
        "fence-after-drill" => fence_after_drill::run,
        "resumed-in-outage" => resumed_in_outage::run,
        "stream-at-shutdown" => stream_at_shutdown::run,
        "leaving-by-odd-entry" => leaving_by_odd_entry::run,
        _ => return None,
    })
}
