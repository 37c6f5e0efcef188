//! How many engines are ordered, on a simulated platform that boots, reclaims and refuses engines.

use std::{collections::BTreeMap, time::Duration};

use gooseberry_core::{
    serving::{
        capacity::{
            CapacityChange, CapacityObservation, CapacityPlanner, ChangeReason, EngineKind,
            EnginePool, OrderOutcome, PoolCount,
        },
        capacity_demand::LoadSample,
        configuration::ScalingSpec,
    },
    time::Timestamp,
};

const BOOT: Duration = Duration::from_secs(4);
const ROUND_MS: u64 = 1200;
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Time constant of the average in which prefill loads are measured, in seconds.
const LOAD_AVERAGE_S: f64 = 2.0;

fn pool(domain: &str, kind: EngineKind) -> EnginePool {
    EnginePool::new(domain.into(), kind)
}

fn regular(domain: &str) -> EnginePool {
    pool(domain, EngineKind::Regular)
}

fn reclaimable(domain: &str) -> EnginePool {
    pool(domain, EngineKind::Reclaimable)
}

fn spec() -> ScalingSpec {
    ScalingSpec {
        min: 2,
        max: 30,
        boot: BOOT,
        reclaimable_price: Some(0.18),
        domain_prices: BTreeMap::new(),
    }
}

/// How the platform's API responds.
#[derive(Clone, Copy, PartialEq)]
enum Api {
    Accepting,
    Unresponsive,
    /// Has no reclaimable engines in a domain.
    NoneIn(&'static str),
    /// Accepts so many calls in a round.
    Limited(usize),
}

struct World {
    spec: ScalingSpec,
    planner: CapacityPlanner,
    api: Api,
    /// Engines that are there, by pool.
    serving: BTreeMap<EnginePool, u32>,
    /// Engines that boot, with the time at which they serve.
    booting: Vec<(EnginePool, u32, u64)>,
    busy: f64,
    average: f64,
    now_ms: u64,
    /// Orders that reached the platform, with their time.
    orders: Vec<(u64, CapacityChange)>,
    /// Price of all engines so far.
    price: f64,
}

impl World {
    /// Starts 15 regular engines in each of 6 domains, without traffic.
    fn new(spec: ScalingSpec) -> Self {
        Self {
            spec,
            planner: CapacityPlanner::default(),
            api: Api::Accepting,
            serving: DOMAINS.iter().map(|domain| (regular(domain), 15)).collect(),
            booting: Vec::new(),
            busy: 0.0,
            average: 0.0,
            now_ms: 6000,
            orders: Vec::new(),
            price: 0.0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(1_000_000 + self.now_ms)
    }

    fn count(&self, pool: &EnginePool) -> u32 {
        self.serving.get(pool).copied().unwrap_or_default()
    }

    fn total(&self) -> u32 {
        self.serving.values().sum()
    }

    fn domain_total(&self, domain: &str) -> u32 {
        self.count(&regular(domain)) + self.count(&reclaimable(domain))
    }

    fn observation(&self) -> CapacityObservation {
        let count = |serving: &u32| PoolCount { serving: *serving, offline: 0, leaving: 0 };
        CapacityObservation {
            load: LoadSample {
                prefill_engines: self.average,
                decode_engines: self.busy * 0.1,
                waiting_s: 0.0,
            },
            pools: self
                .serving
                .iter()
                .map(|(pool, serving)| (pool.clone(), count(serving)))
                .collect(),
        }
    }

    /// Plays one round and returns its changes.
    fn round(&mut self) -> Vec<CapacityChange> {
        let kept = (-(ROUND_MS as f64) / 1000.0 / LOAD_AVERAGE_S).exp();
        self.average = self.average * kept + self.busy * (1.0 - kept);
        self.now_ms += ROUND_MS;
        self.price += ROUND_MS as f64 / 1000.0 * self.price_per_s();
        let ready_ms = self.now_ms;
        for (pool, number, at) in &self.booting {
            if *at <= ready_ms {
                *self.serving.entry(pool.clone()).or_default() += number;
            }
        }
        self.booting.retain(|(.., at)| *at > ready_ms);
        let now = self.now();
        let changes = self.planner.plan(&self.observation(), &self.spec, now);
        for (index, change) in changes.iter().enumerate() {
            self.planner.begin_order(change, now);
            let outcome = match self.api {
                Api::Unresponsive => OrderOutcome::Pending,
                Api::Limited(calls) if index >= calls => OrderOutcome::Pending,
                Api::NoneIn(domain) if change.pool == reclaimable(domain) => OrderOutcome::Refused,
                Api::Accepting | Api::NoneIn(_) | Api::Limited(_) => OrderOutcome::Accepted,
            };
            if outcome == OrderOutcome::Accepted {
                self.carry_out(change);
            }
            self.planner.record_outcome(&change.pool, outcome, now);
            if self.api == Api::Unresponsive {
                break;
            }
        }
        changes
    }

    fn price_per_s(&self) -> f64 {
        let price = |(pool, number): (&EnginePool, &u32)| {
            let share = if pool.kind == EngineKind::Regular { 1.0 } else { 0.18 };
            let domain = self.spec.domain_prices.get(&pool.domain).copied().unwrap_or(1.0);
            f64::from(*number) * share * domain
        };
        self.serving.iter().map(price).sum()
    }

    fn carry_out(&mut self, change: &CapacityChange) {
        let pool = &change.pool;
        self.orders.push((self.now_ms, change.clone()));
        let ordered: u32 = self.booting.iter().filter(|row| row.0 == *pool).map(|row| row.1).sum();
        let there = self.count(pool);
        if change.desired > there + ordered {
            let ready_ms = self.now_ms + BOOT.as_millis() as u64;
            self.booting.push((pool.clone(), change.desired - there - ordered, ready_ms));
        } else {
            self.booting.retain(|row| row.0 != *pool);
            self.serving.insert(pool.clone(), change.desired.min(there));
        }
    }

    /// Plays rounds until a time of the day, checking what holds in each of them.
    fn play_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            for change in self.round() {
                let other = match change.pool.kind {
                    EngineKind::Regular => EngineKind::Reclaimable,
                    EngineKind::Reclaimable => EngineKind::Regular,
                };
                let other = self.count(&pool(&change.pool.domain, other));
                let total = change.desired + other;
                assert!(total <= self.spec.max, "{change:?} makes {total} engines");
                assert!(total >= self.spec.min, "{change:?} leaves {total} engines");
            }
        }
    }

