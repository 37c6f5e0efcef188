//! Quarantine of poison requests, which crash the engines that run them.
//!
//! A request that was in flight when its engine crashed is a suspect. A suspect runs
//! again only in a trial: meanwhile no other suspect runs on that engine, and no other
//! daemon runs the same suspect. A request that crashes the engine of its trial is
//! quarantined: it doesn't run until [`QUARANTINE_DURATION`] has passed. Other requests
//! share the engine with a trial, because reserving a whole engine for each suspect would
//! cost more than the rare crash.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::time::Timestamp;

/// Time for which a request stays a suspect, unless it is cleared or quarantined earlier.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(600);
/// Time for which a request stays quarantined.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3600);
/// Maximum number of requests whose status is kept.
const RECORD_LIMIT: usize = 4096;

/// Identifies the input that engines process for a request, independent of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint(pub u64);

/// States how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonStatus {
    /// It runs like any other request.
    Clear,
    /// It runs only in a trial.
    Suspect,
    /// It doesn't run until the quarantine ends.
    Quarantined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RecordStatus {
    Suspect,
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct PoisonRecord {
    status: RecordStatus,
    until: Timestamp,
}

/// Identifies the trial of a suspect on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonTrial {
    pub fingerprint: RequestFingerprint,
    pub engine: SmolStr,
    /// Daemon that runs the trial.
    pub holder: SmolStr,
}

/// Holds the status of requests and the running trials.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    records: HashMap<RequestFingerprint, PoisonRecord>,
    trials: Vec<(PoisonTrial, Timestamp)>,
}

impl PoisonTable {
    /// Returns the status of a request.
    pub fn status(&self, fingerprint: RequestFingerprint, now: Timestamp) -> PoisonStatus {
        let record = self.records.get(&fingerprint).filter(|record| now < record.until);
        match record.map(|record| record.status) {
            None => PoisonStatus::Clear,
            Some(RecordStatus::Suspect) => PoisonStatus::Suspect,
            Some(RecordStatus::Quarantined) => PoisonStatus::Quarantined,
        }
    }

    /// Marks a request that was in flight during a crash as a suspect, unless it is
    /// quarantined.
    pub fn suspect(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        if self.status(fingerprint, now) != PoisonStatus::Quarantined {
            self.record(fingerprint, RecordStatus::Suspect, now + SUSPECT_DURATION, now);
        }
    }

    /// Quarantines a request that crashed an engine in its trial; returns whether it was not
    /// quarantined before.
    pub fn quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        until: Timestamp,
        now: Timestamp,
    ) -> bool {
        let is_new = self.status(fingerprint, now) != PoisonStatus::Quarantined;
        self.record(fingerprint, RecordStatus::Quarantined, until, now);
        is_new
    }

    /// Clears a suspect whose run was completed; a quarantined request stays quarantined.
    pub fn clear(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        if self.status(fingerprint, now) == PoisonStatus::Suspect {
            self.records.remove(&fingerprint);
        }
    }

    /// Reserves an engine for a suspect, and the suspect for this trial. Returns false if
    /// another trial holds either, or the request is quarantined.
    pub fn begin_trial(&mut self, trial: PoisonTrial, duration: Duration, now: Timestamp) -> bool {
        self.trials.retain(|(_, until)| now < *until);
        let is_free = self.status(trial.fingerprint, now) != PoisonStatus::Quarantined
            && self.trials.iter().all(|(other, _)| {
                other.fingerprint != trial.fingerprint && other.engine != trial.engine
            });
        if is_free {
            self.trials.push((trial, now + duration));
        }
        is_free
    }

    /// Ends a trial and thereby releases its engine.
    pub fn end_trial(&mut self, trial: &PoisonTrial) {
        self.trials.retain(|(other, _)| other != trial);
    }

    /// Tells whether a trial runs on an engine.
    pub fn is_on_trial(&self, engine: &str, now: Timestamp) -> bool {
        self.trials.iter().any(|(trial, until)| trial.engine == engine && now < *until)
    }

    /// Returns the quarantined requests with their expiry times.
    pub fn quarantined(&self, now: Timestamp) -> Vec<(RequestFingerprint, Timestamp)> {
        let records = self
            .records
            .iter()
            .filter(|(_, record)| record.status == RecordStatus::Quarantined && now < record.until);
        let mut quarantined: Vec<_> =
            records.map(|(fingerprint, record)| (*fingerprint, record.until)).collect();
        quarantined.sort_unstable();
        quarantined
    }

    fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        status: RecordStatus,
        until: Timestamp,
        now: Timestamp,
    ) {
        if self.records.len() >= RECORD_LIMIT && !self.records.contains_key(&fingerprint) {
            self.evict_record(now);
        }
        self.records.insert(fingerprint, PoisonRecord { status, until });
    }

    /// Removes expired records or, if there are none, the one that expires first. Suspects
    /// are removed before quarantined requests.
    fn evict_record(&mut self, now: Timestamp) {
        self.records.retain(|_, record| now < record.until);
        if self.records.len() < RECORD_LIMIT {
            return;
        }
        let first = self.records.iter().min_by_key(|(_, record)| (record.status, record.until));
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
