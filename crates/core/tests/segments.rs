//! Slot records that are split into a head and segments: no granted claim is lost and
//! no stored value is too large.

use std::{collections::BTreeMap, time::Duration};

use gooseberry_core::{
    claims::{ClaimRow, ClaimState, StoredResponse},
    membership::DEATH_GRACE_PERIOD,
    slots::{
        self, CommitOutcome, SlotCommit, SlotLimits, SlotOwner, SlotRecord, SlotResponse,
        SlotSegment, STAMP_REFRESH_INTERVAL,
    },
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

const KEY_COUNT: usize = 6;
const CASES: u32 = 20_000;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const RETRY_HORIZON: Duration = Duration::from_secs(600);
/// Room for three running claims, or for one claim with a stored response and one
/// without.
const LIMITS: SlotLimits = SlotLimits { value_bytes: 1_000, seal_bytes: 250 };
/// Size of the body of a stored response.
const BODY_BYTES: usize = 200;

/// Rule that a run breaks on purpose, to show that the property detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NaiveRule {
    None,
    /// The successor reads only the head.
    IgnoreSegments,
    /// The owner treats a segment as written although its write was lost.
    TrustLostSegment,
    /// A commit that leaves rows out has a new stamp.
    NewStamp,
}

/// Delivery of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteDelivery {
    Completed,
    RequestLost,
    ResponseLost,
    /// The write of a head takes effect with [`SlotEvent::DeliverCommit`], if the record
    /// hasn't changed until then. A segment is written at once, and its response
    /// arrives later.
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum SlotEvent {
    /// A daemon requests the claim of a key from the owner.
    Request(usize),
    /// The call ends, with a response to store or with none.
    Finish {
        key: usize,
        stored: bool,
    },
    /// The daemon abandons its pending request for a key's claim.
    Abandon(usize),
    /// The daemon that sent the final state got no response, and sends it again.
    RepeatFinish(usize),
    /// The owner writes the head.
    Commit(WriteDelivery),
    /// The delayed write of a head arrives.
    DeliverCommit,
    /// The owner writes a segment.
    Seal(WriteDelivery),
    /// The response to a segment's write arrives, after other calls.
    SealResponse,
    Platform {
        down: bool,
    },
    KillOwner,
    /// Another daemon takes the slot over, if the owner is proved dead.
    TakeOver,
    Advance(u64),
}

fn events() -> impl Strategy<Value = Vec<SlotEvent>> {
    let delivery = || {
        prop_oneof![
            6 => Just(WriteDelivery::Completed),
            1 => Just(WriteDelivery::RequestLost),
            1 => Just(WriteDelivery::ResponseLost),
            1 => Just(WriteDelivery::Delayed),
        ]
    };
    let event = prop_oneof![
        14 => (0..KEY_COUNT).prop_map(SlotEvent::Request),
        6 => (0..KEY_COUNT, any::<bool>())
            .prop_map(|(key, stored)| SlotEvent::Finish { key, stored }),
        1 => (0..KEY_COUNT).prop_map(SlotEvent::Abandon),
        2 => (0..KEY_COUNT).prop_map(SlotEvent::RepeatFinish),
        8 => delivery().prop_map(SlotEvent::Commit),
        1 => Just(SlotEvent::DeliverCommit),
        4 => delivery().prop_map(SlotEvent::Seal),
        3 => Just(SlotEvent::SealResponse),
        2 => any::<bool>().prop_map(|down| SlotEvent::Platform { down }),
        1 => Just(SlotEvent::KillOwner),
        2 => Just(SlotEvent::TakeOver),
        4 => prop_oneof![1..4_000u64, 4_000..25_000u64].prop_map(SlotEvent::Advance),
    ];
    proptest::collection::vec(event, 20..200)
}

#[derive(Clone, Debug, Default)]
struct KeyState {
    pending: Option<ClaimRow>,
    running: Option<SmolStr>,
    finished: Option<(SmolStr, ClaimState)>,
    first_request_at: Option<Timestamp>,
    executions: u32,
}

