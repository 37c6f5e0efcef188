//! Outcome counts as stored in the key-value store.
//!
//! A daemon records its outcome counts periodically and, marked as closed, at a
//! graceful shutdown. From an open record of a daemon that doesn't respond,
//! auditors see that some of its requests are unaccounted for, and since when.

use std::{sync::Arc, time::Duration};

use gooseberry_edges::platform::PlatformError;
use gooseberry_wire::{
    peer::{BalanceRow, OutcomeRecord},
    platform::KvPut,
};

use crate::context::DaemonContext;

/// Key prefix. Daemon, incarnation and part follow.
pub const BALANCE_PREFIX: &str = "balance/";
/// Interval of records while the daemon runs.
const RECORD_INTERVAL: Duration = Duration::from_secs(60);
/// Most rows in one record, so that its value stays well below a megabyte.
const MAX_ROWS_PER_PART: usize = 2000;
/// Attempts to write the final record of a stopping daemon.
const FINAL_WRITE_ATTEMPTS: u32 = 5;
/// Delay between the attempts to write the final record.
const FINAL_WRITE_DELAY: Duration = Duration::from_millis(500);

/// Records the outcome counts in an endless loop. The first record shows that the
/// daemon runs.
pub async fn record_periodically(context: Arc<DaemonContext>) {
    let mut recorded = None;
    loop {
        let rows = context.outcomes.rows();
        if recorded.as_ref() != Some(&rows) {
            match write(&context, rows.clone(), false).await {
                Ok(()) => recorded = Some(rows),
                Err(error) => tracing::debug!(%error, "can't record the outcome counts"),
            }
        }
        context.clock.sleep(RECORD_INTERVAL).await;
    }
}

/// Records the final outcome counts of a stopping daemon.
pub async fn record_final(context: &DaemonContext) {
    for _ in 0..FINAL_WRITE_ATTEMPTS {
        match write(context, context.outcomes.rows(), true).await {
            Ok(()) => return,
            Err(error) => tracing::warn!(%error, "can't record the final outcome counts"),
        }
        context.clock.sleep(FINAL_WRITE_DELAY).await;
    }
}

async fn write(
    context: &DaemonContext,
    rows: Vec<BalanceRow>,
    closed: bool,
) -> Result<(), PlatformError> {
    let parts = rows.chunks(MAX_ROWS_PER_PART).map(<[_]>::to_vec);
    let parts: Vec<_> = if rows.is_empty() { vec![Vec::new()] } else { parts.collect() };
    for (index, rows) in parts.into_iter().enumerate() {
        let record = OutcomeRecord {
            daemon: context.settings.name.clone(),
            incarnation: context.incarnation,
            as_of_ms: context.clock.now().as_millis(),
            closed,
            rows,
        };
        let value = serde_json::to_string(&record).expect("wire types serialize to JSON");
        // No other process writes this key, so no revision is expected.
        let put = KvPut { value, expected: None, lease: None };
        let key = format!("{BALANCE_PREFIX}{}/{index}", context.process);
        context.platform.put(&key, &put).await?;
    }
    Ok(())
}
