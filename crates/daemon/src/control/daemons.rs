//! The daemons that have introduced themselves, with their failure domains.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::time::Timestamp;
use smol_str::SmolStr;

/// Age at which a daemon that says nothing no longer counts as live.
const DAEMON_EXPIRY: Duration = Duration::from_secs(5);
/// Age at which a daemon that says nothing is forgotten.
const DAEMON_MEMORY: Duration = Duration::from_secs(600);

/// Holds the other daemons.
#[derive(Clone, Debug, Default)]
pub struct DaemonTable {
    rows: HashMap<SmolStr, DaemonRow>,
}

#[derive(Clone, Debug)]
struct DaemonRow {
    domain: SmolStr,
    heard: Timestamp,
}

impl DaemonTable {
    /// Notes that a daemon has introduced itself.
    pub fn observe_hello(&mut self, daemon: &str, domain: &str, now: Timestamp) {
        self.rows.retain(|_, row| now.since(row.heard) < DAEMON_MEMORY);
        let row = DaemonRow { domain: SmolStr::new(domain), heard: now };
        self.rows.insert(SmolStr::new(daemon), row);
    }

    /// Counts the other daemons of a failure domain that were heard of at all,
    /// which is what bounds are divided by: a silent daemon may go on.
    pub fn count_known(&self, domain: &str) -> usize {
        self.rows.values().filter(|row| row.domain == domain).count()
    }

    /// Counts all daemons that were heard of, in any failure domain.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Lists the other daemons of a failure domain that were heard lately.
    pub fn live_daemons<'a>(
        &'a self,
        domain: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a SmolStr> + 'a {
        let live =
            move |row: &DaemonRow| row.domain == domain && now.since(row.heard) < DAEMON_EXPIRY;
        self.rows.iter().filter(move |(_, row)| live(row)).map(|(name, _)| name)
    }
}
