//! The report as a table for a terminal.

use crate::{output, report::OutcomeReport};

/// Names of the columns.
pub(super) const COLUMNS: [&str; 8] =
    ["service", "account", "accepted", "whole", "refused", "unknown", "failed", "running"];

/// Returns the report as text.
pub fn text(report: &OutcomeReport) -> String {
    let mut table = output::table(&COLUMNS);
    for row in &report.rows {
        table.add_row([
            row.service.clone(),
            row.account.clone(),
            row.accepted.to_string(),
            row.whole.to_string(),
            row.refused.to_string(),
            row.unknown.to_string(),
            row.failed.to_string(),
            row.running.to_string(),
        ]);
    }
    let mut text = table.to_string();
    for share in &report.unknown_shares {
        text.push_str(&format!(
            "\n{}/{} ended without a final record: the requests that it accepted after {} ms \
             are unknown",
            share.daemon, share.incarnation, share.since_ms
        ));
    }
    text
}
