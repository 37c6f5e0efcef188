//! Claims on calls that must run at most once.
//!
//! A claim is recorded before the first byte is sent to a backend server. The
//! holder of the claim sends the call once. Every other process returns the stored
//! response, waits, or reports that the outcome is unknown. A claim is never
//! transferred to another holder, not even when its holder is proven dead: whether
//! a dead holder sent the call can't be determined, so callers get "unknown".
//!
//! An abandoned claim is marked as released instead of being deleted. A delayed
//! write of the old claim then expects a revision that no longer exists, so it
//! can't restore the claim.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{
    membership::{MembershipTable, ProcessIncarnation},
    refusal::{RefusalReason, RequestRefusal},
    time::Timestamp,
};

/// Interval at which a claim that another process holds is read again.
pub const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age at which a claim may no longer be used to send the call.
pub const CLAIM_SEND_LIMIT: Duration = Duration::from_secs(10);
/// Retry-after time for a caller whose claim can't be read or recorded.
pub const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest response body that is stored with a claim, in bytes.
pub const STORED_BODY_LIMIT_BYTES: usize = 256 << 10;

/// Identifies a call that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey {
    pub service: SmolStr,
    pub account: SmolStr,
    /// Value of the caller's `Idempotency-Key` header.
    pub key: SmolStr,
}

/// Holds the stored response of a call that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    pub status: u16,
    pub content_type: SmolStr,
    pub body: Vec<u8>,
}

/// States what is known about a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The holder may have sent the call.
    Running,
    /// The call has run and its response is stored.
    Done(StoredResponse),
    /// The call has run; its response was too large to store.
    Executed,
    /// The call may have run; its response is lost.
    Lost,
    /// The call has provably not run and may be claimed again.
    Released,
}

impl ClaimState {
    /// Returns the state of a call that has received a response.
    pub fn answered(response: &StoredResponse) -> Self {
        if response.body.len() > STORED_BODY_LIMIT_BYTES {
            return Self::Executed;
        }
        Self::Done(response.clone())
    }
}

/// Holds one claim as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// Identifier of the claim, unique for each attempt.
    pub claim: SmolStr,
    /// Process that may send the call, as VM/INCARNATION.
    pub holder: SmolStr,
    /// Hash of the call's method, path, query and body.
    pub fingerprint: u64,
    pub state: ClaimState,
    /// End of the callers' retry horizon.
    pub expires: Timestamp,
}

impl ClaimRow {
    /// Tells whether the record may be deleted.
    ///
    /// A running claim is kept until its holder is proven dead, because a holder that
    /// was paused for longer than the retry horizon may still send the call.
    pub fn is_expired(&self, members: &MembershipTable, now: Timestamp) -> bool {
        let settled = self.state != ClaimState::Running || is_dead(&self.holder, members, now);
        settled && self.expires <= now
    }
}

/// States the outcome of a read or a conditional write of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The write took effect and has this revision.
    Written(u64),
    /// The given claim is recorded; a write did not take effect.
    Found { revision: u64, row: ClaimRow },
    /// No claim is recorded; a write did not take effect.
    Absent,
    /// The read or write failed; a write has provably had no effect.
    Failed,
    /// The outcome of the read or write isn't known; a write may still take effect.
    Unknown,
}

/// States the next step of an attempt to claim a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the claim if the record has this revision.
    Write { expected: u64 },
    /// Read the record.
    Read,
    /// Read the record after [`CLAIM_POLL_INTERVAL`].
    Wait,
    /// Send the call once; the claim has this revision.
    Send { revision: u64 },
    /// Return the stored response.
    Replay(StoredResponse),
    /// Refuse; no running claim of this attempt is recorded now or can be recorded later.
    Refuse(RequestRefusal),
    /// Refuse, and release the claim, because a write of it may be recorded.
    Abandon { refusal: RequestRefusal, expected: u64 },
}

/// Tracks one attempt of a caller at one daemon until the call is sent or refused.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    claim: SmolStr,
    fingerprint: u64,
    deadline: Timestamp,
    expected: u64,
    /// Whether a write of this attempt may be recorded now or take effect later.
    maybe_recorded: bool,
    /// Whether a claim of another process was found running.
    seen_running: bool,
}

impl ClaimAttempt {
    /// Creates an attempt whose first step is [`ClaimStep::Write`] with revision 0.
    pub fn new(claim: SmolStr, fingerprint: u64, deadline: Timestamp) -> Self {
        Self {
            claim,
            fingerprint,
            deadline,
            expected: 0,
            maybe_recorded: false,
            seen_running: false,
        }
    }

    /// Returns the step after a write, given its outcome.
    pub fn after_write(
        &mut self,
        outcome: StoreOutcome,
        members: &MembershipTable,
        now: Timestamp,
    ) -> ClaimStep {
        if outcome == StoreOutcome::Unknown {
            self.maybe_recorded = true;
            return ClaimStep::Read;
        }
        self.decide(outcome, members, now)
    }

