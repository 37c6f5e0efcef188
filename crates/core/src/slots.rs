//! Slots of claims with an owner each, for many claims in one write.
//!
//! The keys of the whole deployment fall into slots by their hash, because a
//! caller may try again at any daemon of any failure domain. The owner of a
//! slot grants claims; the daemon that asked sends the call. Grants of one
//! moment are recorded by one write (group commit) before they are given.
//!
//! While the platform is down the owner goes on in memory. A slot passes only
//! by release or by the proof of its owner's death, so no two owners grant at
//! once. A successor can't know what a dead owner granted in memory: if there
//! may be such grants, it answers "unknown" for keys that it doesn't have until
//! the callers' retry horizon has passed.
//!
//! Whether there may be such grants follows from the stamp in the record. An
//! owner grants from memory only [`MEMORY_DELAY`] after the stamp of the last
//! commit that it sent, and keeps that stamp for as long as commits fail. So an
//! owner whose death is proven earlier than that has granted nothing that
//! isn't recorded.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use crate::{
    claims::{ClaimRow, ClaimState},
    time::Timestamp,
};

/// Slots of a deployment.
pub const SLOT_COUNT: u16 = 256;
/// Time from the stamp of the last commit until an owner grants from memory.
pub const MEMORY_DELAY: Duration = Duration::from_secs(20);
/// Age of the stamp at which an idle owner commits again.
pub const STAMP_REFRESH: Duration = Duration::from_secs(8);
/// Largest difference between the clocks of two VMs.
pub const CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Returns the slot of a claim by the first bytes of its key's hash.
pub fn slot(hash: [u8; 2]) -> u16 {
    u16::from_be_bytes(hash) % SLOT_COUNT
}

/// Holds a slot as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRecord {
    /// Process that grants, as VM/INCARNATION.
    pub owner: SmolStr,
    /// Stamp of the commit.
    pub stamp: Timestamp,
    /// End of the time in which unknown keys may have been granted before.
    pub gap_until: Timestamp,
    /// Claims by the hash of their key.
    pub rows: BTreeMap<SmolStr, ClaimRow>,
}

/// Says what an owner answers to a daemon that asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAnswer {
    /// The asker may send the call, once.
    Granted,
    /// The grant follows when the claim is recorded, or from memory.
    Pending,
    /// The key was claimed before.
    Found(ClaimRow),
    /// The key may have been claimed before, until this time.
    Gap { until: Timestamp },
    /// This process doesn't own the slot any more.
    NotOwner,
}

/// Says how a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// It took effect and has this revision.
    Written(u64),
    /// Another process has written the record: the slot has passed.
    Passed,
    /// It failed, or whether it took effect isn't known.
    Unknown,
}

/// A write of a slot's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotCommit {
    pub expected: u64,
    pub record: SlotRecord,
}

#[derive(Clone, Debug)]
struct SlotRow {
    row: ClaimRow,
    recorded: bool,
    /// Whether a commit that is on its way holds the row.
    committing: bool,
}

/// Grants the claims of one slot.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    owner: SmolStr,
    revision: u64,
    /// Stamp of the last commit that was sent.
    stamp: Timestamp,
    /// Whether the last commit that was sent has provably taken effect.
    confirmed: bool,
    in_flight: bool,
    passed: bool,
    gap_until: Timestamp,
    rows: BTreeMap<SmolStr, SlotRow>,
}

impl SlotOwner {
    /// Starts to own a slot, after the write of its record took effect.
    pub fn new(revision: u64, record: SlotRecord) -> Self {
        let recorded = |row| SlotRow { row, recorded: true, committing: false };
        Self {
            owner: record.owner,
            revision,
            stamp: record.stamp,
            confirmed: true,
            in_flight: false,
            passed: false,
            gap_until: record.gap_until,
            rows: record.rows.into_iter().map(|(path, row)| (path, recorded(row))).collect(),
        }
    }

