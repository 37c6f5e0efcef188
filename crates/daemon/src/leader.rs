//! The leader: plans changes of engines and sends the orders for them.
//!
//! Each failure domain has at most one leader at a time, elected by a lease. The
//! task runs beside the control thread. `gooseberry_core::orders` decides from the
//! engine's record and reports whether an order may be sent. While the platform is
//! unavailable no order is sent, and traffic continues.

pub mod change;
mod drains;
mod lease;
mod planning;
mod records;

use std::{collections::HashMap, sync::Arc, time::Duration};

use gooseberry_core::{
    membership::ProcessIncarnation,
    orders::{
        OrderAction, OrderReport, OrderTracker, PendingClaim, SendOutcome, WaitReason, WriteOutcome,
    },
    time::Timestamp,
};
use gooseberry_edges::engine::EngineError;
use gooseberry_wire::{
    engine::{EngineOrder, LoadReport},
    order::{OrderOutcome, OrderRecord},
};
use smol_str::{format_smolstr, SmolStr};

use crate::{
    context::DaemonContext,
    demand::DemandRates,
    leader::{
        change::{ChangeStep, EngineChange},
        lease::LeaderLease,
        planning::ChangePlanner,
        records::OrderStore,
    },
    peers::PeerTable,
    snapshot::FleetSnapshot,
};

pub use drains::{DrainTable, ACK_MAX_AGE};
pub use records::list_orders;

/// Interval of the leader's rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Backoff before a postponed change is tried again.
const CHANGE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Longest time that a stopping daemon waits for its own orders to take effect.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Most actions per round and engine.
const MAX_ACTIONS_PER_ROUND: usize = 4;

/// Task that plans changes and carries them out.
pub struct LeaderTask {
    context: Arc<DaemonContext>,
    table: Arc<PeerTable>,
    store: OrderStore,
    lease: LeaderLease,
    process: ProcessIncarnation,
    planner: ChangePlanner,
    rates: DemandRates,
    engines: HashMap<SmolStr, EngineOrders>,
    changes: HashMap<SmolStr, EngineChange>,
    /// Times before which postponed changes aren't tried again.
    postponed: HashMap<SmolStr, Timestamp>,
    issued_count: u64,
}

/// State of the orders for one engine.
struct EngineOrders {
    tracker: OrderTracker,
    record: Option<OrderRecord>,
    /// Whether the record may have changed since it was read.
    stale: bool,
    /// Whether the result of a write by this process is unknown.
    uncertain: bool,
    /// Current reason for waiting, so that each reason is logged once.
    wait_reason: Option<WaitReason>,
}

impl LeaderTask {
    /// Creates the task of a daemon.
    pub fn new(context: &Arc<DaemonContext>, table: &Arc<PeerTable>) -> Self {
        let vm = SmolStr::new(&context.settings.name);
        Self {
            store: OrderStore::new(Arc::clone(&context.platform)),
            lease: LeaderLease::new(context),
            process: ProcessIncarnation { vm, incarnation: context.incarnation },
            planner: ChangePlanner::default(),
            rates: DemandRates::default(),
            engines: HashMap::new(),
            changes: HashMap::new(),
            postponed: HashMap::new(),
            issued_count: 0,
            context: Arc::clone(context),
            table: Arc::clone(table),
        }
    }

    /// Runs until the daemon is stopped, then finishes its own orders and releases
    /// the lease.
    pub async fn run(mut self) {
        while !self.context.stop.is_triggered() {
            self.context.clock.sleep(ROUND_INTERVAL).await;
            self.round().await;
        }
        self.finish().await;
    }

    async fn round(&mut self) {
        let snapshot = self.context.snapshot.load_full();
        if snapshot.domain.is_none() {
            return;
        }
        let is_leader = self.lease.renew_or_acquire().await;
        self.context.drains.set_leader(is_leader);
        self.observe(&snapshot);
        if is_leader {
            self.read_records(&snapshot).await;
            self.plan(&snapshot).await;
        } else {
            self.drop_unclaimed();
        }
        self.advance_all(&snapshot, is_leader).await;
        self.publish();
    }

