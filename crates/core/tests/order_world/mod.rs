//! A model of several processes that act as leader, the record of one engine's
//! orders, that engine, and messages between them that may be lost or delayed.

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

const LEADER_COUNT: usize = 3;
/// Number of rounds that the leaders run after all faults have ended.
const RECOVERY_ROUNDS: usize = 24;
/// Duration of such a round, in milliseconds.
const RECOVERY_ROUND_MS: u64 = 4000;
/// Time that the engine takes to apply an order.
const CHANGE_DURATION: Duration = Duration::from_millis(1500);
/// Time since the start of the first processes when the model begins.
const UPTIME: Duration = Duration::from_secs(60);
const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Selects what the engine does with fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    /// Refuses an order with a lower fencing token than one it has accepted.
    ChecksFencing,
    IgnoresFencing,
}

/// Selects the rule for replacing a pending record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceRule {
    /// The production rule: if the engine ignores fencing tokens, a pending record is
    /// replaced only after a proof that its issuer is dead.
    RequireProof,
    /// A pending record may be replaced whether or not the engine checks fencing
    /// tokens.
    ReplaceWithoutProof,
}

/// Delivery of a write to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDelivery {
    Completed,
    ResponseLost,
    /// The write takes effect later, or never.
    Delayed,
    Lost,
}

/// Delivery of an order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDelivery {
    Completed,
    ResponseLost,
    /// The order is delivered later, or never.
    Delayed,
    Lost,
    /// The connection can't be opened, so the order is provably not sent.
    Unsent,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelOp {
    /// A leader reads the record, as it was some revisions ago.
    Read {
        leader: usize,
        versions_back: usize,
    },
    /// A leader receives the engine's report, as it was some reports ago.
    Report {
        leader: usize,
        versions_back: usize,
    },
    /// Takes the due action. If that is to send an order, the order is only prepared,
    /// and `Send` sends it.
    Step {
        leader: usize,
        wants_order: bool,
        delivery: WriteDelivery,
    },
    Send {
        leader: usize,
        delivery: SendDelivery,
    },
    DeliverOrder(usize),
    DeliverWrite(usize),
    Advance(u64),
    Kill(usize),
    Restart(usize),
    /// Delivers a list of VMs to a leader, as it was some changes ago.
    List {
        leader: usize,
        versions_back: usize,
    },
    /// A leader receives a hello from the subject, if the subject is alive.
    Hello {
        leader: usize,
        subject: usize,
    },
    RestartEngine,
    Platform {
        down: bool,
    },
}

pub fn op() -> impl Strategy<Value = ModelOp> {
    let leader = 0..LEADER_COUNT;
    let versions_back = prop_oneof![4 => Just(0_usize), 1 => 0..6usize];
    let write = prop_oneof![
        6 => Just(WriteDelivery::Completed),
        1 => Just(WriteDelivery::ResponseLost),
        1 => Just(WriteDelivery::Delayed),
        1 => Just(WriteDelivery::Lost),
    ];
    let send = prop_oneof![
        3 => Just(SendDelivery::Completed),
        1 => Just(SendDelivery::ResponseLost),
        3 => Just(SendDelivery::Delayed),
        1 => Just(SendDelivery::Lost),
        1 => Just(SendDelivery::Unsent),
    ];
    let advance_ms = prop_oneof![
        2 => 1..500u64,
        2 => 1500..4500u64,
        1 => 10_000..12_000u64,
    ];
    Union::new_weighted(vec![
        (
            6,
            (leader.clone(), versions_back.clone())
                .prop_map(|(leader, versions_back)| ModelOp::Read { leader, versions_back })
                .boxed(),
        ),
        (
            6,
            (leader.clone(), versions_back.clone())
                .prop_map(|(leader, versions_back)| ModelOp::Report { leader, versions_back })
                .boxed(),
        ),
        (
            12,
            (leader.clone(), prop::bool::weighted(0.8), write)
                .prop_map(|(leader, wants_order, delivery)| ModelOp::Step {
                    leader,
                    wants_order,
                    delivery,
                })
                .boxed(),
        ),
        (
            5,
            (leader.clone(), send)
                .prop_map(|(leader, delivery)| ModelOp::Send { leader, delivery })
                .boxed(),
        ),
        (2, (0..4usize).prop_map(ModelOp::DeliverOrder).boxed()),
        (1, (0..4usize).prop_map(ModelOp::DeliverWrite).boxed()),
        (6, advance_ms.prop_map(ModelOp::Advance).boxed()),
        (1, leader.clone().prop_map(ModelOp::Kill).boxed()),
        (1, leader.clone().prop_map(ModelOp::Restart).boxed()),
        (
            2,
            (leader.clone(), versions_back)
                .prop_map(|(leader, versions_back)| ModelOp::List { leader, versions_back })
                .boxed(),
        ),
        (
            2,
            (leader.clone(), leader)
                .prop_map(|(leader, subject)| ModelOp::Hello { leader, subject })
                .boxed(),
        ),
        (1, Just(ModelOp::RestartEngine).boxed()),
        (1, prop::bool::weighted(0.3).prop_map(|down| ModelOp::Platform { down }).boxed()),
    ])
}