    /// Returns the step after a read, given its outcome.
    pub fn after_read(
        &mut self,
        outcome: StoreOutcome,
        members: &MembershipTable,
        now: Timestamp,
    ) -> ClaimStep {
        self.decide(outcome, members, now)
    }

    fn decide(
        &mut self,
        outcome: StoreOutcome,
        members: &MembershipTable,
        now: Timestamp,
    ) -> ClaimStep {
        match outcome {
            StoreOutcome::Written(revision) => ClaimStep::Send { revision },
            StoreOutcome::Found { revision, row } if row.claim == self.claim => match row.state {
                ClaimState::Running => ClaimStep::Send { revision },
                _ => self.end_unsent(RefusalReason::ClaimUnavailable),
            },
            StoreOutcome::Found { revision, row } => {
                // The record has a later revision than earlier writes of this attempt expected,
                // so they can't take effect any more.
                self.maybe_recorded = false;
                self.resolve_found(revision, row, members, now)
            }
            StoreOutcome::Absent if now < self.deadline => self.write(0),
            StoreOutcome::Absent => self.end_unsent(RefusalReason::DeadlinePassed),
            StoreOutcome::Failed | StoreOutcome::Unknown => {
                self.end_unsent(RefusalReason::ClaimUnavailable)
            }
        }
    }

    fn resolve_found(
        &mut self,
        revision: u64,
        row: ClaimRow,
        members: &MembershipTable,
        now: Timestamp,
    ) -> ClaimStep {
        if row.state == ClaimState::Released {
            if now < self.deadline {
                return self.write(revision);
            }
            return self.end_unsent(RefusalReason::DeadlinePassed);
        }
        if row.fingerprint != self.fingerprint {
            return ClaimStep::Refuse(RequestRefusal::not_executed(RefusalReason::KeyReused));
        }
        match row.state {
            ClaimState::Done(response) => ClaimStep::Replay(response),
            ClaimState::Executed => {
                ClaimStep::Refuse(RequestRefusal::executed(RefusalReason::AnswerNotKept))
            }
            ClaimState::Lost => unknown_outcome(),
            ClaimState::Running if is_dead(&row.holder, members, now) => unknown_outcome(),
            ClaimState::Running | ClaimState::Released => {
                self.seen_running = true;
                if now + CLAIM_POLL_INTERVAL < self.deadline {
                    return ClaimStep::Wait;
                }
                let refusal = RequestRefusal::unknown(RefusalReason::ClaimRunning);
                ClaimStep::Refuse(refusal.retry_after(CLAIM_RETRY_AFTER))
            }
        }
    }

    fn write(&mut self, expected: u64) -> ClaimStep {
        self.expected = expected;
        ClaimStep::Write { expected }
    }

    /// Ends an attempt that has not sent the call.
    ///
    /// If the claim of another process was found running, the call may have run, so the
    /// refusal states that the outcome is unknown and may be known later.
    fn end_unsent(&self, reason: RefusalReason) -> ClaimStep {
        let refusal = if self.seen_running {
            RequestRefusal::unknown(RefusalReason::ClaimRunning)
        } else {
            RequestRefusal::not_executed(reason)
        };
        let refusal = refusal.retry_after(CLAIM_RETRY_AFTER);
        if self.maybe_recorded {
            return ClaimStep::Abandon { refusal, expected: self.expected };
        }
        ClaimStep::Refuse(refusal)
    }
}

fn unknown_outcome() -> ClaimStep {
    ClaimStep::Refuse(RequestRefusal::unknown(RefusalReason::OutcomeUnknown))
}

fn is_dead(holder: &str, members: &MembershipTable, now: Timestamp) -> bool {
    let process = holder.parse::<ProcessIncarnation>();
    process.is_ok_and(|process| members.is_dead(&process, now))
}

/// Tells whether a claim may still be used to send the call.
///
/// This check only avoids calls that would be too late. At-most-once execution
/// doesn't depend on it, because no other process may send on the same claim.
pub fn may_send(claimed_at: Timestamp, deadline: Timestamp, now: Timestamp) -> bool {
    now < deadline && now.since(claimed_at) < CLAIM_SEND_LIMIT
}

/// States the next step of recording a claim's final state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// Write the final state if the record has this revision.
    Write { expected: u64 },
    /// Write again after a delay; the last write may have taken effect.
    Retry { expected: u64 },
    /// Nothing is left to write.
    Done,
}

/// Returns the step after a write of a claim's final state.
pub fn next_settle_step(claim: &str, expected: u64, outcome: &StoreOutcome) -> SettleStep {
    match outcome {
        StoreOutcome::Written(_) | StoreOutcome::Absent => SettleStep::Done,
        StoreOutcome::Found { revision, row }
            if row.claim == claim && row.state == ClaimState::Running =>
        {
            SettleStep::Write { expected: *revision }
        }
        StoreOutcome::Found { .. } => SettleStep::Done,
        StoreOutcome::Failed | StoreOutcome::Unknown => SettleStep::Retry { expected },
    }
}
