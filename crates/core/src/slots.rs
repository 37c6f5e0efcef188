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
//! owner grants from memory only [`MEMORY_GRANT_DELAY`] after the stamp of the last
//! commit that it sent, and keeps that stamp for as long as commits fail. So an
//! owner whose death is proven earlier than that has granted nothing that
//! isn't recorded.
//!
//! A commit that can't hold all rows keeps the old stamp for as long as it
//! leaves out one that was granted from memory, for the same reason.

mod segments;

use std::{collections::BTreeMap, time::Duration};

use smol_str::{format_smolstr, SmolStr};

pub use self::segments::{row_bytes, SlotLimits, SlotSegment};
use crate::{
    claims::{ClaimRow, ClaimState},
    time::Timestamp,
};

/// Slots of a deployment.
pub const SLOT_COUNT: u16 = 256;
/// Time from the stamp of the last commit until an owner grants from memory.
pub const MEMORY_GRANT_DELAY: Duration = Duration::from_secs(20);
/// Age of the stamp at which an idle owner commits again.
pub const STAMP_REFRESH_INTERVAL: Duration = Duration::from_secs(8);
/// Largest difference between the clocks of two VMs.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

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
    /// Names of the segments, the oldest one first.
    pub segments: Vec<SmolStr>,
    /// Claims by the hash of their key; they replace those of the segments.
    pub rows: BTreeMap<SmolStr, ClaimRow>,
}

/// Says what an owner answers to a daemon that asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotResponse {
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
pub enum CommitOutcome {
    /// It took effect and has this revision.
    Written(u64),
    /// Another process has written the record: the slot has passed.
    Superseded,
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
    /// Whether the record provably holds the row as it is now.
    recorded: bool,
    /// Whether a head that was sent holds the row in some state; none that
    /// follows may leave it out.
    mentioned: bool,
    /// Whether the call was granted before the claim was recorded.
    from_memory: bool,
    /// Whether the row comes from a former owner, which may have granted the
    /// key again in memory after the claim was given back.
    inherited: bool,
    /// Whether a written segment holds the row as it is now.
    sealed: bool,
    /// Whether a commit that is on its way holds the row.
    committing: bool,
}

impl SlotRow {
    fn new(row: ClaimRow) -> Self {
        Self {
            row,
            recorded: false,
            mentioned: false,
            from_memory: false,
            inherited: false,
            sealed: false,
            committing: false,
        }
    }

    fn recorded(row: ClaimRow, sealed: bool) -> Self {
        Self { recorded: true, mentioned: true, inherited: true, sealed, ..Self::new(row) }
    }

    fn is_settled(&self) -> bool {
        self.row.state != ClaimState::Running
    }

    /// Returns the row as a head must hold it at least.
    ///
    /// A final state that isn't recorded may wait: "running" claims less.
    fn least(&self) -> ClaimRow {
        if self.recorded {
            return self.row.clone();
        }
        ClaimRow { state: ClaimState::Running, ..self.row.clone() }
    }
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
    /// Rows that the next head may have to hold.
    rows: BTreeMap<SmolStr, SlotRow>,
    /// Recorded rows that a segment of the next head holds; no commit looks at
    /// them.
    closed: BTreeMap<SmolStr, SlotRow>,
    limits: SlotLimits,
    /// Names of the segments that the next head lists.
    segments: Vec<SmolStr>,
    /// Segment writes begun by this owner, for names that are never used again.
    seals: u64,
    /// Segment that is on its way.
    sealing: Option<SlotSegment>,
}

