//! A small model of stewards, one record, one engine and what gets lost between.

use std::time::Duration;

use gooseberry_core::{
    membership::{ListedVm, MembershipTable, ProcessIncarnation, DEATH_GRACE_PERIOD},
    orders::{
        ObservedRecord, OrderAction, OrderReport, OrderTracker, RecordState, SendOutcome,
        WriteOutcome,
    },
    time::Timestamp,
};
use proptest::{prelude::*, strategy::Union};
use smol_str::{format_smolstr, SmolStr};

const STEWARDS: usize = 3;
/// Rounds of the stewards after all faults have ended.
const HEALED_ROUNDS: usize = 24;
/// Time of such a round, in milliseconds.
const HEALED_ROUND_MS: u64 = 4000;
/// Time that a change takes.
const CHANGE: Duration = Duration::from_millis(1500);
/// Time for which the first processes have run at the start.
const UPTIME: Duration = Duration::from_secs(60);
const START: Timestamp = Timestamp::from_millis(1_000_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    Checks,
    Ignores,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The rule of the product.
    Proof,
    /// A pending record may be replaced whatever the engine does with numbers.
    ReplaceWithoutProof,
}

/// What becomes of a write to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    Answered,
    AnswerLost,
    /// It takes effect later, or never.
    Delayed,
    Lost,
}

/// What becomes of an order on its way to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFate {
    Answered,
    AnswerLost,
    /// It is delivered later, or never.
    Delayed,
    Lost,
    Unsent,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Read {
        steward: usize,
        back: usize,
    },
    Report {
        steward: usize,
        back: usize,
    },
    /// Takes the action that is due; an order is armed, to be sent by `Fire`.
    Step {
        steward: usize,
        wants: bool,
        fate: WriteFate,
    },
    Fire {
        steward: usize,
        fate: SendFate,
    },
    DeliverOrder(usize),
    DeliverWrite(usize),
    Advance(u64),
    Kill(usize),
    Restart(usize),
    /// Tells a steward the list of VMs, as it stood some changes ago.
    List {
        steward: usize,
        back: usize,
    },
    Hello {
        steward: usize,
        about: usize,
    },
    RestartEngine,
    Platform {
        down: bool,
    },
}

pub fn op() -> impl Strategy<Value = Op> {
    let steward = 0..STEWARDS;
    let back = prop_oneof![4 => Just(0_usize), 1 => 0..6usize];
    let write = prop_oneof![
        6 => Just(WriteFate::Answered),
        1 => Just(WriteFate::AnswerLost),
        1 => Just(WriteFate::Delayed),
        1 => Just(WriteFate::Lost),
    ];
    let send = prop_oneof![
        3 => Just(SendFate::Answered),
        1 => Just(SendFate::AnswerLost),
        3 => Just(SendFate::Delayed),
        1 => Just(SendFate::Lost),
        1 => Just(SendFate::Unsent),
    ];
    let span = prop_oneof![
        2 => 1..500u64,
        2 => 1500..4500u64,
        1 => 10_000..12_000u64,
    ];
    Union::new_weighted(vec![
        (
            6,
            (steward.clone(), back.clone())
                .prop_map(|(steward, back)| Op::Read { steward, back })
                .boxed(),
        ),
        (
            6,
            (steward.clone(), back.clone())
                .prop_map(|(steward, back)| Op::Report { steward, back })
                .boxed(),
        ),
        (
            12,
            (steward.clone(), prop::bool::weighted(0.8), write)
                .prop_map(|(steward, wants, fate)| Op::Step { steward, wants, fate })
                .boxed(),
        ),
        (5, (steward.clone(), send).prop_map(|(steward, fate)| Op::Fire { steward, fate }).boxed()),
        (2, (0..4usize).prop_map(Op::DeliverOrder).boxed()),
        (1, (0..4usize).prop_map(Op::DeliverWrite).boxed()),
        (6, span.prop_map(Op::Advance).boxed()),
        (1, steward.clone().prop_map(Op::Kill).boxed()),
        (1, steward.clone().prop_map(Op::Restart).boxed()),
        (2, (steward.clone(), back).prop_map(|(steward, back)| Op::List { steward, back }).boxed()),
        (
            2,
            (steward.clone(), steward)
                .prop_map(|(steward, about)| Op::Hello { steward, about })
                .boxed(),
        ),
        (1, Just(Op::RestartEngine).boxed()),
        (1, prop::bool::weighted(0.3).prop_map(|down| Op::Platform { down }).boxed()),
    ])
}