    /// Answers a daemon that asks for a claim, or asks again for the same one.
    pub fn ask(&mut self, path: &SmolStr, asked: &ClaimRow, now: Timestamp) -> SlotAnswer {
        if self.passed {
            return SlotAnswer::NotOwner;
        }
        match self.rows.get(path) {
            Some(known) if known.row.claim == asked.claim => {}
            Some(known) if known.row.state != ClaimState::Released => {
                return SlotAnswer::Found(known.row.clone());
            }
            None if now < self.gap_until => return SlotAnswer::Gap { until: self.gap_until },
            _ => {
                let row = asked.clone();
                self.rows.insert(path.clone(), SlotRow { row, recorded: false, committing: false });
            }
        }
        let known = &self.rows[path];
        if known.row.state != ClaimState::Running {
            return SlotAnswer::Found(known.row.clone());
        }
        if known.recorded || self.grants_from_memory(now) {
            return SlotAnswer::Granted;
        }
        SlotAnswer::Pending
    }

    /// Notes the final state of a claim, also that of a grant given back.
    pub fn finish(&mut self, path: &SmolStr, claim: &str, state: ClaimState) {
        let Some(known) = self.rows.get_mut(path) else { return };
        if known.row.claim == claim && known.row.state == ClaimState::Running {
            known.row.state = state;
            known.recorded = false;
            known.committing = false;
        }
    }

    /// Tells whether the platform has failed for long enough to grant claims
    /// that aren't recorded.
    fn grants_from_memory(&self, now: Timestamp) -> bool {
        !self.confirmed && now >= self.stamp + MEMORY_DELAY
    }

    /// Returns the write that is due, if there is one and none is on its way.
    pub fn commit(&mut self, now: Timestamp) -> Option<SlotCommit> {
        let changed = self.rows.values().any(|known| !known.recorded);
        let old = now.since(self.stamp) >= STAMP_REFRESH;
        if self.in_flight || self.passed || !(changed || old || !self.confirmed) {
            return None;
        }
        // A failed commit may still take effect: its stamp must not be younger
        // than the one that grants from memory are counted from.
        if self.confirmed {
            self.stamp = now;
        }
        self.confirmed = false;
        self.in_flight = true;
        for known in self.rows.values_mut() {
            known.committing = true;
        }
        let rows = self.rows.iter().map(|(path, known)| (path.clone(), known.row.clone()));
        let record = SlotRecord {
            owner: self.owner.clone(),
            stamp: self.stamp,
            gap_until: self.gap_until,
            rows: rows.collect(),
        };
        Some(SlotCommit { expected: self.revision, record })
    }

    /// Notes how the write on its way ended.
    pub fn committed(&mut self, answer: CommitAnswer) {
        self.in_flight = false;
        match answer {
            CommitAnswer::Written(revision) => {
                self.revision = revision;
                self.confirmed = true;
                for known in self.rows.values_mut() {
                    known.recorded |= known.committing;
                }
            }
            CommitAnswer::Passed => self.passed = true,
            CommitAnswer::Unknown => {}
        }
        for known in self.rows.values_mut() {
            known.committing = false;
        }
    }

    /// Notes that an earlier commit of unknown fate was found in the record;
    /// the next one is written over it.
    pub fn found_own(&mut self, revision: u64) {
        self.revision = revision;
    }
}

/// Makes the record with which a process takes a slot over.
///
/// `dead_by` is a time by which the former owner was proven dead; `None` stands
/// for a slot that its owner released after its last commit.
pub fn succeed(
    record: &SlotRecord,
    successor: SmolStr,
    dead_by: Option<Timestamp>,
    retry_horizon: Duration,
    now: Timestamp,
) -> SlotRecord {
    let gap = dead_by.filter(|dead| *dead + CLOCK_SKEW >= record.stamp + MEMORY_DELAY);
    let gap_until = gap
        .map_or(record.gap_until, |dead| record.gap_until.max(dead + retry_horizon + CLOCK_SKEW));
    SlotRecord { owner: successor, stamp: now, gap_until, rows: record.rows.clone() }
}
