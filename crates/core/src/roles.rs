//! Decides which engine changes its role, and when a change is worth its cost.
//!
//! Decisions are based on the demand that the daemons measure themselves. The load
//! that engines report is only used to choose among engines of one role, so a late or
//! wrong report causes a longer drain at worst.

pub mod demand;
pub mod utility;

use std::{collections::BTreeMap, time::Duration};

use crate::{
    arena::{DomainKey, EngineKey, ModelKey},
    fleet::{EngineRole, ObjectiveWeight},
    roles::{
        demand::DemandEstimator,
        utility::{PhaseCosts, RoleSplit, StepTiming, TokenDemand},
    },
    time::Timestamp,
};

/// Target roles in the order in which they are tried. Mixed comes first, because a
/// mixed engine serves both phases while other engines change.
const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
/// Weight of the short window in a forecast; the long window has the rest.
const SHORT_WEIGHT: f64 = 0.7;
/// Weight of the short window if role changes are weighted above goodput; the kept
/// samples have the rest.
const CAUTIOUS_SHORT_WEIGHT: f64 = 0.3;
/// Relative difference up to which two utilities count as equal.
const EQUAL_UTILITY: f64 = 0.001;

/// Holds the input of a role decision for one engine.
#[derive(Clone, Copy, Debug)]
pub struct RoleView {
    pub engine: EngineKey,
    pub domain: DomainKey,
    pub model: ModelKey,
    pub role: EngineRole,
    /// Whether the engine accepts new requests.
    pub accepting: bool,
    /// Whether an order for the engine is pending.
    pub has_pending_order: bool,
    pub running: u32,
    pub queued: u32,
    pub backlog_tokens: u64,
}

/// Sums the demand for one model over the daemons of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct ModelDemand {
    pub model: ModelKey,
    /// Uncached prompt tokens that arrive per second.
    pub prompt_tokens_per_second: f64,
    /// Output tokens that are requested per second.
    pub output_tokens_per_second: f64,
}

/// States how roles are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RolePolicy {
    /// Roles stay as configured.
    Static,
    /// Every change that serves more of the current demand is made.
    Greedy,
    /// A role changes only if the expected gain exceeds the cost of the change.
    Adaptive,
}

/// Holds the settings of role decisions.
#[derive(Clone, Copy, Debug)]
pub struct RoleSettings {
    pub policy: RolePolicy,
    pub weight: ObjectiveWeight,
    /// Time for which an engine is offline during a change.
    pub change_time: Duration,
    /// Time that a prefill engine takes to drain before a change.
    pub prefill_drain: Duration,
    /// Time that a decode or mixed engine takes to drain before a change.
    pub decode_drain: Duration,
    /// Expected duration of a shift in the demand.
    pub expected_shift: Duration,
    /// Engine time per token of each phase.
    pub costs: PhaseCosts,
}

impl RoleSettings {
    /// Creates settings with the default drain times, shift duration and costs.
    pub fn new(policy: RolePolicy, weight: ObjectiveWeight, change_time: Duration) -> Self {
        Self {
            policy,
            weight,
            change_time,
            prefill_drain: Duration::from_secs(3),
            decode_drain: Duration::from_secs(30),
            expected_shift: Duration::from_secs(60),
            costs: PhaseCosts::from_step(&StepTiming::default()),
        }
    }

    /// Returns the factor by which the gain must exceed the cost of a change.
    fn cost_factor(&self) -> f64 {
        match self.weight {
            ObjectiveWeight::Goodput => 1.2,
            ObjectiveWeight::RoleChanges => 4.0,
        }
    }

    /// Returns the minimum gain, as a fraction of the requested output.
    fn min_gain(&self) -> f64 {
        match self.weight {
            ObjectiveWeight::Goodput => 0.03,
            ObjectiveWeight::RoleChanges => 0.08,
        }
    }

    /// Returns the minimum time between two changes of one model in one domain.
    pub fn cooldown(&self) -> Duration {
        match self.weight {
            ObjectiveWeight::Goodput => Duration::from_secs(5),
            ObjectiveWeight::RoleChanges => Duration::from_secs(60),
        }
    }
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self::new(RolePolicy::Adaptive, ObjectiveWeight::Goodput, Duration::from_secs(3))
    }
}

