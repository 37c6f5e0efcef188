//! Orders the engines of the services that can be scaled, as a duty of the leader.
//!
//! The decisions are those of [`gooseberry_core::serving::capacity`]. What is about to be ordered is
//! written to the key-value service before the call, so that the next leader continues from there and
//! repeats what isn't known to be accepted.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        capacity::{
            CapacityChange, CapacityObservation, CapacityPlanner, CapacityState, EngineKind,
            EnginePool, OrderOutcome, PoolOrder,
        },
        capacity_demand::LoadSample,
        configuration::{ScalingSpec, ServiceRow},
        directory::EngineStage,
        fleet::ServerState,
        store_era::StoreRevision,
    },
    time::Timestamp,
};
use gooseberry_edges::clock::Clock;
use gooseberry_platform::{
    duties::DutyRequest,
    store::{PutCondition, StoreClient, StoreError, StoreKey, StorePut},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    duties::{DutyAuthority, DutyOutcome},
    metrics::CapacityMetrics,
    state::GatewayState,
};

/// Prefix of the keys under which the orders of each service are kept.
pub const KEY_PREFIX: &str = "capacity/";
/// Format of their values.
const RECORD_FORMAT: u32 = 1;
/// Timeout of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of the read of all keys at the start of a term.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Age of the list of servers up to which orders follow from it. The watch returns every 1.5 s.
const MAX_LIST_AGE: Duration = Duration::from_millis(4000);
/// Queue of an engine, in seconds, that is part of normal operation.
const NORMAL_WAIT_S: f64 = 0.2;

/// Orders of a service in the key-value service. Other builds read it too, so fields are only added.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityRecord {
    pub version: u32,
    /// Engines that each domain should have, of both kinds together.
    pub targets: BTreeMap<SmolStr, u32>,
    pub orders: Vec<OrderRecord>,
}

/// The last order for a kind of engine in a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    pub domain: SmolStr,
    pub kind: SmolStr,
    pub desired: u32,
    pub outcome: SmolStr,
    /// Fencing token of the leader that wrote the record.
    pub fence: u64,
}

impl CapacityRecord {
    /// Creates the record of a leader.
    pub fn new(state: &CapacityState, fence: u64) -> Self {
        let record = |(pool, order): (&EnginePool, &PoolOrder)| OrderRecord {
            domain: pool.domain.clone(),
            kind: smol_str::format_smolstr!("{}", pool.kind),
            desired: order.desired,
            outcome: smol_str::format_smolstr!("{}", order.outcome),
            fence,
        };
        Self {
            version: RECORD_FORMAT,
            targets: state.targets.clone(),
            orders: state.orders.iter().map(record).collect(),
        }
    }

    /// Returns the state to continue from. An outcome that this build doesn't know may need the order
    /// again, and orders for kinds that it doesn't know are left out.
    pub fn state(&self, now: Timestamp) -> CapacityState {
        let order = |record: &OrderRecord| {
            let kind: EngineKind = record.kind.parse().ok()?;
            let outcome = record.outcome.parse().unwrap_or(OrderOutcome::Pending);
            let order = PoolOrder { desired: record.desired, outcome, at: now };
            Some((EnginePool::new(record.domain.clone(), kind), order))
        };
        let orders = self.orders.iter().filter_map(order).collect();
        CapacityState { targets: self.targets.clone(), orders }
    }
}

/// What the duty needs of the daemon.
#[derive(Clone, Copy, Debug)]
pub struct CapacityContext<'a> {
    pub state: &'a Mutex<GatewayState>,
    pub clock: &'a Clock,
    /// Key of the leader with the revision by which this daemon holds it. Records are written only
    /// while it does.
    pub leader_key: &'static str,
    pub revision: StoreRevision,
    /// Engines that were ordered to change their stage, with the time of the order.
    pub stage_orders: &'a HashMap<EngineKey, Timestamp>,
}

/// State of the duty in one term of the leader.
#[derive(Debug)]
pub struct CapacityDuty {
    metrics: CapacityMetrics,
    /// Plans of the services. None before the stored orders were read.
    services: Option<HashMap<SmolStr, ServicePlan>>,
}

#[derive(Debug, Default)]
struct ServicePlan {
    planner: CapacityPlanner,
    /// The state that the key-value service is known to keep.
    stored: Option<CapacityState>,
    /// Whether a build that this one doesn't know has written the stored orders.
    is_foreign: bool,
}

impl Drop for CapacityDuty {
    fn drop(&mut self) {
        // Only the leader knows the numbers of engines.
        self.metrics.engines.reset();
    }
}

impl CapacityDuty {
    /// Creates the duty of a leader that hasn't read the stored orders.
    pub fn new(metrics: CapacityMetrics) -> Self {
        Self { metrics, services: None }
    }

