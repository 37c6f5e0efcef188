//! How many engines of each kind a service has in each failure domain.
//!
//! Engines of the regular kind stay, reclaimable ones cost a fraction and may all leave a domain at
//! once. Handles these situations:
//!
//! - the seconds before traffic, in which engines are exchanged for reclaimable ones without loss of
//!   caches;
//! - the morning ramp-up and bursts, see [`CapacityDemand`];
//! - the reclaim of a domain: its reclaimable engines are ordered in other domains, and a core of
//!   regular engines stays there;
//! - a platform that has no engines of a kind, or whose API doesn't respond for seconds;
//! - unequal prices of the domains.
//!
//! A plan has two steps. Each domain has a target, the number of its engines of both kinds together,
//! which follows the load. The numbers of the two kinds then approach the target in such an order
//! that engines are removed only once those that replace them serve.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    serving::{
        capacity_demand::{CapacityDemand, LoadSample, PREFILL_UTILISATION},
        configuration::ScalingSpec,
    },
    time::Timestamp,
};

/// Share of a domain's engines that are regular: the core that goes on if the others are reclaimed.
const REGULAR_SHARE: f64 = 0.2;
/// Share of a domain's engines below which regular ones are added. A burst adds reclaimable ones only,
/// unless the core gets too small.
const LEAST_REGULAR_SHARE: f64 = 0.12;
/// Highest utilisation while the reclaimable engines of one domain are missing. Replacements take
/// seconds to boot, in which the others serve their load.
const RECLAIM_UTILISATION: f64 = 0.65;
/// Share of a domain's engines that may be removed at once during traffic. Their caches are lost.
const REMOVAL_SHARE: f64 = 0.25;
/// Time between two removals in a domain during traffic. Prompts are computed again after each.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(4);
/// Time of traffic in which caches are small, so that engines may still be removed at once.
const EARLY_TRAFFIC: Duration = Duration::from_secs(4);
/// Excess of a total over its need, as a share of it, from which engines are removed.
const MIN_EXCESS: f64 = 0.1;
/// Lack of a total, as a share of it, below which no engines are ordered. A crashed engine starts
/// again within seconds.
const MIN_LACK: f64 = 0.03;
/// Time for which a domain gets no orders for a kind after the platform had none or took them back.
const REFUSAL_PAUSE: Duration = Duration::from_secs(10);
/// Time after an order was accepted, beyond the boot, until engines that aren't there count as
/// missing: the platform's delay and that of the entries.
const BOOT_MARGIN: Duration = Duration::from_secs(4);
/// Share of a pool's ordered engines that may be missing without being lost. Crashed engines start
/// again.
const MAX_MISSING: f64 = 0.25;
/// Highest and lowest target of a domain as a multiple of the mean. Traffic comes from all domains,
/// and requests that move between domains pay for volume and delay.
const TARGET_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Regular engines of a domain beyond its core, as a share of its target, from which an exchange
/// during traffic is worth the lost caches.
const MIN_EXCHANGE_SHARE: f64 = 0.2;

/// How the platform provides an engine.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineKind {
    Regular,
    /// The platform may take it back at short notice.
    Reclaimable,
}

/// The engines of one kind in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EnginePool {
    pub domain: SmolStr,
    pub kind: EngineKind,
}

impl EnginePool {
    /// Creates the pool of a kind in a domain.
    pub fn new(domain: SmolStr, kind: EngineKind) -> Self {
        Self { domain, kind }
    }
}

/// Numbers of the engines of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// Engines that may get requests.
    pub serving: u32,
    /// Engines that are offline for a change of their stage, or don't respond.
    pub offline: u32,
    /// Engines that are draining.
    pub leaving: u32,
}

impl PoolCount {
    /// Returns the number of engines that stay.
    pub fn present(self) -> u32 {
        self.serving + self.offline
    }
}

/// What has become of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderOutcome {
    /// It wasn't sent, or its response is missing. It may have been carried out and is repeated.
    Pending,
    /// The platform has accepted it.
    Accepted,
    /// The platform has refused it.
    Refused,
    /// It was accepted, but its engines didn't come or were reclaimed.
    Lost,
}

/// The last order for a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolOrder {
    pub desired: u32,
    pub outcome: OrderOutcome,
    /// Time of the outcome.
    pub at: Timestamp,
}

