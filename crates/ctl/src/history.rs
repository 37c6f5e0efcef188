//! The history of accepted edits of the configuration, with author, time and difference.
//!
//! The records form a ring buffer of a fixed number of keys. The record of an
//! edit is written after the edit was accepted, and at the latest before the
//! next edit replaces it, so that no record is lost if a command crashes in
//! between.

use anyhow::Context;
use gooseberry_edges::platform::{PlatformApi, PlatformClient, PutOutcome};
use gooseberry_wire::{edit::HistoryRecord, platform::KvPut};

use crate::configuration::RecordedText;

/// Largest number of edits in the history.
const HISTORY_LENGTH: u64 = 20_000;
/// Attempts to write an edit to the history.
const RECORD_ATTEMPTS: u32 = 3;
/// Prefix of the keys of the history.
const HISTORY_PREFIX: &str = "edits/";

/// Reads and writes the history of accepted edits.
pub struct EditHistory<'a> {
    platform: &'a PlatformClient,
}

impl<'a> EditHistory<'a> {
    /// Returns the history that is stored on a platform.
    pub fn new(platform: &'a PlatformClient) -> Self {
        Self { platform }
    }

    /// Writes an accepted edit to the history, unless the history already has it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't respond or a record can't be
    /// read. The edit may have been written nevertheless.
    pub async fn record(&self, recorded: &RecordedText) -> anyhow::Result<()> {
        for _ in 1..RECORD_ATTEMPTS {
            // If the response to a write is lost, the next attempt finds the record.
            if self.record_once(recorded).await.is_ok() {
                return Ok(());
            }
        }
        self.record_once(recorded).await
    }

    async fn record_once(&self, recorded: &RecordedText) -> anyhow::Result<()> {
        let edit = &recorded.edit;
        let path = path(edit.sequence);
        let oldest = self.platform.get(&path).await?;
        if let Some(oldest) = &oldest {
            let stored: HistoryRecord = serde_json::from_str(&oldest.value)?;
            if stored.revision >= recorded.revision {
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
            // Another command has written the same edit at the same time.
            PutOutcome::Conflict(_) => Ok(()),
        }
    }

    /// Returns the edit with a sequence number, if the history still has it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't respond or the record can't be read.
    pub async fn find(&self, sequence: u64) -> anyhow::Result<Option<HistoryRecord>> {
        let Some(found) = self.platform.get(&path(sequence)).await? else { return Ok(None) };
        let record: HistoryRecord = serde_json::from_str(&found.value)?;
        Ok(Some(record).filter(|record| record.sequence == sequence))
    }

    /// Returns all edits of the history, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't respond or a record can't be read.
    pub async fn list(&self) -> anyhow::Result<Vec<HistoryRecord>> {
        let listing = self.platform.list(HISTORY_PREFIX).await?;
        let records = listing.records.iter().map(|found| serde_json::from_str(&found.value));
        let mut records: Vec<HistoryRecord> =
            records.collect::<Result<_, _>>().context("can't parse a record of the history")?;
        records.sort_by_key(|record| record.revision);
        Ok(records)
    }
}

fn path(sequence: u64) -> String {
    format!("{HISTORY_PREFIX}{:05}", sequence % HISTORY_LENGTH)
}
