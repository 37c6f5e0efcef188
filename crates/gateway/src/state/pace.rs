//! The pace of servers that have started or recovered, as daemons tell it to each other.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        fleet,
        pace::{PaceChange, PaceStatement},
    },
    time::Timestamp,
};
use smol_str::SmolStr;

use crate::{
    state::GatewayState,
    updates::{PaceRecord, SendUpdate},
};

/// Largest number of servers whose pace a daemon sends with a summary. A record has at most 30
/// bytes, so 2 summaries a second have 600 bytes for each receiver.
const PACE_RECORD_LIMIT: usize = 10;
/// Unit of the windows that daemons exchange: shares are told in millionths.
const WINDOW_UNIT: f64 = 1_000_000.0;

/// Pace of one server, for the log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct PacedServer {
    pub id: SmolStr,
    /// Share of what the server's peers hold.
    pub window: f64,
}

impl GatewayState {
    /// Updates the pace of the servers, and returns what the other daemons are to be told.
    pub fn update_pace(&mut self, now: Timestamp) -> Option<SendUpdate> {
        if !self.fleet.adapts_pace() {
            return None;
        }
        let peers = self.peers.keys().copied().collect();
        self.fleet.update_pace(peers, now);
        let statements = self.fleet.pace_statements(now).into_iter();
        let record = |(key, statement): (_, PaceStatement)| {
            let entry = &self.fleet.server(key).entry;
            PaceRecord {
                server: fleet::server_hash(&entry.id),
                incarnation: fleet::incarnation(entry).0,
                window: (statement.window * WINDOW_UNIT) as u32,
                age_ms: now.since(statement.changed_at).as_millis() as u32,
            }
        };
        let servers: Vec<PaceRecord> = statements.take(PACE_RECORD_LIMIT).map(record).collect();
        (!servers.is_empty()).then_some(SendUpdate::Paced { servers })
    }

    /// Takes the changes of windows since the last call, with the ids of their servers.
    pub fn take_pace_changes(&mut self) -> Vec<(SmolStr, PaceChange)> {
        let changes = self.fleet.take_pace_changes().into_iter();
        changes.map(|(key, change)| (self.fleet.server(key).entry.id.clone(), change)).collect()
    }

    /// Returns the servers that are paced.
    pub fn paced_servers(&self) -> Vec<PacedServer> {
        let paced = self.fleet.iter().filter(|(_, state)| state.pace.is_paced());
        let paced = paced.map(|(_, state)| PacedServer {
            id: state.entry.id.clone(),
            window: state.pace.window(),
        });
        paced.collect()
    }

    pub(super) fn apply_pace(&mut self, servers: &[PaceRecord], now: Timestamp) {
        for record in servers {
            let statement = PaceStatement {
                window: f64::from(record.window) / WINDOW_UNIT,
                changed_at: now - Duration::from_millis(u64::from(record.age_ms)),
            };
            self.fleet.apply_pace(record.server, record.incarnation, statement, now);
        }
    }
}