    /// Plays a day up to the traffic's full load, which 90 engines serve at the target utilisation.
    fn morning() -> Self {
        let mut world = Self::new(spec());
        world.play_until(14_000);
        world.busy = 36.0;
        world.play_until(20_000);
        world
    }

    fn reclaim(&mut self, domain: &str) {
        self.serving.insert(reclaimable(domain), 0);
    }
}

/// Guards against regular engines that are paid all day, and against a gap in the exchange: the number
/// of serving engines never falls.
#[test]
fn engines_are_exchanged_before_traffic() {
    let mut world = World::new(spec());
    while world.now_ms < 14_000 {
        world.round();
        assert!(world.total() >= 90, "{} engines at {}", world.total(), world.now_ms);
    }
    assert_eq!(world.total(), 90);
    for domain in DOMAINS {
        assert_eq!(world.count(&regular(domain)), 3);
        assert_eq!(world.count(&reclaimable(domain)), 12);
    }
    let first = world.orders.iter().filter(|(at, _)| *at == 7200).count();
    assert_eq!(first, 6, "the first round orders in all domains");
    let price = world.price;
    world.busy = 36.0;
    world.play_until(56_000);
    let share = (world.price - price) / (90.0 * 42.0);
    assert!(share < 0.5, "traffic costs {share} of what 90 regular engines cost");
}

/// Guards against an exchange beyond the limit of a domain, which the platform would refuse.
#[test]
fn a_domain_without_room_is_exchanged_in_steps() {
    let mut world = World::new(ScalingSpec { max: 20, ..spec() });
    world.play_until(40_000);
    assert_eq!(world.total(), 90);
    assert_eq!(world.count(&regular("a")), 3);
}

/// Guards against reclaimable engines in a service that has none, and against orders without reason.
#[test]
fn a_service_without_reclaimable_engines_is_left_alone_before_traffic() {
    let mut world = World::new(ScalingSpec { reclaimable_price: None, ..spec() });
    world.play_until(14_000);
    assert_eq!(world.orders, []);
}

