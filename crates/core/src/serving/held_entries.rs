//! Entries that are older than what is known of their servers: the key-value service has got them back
//! from a copy, or has carried out a write late.
//!
//! The server has left since, or started again. Servers that live write their entries again, and those
//! of the others expire. A server whose clock was set back before it started keeps writing entries that
//! seem older.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::{serving::directory::ServerEntry, time::Timestamp};

/// Time after which an entry counts that was neither replaced nor has expired. Servers write each
/// second or two, and the entry of a silent one expires after three such intervals. A write that came
/// before the first read of the new era can't be told from what the copy had.
const EXPIRY_WAIT: Duration = Duration::from_secs(10);

/// Entries that are held back, by the id of their server.
#[derive(Clone, Debug, Default)]
pub struct HeldEntries {
    held: HashMap<SmolStr, (ServerEntry, Timestamp)>,
}

impl HeldEntries {
    /// Holds back an entry that was read at a time.
    pub fn hold(&mut self, entry: ServerEntry, now: Timestamp) {
        self.held.insert(entry.id.clone(), (entry, now));
    }

    /// Holds back an entry of an earlier start. Further entries of that start don't extend the time.
    pub fn hold_earlier_start(&mut self, entry: ServerEntry, now: Timestamp) {
        let held = self.held.get(&entry.id).filter(|(held, _)| held.is_same_start(&entry));
        let read_at = held.map_or(now, |(_, read_at)| *read_at);
        self.hold(entry, read_at);
    }

    /// Drops the entry of a server, because it was written again or removed.
    pub fn discard(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Takes the entries that have been held for so long that their servers live.
    pub fn take_confirmed(&mut self, now: Timestamp) -> Vec<ServerEntry> {
        let is_confirmed = |_: &SmolStr, (_, read_at): &mut (ServerEntry, Timestamp)| {
            now.since(*read_at) >= EXPIRY_WAIT
        };
        self.held.extract_if(is_confirmed).map(|(_, (entry, _))| entry).collect()
    }
}
