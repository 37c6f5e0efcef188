//! At-most-once execution of claimed calls, over arbitrary interleavings of calls
//! with the same claim key at several daemons.

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

const DAEMON_COUNT: usize = 3;
const CASES: u32 = 20_000;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const DEADLINE: Duration = Duration::from_secs(30);
const RETRY_HORIZON: Duration = Duration::from_secs(86_400);
/// Age of a record from which the naive takeover takes its holder for dead.
const NAIVE_TAKEOVER_AGE: Duration = Duration::from_secs(5);

/// Rule that a run breaks on purpose, to show that the property detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NaiveRule {
    None,
    ResendAfterLostResponse,
    TakeOverWithoutProof,
}

/// Delivery of one message to the store or to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageDelivery {
    /// The message and its response arrive.
    Completed,
    /// The message is lost in transit.
    RequestLost,
    /// The message arrives and its response is lost.
    ResponseLost,
    /// The message arrives after the sender's timeout.
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum ClaimEvent {
    /// A caller sends the call to a daemon.
    Request(usize),
    /// A call takes its next step.
    Step(usize, MessageDelivery),
    /// A daemon writes a final state.
    Settle(usize, MessageDelivery),
    /// A delayed message arrives.
    Deliver(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Platform {
        down: bool,
    },
    Advance(u64),
}

fn deliveries() -> impl Strategy<Value = MessageDelivery> {
    prop_oneof![
        4 => Just(MessageDelivery::Completed),
        1 => Just(MessageDelivery::RequestLost),
        2 => Just(MessageDelivery::ResponseLost),
        1 => Just(MessageDelivery::Delayed),
    ]
}

fn events() -> impl Strategy<Value = Vec<ClaimEvent>> {
    const CALL_INDICES: Range<usize> = 0..8;
    let event = prop_oneof![
        3 => (0..DAEMON_COUNT).prop_map(ClaimEvent::Request),
        12 => (CALL_INDICES, deliveries())
            .prop_map(|(index, delivery)| ClaimEvent::Step(index, delivery)),
        3 => (CALL_INDICES, deliveries())
            .prop_map(|(index, delivery)| ClaimEvent::Settle(index, delivery)),
        2 => CALL_INDICES.prop_map(ClaimEvent::Deliver),
        1 => (0..DAEMON_COUNT).prop_map(ClaimEvent::Pause),
        1 => (0..DAEMON_COUNT).prop_map(ClaimEvent::Resume),
        1 => (0..DAEMON_COUNT).prop_map(ClaimEvent::Restart),
        1 => any::<bool>().prop_map(|down| ClaimEvent::Platform { down }),
        2 => prop_oneof![1..500u64, 1_000..12_000u64].prop_map(ClaimEvent::Advance),
    ];
    proptest::collection::vec(event, 1..60)
}

/// What a call does next, or how it ended.
#[derive(Clone, Debug)]
enum CallPhase {
    Next(ClaimStep),
    Send { revision: u64 },
    Ended(CallEnd),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum CallEnd {
    Responded,
    Refused(RequestExecuted),
    /// The daemon died, which closed the caller's connection.
    ConnectionClosed,
}

/// One call of a caller at one daemon.
#[derive(Clone, Debug)]
struct ClaimCall {
    daemon: usize,
    attempt: ClaimAttempt,
    row: ClaimRow,
    received_at: Timestamp,
    phase: CallPhase,
    sent: bool,
}

/// A final state that a daemon has to write to the store.
#[derive(Clone, Debug)]
struct ClaimSettlement {
    daemon: usize,
    expected: u64,
    row: ClaimRow,
    done: bool,
}

/// A message that arrives after its sender's timeout.
#[derive(Clone, Debug)]
enum DelayedMessage {
    Write {
        expected: u64,
        row: ClaimRow,
    },
    /// The claimed call itself, in transit to the backend server.
    Send,
}

#[derive(Clone, Debug, Default)]
struct DaemonModel {
    incarnation: u64,
    paused: bool,
    /// The daemon's own claim, until its final state is in the store.
    local: Option<ClaimRow>,
}

struct StoredRecord {
    revision: u64,
    row: ClaimRow,
    written_at: Timestamp,
}

struct ClaimModel {
    rule: NaiveRule,
    now: Timestamp,
    revision: u64,
    record: Option<StoredRecord>,
    platform_down: bool,
    members: MembershipTable,
    daemons: Vec<DaemonModel>,
    calls: Vec<ClaimCall>,
    settlements: Vec<ClaimSettlement>,
    delayed: Vec<DelayedMessage>,
    executions: u32,
}

impl ClaimModel {
    fn new(rule: NaiveRule) -> Self {
        let mut model = Self {
            rule,
            now: START,
            revision: 0,
            record: None,
            platform_down: false,
            members: MembershipTable::default(),
            daemons: vec![DaemonModel::default(); DAEMON_COUNT],
            calls: Vec::new(),
            settlements: Vec::new(),
            delayed: Vec::new(),
            executions: 0,
        };
        for daemon in 0..DAEMON_COUNT {
            model.start(daemon);
        }
        model
    }

    fn start(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation + 1;
        self.daemons[daemon] = DaemonModel { incarnation, ..DaemonModel::default() };
        let process = ProcessIncarnation { vm: format_smolstr!("vm-{daemon}"), incarnation };
        self.members.observe_process(&process, self.now);
    }

    fn apply(&mut self, event: ClaimEvent) {
        match event {
            ClaimEvent::Request(daemon) => self.request(daemon),
            ClaimEvent::Step(index, delivery) => self.step(index, delivery),
            ClaimEvent::Settle(index, delivery) => self.settle(index, delivery),
            ClaimEvent::Deliver(index) if index < self.delayed.len() => self.deliver(index),
            ClaimEvent::Deliver(_) => {}
            ClaimEvent::Pause(daemon) => self.daemons[daemon].paused = true,
            ClaimEvent::Resume(daemon) => self.daemons[daemon].paused = false,
            ClaimEvent::Restart(daemon) => self.restart(daemon),
            ClaimEvent::Platform { down } => self.platform_down = down,
            ClaimEvent::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn request(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation;
        let claim: SmolStr = format_smolstr!("claim-{}", self.calls.len());
        let row = ClaimRow {
            claim: claim.clone(),
            holder: format_smolstr!("vm-{daemon}/{incarnation}"),
            ..running_row()
        };
        let mut attempt = ClaimAttempt::new(claim, row.fingerprint, self.now + DEADLINE);
        let step = match self.daemons[daemon].local.clone() {
            Some(row) => attempt.after_read(found(0, row), &self.members, self.now),
            None => ClaimStep::Write { expected: 0 },
        };
        let phase = CallPhase::Next(step);
        self.calls.push(ClaimCall {
            daemon,
            attempt,
            row,
            received_at: self.now,
            phase,
            sent: false,
        });
    }

    /// Kills a process and starts its successor. Messages that the process had handed
    /// to its kernel may still arrive.
    fn restart(&mut self, daemon: usize) {
        for entry in self.calls.iter_mut().filter(|entry| entry.daemon == daemon) {
            if !matches!(entry.phase, CallPhase::Ended(_)) {
                entry.phase = CallPhase::Ended(CallEnd::ConnectionClosed);
            }
        }
        for settlement in self.settlements.iter_mut().filter(|entry| entry.daemon == daemon) {
            settlement.done = true;
        }
        self.start(daemon);
    }

    fn step(&mut self, index: usize, delivery: MessageDelivery) {
        let Some(entry) = self.calls.get(index).cloned() else { return };
        if self.daemons[entry.daemon].paused {
            return;
        }
        match entry.phase {
            CallPhase::Next(step) => self.run_step(index, step, delivery),
            CallPhase::Send { revision } => self.send(index, revision, delivery),
            CallPhase::Ended(_) => {}
        }
    }

    fn run_step(&mut self, index: usize, step: ClaimStep, delivery: MessageDelivery) {
        let row = self.calls[index].row.clone();
        let daemon = self.calls[index].daemon;
        let next = match step {
            ClaimStep::Write { expected } => {
                let outcome = self.write(expected, row, delivery);
                self.calls[index].attempt.after_write(outcome, &self.members, self.now)
            }
            ClaimStep::Read | ClaimStep::Wait => {
                let outcome = match self.daemons[daemon].local.clone() {
                    Some(row) if step == ClaimStep::Wait => found(0, row),
                    _ => self.read(delivery),
                };
                let attempt = &mut self.calls[index].attempt;
                let next = attempt.after_read(outcome, &self.members, self.now);
                self.naive_takeover(next)
            }
            ClaimStep::Send { revision } => {
                self.daemons[daemon].local = Some(row);
                self.calls[index].phase = CallPhase::Send { revision };
                return;
            }
            ClaimStep::Replay(_) => return self.end(index, CallEnd::Responded),
            ClaimStep::Refuse(refusal) => {
                return self.end(index, CallEnd::Refused(refusal.executed));
            }
            ClaimStep::Abandon { refusal, expected } => {
                let row = ClaimRow { state: ClaimState::Released, ..row };
                self.settlements.push(ClaimSettlement { daemon, expected, row, done: false });
                return self.end(index, CallEnd::Refused(refusal.executed));
            }
        };
        self.calls[index].phase = CallPhase::Next(next);
    }

    fn naive_takeover(&self, next: ClaimStep) -> ClaimStep {
        match &self.record {
            Some(record)
                if self.rule == NaiveRule::TakeOverWithoutProof
                    && next == ClaimStep::Wait
                    && self.now.since(record.written_at) > NAIVE_TAKEOVER_AGE =>
            {
                ClaimStep::Write { expected: record.revision }
            }
            _ => next,
        }
    }

    fn send(&mut self, index: usize, revision: u64, delivery: MessageDelivery) {
        let received_at = self.calls[index].received_at;
        // If the connection can't be opened, the call was provably not sent.
        let unsent = delivery == MessageDelivery::RequestLost;
        if unsent || !claims::may_send(received_at, received_at + DEADLINE, self.now) {
            self.finish(index, revision, ClaimState::Released);
            return self.end(index, CallEnd::Refused(RequestExecuted::No));
        }
        match delivery {
            MessageDelivery::Delayed => self.delayed.push(DelayedMessage::Send),
            _ => self.executions += 1,
        }
        self.calls[index].sent = true;
        if delivery == MessageDelivery::Completed {
            self.finish(index, revision, ClaimState::answered(&response(1)));
            return self.end(index, CallEnd::Responded);
        }
        if self.rule == NaiveRule::ResendAfterLostResponse {
            return;
        }
        self.finish(index, revision, ClaimState::Lost);
        self.end(index, CallEnd::Refused(RequestExecuted::Unknown));
    }

    fn finish(&mut self, index: usize, expected: u64, state: ClaimState) {
        let daemon = self.calls[index].daemon;
        let row = ClaimRow { state, ..self.calls[index].row.clone() };
        if row.state != ClaimState::Released {
            self.daemons[daemon].local = Some(row.clone());
        }
        self.settlements.push(ClaimSettlement { daemon, expected, row, done: false });
    }

    fn settle(&mut self, index: usize, delivery: MessageDelivery) {
        let Some(settlement) = self.settlements.get(index).cloned() else { return };
        if settlement.done || self.daemons[settlement.daemon].paused {
            return;
        }
        let outcome = self.write(settlement.expected, settlement.row.clone(), delivery);
        match claims::next_settle_step(&settlement.row.claim, settlement.expected, &outcome) {
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

    fn end(&mut self, index: usize, end: CallEnd) {
        self.calls[index].phase = CallPhase::Ended(end);
    }

    fn write(&mut self, expected: u64, row: ClaimRow, delivery: MessageDelivery) -> StoreOutcome {
        if self.platform_down {
            return StoreOutcome::Failed;
        }
        match delivery {
            MessageDelivery::Completed => self.compare_and_set(expected, row),
            MessageDelivery::RequestLost => StoreOutcome::Unknown,
            MessageDelivery::ResponseLost => {
                self.compare_and_set(expected, row);
                StoreOutcome::Unknown
            }
            MessageDelivery::Delayed => {
                self.delayed.push(DelayedMessage::Write { expected, row });
                StoreOutcome::Unknown
            }
        }
    }

    fn compare_and_set(&mut self, expected: u64, row: ClaimRow) -> StoreOutcome {
        let present = self.record.as_ref().map_or(0, |record| record.revision);
        if present != expected {
            return self.read_record();
        }
        self.revision += 1;
        self.record = Some(StoredRecord { revision: self.revision, row, written_at: self.now });
        StoreOutcome::Written(self.revision)
    }

    fn read(&self, delivery: MessageDelivery) -> StoreOutcome {
        if self.platform_down || delivery != MessageDelivery::Completed {
            return StoreOutcome::Unknown;
        }
        self.read_record()
    }

    fn read_record(&self) -> StoreOutcome {
        let record = self.record.as_ref();
        record.map_or(StoreOutcome::Absent, |record| found(record.revision, record.row.clone()))
    }

    /// Delivers a message after its sender's timeout.
    fn deliver(&mut self, index: usize) {
        match self.delayed.swap_remove(index) {
            DelayedMessage::Write { expected, row } => {
                self.compare_and_set(expected, row);
            }
            DelayedMessage::Send => self.executions += 1,
        }
    }

    /// Ends all faults and runs every call and settlement to its end.
    fn quiesce(&mut self) {
        self.platform_down = false;
        for daemon in &mut self.daemons {
            daemon.paused = false;
        }
        // A call ends by its deadline, with a tolerance of a few steps.
        let rounds = DEADLINE.as_millis() / CLAIM_POLL_INTERVAL.as_millis() + 20;
        for _ in 0..rounds {
            for index in 0..self.calls.len() {
                self.step(index, MessageDelivery::Completed);
            }
            for index in 0..self.settlements.len() {
                self.settle(index, MessageDelivery::Completed);
            }
            self.now = self.now + CLAIM_POLL_INTERVAL;
        }
        while !self.delayed.is_empty() {
            self.deliver(0);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.executions <= 1, "the call ran {} times", self.executions);
        let mut all_not_run = true;
        for entry in &self.calls {
            let CallPhase::Ended(end) = &entry.phase else {
                return Err(TestCaseError::fail(format!(
                    "a call has no outcome: {:?}",
                    entry.phase
                )));
            };
            let not_run = *end == CallEnd::Refused(RequestExecuted::No);
            prop_assert!(!(not_run && entry.sent), "a call that was sent was reported as not run");
            prop_assert!(*end != CallEnd::Responded || self.executions == 1);
            all_not_run &= not_run;
        }
        prop_assert!(
            !all_not_run || self.executions == 0,
            "all calls were reported as not run, but one ran"
        );
        let settled = self.settlements.iter().all(|settlement| settlement.done);
        prop_assert!(settled, "a final state wasn't written");
        Ok(())
    }
}

fn found(revision: u64, row: ClaimRow) -> StoreOutcome {
    StoreOutcome::Found { revision, row }
}

fn response(length: usize) -> StoredResponse {
    StoredResponse { status: 200, content_type: "text/plain".into(), body: vec![0xff; length] }
}

fn running_row() -> ClaimRow {
    ClaimRow {
        claim: "other".into(),
        holder: "vm-0/1".into(),
        fingerprint: 1,
        state: ClaimState::Running,
        expires: START + RETRY_HORIZON,
    }
}

/// Checks the property on interleavings that are generated with a fixed seed.
fn run(rule: NaiveRule) -> Result<(), TestError<Vec<ClaimEvent>>> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        let mut model = ClaimModel::new(rule);
        for event in events {
            model.apply(event);
        }
        model.quiesce();
        model.check()
    })
}

#[test]
fn a_claimed_call_runs_at_most_once_and_every_call_ends() {
    run(NaiveRule::None).unwrap();
}

#[test]
fn resending_after_a_lost_response_is_detected() {
    let error = run(NaiveRule::ResendAfterLostResponse).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

#[test]
fn taking_over_without_proof_of_death_is_detected() {
    let error = run(NaiveRule::TakeOverWithoutProof).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("ran 2 times"), "{error}");
}

fn own_attempt() -> ClaimAttempt {
    ClaimAttempt::new("own".into(), 1, START + DEADLINE)
}

fn refusal_reason(step: ClaimStep) -> (RefusalReason, RequestExecuted) {
    match step {
        ClaimStep::Refuse(refusal) | ClaimStep::Abandon { refusal, .. } => {
            (refusal.reason, refusal.executed)
        }
        step => panic!("expected a refusal, got {step:?}"),
    }
}

/// The outcome of a claim is unknown once its holder is proved dead. While the
/// holder may be alive, the call waits for it.
#[test]
fn a_claim_of_a_dead_holder_is_refused_and_one_of_an_unresponsive_holder_is_waited_for() {
    let mut members = MembershipTable::default();
    let found = found(1, running_row());
    let mut attempt = own_attempt();
    assert_eq!(attempt.after_write(found.clone(), &members, START), ClaimStep::Wait);
    members.observe_process(&"vm-0/2".parse().unwrap(), START);
    assert_eq!(attempt.after_read(found.clone(), &members, START), ClaimStep::Wait);
    let step = attempt.after_read(found, &members, START + DEATH_GRACE_PERIOD);
    assert_eq!(refusal_reason(step), (RefusalReason::OutcomeUnknown, RequestExecuted::Unknown));
}

#[test]
fn a_call_that_found_a_running_claim_is_never_reported_as_not_run() {
    let members = MembershipTable::default();
    let mut attempt = own_attempt();
    assert_eq!(attempt.after_write(found(1, running_row()), &members, START), ClaimStep::Wait);
    let step = attempt.after_read(StoreOutcome::Failed, &members, START);
    assert_eq!(refusal_reason(step), (RefusalReason::ClaimRunning, RequestExecuted::Unknown));
}

#[test]
fn a_wait_ends_at_the_deadline_with_a_retry_after() {
    let members = MembershipTable::default();
    let step = own_attempt().after_write(found(1, running_row()), &members, START + DEADLINE);
    let ClaimStep::Refuse(refusal) = step else { panic!("the call waits beyond its deadline") };
    assert_eq!(refusal.reason, RefusalReason::ClaimRunning);
    assert_eq!(refusal.executed, RequestExecuted::Unknown);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_response_above_the_size_limit_is_recorded_as_executed() {
    let small = response(STORED_BODY_LIMIT_BYTES);
    assert_eq!(ClaimState::answered(&small), ClaimState::Done(small.clone()));
    let state = ClaimState::answered(&response(STORED_BODY_LIMIT_BYTES + 1));
    assert_eq!(state, ClaimState::Executed);
    let row = ClaimRow { state, ..running_row() };
    let step = own_attempt().after_write(found(1, row), &MembershipTable::default(), START);
    assert_eq!(refusal_reason(step), (RefusalReason::AnswerNotKept, RequestExecuted::Yes));
}

#[test]
fn a_running_claim_does_not_expire_while_its_holder_may_be_alive() {
    let mut members = MembershipTable::default();
    let row = running_row();
    let expiry = START + RETRY_HORIZON;
    assert!(!row.is_expired(&members, expiry));
    let lost = ClaimRow { state: ClaimState::Lost, ..row.clone() };
    assert!(lost.is_expired(&members, expiry));
    assert!(!lost.is_expired(&members, expiry - CLAIM_POLL_INTERVAL));
    members.observe_process(&"vm-0/2".parse().unwrap(), START);
    assert!(row.is_expired(&members, expiry));
}
