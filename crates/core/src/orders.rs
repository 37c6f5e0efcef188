//! Decides which process may send an order to an engine, and when.
//!
//! Each engine has one record in the platform's key-value service, which is changed
//! only by compare-and-swap. A process claims the record, sends its order once, waits
//! until the engine's report shows the effect, and settles the record. The revision
//! of the claim is the order's fencing token.
//!
//! An engine that checks fencing tokens refuses an order that a later claim has
//! superseded, so a successor may claim over a pending record. An engine that ignores
//! them executes every order that arrives. A pending record of such an engine stays
//! until its effect is reported, its issuer releases it, or its issuer is proven dead
//! and a report made after the proof doesn't show the order. Only the record gives
//! authority over an engine; no lease and no timer does.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{
    membership::{MembershipTable, ProcessIncarnation},
    time::Timestamp,
};

/// Greatest age of a claim, from the start of its write, at which its order is sent.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(2);
/// Time for which a successor leaves a pending record to its issuer, if the engine
/// checks fencing tokens.
pub const SUPERSEDE_DELAY: Duration = Duration::from_secs(10);
/// Greatest difference between the clocks of an engine and of a daemon.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Describes a claim on an engine's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingClaim {
    pub order_id: SmolStr,
    pub issuer: ProcessIncarnation,
    /// Whether the claim replaced a pending one, whose order may still arrive until
    /// the engine has received this claim's fencing token.
    pub superseding: bool,
}

/// States whether an order for the engine is pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    Settled,
    Pending(PendingClaim),
}

/// Holds an engine's record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRecord {
    /// Revision of the record; 0 if there is none.
    pub revision: u64,
    pub state: RecordState,
}

/// Holds what an engine reported about its orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReport {
    /// Time of the report by the engine's clock.
    pub made_at: Timestamp,
    /// Start of the engine's process, which identifies the process.
    pub incarnation: u64,
    /// Highest fencing token that the engine has accepted.
    pub highest_fencing: u64,
    pub applied: Option<SmolStr>,
    pub pending: Option<SmolStr>,
}

/// States the outcome of the single send of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The order has provably not arrived and can't arrive later.
    Unsent,
    /// The engine refused the order.
    Refused,
    /// The engine accepted the order.
    Accepted,
    /// Whether the order has arrived, or will arrive, isn't known.
    Unknown,
}

/// States the outcome of a write to the record by this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect with this revision.
    Written(u64),
    /// The write has provably not taken effect, usually because the record had another
    /// revision.
    Conflict,
    /// The response was lost; the write may have taken effect.
    Unknown,
}

/// States the next action of the process for one engine.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAction {
    /// Nothing can be done now.
    Wait(WaitReason),
    /// Write a pending record with the order's identifier.
    ClaimRecord { claim: PendingClaim, expected: u64 },
    /// Send the order now, once, and pass the outcome to the tracker.
    SendOrder { order_id: SmolStr, fencing: u64 },
    /// Write a settled record, since the order's effect was reported.
    SettleRecord { order_id: SmolStr, expected: u64 },
    /// Write a settled record, since the order has had no effect and can't have one.
    ReleaseRecord { order_id: SmolStr, expected: u64 },
}

/// States what an order waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// No order is wanted.
    NothingWanted,
    /// The record isn't known, since the platform has not responded.
    RecordUnknown,
    /// The effect of a sent order hasn't been reported.
    EffectUnseen,
    /// Another process has authority over the engine.
    IssuerPending,
    /// The claim superseded one whose order may still arrive.
    OlderOrderUnfenced,
    /// The issuer is dead, and no report has been made since its death was proven.
    ReportStale,
}

/// Tracks the orders of one process for one engine.
#[derive(Clone, Debug)]
pub struct OrderTracker {
    process: ProcessIncarnation,
    checks_fencing: bool,
    record: Option<ObservedRecord>,
    /// Time at which the current record was first read.
    first_read_at: Timestamp,
    report: Option<OrderReport>,
    /// Attempts of this process that the current or the next record may name.
    attempts: Vec<OrderAttempt>,
    /// Time at which the current record's issuer was first known to be dead.
    death_known_at: Option<Timestamp>,
}