struct LeaderProcess {
    process: ProcessIncarnation,
    alive: bool,
    killed_at: Timestamp,
    tracker: OrderTracker,
    membership: MembershipTable,
    /// Order id and fencing token of an order that is prepared and not yet sent.
    prepared_order: Option<(SmolStr, u64)>,
    order_count: u32,
}

#[derive(Clone)]
struct OrderMessage {
    id: SmolStr,
    fencing: u64,
    sender: ProcessIncarnation,
    /// Incarnation of the engine process at the other end of the connection.
    engine: u64,
}

#[derive(Clone)]
struct RecordWrite {
    expected: u64,
    state: RecordState,
}

struct EngineModel {
    incarnation: u64,
    highest_fencing: u64,
    pending: Option<(OrderMessage, Timestamp)>,
    applied: Option<SmolStr>,
    reports: Vec<OrderReport>,
}

pub struct OrderModel {
    now: Timestamp,
    kind: EngineKind,
    rule: ReplaceRule,
    records: Vec<ObservedRecord>,
    listings: Vec<(Timestamp, Vec<ListedVm>)>,
    leaders: Vec<LeaderProcess>,
    engine: EngineModel,
    orders: Vec<OrderMessage>,
    writes: Vec<RecordWrite>,
    platform_down: bool,
    accepted: Vec<SmolStr>,
    accepted_before_recovery: usize,
    /// The first violation of an invariant.
    pub violation: Option<String>,
}

impl OrderModel {
    pub fn new(kind: EngineKind, rule: ReplaceRule) -> Self {
        let mut model = Self {
            now: START,
            kind,
            rule,
            records: vec![ObservedRecord { revision: 0, state: RecordState::Settled }],
            listings: Vec::new(),
            leaders: Vec::new(),
            engine: EngineModel {
                incarnation: 1,
                highest_fencing: 0,
                pending: None,
                applied: None,
                reports: Vec::new(),
            },
            orders: Vec::new(),
            writes: Vec::new(),
            platform_down: false,
            accepted: Vec::new(),
            accepted_before_recovery: 0,
            violation: None,
        };
        for index in 0..LEADER_COUNT {
            let leader = model.new_leader(index);
            model.leaders.push(leader);
        }
        model.record_listing();
        for index in 0..LEADER_COUNT {
            model.apply(&ModelOp::List { leader: index, versions_back: 0 });
        }
        model.record_report();
        model
    }

    /// Returns the ids of the orders that the engine has accepted.
    pub fn accepted(&self) -> &[SmolStr] {
        &self.accepted
    }

    /// Returns whether the record is settled.
    pub fn is_settled(&self) -> bool {
        self.record().state == RecordState::Settled
    }