struct SegmentModel {
    rule: NaiveRule,
    now: Timestamp,
    revision: u64,
    record: SlotRecord,
    segments: BTreeMap<SmolStr, SlotSegment>,
    owner: Option<SlotOwner>,
    owner_died_at: Option<Timestamp>,
    delayed_commit: Option<SlotCommit>,
    segment_confirmed: bool,
    platform_down: bool,
    claims: u64,
    keys: Vec<KeyState>,
    largest_value_bytes: usize,
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

fn first_owner() -> SlotOwner {
    SlotOwner::new(1, first_record(), Vec::new(), LIMITS)
}

fn key_path(key: usize) -> SmolStr {
    format_smolstr!("key-{key}")
}

fn row(claim: u64) -> ClaimRow {
    ClaimRow {
        claim: format_smolstr!("claim-{claim}"),
        holder: "vm-1/1".into(),
        fingerprint: 1,
        state: ClaimState::Running,
        expires: START + RETRY_HORIZON,
    }
}

fn stored_state() -> ClaimState {
    let body = vec![b'a'; BODY_BYTES];
    ClaimState::Done(StoredResponse { status: 200, content_type: "text/plain".into(), body })
}

fn rows_bytes(rows: &BTreeMap<SmolStr, ClaimRow>) -> usize {
    rows.iter().map(|(key_path, row)| slots::row_bytes(key_path, row)).sum()
}

impl SegmentModel {
    fn new(rule: NaiveRule) -> Self {
        Self {
            rule,
            now: START,
            revision: 1,
            record: first_record(),
            segments: BTreeMap::new(),
            owner: Some(first_owner()),
            owner_died_at: None,
            delayed_commit: None,
            segment_confirmed: false,
            platform_down: false,
            claims: 0,
            keys: vec![KeyState::default(); KEY_COUNT],
            largest_value_bytes: 0,
        }
    }

