//! At most once, over arbitrary interleavings of tries at several daemons.

use std::{ops::Range, time::Duration};

use gooseberry_core::{
    claims::{
        self, ClaimAttempt, ClaimRow, ClaimState, ClaimStep, SettleStep, StoreOutcome,
        StoredResponse, CLAIM_POLL_INTERVAL, STORED_BODY_LIMIT_BYTES,
    },
    membership::{MembershipTable, ProcessIncarnation, DEATH_GRACE_PERIOD},
    refusal::{RefusalReason, RequestExecuted},
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

const DAEMONS: usize = 3;
const CASES: u32 = 20_000;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const DEADLINE: Duration = Duration::from_secs(30);
const HORIZON: Duration = Duration::from_secs(86_400);
/// Age at which the naive takeover thinks that a holder must be dead.
const NAIVE_LEASE: Duration = Duration::from_secs(5);

/// Breaks the rules on purpose, to show that the property notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NaiveRule {
    None,
    ResendAfterLostAnswer,
    TakeOverWithoutProof,
}

/// What becomes of one message to the store or the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageFate {
    Answered,
    LostBefore,
    LostAfter,
    /// Arrives only later; the sender has given up by then.
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Ask(usize),
    Step(usize, MessageFate),
    Settle(usize, MessageFate),
    Deliver(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Platform { down: bool },
    Advance(u64),
}

fn fates() -> impl Strategy<Value = MessageFate> {
    prop_oneof![
        4 => Just(MessageFate::Answered),
        1 => Just(MessageFate::LostBefore),
        2 => Just(MessageFate::LostAfter),
        1 => Just(MessageFate::Delayed),
    ]
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    const TRIES: Range<usize> = 0..8;
    let event = prop_oneof![
        3 => (0..DAEMONS).prop_map(Event::Ask),
        12 => (TRIES, fates()).prop_map(|(index, fate)| Event::Step(index, fate)),
        3 => (TRIES, fates()).prop_map(|(index, fate)| Event::Settle(index, fate)),
        2 => TRIES.prop_map(Event::Deliver),
        1 => (0..DAEMONS).prop_map(Event::Pause),
        1 => (0..DAEMONS).prop_map(Event::Resume),
        1 => (0..DAEMONS).prop_map(Event::Restart),
        1 => any::<bool>().prop_map(|down| Event::Platform { down }),
        2 => prop_oneof![1..500u64, 1_000..12_000u64].prop_map(Event::Advance),
    ];
    proptest::collection::vec(event, 1..60)
}

/// What a try does next, or how it ended.
#[derive(Clone, Debug)]
enum TryPhase {
    Next(ClaimStep),
    Send { revision: u64 },
    Ended(Ending),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Ending {
    Answered,
    Refused(RequestExecuted),
    /// The daemon died; the caller saw its connection break.
    Cut,
}

#[derive(Clone, Debug)]
struct Try {
    daemon: usize,
    attempt: ClaimAttempt,
    row: ClaimRow,
    asked: Timestamp,
    phase: TryPhase,
    sent: bool,
}

#[derive(Clone, Debug)]
struct Settlement {
    daemon: usize,
    expected: u64,
    row: ClaimRow,
    done: bool,
}

#[derive(Clone, Debug)]
enum LateMessage {
    Write { expected: u64, row: ClaimRow },
    Call,
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    incarnation: u64,
    paused: bool,
    /// The daemon's own claim that the store may not have in its final state.
    local: Option<ClaimRow>,
}

struct Record {
    revision: u64,
    row: ClaimRow,
    written: Timestamp,
}

struct World {
    rule: NaiveRule,
    now: Timestamp,
    revision: u64,
    record: Option<Record>,
    platform_down: bool,
    members: MembershipTable,
    daemons: Vec<Daemon>,
    tries: Vec<Try>,
    settlements: Vec<Settlement>,
    late: Vec<LateMessage>,
    executions: u32,
}

impl World {
    fn new(rule: NaiveRule) -> Self {
        let mut world = Self {
            rule,
            now: START,
            revision: 0,
            record: None,
            platform_down: false,
            members: MembershipTable::default(),
            daemons: vec![Daemon::default(); DAEMONS],
            tries: Vec::new(),
            settlements: Vec::new(),
            late: Vec::new(),
            executions: 0,
        };
        for daemon in 0..DAEMONS {
            world.start(daemon);
        }
        world
    }