    /// Returns whether the record's claim is held by a live process.
    pub fn is_held_by_live_issuer(&self) -> bool {
        match &self.record().state {
            RecordState::Settled => false,
            RecordState::Pending(claim) => {
                let holds_claim = |it: &LeaderProcess| it.alive && it.process == claim.issuer;
                self.leaders.iter().any(holds_claim)
            }
        }
    }

    /// Returns whether the engine has accepted an order since the faults ended.
    pub fn accepted_since_recovery(&self) -> bool {
        self.accepted.len() > self.accepted_before_recovery
    }

    /// Returns whether no leader process is alive.
    pub fn all_leaders_dead(&self) -> bool {
        !self.leaders.iter().any(|leader| leader.alive)
    }

    /// Ends all faults and runs the leaders for a fixed number of rounds.
    pub fn recover(&mut self, wants_order: bool) {
        self.accepted_before_recovery = self.accepted.len();
        self.apply(&ModelOp::Platform { down: false });
        for _ in 0..RECOVERY_ROUNDS {
            self.apply(&ModelOp::Advance(RECOVERY_ROUND_MS));
            while !self.writes.is_empty() {
                self.apply(&ModelOp::DeliverWrite(0));
            }
            while !self.orders.is_empty() {
                self.apply(&ModelOp::DeliverOrder(0));
            }
            // The platform goes on to make lists, whether or not they changed.
            self.record_listing();
            for leader in 0..LEADER_COUNT {
                self.apply(&ModelOp::List { leader, versions_back: 0 });
                for subject in 0..LEADER_COUNT {
                    self.apply(&ModelOp::Hello { leader, subject });
                }
                for _ in 0..3 {
                    self.apply(&ModelOp::Read { leader, versions_back: 0 });
                    self.apply(&ModelOp::Report { leader, versions_back: 0 });
                    self.apply(&ModelOp::Step {
                        leader,
                        wants_order,
                        delivery: WriteDelivery::Completed,
                    });
                    self.apply(&ModelOp::Send { leader, delivery: SendDelivery::Completed });
                }
            }
        }
    }

    fn new_leader(&self, index: usize) -> LeaderProcess {
        let vm = format_smolstr!("vm-{index}");
        let first = self.leaders.len() <= index;
        let started = if first { self.now - UPTIME } else { self.now };
        let process = ProcessIncarnation { vm, incarnation: started.as_millis() };
        let checks =
            self.kind == EngineKind::ChecksFencing || self.rule == ReplaceRule::ReplaceWithoutProof;
        let mut membership = MembershipTable::default();
        membership.observe_process(&process, self.now);
        LeaderProcess {
            tracker: OrderTracker::new(process.clone(), checks),
            process,
            alive: true,
            killed_at: START,
            membership,
            prepared_order: None,
            order_count: 0,
        }
    }

    /// Applies one operation.
    pub fn apply(&mut self, op: &ModelOp) {
        match *op {
            ModelOp::Read { leader, versions_back } => self.read(leader, versions_back),
            ModelOp::Report { leader, versions_back } => {
                let reports = &self.engine.reports;
                let report = reports[reports.len().saturating_sub(1 + versions_back)].clone();
                self.leaders[leader].tracker.observe_report(report);
            }
            ModelOp::Step { leader, wants_order, delivery } => {
                self.step(leader, wants_order, delivery)
            }
            ModelOp::Send { leader, delivery } => self.send(leader, delivery),
            ModelOp::DeliverOrder(index) => self.deliver_order(index),
            ModelOp::DeliverWrite(index) => {
                if index < self.writes.len() && !self.platform_down {
                    let write = self.writes.remove(index);
                    let _ = self.write(&write);
                }
            }
            ModelOp::Advance(millis) => self.advance(Duration::from_millis(millis)),
            ModelOp::Kill(index) => self.kill(index),
            ModelOp::Restart(index) => self.restart(index),
            ModelOp::List { leader, versions_back } => {
                let (made_at, listed_vms) =
                    &self.listings[self.listings.len().saturating_sub(1 + versions_back)];
                let leader = &mut self.leaders[leader];
                leader.membership.observe_listing(*made_at, listed_vms, self.now);
            }
            ModelOp::Hello { leader, subject } => {
                if self.leaders[subject].alive {
                    let process = self.leaders[subject].process.clone();
                    self.leaders[leader].membership.observe_process(&process, self.now);
                }
            }
            ModelOp::RestartEngine => {
                self.engine.incarnation += 1;
                self.engine.pending = None;
                self.engine.applied = None;
                let incarnation = self.engine.incarnation;
                self.orders.retain(|order| order.engine == incarnation);
            }
            ModelOp::Platform { down } => self.platform_down = down,
        }
        self.record_report();
    }