/// Why the number of a pool is changed. The first reasons are the most useful orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeReason {
    /// The domain has fewer engines than its target.
    Lack,
    /// It isn't known whether an earlier order was accepted.
    Repeat,
    /// Reclaimable engines are to replace regular ones.
    Exchange,
    /// More engines serve than the target.
    Excess,
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityChange {
    pub pool: EnginePool,
    pub desired: u32,
    pub reason: ChangeReason,
}

/// What is known of a service's engines and load at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityObservation {
    pub load: LoadSample,
    pub pools: BTreeMap<EnginePool, PoolCount>,
}

/// Numbers of the engines of a pool, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolStatus {
    pub desired: u32,
    pub present: u32,
    pub booting: u32,
}

/// State that a new leader needs to continue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapacityState {
    /// Engines that each domain should have, of both kinds together.
    pub targets: BTreeMap<SmolStr, u32>,
    pub orders: BTreeMap<EnginePool, PoolOrder>,
}

/// Plans the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    state: CapacityState,
    demand: CapacityDemand,
    /// Time until which a pool gets no orders for more engines.
    paused_until: BTreeMap<EnginePool, Timestamp>,
    /// Time of the last removal in each domain.
    removed_at: BTreeMap<SmolStr, Timestamp>,
    /// Whether an earlier leader has planned before. The traffic may then have lasted for longer than
    /// this one has measured it.
    is_restored: bool,
    /// Engines of each pool at the last observation.
    last_present: BTreeMap<EnginePool, u32>,
}

/// Numbers of a domain's engines in a plan.
#[derive(Clone, Copy, Debug)]
struct DomainCount {
    /// Engines of each kind that are there or ordered.
    regular: u32,
    reclaimable: u32,
    /// Engines of both kinds that serve and haven't been ordered to leave.
    serving: u32,
    /// Engines of both kinds that are there, whatever was ordered.
    present: u32,
}

impl CapacityPlanner {
    /// Creates a planner that continues from the state of an earlier leader. How long ago its orders
    /// were accepted isn't known, so their engines have the whole time to boot again.
    pub fn restore(mut state: CapacityState, now: Timestamp) -> Self {
        let mut paused_until = BTreeMap::new();
        for (pool, order) in &mut state.orders {
            order.at = now;
            if order.outcome == OrderOutcome::Refused || order.outcome == OrderOutcome::Lost {
                paused_until.insert(pool.clone(), now + REFUSAL_PAUSE);
            }
        }
        Self { state, paused_until, is_restored: true, ..Self::default() }
    }

    /// Returns the state to store before orders are sent.
    pub fn state(&self) -> &CapacityState {
        &self.state
    }

    /// Returns the load of the last seconds.
    pub fn demand(&self) -> &CapacityDemand {
        &self.demand
    }

    /// Records an order that is about to be sent.
    pub fn begin_order(&mut self, change: &CapacityChange, now: Timestamp) {
        let order = PoolOrder { desired: change.desired, outcome: OrderOutcome::Pending, at: now };
        let old = self.state.orders.insert(change.pool.clone(), order);
        if old.is_some_and(|old| old == (PoolOrder { at: old.at, ..order })) {
            return;
        }
        if change.reason == ChangeReason::Excess {
            self.removed_at.insert(change.pool.domain.clone(), now);
        }
    }

    /// Records what has become of the last order for a pool.
    pub fn record_outcome(&mut self, pool: &EnginePool, outcome: OrderOutcome, now: Timestamp) {
        if let Some(order) = self.state.orders.get_mut(pool) {
            order.outcome = outcome;
            order.at = now;
        }
        if outcome == OrderOutcome::Refused {
            self.paused_until.insert(pool.clone(), now + REFUSAL_PAUSE);
        }
    }

