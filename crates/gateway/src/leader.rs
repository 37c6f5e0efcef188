//! Elects the leader, the only daemon that orders engines to change their stage and that calls the
//! platform's API.
//!
//! The leader is the daemon that holds the leader key. The fencing token of its orders follows from
//! the revision of the key, see [`gooseberry_core::serving::fencing`]. Not all engines check it, so a new
//! leader waits until no order of the previous one can be in flight, and a leader renews its lease right
//! before each order. The calls to the platform's API depend on the same term, see [`crate::duties`].

use std::{collections::HashMap, sync::Arc, time::Duration};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        directory::EngineStage,
        fencing::FirstEra,
        stage_demand::StageDemand,
        stages::{self, OrderState, StageChange},
        store_era::StoreRevision,
    },
    time::Timestamp,
};
use gooseberry_platform::{
    engine::{self, StageOrder},
    store::{PutCondition, StoreClient, StoreError, StorePut},
};
use http::StatusCode;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    capacity::{CapacityContext, CapacityDuty},
    duties::{self, DutyAuthority, LeaderLease},
    gateway::Gateway,
    send::{self, SendTarget},
    settings::DutyKind,
    usage_report::{self, ReportMemory, UsageDuty},
};

/// Key in the key-value service whose value is the name of the leader.
pub const KEY: &str = "steward";

/// Key in the key-value service with the first era of the fencing tokens, a [`FirstEraRecord`].
pub const FIRST_ERA_KEY: &str = "fencing-first-era";

/// Format of its value.
const FIRST_ERA_FORMAT: u32 = 1;
/// Time to live of the leader key without renewal.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1200);
/// Time that a new leader waits before its first order. Two leaders must not both give orders
/// within `lease-ms`, which is 3 s in the deployments.
const TAKEOVER_WAIT: Duration = Duration::from_millis(3300);
/// Timeout of a call to the key-value service or an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a change must be planned before it is ordered. An engine that crashed may have
/// restarted by then, so that the change is no longer needed.
const MIN_PLANNED_DURATION: Duration = Duration::from_millis(2000);
/// Time until an engine gets another order. An order without a response may be executed up to 12 s
/// later.
const ORDER_COOLDOWN: Duration = Duration::from_secs(13);
/// Time until an engine that refused an order gets another one.
const REFUSAL_COOLDOWN: Duration = Duration::from_secs(5);
/// Largest offset, derived from the daemon hash, between the daemons' attempts to acquire a free
/// leader key.
const ACQUIRE_SPREAD_MS: u64 = 400;

/// Value of the key with the first era. Other builds read it too, so fields are only added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstEraRecord {
    pub version: u32,
    pub first_era: u64,
}

/// Holder of the leader key and first era of the fencing tokens, as of the last change of the watch.
#[derive(Debug, Default)]
pub struct LeaderKey {
    holder: Mutex<Option<String>>,
    first_era: Mutex<FirstEra>,
}

impl LeaderKey {
    /// Records the holder of the key.
    pub fn set_holder(&self, holder: Option<String>) {
        *self.holder.lock() = holder;
    }

    /// Records the first era that the key-value service keeps. Returns the era that is to be written in
    /// its place if an earlier one is known.
    pub fn set_first_era(&self, stored: Option<u64>) -> Option<u64> {
        self.first_era.lock().record_stored(stored)
    }

    fn is_free(&self) -> bool {
        self.holder.lock().is_none()
    }
}

/// Writes an earlier first era than the one that the key-value service keeps. If that fails, the next
/// daemon that knows it writes it.
pub async fn correct_first_era(gateway: &Gateway, first_era: u64) {
    let mut client = gateway.store.client();
    match write_first_era(&mut client, first_era, PutCondition::Any).await {
        Ok(()) => tracing::info!(first_era, "first era of the fencing tokens corrected"),
        Err(fault) => {
            tracing::info!(%fault, first_era, "first era of the fencing tokens not corrected");
        }
    }
}

async fn write_first_era(
    client: &mut StoreClient,
    first_era: u64,
    condition: PutCondition,
) -> Result<(), StoreError> {
    let record = FirstEraRecord { version: FIRST_ERA_FORMAT, first_era };
    let value = serde_json::to_vec(&record)?;
    let put = StorePut { key: FIRST_ERA_KEY, value: &value, lease: None, condition };
    client.put(&put, CALL_TIMEOUT).await.map(|_| ())
}

/// Acquires the leader key whenever it is free, and gives orders while holding it.
pub async fn run(gateway: Arc<Gateway>, leader_key: Arc<LeaderKey>) {
    let spread = Duration::from_millis(gateway.daemon % ACQUIRE_SPREAD_MS);
    let mut client = gateway.store.client();
    let mut reports = ReportMemory::default();
    loop {
        gateway.clock.sleep(RENEW_INTERVAL + spread).await;
        let is_cut = gateway.state.lock().is_cut_from_engines();
        if is_cut || !gateway.is_ready() || !leader_key.is_free() {
            continue;
        }
        match lead(&gateway, &leader_key, &mut client, &mut reports).await {
            Ok(()) => {}
            Err(StoreError::Conflict) => tracing::debug!("another daemon is the leader"),
            Err(fault) => tracing::info!(%fault, "leadership lost or not acquired"),
        }
    }
}

