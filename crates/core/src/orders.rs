//! Who may order an engine, and when.
//!
//! Each engine has one record in the platform's key-value service, changed only
//! by compare-and-swap. A process claims the record, sends its order once, sees
//! the effect in the engine's report and settles the record. The revision of the
//! claim is the order's fencing token.
//!
//! An engine that checks fencing tokens refuses an order that a later claim has
//! superseded, so a successor may claim over a pending record. An engine that
//! ignores them carries out whatever arrives; there a pending record stands
//! until its effect is seen, its issuer releases it, or its issuer is proven
//! dead and a report made after that shows nothing of the order. No lease and
//! no timer gives authority: only the record does.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{
    membership::{MembershipTable, ProcessIncarnation},
    time::Timestamp,
};

/// Greatest age of a claim, from the start of its write, at which its order is sent.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(2);
/// Time for which a successor leaves a pending record to its issuer, if the
/// engine checks fencing tokens.
pub const SUPERSEDE_DELAY: Duration = Duration::from_secs(10);
/// Greatest difference between the clocks of an engine and of a daemon.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Names a claim on an engine's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingClaim {
    pub order_id: SmolStr,
    pub issuer: ProcessIncarnation,
    /// Whether the claim replaced a pending one, whose order may still arrive
    /// until the engine has seen this claim's fencing token.
    pub superseding: bool,
}

/// Says whether an order for the engine is under way.
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

/// Holds what an engine reported of its orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReport {
    /// Time of the report by the engine's clock.
    pub made_at: Timestamp,
    /// Start of the engine's process.
    pub incarnation: u64,
    /// Highest fencing token that the engine has accepted.
    pub highest_fencing: u64,
    pub applied: Option<SmolStr>,
    pub pending: Option<SmolStr>,
}

/// Says how the one send of an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The order has provably not arrived and never will.
    Unsent,
    /// The engine refused the order.
    Refused,
    /// The engine took the order.
    Accepted,
    /// Whether the order has arrived, or will, isn't known.
    Unknown,
}

/// Says how an own write to the record ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect with this revision.
    Written(u64),
    /// The write has provably not taken effect, most often because the record
    /// had another revision.
    Conflict,
    /// The answer was lost: neither success nor failure.
    Unknown,
}

/// Tells the process what to do next about one engine.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAction {
    /// Nothing can be done now.
    Wait(WaitReason),
    /// Write a pending record with the order's identifier.
    ClaimRecord { claim: PendingClaim, expected: u64 },
    /// Send the order now, once; the outcome is told to the tracker.
    SendOrder { order_id: SmolStr, fencing: u64 },
    /// Write a settled record: the order's effect was seen.
    SettleRecord { order_id: SmolStr, expected: u64 },
    /// Write a settled record: the order has had no effect and never will.
    ReleaseRecord { order_id: SmolStr, expected: u64 },
}

/// Says what an order waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// No order is wanted.
    NothingWanted,
    /// The record isn't known, since the platform gave no answer.
    RecordUnknown,
    /// The effect of a sent order hasn't been reported.
    EffectUnseen,
    /// Another process has authority over the engine.
    IssuerPending,
    /// The claim superseded one whose order may still arrive.
    OlderOrderUnfenced,
    /// The issuer is dead, and no report has been made since the proof.
    ReportStale,
}

/// Tracks the orders of one process for one engine.
#[derive(Clone, Debug)]
pub struct OrderTracker {
    process: ProcessIncarnation,
    checks_fencing: bool,
    record: Option<ObservedRecord>,
    /// Time at which the present record was first seen.
    seen_at: Timestamp,
    sighting: Option<OrderReport>,
    /// Own attempts that the present or the next record may name.
    attempts: Vec<OwnAttempt>,
    /// Time at which the present record's issuer was first known to be dead.
    death_known_at: Option<Timestamp>,
}

/// Holds the order that this process last tried to give.
#[derive(Clone, Debug)]
struct OwnAttempt {
    order_id: SmolStr,
    /// Time at which the write of the claim began.
    begun: Timestamp,
    phase: AttemptPhase,
}

#[derive(Clone, Copy, Debug)]
enum AttemptPhase {
    /// Nothing has been sent.
    Unsent,
    /// The send runs or has ended; `Unknown` while it runs.
    Sent {
        outcome: SendOutcome,
        /// Time at which the send ended.
        ended: Option<Timestamp>,
        /// Engine process that was up after the send had ended.
        witness: Option<u64>,
    },
}

impl OrderTracker {
    /// Makes the tracker of a process that knows nothing of the engine.
    pub fn new(process: ProcessIncarnation, checks_fencing: bool) -> Self {
        Self {
            process,
            checks_fencing,
            record: None,
            seen_at: Timestamp::default(),
            sighting: None,
            attempts: Vec::new(),
            death_known_at: None,
        }
    }

    /// Notes whether the engine checks fencing tokens, as the configuration says.
    pub fn set_checks_fencing(&mut self, checks_fencing: bool) {
        self.checks_fencing = checks_fencing;
    }

