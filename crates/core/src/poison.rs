//! Requests that crash the engines that run them.
//!
//! A request that was in flight when its engine crashed is a suspect. A suspect
//! runs again only on trial: no other suspect runs on that engine, and no other
//! daemon runs the same suspect meanwhile. A crash during its trial convicts it.
//! Innocent requests share an engine with a trial, because an engine kept free
//! for each suspect would cost more than the rare crash.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::time::Timestamp;

/// Time for which a request stays a suspect without a trial.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(600);
/// Time for which a conviction holds.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3600);
/// Requests whose standing is kept.
const RECORD_LIMIT: usize = 4096;

/// Identifies what engines compute for a request, whoever sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint(pub u64);

/// Says how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonStatus {
    /// It runs like any other.
    Clear,
    /// It runs on trial only.
    Suspect,
    /// It doesn't run again.
    Quarantined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PoisonStanding {
    Suspect,
    Convicted,
}

#[derive(Clone, Copy, Debug)]
struct PoisonRecord {
    standing: PoisonStanding,
    until: Timestamp,
}

/// Names a suspect's run on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonTrial {
    pub fingerprint: RequestFingerprint,
    pub engine: SmolStr,
    /// Daemon that runs the suspect.
    pub holder: SmolStr,
}

/// Holds the standing of requests and the trials that run.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    records: HashMap<RequestFingerprint, PoisonRecord>,
    trials: Vec<(PoisonTrial, Timestamp)>,
}

impl PoisonTable {
    /// Says how a request may run now.
    pub fn status(&self, fingerprint: RequestFingerprint, now: Timestamp) -> PoisonStatus {
        let record = self.records.get(&fingerprint).filter(|record| now < record.until);
        match record.map(|record| record.standing) {
            None => PoisonStatus::Clear,
            Some(PoisonStanding::Suspect) => PoisonStatus::Suspect,
            Some(PoisonStanding::Convicted) => PoisonStatus::Quarantined,
        }
    }

    /// Notes that a request was in flight at a crash; a conviction stays.
    pub fn suspect(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        if self.status(fingerprint, now) != PoisonStatus::Quarantined {
            self.record(fingerprint, PoisonStanding::Suspect, now + SUSPECT_DURATION, now);
        }
    }

    /// Notes that a request crashed an engine on trial; returns whether that is
    /// news.
    pub fn quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        until: Timestamp,
        now: Timestamp,
    ) -> bool {
        let is_news = self.status(fingerprint, now) != PoisonStatus::Quarantined;
        self.record(fingerprint, PoisonStanding::Convicted, until, now);
        is_news
    }

    /// Notes that a suspect ran to its end; a conviction stays.
    pub fn clear(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        if self.status(fingerprint, now) == PoisonStatus::Suspect {
            self.records.remove(&fingerprint);
        }
    }

    /// Reserves an engine for a suspect, and the suspect for an engine, unless
    /// another trial holds either.
    pub fn begin_trial(&mut self, trial: PoisonTrial, span: Duration, now: Timestamp) -> bool {
        self.trials.retain(|(_, until)| now < *until);
        let is_free = self.status(trial.fingerprint, now) != PoisonStatus::Quarantined
            && self.trials.iter().all(|(other, _)| {
                other.fingerprint != trial.fingerprint && other.engine != trial.engine
            });
        if is_free {
            self.trials.push((trial, now + span));
        }
        is_free
    }

    /// Ends a trial of its holder.
    pub fn end_trial(&mut self, trial: &PoisonTrial) {
        self.trials.retain(|(other, _)| other != trial);
    }

    /// Tells whether a suspect runs on an engine.
    pub fn is_on_trial(&self, engine: &str, now: Timestamp) -> bool {
        self.trials.iter().any(|(trial, until)| trial.engine == engine && now < *until)
    }

    /// Returns the convictions in force with the times at which they expire.
    pub fn quarantined(&self, now: Timestamp) -> Vec<(RequestFingerprint, Timestamp)> {
        let records = self.records.iter().filter(|(_, record)| {
            record.standing == PoisonStanding::Convicted && now < record.until
        });
        let mut convictions: Vec<_> =
            records.map(|(fingerprint, record)| (*fingerprint, record.until)).collect();
        convictions.sort_unstable();
        convictions
    }

    fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        standing: PoisonStanding,
        until: Timestamp,
        now: Timestamp,
    ) {
        if self.records.len() >= RECORD_LIMIT && !self.records.contains_key(&fingerprint) {
            self.make_room(now);
        }
        self.records.insert(fingerprint, PoisonRecord { standing, until });
    }

    /// Drops what has expired or, if nothing has, the suspicion or conviction
    /// that ends first, suspicions before convictions.
    fn make_room(&mut self, now: Timestamp) {
        self.records.retain(|_, record| now < record.until);
        if self.records.len() < RECORD_LIMIT {
            return;
        }
        let first = self.records.iter().min_by_key(|(_, record)| (record.standing, record.until));
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