/// Describes a role change to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleChange {
    pub engine: EngineKey,
    pub role: EngineRole,
}

/// Plans role changes, one at a time.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    estimators: BTreeMap<ModelKey, DemandEstimator>,
    changed_at: BTreeMap<GroupKey, Timestamp>,
}

/// Identifies the engines of one model in one failure domain.
type GroupKey = (DomainKey, ModelKey);

/// Holds the engines of a group that accept requests and have no pending order.
struct EngineGroup<'a> {
    engines: Vec<&'a RoleView>,
    split: RoleSplit,
    /// Whether an order for one of the group's engines is pending.
    has_pending_order: bool,
}

/// Holds demands with their weights, which sum to 1.
type WeightedDemand = Vec<(f64, TokenDemand)>;

impl RolePlanner {
    /// Creates a planner without any demand.
    pub fn new(settings: RoleSettings) -> Self {
        Self { settings, estimators: BTreeMap::new(), changed_at: BTreeMap::new() }
    }

    /// Returns the change to make now, if there is one.
    pub fn plan(
        &mut self,
        now: Timestamp,
        demand: &[ModelDemand],
        engines: &[RoleView],
    ) -> Option<RoleChange> {
        for row in demand {
            self.estimators.entry(row.model).or_default().observe(now, row.tokens());
        }
        let groups = group(engines);
        let (key, change) = groups.iter().find_map(|(key, group)| {
            let change = match self.settings.policy {
                RolePolicy::Static => None,
                RolePolicy::Greedy => self.plan_greedy(key.1, demand, group),
                RolePolicy::Adaptive => self.plan_adaptive(now, *key, group),
            };
            change.map(|change| (*key, change))
        })?;
        self.changed_at.insert(key, now);
        Some(change)
    }

    /// Returns the change that serves most of the current demand.
    fn plan_greedy(
        &self,
        model: ModelKey,
        demand: &[ModelDemand],
        group: &EngineGroup<'_>,
    ) -> Option<RoleChange> {
        let demand = demand.iter().find(|row| row.model == model)?;
        let forecast = vec![(1.0, demand.tokens())];
        let mut best = (self.utility(group.split, &forecast), None);
        for (from, to) in group.safe_changes() {
            let split = group.split.changed(from, to);
            let value = self.utility(split, &forecast);
            if split.can_hand_off() && value > best.0 * (1.0 + EQUAL_UTILITY) {
                best = (value, Some((from, to)));
            }
        }
        let (from, to) = best.1?;
        group.choose_engine(from, to)
    }

    /// Returns the first change towards the best split, if all changes towards it together
    /// are worth their cost.
    fn plan_adaptive(
        &self,
        now: Timestamp,
        key: GroupKey,
        group: &EngineGroup<'_>,
    ) -> Option<RoleChange> {
        let in_cooldown =
            self.changed_at.get(&key).is_some_and(|at| now.since(*at) < self.settings.cooldown());
        if group.has_pending_order || in_cooldown {
            return None;
        }
        let estimator =
            self.estimators.get(&key.1).filter(|estimator| estimator.has_enough_data())?;
        let forecast = self.forecast(estimator);
        let target = self.best_split(group.split, &forecast)?;
        if !self.is_worthwhile(group.split, target, &forecast) {
            return None;
        }
        let (from, to) = group.step_towards(target)?;
        group.choose_engine(from, to)
    }

    /// Returns the weighted demand to plan for.
    fn forecast(&self, estimator: &DemandEstimator) -> WeightedDemand {
        match self.settings.weight {
            ObjectiveWeight::Goodput => {
                vec![(SHORT_WEIGHT, estimator.short()), (1.0 - SHORT_WEIGHT, estimator.long())]
            }
            ObjectiveWeight::RoleChanges => {
                let weight =
                    (1.0 - CAUTIOUS_SHORT_WEIGHT) / estimator.samples().len().max(1) as f64;
                let samples = estimator.samples().map(|sample| (weight, sample));
                samples.chain([(CAUTIOUS_SHORT_WEIGHT, estimator.short())]).collect()
            }
        }
    }

    fn utility(&self, split: RoleSplit, forecast: &WeightedDemand) -> f64 {
        let costs = &self.settings.costs;
        forecast.iter().map(|(weight, demand)| weight * split.utility(*demand, costs)).sum()
    }

