//! The outcome counts of requests over all daemons, including daemons that have ended.

pub mod html;
pub mod records;
pub mod table;

use std::collections::BTreeMap;

use gooseberry_wire::peer::{BalanceRow, DaemonStatus, OutcomeRecord};
use serde::Serialize;

/// Holds the outcome counts by service and account.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeReport {
    pub rows: Vec<BalanceRow>,
    /// Daemons whose counts after their last record aren't known.
    pub unknown_shares: Vec<UnclosedRecord>,
}

/// Names a daemon that ended without a final record, for example because it was killed.
///
/// Its requests that were running at its last record count as unknown. How many
/// it accepted after that isn't known, so the report says so instead of showing 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct UnclosedRecord {
    pub daemon: String,
    pub incarnation: u64,
    /// Time of its last record, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Identifies a row of the report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    service: String,
    account: String,
}

impl OutcomeReport {
    /// Sums the recorded counts of ended daemons and the reported counts of live ones.
    pub fn new(recorded: Vec<OutcomeRecord>, live: Vec<DaemonStatus>) -> Self {
        let mut sums = BTreeMap::new();
        let mut unknown_shares = Vec::new();
        let is_live = |daemon: &str, incarnation| {
            live.iter().any(|it| it.daemon == daemon && it.incarnation == incarnation)
        };
        for record in recorded {
            if is_live(&record.daemon, record.incarnation) {
                continue;
            }
            if !record.closed {
                unknown_shares.push(UnclosedRecord {
                    daemon: record.daemon.clone(),
                    incarnation: record.incarnation,
                    since_ms: record.as_of_ms,
                });
            }
            for row in record.rows {
                add(&mut sums, without_running(row));
            }
        }
        for row in live.into_iter().flat_map(|status| status.balance) {
            add(&mut sums, row);
        }
        unknown_shares.sort();
        unknown_shares.dedup();
        Self { rows: sums.into_values().collect(), unknown_shares }
    }
}

/// Counts the requests that were running when their daemon ended as unknown.
fn without_running(row: BalanceRow) -> BalanceRow {
    BalanceRow { unknown: row.unknown + row.running, running: 0, ..row }
}

fn add(sums: &mut BTreeMap<RowKey, BalanceRow>, row: BalanceRow) {
    let key = RowKey { service: row.service.clone(), account: row.account.clone() };
    let Some(sum) = sums.get_mut(&key) else {
        sums.insert(key, row);
        return;
    };
    sum.accepted += row.accepted;
    sum.whole += row.whole;
    sum.refused += row.refused;
    sum.unknown += row.unknown;
    sum.failed += row.failed;
    sum.running += row.running;
}
