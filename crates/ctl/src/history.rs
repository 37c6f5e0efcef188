//! Who changed the configuration, when and how.
//!
//! The records form a ring of a fixed number of keys. The record of an edit is
//! written after the edit was accepted, and at the latest before the next one
//! replaces it, so that a command that dies in between loses nothing.

use anyhow::Context;
use gooseberry_edges::platform::{PlatformApi, PlatformClient, PutOutcome};
use gooseberry_wire::{edit::HistoryRecord, platform::KvPut};

use crate::configuration::RecordedText;

/// Edits that are kept.
const HISTORY_LENGTH: u64 = 20_000;
/// Attempts to keep an edit.
const KEEP_ATTEMPTS: u32 = 3;
/// Start of the keys of the history.
const HISTORY_PREFIX: &str = "edits/";

/// Reads and writes the history of accepted edits.
pub struct EditHistory<'a> {
    platform: &'a PlatformClient,
}

impl<'a> EditHistory<'a> {
    /// Makes a view of the history that a platform keeps.
    pub fn new(platform: &'a PlatformClient) -> Self {
        Self { platform }
    }

    /// Keeps an accepted edit, unless that was done before.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer; the edit may be kept.
    pub async fn record(&self, recorded: &RecordedText) -> anyhow::Result<()> {
        for _ in 1..KEEP_ATTEMPTS {
            // A write whose answer was lost is found by the next attempt.
            if self.keep_once(recorded).await.is_ok() {
                return Ok(());
            }
        }
        self.keep_once(recorded).await
    }

    async fn keep_once(&self, recorded: &RecordedText) -> anyhow::Result<()> {
        let edit = &recorded.edit;
        let path = path(edit.sequence);
        let oldest = self.platform.get(&path).await?;
        if let Some(oldest) = &oldest {
            let kept: HistoryRecord = serde_json::from_str(&oldest.value)?;
            if kept.revision >= recorded.revision {
                return Ok(());
            }
        }
        let record = HistoryRecord {
            sequence: edit.sequence,
            revision: recorded.revision,
            edit: edit.edit.clone(),
            author: edit.author.clone(),
            made_at_ms: edit.made_at_ms,
            base: edit.base,
            difference: edit.difference.clone(),
        };
        let expected = Some(oldest.map_or(0, |oldest| oldest.revision));
        let put = KvPut { value: serde_json::to_string(&record)?, expected, lease: None };
        match self.platform.put(&path, &put).await? {
            PutOutcome::Written(_) => Ok(()),
            // Another command keeps the same edit at the same time.
            PutOutcome::Conflict(_) => Ok(()),
        }
    }

    /// Returns the kept edit of a number, if it is still kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer.
    pub async fn find(&self, sequence: u64) -> anyhow::Result<Option<HistoryRecord>> {
        let Some(found) = self.platform.get(&path(sequence)).await? else { return Ok(None) };
        let record: HistoryRecord = serde_json::from_str(&found.value)?;
        Ok(Some(record).filter(|record| record.sequence == sequence))
    }

    /// Lists the kept edits, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer.
    pub async fn list(&self) -> anyhow::Result<Vec<HistoryRecord>> {
        let listing = self.platform.list(HISTORY_PREFIX).await?;
        let records = listing.records.iter().map(|found| serde_json::from_str(&found.value));
        let mut records: Vec<HistoryRecord> =
            records.collect::<Result<_, _>>().context("the history can't be read")?;
        records.sort_by_key(|record| record.revision);
        Ok(records)
    }
}

fn path(sequence: u64) -> String {
    format!("{HISTORY_PREFIX}{:05}", sequence % HISTORY_LENGTH)
}
