//! Order records in the key-value store.

use std::sync::Arc;

use gooseberry_core::{
    changes::EngineTarget,
    fleet::EngineRole,
    membership::{ParseIncarnationError, ProcessIncarnation},
    orders::{ObservedRecord, PendingClaim, RecordState, WriteOutcome},
    time::Timestamp,
};
use gooseberry_edges::platform::{PlatformApi, PlatformError, PutOutcome};
use gooseberry_wire::{
    order::{OrderOutcome, OrderPhase, OrderRecord},
    peer::OrderRow,
    platform::{KvPut, KvRecord},
};
use smol_str::SmolStr;

/// Key prefix of the records.
const KEY_PREFIX: &str = "orders/";

/// Reason why a record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error(transparent)]
    Platform(#[from] PlatformError),
    #[error("order record isn't valid: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("issuer in the order record isn't valid: {0}")]
    Issuer(#[from] ParseIncarnationError),
}

/// Record together with the part that the order tracker uses.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    pub observed: ObservedRecord,
    pub record: Option<OrderRecord>,
}

/// Reads and writes the records.
#[derive(Clone)]
pub struct OrderStore {
    platform: Arc<dyn PlatformApi>,
}

impl OrderStore {
    /// Creates a store on the platform's key-value store.
    pub fn new(platform: Arc<dyn PlatformApi>) -> Self {
        Self { platform }
    }

    /// Reads the record of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or the record isn't valid.
    pub async fn read(&self, engine: &str) -> Result<StoredRecord, RecordError> {
        match self.platform.get(&key(engine)).await? {
            Some(found) => parse(&found),
            None => {
                let seen = ObservedRecord { revision: 0, state: RecordState::Settled };
                Ok(StoredRecord { observed: seen, record: None })
            }
        }
    }

    /// Writes a record if the stored revision is the expected one.
    pub async fn write(&self, engine: &str, record: &OrderRecord, expected: u64) -> WriteOutcome {
        let value = serde_json::to_string(record).expect("wire types serialize to JSON");
        let put = KvPut { value, expected: Some(expected), lease: None };
        match self.platform.put(&key(engine), &put).await {
            Ok(PutOutcome::Written(revision)) => WriteOutcome::Written(revision),
            Ok(PutOutcome::Conflict(_)) => WriteOutcome::Conflict,
            Err(error) if error.has_no_effect() => {
                tracing::info!(engine, %error, "order record not written");
                WriteOutcome::Conflict
            }
            Err(error) => {
                tracing::warn!(engine, %error, "unknown whether the order record was written");
                WriteOutcome::Unknown
            }
        }
    }
}

/// Returns the order records of all engines, for operators.
///
/// # Errors
///
/// Returns an error if the platform can't be reached.
pub async fn list_orders(platform: &dyn PlatformApi) -> Result<Vec<OrderRow>, PlatformError> {
    let listing = platform.list(KEY_PREFIX).await?;
    let rows = listing.records.iter().filter_map(|found| {
        let record: OrderRecord = serde_json::from_str(&found.value)
            .inspect_err(
                |error| tracing::error!(key = found.key, %error, "order record isn't valid"),
            )
            .ok()?;
        Some(row(found, record))
    });
    Ok(rows.collect())
}

fn row(found: &KvRecord, record: OrderRecord) -> OrderRow {
    let change = target(&record).to_string();
    OrderRow {
        engine: found.key.trim_start_matches(KEY_PREFIX).to_owned(),
        phase: record.phase.to_string(),
        order_id: record.order_id,
        issuer: record.issuer,
        claimed_at_ms: record.claimed_at_ms,
        reason: record.reason,
        change,
        outcome: record.outcome.map(|outcome| outcome.to_string()),
        ended_at_ms: record.ended_at_ms,
        revision: found.revision,
    }
}

/// Builds the record of a claimed order.
pub fn pending(
    claim: &PendingClaim,
    target: &EngineTarget,
    reason: &str,
    configured_role: EngineRole,
    now: Timestamp,
) -> OrderRecord {
    let text = |name: &Option<SmolStr>| name.as_ref().map(SmolStr::to_string);
    OrderRecord {
        phase: OrderPhase::Pending,
        order_id: claim.order_id.to_string(),
        issuer: claim.issuer.to_string(),
        claimed_at_ms: now.as_millis(),
        reason: reason.to_owned(),
        role: target.role.map(|role| role.to_string()),
        model: text(&target.model),
        version: text(&target.version),
        adapters: target.adapters.iter().map(SmolStr::to_string).collect(),
        outcome: None,
        ended_at_ms: None,
        superseding: claim.superseding,
        configured_role: Some(configured_role.to_string()),
    }
}

/// Builds the settled record that replaces a pending one.
pub fn settled(record: OrderRecord, outcome: OrderOutcome, now: Timestamp) -> OrderRecord {
    OrderRecord {
        phase: OrderPhase::Settled,
        outcome: Some(outcome),
        ended_at_ms: Some(now.as_millis()),
        superseding: false,
        // A released order has changed nothing, so the next comparison with the
        // configuration must not assume that it has.
        configured_role: record.configured_role.filter(|_| outcome == OrderOutcome::Applied),
        ..record
    }
}

fn target(record: &OrderRecord) -> EngineTarget {
    EngineTarget {
        role: record.role.as_ref().and_then(|role| role.parse().ok()),
        model: record.model.as_ref().map(SmolStr::new),
        version: record.version.as_ref().map(SmolStr::new),
        adapters: record.adapters.iter().map(SmolStr::new).collect(),
    }
}

fn parse(found: &KvRecord) -> Result<StoredRecord, RecordError> {
    let record: OrderRecord = serde_json::from_str(&found.value)?;
    let state = match record.phase {
        OrderPhase::Settled => RecordState::Settled,
        OrderPhase::Pending => {
            let issuer: ProcessIncarnation = record.issuer.parse()?;
            let order_id = SmolStr::new(&record.order_id);
            let superseding = record.superseding;
            RecordState::Pending(PendingClaim { order_id, issuer, superseding })
        }
    };
    let seen = ObservedRecord { revision: found.revision, state };
    Ok(StoredRecord { observed: seen, record: Some(record) })
}

fn key(engine: &str) -> String {
    format!("{KEY_PREFIX}{engine}")
}
