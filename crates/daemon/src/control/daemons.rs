//! The other daemons that have sent a hello, with their failure domains.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::time::Timestamp;
use smol_str::SmolStr;

/// Time without a hello after which a daemon no longer counts as live.
const DAEMON_EXPIRY: Duration = Duration::from_secs(5);
/// Time without a hello after which a daemon is removed.
const DAEMON_RETENTION: Duration = Duration::from_secs(600);

/// Table of the other daemons.
#[derive(Clone, Debug, Default)]
pub struct DaemonTable {
    rows: HashMap<SmolStr, DaemonRow>,
}

#[derive(Clone, Debug)]
struct DaemonRow {
    domain: SmolStr,
    seen_at: Timestamp,
}

impl DaemonTable {
    /// Records a daemon's hello.
    pub fn observe_hello(&mut self, daemon: &str, domain: &str, now: Timestamp) {
        self.rows.retain(|_, row| now.since(row.seen_at) < DAEMON_RETENTION);
        let row = DaemonRow { domain: SmolStr::new(domain), seen_at: now };
        self.rows.insert(SmolStr::new(daemon), row);
    }

    /// Returns the number of other known daemons in a failure domain. Limits are
    /// divided by this number and not by that of live daemons, since a daemon that
    /// sends no hellos may still serve requests.
    pub fn count_known(&self, domain: &str) -> usize {
        self.rows.values().filter(|row| row.domain == domain).count()
    }

    /// Returns the number of known daemons in all failure domains.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Lists the other daemons of a failure domain with a recent hello.
    pub fn live_daemons<'a>(
        &'a self,
        domain: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a SmolStr> + 'a {
        let live =
            move |row: &DaemonRow| row.domain == domain && now.since(row.seen_at) < DAEMON_EXPIRY;
        self.rows.iter().filter(move |(_, row)| live(row)).map(|(name, _)| name)
    }
}