    fn read(&mut self, leader: usize, versions_back: usize) {
        let record = self.records[self.records.len().saturating_sub(1 + versions_back)].clone();
        if self.leaders[leader].alive && !self.platform_down {
            self.leaders[leader].tracker.observe_record(record, self.now);
        }
    }

    fn step(&mut self, index: usize, wants_order: bool, delivery: WriteDelivery) {
        let now = self.now;
        let leader = &mut self.leaders[index];
        if !leader.alive || leader.prepared_order.is_some() {
            return;
        }
        let wanted =
            wants_order.then(|| format_smolstr!("{}/{}", leader.process, leader.order_count));
        leader.order_count += 1;
        let action = leader.tracker.next_action(wanted.as_ref(), &leader.membership, now);
        match action {
            OrderAction::Wait(_) => {}
            OrderAction::SendOrder { order_id, fencing } => {
                leader.prepared_order = Some((order_id, fencing));
            }
            OrderAction::ClaimRecord { claim, expected } => {
                let state = RecordState::Pending(claim.clone());
                let outcome = self.try_write(RecordWrite { expected, state }, delivery);
                self.leaders[index].tracker.claim_ended(claim, &outcome, now);
            }
            OrderAction::SettleRecord { expected, .. }
            | OrderAction::ReleaseRecord { expected, .. } => {
                let write = RecordWrite { expected, state: RecordState::Settled };
                let outcome = self.try_write(write, delivery);
                self.leaders[index].tracker.settle_ended(&outcome, now);
            }
        }
    }

    fn try_write(&mut self, write: RecordWrite, delivery: WriteDelivery) -> WriteOutcome {
        if self.platform_down {
            return WriteOutcome::Unknown;
        }
        match delivery {
            WriteDelivery::Completed => return self.write(&write),
            WriteDelivery::ResponseLost => {
                let _ = self.write(&write);
            }
            WriteDelivery::Delayed => self.writes.push(write),
            WriteDelivery::Lost => {}
        }
        WriteOutcome::Unknown
    }

    fn write(&mut self, write: &RecordWrite) -> WriteOutcome {
        let revision = self.record().revision;
        if revision != write.expected {
            return WriteOutcome::Conflict;
        }
        // Other keys share the revision counter, so a key's revisions have gaps.
        let revision = revision + 2;
        self.records.push(ObservedRecord { revision, state: write.state.clone() });
        WriteOutcome::Written(revision)
    }

    fn record(&self) -> &ObservedRecord {
        self.records.last().expect("at least the first record")
    }

    fn send(&mut self, index: usize, delivery: SendDelivery) {
        let leader = &mut self.leaders[index];
        let Some((id, fencing)) = leader.prepared_order.take() else { return };
        let sender = leader.process.clone();
        let order =
            OrderMessage { id: id.clone(), fencing, sender, engine: self.engine.incarnation };
        let outcome = match delivery {
            SendDelivery::Completed => match self.accept_order(order) {
                true => SendOutcome::Accepted,
                false => SendOutcome::Refused,
            },
            SendDelivery::ResponseLost => {
                self.accept_order(order);
                SendOutcome::Unknown
            }
            SendDelivery::Delayed => {
                self.orders.push(order);
                SendOutcome::Unknown
            }
            SendDelivery::Lost => SendOutcome::Unknown,
            SendDelivery::Unsent => SendOutcome::Unsent,
        };
        self.leaders[index].tracker.send_ended(&id, outcome, self.now);
    }