    /// Notes the record as it was read; an older one is ignored.
    pub fn observe_record(&mut self, record: ObservedRecord, now: Timestamp) {
        if self.record.as_ref().is_some_and(|known| known.revision >= record.revision) {
            return;
        }
        self.record = Some(record);
        self.seen_at = now;
        self.death_known_at = None;
        // An attempt that a later record names after all was given up unsent.
        let present = self.pending().map(|claim| claim.order_id.clone());
        self.attempts.retain(|attempt| Some(&attempt.order_id) == present.as_ref());
    }

    /// Notes a report of the engine; an older one is ignored.
    pub fn observe_report(&mut self, sighting: OrderReport) {
        if self.sighting.as_ref().is_some_and(|known| known.made_at >= sighting.made_at) {
            return;
        }
        self.note_witness(&sighting);
        self.sighting = Some(sighting);
    }

    /// Keeps the engine process that was up once an unanswered send had ended.
    ///
    /// Bytes of that send can reach no later process: its connection was made
    /// to this one or an earlier one.
    fn note_witness(&mut self, sighting: &OrderReport) {
        for attempt in &mut self.attempts {
            let AttemptPhase::Sent { ended: Some(ended), witness, .. } = &mut attempt.phase else {
                continue;
            };
            if is_fresh(sighting, *ended) {
                witness.get_or_insert(sighting.incarnation);
            }
        }
    }

    /// Notes how the write of a claim ended.
    pub fn claim_ended(&mut self, claim: PendingClaim, outcome: &WriteOutcome, now: Timestamp) {
        // A conflict and an unknown outcome are told by the next read.
        if let WriteOutcome::Written(revision) = outcome {
            let state = RecordState::Pending(claim);
            self.observe_record(ObservedRecord { revision: *revision, state }, now);
        }
    }

    /// Notes how the write of a settled record ended.
    pub fn settle_ended(&mut self, outcome: &WriteOutcome, now: Timestamp) {
        if let WriteOutcome::Written(revision) = outcome {
            let state = RecordState::Settled;
            self.observe_record(ObservedRecord { revision: *revision, state }, now);
        }
    }

    /// Notes how the send of an order ended.
    pub fn send_ended(&mut self, order_id: &SmolStr, outcome: SendOutcome, now: Timestamp) {
        if let Some(attempt) = self.attempt(order_id) {
            attempt.phase = AttemptPhase::Sent { outcome, ended: Some(now), witness: None };
        }
    }

    fn attempt(&mut self, order_id: &SmolStr) -> Option<&mut OwnAttempt> {
        self.attempts.iter_mut().find(|attempt| attempt.order_id == *order_id)
    }

    /// Tells whether an order for the engine is under way that this process
    /// may not supersede now.
    pub fn has_pending_order(&self, now: Timestamp) -> bool {
        match self.record.as_ref().map(|record| &record.state) {
            None => true,
            Some(RecordState::Settled) => false,
            Some(RecordState::Pending(_)) => !self.may_supersede(now),
        }
    }

    /// Returns the claim on the record, if one stands.
    pub fn pending(&self) -> Option<&PendingClaim> {
        match &self.record.as_ref()?.state {
            RecordState::Settled => None,
            RecordState::Pending(claim) => Some(claim),
        }
    }

    /// Tells whether this process holds the claim that stands.
    pub fn holds_claim(&self) -> bool {
        self.pending().is_some_and(|claim| claim.issuer == self.process)
    }