impl SlotOwner {
    /// Starts to own a slot, after the write of its record took effect.
    ///
    /// `segments` are those that the record names, in its order.
    pub fn new(
        revision: u64,
        record: SlotRecord,
        segments: Vec<SlotSegment>,
        limits: SlotLimits,
    ) -> Self {
        let sealed = segments.into_iter().flat_map(|segment| segment.rows);
        let mut closed: BTreeMap<_, _> =
            sealed.map(|(path, row)| (path, SlotRow::recorded(row, true))).collect();
        closed.retain(|path, _| !record.rows.contains_key(path));
        let open = record.rows.into_iter();
        let open = open.map(|(path, row)| (path, SlotRow::recorded(row, false)));
        Self {
            owner: record.owner,
            revision,
            stamp: record.stamp,
            confirmed: true,
            in_flight: false,
            passed: false,
            gap_until: record.gap_until,
            rows: open.collect(),
            closed,
            limits,
            segments: record.segments,
            seals: 0,
            sealing: None,
        }
    }

    /// Answers a daemon that asks for a claim, or asks again for the same one.
    pub fn request_claim(
        &mut self,
        path: &SmolStr,
        asked: &ClaimRow,
        now: Timestamp,
    ) -> SlotResponse {
        if self.passed {
            return SlotResponse::NotOwner;
        }
        match self.rows.get(path).or_else(|| self.closed.get(path)) {
            Some(known) if known.row.claim == asked.claim => {}
            Some(known) if known.row.state != ClaimState::Released => {
                return SlotResponse::Found(known.row.clone());
            }
            Some(known) if known.inherited && now < self.gap_until => {
                return SlotResponse::Gap { until: self.gap_until };
            }
            None if now < self.gap_until => return SlotResponse::Gap { until: self.gap_until },
            _ => {
                self.closed.remove(path);
                self.rows.insert(path.clone(), SlotRow::new(asked.clone()));
            }
        }
        let by_memory = self.grants_from_memory(now);
        let known = self.rows.get_mut(path).or_else(|| self.closed.get_mut(path));
        let Some(known) = known else { return SlotResponse::Pending };
        if known.is_settled() {
            return SlotResponse::Found(known.row.clone());
        }
        if known.recorded {
            return SlotResponse::Granted;
        }
        if by_memory {
            known.from_memory = true;
            return SlotResponse::Granted;
        }
        SlotResponse::Pending
    }

    /// Notes the final state of a claim, also that of a grant given back.
    pub fn set_final_state(&mut self, path: &SmolStr, claim: &str, state: ClaimState) {
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
        !self.confirmed && now >= self.stamp + MEMORY_GRANT_DELAY
    }

    /// Returns the write that is due, if there is one and none is on its way.
    pub fn commit(&mut self, now: Timestamp) -> Option<SlotCommit> {
        let changed = self.rows.values().any(|known| !known.recorded);
        let old = now.since(self.stamp) >= STAMP_REFRESH_INTERVAL;
        if self.in_flight || self.passed || !(changed || old || !self.confirmed) {
            return None;
        }
        let (rows, complete) = self.choose_rows();
        // A failed commit may still take effect: its stamp must not be younger
        // than the one that grants from memory are counted from.
        if self.confirmed && complete {
            self.stamp = now;
        }
        self.confirmed = false;
        self.in_flight = true;
        let record = SlotRecord {
            owner: self.owner.clone(),
            stamp: self.stamp,
            gap_until: self.gap_until,
            segments: self.segments.clone(),
            rows,
        };
        Some(SlotCommit { expected: self.revision, record })
    }

    /// Chooses the rows of the next head, and tells whether it holds all that
    /// were granted from memory.
    ///
    /// What earlier heads hold comes first, then new claims, for which callers
    /// wait, then final states.
    fn choose_rows(&mut self) -> (BTreeMap<SmolStr, ClaimRow>, bool) {
        let mut rows = BTreeMap::new();
        let mut size = 0;
        for (path, known) in self.rows.iter_mut().filter(|(_, known)| known.mentioned) {
            // The segment that holds the row is in the list of this head.
            known.committing = known.sealed;
            if !known.sealed {
                let row = known.least();
                size += row_bytes(path, &row);
                known.committing = row == known.row;
                rows.insert(path.clone(), row);
            }
        }
        let mut complete = true;
        for (path, known) in self.rows.iter_mut().filter(|(_, known)| !known.mentioned) {
            let row = known.least();
            let fits = size + row_bytes(path, &row) <= self.limits.value_bytes;
            if !fits {
                complete &= !known.from_memory;
                continue;
            }
            size += row_bytes(path, &row);
            known.mentioned = true;
            known.committing = row == known.row;
            rows.insert(path.clone(), row);
        }
        for (path, known) in self.rows.iter_mut() {
            if known.committing || !known.mentioned {
                continue;
            }
            let grown = size - row_bytes(path, &rows[path]) + row_bytes(path, &known.row);
            if grown <= self.limits.value_bytes {
                size = grown;
                known.committing = true;
                rows.insert(path.clone(), known.row.clone());
            }
        }
        (rows, complete)
    }