    fn apply(&mut self, event: SlotEvent) {
        match event {
            SlotEvent::Request(key) => self.request(key),
            SlotEvent::Finish { key, stored: true } => self.finish(key, stored_state()),
            SlotEvent::Finish { key, stored: false } => self.finish(key, ClaimState::Lost),
            SlotEvent::Abandon(key) => self.abandon(key),
            SlotEvent::RepeatFinish(key) => {
                if let Some((claim, state)) = self.keys[key].finished.clone() {
                    self.send_final_state(key, &claim, state);
                }
            }
            SlotEvent::Commit(delivery) => self.commit(delivery),
            SlotEvent::DeliverCommit => {
                if let Some(commit) = self.delayed_commit.take() {
                    self.write(commit);
                }
            }
            SlotEvent::Seal(delivery) => self.seal(delivery),
            SlotEvent::SealResponse => self.receive_seal_response(),
            SlotEvent::Platform { down } => self.platform_down = down,
            SlotEvent::KillOwner => {
                if self.owner.take().is_some() {
                    self.owner_died_at = Some(self.now);
                }
            }
            SlotEvent::TakeOver => self.take_over(),
            SlotEvent::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn request(&mut self, key: usize) {
        let state = &mut self.keys[key];
        let first = *state.first_request_at.get_or_insert(self.now);
        let Some(owner) = &mut self.owner else { return };
        if self.now.since(first) >= RETRY_HORIZON {
            return;
        }
        let claims = &mut self.claims;
        let requested = state.pending.get_or_insert_with(|| {
            *claims += 1;
            row(*claims)
        });
        match owner.request_claim(&key_path(key), requested, self.now) {
            SlotResponse::Granted => {
                state.executions += 1;
                state.running = state.pending.take().map(|row| row.claim);
            }
            SlotResponse::Found(_) | SlotResponse::Gap { .. } => state.pending = None,
            SlotResponse::Pending | SlotResponse::NotOwner => {}
        }
    }

    fn finish(&mut self, key: usize, state: ClaimState) {
        let Some(claim) = self.keys[key].running.take() else { return };
        self.keys[key].finished = Some((claim.clone(), state.clone()));
        self.send_final_state(key, &claim, state);
    }

    fn abandon(&mut self, key: usize) {
        let Some(requested) = self.keys[key].pending.take() else { return };
        self.keys[key].finished = Some((requested.claim.clone(), ClaimState::Released));
        self.send_final_state(key, &requested.claim, ClaimState::Released);
    }

    fn send_final_state(&mut self, key: usize, claim: &str, state: ClaimState) {
        if let Some(owner) = &mut self.owner {
            owner.set_final_state(&key_path(key), claim, state);
        }
    }

    fn commit(&mut self, delivery: WriteDelivery) {
        let Some(owner) = &mut self.owner else { return };
        let Some(mut commit) = owner.commit(self.now) else { return };
        if self.rule == NaiveRule::NewStamp {
            commit.record.stamp = self.now;
        }
        self.largest_value_bytes = self.largest_value_bytes.max(rows_bytes(&commit.record.rows));
        let outcome = match delivery {
            _ if self.platform_down => CommitOutcome::Unknown,
            WriteDelivery::Completed => self.write(commit),
            WriteDelivery::RequestLost => CommitOutcome::Unknown,
            WriteDelivery::ResponseLost => {
                self.write(commit);
                CommitOutcome::Unknown
            }
            WriteDelivery::Delayed => {
                self.delayed_commit = Some(commit);
                CommitOutcome::Unknown
            }
        };
        if let Some(owner) = &mut self.owner {
            owner.committed(outcome);
        }
    }

    fn write(&mut self, commit: SlotCommit) -> CommitOutcome {
        if commit.expected == self.revision {
            self.revision += 1;
            self.record = commit.record;
            return CommitOutcome::Written(self.revision);
        }
        if self.record.owner != commit.record.owner {
            return CommitOutcome::Superseded;
        }
        if let Some(owner) = &mut self.owner {
            owner.observe_own_commit(self.revision);
        }
        CommitOutcome::Unknown
    }

    fn seal(&mut self, delivery: WriteDelivery) {
        let Some(owner) = &mut self.owner else { return };
        let Some(segment) = owner.seal() else { return };
        self.largest_value_bytes = self.largest_value_bytes.max(rows_bytes(&segment.rows));
        let arrives = !self.platform_down && delivery != WriteDelivery::RequestLost;
        if arrives {
            let previous = self.segments.insert(segment.name.clone(), segment);
            assert_eq!(previous, None, "a segment must not be written twice");
        }
        let confirmed = arrives && delivery != WriteDelivery::ResponseLost;
        self.segment_confirmed = confirmed || self.rule == NaiveRule::TrustLostSegment;
        if delivery != WriteDelivery::Delayed {
            self.receive_seal_response();
        }
    }

    fn receive_seal_response(&mut self) {
        if let Some(owner) = &mut self.owner {
            owner.segment_written(self.segment_confirmed);
        }
    }

    fn take_over(&mut self) {
        let is_proven_dead = self
            .owner_died_at
            .is_some_and(|owner_died_at| self.now.since(owner_died_at) >= DEATH_GRACE_PERIOD);
        if self.platform_down || !is_proven_dead {
            return;
        }
        let owner = format_smolstr!("vm-1/{}", self.revision + 1);
        self.record =
            slots::take_over(&self.record, owner, Some(self.now), RETRY_HORIZON, self.now);
        self.revision += 1;
        self.owner_died_at = None;
        let names = self.record.segments.iter();
        let mut segments: Vec<_> =
            names.filter_map(|name| self.segments.get(name)).cloned().collect();
        if self.rule == NaiveRule::IgnoreSegments {
            segments.clear();
        }
        self.owner = Some(SlotOwner::new(self.revision, self.record.clone(), segments, LIMITS));
    }
}

fn run(rule: NaiveRule) -> Result<(), TestError<Vec<SlotEvent>>> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        let mut model = SegmentModel::new(rule);
        for event in events {
            model.apply(event);
        }
        for state in &model.keys {
            prop_assert!(state.executions <= 1, "a key's call ran {} times", state.executions);
        }
        prop_assert!(
            model.largest_value_bytes <= LIMITS.value_bytes,
            "a value of {} bytes is above the limit",
            model.largest_value_bytes
        );
        Ok(())
    })
}

