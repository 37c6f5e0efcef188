//! The balance of requests over several daemons.

use std::collections::BTreeMap;

use gooseberry_wire::peer::BalanceRow;
use serde::Serialize;

/// Names a row of the report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    service: String,
    account: String,
}

/// Holds the balance by service and account.
#[derive(Debug, Default, Serialize)]
pub struct BalanceReport {
    pub rows: Vec<BalanceRow>,
}

impl BalanceReport {
    /// Sums the rows of several daemons.
    pub fn sum(rows: impl Iterator<Item = BalanceRow>) -> Self {
        let mut sums: BTreeMap<RowKey, BalanceRow> = BTreeMap::new();
        for row in rows {
            let key = RowKey { service: row.service.clone(), account: row.account.clone() };
            match sums.get_mut(&key) {
                Some(sum) => add(sum, &row),
                None => {
                    sums.insert(key, row);
                }
            }
        }
        Self { rows: sums.into_values().collect() }
    }

    /// Writes the report as a table.
    pub fn to_table(&self) -> String {
        let mut table = format!(
            "{:<16} {:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}\n",
            "service", "account", "accepted", "whole", "refused", "unknown", "failed", "running"
        );
        for row in &self.rows {
            table.push_str(&format!(
                "{:<16} {:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}\n",
                row.service,
                row.account,
                row.accepted,
                row.whole,
                row.refused,
                row.unknown,
                row.failed,
                row.running
            ));
        }
        table
    }
}

fn add(sum: &mut BalanceRow, row: &BalanceRow) {
    sum.accepted += row.accepted;
    sum.whole += row.whole;
    sum.refused += row.refused;
    sum.unknown += row.unknown;
    sum.failed += row.failed;
    sum.running += row.running;
}
