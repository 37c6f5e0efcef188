//! Request counts of this daemon by outcome, shared by the traffic threads.

pub mod record;

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

use gooseberry_core::{
    history::HistorySample,
    outcomes::{OutcomeKey, OutcomeRow, OutcomeTable, RequestOutcome},
    time::Timestamp,
};
use gooseberry_wire::peer;
use parking_lot::Mutex;

use crate::metrics::MetricClient;

/// Counts all requests of this daemon by service, account and outcome.
#[derive(Clone)]
pub struct OutcomeStore {
    table: Arc<Mutex<OutcomeTable>>,
    tokens: Arc<TokenTotals>,
    metrics: Arc<MetricClient>,
}

/// Totals of the tokens in complete responses.
#[derive(Debug, Default)]
struct TokenTotals {
    prompt: AtomicU64,
    output: AtomicU64,
}

impl OutcomeStore {
    /// Creates an empty store.
    pub fn new(metrics: Arc<MetricClient>) -> Self {
        Self { table: Arc::default(), tokens: Arc::default(), metrics }
    }

    /// Counts an accepted request. Its outcome is counted through the returned
    /// guard.
    pub fn accept(&self, key: OutcomeKey) -> OutcomeGuard {
        self.table.lock().accept(key.clone());
        OutcomeGuard { store: self.clone(), key, ended: false }
    }

    /// Lists the current rows.
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

    /// Samples the totals over all rows, without the counts of engines by role.
    pub fn sample(&self, now: Timestamp) -> HistorySample {
        let total =
            self.table.lock().iter().fold(OutcomeRow::default(), |sum, (_, row)| sum + *row);
        HistorySample {
            at: now,
            whole: total.whole,
            refused: total.refused,
            unknown: total.unknown,
            failed: total.failed,
            prompt_tokens: self.tokens.prompt.load(Ordering::Relaxed),
            output_tokens: self.tokens.output.load(Ordering::Relaxed),
            ..HistorySample::default()
        }
    }

    fn end(&self, key: &OutcomeKey, outcome: RequestOutcome) {
        self.table.lock().end(key, outcome);
        self.metrics.request_ended(outcome);
    }
}

/// One accepted request until its outcome is counted.
///
/// A guard that is dropped without an outcome counts as failed, because then the
/// caller disconnected or the connection was lost.
pub struct OutcomeGuard {
    store: OutcomeStore,
    key: OutcomeKey,
    ended: bool,
}

impl OutcomeGuard {
    /// Counts the outcome of the request.
    pub fn end(mut self, outcome: RequestOutcome) {
        self.ended = true;
        self.store.end(&self.key, outcome);
    }
}

impl OutcomeGuard {
    /// Counts a complete response with its tokens.
    pub fn end_completion(self, prompt_tokens: u32, output_tokens: u32) {
        let tokens = &self.store.tokens;
        tokens.prompt.fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
        tokens.output.fetch_add(u64::from(output_tokens), Ordering::Relaxed);
        self.end(RequestOutcome::Whole);
    }
}

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.store.end(&self.key, RequestOutcome::Failed);
        }
    }
}
