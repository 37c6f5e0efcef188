//! Slots of claims, each with one owner, which record many claims in one write.
//!
//! The keys of the whole deployment are divided into slots by their hash, because a
//! caller may retry at any daemon of any failure domain. The owner of a slot grants
//! claims, and the daemon that requested a claim sends the call. Claims that are
//! requested at about the same time are recorded by one write (group commit) before they
//! are granted.
//!
//! While the platform is down, the owner grants claims from memory. A slot changes its
//! owner only after a release or the proof of the owner's death, so two owners never
//! grant at the same time. A successor can't know which claims a dead owner granted from
//! memory. If there may be such grants, it responds "unknown" for keys that it doesn't
//! have until the callers' retry horizon has passed.
//!
//! The stamp in the record shows whether there may be such grants. An owner grants from
//! memory only [`MEMORY_GRANT_DELAY`] after the stamp of the last commit that it sent,
//! and keeps that stamp while its commits fail. So an owner whose death is proven before
//! that time has granted nothing that isn't recorded.
//!
//! For the same reason a commit that can't hold all rows keeps the old stamp while it
//! omits a row that was granted from memory.
//!
//! A slot's record consists of a head, which each commit replaces, and of segments, which
//! are written once and listed by the head. Rows with a final state move from the head
//! to segments (sealing), because a value of the key-value service is limited in size.
//!
//! Daemons don't use slots: they write a record for each claim (see [`crate::claims`]). The
//! example `measure_claims` of `gooseberry-harness` compares the two.

mod segments;

use std::{collections::BTreeMap, time::Duration};

use smol_str::{format_smolstr, SmolStr};

pub use self::segments::{row_bytes, SlotLimits, SlotSegment};
use crate::{
    claims::{ClaimRow, ClaimState},
    time::Timestamp,
};

/// Number of slots of a deployment.
pub const SLOT_COUNT: u16 = 256;
/// Time from the stamp of the last commit until an owner may grant from memory.
pub const MEMORY_GRANT_DELAY: Duration = Duration::from_secs(20);
/// Age of the stamp at which an idle owner commits again.
pub const STAMP_REFRESH_INTERVAL: Duration = Duration::from_secs(8);
/// Largest difference between the clocks of two VMs.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Returns the slot of a claim from the first bytes of its key's hash.
pub fn slot(hash: [u8; 2]) -> u16 {
    u16::from_be_bytes(hash) % SLOT_COUNT
}

/// Holds the head of a slot's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRecord {
    /// Process that owns the slot, as VM/INCARNATION.
    pub owner: SmolStr,
    /// Time of the commit, or of an earlier one while commits fail or omit rows that were
    /// granted from memory.
    pub stamp: Timestamp,
    /// Time until which callers may retry calls that a former owner granted from memory. Until
    /// then the outcome of a call whose key isn't in the record is unknown.
    pub gap_until: Timestamp,
    /// Names of the segments, the oldest one first.
    pub segments: Vec<SmolStr>,
    /// Claims by the hash of their key. They replace the claims in the segments.
    pub rows: BTreeMap<SmolStr, ClaimRow>,
}

/// States an owner's response to a daemon that requests a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotResponse {
    /// The requester may send the call once.
    Granted,
    /// The claim isn't granted yet. It will be when it is recorded, or from memory.
    Pending,
    /// The key was claimed before.
    Found(ClaimRow),
    /// Until the given time, a former owner may have granted a claim on the key.
    Gap { until: Timestamp },
    /// This process doesn't own the slot any more.
    NotOwner,
}

/// States the outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect and has this revision.
    Written(u64),
    /// Another process has written the record and owns the slot now.
    Superseded,
    /// It failed, or whether it took effect isn't known.
    Unknown,
}

/// Describes a conditional write of the head of a slot's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotCommit {
    /// Revision that the head must have for the write to take effect.
    pub expected: u64,
    pub record: SlotRecord,
}

#[derive(Clone, Debug)]
struct SlotRow {
    row: ClaimRow,
    /// Whether the record provably holds the current state of the row.
    recorded: bool,
    /// Whether a head that was sent holds the row in some state. Later heads must hold it
    /// too.
    in_head: bool,
    /// Whether the call was granted before the claim was recorded.
    granted_from_memory: bool,
    /// Whether the row comes from a former owner, which may have granted the key again from
    /// memory after the claim was released.
    inherited: bool,
    /// Whether a written segment holds the current state of the row.
    sealed: bool,
    /// Whether a commit in flight holds the current state of the row.
    in_commit: bool,
}

impl SlotRow {
    fn new(row: ClaimRow) -> Self {
        Self {
            row,
            recorded: false,
            in_head: false,
            granted_from_memory: false,
            inherited: false,
            sealed: false,
            in_commit: false,
        }
    }

    fn recorded(row: ClaimRow, sealed: bool) -> Self {
        Self { recorded: true, in_head: true, inherited: true, sealed, ..Self::new(row) }
    }