/// Guards against engines that come too late for the morning, and against removals meanwhile.
#[test]
fn engines_are_there_when_the_morning_needs_them() {
    let mut world = World::morning();
    let mut lowest = f64::INFINITY;
    while world.now_ms < 40_000 {
        // The load doubles within 20 s.
        world.busy = 36.0 * (1.0 + (world.now_ms as f64 - 20_000.0) / 20_000.0);
        world.play_until(world.now_ms + 1);
        lowest = lowest.min(f64::from(world.total()) / world.busy);
    }
    // At a utilisation of 0.7 a burst would still find room.
    assert!(lowest > 1.0 / 0.7, "{lowest} engines for each busy one");
    let removals = world
        .orders
        .iter()
        .filter(|(at, change)| *at > 21_000 && change.reason == ChangeReason::Excess);
    assert_eq!(removals.count(), 0);
}

/// Guards against a burst that leaves fewer engines than it needs, or more than that for long, and against
/// regular engines for it, which cost five times as much.
#[test]
fn a_burst_is_served_and_forgotten() {
    let mut world = World::morning();
    let before = world.total();
    world.busy = 36.0 * 1.9;
    world.play_until(30_000);
    let most = f64::from(world.total());
    assert!(world.busy / most < 0.65, "{most} engines");
    assert!(DOMAINS.iter().all(|domain| world.count(&regular(domain)) == 3));
    world.busy = 36.0;
    world.play_until(80_000);
    let after = f64::from(world.total());
    assert!(after < f64::from(before) * 1.15, "{after} engines after {before}");
    assert!(world.busy * 1.1 / after < 0.5);
}

/// Guards against a lasting lack after a reclaim, and against orders for engines that the platform has
/// just taken back.
#[test]
fn a_reclaimed_domain_is_replaced_elsewhere() {
    let mut world = World::morning();
    let before = world.total();
    world.reclaim("c");
    let reclaimed_ms = world.now_ms;
    world.play_until(reclaimed_ms + 7500);
    assert!(world.total() >= before, "{} engines after {before}", world.total());
    assert!(world.count(&regular("c")) >= 3, "a core is left in the domain");
    let early = world.orders.iter().filter(|(at, change)| {
        change.pool == reclaimable("c") && (reclaimed_ms..reclaimed_ms + 10_000).contains(at)
    });
    assert_eq!(early.count(), 0);
    world.play_until(reclaimed_ms + 30_000);
    let mean = world.total() / 6;
    assert!(world.domain_total("c") * 2 >= mean, "the domain has a share again");
}

/// Guards against a fleet most of which one reclaim takes away.
#[test]
fn a_single_domain_keeps_enough_regular_engines() {
    let mut world = World::new(spec());
    world.serving.retain(|pool, _| *pool == regular("a"));
    world.play_until(14_000);
    world.busy = 6.0;
    world.play_until(20_000);
    assert!(world.busy / f64::from(world.count(&regular("a"))) < 0.75);
}

/// Guards against forgotten or doubled orders after an outage of the API.
#[test]
fn orders_are_repeated_until_the_api_responds() {
    let mut world = World::new(spec());
    world.api = Api::Unresponsive;
    world.play_until(16_000);
    assert_eq!(world.total(), 90);
    let repeated = world.planner.plan(&world.observation(), &world.spec, world.now());
    let pending = world.planner.state().orders.len();
    assert!(pending > 0);
    let mut pools: Vec<&EnginePool> = repeated.iter().map(|change| &change.pool).collect();
    pools.dedup();
    assert_eq!(pools.len(), repeated.len(), "one order for a pool: {repeated:?}");
    world.api = Api::Accepting;
    world.play_until(30_000);
    assert_eq!(world.total(), 90);
    assert_eq!(world.count(&reclaimable("a")), 12);
    assert_eq!(world.count(&regular("a")), 3);
}

/// Guards against a fleet that moves to the cheapest domain, and one that ignores prices.
#[test]
fn cheap_domains_get_more_engines_but_not_all() {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    let domain_prices = prices.map(|(domain, price)| (domain.into(), price)).into();
    let mut world = World::new(ScalingSpec { domain_prices, ..spec() });
    world.play_until(14_000);
    world.busy = 55.0;
    world.play_until(30_000);
    let (cheap, dear) = (world.domain_total("b"), world.domain_total("c"));
    assert!(cheap > dear + 5, "{cheap} engines in the cheapest domain, {dear} in the dearest");
    assert!(cheap <= 2 * world.total() / 6);
    assert!(dear >= 15);
}