    /// Continues with its own claims for up to `STOP_TIMEOUT`, then releases the
    /// lease.
    async fn finish(mut self) {
        self.drop_unclaimed();
        self.publish();
        self.context.drains.set_leader(false);
        let deadline = self.context.clock.now() + STOP_TIMEOUT;
        while self.holds_claims() && self.context.clock.now() < deadline {
            let snapshot = self.context.snapshot.load_full();
            self.observe(&snapshot);
            self.advance_all(&snapshot, false).await;
            self.publish();
            self.context.clock.sleep(ROUND_INTERVAL).await;
        }
        self.lease.release().await;
    }

    fn holds_claims(&self) -> bool {
        self.engines.values().any(|orders| orders.tracker.holds_claim())
    }

    fn publish(&self) {
        let draining = self.changes.iter().filter(|(_, change)| change.is_draining());
        let names = draining.map(|(engine, _)| engine.to_string()).collect();
        self.context.drains.set_draining(names);
    }

    /// Drops the changes for which no order has been claimed.
    fn drop_unclaimed(&mut self) {
        self.changes.retain(|_, change| change.is_claimed());
    }

    /// Passes the reports of the failure domain's engines to the order trackers.
    fn observe(&mut self, snapshot: &FleetSnapshot) {
        for (key, row) in snapshot.fleet.engines.iter() {
            if Some(row.domain) != snapshot.domain {
                continue;
            }
            let process = &self.process;
            let orders = self.engines.entry(row.name.clone()).or_insert_with(|| EngineOrders {
                tracker: OrderTracker::new(process.clone(), row.checks_fencing),
                record: None,
                stale: true,
                uncertain: false,
                wait_reason: None,
            });
            orders.tracker.set_checks_fencing(row.checks_fencing);
            if let Some(report) = &snapshot.engines[key].report {
                orders.tracker.observe_report(order_report(report));
            }
        }
    }

    /// Reads the records that are stale or that other processes may change.
    async fn read_records(&mut self, snapshot: &FleetSnapshot) {
        let engines = snapshot.fleet.engines.iter();
        let own = engines.filter(|(_, row)| Some(row.domain) == snapshot.domain);
        for (_, row) in own {
            let orders = &self.engines[&row.name];
            let is_foreign = orders.tracker.pending().is_some() && !orders.tracker.holds_claim();
            if (orders.stale || is_foreign) && !self.read_record(&row.name).await {
                return;
            }
        }
    }

    async fn read_record(&mut self, engine: &SmolStr) -> bool {
        let read = self.store.read(engine).await;
        let Some(orders) = self.engines.get_mut(engine) else { return false };
        match read {
            Ok(read) => {
                (orders.stale, orders.uncertain) = (false, false);
                orders.tracker.observe_record(read.observed, self.context.clock.now());
                orders.record = read.record;
                true
            }
            Err(error) => {
                tracing::debug!(%engine, %error, "can't read the order record of an engine");
                orders.stale = true;
                false
            }
        }
    }

    /// Continues with every engine that has a change or an order in progress.
    async fn advance_all(&mut self, snapshot: &FleetSnapshot, is_leader: bool) {
        let names: Vec<_> = self.engines.keys().cloned().collect();
        for engine in names {
            let EngineOrders { tracker, uncertain, .. } = &self.engines[&engine];
            let own = tracker.holds_claim() || *uncertain || self.changes.contains_key(&engine);
            if own || (is_leader && tracker.pending().is_some()) {
                self.advance(&engine, snapshot).await;
            }
        }
    }