    fn is_settled(&self) -> bool {
        self.row.state != ClaimState::Running
    }

    /// Returns the row with the oldest state that a head may hold.
    ///
    /// A final state that isn't recorded yet may be left to a later head. Until then the row
    /// is recorded as running, which doesn't state whether the call has run.
    fn minimal_row(&self) -> ClaimRow {
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
    commit_in_flight: bool,
    superseded: bool,
    gap_until: Timestamp,
    /// Rows that the next head may have to hold.
    rows: BTreeMap<SmolStr, SlotRow>,
    /// Recorded rows that are in a segment of the next head. Commits skip them.
    archived: BTreeMap<SmolStr, SlotRow>,
    limits: SlotLimits,
    /// Names of the segments that the next head lists.
    segments: Vec<SmolStr>,
    /// Number of segment writes started by this owner, which keeps the names unique.
    segment_count: u64,
    /// Segment whose write is in flight.
    segment_in_flight: Option<SlotSegment>,
}

impl SlotOwner {
    /// Creates the owner of a slot after the write of its record took effect.
    ///
    /// `segments` are those that the record names, in the same order.
    pub fn new(
        revision: u64,
        record: SlotRecord,
        segments: Vec<SlotSegment>,
        limits: SlotLimits,
    ) -> Self {
        let sealed = segments.into_iter().flat_map(|segment| segment.rows);
        let mut archived: BTreeMap<_, _> =
            sealed.map(|(path, row)| (path, SlotRow::recorded(row, true))).collect();
        archived.retain(|path, _| !record.rows.contains_key(path));
        let open = record.rows.into_iter();
        let open = open.map(|(path, row)| (path, SlotRow::recorded(row, false)));
        Self {
            owner: record.owner,
            revision,
            stamp: record.stamp,
            confirmed: true,
            commit_in_flight: false,
            superseded: false,
            gap_until: record.gap_until,
            rows: open.collect(),
            archived,
            limits,
            segments: record.segments,
            segment_count: 0,
            segment_in_flight: None,
        }
    }

    /// Responds to a daemon that requests a claim. A daemon may repeat the request.
    pub fn request_claim(
        &mut self,
        path: &SmolStr,
        requested: &ClaimRow,
        now: Timestamp,
    ) -> SlotResponse {
        if self.superseded {
            return SlotResponse::NotOwner;
        }
        match self.rows.get(path).or_else(|| self.archived.get(path)) {
            Some(entry) if entry.row.claim == requested.claim => {}
            Some(entry) if entry.row.state != ClaimState::Released => {
                return SlotResponse::Found(entry.row.clone());
            }
            Some(entry) if entry.inherited && now < self.gap_until => {
                return SlotResponse::Gap { until: self.gap_until };
            }
            None if now < self.gap_until => return SlotResponse::Gap { until: self.gap_until },
            _ => {
                self.archived.remove(path);
                self.rows.insert(path.clone(), SlotRow::new(requested.clone()));
            }
        }
        let from_memory = self.grants_from_memory(now);
        let entry = self.rows.get_mut(path).or_else(|| self.archived.get_mut(path));
        let Some(entry) = entry else { return SlotResponse::Pending };
        if entry.is_settled() {
            return SlotResponse::Found(entry.row.clone());
        }
        if entry.recorded {
            return SlotResponse::Granted;
        }
        if from_memory {
            entry.granted_from_memory = true;
            return SlotResponse::Granted;
        }
        SlotResponse::Pending
    }

    /// Sets the final state of a claim, which may be [`ClaimState::Released`].
    pub fn set_final_state(&mut self, path: &SmolStr, claim: &str, state: ClaimState) {
        let Some(entry) = self.rows.get_mut(path) else { return };
        if entry.row.claim == claim && entry.row.state == ClaimState::Running {
            entry.row.state = state;
            entry.recorded = false;
            entry.in_commit = false;
        }
    }

    /// Tells whether commits have been failing for long enough to grant claims that aren't
    /// recorded.
    fn grants_from_memory(&self, now: Timestamp) -> bool {
        !self.confirmed && now >= self.stamp + MEMORY_GRANT_DELAY
    }

    /// Returns the commit that is due, if there is one and none is in flight.
    pub fn commit(&mut self, now: Timestamp) -> Option<SlotCommit> {
        let changed = self.rows.values().any(|entry| !entry.recorded);
        let refresh_due = now.since(self.stamp) >= STAMP_REFRESH_INTERVAL;
        if self.commit_in_flight || self.superseded || !(changed || refresh_due || !self.confirmed)
        {
            return None;
        }
        let (rows, complete) = self.choose_rows();
        // A failed commit may still take effect, so its stamp must not be later than the stamp
        // from which the delay of grants from memory is counted.
        if self.confirmed && complete {
            self.stamp = now;
        }
        self.confirmed = false;
        self.commit_in_flight = true;
        let record = SlotRecord {
            owner: self.owner.clone(),
            stamp: self.stamp,
            gap_until: self.gap_until,
            segments: self.segments.clone(),
            rows,
        };
        Some(SlotCommit { expected: self.revision, record })
    }