    /// Returns the action that is due, and notes that it is being taken.
    ///
    /// `wanted` names a new order, if one is to be given as soon as it may be.
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
            RecordState::Pending(claim) if self.saw_effect(claim) => OrderAction::SettleRecord {
                order_id: claim.order_id.clone(),
                expected: record.revision,
            },
            RecordState::Pending(claim) if claim.issuer == self.process => {
                self.follow_own(claim, wanted, record.revision, now)
            }
            RecordState::Pending(claim) => {
                self.follow_other(claim, wanted, record.revision, membership, now)
            }
        }
    }

    fn claim(&mut self, wanted: Option<&SmolStr>, expected: u64, now: Timestamp) -> OrderAction {
        let Some(order_id) = wanted.cloned() else {
            return OrderAction::Wait(WaitReason::NothingWanted);
        };
        // An earlier write that is still on its way loses against this one or
        // is given up; a sent attempt stays while the record names it.
        self.attempts.retain(|attempt| matches!(attempt.phase, AttemptPhase::Sent { .. }));
        self.attempts.push(OwnAttempt {
            order_id: order_id.clone(),
            begun: now,
            phase: AttemptPhase::Unsent,
        });
        let superseding = self.pending().is_some();
        let claim = PendingClaim { order_id, issuer: self.process.clone(), superseding };
        OrderAction::ClaimRecord { claim, expected }
    }

    /// Gives up a claim whose order has had no effect and never will.
    ///
    /// A claim that superseded another stays until the engine has seen its
    /// fencing token: a settled record would leave the older order free to take
    /// effect. A further claim takes its place.
    fn give_up(
        &mut self,
        claim: &PendingClaim,
        wanted: Option<&SmolStr>,
        revision: u64,
        now: Timestamp,
    ) -> OrderAction {
        let highest = self.sighting.as_ref().map_or(0, |sighting| sighting.highest_fencing);
        if !claim.superseding || highest >= revision {
            let order_id = claim.order_id.clone();
            return OrderAction::ReleaseRecord { order_id, expected: revision };
        }
        match wanted {
            Some(_) if self.checks_fencing => self.claim(wanted, revision, now),
            _ => OrderAction::Wait(WaitReason::OlderOrderUnfenced),
        }
    }

    /// Goes on with a claim of this process.
    fn follow_own(
        &mut self,
        claim: &PendingClaim,
        wanted: Option<&SmolStr>,
        revision: u64,
        now: Timestamp,
    ) -> OrderAction {
        let order_id = claim.order_id.clone();
        // A claim whose write came late belongs to an attempt that was given up
        // before anything was sent.
        let Some(attempt) = self.attempt(&order_id) else {
            return self.give_up(claim, wanted, revision, now);
        };
        match attempt.phase {
            AttemptPhase::Unsent if now.since(attempt.begun) > MAX_CLAIM_AGE => {
                self.give_up(claim, wanted, revision, now)
            }
            AttemptPhase::Unsent => {
                // Noted before the send, so that no second send can follow.
                attempt.phase = AttemptPhase::Sent {
                    outcome: SendOutcome::Unknown,
                    ended: None,
                    witness: None,
                };
                OrderAction::SendOrder { order_id, fencing: revision }
            }
            AttemptPhase::Sent { outcome, ended, witness } => {
                if self.has_no_effect(&order_id, outcome, ended, witness) {
                    return self.give_up(claim, wanted, revision, now);
                }
                if ended.is_some() && self.may_supersede(now) && wanted.is_some() {
                    return self.claim(wanted, revision, now);
                }
                OrderAction::Wait(WaitReason::EffectUnseen)
            }
        }
    }

    /// Tells whether a sent order has had no effect and never will.
    fn has_no_effect(
        &self,
        order_id: &SmolStr,
        outcome: SendOutcome,
        ended: Option<Timestamp>,
        witness: Option<u64>,
    ) -> bool {
        let Some(ended) = ended else { return false };
        let Some(sighting) = &self.sighting else {
            return matches!(outcome, SendOutcome::Unsent | SendOutcome::Refused);
        };
        let shown = sighting.pending.as_ref() == Some(order_id);
        match outcome {
            SendOutcome::Unsent | SendOutcome::Refused => true,
            // The engine took it, and lost it when its process ended.
            SendOutcome::Accepted => is_fresh(sighting, ended) && !shown,
            SendOutcome::Unknown => {
                witness.is_some_and(|witness| sighting.incarnation > witness) && !shown
            }
        }
    }

    /// Acts on a claim of another process.
    fn follow_other(
        &mut self,
        claim: &PendingClaim,
        wanted: Option<&SmolStr>,
        revision: u64,
        membership: &MembershipTable,
        now: Timestamp,
    ) -> OrderAction {
        if membership.is_dead(&claim.issuer, now) {
            let known_at = *self.death_known_at.get_or_insert(now);
            let sighting = self.sighting.as_ref().filter(|sighting| is_fresh(sighting, known_at));
            return match sighting {
                None => OrderAction::Wait(WaitReason::ReportStale),
                Some(sighting) if sighting.pending.is_some() => {
                    OrderAction::Wait(WaitReason::EffectUnseen)
                }
                Some(_) => self.give_up(claim, wanted, revision, now),
            };
        }
        if self.may_supersede(now) && wanted.is_some() {
            return self.claim(wanted, revision, now);
        }
        OrderAction::Wait(WaitReason::IssuerPending)
    }

    /// Tells whether a claim over the pending record is safe: the engine
    /// refuses the older order, and isn't carrying it out.
    fn may_supersede(&self, now: Timestamp) -> bool {
        let idle = self
            .sighting
            .as_ref()
            .is_some_and(|sighting| is_fresh(sighting, self.seen_at) && sighting.pending.is_none());
        self.checks_fencing && idle && now.since(self.seen_at) >= SUPERSEDE_DELAY
    }

    /// Tells whether a report shows the effect of a claim's order. Identifiers
    /// are unique, so that no report made before the claim can show it.
    fn saw_effect(&self, claim: &PendingClaim) -> bool {
        let applied = self.sighting.as_ref().and_then(|sighting| sighting.applied.as_ref());
        applied == Some(&claim.order_id)
    }
}

/// Tells whether a report was made after a point in time of this process's clock.
fn is_fresh(sighting: &OrderReport, since: Timestamp) -> bool {
    sighting.made_at > since + MAX_CLOCK_SKEW
}