    async fn advance(&mut self, engine: &SmolStr, snapshot: &FleetSnapshot) {
        for _ in 0..MAX_ACTIONS_PER_ROUND {
            if self.engines[engine].stale && !self.read_record(engine).await {
                return self.postpone_unsent(engine, "the order record can't be read");
            }
            let now = self.context.clock.now();
            let next_order_id = self.next_order_id(engine, snapshot, now);
            let Some(orders) = self.engines.get_mut(engine) else { return };
            let action =
                orders.tracker.next_action(next_order_id.as_ref(), &snapshot.membership, now);
            let name: &'static str = (&action).into();
            match action {
                OrderAction::Wait(reason) => return self.handle_wait(engine, reason),
                OrderAction::ClaimRecord { claim, expected } => {
                    tracing::info!(
                        %engine,
                        order = %claim.order_id,
                        expected,
                        name,
                        "claiming the record for an order"
                    );
                    self.claim(engine, claim, expected, snapshot).await;
                }
                OrderAction::SendOrder { order_id, fencing } => {
                    self.send(engine, order_id, fencing, snapshot).await;
                }
                OrderAction::SettleRecord { order_id, expected } => {
                    tracing::info!(
                        %engine,
                        order = %order_id,
                        expected,
                        name,
                        "settling the record of an applied order"
                    );
                    self.settle(engine, expected, OrderOutcome::Applied).await;
                }
                OrderAction::ReleaseRecord { order_id, expected } => {
                    tracing::info!(
                        %engine,
                        order = %order_id,
                        expected,
                        name,
                        "releasing the record of an order without effect"
                    );
                    self.settle(engine, expected, OrderOutcome::Released).await;
                }
            }
        }
    }

    /// Returns an id for a new order, if the engine is ready for it.
    fn next_order_id(
        &mut self,
        engine: &SmolStr,
        snapshot: &FleetSnapshot,
        now: Timestamp,
    ) -> Option<SmolStr> {
        let change = self.changes.get_mut(engine)?;
        if change.is_claimed() {
            return None;
        }
        let (key, _) = snapshot.fleet.engines.find(|row| row.name == *engine)?;
        let own = self.context.drains.drained(snapshot, now);
        let closed = own.iter().any(|name| name == engine) && self.table.all_drained(engine, now);
        let report = snapshot.engines[key].report.as_deref();
        match change.step(closed, report, now) {
            ChangeStep::Drained => {
                self.issued_count += 1;
                Some(format_smolstr!("{}/{}", self.process, self.issued_count))
            }
            ChangeStep::TimedOut => {
                self.postpone_unsent(engine, "its requests didn't end within the drain timeout");
                None
            }
            ChangeStep::AwaitingWeights | ChangeStep::Draining => None,
        }
    }

    fn handle_wait(&mut self, engine: &SmolStr, reason: WaitReason) {
        let Some(orders) = self.engines.get_mut(engine) else { return };
        if orders.wait_reason.replace(reason) != Some(reason) {
            tracing::info!(%engine, %reason, "order is waiting");
        }
        let Some(change) = self.changes.get_mut(engine) else { return };
        match reason {
            // The change may be claimed again.
            WaitReason::OlderOrderUnfenced => change.order = None,
            WaitReason::NothingWanted | WaitReason::IssuerPending if change.is_claimed() => {
                self.end_change(engine, "its claim isn't in the order record");
            }
            _ => {}
        }
    }

    async fn claim(
        &mut self,
        engine: &SmolStr,
        claim: PendingClaim,
        expected: u64,
        snapshot: &FleetSnapshot,
    ) {
        let found = snapshot.fleet.engines.find(|row| row.name == *engine);
        let (Some((_, row)), Some(change)) = (found, self.changes.get_mut(engine)) else { return };
        let now = self.context.clock.now();
        let reason = change.reason.to_string();
        let record = records::pending(&claim, &change.target, &reason, row.role, now);
        change.order = Some((claim.order_id.clone(), now));
        let outcome = self.store.write(engine, &record, expected).await;
        let Some(orders) = self.engines.get_mut(engine) else { return };
        orders.tracker.claim_ended(claim, &outcome, self.context.clock.now());
        orders.wait_reason = None;
        match outcome {
            WriteOutcome::Written(_) => orders.record = Some(record),
            WriteOutcome::Conflict => {
                orders.stale = true;
                self.end_change(engine, "its claim couldn't be written");
            }
            WriteOutcome::Unknown => (orders.stale, orders.uncertain) = (true, true),
        }
    }