/// State of this daemon while it is the leader.
struct LeaderTerm<'a> {
    gateway: &'a Gateway,
    leader_key: &'a LeaderKey,
    lease: LeaderLease,
    acquired_at: Timestamp,
    usage: UsageDuty,
    reports: &'a mut ReportMemory,
    /// Permission for the duties, from the end of the wait of a new leader.
    duties: Option<DutyAuthority>,
    capacity: CapacityDuty,
    /// Revision of the leader key.
    revision: StoreRevision,
    /// Time since which a change to a stage has been planned for an engine of a failure domain.
    planned: HashMap<(SmolStr, EngineStage), Timestamp>,
    /// Load of each service that this daemon has observed as the leader.
    demand: HashMap<SmolStr, StageDemand>,
    /// Recent orders, with the time at which they were given.
    recent_orders: HashMap<EngineKey, (OrderState, Timestamp)>,
}

async fn lead(
    gateway: &Gateway,
    leader_key: &LeaderKey,
    client: &mut StoreClient,
    reports: &mut ReportMemory,
) -> Result<(), StoreError> {
    let lease = client.grant_lease(LEASE_TTL, CALL_TIMEOUT).await?;
    let name = gateway.options.name.as_bytes();
    let put =
        StorePut { key: KEY, value: name, lease: Some(lease), condition: PutCondition::Missing };
    let revision = client.put(&put, CALL_TIMEOUT).await?;
    if revision.era != lease.era {
        // The key may belong to a lease of another daemon, which would keep it.
        tracing::info!(%revision, "key-value service came back from a copy during the election");
        return client.remove(KEY, revision, CALL_TIMEOUT).await;
    }
    tracing::info!(%revision, "became leader");
    let acquired_at = gateway.now();
    if gateway.store.has_changed_era() {
        gateway.state.lock().store_evidence_again();
    }
    let collector = Arc::default();
    usage_report::start_collecting(
        &collector,
        Arc::clone(&gateway.usage),
        Arc::clone(&gateway.peers),
        gateway.clock.clone(),
        gateway.metrics.usage_lost.clone(),
    );
    let mut term = LeaderTerm {
        gateway,
        leader_key,
        lease: LeaderLease { lease, clock: gateway.clock.clone() },
        acquired_at,
        usage: UsageDuty::new(collector, KEY, revision, gateway.usage.true_time()),
        reports,
        duties: None,
        capacity: CapacityDuty::new(gateway.metrics.capacity.clone()),
        revision,
        planned: HashMap::new(),
        demand: HashMap::new(),
        recent_orders: HashMap::new(),
    };
    while !gateway.is_stopping() {
        gateway.clock.sleep(RENEW_INTERVAL).await;
        if gateway.state.lock().is_cut_from_engines() {
            tracing::info!("cut off from engines; giving up leadership");
            return Ok(());
        }
        client.renew_lease(lease, CALL_TIMEOUT).await?;
        term.store_first_era(client).await?;
        let due = term.due();
        if gateway.now().since(acquired_at) >= TAKEOVER_WAIT {
            for change in due {
                term.order(client, change).await?;
            }
        }
        match term.perform_duties(client).await {
            // The renewal at the start of the next round tells whether this daemon is still the leader.
            Err(StoreError::TimedOut(limit)) => {
                tracing::info!(
                    limit_ms = limit.as_millis() as u64,
                    "duties postponed: slow call to the key-value service"
                );
            }
            performed => performed?,
        }
    }
    Ok(())
}

