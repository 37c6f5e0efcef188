//! Claims that slot owners grant, over arbitrary interleavings, platform outages and
//! deaths of owners.

use std::{collections::BTreeMap, time::Duration};

use gooseberry_core::{
    claims::{ClaimRow, ClaimState},
    membership::DEATH_GRACE_PERIOD,
    slots::{
        self, CommitOutcome, SlotCommit, SlotLimits, SlotOwner, SlotRecord, SlotResponse,
        MEMORY_GRANT_DELAY, SLOT_COUNT,
    },
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

const DAEMON_COUNT: usize = 3;
const CASES: u32 = 40_000;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const RETRY_HORIZON: Duration = Duration::from_secs(600);

/// Rule that a run breaks on purpose, to show that the property detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NaiveRule {
    None,
    /// The successor assumes that the record contains all granted claims.
    IgnoreGap,
    /// Another daemon takes the slot over without a proof of the owner's death.
    TakeOverWithoutProof,
    /// The requesting daemon uses a grant that arrives after it has abandoned the call
    /// and requested another claim.
    UseLateGrant,
}

/// Delivery of a commit to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteDelivery {
    Completed,
    /// Takes effect at once; its response arrives with [`SlotEvent::CommitOutcome`].
    ResponseDelayed,
    RequestLost,
    ResponseLost,
    /// Takes effect with [`SlotEvent::DeliverCommit`], if the record hasn't changed until
    /// then.
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum SlotEvent {
    /// A caller sends a call with the key to a daemon.
    StartCall(usize),
    /// The call requests the claim from an owner; the response may be delayed.
    RequestClaim {
        index: usize,
        owner: usize,
        delayed: bool,
    },
    /// The call is abandoned before a delayed response arrives.
    Abandon(usize),
    /// The delayed response to a call arrives.
    DeliverResponse(usize),
    /// The owner writes the record.
    Commit(WriteDelivery),
    /// The delayed write of a commit arrives.
    DeliverCommit,
    /// The delayed response to a commit arrives.
    CommitOutcome,
    Platform {
        down: bool,
    },
    /// The owner process ends, and another one starts in its place.
    KillOwner,
    /// A daemon tries to take the slot over.
    TakeOver(usize),
    Advance(u64),
}

fn events() -> impl Strategy<Value = Vec<SlotEvent>> {
    let delivery = prop_oneof![
        3 => Just(WriteDelivery::Completed),
        2 => Just(WriteDelivery::ResponseDelayed),
        2 => Just(WriteDelivery::RequestLost),
        1 => Just(WriteDelivery::ResponseLost),
        1 => Just(WriteDelivery::Delayed),
    ];
    let index = || 0..3usize;
    let event = prop_oneof![
        2 => (0..DAEMON_COUNT).prop_map(SlotEvent::StartCall),
        12 => (index(), 0..2usize, prop::bool::weighted(0.3))
            .prop_map(|(index, owner, delayed)| SlotEvent::RequestClaim { index, owner, delayed }),
        2 => index().prop_map(SlotEvent::Abandon),
        2 => index().prop_map(SlotEvent::DeliverResponse),
        5 => delivery.prop_map(SlotEvent::Commit),
        1 => Just(SlotEvent::DeliverCommit),
        2 => Just(SlotEvent::CommitOutcome),
        2 => any::<bool>().prop_map(|down| SlotEvent::Platform { down }),
        1 => Just(SlotEvent::KillOwner),
        2 => (0..DAEMON_COUNT).prop_map(SlotEvent::TakeOver),
        4 => prop_oneof![1..4_000u64, 4_000..25_000u64].prop_map(SlotEvent::Advance),
    ];
    proptest::collection::vec(event, 10..120)
}

#[derive(Clone, Debug)]
struct ClaimCall {
    row: ClaimRow,
    /// A response that the requesting daemon hasn't received yet.
    delayed_response: Option<SlotResponse>,
    ended: bool,
}

struct SlotModel {
    rule: NaiveRule,
    now: Timestamp,
    revision: u64,
    record: SlotRecord,
    /// Live processes that act as owner of the slot, the newest one last.
    owners: Vec<SlotOwner>,
    owner_died_at: Option<Timestamp>,
    delayed_commit: Option<SlotCommit>,
    /// Outcome of a commit that the owner hasn't received yet.
    delayed_outcome: Option<CommitOutcome>,
    platform_down: bool,
    calls: Vec<ClaimCall>,
    first_call_at: Option<Timestamp>,
    executions: u32,
}

