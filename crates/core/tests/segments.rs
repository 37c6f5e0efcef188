//! Slot records that are split: nothing granted is forgotten, no value too large.

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

const KEYS: usize = 6;
const CASES: u32 = 20_000;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const HORIZON: Duration = Duration::from_secs(600);
/// Room for three running claims, or for one with a kept answer and one without.
const LIMITS: SlotLimits = SlotLimits { value_bytes: 1_000, seal_bytes: 250 };
/// Bytes of a kept answer.
const BODY: usize = 200;

/// Breaks the rules on purpose, to show that the property notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NaiveRule {
    None,
    /// The successor reads the head only.
    ForgetSegments,
    /// The owner takes a segment for written although its write was lost.
    TrustLostSegment,
    /// A commit that leaves rows out has a fresh stamp.
    FreshStamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteFate {
    Answered,
    LostBefore,
    LostAfter,
    /// A head takes effect with [`Event::LateCommit`], if the last one is still
    /// the same; a segment takes effect at once and is answered later.
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Ask(usize),
    /// The call ends, with an answer to keep or none.
    Finish {
        key: usize,
        kept: bool,
    },
    GiveUp(usize),
    /// The asker didn't hear that its final state was noted, and sends it again.
    FinishAgain(usize),
    Commit(WriteFate),
    LateCommit,
    Seal(WriteFate),
    /// The answer of a segment's write comes, later than other calls.
    SealAnswer,
    Platform {
        down: bool,
    },
    KillOwner,
    Succeed,
    Advance(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let fate = || {
        prop_oneof![
            6 => Just(WriteFate::Answered),
            1 => Just(WriteFate::LostBefore),
            1 => Just(WriteFate::LostAfter),
            1 => Just(WriteFate::Delayed),
        ]
    };
    let event = prop_oneof![
        14 => (0..KEYS).prop_map(Event::Ask),
        6 => (0..KEYS, any::<bool>()).prop_map(|(key, kept)| Event::Finish { key, kept }),
        1 => (0..KEYS).prop_map(Event::GiveUp),
        2 => (0..KEYS).prop_map(Event::FinishAgain),
        8 => fate().prop_map(Event::Commit),
        1 => Just(Event::LateCommit),
        4 => fate().prop_map(Event::Seal),
        3 => Just(Event::SealAnswer),
        2 => any::<bool>().prop_map(|down| Event::Platform { down }),
        1 => Just(Event::KillOwner),
        2 => Just(Event::Succeed),
        4 => prop_oneof![1..4_000u64, 4_000..25_000u64].prop_map(Event::Advance),
    ];
    proptest::collection::vec(event, 20..200)
}

#[derive(Clone, Debug, Default)]
struct KeyRun {
    pending: Option<ClaimRow>,
    running: Option<SmolStr>,
    finished: Option<(SmolStr, ClaimState)>,
    first_try: Option<Timestamp>,
    executions: u32,
}

struct World {
    rule: NaiveRule,
    now: Timestamp,
    revision: u64,
    record: SlotRecord,
    segments: BTreeMap<SmolStr, SlotSegment>,
    owner: Option<SlotOwner>,
    died: Option<Timestamp>,
    late_commit: Option<SlotCommit>,
    seal_answered: bool,
    down: bool,
    claims: u64,
    keys: Vec<KeyRun>,
    largest: usize,
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

fn path(key: usize) -> SmolStr {
    format_smolstr!("key-{key}")
}

fn row(claim: u64) -> ClaimRow {
    ClaimRow {
        claim: format_smolstr!("claim-{claim}"),
        holder: "vm-1/1".into(),
        fingerprint: 1,
        state: ClaimState::Running,
        expires: START + HORIZON,
    }
}

fn kept() -> ClaimState {
    let body = vec![b'a'; BODY];
    ClaimState::Done(StoredResponse { status: 200, content_type: "text/plain".into(), body })
}

fn size(rows: &BTreeMap<SmolStr, ClaimRow>) -> usize {
    rows.iter().map(|(path, row)| slots::row_bytes(path, row)).sum()
}

impl World {
    fn new(rule: NaiveRule) -> Self {
        Self {
            rule,
            now: START,
            revision: 1,
            record: first_record(),
            segments: BTreeMap::new(),
            owner: Some(first_owner()),
            died: None,
            late_commit: None,
            seal_answered: false,
            down: false,
            claims: 0,
            keys: vec![KeyRun::default(); KEYS],
            largest: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Ask(key) => self.ask(key),
            Event::Finish { key, kept: true } => self.finish(key, kept()),
            Event::Finish { key, kept: false } => self.finish(key, ClaimState::Lost),
            Event::GiveUp(key) => self.give_up(key),
            Event::FinishAgain(key) => {
                if let Some((claim, state)) = self.keys[key].finished.clone() {
                    self.note(key, &claim, state);
                }
            }
            Event::Commit(fate) => self.commit(fate),
            Event::LateCommit => {
                if let Some(commit) = self.late_commit.take() {
                    self.write(commit);
                }
            }
            Event::Seal(fate) => self.seal(fate),
            Event::SealAnswer => self.answer_seal(),
            Event::Platform { down } => self.down = down,
            Event::KillOwner => {
                if self.owner.take().is_some() {
                    self.died = Some(self.now);
                }
            }
            Event::Succeed => self.succeed(),
            Event::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn ask(&mut self, key: usize) {
        let run = &mut self.keys[key];
        let first = *run.first_try.get_or_insert(self.now);
        let Some(owner) = &mut self.owner else { return };
        if self.now.since(first) >= HORIZON {
            return;
        }
        let claims = &mut self.claims;
        let asked = run.pending.get_or_insert_with(|| {
            *claims += 1;
            row(*claims)
        });
        match owner.request_claim(&path(key), asked, self.now) {
            SlotResponse::Granted => {
                run.executions += 1;
                run.running = run.pending.take().map(|row| row.claim);
            }
            SlotResponse::Found(_) | SlotResponse::Gap { .. } => run.pending = None,
            SlotResponse::Pending | SlotResponse::NotOwner => {}
        }
    }

    fn finish(&mut self, key: usize, state: ClaimState) {
        let Some(claim) = self.keys[key].running.take() else { return };
        self.keys[key].finished = Some((claim.clone(), state.clone()));
        self.note(key, &claim, state);
    }

    fn give_up(&mut self, key: usize) {
        let Some(asked) = self.keys[key].pending.take() else { return };
        self.keys[key].finished = Some((asked.claim.clone(), ClaimState::Released));
        self.note(key, &asked.claim, ClaimState::Released);
    }

    fn note(&mut self, key: usize, claim: &str, state: ClaimState) {
        if let Some(owner) = &mut self.owner {
            owner.set_final_state(&path(key), claim, state);
        }
    }

    fn commit(&mut self, fate: WriteFate) {
        let Some(owner) = &mut self.owner else { return };
        let Some(mut commit) = owner.commit(self.now) else { return };
        if self.rule == NaiveRule::FreshStamp {
            commit.record.stamp = self.now;
        }
        self.largest = self.largest.max(size(&commit.record.rows));
        let answer = match fate {
            _ if self.down => CommitOutcome::Unknown,
            WriteFate::Answered => self.write(commit),
            WriteFate::LostBefore => CommitOutcome::Unknown,
            WriteFate::LostAfter => {
                self.write(commit);
                CommitOutcome::Unknown
            }
            WriteFate::Delayed => {
                self.late_commit = Some(commit);
                CommitOutcome::Unknown
            }
        };
        if let Some(owner) = &mut self.owner {
            owner.committed(answer);
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

    fn seal(&mut self, fate: WriteFate) {
        let Some(owner) = &mut self.owner else { return };
        let Some(segment) = owner.seal() else { return };
        self.largest = self.largest.max(size(&segment.rows));
        let arrives = !self.down && fate != WriteFate::LostBefore;
        if arrives {
            let former = self.segments.insert(segment.name.clone(), segment);
            assert_eq!(former, None, "a segment was written twice");
        }
        let answered = arrives && fate != WriteFate::LostAfter;
        self.seal_answered = answered || self.rule == NaiveRule::TrustLostSegment;
        if fate != WriteFate::Delayed {
            self.answer_seal();
        }
    }

    fn answer_seal(&mut self) {
        if let Some(owner) = &mut self.owner {
            owner.segment_written(self.seal_answered);
        }
    }

    fn succeed(&mut self) {
        let proven = self.died.is_some_and(|died| self.now.since(died) >= DEATH_GRACE_PERIOD);
        if self.down || !proven {
            return;
        }
        let owner = format_smolstr!("vm-1/{}", self.revision + 1);
        self.record = slots::take_over(&self.record, owner, Some(self.now), HORIZON, self.now);
        self.revision += 1;
        self.died = None;
        let names = self.record.segments.iter();
        let mut segments: Vec<_> =
            names.filter_map(|name| self.segments.get(name)).cloned().collect();
        if self.rule == NaiveRule::ForgetSegments {
            segments.clear();
        }
        self.owner = Some(SlotOwner::new(self.revision, self.record.clone(), segments, LIMITS));
    }
}

fn run(rule: NaiveRule) -> Result<(), TestError<Vec<Event>>> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        let mut world = World::new(rule);
        for event in events {
            world.apply(event);
        }
        for run in &world.keys {
            prop_assert!(run.executions <= 1, "ran {} times", run.executions);
        }
        prop_assert!(world.largest <= LIMITS.value_bytes, "a value of {} bytes", world.largest);
        Ok(())
    })
}

#[test]
fn no_key_runs_twice_and_no_value_is_too_large() {
    run(NaiveRule::None).unwrap();
}

#[test]
fn a_successor_that_forgets_segments_is_noticed() {
    let error = run(NaiveRule::ForgetSegments).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn trusting_a_lost_segment_is_noticed() {
    let error = run(NaiveRule::TrustLostSegment).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn a_fresh_stamp_while_rows_are_left_out_is_noticed() {
    let error = run(NaiveRule::FreshStamp).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

/// Commits and seals until nothing is due, and returns the last record.
fn drain(
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
fn more_kept_answers_than_a_value_holds_are_found_again_by_the_next_owner() {
    const ANSWERS: u64 = 40;
    let mut written = BTreeMap::new();
    let mut owner = first_owner();
    let mut record = first_record();
    let mut revision = 1;
    for claim in 0..ANSWERS {
        let path = path(claim as usize);
        owner.request_claim(&path, &row(claim), START);
        drain(&mut owner, &mut revision, START);
        owner.set_final_state(&path, &row(claim).claim, kept());
        let (last, segments) = drain(&mut owner, &mut revision, START);
        record = last;
        written.extend(segments.into_iter().map(|segment| (segment.name.clone(), segment)));
    }
    assert!(size(&record.rows) <= LIMITS.value_bytes);
    let segments = record.segments.iter().map(|name| written[name].clone()).collect();
    let mut next = SlotOwner::new(revision, record, segments, LIMITS);
    for claim in 0..ANSWERS {
        let answer = next.request_claim(&path(claim as usize), &row(ANSWERS + claim), START);
        assert!(matches!(answer, SlotResponse::Found(row) if row.state == kept()), "{claim}");
    }
}

#[test]
fn a_claim_that_the_head_has_no_room_for_waits() {
    let mut owner = first_owner();
    for claim in 0..KEYS {
        owner.request_claim(&path(claim), &row(claim as u64), START);
    }
    let commit = owner.commit(START).expect("a commit");
    assert!(size(&commit.record.rows) <= LIMITS.value_bytes);
    assert!(commit.record.rows.len() < KEYS);
    owner.committed(CommitOutcome::Written(2));
    for claim in 0..KEYS {
        let answer = owner.request_claim(&path(claim), &row(claim as u64), START);
        let is_held = commit.record.rows.contains_key(&path(claim));
        let expected = if is_held { SlotResponse::Granted } else { SlotResponse::Pending };
        assert_eq!(answer, expected, "{claim}");
    }
}

#[test]
fn a_key_that_is_claimed_again_while_its_segment_is_on_its_way_stays_in_the_head() {
    let mut owner = first_owner();
    let mut revision = 1;
    owner.request_claim(&path(0), &row(0), START);
    owner.set_final_state(&path(0), &row(0).claim, ClaimState::Released);
    assert!(owner.commit(START).is_some());
    owner.committed(CommitOutcome::Written(2));
    assert!(owner.seal().is_some());
    assert_eq!(owner.request_claim(&path(0), &row(1), START), SlotResponse::Pending);
    owner.segment_written(true);
    for now in [START, START + STAMP_REFRESH_INTERVAL] {
        let (record, _) = drain(&mut owner, &mut revision, now);
        assert_eq!(record.rows.get(&path(0)), Some(&row(1)));
    }
}