#[test]
fn no_key_runs_twice_and_no_value_is_too_large() {
    run(NaiveRule::None).unwrap();
}

#[test]
fn a_successor_that_ignores_segments_is_detected() {
    let error = run(NaiveRule::IgnoreSegments).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn treating_a_lost_segment_as_written_is_detected() {
    let error = run(NaiveRule::TrustLostSegment).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn a_new_stamp_while_rows_are_left_out_is_detected() {
    let error = run(NaiveRule::NewStamp).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

/// Commits and writes segments until nothing is due. Returns the last record and the
/// segments.
fn write_all(
    owner: &mut SlotOwner,
    revision: &mut u64,
    now: Timestamp,
) -> (SlotRecord, Vec<SlotSegment>) {
    let mut record = first_record();
    let mut segments = Vec::new();
    loop {
        let commit = owner.commit(now);
        let segment = owner.seal();
        if commit.is_none() && segment.is_none() {
            return (record, segments);
        }
        if let Some(commit) = commit {
            record = commit.record;
            *revision += 1;
            owner.committed(CommitOutcome::Written(*revision));
        }
        if let Some(segment) = segment {
            segments.push(segment);
            owner.segment_written(true);
        }
    }
}

#[test]
fn more_stored_responses_than_fit_into_a_value_are_found_by_the_next_owner() {
    const RESPONSE_COUNT: u64 = 40;
    let mut written = BTreeMap::new();
    let mut owner = first_owner();
    let mut record = first_record();
    let mut revision = 1;
    for claim in 0..RESPONSE_COUNT {
        let key_path = key_path(claim as usize);
        owner.request_claim(&key_path, &row(claim), START);
        write_all(&mut owner, &mut revision, START);
        owner.set_final_state(&key_path, &row(claim).claim, stored_state());
        let (last, segments) = write_all(&mut owner, &mut revision, START);
        record = last;
        written.extend(segments.into_iter().map(|segment| (segment.name.clone(), segment)));
    }
    assert!(rows_bytes(&record.rows) <= LIMITS.value_bytes);
    let segments = record.segments.iter().map(|name| written[name].clone()).collect();
    let mut next = SlotOwner::new(revision, record, segments, LIMITS);
    for claim in 0..RESPONSE_COUNT {
        let response =
            next.request_claim(&key_path(claim as usize), &row(RESPONSE_COUNT + claim), START);
        assert!(
            matches!(response, SlotResponse::Found(row) if row.state == stored_state()),
            "{claim}"
        );
    }
}

#[test]
fn a_claim_that_does_not_fit_into_the_head_waits() {
    let mut owner = first_owner();
    for claim in 0..KEY_COUNT {
        owner.request_claim(&key_path(claim), &row(claim as u64), START);
    }
    let commit = owner.commit(START).expect("a commit");
    assert!(rows_bytes(&commit.record.rows) <= LIMITS.value_bytes);
    assert!(commit.record.rows.len() < KEY_COUNT);
    owner.committed(CommitOutcome::Written(2));
    for claim in 0..KEY_COUNT {
        let response = owner.request_claim(&key_path(claim), &row(claim as u64), START);
        let is_held = commit.record.rows.contains_key(&key_path(claim));
        let expected = if is_held { SlotResponse::Granted } else { SlotResponse::Pending };
        assert_eq!(response, expected, "{claim}");
    }
}

#[test]
fn a_key_that_is_claimed_again_while_its_segment_is_being_written_stays_in_the_head() {
    let mut owner = first_owner();
    let mut revision = 1;
    owner.request_claim(&key_path(0), &row(0), START);
    owner.set_final_state(&key_path(0), &row(0).claim, ClaimState::Released);
    assert!(owner.commit(START).is_some());
    owner.committed(CommitOutcome::Written(2));
    assert!(owner.seal().is_some());
    assert_eq!(owner.request_claim(&key_path(0), &row(1), START), SlotResponse::Pending);
    owner.segment_written(true);
    for now in [START, START + STAMP_REFRESH_INTERVAL] {
        let (record, _) = write_all(&mut owner, &mut revision, now);
        assert_eq!(record.rows.get(&key_path(0)), Some(&row(1)));
    }
}