/// Holds an order that this process has tried to send.
#[derive(Clone, Debug)]
struct OrderAttempt {
    order_id: SmolStr,
    /// Start of the write of the claim.
    started_at: Timestamp,
    phase: AttemptPhase,
}

#[derive(Clone, Copy, Debug)]
enum AttemptPhase {
    /// Nothing has been sent.
    Unsent,
    /// The send is running or has ended. The outcome is `Unknown` while it runs.
    Sent {
        outcome: SendOutcome,
        /// Time at which the send ended.
        ended_at: Option<Timestamp>,
        /// Start of an engine process that was running after the send had ended.
        process_after_send: Option<u64>,
    },
}

impl OrderTracker {
    /// Creates the tracker of a process that has no information about the engine.
    pub fn new(process: ProcessIncarnation, checks_fencing: bool) -> Self {
        Self {
            process,
            checks_fencing,
            record: None,
            first_read_at: Timestamp::default(),
            report: None,
            attempts: Vec::new(),
            death_known_at: None,
        }
    }

    /// Sets whether the engine checks fencing tokens, from the configuration.
    pub fn set_checks_fencing(&mut self, checks_fencing: bool) {
        self.checks_fencing = checks_fencing;
    }

    /// Applies the record as it was read; an older revision is ignored.
    pub fn observe_record(&mut self, record: ObservedRecord, now: Timestamp) {
        if self.record.as_ref().is_some_and(|known| known.revision >= record.revision) {
            return;
        }
        self.record = Some(record);
        self.first_read_at = now;
        self.death_known_at = None;
        // If a later record names a dropped attempt, that attempt was abandoned before
        // anything was sent.
        let pending_id = self.pending().map(|claim| claim.order_id.clone());
        self.attempts.retain(|attempt| Some(&attempt.order_id) == pending_id.as_ref());
    }

    /// Applies a report of the engine; an older one is ignored.
    pub fn observe_report(&mut self, report: OrderReport) {
        if self.report.as_ref().is_some_and(|known| known.made_at >= report.made_at) {
            return;
        }
        self.record_process_after_send(&report);
        self.report = Some(report);
    }

    /// Records the engine process that was running after a send of unknown outcome.
    ///
    /// Bytes of that send can't reach a later process, because its connection was opened
    /// to this process or an earlier one.
    fn record_process_after_send(&mut self, report: &OrderReport) {
        for attempt in &mut self.attempts {
            let AttemptPhase::Sent { ended_at: Some(ended_at), process_after_send, .. } =
                &mut attempt.phase
            else {
                continue;
            };
            if is_fresh(report, *ended_at) {
                process_after_send.get_or_insert(report.incarnation);
            }
        }
    }

    /// Records the outcome of the write of a claim.
    pub fn claim_ended(&mut self, claim: PendingClaim, outcome: &WriteOutcome, now: Timestamp) {
        // After a conflict or an unknown outcome the next read shows the record.
        if let WriteOutcome::Written(revision) = outcome {
            let state = RecordState::Pending(claim);
            self.observe_record(ObservedRecord { revision: *revision, state }, now);
        }
    }

    /// Records the outcome of the write of a settled record.
    pub fn settle_ended(&mut self, outcome: &WriteOutcome, now: Timestamp) {
        if let WriteOutcome::Written(revision) = outcome {
            let state = RecordState::Settled;
            self.observe_record(ObservedRecord { revision: *revision, state }, now);
        }
    }

    /// Records the outcome of the send of an order.
    pub fn send_ended(&mut self, order_id: &SmolStr, outcome: SendOutcome, now: Timestamp) {
        if let Some(attempt) = self.attempt(order_id) {
            attempt.phase =
                AttemptPhase::Sent { outcome, ended_at: Some(now), process_after_send: None };
        }
    }