    /// Sends an order. Each order is sent at most once.
    async fn send(
        &mut self,
        engine: &SmolStr,
        order_id: SmolStr,
        fencing: u64,
        snapshot: &FleetSnapshot,
    ) {
        let outcome = self.try_send(engine, &order_id, fencing, snapshot).await;
        tracing::info!(%engine, order = %order_id, fencing, ?outcome, "order send attempted");
        let now = self.context.clock.now();
        if let Some(orders) = self.engines.get_mut(engine) {
            orders.tracker.send_ended(&order_id, outcome, now);
        }
    }

    async fn try_send(
        &self,
        engine: &SmolStr,
        order_id: &SmolStr,
        fencing: u64,
        snapshot: &FleetSnapshot,
    ) -> SendOutcome {
        let found = snapshot.fleet.engines.find(|row| row.name == *engine);
        let change = self.changes.get(engine);
        let change = change.filter(|change| change.has_order(order_id));
        // Without its change, the order's claim was written too late, so the order
        // is released.
        let (Some((_, row)), Some(change)) = (found, change) else { return SendOutcome::Unsent };
        let target = &change.target;
        let order = EngineOrder {
            order_id: order_id.to_string(),
            fencing,
            role: target.role.and_then(|role| role.to_string().parse().ok()),
            model: target.model.as_ref().map(SmolStr::to_string),
            version: target.version.as_ref().map(SmolStr::to_string),
            adapters: target.adapters.iter().map(SmolStr::to_string).collect(),
        };
        match self.context.engines.order(&row.address, &order).await {
            Ok(answer) if answer.accepted => SendOutcome::Accepted,
            Ok(_) => SendOutcome::Refused,
            Err(EngineError::Unreachable(_)) => SendOutcome::Unsent,
            Err(_) => SendOutcome::Unknown,
        }
    }

    async fn settle(&mut self, engine: &SmolStr, expected: u64, outcome: OrderOutcome) {
        let record = self.engines[engine].record.clone();
        let Some(record) = record else { return };
        let now = self.context.clock.now();
        let order_id = SmolStr::new(&record.order_id);
        let record = records::settled(record, outcome, now);
        let written = self.store.write(engine, &record, expected).await;
        let Some(orders) = self.engines.get_mut(engine) else { return };
        orders.tracker.settle_ended(&written, self.context.clock.now());
        orders.wait_reason = None;
        match written {
            WriteOutcome::Written(_) => orders.record = Some(record),
            WriteOutcome::Conflict | WriteOutcome::Unknown => orders.stale = true,
        }
        let change = self.changes.get(engine);
        if change.is_some_and(|change| change.has_order(&order_id)) {
            let ended: &'static str = match outcome {
                OrderOutcome::Applied => "the order has taken effect",
                OrderOutcome::Released => "the order was released without effect",
            };
            self.end_change(engine, ended);
        }
    }

    /// Postpones a change unless its order was sent or may still be sent.
    fn postpone_unsent(&mut self, engine: &SmolStr, reason: &'static str) {
        let Some(change) = self.changes.get(engine) else { return };
        let now = self.context.clock.now();
        if !change.is_sendable(now) && !self.engines[engine].tracker.holds_claim() {
            self.end_change(engine, reason);
        }
    }

    fn end_change(&mut self, engine: &SmolStr, reason: &'static str) {
        if let Some(change) = self.changes.remove(engine) {
            tracing::info!(%engine, change = %change.target, reason, "change ended");
            self.postponed.insert(engine.clone(), self.context.clock.now() + CHANGE_RETRY_DELAY);
        }
    }
}

fn order_report(report: &LoadReport) -> OrderReport {
    OrderReport {
        made_at: Timestamp::from_millis(report.made_at_ms),
        incarnation: report.incarnation,
        highest_fencing: report.highest_fencing,
        applied: report.applied_order.as_ref().map(SmolStr::new),
        pending: report.pending_order.as_ref().map(SmolStr::new),
    }
}