struct Steward {
    process: ProcessIncarnation,
    alive: bool,
    killed_at: Timestamp,
    tracker: OrderTracker,
    membership: MembershipTable,
    /// Order that was decided on and hasn't left.
    armed: Option<(SmolStr, u64)>,
    orders: u32,
}

#[derive(Clone)]
struct Order {
    id: SmolStr,
    fencing: u64,
    sender: ProcessIncarnation,
    /// Engine process that the connection leads to.
    engine: u64,
}

#[derive(Clone)]
struct Write {
    expected: u64,
    state: RecordState,
}

struct Engine {
    incarnation: u64,
    highest: u64,
    pending: Option<(Order, Timestamp)>,
    applied: Option<SmolStr>,
    reports: Vec<OrderReport>,
}

pub struct OrderWorld {
    now: Timestamp,
    kind: EngineKind,
    rule: Rule,
    records: Vec<ObservedRecord>,
    listings: Vec<(Timestamp, Vec<ListedVm>)>,
    stewards: Vec<Steward>,
    engine: Engine,
    orders: Vec<Order>,
    writes: Vec<Write>,
    down: bool,
    taken: Vec<SmolStr>,
    taken_before: usize,
    /// The first broken invariant.
    pub fault: Option<String>,
}

impl OrderWorld {
    pub fn new(kind: EngineKind, rule: Rule) -> Self {
        let mut world = Self {
            now: START,
            kind,
            rule,
            records: vec![ObservedRecord { revision: 0, state: RecordState::Settled }],
            listings: Vec::new(),
            stewards: Vec::new(),
            engine: Engine {
                incarnation: 1,
                highest: 0,
                pending: None,
                applied: None,
                reports: Vec::new(),
            },
            orders: Vec::new(),
            writes: Vec::new(),
            down: false,
            taken: Vec::new(),
            taken_before: 0,
            fault: None,
        };
        for index in 0..STEWARDS {
            let steward = world.new_steward(index);
            world.stewards.push(steward);
        }
        world.list();
        for index in 0..STEWARDS {
            world.apply(&Op::List { steward: index, back: 0 });
        }
        world.report();
        world
    }

    /// Returns the orders that the engine has taken.
    pub fn taken(&self) -> &[SmolStr] {
        &self.taken
    }

    /// Tells whether the record is settled.
    pub fn is_settled(&self) -> bool {
        self.record().state == RecordState::Settled
    }

    /// Tells whether a process that lives holds the claim that stands.
    pub fn is_held_by_live_issuer(&self) -> bool {
        match &self.record().state {
            RecordState::Settled => false,
            RecordState::Pending(claim) => {
                let holds = |it: &Steward| it.alive && it.process == claim.issuer;
                self.stewards.iter().any(holds)
            }
        }
    }

    /// Tells whether the engine has taken an order since the faults ended.
    pub fn taken_since_healed(&self) -> bool {
        self.taken.len() > self.taken_before
    }

    /// Tells whether no steward lives.
    pub fn all_dead(&self) -> bool {
        !self.stewards.iter().any(|steward| steward.alive)
    }

    /// Ends all faults and lets the stewards go on for a while.
    pub fn heal(&mut self, wants: bool) {
        self.taken_before = self.taken.len();
        self.apply(&Op::Platform { down: false });
        for _ in 0..HEALED_ROUNDS {
            self.apply(&Op::Advance(HEALED_ROUND_MS));
            while !self.writes.is_empty() {
                self.apply(&Op::DeliverWrite(0));
            }
            while !self.orders.is_empty() {
                self.apply(&Op::DeliverOrder(0));
            }
            // The platform goes on making lists, changed or not.
            self.list();
            for steward in 0..STEWARDS {
                self.apply(&Op::List { steward, back: 0 });
                for about in 0..STEWARDS {
                    self.apply(&Op::Hello { steward, about });
                }
                for _ in 0..3 {
                    self.apply(&Op::Read { steward, back: 0 });
                    self.apply(&Op::Report { steward, back: 0 });
                    self.apply(&Op::Step { steward, wants, fate: WriteFate::Answered });
                    self.apply(&Op::Fire { steward, fate: SendFate::Answered });
                }
            }
        }
    }