fn key_path() -> SmolStr {
    SmolStr::new("key")
}

fn first_record() -> SlotRecord {
    SlotRecord {
        owner: "vm-0/1".into(),
        stamp: START,
        gap_until: START,
        segments: Vec::new(),
        rows: BTreeMap::new(),
    }
}

impl SlotModel {
    fn new(rule: NaiveRule) -> Self {
        let record = first_record();
        Self {
            rule,
            now: START,
            revision: 1,
            owners: vec![SlotOwner::new(1, record.clone(), Vec::new(), SlotLimits::default())],
            record,
            owner_died_at: None,
            delayed_commit: None,
            delayed_outcome: None,
            platform_down: false,
            calls: Vec::new(),
            first_call_at: None,
            executions: 0,
        }
    }

    fn apply(&mut self, event: SlotEvent) {
        match event {
            SlotEvent::StartCall(daemon) => self.start_call(daemon),
            SlotEvent::RequestClaim { index, owner, delayed } if index < self.calls.len() => {
                self.request_from_owner(index, owner, delayed);
            }
            SlotEvent::Abandon(index) if index < self.calls.len() => self.calls[index].ended = true,
            SlotEvent::DeliverResponse(index) if index < self.calls.len() => {
                self.deliver_response(index)
            }
            SlotEvent::RequestClaim { .. }
            | SlotEvent::Abandon(_)
            | SlotEvent::DeliverResponse(_) => {}
            SlotEvent::Commit(delivery) => self.commit(delivery),
            SlotEvent::Platform { down } => self.platform_down = down,
            SlotEvent::CommitOutcome => {
                if let Some(outcome) = self.delayed_outcome.take() {
                    self.committed(outcome);
                }
            }
            SlotEvent::DeliverCommit => self.deliver_commit(),
            SlotEvent::KillOwner => {
                self.delayed_outcome = None;
                if !std::mem::take(&mut self.owners).is_empty() {
                    self.owner_died_at = Some(self.now);
                }
            }
            SlotEvent::TakeOver(daemon) => self.try_take_over(daemon),
            SlotEvent::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn start_call(&mut self, daemon: usize) {
        let first = *self.first_call_at.get_or_insert(self.now);
        if self.now.since(first) >= RETRY_HORIZON {
            return;
        }
        let row = ClaimRow {
            claim: format_smolstr!("claim-{}", self.calls.len()),
            holder: format_smolstr!("vm-{daemon}/1"),
            fingerprint: 1,
            state: ClaimState::Running,
            expires: self.now + RETRY_HORIZON,
        };
        self.calls.push(ClaimCall { row, delayed_response: None, ended: false });
    }

    fn request_from_owner(&mut self, index: usize, owner: usize, delayed: bool) {
        let entry = &mut self.calls[index];
        if entry.ended || entry.delayed_response.is_some() {
            return;
        }
        let count = self.owners.len().max(1);
        let Some(owner) = self.owners.get_mut(owner % count) else { return };
        let response = owner.request_claim(&key_path(), &entry.row, self.now);
        if delayed {
            entry.delayed_response = Some(response);
            return;
        }
        self.apply_response(index, &response);
    }

    /// Applies a response for a call whose caller still waits.
    fn apply_response(&mut self, index: usize, response: &SlotResponse) {
        match response {
            SlotResponse::Granted => {
                self.executions += 1;
                self.calls[index].ended = true;
                self.finish(index, ClaimState::Lost);
            }
            SlotResponse::Pending | SlotResponse::NotOwner => {}
            SlotResponse::Found(_) | SlotResponse::Gap { .. } => self.calls[index].ended = true,
        }
    }

    fn deliver_response(&mut self, index: usize) {
        let Some(response) = self.calls[index].delayed_response.take() else { return };
        if !self.calls[index].ended {
            return self.apply_response(index, &response);
        }
        if response != SlotResponse::Granted {
            return;
        }
        if self.rule == NaiveRule::UseLateGrant {
            self.executions += 1;
        }
        // A grant that arrives too late is released.
        self.finish(index, ClaimState::Released);
    }

    fn finish(&mut self, index: usize, state: ClaimState) {
        for owner in &mut self.owners {
            owner.set_final_state(&key_path(), &self.calls[index].row.claim, state.clone());
        }
    }

    fn commit(&mut self, delivery: WriteDelivery) {
        let Some(owner) = self.owners.last_mut() else { return };
        let Some(commit) = owner.commit(self.now) else { return };
        match delivery {
            _ if self.platform_down => {}
            WriteDelivery::Delayed => self.delayed_commit = Some(commit),
            WriteDelivery::RequestLost => {}
            WriteDelivery::ResponseLost => {
                self.write(commit);
            }
            WriteDelivery::Completed => {
                let outcome = self.write(commit);
                return self.committed(outcome);
            }
            WriteDelivery::ResponseDelayed => {
                self.delayed_outcome = Some(self.write(commit));
                return;
            }
        }
        self.committed(CommitOutcome::Unknown);
    }

    fn committed(&mut self, outcome: CommitOutcome) {
        let Some(owner) = self.owners.last_mut() else { return };
        owner.committed(outcome);
    }

    /// Writes a commit. If the owner's own earlier commit is found in the record, the
    /// owner observes its revision and writes again later.
    fn write(&mut self, commit: SlotCommit) -> CommitOutcome {
        if commit.expected == self.revision {
            self.revision += 1;
            self.record = commit.record;
            return CommitOutcome::Written(self.revision);
        }
        if self.record.owner != commit.record.owner {
            return CommitOutcome::Superseded;
        }
        if let Some(owner) = self.owners.last_mut() {
            owner.observe_own_commit(self.revision);
        }
        CommitOutcome::Unknown
    }

    fn deliver_commit(&mut self) {
        let Some(commit) = self.delayed_commit.take() else { return };
        if commit.expected == self.revision {
            self.revision += 1;
            self.record = commit.record;
        }
    }

    fn try_take_over(&mut self, daemon: usize) {
        let is_proven_dead = self
            .owner_died_at
            .is_some_and(|owner_died_at| self.now.since(owner_died_at) >= DEATH_GRACE_PERIOD);
        let without_proof = self.rule == NaiveRule::TakeOverWithoutProof && self.owners.len() < 2;
        if self.platform_down || !(is_proven_dead || without_proof) {
            return;
        }
        let dead_by = if self.rule == NaiveRule::IgnoreGap { None } else { Some(self.now) };
        let successor = format_smolstr!("vm-{daemon}/{}", self.revision + 1);
        self.record = slots::take_over(&self.record, successor, dead_by, RETRY_HORIZON, self.now);
        self.revision += 1;
        self.delayed_outcome = None;
        self.owners.push(SlotOwner::new(
            self.revision,
            self.record.clone(),
            Vec::new(),
            SlotLimits::default(),
        ));
        self.owner_died_at = None;
    }
}

fn run(rule: NaiveRule) -> Result<(), TestError<Vec<SlotEvent>>> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        let mut model = SlotModel::new(rule);
        for event in events {
            model.apply(event);
        }
        prop_assert!(model.executions <= 1, "the call ran {} times", model.executions);
        Ok(())
    })
}