    fn start(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation + 1;
        self.daemons[daemon] = Daemon { incarnation, ..Daemon::default() };
        let process = ProcessIncarnation { vm: format_smolstr!("vm-{daemon}"), incarnation };
        self.members.observe_process(&process, self.now);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Ask(daemon) => self.ask(daemon),
            Event::Step(index, fate) => self.step(index, fate),
            Event::Settle(index, fate) => self.settle(index, fate),
            Event::Deliver(index) if index < self.late.len() => self.deliver(index),
            Event::Deliver(_) => {}
            Event::Pause(daemon) => self.daemons[daemon].paused = true,
            Event::Resume(daemon) => self.daemons[daemon].paused = false,
            Event::Restart(daemon) => self.restart(daemon),
            Event::Platform { down } => self.platform_down = down,
            Event::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn ask(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation;
        let claim: SmolStr = format_smolstr!("claim-{}", self.tries.len());
        let row = ClaimRow {
            claim: claim.clone(),
            holder: format_smolstr!("vm-{daemon}/{incarnation}"),
            ..running()
        };
        let mut attempt = ClaimAttempt::new(claim, row.fingerprint, self.now + DEADLINE);
        let step = match self.daemons[daemon].local.clone() {
            Some(row) => attempt.after_read(found(0, row), &self.members, self.now),
            None => ClaimStep::Write { expected: 0 },
        };
        let phase = TryPhase::Next(step);
        self.tries.push(Try { daemon, attempt, row, asked: self.now, phase, sent: false });
    }

    /// Ends a process at once; what it had handed to its kernel may still arrive.
    fn restart(&mut self, daemon: usize) {
        for entry in self.tries.iter_mut().filter(|entry| entry.daemon == daemon) {
            if !matches!(entry.phase, TryPhase::Ended(_)) {
                entry.phase = TryPhase::Ended(Ending::Cut);
            }
        }
        for settlement in self.settlements.iter_mut().filter(|entry| entry.daemon == daemon) {
            settlement.done = true;
        }
        self.start(daemon);
    }

    fn step(&mut self, index: usize, fate: MessageFate) {
        let Some(entry) = self.tries.get(index).cloned() else { return };
        if self.daemons[entry.daemon].paused {
            return;
        }
        match entry.phase {
            TryPhase::Next(step) => self.advance(index, step, fate),
            TryPhase::Send { revision } => self.send(index, revision, fate),
            TryPhase::Ended(_) => {}
        }
    }

    fn advance(&mut self, index: usize, step: ClaimStep, fate: MessageFate) {
        let row = self.tries[index].row.clone();
        let daemon = self.tries[index].daemon;
        let next = match step {
            ClaimStep::Write { expected } => {
                let answer = self.write(expected, row, fate);
                self.tries[index].attempt.after_write(answer, &self.members, self.now)
            }
            ClaimStep::Read | ClaimStep::Wait => {
                let answer = match self.daemons[daemon].local.clone() {
                    Some(row) if step == ClaimStep::Wait => found(0, row),
                    _ => self.read(fate),
                };
                let attempt = &mut self.tries[index].attempt;
                let next = attempt.after_read(answer, &self.members, self.now);
                self.naive_takeover(next)
            }
            ClaimStep::Send { revision } => {
                self.daemons[daemon].local = Some(row);
                self.tries[index].phase = TryPhase::Send { revision };
                return;
            }
            ClaimStep::Replay(_) => return self.end(index, Ending::Answered),
            ClaimStep::Refuse(refusal) => {
                return self.end(index, Ending::Refused(refusal.executed));
            }
            ClaimStep::Abandon { refusal, expected } => {
                let row = ClaimRow { state: ClaimState::Released, ..row };
                self.settlements.push(Settlement { daemon, expected, row, done: false });
                return self.end(index, Ending::Refused(refusal.executed));
            }
        };
        self.tries[index].phase = TryPhase::Next(next);
    }

    fn naive_takeover(&self, next: ClaimStep) -> ClaimStep {
        match &self.record {
            Some(record)
                if self.rule == NaiveRule::TakeOverWithoutProof
                    && next == ClaimStep::Wait
                    && self.now.since(record.written) > NAIVE_LEASE =>
            {
                ClaimStep::Write { expected: record.revision }
            }
            _ => next,
        }
    }

    fn send(&mut self, index: usize, revision: u64, fate: MessageFate) {
        let asked = self.tries[index].asked;
        // A call whose connection can't be opened is provably not sent.
        let unsent = fate == MessageFate::LostBefore;
        if unsent || !claims::may_send(asked, asked + DEADLINE, self.now) {
            self.finish(index, revision, ClaimState::Released);
            return self.end(index, Ending::Refused(RequestExecuted::No));
        }
        match fate {
            MessageFate::Delayed => self.late.push(LateMessage::Call),
            _ => self.executions += 1,
        }
        self.tries[index].sent = true;
        if fate == MessageFate::Answered {
            self.finish(index, revision, ClaimState::answered(&answer(1)));
            return self.end(index, Ending::Answered);
        }
        if self.rule == NaiveRule::ResendAfterLostAnswer {
            return;
        }
        self.finish(index, revision, ClaimState::Lost);
        self.end(index, Ending::Refused(RequestExecuted::Unknown));
    }

    fn finish(&mut self, index: usize, expected: u64, state: ClaimState) {
        let daemon = self.tries[index].daemon;
        let row = ClaimRow { state, ..self.tries[index].row.clone() };
        if row.state != ClaimState::Released {
            self.daemons[daemon].local = Some(row.clone());
        }
        self.settlements.push(Settlement { daemon, expected, row, done: false });
    }

    fn settle(&mut self, index: usize, fate: MessageFate) {
        let Some(settlement) = self.settlements.get(index).cloned() else { return };
        if settlement.done || self.daemons[settlement.daemon].paused {
            return;
        }
        let answer = self.write(settlement.expected, settlement.row.clone(), fate);
        match claims::next_settle_step(&settlement.row.claim, settlement.expected, &answer) {
            SettleStep::Write { expected } | SettleStep::Retry { expected } => {
                self.settlements[index].expected = expected;
            }
            SettleStep::Done => {
                self.settlements[index].done = true;
                let local = &mut self.daemons[settlement.daemon].local;
                if local.as_ref().is_some_and(|row| row.claim == settlement.row.claim) {
                    *local = None;
                }
            }
        }
    }

    fn end(&mut self, index: usize, ending: Ending) {
        self.tries[index].phase = TryPhase::Ended(ending);
    }

    fn write(&mut self, expected: u64, row: ClaimRow, fate: MessageFate) -> StoreOutcome {
        if self.platform_down {
            return StoreOutcome::Failed;
        }
        match fate {
            MessageFate::Answered => self.put(expected, row),
            MessageFate::LostBefore => StoreOutcome::Unknown,
            MessageFate::LostAfter => {
                self.put(expected, row);
                StoreOutcome::Unknown
            }
            MessageFate::Delayed => {
                self.late.push(LateMessage::Write { expected, row });
                StoreOutcome::Unknown
            }
        }
    }

    fn put(&mut self, expected: u64, row: ClaimRow) -> StoreOutcome {
        let present = self.record.as_ref().map_or(0, |record| record.revision);
        if present != expected {
            return self.look();
        }
        self.revision += 1;
        self.record = Some(Record { revision: self.revision, row, written: self.now });
        StoreOutcome::Written(self.revision)
    }

    fn read(&self, fate: MessageFate) -> StoreOutcome {
        if self.platform_down || fate != MessageFate::Answered {
            return StoreOutcome::Unknown;
        }
        self.look()
    }

    fn look(&self) -> StoreOutcome {
        let record = self.record.as_ref();
        record.map_or(StoreOutcome::Absent, |record| found(record.revision, record.row.clone()))
    }

    /// Lets a message arrive that its sender has given up.
    fn deliver(&mut self, index: usize) {
        match self.late.swap_remove(index) {
            LateMessage::Write { expected, row } => {
                self.put(expected, row);
            }
            LateMessage::Call => self.executions += 1,
        }
    }

    /// Ends all faults and runs every try to its end.
    fn quiesce(&mut self) {
        self.platform_down = false;
        for daemon in &mut self.daemons {
            daemon.paused = false;
        }
        // A try ends by its deadline, give or take a few steps.
        let rounds = DEADLINE.as_millis() / CLAIM_POLL_INTERVAL.as_millis() + 20;
        for _ in 0..rounds {
            for index in 0..self.tries.len() {
                self.step(index, MessageFate::Answered);
            }
            for index in 0..self.settlements.len() {
                self.settle(index, MessageFate::Answered);
            }
            self.now = self.now + CLAIM_POLL_INTERVAL;
        }
        while !self.late.is_empty() {
            self.deliver(0);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.executions <= 1, "ran {} times", self.executions);
        let mut all_refused = true;
        for entry in &self.tries {
            let TryPhase::Ended(ending) = &entry.phase else {
                return Err(TestCaseError::fail(format!("no final answer: {:?}", entry.phase)));
            };
            let not_run = *ending == Ending::Refused(RequestExecuted::No);
            prop_assert!(!(not_run && entry.sent), "sent, but said to be not run");
            prop_assert!(*ending != Ending::Answered || self.executions == 1);
            all_refused &= not_run;
        }
        prop_assert!(!all_refused || self.executions == 0, "all were told not run, but one ran");
        let settled = self.settlements.iter().all(|settlement| settlement.done);
        prop_assert!(settled, "a claim isn't settled");
        Ok(())
    }
}

fn found(revision: u64, row: ClaimRow) -> StoreOutcome {
    StoreOutcome::Found { revision, row }
}

fn answer(length: usize) -> StoredResponse {
    StoredResponse { status: 200, content_type: "text/plain".into(), body: vec![0xff; length] }
}

fn running() -> ClaimRow {
    ClaimRow {
        claim: "other".into(),
        holder: "vm-0/1".into(),
        fingerprint: 1,
        state: ClaimState::Running,
        expires: START + HORIZON,
    }
}

/// Runs the property with a fixed seed.
fn run(rule: NaiveRule) -> Result<(), TestError<Vec<Event>>> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        let mut world = World::new(rule);
        for event in events {
            world.apply(event);
        }
        world.quiesce();
        world.check()
    })
}

