//! Claims on requests that run at most once.
//!
//! A claim is recorded before the first byte goes to a backend server. Who
//! holds the claim sends the request once; everybody else gets the kept
//! answer, waits, or learns that the outcome isn't known. No claim passes to
//! another holder, not even after the proof of its holder's death: what a dead
//! holder did can't be known, so its callers are told just that.
//!
//! A claim that was given up is marked as released and not deleted. A write
//! that was delayed on its way expects a revision that is gone by then, and so
//! can't bring a forgotten claim back.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{
    membership::{MembershipTable, ProcessIncarnation},
    refusal::{RefusalReason, RequestRefusal},
    time::Timestamp,
};

/// Time between two looks at a claim that another holder runs.
pub const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age from which a claim is no longer used for sending.
pub const CLAIM_SEND_LIMIT: Duration = Duration::from_secs(10);
/// Time after which a caller may come back to a claim that can't be read.
pub const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest body of an answer that is kept, in bytes.
pub const STORED_BODY_LIMIT_BYTES: usize = 256 << 10;

/// Names a call that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey {
    pub service: SmolStr,
    pub account: SmolStr,
    /// Value of the caller's `Idempotency-Key` header.
    pub key: SmolStr,
}

/// Keeps the answer of a call that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    pub status: u16,
    pub content_type: SmolStr,
    pub body: Vec<u8>,
}

/// Says what is known of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The holder may have sent the call.
    Running,
    /// The call has run and its answer is kept.
    Done(StoredResponse),
    /// The call has run; its answer was too large to keep.
    Executed,
    /// The call may have run; its answer is lost.
    Lost,
    /// The call has provably not run and may be claimed again.
    Released,
}

impl ClaimState {
    /// Returns the state of a call that gave an answer.
    pub fn answered(answer: &StoredResponse) -> Self {
        if answer.body.len() > STORED_BODY_LIMIT_BYTES {
            return Self::Executed;
        }
        Self::Done(answer.clone())
    }
}

/// Holds one claim as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// Identifier of the claim, unique for each try.
    pub claim: SmolStr,
    /// Process that may send the call, as VM/INCARNATION.
    pub holder: SmolStr,
    /// Hash of the method, path and body.
    pub fingerprint: u64,
    pub state: ClaimState,
    /// End of the callers' retry horizon.
    pub expires: Timestamp,
}

impl ClaimRow {
    /// Tells whether the record may be deleted.
    ///
    /// A running claim whose holder may be alive is kept: a holder that was
    /// paused for longer than the horizon may still send.
    pub fn is_expired(&self, members: &MembershipTable, now: Timestamp) -> bool {
        let settled = self.state != ClaimState::Running || is_dead(&self.holder, members, now);
        settled && self.expires <= now
    }
}

/// Says what the store answered to a read or a conditional write of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The write took effect and has this revision.
    Written(u64),
    /// This claim is recorded; a write didn't take effect.
    Found { revision: u64, row: ClaimRow },
    /// No claim is recorded; a write didn't take effect.
    Absent,
    /// The call failed and has provably had no effect.
    Failed,
    /// The call may still take effect.
    Unknown,
}

/// Says what an attempt to claim does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Writes the attempt's claim if the record has this revision.
    Write { expected: u64 },
    /// Reads the record.
    Read,
    /// Reads the record after [`CLAIM_POLL_INTERVAL`].
    Wait,
    /// Sends the call, once; the claim has this revision.
    Send { revision: u64 },
    /// Gives the kept answer.
    Replay(StoredResponse),
    /// Refuses; nothing of this attempt is recorded.
    Refuse(RequestRefusal),
    /// Refuses, and settles the claim as released: it may be recorded.
    Abandon { refusal: RequestRefusal, expected: u64 },
}

/// Follows one try of a caller at one daemon, until it sends or ends.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    claim: SmolStr,
    fingerprint: u64,
    deadline: Timestamp,
    expected: u64,
    /// Whether a write of this attempt may be recorded, now or later.
    maybe_recorded: bool,
    /// Whether another holder was seen to run the call.
    seen_running: bool,
}

impl ClaimAttempt {
    /// Makes an attempt whose first step is [`ClaimStep::Write`] with revision 0.
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

    /// Decides after a write was answered.
    pub fn after_write(
        &mut self,
        answer: StoreOutcome,
        members: &MembershipTable,
        now: Timestamp,
    ) -> ClaimStep {
        if answer == StoreOutcome::Unknown {
            self.maybe_recorded = true;
            return ClaimStep::Read;
        }
        self.decide(answer, members, now)
    }

    /// Decides after a read was answered.
    pub fn after_read(
        &mut self,
        answer: StoreOutcome,
        members: &MembershipTable,
        now: Timestamp,
    ) -> ClaimStep {
        self.decide(answer, members, now)
    }

    fn decide(
        &mut self,
        answer: StoreOutcome,
        members: &MembershipTable,
        now: Timestamp,
    ) -> ClaimStep {
        match answer {
            StoreOutcome::Written(revision) => ClaimStep::Send { revision },
            StoreOutcome::Found { revision, row } if row.claim == self.claim => match row.state {
                ClaimState::Running => ClaimStep::Send { revision },
                _ => self.give_up(RefusalReason::ClaimUnavailable),
            },
            StoreOutcome::Found { revision, row } => {
                // The revision has moved on, so an earlier write can't land.
                self.maybe_recorded = false;
                self.judge(revision, row, members, now)
            }
            StoreOutcome::Absent if now < self.deadline => self.write(0),
            StoreOutcome::Absent => self.give_up(RefusalReason::DeadlinePassed),
            StoreOutcome::Failed | StoreOutcome::Unknown => {
                self.give_up(RefusalReason::ClaimUnavailable)
            }
        }
    }

    fn judge(
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
            return self.give_up(RefusalReason::DeadlinePassed);
        }
        if row.fingerprint != self.fingerprint {
            return ClaimStep::Refuse(RequestRefusal::not_executed(RefusalReason::KeyReused));
        }
        match row.state {
            ClaimState::Done(answer) => ClaimStep::Replay(answer),
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

    /// Ends the attempt, of which nothing was sent.
    ///
    /// If another holder was seen to run the call, "not run" might be false; its
    /// outcome may still become known.
    fn give_up(&self, reason: RefusalReason) -> ClaimStep {
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

/// Tells whether a claim may still be used for sending.
///
/// This spares a call that comes too late. That the call is sent at most once
/// doesn't depend on it, as nobody else may send on the same claim.
pub fn may_send(claimed: Timestamp, deadline: Timestamp, now: Timestamp) -> bool {
    now < deadline && now.since(claimed) < CLAIM_SEND_LIMIT
}

/// Says what the settlement of a claim does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// Writes the final state if the record has this revision.
    Write { expected: u64 },
    /// Writes again after a pause; the last write may have taken effect.
    Retry { expected: u64 },
    /// The record needs nothing more.
    Done,
}

/// Decides after a write of a claim's final state was answered.
pub fn next_settle_step(claim: &str, expected: u64, answer: &StoreOutcome) -> SettleStep {
    match answer {
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