    /// Returns the orders to send, the most useful ones first. It is expected to be called about
    /// once a second.
    pub fn plan(
        &mut self,
        observation: &CapacityObservation,
        spec: &ScalingSpec,
        now: Timestamp,
    ) -> Vec<CapacityChange> {
        self.demand.observe(observation.load, spec.boot, now);
        self.paused_until.retain(|_, until| now < *until);
        self.record_losses(observation, spec, now);
        let round = PlanRound { planner: self, observation, spec, now };
        let targets = round.next_targets();
        self.state.targets = targets;
        let round = PlanRound { planner: self, observation, spec, now };
        let domains = self.state.targets.iter();
        let mut changes: Vec<CapacityChange> =
            domains.flat_map(|(domain, target)| round.domain_changes(domain, *target)).collect();
        changes.extend(round.repeats(&changes));
        changes.sort_by(|a, b| {
            let price = |change: &CapacityChange| round.price(&change.pool);
            let by_price = match a.reason {
                // These save most in the dearest domains.
                ChangeReason::Exchange | ChangeReason::Excess => price(b).total_cmp(&price(a)),
                ChangeReason::Lack | ChangeReason::Repeat => price(a).total_cmp(&price(b)),
            };
            a.reason.cmp(&b.reason).then(by_price)
        });
        changes
    }

    /// Returns the numbers of the engines of all pools.
    pub fn statuses(
        &self,
        observation: &CapacityObservation,
        spec: &ScalingSpec,
        now: Timestamp,
    ) -> BTreeMap<EnginePool, PoolStatus> {
        let round = PlanRound { planner: self, observation, spec, now };
        let status = |pool: &EnginePool| {
            let present = round.count(pool).present();
            let desired = self.state.orders.get(pool).map_or(present, |order| order.desired);
            let booting = round.expected(pool).saturating_sub(present);
            PoolStatus { desired, present, booting }
        };
        let pools = self.state.orders.keys().chain(observation.pools.keys());
        pools.map(|pool| (pool.clone(), status(pool))).collect()
    }

    /// Finds the pools whose engines were reclaimed or didn't come.
    fn record_losses(
        &mut self,
        observation: &CapacityObservation,
        spec: &ScalingSpec,
        now: Timestamp,
    ) {
        let ordered = self.state.orders.keys();
        let pools: BTreeSet<EnginePool> =
            ordered.chain(observation.pools.keys()).cloned().collect();
        for pool in pools {
            let present = observation.pools.get(&pool).copied().unwrap_or_default().present();
            let last = self.last_present.insert(pool.clone(), present).unwrap_or(present);
            let is_reclaimable = pool.kind == EngineKind::Reclaimable;
            let has_dropped = is_reclaimable && present < last && present * 2 <= last;
            let is_lost = match self.state.orders.get_mut(&pool) {
                Some(order) => {
                    let is_late = order.outcome == OrderOutcome::Accepted
                        && now.since(order.at) >= spec.boot + BOOT_MARGIN
                        && f64::from(present) < f64::from(order.desired) * (1.0 - MAX_MISSING);
                    let is_open =
                        matches!(order.outcome, OrderOutcome::Accepted | OrderOutcome::Pending);
                    let is_lost = is_late || (has_dropped && is_open && present < order.desired);
                    if is_lost {
                        order.outcome = OrderOutcome::Lost;
                        order.at = now;
                    }
                    is_lost
                }
                None => has_dropped,
            };
            if is_lost && is_reclaimable {
                self.paused_until.insert(pool, now + REFUSAL_PAUSE);
            }
        }
    }
}

/// The planner's state with the inputs of one round.
#[derive(Clone, Copy)]
struct PlanRound<'a> {
    planner: &'a CapacityPlanner,
    observation: &'a CapacityObservation,
    spec: &'a ScalingSpec,
    now: Timestamp,
}

