//! The balance of requests over all daemons, those that ended included.

pub mod html;
pub mod records;
pub mod table;

use std::collections::BTreeMap;

use gooseberry_wire::peer::{BalanceRow, DaemonStatus, OutcomeRecord};
use serde::Serialize;

/// Holds the balance by service and account.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeReport {
    pub rows: Vec<BalanceRow>,
    /// Daemons whose share after a certain time isn't known.
    pub unknown_shares: Vec<UnclosedRecord>,
}

/// Names a daemon that ended without a last word.
///
/// Its requests that ran at its last record count as unknown; how many it
/// accepted after that isn't known, and so is never shown as none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct UnclosedRecord {
    pub daemon: String,
    pub incarnation: u64,
    /// Time of its last record, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Names a row of the report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    service: String,
    account: String,
}

impl OutcomeReport {
    /// Sums the recorded balances of ended daemons and those of live ones.
    pub fn new(recorded: Vec<OutcomeRecord>, live: Vec<DaemonStatus>) -> Self {
        let mut sums = BTreeMap::new();
        let mut unknown_shares = Vec::new();
        let answers = |daemon: &str, incarnation| {
            live.iter().any(|it| it.daemon == daemon && it.incarnation == incarnation)
        };
        for record in recorded {
            if answers(&record.daemon, record.incarnation) {
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

/// Counts what ran when its daemon ended as unknown.
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
