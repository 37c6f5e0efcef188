//! Quarantines in the key-value store, for other failure domains and daemons that
//! start later.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{poison::RequestFingerprint, time::Timestamp};
use gooseberry_edges::platform::{PlatformError, PutOutcome};
use gooseberry_wire::{
    peer::{QuarantineEntry, QuarantineList},
    platform::{KvPut, KvRecord},
};

use crate::{context::DaemonContext, poison::PoisonRegistry};

/// Key of the record with all quarantines in force.
const RECORD_KEY: &str = "convictions";
/// Interval at which the record is read.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Backoff after a write that failed or conflicted with another daemon's write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the quarantines of other daemons in an endless loop.
pub async fn read(context: Arc<DaemonContext>) {
    loop {
        if let Ok(Some(record)) = context.platform.get(RECORD_KEY).await {
            apply(&context.poison, &record);
        }
        context.clock.sleep(READ_INTERVAL).await;
    }
}

/// Records new quarantines, retrying while the platform is unavailable.
pub async fn write(context: Arc<DaemonContext>, notices: async_channel::Receiver<()>) {
    while notices.recv().await.is_ok() {
        loop {
            match write_once(&context).await {
                Ok(PutOutcome::Written(_)) => break,
                Ok(PutOutcome::Conflict(_)) => {}
                Err(error) => tracing::debug!(%error, "quarantine not recorded yet; retrying"),
            }
            context.clock.sleep(WRITE_RETRY_DELAY).await;
        }
    }
}

/// Merges the record with this daemon's quarantines. A lost response is harmless,
/// because the next try finds its own entries.
async fn write_once(context: &DaemonContext) -> Result<PutOutcome, PlatformError> {
    let record = context.platform.get(RECORD_KEY).await?;
    if let Some(record) = &record {
        apply(&context.poison, record);
    }
    let entries = context.poison.quarantined().into_iter();
    let quarantined = entries.map(|(fingerprint, until)| QuarantineEntry {
        fingerprint: fingerprint.0,
        until_ms: until.as_millis(),
    });
    let list = QuarantineList { convictions: quarantined.collect() };
    let value = serde_json::to_string(&list).expect("wire types serialize to JSON");
    let expected = Some(record.map_or(0, |record| record.revision));
    context.platform.put(RECORD_KEY, &KvPut { value, expected, lease: None }).await
}

fn apply(registry: &PoisonRegistry, record: &KvRecord) {
    let Ok(list) = serde_json::from_str::<QuarantineList>(&record.value) else {
        tracing::warn!(revision = record.revision, "record of quarantines is invalid");
        return;
    };
    for entry in list.convictions {
        let until = Timestamp::from_millis(entry.until_ms);
        registry.apply_quarantine(RequestFingerprint(entry.fingerprint), until);
    }
}
