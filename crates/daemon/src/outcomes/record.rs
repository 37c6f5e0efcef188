//! The balance as the key-value service keeps it.
//!
//! A daemon records its balance from time to time and, marked as closed, when
//! it stops gracefully. A record that is not closed and whose daemon doesn't
//! answer tells auditors that a share is unknown, and since when.

use std::{sync::Arc, time::Duration};

use gooseberry_edges::platform::PlatformError;
use gooseberry_wire::{
    peer::{BalanceRow, OutcomeRecord},
    platform::KvPut,
};

use crate::context::DaemonContext;

/// Prefix of the keys; daemon, incarnation and part follow.
pub const BALANCE_PREFIX: &str = "balance/";
/// Interval of records while the daemon runs.
const RECORD_INTERVAL: Duration = Duration::from_secs(60);
/// Rows in one record, so that its value stays well below a megabyte.
const ROWS_PER_PART: usize = 2000;
/// Tries to write the last record of a daemon that stops.
const CLOSE_TRIES: u32 = 5;
/// Pause between these tries.
const CLOSE_PAUSE: Duration = Duration::from_millis(500);

/// Records the balance for ever; the first record says that the daemon runs.
pub async fn record_periodically(context: Arc<DaemonContext>) {
    let mut recorded = None;
    loop {
        let rows = context.balance.rows();
        if recorded.as_ref() != Some(&rows) {
            match write(&context, rows.clone(), false).await {
                Ok(()) => recorded = Some(rows),
                Err(error) => tracing::debug!(%error, "the balance isn't recorded"),
            }
        }
        context.clock.sleep(RECORD_INTERVAL).await;
    }
}

/// Records the last balance of a daemon that stops.
pub async fn record_final(context: &DaemonContext) {
    for _ in 0..CLOSE_TRIES {
        match write(context, context.balance.rows(), true).await {
            Ok(()) => return,
            Err(error) => tracing::warn!(%error, "the last balance isn't recorded"),
        }
        context.clock.sleep(CLOSE_PAUSE).await;
    }
}

async fn write(
    context: &DaemonContext,
    rows: Vec<BalanceRow>,
    closed: bool,
) -> Result<(), PlatformError> {
    let parts = rows.chunks(ROWS_PER_PART).map(<[_]>::to_vec);
    let parts: Vec<_> = if rows.is_empty() { vec![Vec::new()] } else { parts.collect() };
    for (index, rows) in parts.into_iter().enumerate() {
        let record = OutcomeRecord {
            daemon: context.settings.name.clone(),
            incarnation: context.incarnation,
            as_of_ms: context.clock.now().as_millis(),
            closed,
            rows,
        };
        let value = serde_json::to_string(&record).expect("border types are valid JSON");
        // Nobody else writes this key, so no revision is expected.
        let put = KvPut { value, expected: None, lease: None };
        let key = format!("{BALANCE_PREFIX}{}/{index}", context.process);
        context.platform.put(&key, &put).await?;
    }
    Ok(())
}