#[test]
fn a_claimed_call_runs_at_most_once_and_every_try_ends() {
    run(NaiveRule::None).unwrap();
}

#[test]
fn sending_again_after_a_lost_answer_is_noticed() {
    let error = run(NaiveRule::ResendAfterLostAnswer).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn taking_over_without_proof_of_death_is_noticed() {
    let error = run(NaiveRule::TakeOverWithoutProof).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

fn own_attempt() -> ClaimAttempt {
    ClaimAttempt::new("own".into(), 1, START + DEADLINE)
}

fn reason(step: ClaimStep) -> (RefusalReason, RequestExecuted) {
    match step {
        ClaimStep::Refuse(refusal) | ClaimStep::Abandon { refusal, .. } => {
            (refusal.reason, refusal.executed)
        }
        step => panic!("no refusal: {step:?}"),
    }
}

#[test]
fn a_claim_of_a_dead_holder_is_unknown_at_once_and_of_a_silent_one_is_waited_for() {
    let mut members = MembershipTable::default();
    let found = found(1, running());
    let mut attempt = own_attempt();
    assert_eq!(attempt.after_write(found.clone(), &members, START), ClaimStep::Wait);
    members.observe_process(&"vm-0/2".parse().unwrap(), START);
    assert_eq!(attempt.after_read(found.clone(), &members, START), ClaimStep::Wait);
    let step = attempt.after_read(found, &members, START + DEATH_GRACE_PERIOD);
    assert_eq!(reason(step), (RefusalReason::OutcomeUnknown, RequestExecuted::Unknown));
}

#[test]
fn a_try_that_saw_another_run_never_says_not_run() {
    let members = MembershipTable::default();
    let mut attempt = own_attempt();
    assert_eq!(attempt.after_write(found(1, running()), &members, START), ClaimStep::Wait);
    let step = attempt.after_read(StoreOutcome::Failed, &members, START);
    assert_eq!(reason(step), (RefusalReason::ClaimRunning, RequestExecuted::Unknown));
}

#[test]
fn a_wait_ends_at_the_deadline_with_the_time_to_come_back() {
    let members = MembershipTable::default();
    let step = own_attempt().after_write(found(1, running()), &members, START + DEADLINE);
    let ClaimStep::Refuse(refusal) = step else { panic!("waits beyond its deadline") };
    assert_eq!(refusal.reason, RefusalReason::ClaimRunning);
    assert_eq!(refusal.executed, RequestExecuted::Unknown);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn an_answer_above_the_bound_is_known_to_have_run() {
    let small = answer(STORED_BODY_LIMIT_BYTES);
    assert_eq!(ClaimState::answered(&small), ClaimState::Done(small.clone()));
    let state = ClaimState::answered(&answer(STORED_BODY_LIMIT_BYTES + 1));
    assert_eq!(state, ClaimState::Executed);
    let row = ClaimRow { state, ..running() };
    let step = own_attempt().after_write(found(1, row), &MembershipTable::default(), START);
    assert_eq!(reason(step), (RefusalReason::AnswerNotKept, RequestExecuted::Yes));
}

#[test]
fn a_running_claim_outlives_the_horizon_while_its_holder_may_be_alive() {
    let mut members = MembershipTable::default();
    let row = running();
    let late = START + HORIZON;
    assert!(!row.is_expired(&members, late));
    let lost = ClaimRow { state: ClaimState::Lost, ..row.clone() };
    assert!(lost.is_expired(&members, late));
    assert!(!lost.is_expired(&members, late - CLAIM_POLL_INTERVAL));
    members.observe_process(&"vm-0/2".parse().unwrap(), START);
    assert!(row.is_expired(&members, late));
}