    /// Plans the engines of all services and sends the orders that are due. It is expected to be
    /// called in each round of the leader.
    ///
    /// # Errors
    ///
    /// Returns an error if the key-value service can't be read or written, or if this daemon is no
    /// longer the leader. Then no further orders were sent.
    pub async fn step(
        &mut self,
        context: CapacityContext<'_>,
        authority: &mut DutyAuthority,
        client: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let now = context.clock.now();
        let services: Vec<ServiceRow> = {
            let state = context.state.lock();
            let age = state.fleet.connectivity.list_age(now);
            if state.fleet.connectivity.is_unreachable() || age.is_none_or(|it| it > MAX_LIST_AGE) {
                tracing::info!(
                    list_age_ms = age.map(|age| age.as_millis() as u64),
                    "no orders for engines: the list of servers is out of date"
                );
                return Ok(());
            }
            let services = state.configuration.iter().flat_map(|it| &it.services);
            services.filter(|service| service.scaling.is_some()).cloned().collect()
        };
        if self.services.is_none() && !services.is_empty() {
            self.services = Some(read_records(client, now).await?);
        }
        let Some(plans) = &mut self.services else {
            return Ok(());
        };
        self.metrics.engines.reset();
        for service in &services {
            let Some(spec) = &service.scaling else {
                continue;
            };
            let plan = plans.entry(service.name.clone()).or_default();
            if plan.is_foreign {
                continue;
            }
            let mut round = ServiceRound { service, spec, plan, context, metrics: &self.metrics };
            if !round.run(authority, client).await? {
                break;
            }
        }
        Ok(())
    }
}

/// Reads the stored orders of all services.
async fn read_records(
    client: &mut StoreClient,
    now: Timestamp,
) -> Result<HashMap<SmolStr, ServicePlan>, StoreError> {
    let update = client.read_all(READ_TIMEOUT).await?;
    let mut plans = HashMap::new();
    for change in update.changes {
        let StoreKey::Own(key) = &change.subject else {
            continue;
        };
        let (Some(service), Some(value)) = (key.strip_prefix(KEY_PREFIX), &change.value) else {
            continue;
        };
        let plan = match serde_json::from_slice::<CapacityRecord>(value) {
            Ok(record) if record.version == RECORD_FORMAT => {
                let state = record.state(now);
                tracing::info!(
                    service,
                    orders = state.orders.len(),
                    revision = change.revision,
                    "stored orders for engines read"
                );
                let planner = CapacityPlanner::restore(state.clone(), now);
                ServicePlan { planner, stored: Some(state), is_foreign: false }
            }
            Ok(CapacityRecord { version, .. }) => {
                tracing::warn!(
                    service,
                    version,
                    "stored orders for engines have another format; sending none"
                );
                ServicePlan { is_foreign: true, ..ServicePlan::default() }
            }
            Err(error) => {
                tracing::warn!(service, %error, "stored orders for engines can't be decoded; starting without");
                ServicePlan::default()
            }
        };
        plans.insert(SmolStr::from(service), plan);
    }
    Ok(plans)
}

/// One round for a service.
struct ServiceRound<'a> {
    service: &'a ServiceRow,
    spec: &'a ScalingSpec,
    plan: &'a mut ServicePlan,
    context: CapacityContext<'a>,
    metrics: &'a CapacityMetrics,
}