    fn attempt(&mut self, order_id: &SmolStr) -> Option<&mut OrderAttempt> {
        self.attempts.iter_mut().find(|attempt| attempt.order_id == *order_id)
    }

    /// Tells whether an order for the engine is pending that this process may not
    /// supersede now, or the record isn't known.
    pub fn has_pending_order(&self, now: Timestamp) -> bool {
        match self.record.as_ref().map(|record| &record.state) {
            None => true,
            Some(RecordState::Settled) => false,
            Some(RecordState::Pending(_)) => !self.may_supersede(now),
        }
    }

    /// Returns the pending claim on the record, if there is one.
    pub fn pending(&self) -> Option<&PendingClaim> {
        match &self.record.as_ref()?.state {
            RecordState::Settled => None,
            RecordState::Pending(claim) => Some(claim),
        }
    }

    /// Tells whether the pending claim is one of this process.
    pub fn holds_claim(&self) -> bool {
        self.pending().is_some_and(|claim| claim.issuer == self.process)
    }

    /// Returns the action that is due, and records that it is being executed.
    ///
    /// `wanted` identifies a new order to send as soon as that is allowed, if there is one.
    pub fn next_action(
        &mut self,
        wanted: Option<&SmolStr>,
        membership: &MembershipTable,
        now: Timestamp,
    ) -> OrderAction {
        let Some(record) = self.record.clone() else {
            return OrderAction::Wait(WaitReason::RecordUnknown);
        };
        match &record.state {
            RecordState::Settled => self.claim(wanted, record.revision, now),
            RecordState::Pending(claim) if self.shows_effect(claim) => OrderAction::SettleRecord {
                order_id: claim.order_id.clone(),
                expected: record.revision,
            },
            RecordState::Pending(claim) if claim.issuer == self.process => {
                self.continue_own_claim(claim, wanted, record.revision, now)
            }
            RecordState::Pending(claim) => {
                self.handle_other_claim(claim, wanted, record.revision, membership, now)
            }
        }
    }

    fn claim(&mut self, wanted: Option<&SmolStr>, expected: u64, now: Timestamp) -> OrderAction {
        let Some(order_id) = wanted.cloned() else {
            return OrderAction::Wait(WaitReason::NothingWanted);
        };
        // An earlier write that is still in flight either conflicts with this one or is
        // abandoned. A sent attempt is kept while the record names it.
        self.attempts.retain(|attempt| matches!(attempt.phase, AttemptPhase::Sent { .. }));
        self.attempts.push(OrderAttempt {
            order_id: order_id.clone(),
            started_at: now,
            phase: AttemptPhase::Unsent,
        });
        let superseding = self.pending().is_some();
        let claim = PendingClaim { order_id, issuer: self.process.clone(), superseding };
        OrderAction::ClaimRecord { claim, expected }
    }

    /// Abandons a claim whose order has had no effect and can't have one.
    ///
    /// A claim that superseded another one stays until the engine has received its fencing
    /// token, because the older order could still take effect after a settled record. It
    /// is replaced by a further claim.
    fn abandon(
        &mut self,
        claim: &PendingClaim,
        wanted: Option<&SmolStr>,
        revision: u64,
        now: Timestamp,
    ) -> OrderAction {
        let highest_fencing = self.report.as_ref().map_or(0, |report| report.highest_fencing);
        if !claim.superseding || highest_fencing >= revision {
            let order_id = claim.order_id.clone();
            return OrderAction::ReleaseRecord { order_id, expected: revision };
        }
        match wanted {
            Some(_) if self.checks_fencing => self.claim(wanted, revision, now),
            _ => OrderAction::Wait(WaitReason::OlderOrderUnfenced),
        }
    }