impl PlanRound<'_> {
    fn count(&self, pool: &EnginePool) -> PoolCount {
        self.observation.pools.get(pool).copied().unwrap_or_default()
    }

    /// Returns the number of engines of a pool that are there or on their way.
    fn expected(&self, pool: &EnginePool) -> u32 {
        let present = self.count(pool).present();
        match self.planner.state.orders.get(pool) {
            Some(order) => match order.outcome {
                OrderOutcome::Pending => order.desired,
                OrderOutcome::Accepted
                    if self.now.since(order.at) < self.spec.boot + BOOT_MARGIN =>
                {
                    order.desired
                }
                OrderOutcome::Accepted | OrderOutcome::Refused | OrderOutcome::Lost => present,
            },
            None => present,
        }
    }

    fn domain_count(&self, domain: &SmolStr) -> DomainCount {
        let regular = EnginePool::new(domain.clone(), EngineKind::Regular);
        let reclaimable = EnginePool::new(domain.clone(), EngineKind::Reclaimable);
        let counts = [&regular, &reclaimable].map(|pool| (self.count(pool), self.expected(pool)));
        let serving = |(count, expected): (PoolCount, u32)| {
            // Engines that were ordered to leave may still look like serving ones.
            count.serving.min(expected)
        };
        DomainCount {
            regular: counts[0].1,
            reclaimable: counts[1].1,
            serving: counts.into_iter().map(serving).sum(),
            present: counts.into_iter().map(|(count, _)| count.present()).sum(),
        }
    }

    fn is_paused(&self, pool: &EnginePool) -> bool {
        self.planner.paused_until.contains_key(pool)
    }

    fn domain_price(&self, domain: &SmolStr) -> f64 {
        self.spec.domain_prices.get(domain).copied().unwrap_or(1.0)
    }

    /// Returns the price of a second of an engine of a pool.
    fn price(&self, pool: &EnginePool) -> f64 {
        let share = match pool.kind {
            EngineKind::Regular => 1.0,
            EngineKind::Reclaimable => self.spec.reclaimable_price.unwrap_or(1.0),
        };
        self.domain_price(&pool.domain) * share
    }

    /// Returns the cost of a further engine in a domain, by which domains are compared. It grows with
    /// the target, so that a cheap domain gets more engines but not all.
    fn weight(&self, domain: &SmolStr, target: u32) -> f64 {
        self.domain_price(domain).powi(2) * f64::from(target)
    }

    /// Returns the smallest number of regular engines of a domain.
    fn regular_floor(&self, target: u32, share: f64) -> u32 {
        let number = (f64::from(target) * share).round() as u32;
        number.max(self.spec.min).max(1).min(target)
    }

    /// Returns the largest number of reclaimable engines of a domain, with which the others serve the
    /// load for which the total is right if these are reclaimed. The load itself doesn't count: during
    /// a burst, the expensive regular engines would be ordered for a reclaim at the same time.
    fn reclaimable_limit(&self, total: u32) -> u32 {
        (f64::from(total) * (1.0 - PREFILL_UTILISATION / RECLAIM_UTILISATION)) as u32
    }

    /// Returns the number of engines that each domain should have.
    fn next_targets(&self) -> BTreeMap<SmolStr, u32> {
        let mut targets = self.planner.state.targets.clone();
        let orders = &self.planner.state.orders;
        for pool in self.observation.pools.keys() {
            let has_orders = orders.keys().any(|ordered| ordered.domain == pool.domain);
            let present = self.domain_count(&pool.domain).present;
            let target = targets.entry(pool.domain.clone()).or_default();
            // Not all engines may have been there at the first look.
            if !has_orders {
                *target = present.max(*target);
            }
        }
        for target in targets.values_mut() {
            *target = (*target).clamp(self.spec.min, self.spec.max.max(self.spec.min));
        }
        self.move_paused(&mut targets);
        self.restore_lost(&mut targets);
        self.follow_need(&mut targets);
        targets
    }

    /// Moves what paused domains lack to others.
    fn move_paused(&self, targets: &mut BTreeMap<SmolStr, u32>) {
        if self.spec.reclaimable_price.is_none() {
            return;
        }
        let lacking: Vec<(SmolStr, u32)> = targets
            .iter()
            .filter(|(domain, _)| {
                self.is_paused(&EnginePool::new((*domain).clone(), EngineKind::Reclaimable))
            })
            .map(|(domain, target)| {
                let count = self.domain_count(domain);
                let expected = count.regular + count.reclaimable;
                (domain.clone(), target.saturating_sub(expected.max(self.spec.min)))
            })
            .collect();
        for (domain, lack) in lacking {
            for _ in 0..lack {
                let total = targets.values().sum();
                let Some(other) = self.cheapest(targets, total, true) else {
                    return;
                };
                *targets.entry(other).or_default() += 1;
                *targets.entry(domain.clone()).or_default() -= 1;
            }
        }
    }

    /// Raises the targets of domains whose reclaimable engines were lost, once they may be ordered there
    /// again. Traffic comes from there, too.
    fn restore_lost(&self, targets: &mut BTreeMap<SmolStr, u32>) {
        let mean = f64::from(targets.values().sum::<u32>()) / targets.len().max(1) as f64;
        let least = ((mean * TARGET_BOUNDS.0).ceil() as u32).min(self.spec.max);
        for (domain, target) in targets {
            let pool = EnginePool::new(domain.clone(), EngineKind::Reclaimable);
            let order = self.planner.state.orders.get(&pool);
            let is_lost = order.is_some_and(|order| order.outcome == OrderOutcome::Lost);
            if is_lost && !self.is_paused(&pool) {
                *target = least.max(*target);
            }
        }
    }

    /// Raises the targets at once to what the load needs, and lowers them to what it has needed for
    /// some time.
    fn follow_need(&self, targets: &mut BTreeMap<SmolStr, u32>) {
        let demand = &self.planner.demand;
        let Some(need) = demand.need() else {
            return;
        };
        let mut total: u32 = targets.values().sum();
        let lack = need - f64::from(total);
        if lack > 0.0 && lack >= f64::from(total) * MIN_LACK {
            let planned = need.ceil() as u32;
            while total < planned {
                let reclaimable = self.cheapest(targets, planned, true);
                let domain = reclaimable.or_else(|| self.cheapest(targets, planned, false));
                let Some(domain) = domain else {
                    return;
                };
                *targets.entry(domain).or_default() += 1;
                total += 1;
            }
            return;
        }
        let Some(lasting) = demand.lasting_need(self.now) else {
            return;
        };
        if demand.is_ramping() || f64::from(total) <= lasting * (1.0 + MIN_EXCESS) {
            return;
        }
        let mut left: BTreeMap<SmolStr, u32> = targets
            .iter()
            .map(|(domain, target)| (domain.clone(), self.removable(domain, *target)))
            .collect();
        while f64::from(total) - 1.0 >= lasting {
            let mean = f64::from(total) / targets.len() as f64;
            let least = ((mean * TARGET_BOUNDS.0).ceil() as u32).max(self.spec.min);
            let dearest = targets
                .iter()
                .filter(|(domain, target)| left[*domain] > 0 && **target > least)
                .max_by(|a, b| self.weight(a.0, *a.1).total_cmp(&self.weight(b.0, *b.1)));
            let Some((domain, _)) = dearest else {
                return;
            };
            let domain = domain.clone();
            left.entry(domain.clone()).and_modify(|left| *left -= 1);
            targets.entry(domain).and_modify(|target| *target -= 1);
            total -= 1;
        }
    }

    /// Returns how many engines of a domain may be removed now.
    fn removable(&self, domain: &SmolStr, target: u32) -> u32 {
        let is_recent = |at: &Timestamp| self.now.since(*at) < REMOVAL_INTERVAL;
        if self.planner.removed_at.get(domain).is_some_and(is_recent) {
            return 0;
        }
        ((f64::from(target) * REMOVAL_SHARE) as u32).max(1)
    }

    /// Returns the domain in which a further engine costs least, if any has room. `total` is the planned
    /// number of engines of all domains.
    fn cheapest(
        &self,
        targets: &BTreeMap<SmolStr, u32>,
        total: u32,
        is_reclaimable: bool,
    ) -> Option<SmolStr> {
        let kind = if is_reclaimable { EngineKind::Reclaimable } else { EngineKind::Regular };
        if is_reclaimable && self.spec.reclaimable_price.is_none() {
            return None;
        }
        let most = (f64::from(total) / targets.len() as f64 * TARGET_BOUNDS.1).ceil() as u32;
        let limit = self.reclaimable_limit(total);
        let has_room = |domain: &SmolStr, target: u32| {
            let next = target + 1;
            let fits = next <= most.min(self.spec.max)
                && !self.is_paused(&EnginePool::new(domain.clone(), kind));
            fits && (!is_reclaimable || next - self.regular_floor(next, REGULAR_SHARE) <= limit)
        };
        let domains = targets.iter().filter(|(domain, target)| has_room(domain, **target));
        let weight = |domain, target| self.weight(domain, target + 1);
        domains
            .min_by(|a, b| weight(a.0, *a.1).total_cmp(&weight(b.0, *b.1)))
            .map(|(domain, _)| domain.clone())
    }

    /// Returns the changes with which a domain approaches its target.
    fn domain_changes(&self, domain: &SmolStr, target: u32) -> Vec<CapacityChange> {
        let count = self.domain_count(domain);
        let regular = EnginePool::new(domain.clone(), EngineKind::Regular);
        let reclaimable = EnginePool::new(domain.clone(), EngineKind::Reclaimable);
        let total = self.planner.state.targets.values().sum();
        let least = self.regular_floor(target, LEAST_REGULAR_SHARE).max(count.regular);
        let floor = self.regular_floor(target, REGULAR_SHARE).min(least);
        let mut wanted = if self.spec.reclaimable_price.is_some() {
            (target - floor).min(self.reclaimable_limit(total).max(count.reclaimable))
        } else {
            0
        };
        if self.is_paused(&reclaimable) {
            wanted = wanted.min(count.reclaimable);
        }
        let wanted_regular = target - wanted;
        let lack = target.saturating_sub(count.regular + count.reclaimable);
        // Engines make room only once they leave: an order to remove them may not have arrived.
        let most = |pool: &EnginePool, other: &EnginePool, raised: u32| {
            let taken = self.expected(other).max(self.count(other).present()) + raised;
            self.spec.max.saturating_sub(taken).max(self.expected(pool))
        };
        let room = most(&reclaimable, &regular, 0);
        let may_exchange = self.may_exchange(count.regular.saturating_sub(wanted_regular), target);
        let mut changes = Vec::new();
        let mut push = |pool: &EnginePool, desired, reason| {
            changes.push(CapacityChange { pool: pool.clone(), desired, reason });
        };
        let mut raised = 0;
        if count.reclaimable < wanted {
            let missing = wanted - count.reclaimable;
            let number = if may_exchange { missing } else { missing.min(lack) };
            let desired = (count.reclaimable + number).min(room);
            if desired > count.reclaimable {
                raised = desired - count.reclaimable;
                let reason = if lack > 0 { ChangeReason::Lack } else { ChangeReason::Exchange };
                push(&reclaimable, desired, reason);
            }
        }
        let missing = lack.saturating_sub(raised);
        let desired = (count.regular + missing).min(most(&regular, &reclaimable, raised));
        if desired > count.regular && !self.is_paused(&regular) {
            push(&regular, desired, ChangeReason::Lack);
        }
        if lack == 0 {
            let excess = count.serving.saturating_sub(target);
            let limit = if self.is_early() { excess } else { self.traffic_limit(domain, excess) };
            let fewer_regular = count.regular.saturating_sub(wanted_regular).min(limit);
            if fewer_regular > 0 {
                push(&regular, count.regular - fewer_regular, ChangeReason::Excess);
            }
            let surplus = (count.regular + count.reclaimable).saturating_sub(target);
            let limit = (limit - fewer_regular).min(surplus - fewer_regular.min(surplus));
            let fewer = count.reclaimable.saturating_sub(wanted).min(limit);
            if fewer > 0 {
                push(&reclaimable, count.reclaimable - fewer, ChangeReason::Excess);
            }
        }
        changes
    }

    /// Returns whether engines may be removed without much loss of caches.
    fn is_early(&self) -> bool {
        match self.planner.demand.loaded_for(self.now) {
            Some(elapsed) => !self.planner.is_restored && elapsed < EARLY_TRAFFIC,
            None => true,
        }
    }

    /// Returns how many engines of a domain with an excess may be removed during traffic.
    fn traffic_limit(&self, domain: &SmolStr, excess: u32) -> u32 {
        if self.planner.demand.is_ramping() {
            return 0;
        }
        excess.min(self.removable(domain, self.domain_count(domain).present))
    }

    /// Returns whether reclaimable engines are to replace so many regular ones of a domain.
    fn may_exchange(&self, regular: u32, target: u32) -> bool {
        self.is_early() || f64::from(regular) > f64::from(target) * MIN_EXCHANGE_SHARE
    }

    /// Returns the orders that aren't known to be accepted and that no change replaces.
    fn repeats(&self, changes: &[CapacityChange]) -> Vec<CapacityChange> {
        let orders = self.planner.state.orders.iter();
        let pending = orders.filter(|(pool, order)| {
            order.outcome == OrderOutcome::Pending
                && !changes.iter().any(|change| change.pool == **pool)
        });
        let repeat = |(pool, order): (&EnginePool, &PoolOrder)| CapacityChange {
            pool: pool.clone(),
            desired: order.desired,
            reason: ChangeReason::Repeat,
        };
        pending.map(repeat).collect()
    }
}