    /// Chooses the rows of the next head. Also tells whether it holds all rows that were
    /// granted from memory.
    ///
    /// Rows of earlier heads come first, then new claims, which callers wait for, then final
    /// states.
    fn choose_rows(&mut self) -> (BTreeMap<SmolStr, ClaimRow>, bool) {
        let mut rows = BTreeMap::new();
        let mut size = 0;
        for (path, entry) in self.rows.iter_mut().filter(|(_, entry)| entry.in_head) {
            // This head lists the segment that holds the row.
            entry.in_commit = entry.sealed;
            if !entry.sealed {
                let row = entry.minimal_row();
                size += row_bytes(path, &row);
                entry.in_commit = row == entry.row;
                rows.insert(path.clone(), row);
            }
        }
        let mut complete = true;
        for (path, entry) in self.rows.iter_mut().filter(|(_, entry)| !entry.in_head) {
            let row = entry.minimal_row();
            let fits = size + row_bytes(path, &row) <= self.limits.value_bytes;
            if !fits {
                complete &= !entry.granted_from_memory;
                continue;
            }
            size += row_bytes(path, &row);
            entry.in_head = true;
            entry.in_commit = row == entry.row;
            rows.insert(path.clone(), row);
        }
        for (path, entry) in self.rows.iter_mut() {
            if entry.in_commit || !entry.in_head {
                continue;
            }
            let new_size = size - row_bytes(path, &rows[path]) + row_bytes(path, &entry.row);
            if new_size <= self.limits.value_bytes {
                size = new_size;
                entry.in_commit = true;
                rows.insert(path.clone(), entry.row.clone());
            }
        }
        (rows, complete)
    }

    /// Returns the segment that is due, if there is one and none is in flight.
    pub fn seal(&mut self) -> Option<SlotSegment> {
        if self.segment_in_flight.is_some() || self.superseded {
            return None;
        }
        let open = self.rows.iter().filter(|(_, entry)| {
            // A row must be in a head before it moves to a segment, so that the order in
            // which `choose_rows` adds rows to heads holds for it too.
            entry.in_head && !entry.sealed && entry.is_settled()
        });
        let mut rows = BTreeMap::new();
        let mut size = 0;
        for (path, entry) in open {
            let new_size = size + row_bytes(path, &entry.row);
            if new_size <= self.limits.value_bytes {
                size = new_size;
                rows.insert(path.clone(), entry.row.clone());
            }
        }
        if size < self.limits.seal_bytes {
            return None;
        }
        self.segment_count += 1;
        let name = format_smolstr!("{}/{}", self.owner, self.segment_count);
        let segment = SlotSegment { name, rows };
        self.segment_in_flight = Some(segment.clone());
        Some(segment)
    }

    /// Records whether the segment in flight was provably written. A segment whose outcome is
    /// unknown isn't used, and its rows are written to a new one.
    pub fn segment_written(&mut self, written: bool) {
        let Some(segment) = self.segment_in_flight.take() else { return };
        if !written {
            return;
        }
        for (path, row) in segment.rows {
            if let Some(entry) = self.rows.get_mut(&path).filter(|entry| entry.row == row) {
                entry.sealed = true;
            }
        }
        self.segments.push(segment.name);
    }

    /// Records the outcome of the commit in flight.
    pub fn committed(&mut self, outcome: CommitOutcome) {
        self.commit_in_flight = false;
        match outcome {
            CommitOutcome::Written(revision) => {
                self.revision = revision;
                self.confirmed = true;
                for entry in self.rows.values_mut() {
                    entry.recorded |= entry.in_commit;
                    entry.granted_from_memory &= !entry.in_head;
                }
                self.archive_rows();
            }
            CommitOutcome::Superseded => self.superseded = true,
            CommitOutcome::Unknown => {}
        }
        for entry in self.rows.values_mut() {
            entry.in_commit = false;
        }
    }

    fn archive_rows(&mut self) {
        let rows = std::mem::take(&mut self.rows);
        let (archived, open) =
            rows.into_iter().partition(|(_, entry)| entry.recorded && entry.sealed);
        self.rows = open;
        self.archived.extend::<BTreeMap<_, _>>(archived);
    }

    /// Records that an earlier commit, whose outcome was unknown, has taken effect with this
    /// revision. The next commit replaces it.
    pub fn observe_own_commit(&mut self, revision: u64) {
        self.revision = revision;
    }
}

/// Creates the head of the record with which a process takes over a slot.
///
/// `dead_by` is a time by which the former owner was proven dead. It is `None` if the owner
/// released the slot after its last commit.
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