impl ServiceRound<'_> {
    /// Returns whether further orders can be sent in this round.
    async fn run(
        &mut self,
        authority: &mut DutyAuthority,
        client: &mut StoreClient,
    ) -> Result<bool, StoreError> {
        let now = self.context.clock.now();
        let (observation, list_age) = self.observe(now);
        let changes = self.plan.planner.plan(&observation, self.spec, now);
        self.report(&observation, now);
        for change in &changes {
            self.plan.planner.begin_order(change, now);
        }
        self.store(client, authority.token()).await?;
        for (index, change) in changes.iter().enumerate() {
            let CapacityChange { pool, desired, reason } = change;
            let is_reclaimable = pool.kind == EngineKind::Reclaimable;
            let request =
                DutyRequest::replicas(&self.service.name, &pool.domain, *desired, is_reclaimable);
            let outcome = authority.call(client, &request).await?;
            let called_at = self.context.clock.now();
            let count = observation.pools.get(pool).copied().unwrap_or_default();
            let demand = self.plan.planner.demand();
            tracing::info!(
                service = %self.service.name,
                domain = %pool.domain,
                kind = %pool.kind,
                desired,
                %reason,
                serving = count.serving,
                offline = count.offline,
                leaving = count.leaving,
                target = self.plan.planner.state().targets.get(&pool.domain),
                busy_prefill = observation.load.prefill_engines,
                busy_decode = observation.load.decode_engines,
                waiting_s = observation.load.waiting_s,
                need = demand.need(),
                is_ramping = demand.is_ramping(),
                list_age_ms = list_age.map(|age| age.as_millis() as u64),
                inputs_age_ms = called_at.since(now).as_millis() as u64,
                fence = authority.token(),
                %outcome,
                "engines ordered"
            );
            self.metrics.orders.with_label_values(&[&outcome.to_string()]).inc();
            let recorded = match outcome {
                DutyOutcome::Accepted => OrderOutcome::Accepted,
                DutyOutcome::Unavailable | DutyOutcome::Rejected(_) => OrderOutcome::Refused,
                // A call now would get the same response, or time out as well. The rest of the round
                // is repeated in the next one.
                DutyOutcome::RateLimited | DutyOutcome::Superseded | DutyOutcome::Unknown => {
                    tracing::info!(
                        service = %self.service.name,
                        left = changes.len() - index,
                        "orders for engines postponed to the next round"
                    );
                    return Ok(false);
                }
            };
            self.plan.planner.record_outcome(pool, recorded, called_at);
        }
        Ok(true)
    }

    /// Writes the state if the key-value service has another one. The write fails if this daemon is no
    /// longer the leader.
    async fn store(&mut self, client: &mut StoreClient, fence: u64) -> Result<(), StoreError> {
        let state = self.plan.planner.state();
        let is_same = self.plan.stored.as_ref().is_some_and(|stored| is_same_state(stored, state));
        if is_same || (self.plan.stored.is_none() && state.orders.is_empty()) {
            return Ok(());
        }
        let value = serde_json::to_vec(&CapacityRecord::new(state, fence))?;
        let key = format!("{KEY_PREFIX}{}", self.service.name);
        let condition =
            PutCondition::Holds { key: self.context.leader_key, revision: self.context.revision };
        let put = StorePut { key: &key, value: &value, lease: None, condition };
        client.put(&put, CALL_TIMEOUT).await?;
        self.plan.stored = Some(state.clone());
        Ok(())
    }

    /// Measures the load and counts the engines. Also returns the age of the list of servers.
    fn observe(&self, now: Timestamp) -> (CapacityObservation, Option<Duration>) {
        let state = self.context.state.lock();
        let name = &self.service.name;
        let mut observation = CapacityObservation::default();
        observation.load.prefill_engines = state.fleet.busy_prefill_engines(name, now);
        let servers = state.fleet.iter().filter(|(_, server)| server.entry.service == *name);
        for (key, server) in servers.filter(|(_, server)| server.presence.is_usable(now)) {
            let LoadSample { decode_engines, waiting_s, .. } = &mut observation.load;
            if server.entry.stage != EngineStage::Prefill {
                let slots = f64::from(server.entry.slots.max(1));
                *decode_engines += f64::from(server.requests()) / slots;
            }
            *waiting_s += (server.wait_ms(now) / 1000.0 - NORMAL_WAIT_S).max(0.0);
            let kind = match server.entry.is_reclaimable {
                true => EngineKind::Reclaimable,
                false => EngineKind::Regular,
            };
            let pool = EnginePool::new(server.entry.domain.clone(), kind);
            let count = observation.pools.entry(pool).or_default();
            if server.is_departing() {
                count.leaving += 1;
            } else if self.is_offline(key, server, now) {
                count.offline += 1;
            } else {
                count.serving += 1;
            }
        }
        (observation, state.fleet.connectivity.list_age(now))
    }

    /// Returns whether an engine is changing its stage, or doesn't respond.
    fn is_offline(&self, key: EngineKey, server: &ServerState, now: Timestamp) -> bool {
        let duration = self.service.engine.map_or(Duration::ZERO, |it| it.stage_change_duration);
        let is_recent = |at: &Timestamp| now.since(*at) < duration;
        self.context.stage_orders.get(&key).is_some_and(is_recent)
            || !server.health.is_available(now)
    }

    fn report(&self, observation: &CapacityObservation, now: Timestamp) {
        let service = self.service.name.as_str();
        for (pool, status) in self.plan.planner.statuses(observation, self.spec, now) {
            let kind = pool.kind.to_string();
            let set = |label: &str, number: u32| {
                let labels = [service, pool.domain.as_str(), kind.as_str(), label];
                self.metrics.engines.with_label_values(&labels).set(number.into());
            };
            set("desired", status.desired);
            set("present", status.present);
            set("booting", status.booting);
        }
    }
}

/// Returns whether two states are the same apart from the times of their orders.
fn is_same_state(stored: &CapacityState, state: &CapacityState) -> bool {
    let rows = |state: &CapacityState| -> Vec<(EnginePool, u32, OrderOutcome)> {
        let orders = state.orders.iter();
        orders.map(|(pool, order)| (pool.clone(), order.desired, order.outcome)).collect()
    };
    stored.targets == state.targets && rows(stored) == rows(state)
}