    fn new_steward(&self, index: usize) -> Steward {
        let vm = format_smolstr!("vm-{index}");
        let first = self.stewards.len() <= index;
        let started = if first { self.now - UPTIME } else { self.now };
        let process = ProcessIncarnation { vm, incarnation: started.as_millis() };
        let checks = self.kind == EngineKind::Checks || self.rule == Rule::ReplaceWithoutProof;
        let mut membership = MembershipTable::default();
        membership.observe_process(&process, self.now);
        Steward {
            tracker: OrderTracker::new(process.clone(), checks),
            process,
            alive: true,
            killed_at: START,
            membership,
            armed: None,
            orders: 0,
        }
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Read { steward, back } => self.read(steward, back),
            Op::Report { steward, back } => {
                let reports = &self.engine.reports;
                let report = reports[reports.len().saturating_sub(1 + back)].clone();
                self.stewards[steward].tracker.observe_report(report);
            }
            Op::Step { steward, wants, fate } => self.step(steward, wants, fate),
            Op::Fire { steward, fate } => self.fire(steward, fate),
            Op::DeliverOrder(index) => self.deliver_order(index),
            Op::DeliverWrite(index) => {
                if index < self.writes.len() && !self.down {
                    let write = self.writes.remove(index);
                    let _ = self.write(&write);
                }
            }
            Op::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Op::Kill(index) => self.kill(index),
            Op::Restart(index) => self.restart(index),
            Op::List { steward, back } => {
                let (made_at, vms) = &self.listings[self.listings.len().saturating_sub(1 + back)];
                let steward = &mut self.stewards[steward];
                steward.membership.observe_listing(*made_at, vms, self.now);
            }
            Op::Hello { steward, about } => {
                if self.stewards[about].alive {
                    let process = self.stewards[about].process.clone();
                    self.stewards[steward].membership.observe_process(&process, self.now);
                }
            }
            Op::RestartEngine => {
                self.engine.incarnation += 1;
                self.engine.pending = None;
                self.engine.applied = None;
                let incarnation = self.engine.incarnation;
                self.orders.retain(|order| order.engine == incarnation);
            }
            Op::Platform { down } => self.down = down,
        }
        self.report();
    }

    fn read(&mut self, steward: usize, back: usize) {
        let record = self.records[self.records.len().saturating_sub(1 + back)].clone();
        if self.stewards[steward].alive && !self.down {
            self.stewards[steward].tracker.observe_record(record, self.now);
        }
    }

    fn step(&mut self, index: usize, wants: bool, fate: WriteFate) {
        let now = self.now;
        let steward = &mut self.stewards[index];
        if !steward.alive || steward.armed.is_some() {
            return;
        }
        let wanted = wants.then(|| format_smolstr!("{}/{}", steward.process, steward.orders));
        steward.orders += 1;
        let action = steward.tracker.next_action(wanted.as_ref(), &steward.membership, now);
        match action {
            OrderAction::Wait(_) => {}
            OrderAction::SendOrder { order_id, fencing } => {
                steward.armed = Some((order_id, fencing));
            }
            OrderAction::ClaimRecord { claim, expected } => {
                let state = RecordState::Pending(claim.clone());
                let outcome = self.try_write(Write { expected, state }, fate);
                self.stewards[index].tracker.claim_ended(claim, &outcome, now);
            }
            OrderAction::SettleRecord { expected, .. }
            | OrderAction::ReleaseRecord { expected, .. } => {
                let write = Write { expected, state: RecordState::Settled };
                let outcome = self.try_write(write, fate);
                self.stewards[index].tracker.settle_ended(&outcome, now);
            }
        }
    }

    fn try_write(&mut self, write: Write, fate: WriteFate) -> WriteOutcome {
        if self.down {
            return WriteOutcome::Unknown;
        }
        match fate {
            WriteFate::Answered => return self.write(&write),
            WriteFate::AnswerLost => {
                let _ = self.write(&write);
            }
            WriteFate::Delayed => self.writes.push(write),
            WriteFate::Lost => {}
        }
        WriteOutcome::Unknown
    }

    fn write(&mut self, write: &Write) -> WriteOutcome {
        let revision = self.record().revision;
        if revision != write.expected {
            return WriteOutcome::Conflict;
        }
        // Other keys share the counter, so that revisions have gaps.
        let revision = revision + 2;
        self.records.push(ObservedRecord { revision, state: write.state.clone() });
        WriteOutcome::Written(revision)
    }

    fn record(&self) -> &ObservedRecord {
        self.records.last().expect("the first record")
    }

    fn fire(&mut self, index: usize, fate: SendFate) {
        let steward = &mut self.stewards[index];
        let Some((id, fencing)) = steward.armed.take() else { return };
        let sender = steward.process.clone();
        let order = Order { id: id.clone(), fencing, sender, engine: self.engine.incarnation };
        let outcome = match fate {
            SendFate::Answered => match self.take(order) {
                true => SendOutcome::Accepted,
                false => SendOutcome::Refused,
            },
            SendFate::AnswerLost => {
                self.take(order);
                SendOutcome::Unknown
            }
            SendFate::Delayed => {
                self.orders.push(order);
                SendOutcome::Unknown
            }
            SendFate::Lost => SendOutcome::Unknown,
            SendFate::Unsent => SendOutcome::Unsent,
        };
        self.stewards[index].tracker.send_ended(&id, outcome, self.now);
    }

    fn deliver_order(&mut self, index: usize) {
        if index >= self.orders.len() {
            return;
        }
        let order = self.orders.remove(index);
        // The kernel of a dead process delivers for no longer than the settling time.
        let sender = self.stewards.iter().find(|steward| steward.process == order.sender);
        let lost = sender.is_none_or(|sender| {
            !sender.alive && self.now.since(sender.killed_at) >= DEATH_GRACE_PERIOD
        });
        if !lost {
            self.take(order);
        }
    }

    /// Lets the engine take an order, and checks the invariants.
    fn take(&mut self, order: Order) -> bool {
        self.apply_due();
        let checks = self.kind == EngineKind::Checks;
        if checks && order.fencing < self.engine.highest {
            return false;
        }
        if let Some((pending, _)) = &self.engine.pending {
            let fenced_off = checks && order.fencing > pending.fencing;
            if !fenced_off {
                self.fail(format!("conflict: {} came while {} was pending", order.id, pending.id));
            }
        }
        let record = self.record();
        let authorized = match &record.state {
            RecordState::Pending(claim) if claim.order_id == order.id => true,
            // The later claim's order, or the one after it, fences this one off.
            RecordState::Pending(_) => checks && record.revision > order.fencing,
            RecordState::Settled => false,
        };
        if !authorized {
            let state = record.state.clone();
            self.fail(format!("no authority: {} was taken, the record is {state:?}", order.id));
        }
        self.taken.push(order.id.clone());
        self.engine.highest = self.engine.highest.max(order.fencing);
        self.engine.pending = Some((order, self.now + CHANGE));
        true
    }

    fn fail(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    fn apply_due(&mut self) {
        let now = self.now;
        if let Some((order, _)) = self.engine.pending.take_if(|(_, due)| *due <= now) {
            self.engine.applied = Some(order.id);
        }
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        self.apply_due();
    }

    fn report(&mut self) {
        let engine = &mut self.engine;
        engine.reports.push(OrderReport {
            made_at: self.now,
            incarnation: engine.incarnation,
            highest_fencing: engine.highest,
            applied: engine.applied.clone(),
            pending: engine.pending.as_ref().map(|(order, _)| order.id.clone()),
        });
    }

    fn kill(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        if steward.alive {
            steward.alive = false;
            steward.killed_at = self.now;
            steward.armed = None;
            self.list();
        }
    }

    fn restart(&mut self, index: usize) {
        let dead = &self.stewards[index];
        // A VM takes longer to come back than a killed process's kernel delivers.
        if dead.alive || self.now.since(dead.killed_at) < DEATH_GRACE_PERIOD {
            return;
        }
        self.stewards[index] = self.new_steward(index);
        self.list();
        self.apply(&Op::List { steward: index, back: 0 });
    }

    fn list(&mut self) {
        let live = self.stewards.iter().filter(|steward| steward.alive);
        let vms = live.map(|steward| ListedVm { name: steward.process.vm.clone(), leaving: false });
        self.listings.push((self.now, vms.collect()));
    }
}