    fn deliver_order(&mut self, index: usize) {
        if index >= self.orders.len() {
            return;
        }
        let order = self.orders.remove(index);
        // The kernel of a dead process may deliver its buffered data, but only within
        // the grace period after the death.
        let sender = self.leaders.iter().find(|leader| leader.process == order.sender);
        let is_lost = sender.is_none_or(|sender| {
            !sender.alive && self.now.since(sender.killed_at) >= DEATH_GRACE_PERIOD
        });
        if !is_lost {
            self.accept_order(order);
        }
    }

    /// Delivers an order to the engine and checks the invariants. Returns whether the
    /// engine accepted the order.
    fn accept_order(&mut self, order: OrderMessage) -> bool {
        self.apply_due();
        let checks = self.kind == EngineKind::ChecksFencing;
        if checks && order.fencing < self.engine.highest_fencing {
            return false;
        }
        if let Some((pending, _)) = &self.engine.pending {
            let is_fenced = checks && order.fencing > pending.fencing;
            if !is_fenced {
                self.record_violation(format!(
                    "conflict: order {} arrived while order {} was pending",
                    order.id, pending.id
                ));
            }
        }
        let record = self.record();
        let authorized = match &record.state {
            RecordState::Pending(claim) if claim.order_id == order.id => true,
            // The order of the later claim, or the one after it, has a higher fencing
            // token, so the engine refuses this one from then on.
            RecordState::Pending(_) => checks && record.revision > order.fencing,
            RecordState::Settled => false,
        };
        if !authorized {
            let state = record.state.clone();
            self.record_violation(format!(
                "no authority: order {} was accepted, but the record is {state:?}",
                order.id
            ));
        }
        self.accepted.push(order.id.clone());
        self.engine.highest_fencing = self.engine.highest_fencing.max(order.fencing);
        self.engine.pending = Some((order, self.now + CHANGE_DURATION));
        true
    }

    fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    fn apply_due(&mut self) {
        let now = self.now;
        if let Some((order, _)) = self.engine.pending.take_if(|(_, due)| *due <= now) {
            self.engine.applied = Some(order.id);
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.apply_due();
    }

    fn record_report(&mut self) {
        let engine = &mut self.engine;
        engine.reports.push(OrderReport {
            made_at: self.now,
            incarnation: engine.incarnation,
            highest_fencing: engine.highest_fencing,
            applied: engine.applied.clone(),
            pending: engine.pending.as_ref().map(|(order, _)| order.id.clone()),
        });
    }

    fn kill(&mut self, index: usize) {
        let leader = &mut self.leaders[index];
        if leader.alive {
            leader.alive = false;
            leader.killed_at = self.now;
            leader.prepared_order = None;
            self.record_listing();
        }
    }

    fn restart(&mut self, index: usize) {
        let dead = &self.leaders[index];
        // A VM takes longer to restart than the kernel of a killed process delivers.
        if dead.alive || self.now.since(dead.killed_at) < DEATH_GRACE_PERIOD {
            return;
        }
        self.leaders[index] = self.new_leader(index);
        self.record_listing();
        self.apply(&ModelOp::List { leader: index, versions_back: 0 });
    }

    fn record_listing(&mut self) {
        let live = self.leaders.iter().filter(|leader| leader.alive);
        let listed_vms =
            live.map(|leader| ListedVm { name: leader.process.vm.clone(), leaving: false });
        self.listings.push((self.now, listed_vms.collect()));
    }
}