#[test]
fn a_granted_call_runs_at_most_once_despite_outages_and_deaths() {
    run(NaiveRule::None).unwrap();
}

#[test]
fn ignoring_claims_that_a_dead_owner_granted_from_memory_is_detected() {
    let error = run(NaiveRule::IgnoreGap).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn taking_a_slot_over_without_proof_of_death_is_detected() {
    let error = run(NaiveRule::TakeOverWithoutProof).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn using_a_late_grant_is_detected() {
    let error = run(NaiveRule::UseLateGrant).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

fn row(claim: &str) -> ClaimRow {
    ClaimRow {
        claim: claim.into(),
        holder: "vm-1/1".into(),
        fingerprint: 1,
        state: ClaimState::Running,
        expires: START + RETRY_HORIZON,
    }
}

#[test]
fn one_commit_grants_all_claims_that_wait_for_it() {
    let mut owner = SlotOwner::new(1, first_record(), Vec::new(), SlotLimits::default());
    let keys: Vec<SmolStr> = (0..100).map(|index| format_smolstr!("key-{index}")).collect();
    for key in &keys {
        assert_eq!(owner.request_claim(key, &row(key), START), SlotResponse::Pending);
    }
    assert_eq!(owner.commit(START).expect("a commit").record.rows.len(), keys.len());
    assert_eq!(owner.commit(START), None);
    owner.committed(CommitOutcome::Written(2));
    for key in &keys {
        assert_eq!(owner.request_claim(key, &row(key), START), SlotResponse::Granted);
    }
}

#[test]
fn an_owner_grants_from_memory_during_an_outage_and_its_successor_reports_the_gap() {
    let mut owner = SlotOwner::new(1, first_record(), Vec::new(), SlotLimits::default());
    assert_eq!(owner.request_claim(&key_path(), &row("first"), START), SlotResponse::Pending);
    assert!(owner.commit(START).is_some());
    owner.committed(CommitOutcome::Unknown);
    let memory_grant_at = START + MEMORY_GRANT_DELAY;
    let early = memory_grant_at - Duration::from_millis(1);
    assert_eq!(owner.request_claim(&key_path(), &row("first"), early), SlotResponse::Pending);
    assert_eq!(
        owner.request_claim(&key_path(), &row("first"), memory_grant_at),
        SlotResponse::Granted
    );
    let successor_record = slots::take_over(
        &first_record(),
        "vm-2/1".into(),
        Some(memory_grant_at),
        RETRY_HORIZON,
        memory_grant_at,
    );
    let mut successor = SlotOwner::new(2, successor_record, Vec::new(), SlotLimits::default());
    let response = successor.request_claim(&key_path(), &row("second"), memory_grant_at);
    assert!(
        matches!(response, SlotResponse::Gap { until } if until >= memory_grant_at + RETRY_HORIZON)
    );
}

#[test]
fn an_owner_that_dies_soon_after_its_stamp_leaves_no_gap() {
    let successor_record =
        slots::take_over(&first_record(), "vm-2/1".into(), Some(START), RETRY_HORIZON, START);
    assert_eq!(successor_record.gap_until, START);
}

#[test]
fn every_hash_has_a_slot() {
    assert!([[0, 0], [1, 2], [255, 255]].into_iter().all(|hash| slots::slot(hash) < SLOT_COUNT));
}

#[test]
fn a_claim_that_arrives_during_a_commit_waits_for_the_next_one() {
    let mut owner = SlotOwner::new(1, first_record(), Vec::new(), SlotLimits::default());
    let (first, second): (SmolStr, SmolStr) = ("first".into(), "second".into());
    owner.request_claim(&first, &row("first"), START);
    assert!(owner.commit(START).is_some());
    assert_eq!(owner.request_claim(&second, &row("second"), START), SlotResponse::Pending);
    owner.committed(CommitOutcome::Written(2));
    assert_eq!(owner.request_claim(&first, &row("first"), START), SlotResponse::Granted);
    assert_eq!(owner.request_claim(&second, &row("second"), START), SlotResponse::Pending);
}

/// Returns a successor whose record has the key's first claim in the given state and
/// a gap, in which a second claim may have been granted without being recorded.
fn successor_with_gap(state: ClaimState) -> SlotOwner {
    let dead_by = START + MEMORY_GRANT_DELAY;
    let mut record = first_record();
    record.rows.insert(key_path(), ClaimRow { state, ..row("first") });
    let successor_record =
        slots::take_over(&record, "vm-2/1".into(), Some(dead_by), RETRY_HORIZON, dead_by);
    SlotOwner::new(2, successor_record, Vec::new(), SlotLimits::default())
}

#[test]
fn a_released_claim_in_the_record_does_not_end_a_gap() {
    let mut successor = successor_with_gap(ClaimState::Released);
    let response = successor.request_claim(&key_path(), &row("third"), START + MEMORY_GRANT_DELAY);
    assert!(matches!(response, SlotResponse::Gap { .. }), "{response:?}");
}

#[test]
fn a_claim_that_is_released_after_a_takeover_does_not_end_a_gap() {
    let mut successor = successor_with_gap(ClaimState::Running);
    successor.set_final_state(&key_path(), "first", ClaimState::Released);
    let response = successor.request_claim(&key_path(), &row("third"), START + MEMORY_GRANT_DELAY);
    assert!(matches!(response, SlotResponse::Gap { .. }), "{response:?}");
}