impl LeaderTerm<'_> {
    /// Writes the first era of the fencing tokens if the key-value service doesn't keep it.
    async fn store_first_era(&self, client: &mut StoreClient) -> Result<(), StoreError> {
        let (unstored, is_known) = {
            let first_era = self.leader_key.first_era.lock();
            (first_era.unstored(self.revision.era), first_era.is_known())
        };
        let Some(first_era) = unstored else {
            return Ok(());
        };
        let condition = if is_known { PutCondition::Any } else { PutCondition::Missing };
        match write_first_era(client, first_era, condition).await {
            Ok(()) => {
                self.leader_key.set_first_era(Some(first_era));
                tracing::info!(first_era, "first era of the fencing tokens stored");
                Ok(())
            }
            // Another daemon has written it, as the watch will tell.
            Err(StoreError::Conflict) => Ok(()),
            Err(fault) => Err(fault),
        }
    }

    /// Performs the duties at the platform's API.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::TimedOut`] if a renewal took too long to depend on it, and any other error
    /// if this daemon is no longer the leader.
    async fn perform_duties(&mut self, client: &mut StoreClient) -> Result<(), StoreError> {
        let Some(options) = &self.gateway.options.duties else {
            return Ok(());
        };
        let led = self.gateway.now().since(self.acquired_at);
        if self.duties.is_none() && led >= duties::takeover_wait(options).max(TAKEOVER_WAIT) {
            let token = self.leader_key.first_era.lock().token(self.revision);
            let create = |token| {
                let holder = self.gateway.options.name.clone();
                DutyAuthority::new(options.clone(), holder, token, self.lease.clone())
            };
            self.duties = token.map(create);
        }
        let Some(authority) = &mut self.duties else {
            return Ok(());
        };
        if authority.has_duty(DutyKind::Autoscale) {
            let stage_orders = self.recent_orders.iter().filter_map(|(key, (order, at))| {
                matches!(order, OrderState::Pending(_)).then_some((*key, *at))
            });
            let context = CapacityContext {
                state: &self.gateway.state,
                clock: &self.gateway.clock,
                leader_key: KEY,
                revision: self.revision,
                stage_orders: &stage_orders.collect(),
            };
            self.capacity.step(context, authority, client).await?;
        }
        let (log, metrics) = (&self.gateway.usage, &self.gateway.metrics);
        if authority.has_duty(DutyKind::UsageReport) {
            self.usage.step(self.reports, log, metrics, authority, client).await?;
        }
        Ok(())
    }

    /// Returns the changes that have been planned for long enough.
    fn due(&mut self) -> Vec<StageChange> {
        let now = self.gateway.now();
        let state = self.gateway.state.lock();
        let Some(configuration) = &state.configuration else {
            return Vec::new();
        };
        self.recent_orders.retain(|_, (order, at)| now.since(*at) < order_cooldown(*order));
        let orders = self.recent_orders.iter().map(|(key, (order, _))| (*key, *order)).collect();
        let services = configuration.services.iter().filter(|service| service.engine.is_some());
        let mut changes = Vec::new();
        for service in services {
            let demand = self.demand.entry(service.name.clone()).or_default();
            demand.observe(&state.fleet, &service.name, now);
            changes.extend(stages::plan(&state.fleet, &service.name, demand, &orders));
        }
        let planned_key = |change: &StageChange| {
            (state.fleet.server(change.engine).entry.domain.clone(), change.stage)
        };
        self.planned
            .retain(|planned, _| changes.iter().any(|change| planned_key(change) == *planned));
        for change in &changes {
            self.planned.entry(planned_key(change)).or_insert(now);
        }
        let is_due = |change: &StageChange| {
            now.since(self.planned[&planned_key(change)]) >= MIN_PLANNED_DURATION
        };
        changes.into_iter().filter(is_due).collect()
    }

    async fn order(
        &mut self,
        client: &mut StoreClient,
        change: StageChange,
    ) -> Result<(), StoreError> {
        let gateway = self.gateway;
        let (target, is_quiet) = {
            let state = gateway.state.lock();
            let server = state.fleet.server(change.engine);
            (SendTarget::new(change.engine, server), server.is_quiet(gateway.now()))
        };
        if is_quiet {
            return Ok(());
        }
        let Some(fence) = self.leader_key.first_era.lock().token(self.revision) else {
            tracing::info!(server = %target.id, "no order yet: the first era of the fencing tokens isn't stored");
            return Ok(());
        };
        let pending = OrderState::Pending(change.stage);
        self.recent_orders.insert(change.engine, (pending, gateway.now()));
        let Some(orders) = accepted_orders(gateway, &target).await else {
            self.recent_orders.insert(change.engine, (OrderState::Refused, gateway.now()));
            return Ok(());
        };
        let renewal = match self.lease.renew(client).await {
            Err(StoreError::TimedOut(_)) => return Ok(()),
            renewed => renewed?,
        };
        let order = StageOrder {
            server_id: &target.id,
            stage: change.stage,
            holder: &gateway.options.name,
            fence,
            expected_orders: orders,
        };
        if self.lease.check(renewal).is_err() {
            return Ok(());
        }
        let exchange = send::exchange_own(gateway, &target, || engine::order(&order));
        let outcome = match gateway.clock.timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok((response, _))) => response.status(),
            Ok(Err(fault)) => {
                tracing::info!(server = %target.id, %fault, "no response to a stage change order");
                return Ok(());
            }
            Err(_) => StatusCode::REQUEST_TIMEOUT,
        };
        if outcome.is_client_error() && outcome != StatusCode::REQUEST_TIMEOUT {
            self.recent_orders.insert(change.engine, (OrderState::Refused, gateway.now()));
        }
        tracing::info!(
            server = %target.id,
            stage = %change.stage,
            fence,
            orders,
            status = outcome.as_u16(),
            "stage change ordered"
        );
        Ok(())
    }
}

fn order_cooldown(order: OrderState) -> Duration {
    match order {
        OrderState::Pending(_) => ORDER_COOLDOWN,
        OrderState::Refused => REFUSAL_COOLDOWN,
    }
}

/// Returns how many orders an engine has accepted, or none if it is executing one or doesn't
/// respond.
async fn accepted_orders(gateway: &Gateway, target: &SendTarget) -> Option<u64> {
    let work = send::report(gateway, target);
    let report = gateway.clock.timeout(CALL_TIMEOUT, work).await.ok().flatten();
    match report {
        Some(report) if !report.is_busy => Some(report.orders),
        report => {
            tracing::info!(server = %target.id, ?report, "engine can't accept an order now");
            None
        }
    }
}
