//! Entries of servers that the key-value service has got back from a copy.
//!
//! Such an entry may be older than what is known of its server: the server has left since, or started
//! again. Servers that live write their entries again, and those of the others expire.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::{serving::directory::ServerEntry, time::Timestamp};

/// Time after which an entry counts that was neither written again nor has expired. Servers write each
/// second or two, and the entry of a silent one expires after three such intervals. A write that came
/// before the first read of the new era can't be told from what the copy had.
const EXPIRY_WAIT: Duration = Duration::from_secs(10);

/// Entries that are older than what is known of their servers, by id.
#[derive(Clone, Debug, Default)]
pub struct RestoredEntries {
    held: HashMap<SmolStr, (ServerEntry, Timestamp)>,
}

impl RestoredEntries {
    /// Holds back an entry that was read at a time.
    pub fn hold(&mut self, entry: ServerEntry, now: Timestamp) {
        self.held.insert(entry.id.clone(), (entry, now));
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