    /// Returns the segment that is due, if there is one and none is on its way.
    pub fn seal(&mut self) -> Option<SlotSegment> {
        if self.sealing.is_some() || self.passed {
            return None;
        }
        let open = self.rows.iter().filter(|(_, known)| {
            // A row that a head doesn't hold yet must not skip the head's order.
            known.mentioned && !known.sealed && known.is_settled()
        });
        let mut rows = BTreeMap::new();
        let mut size = 0;
        for (path, known) in open {
            let grown = size + row_bytes(path, &known.row);
            if grown <= self.limits.value_bytes {
                size = grown;
                rows.insert(path.clone(), known.row.clone());
            }
        }
        if size < self.limits.seal_bytes {
            return None;
        }
        self.seals += 1;
        let name = format_smolstr!("{}/{}", self.owner, self.seals);
        let segment = SlotSegment { name, rows };
        self.sealing = Some(segment.clone());
        Some(segment)
    }

    /// Notes whether the segment on its way was provably written. One of
    /// unknown fate is left behind, and its rows are sealed again.
    pub fn segment_written(&mut self, written: bool) {
        let Some(segment) = self.sealing.take() else { return };
        if !written {
            return;
        }
        for (path, row) in segment.rows {
            if let Some(known) = self.rows.get_mut(&path).filter(|known| known.row == row) {
                known.sealed = true;
            }
        }
        self.segments.push(segment.name);
    }

    /// Notes how the write on its way ended.
    pub fn committed(&mut self, answer: CommitOutcome) {
        self.in_flight = false;
        match answer {
            CommitOutcome::Written(revision) => {
                self.revision = revision;
                self.confirmed = true;
                for known in self.rows.values_mut() {
                    known.recorded |= known.committing;
                    known.from_memory &= !known.mentioned;
                }
                self.close_rows();
            }
            CommitOutcome::Superseded => self.passed = true,
            CommitOutcome::Unknown => {}
        }
        for known in self.rows.values_mut() {
            known.committing = false;
        }
    }

    fn close_rows(&mut self) {
        let rows = std::mem::take(&mut self.rows);
        let (done, open) = rows.into_iter().partition(|(_, known)| known.recorded && known.sealed);
        self.rows = open;
        self.closed.extend::<BTreeMap<_, _>>(done);
    }

    /// Notes that an earlier commit of unknown fate was found in the record;
    /// the next one is written over it.
    pub fn observe_own_commit(&mut self, revision: u64) {
        self.revision = revision;
    }
}

/// Makes the record with which a process takes a slot over.
///
/// `dead_by` is a time by which the former owner was proven dead; `None` stands
/// for a slot that its owner released after its last commit.
pub fn take_over(
    record: &SlotRecord,
    successor: SmolStr,
    dead_by: Option<Timestamp>,
    retry_horizon: Duration,
    now: Timestamp,
) -> SlotRecord {
    let gap = dead_by.filter(|dead| *dead + MAX_CLOCK_SKEW >= record.stamp + MEMORY_GRANT_DELAY);
    let gap_until = gap.map_or(record.gap_until, |dead| {
        record.gap_until.max(dead + retry_horizon + MAX_CLOCK_SKEW)
    });
    SlotRecord { owner: successor, stamp: now, gap_until, ..record.clone() }
}