/// Guards against repeated orders for engines that a domain doesn't have, and against the removal of
/// engines that nothing replaces.
#[test]
fn a_domain_without_reclaimable_engines_keeps_its_own() {
    let mut world = World::new(spec());
    world.api = Api::NoneIn("b");
    let mut refused = 0;
    while world.now_ms < 14_000 {
        refused += world.round().iter().filter(|change| change.pool == reclaimable("b")).count();
    }
    assert_eq!(refused, 1);
    assert_eq!(world.count(&regular("b")), 15);
    assert_eq!(world.count(&regular("a")), 3);
}

/// Guards against orders that are lost because the API takes only some calls a second.
#[test]
fn orders_above_the_rate_of_the_api_are_sent_later() {
    let mut world = World::new(spec());
    world.api = Api::Limited(2);
    world.play_until(24_000);
    assert_eq!(world.total(), 90);
    assert!(DOMAINS.iter().all(|domain| world.count(&regular(domain)) == 3));
}

/// Guards against a new leader that starts from the present number, of which a part has just been
/// ordered, or that forgets an order which the old one had stored.
#[test]
fn a_new_leader_continues_from_the_stored_state() {
    let mut world = World::new(spec());
    world.round();
    let change =
        CapacityChange { pool: reclaimable("a"), desired: 12, reason: ChangeReason::Exchange };
    // The old leader ended between the store and the call of the last of its orders.
    world.booting.retain(|row| row.0 != change.pool);
    world.planner.begin_order(&change, world.now());
    world.planner = CapacityPlanner::restore(world.planner.state().clone(), world.now());
    let changes = world.round();
    let repeat = CapacityChange { reason: ChangeReason::Repeat, ..change };
    assert_eq!(changes, [repeat]);
    world.play_until(20_000);
    assert_eq!(world.total(), 90);
    assert_eq!(world.count(&reclaimable("a")), 12);
}

/// Guards against engines that are ordered and removed with each wave: each removal costs their caches.
#[test]
fn waves_change_nothing() {
    let mut world = World::morning();
    let play = |world: &mut World, end_ms: u64| {
        while world.now_ms < end_ms {
            let phase = world.now_ms as f64 / 11_000.0 * std::f64::consts::TAU;
            world.busy = 36.0 * (1.0 + 0.3 * phase.sin());
            world.play_until(world.now_ms + 1);
        }
    };
    play(&mut world, 45_000);
    let orders = world.orders.len();
    let total = world.total();
    play(&mut world, 120_000);
    let later = &world.orders[orders..];
    assert!(later.is_empty(), "{later:?}");
    assert_eq!(world.total(), total);
}

/// Guards against engines that are kept for a load that has ended, and against their removal at once.
#[test]
fn a_lower_load_removes_engines_in_steps() {
    let mut world = World::morning();
    world.busy = 15.0;
    let mut last = world.total();
    while world.now_ms < 70_000 {
        world.play_until(world.now_ms + 1);
        let total = world.total();
        assert!(f64::from(total) >= f64::from(last) * 0.74, "{total} engines after {last}");
        assert!(world.now_ms >= 29_000 || total == last, "removed at {}", world.now_ms);
        last = total;
    }
    let utilisation = world.busy * 1.1 / f64::from(last);
    assert!((0.38..0.55).contains(&utilisation), "{last} engines");
}

/// Guards against engines that count as serving while they change their stage: the regular ones would be
/// removed without a replacement.
#[test]
fn engines_in_a_stage_change_replace_none() {
    let mut world = World::new(spec());
    world.play_until(11_000);
    let mut planner = world.planner.clone();
    let mut observation = world.observation();
    for domain in DOMAINS {
        let count = PoolCount { serving: 8, offline: 4, leaving: 0 };
        observation.pools.insert(reclaimable(domain), count);
        observation.pools.insert(regular(domain), PoolCount { serving: 15, ..count });
    }
    for change in planner.plan(&observation, &world.spec, world.now() + Duration::from_millis(1200))
    {
        if change.pool.kind == EngineKind::Regular {
            assert!(change.desired >= 7, "{change:?}");
        }
    }
}

/// Guards against orders above the limit of a domain: regular engines may still be there although they
/// were ordered to leave.
#[test]
fn orders_without_a_response_make_no_room() {
    let mut world = World::new(spec());
    world.play_until(9_000);
    world.api = Api::Unresponsive;
    world.play_until(14_000);
    world.busy = 50.0;
    // Each round checks that no order exceeds the limit.
    world.play_until(20_000);
    world.api = Api::Accepting;
    world.play_until(40_000);
    assert!(world.busy * 1.1 / f64::from(world.total()) < 0.5);
}
