//! Deletes claims for which no caller comes back any more.

use std::{sync::Arc, time::Duration};

use gooseberry_edges::platform::PlatformError;

use crate::{claims::record, context::DaemonContext};

/// Interval at which a daemon looks through one shard of the claims.
const PRUNE_INTERVAL: Duration = Duration::from_secs(60);
/// Claims that one daemon deletes in an interval at most, to spare the
/// platform's budget of writes.
const PRUNE_LIMIT: usize = 60;

/// Deletes expired claims for ever, one random shard at a time, so that the
/// daemons share the work without agreeing on it.
pub async fn run(context: Arc<DaemonContext>) {
    loop {
        context.clock.sleep(PRUNE_INTERVAL).await;
        match prune_shard(&context, rand::random()).await {
            Ok(0) => {}
            Ok(deleted) => tracing::info!(deleted, "deleted expired claims"),
            Err(error) => tracing::debug!(%error, "can't look for expired claims"),
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
    for found in expired.take(PRUNE_LIMIT) {
        context.platform.delete(&found.key, found.revision).await?;
        deleted += 1;
    }
    Ok(deleted)
}
