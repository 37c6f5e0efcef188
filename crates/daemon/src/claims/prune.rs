//! Deletes expired claims, whose calls no caller retries any more.

use std::{sync::Arc, time::Duration};

use gooseberry_edges::platform::PlatformError;

use crate::{claims::record, context::DaemonContext};

/// Interval at which a daemon checks one shard of the claims.
const PRUNE_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of claims that one daemon deletes per interval, to stay within the
/// platform's write budget.
const MAX_PRUNED_CLAIMS: usize = 60;

/// Deletes expired claims in an endless loop, one random shard per round, so that
/// the daemons share the work without coordination.
pub async fn run(context: Arc<DaemonContext>) {
    loop {
        context.clock.sleep(PRUNE_INTERVAL).await;
        match prune_shard(&context, rand::random()).await {
            Ok(0) => {}
            Ok(deleted) => tracing::info!(deleted, "expired claims deleted"),
            Err(error) => tracing::debug!(%error, "can't list or delete expired claims"),
        }
    }
}

async fn prune_shard(context: &DaemonContext, shard: u8) -> Result<usize, PlatformError> {
    let listing = context.platform.list(&record::shard_prefix(shard)).await?;
    let members = context.snapshot.load().membership.clone();
    let now = context.clock.now();
    let expired = listing.records.into_iter().filter(|found| {
        let row = serde_json::from_str(&found.value).ok().map(record::to_row);
        row.and_then(Result::ok).is_some_and(|row| row.is_expired(&members, now))
    });
    let mut deleted = 0;
    for found in expired.take(MAX_PRUNED_CLAIMS) {
        context.platform.delete(&found.key, found.revision).await?;
        deleted += 1;
    }
    Ok(deleted)
}
