//! The balance of this daemon's requests, shared by the traffic threads.

use std::sync::Arc;

use gooseberry_core::balance::{BalanceKey, BalanceTable, RequestOutcome};
use gooseberry_wire::peer;
use parking_lot::Mutex;

use crate::metrics::MetricClient;

/// Accounts for all requests of this daemon.
#[derive(Clone)]
pub struct BalanceBook {
    table: Arc<Mutex<BalanceTable>>,
    metrics: Arc<MetricClient>,
}

impl BalanceBook {
    /// Makes an empty book.
    pub fn new(metrics: Arc<MetricClient>) -> Self {
        Self { table: Arc::default(), metrics }
    }

    /// Counts a request; the ticket must say how it ends.
    pub fn accept(&self, key: BalanceKey) -> RequestTicket {
        self.table.lock().accept(key.clone());
        RequestTicket { book: self.clone(), key, ended: false }
    }

    /// Lists the rows as they stand now.
    pub fn rows(&self) -> Vec<peer::BalanceRow> {
        self.table
            .lock()
            .iter()
            .map(|(key, row)| peer::BalanceRow {
                service: key.service.to_string(),
                account: key.account.to_string(),
                accepted: row.accepted,
                whole: row.whole,
                refused: row.refused,
                unknown: row.unknown,
                failed: row.failed,
                running: row.running(),
            })
            .collect()
    }

    fn end(&self, key: &BalanceKey, outcome: RequestOutcome) {
        self.table.lock().end(key, outcome);
        self.metrics.request_ended(outcome);
    }
}

/// Stands for one accepted request until its end is counted.
///
/// A ticket that is dropped without an end counts as failed, because then the
/// caller left or the connection broke.
pub struct RequestTicket {
    book: BalanceBook,
    key: BalanceKey,
    ended: bool,
}

impl RequestTicket {
    /// Counts the end of the request.
    pub fn end(mut self, outcome: RequestOutcome) {
        self.ended = true;
        self.book.end(&self.key, outcome);
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        if !self.ended {
            self.book.end(&self.key, RequestOutcome::Failed);
        }
    }
}
