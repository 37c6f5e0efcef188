//! Grants of slot owners, over arbitrary interleavings, outages and deaths.

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

const DAEMONS: usize = 3;
const CASES: u32 = 40_000;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const HORIZON: Duration = Duration::from_secs(600);

/// Breaks the rules on purpose, to show that the property notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NaiveRule {
    None,
    /// The successor takes the record for all that was granted.
    ForgetGap,
    /// The slot passes although nobody proved the owner's death.
    TakeOverWithoutProof,
    /// The asker uses a grant that comes after it has given up and asked again.
    UseLateGrant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteFate {
    Answered,
    /// Takes effect at once; its answer comes with [`Event::CommitOutcome`].
    AnsweredLater,
    LostBefore,
    LostAfter,
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A caller sends the key to a daemon.
    Try(usize),
    /// The try asks the owner and gets its answer, which may come late.
    Ask {
        index: usize,
        owner: usize,
        late: bool,
    },
    /// The try gives up before a late answer comes.
    GiveUp(usize),
    LateAnswer(usize),
    Commit(WriteFate),
    LateCommit,
    CommitOutcome,
    Platform {
        down: bool,
    },
    /// The owner process ends and another starts in its place.
    KillOwner,
    /// Another daemon tries to take the slot over.
    Succeed(usize),
    Advance(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let fate = prop_oneof![
        3 => Just(WriteFate::Answered),
        2 => Just(WriteFate::AnsweredLater),
        2 => Just(WriteFate::LostBefore),
        1 => Just(WriteFate::LostAfter),
        1 => Just(WriteFate::Delayed),
    ];
    let index = || 0..3usize;
    let event = prop_oneof![
        2 => (0..DAEMONS).prop_map(Event::Try),
        12 => (index(), 0..2usize, prop::bool::weighted(0.3))
            .prop_map(|(index, owner, late)| Event::Ask { index, owner, late }),
        2 => index().prop_map(Event::GiveUp),
        2 => index().prop_map(Event::LateAnswer),
        5 => fate.prop_map(Event::Commit),
        1 => Just(Event::LateCommit),
        2 => Just(Event::CommitOutcome),
        2 => any::<bool>().prop_map(|down| Event::Platform { down }),
        1 => Just(Event::KillOwner),
        2 => (0..DAEMONS).prop_map(Event::Succeed),
        4 => prop_oneof![1..4_000u64, 4_000..25_000u64].prop_map(Event::Advance),
    ];
    proptest::collection::vec(event, 10..120)
}

#[derive(Clone, Debug)]
struct Try {
    row: ClaimRow,
    /// An answer on its way to the asker.
    late: Option<SlotResponse>,
    ended: bool,
}

struct World {
    rule: NaiveRule,
    now: Timestamp,
    revision: u64,
    record: SlotRecord,
    /// Live processes that take themselves for the owner, the newest one last.
    owners: Vec<SlotOwner>,
    died: Option<Timestamp>,
    late_commit: Option<SlotCommit>,
    /// Answer on its way to the owner.
    commit_answer: Option<CommitOutcome>,
    platform_down: bool,
    tries: Vec<Try>,
    first_try: Option<Timestamp>,
    executions: u32,
}

fn path() -> SmolStr {
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

impl World {
    fn new(rule: NaiveRule) -> Self {
        let record = first_record();
        Self {
            rule,
            now: START,
            revision: 1,
            owners: vec![SlotOwner::new(1, record.clone(), Vec::new(), SlotLimits::default())],
            record,
            died: None,
            late_commit: None,
            commit_answer: None,
            platform_down: false,
            tries: Vec::new(),
            first_try: None,
            executions: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Try(daemon) => self.start_try(daemon),
            Event::Ask { index, owner, late } if index < self.tries.len() => {
                self.ask(index, owner, late);
            }
            Event::GiveUp(index) if index < self.tries.len() => self.tries[index].ended = true,
            Event::LateAnswer(index) if index < self.tries.len() => self.late_answer(index),
            Event::Ask { .. } | Event::GiveUp(_) | Event::LateAnswer(_) => {}
            Event::Commit(fate) => self.commit(fate),
            Event::Platform { down } => self.platform_down = down,
            Event::CommitOutcome => {
                if let Some(answer) = self.commit_answer.take() {
                    self.committed(answer);
                }
            }
            Event::LateCommit => self.deliver_commit(),
            Event::KillOwner => {
                self.commit_answer = None;
                if !std::mem::take(&mut self.owners).is_empty() {
                    self.died = Some(self.now);
                }
            }
            Event::Succeed(daemon) => self.succeed(daemon),
            Event::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn start_try(&mut self, daemon: usize) {
        let first = *self.first_try.get_or_insert(self.now);
        if self.now.since(first) >= HORIZON {
            return;
        }
        let row = ClaimRow {
            claim: format_smolstr!("claim-{}", self.tries.len()),
            holder: format_smolstr!("vm-{daemon}/1"),
            fingerprint: 1,
            state: ClaimState::Running,
            expires: self.now + HORIZON,
        };
        self.tries.push(Try { row, late: None, ended: false });
    }

    fn ask(&mut self, index: usize, owner: usize, late: bool) {
        let entry = &mut self.tries[index];
        if entry.ended || entry.late.is_some() {
            return;
        }
        let count = self.owners.len().max(1);
        let Some(owner) = self.owners.get_mut(owner % count) else { return };
        let answer = owner.request_claim(&path(), &entry.row, self.now);
        if late {
            entry.late = Some(answer);
            return;
        }
        self.take(index, &answer);
    }

    /// The asker gets an answer while its caller waits.
    fn take(&mut self, index: usize, answer: &SlotResponse) {
        match answer {
            SlotResponse::Granted => {
                self.executions += 1;
                self.tries[index].ended = true;
                self.finish(index, ClaimState::Lost);
            }
            SlotResponse::Pending | SlotResponse::NotOwner => {}
            SlotResponse::Found(_) | SlotResponse::Gap { .. } => self.tries[index].ended = true,
        }
    }

    fn late_answer(&mut self, index: usize) {
        let Some(answer) = self.tries[index].late.take() else { return };
        if !self.tries[index].ended {
            return self.take(index, &answer);
        }
        if answer != SlotResponse::Granted {
            return;
        }
        if self.rule == NaiveRule::UseLateGrant {
            self.executions += 1;
        }
        // A grant that comes late is given back.
        self.finish(index, ClaimState::Released);
    }

    fn finish(&mut self, index: usize, state: ClaimState) {
        for owner in &mut self.owners {
            owner.set_final_state(&path(), &self.tries[index].row.claim, state.clone());
        }
    }

    fn commit(&mut self, fate: WriteFate) {
        let Some(owner) = self.owners.last_mut() else { return };
        let Some(commit) = owner.commit(self.now) else { return };
        match fate {
            _ if self.platform_down => {}
            WriteFate::Delayed => self.late_commit = Some(commit),
            WriteFate::LostBefore => {}
            WriteFate::LostAfter => {
                self.write(commit);
            }
            WriteFate::Answered => {
                let answer = self.write(commit);
                return self.committed(answer);
            }
            WriteFate::AnsweredLater => {
                self.commit_answer = Some(self.write(commit));
                return;
            }
        }
        self.committed(CommitOutcome::Unknown);
    }

    fn committed(&mut self, answer: CommitOutcome) {
        let Some(owner) = self.owners.last_mut() else { return };
        owner.committed(answer);
    }

    /// Writes a commit; an owner that finds its own earlier one learns its
    /// revision and writes again later.
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
        let Some(commit) = self.late_commit.take() else { return };
        if commit.expected == self.revision {
            self.revision += 1;
            self.record = commit.record;
        }
    }

    fn succeed(&mut self, daemon: usize) {
        let proven = self.died.is_some_and(|died| self.now.since(died) >= DEATH_GRACE_PERIOD);
        let naive = self.rule == NaiveRule::TakeOverWithoutProof && self.owners.len() < 2;
        if self.platform_down || !(proven || naive) {
            return;
        }
        let dead_by = if self.rule == NaiveRule::ForgetGap { None } else { Some(self.now) };
        let successor = format_smolstr!("vm-{daemon}/{}", self.revision + 1);
        self.record = slots::take_over(&self.record, successor, dead_by, HORIZON, self.now);
        self.revision += 1;
        self.commit_answer = None;
        self.owners.push(SlotOwner::new(
            self.revision,
            self.record.clone(),
            Vec::new(),
            SlotLimits::default(),
        ));
        self.died = None;
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
        prop_assert!(world.executions <= 1, "ran {} times", world.executions);
        Ok(())
    })
}

#[test]
fn a_granted_call_runs_at_most_once_through_outages_and_deaths() {
    run(NaiveRule::None).unwrap();
}

#[test]
fn forgetting_what_a_dead_owner_granted_in_memory_is_noticed() {
    let error = run(NaiveRule::ForgetGap).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn passing_a_slot_without_proof_of_death_is_noticed() {
    let error = run(NaiveRule::TakeOverWithoutProof).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn using_a_late_grant_is_noticed() {
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
        expires: START + HORIZON,
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
fn an_owner_grants_from_memory_through_an_outage_and_a_successor_knows_of_the_gap() {
    let mut owner = SlotOwner::new(1, first_record(), Vec::new(), SlotLimits::default());
    assert_eq!(owner.request_claim(&path(), &row("first"), START), SlotResponse::Pending);
    assert!(owner.commit(START).is_some());
    owner.committed(CommitOutcome::Unknown);
    let late = START + MEMORY_GRANT_DELAY;
    let early = late - Duration::from_millis(1);
    assert_eq!(owner.request_claim(&path(), &row("first"), early), SlotResponse::Pending);
    assert_eq!(owner.request_claim(&path(), &row("first"), late), SlotResponse::Granted);
    let taken = slots::take_over(&first_record(), "vm-2/1".into(), Some(late), HORIZON, late);
    let mut successor = SlotOwner::new(2, taken, Vec::new(), SlotLimits::default());
    let answer = successor.request_claim(&path(), &row("second"), late);
    assert!(matches!(answer, SlotResponse::Gap { until } if until >= late + HORIZON));
}

#[test]
fn an_owner_that_dies_with_a_fresh_stamp_leaves_no_gap() {
    let taken = slots::take_over(&first_record(), "vm-2/1".into(), Some(START), HORIZON, START);
    assert_eq!(taken.gap_until, START);
}

#[test]
fn every_hash_has_a_slot() {
    assert!([[0, 0], [1, 2], [255, 255]].into_iter().all(|hash| slots::slot(hash) < SLOT_COUNT));
}

#[test]
fn a_claim_that_comes_while_a_commit_is_on_its_way_waits_for_the_next_one() {
    let mut owner = SlotOwner::new(1, first_record(), Vec::new(), SlotLimits::default());
    let (first, second): (SmolStr, SmolStr) = ("first".into(), "second".into());
    owner.request_claim(&first, &row("first"), START);
    assert!(owner.commit(START).is_some());
    assert_eq!(owner.request_claim(&second, &row("second"), START), SlotResponse::Pending);
    owner.committed(CommitOutcome::Written(2));
    assert_eq!(owner.request_claim(&first, &row("first"), START), SlotResponse::Granted);
    assert_eq!(owner.request_claim(&second, &row("second"), START), SlotResponse::Pending);
}

/// Makes the record that a successor gets: the key's first claim in a state,
/// and a gap, in which a second claim may have been granted and not recorded.
fn inherited(state: ClaimState) -> SlotOwner {
    let late = START + MEMORY_GRANT_DELAY;
    let mut record = first_record();
    record.rows.insert(path(), ClaimRow { state, ..row("first") });
    let taken = slots::take_over(&record, "vm-2/1".into(), Some(late), HORIZON, late);
    SlotOwner::new(2, taken, Vec::new(), SlotLimits::default())
}

#[test]
fn a_released_claim_of_the_record_proves_nothing_in_a_gap() {
    let mut successor = inherited(ClaimState::Released);
    let answer = successor.request_claim(&path(), &row("third"), START + MEMORY_GRANT_DELAY);
    assert!(matches!(answer, SlotResponse::Gap { .. }), "{answer:?}");
}

#[test]
fn a_claim_that_is_given_back_again_after_a_succession_proves_nothing_in_a_gap() {
    let mut successor = inherited(ClaimState::Running);
    successor.set_final_state(&path(), "first", ClaimState::Released);
    let answer = successor.request_claim(&path(), &row("third"), START + MEMORY_GRANT_DELAY);
    assert!(matches!(answer, SlotResponse::Gap { .. }), "{answer:?}");
}