    /// Returns the split with the greatest utility, and of equal ones the closest.
    fn best_split(&self, split: RoleSplit, forecast: &WeightedDemand) -> Option<RoleSplit> {
        let engines = split.prefill + split.mixed + split.decode;
        let mut best: Option<(f64, RoleSplit)> = None;
        for candidate in RoleSplit::all(engines).filter(RoleSplit::can_hand_off) {
            let value = self.utility(candidate, forecast);
            let better = best.is_none_or(|(best_value, chosen)| {
                let closer = candidate.distance(&split) < chosen.distance(&split);
                value > best_value * (1.0 + EQUAL_UTILITY)
                    || (value >= best_value * (1.0 - EQUAL_UTILITY) && closer)
            });
            if better {
                best = Some((value, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Tells whether the gain over the expected duration of the shift exceeds the output
    /// that the changes lose.
    fn is_worthwhile(
        &self,
        split: RoleSplit,
        target: RoleSplit,
        forecast: &WeightedDemand,
    ) -> bool {
        let requested_output: f64 =
            forecast.iter().map(|(weight, demand)| weight * demand.output).sum();
        let current_utility = self.utility(split, forecast);
        let gain = self.utility(target, forecast) - current_utility;
        if gain <= requested_output * self.settings.min_gain() {
            return false;
        }
        let total_time = self.lost_time(split, target);
        let useful_time = self.settings.expected_shift.saturating_sub(total_time);
        let engines = f64::from(split.prefill + split.mixed + split.decode);
        let lost_output = current_utility / engines * total_time.as_secs_f64();
        gain * useful_time.as_secs_f64() > lost_output * self.settings.cost_factor()
    }

    /// Returns the engine time that the changes to a split take.
    fn lost_time(&self, split: RoleSplit, target: RoleSplit) -> Duration {
        let prefill = split.prefill.saturating_sub(target.prefill);
        let others = split.distance(&target) - prefill;
        // A draining engine still works on its requests, so half of its time is lost.
        let drain_time =
            self.settings.prefill_drain * prefill + self.settings.decode_drain * others;
        self.settings.change_time * (prefill + others) + drain_time / 2
    }
}

impl ModelDemand {
    fn tokens(&self) -> TokenDemand {
        TokenDemand {
            prompt: self.prompt_tokens_per_second.max(0.0),
            output: self.output_tokens_per_second.max(0.0),
        }
    }
}

impl EngineGroup<'_> {
    /// Returns the changes after which both phases are served while the engine is offline.
    fn safe_changes(&self) -> impl Iterator<Item = (EngineRole, EngineRole)> + '_ {
        let from = ROLES.into_iter().filter(|role| self.split.count(*role) > 0);
        from.filter(|role| self.split.without(*role).serves_both_phases())
            .flat_map(|from| ROLES.into_iter().map(move |to| (from, to)))
            .filter(|(from, to)| from != to)
    }

    /// Returns a safe change that reduces the distance to a split.
    fn step_towards(&self, target: RoleSplit) -> Option<(EngineRole, EngineRole)> {
        let distance = self.split.distance(&target);
        let closer = |from, to| self.split.changed(from, to).distance(&target) < distance;
        self.safe_changes()
            .filter(|(from, to)| closer(*from, *to))
            .min_by_key(|(_, to)| ROLES.iter().position(|role| role == to))
    }

    /// Returns the change for the engine of a role with the fewest requests.
    fn choose_engine(&self, from: EngineRole, to: EngineRole) -> Option<RoleChange> {
        let candidates = self.engines.iter().filter(|view| view.role == from);
        let view = candidates.min_by_key(|view| (view.running + view.queued, view.engine))?;
        Some(RoleChange { engine: view.engine, role: to })
    }
}

/// Groups the engines by failure domain and model.
fn group(engines: &[RoleView]) -> BTreeMap<GroupKey, EngineGroup<'_>> {
    let mut groups = BTreeMap::new();
    for view in engines {
        let group = groups.entry((view.domain, view.model)).or_insert_with(|| EngineGroup {
            engines: Vec::new(),
            split: RoleSplit::default(),
            has_pending_order: false,
        });
        group.has_pending_order |= view.has_pending_order;
        if view.accepting && !view.has_pending_order {
            group.engines.push(view);
            group.split.add(view.role);
        }
    }
    groups
}