    /// Returns the action for a pending claim of this process.
    fn continue_own_claim(
        &mut self,
        claim: &PendingClaim,
        wanted: Option<&SmolStr>,
        revision: u64,
        now: Timestamp,
    ) -> OrderAction {
        let order_id = claim.order_id.clone();
        // The write of the claim took effect late. Its attempt was abandoned before anything
        // was sent.
        let Some(attempt) = self.attempt(&order_id) else {
            return self.abandon(claim, wanted, revision, now);
        };
        match attempt.phase {
            AttemptPhase::Unsent if now.since(attempt.started_at) > MAX_CLAIM_AGE => {
                self.abandon(claim, wanted, revision, now)
            }
            AttemptPhase::Unsent => {
                // Recorded before the send, so that the order can't be sent twice.
                attempt.phase = AttemptPhase::Sent {
                    outcome: SendOutcome::Unknown,
                    ended_at: None,
                    process_after_send: None,
                };
                OrderAction::SendOrder { order_id, fencing: revision }
            }
            AttemptPhase::Sent { outcome, ended_at, process_after_send } => {
                if self.has_no_effect(&order_id, outcome, ended_at, process_after_send) {
                    return self.abandon(claim, wanted, revision, now);
                }
                if ended_at.is_some() && self.may_supersede(now) && wanted.is_some() {
                    return self.claim(wanted, revision, now);
                }
                OrderAction::Wait(WaitReason::EffectUnseen)
            }
        }
    }

    /// Tells whether a sent order has had no effect and can't have one.
    fn has_no_effect(
        &self,
        order_id: &SmolStr,
        outcome: SendOutcome,
        ended_at: Option<Timestamp>,
        process_after_send: Option<u64>,
    ) -> bool {
        let Some(ended_at) = ended_at else { return false };
        let Some(report) = &self.report else {
            return matches!(outcome, SendOutcome::Unsent | SendOutcome::Refused);
        };
        let is_pending = report.pending.as_ref() == Some(order_id);
        match outcome {
            SendOutcome::Unsent | SendOutcome::Refused => true,
            // The engine accepted the order and lost it when its process ended.
            SendOutcome::Accepted => is_fresh(report, ended_at) && !is_pending,
            SendOutcome::Unknown => {
                process_after_send.is_some_and(|process| report.incarnation > process)
                    && !is_pending
            }
        }
    }

    /// Returns the action for a pending claim of another process.
    fn handle_other_claim(
        &mut self,
        claim: &PendingClaim,
        wanted: Option<&SmolStr>,
        revision: u64,
        membership: &MembershipTable,
        now: Timestamp,
    ) -> OrderAction {
        if membership.is_dead(&claim.issuer, now) {
            let known_at = *self.death_known_at.get_or_insert(now);
            let report = self.report.as_ref().filter(|report| is_fresh(report, known_at));
            return match report {
                None => OrderAction::Wait(WaitReason::ReportStale),
                Some(report) if report.pending.is_some() => {
                    OrderAction::Wait(WaitReason::EffectUnseen)
                }
                Some(_) => self.abandon(claim, wanted, revision, now),
            };
        }
        if self.may_supersede(now) && wanted.is_some() {
            return self.claim(wanted, revision, now);
        }
        OrderAction::Wait(WaitReason::IssuerPending)
    }

    /// Tells whether the pending record may be claimed: the engine refuses the older order
    /// and isn't executing it.
    fn may_supersede(&self, now: Timestamp) -> bool {
        let idle = self
            .report
            .as_ref()
            .is_some_and(|report| is_fresh(report, self.first_read_at) && report.pending.is_none());
        self.checks_fencing && idle && now.since(self.first_read_at) >= SUPERSEDE_DELAY
    }

    /// Tells whether a report shows the effect of a claim's order. Order identifiers are
    /// unique, so a report made before the claim can't show it.
    fn shows_effect(&self, claim: &PendingClaim) -> bool {
        let applied = self.report.as_ref().and_then(|report| report.applied.as_ref());
        applied == Some(&claim.order_id)
    }
}

/// Tells whether a report was made after a time of this process's clock.
fn is_fresh(report: &OrderReport, since: Timestamp) -> bool {
    report.made_at > since + MAX_CLOCK_SKEW
}
