//! The crashes under a whole request, in the form in which they outlast a kill of all daemons.

use std::time::Duration;

use crate::{
    serving::{
        part_evidence::{EngineIncarnation, PartCrash, PartEvidence, VerdictChanges},
        prompt::PartFingerprint,
    },
    time::Timestamp,
};

/// Number of crashed engines from which a whole request is remembered if all daemons are killed.
/// Ordinary crashes rarely hit one twice.
const REMEMBERED_CRASHES: usize = 2;

/// One of the crashes since a whole request last completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatedCrash {
    pub engine: EngineIncarnation,
    /// Time since the first of these crashes.
    pub after: Duration,
    /// Whether the engine ended under the trial of the request.
    pub is_trial: bool,
}

/// A whole request that is neither convicted nor proven, with its crashes in the order of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectHistory {
    pub part: PartFingerprint,
    pub crashes: Vec<RepeatedCrash>,
}

impl PartEvidence {
    /// Returns whether several engines have ended under a part since a request with it completed.
    pub fn has_repeated_crashes(&self, part: PartFingerprint) -> bool {
        let record = self.records.get(&part);
        record.is_some_and(|record| record.crashes.len() >= REMEMBERED_CRASHES)
    }

    /// Iterates over the whole requests with repeated crashes.
    pub fn repeated_requests(&self) -> impl Iterator<Item = PartFingerprint> + '_ {
        let parts = self.records.keys().copied();
        parts.filter(|part| part.is_request() && self.has_repeated_crashes(*part))
    }

    /// Returns the crashes of a whole request, if there are several and no verdict on it.
    pub fn suspect_history(&self, part: PartFingerprint, now: Timestamp) -> Option<SuspectHistory> {
        let record = self.records.get(&part).filter(|_| part.is_request())?;
        if record.is_convicted || record.is_proven(now) {
            return None;
        }
        let mut crashes = record.unexplained(&self.explained);
        crashes.sort_unstable_by_key(|crash| crash.at);
        let first_at = crashes.first()?.at;
        let is_repeated = crashes.len() >= REMEMBERED_CRASHES;
        is_repeated.then(|| SuspectHistory {
            part,
            crashes: crashes
                .into_iter()
                .map(|PartCrash { engine, at, is_trial }| RepeatedCrash {
                    engine,
                    after: at.since(first_at),
                    is_trial,
                })
                .collect(),
        })
    }

    /// Applies the crashes that daemons before this one have recorded for a whole request. The
    /// last one counts as if it happened now.
    pub fn restore_history(&mut self, history: &SuspectHistory, now: Timestamp) -> VerdictChanges {
        let latest = history.crashes.iter().map(|crash| crash.after).max().unwrap_or_default();
        let mut changes = VerdictChanges::default();
        for crash in &history.crashes {
            let at = now - latest.saturating_sub(crash.after);
            let parts = [history.part];
            let verdicts = self.record_crashes(crash.engine, &parts, at, crash.is_trial);
            changes.convicted.extend(verdicts.convicted);
            changes.acquitted.extend(verdicts.acquitted);
        }
        changes
    }
}
