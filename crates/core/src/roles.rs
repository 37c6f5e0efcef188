//! Which engine changes its role, and when a change pays.
//!
//! Decisions rest on the demand that the daemons count themselves. The load
//! that engines report only chooses between engines of one role, so a report
//! that lags or lies costs a longer drain at worst.

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

/// Roles in the order in which changes to them are tried: a mixed engine keeps
/// both phases served while others change.
const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
/// Weight of the short window in a forecast; the long window or the kept
/// samples have the rest.
const SHORT_WEIGHT: f64 = 0.7;
/// Weight of the short window where role changes weigh more than goodput.
const CAUTIOUS_SHORT_WEIGHT: f64 = 0.3;
/// Share by which two utilities may differ and still count as equal.
const EQUAL_UTILITY: f64 = 0.001;

/// Holds what a role decision reads of one engine.
#[derive(Clone, Copy, Debug)]
pub struct RoleView {
    pub engine: EngineKey,
    pub domain: DomainKey,
    pub model: ModelKey,
    pub role: EngineRole,
    /// Whether the engine takes new work.
    pub accepting: bool,
    /// Whether an order for the engine is not settled yet.
    pub has_pending_order: bool,
    pub running: u32,
    pub queued: u32,
    pub backlog_tokens: u64,
}

/// Sums the demand for one model over the daemons of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct ModelDemand {
    pub model: ModelKey,
    /// Prompt tokens that arrive each second and aren't cached.
    pub prompt_tokens_per_second: f64,
    /// Output tokens that are asked for each second.
    pub output_tokens_per_second: f64,
}

/// Says how roles are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RolePolicy {
    /// Roles stay as the configuration has them.
    Static,
    /// Every engine that would help now changes its role.
    Greedy,
    /// A role changes only if the gain pays for the change.
    Adaptive,
}

/// Holds the settings of role decisions.
#[derive(Clone, Copy, Debug)]
pub struct RoleSettings {
    pub policy: RolePolicy,
    pub weight: ObjectiveWeight,
    /// Time for which a change takes an engine away.
    pub change_time: Duration,
    /// Time that a prefill engine takes to finish what it runs before a change.
    pub prefill_drain: Duration,
    /// Time that an engine that decodes takes to finish its answers.
    pub decode_drain: Duration,
    /// Time for which a shift of the mix is expected to last.
    pub expected_shift: Duration,
    /// Engine time for tokens of each phase.
    pub costs: PhaseCosts,
}

impl RoleSettings {
    /// Makes settings with the usual drain, shift and costs.
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
    fn margin(&self) -> f64 {
        match self.weight {
            ObjectiveWeight::Goodput => 1.2,
            ObjectiveWeight::RoleChanges => 4.0,
        }
    }

    /// Returns the least gain, as a share of the output that is asked for.
    fn least_gain(&self) -> f64 {
        match self.weight {
            ObjectiveWeight::Goodput => 0.03,
            ObjectiveWeight::RoleChanges => 0.08,
        }
    }

    /// Returns the least time between two changes of one model and domain.
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

/// Names a role change that pays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleChange {
    pub engine: EngineKey,
    pub role: EngineRole,
}

/// Decides on role changes, one at a time.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    tracks: BTreeMap<ModelKey, DemandEstimator>,
    changed_at: BTreeMap<GroupKey, Timestamp>,
}

/// Names the engines of one model in one failure domain.
type GroupKey = (DomainKey, ModelKey);

/// Holds the open engines of a group that no order holds back.
struct EngineGroup<'a> {
    engines: Vec<&'a RoleView>,
    split: RoleSplit,
    /// Whether an order for one of the group's engines is not settled.
    ordered: bool,
}

/// Holds demands with their weights; the weights sum to 1.
type WeightedDemand = Vec<(f64, TokenDemand)>;

impl RolePlanner {
    /// Makes a planner that has seen no demand yet.
    pub fn new(settings: RoleSettings) -> Self {
        Self { settings, tracks: BTreeMap::new(), changed_at: BTreeMap::new() }
    }

    /// Returns the change to make now, if one pays.
    pub fn plan(
        &mut self,
        now: Timestamp,
        demand: &[ModelDemand],
        engines: &[RoleView],
    ) -> Option<RoleChange> {
        for row in demand {
            self.tracks.entry(row.model).or_default().observe(now, row.tokens());
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

    /// Returns the change that serves most of the demand of this moment.
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
        group.pick(from, to)
    }

    /// Returns the first change towards the best split, if the whole way pays.
    fn plan_adaptive(
        &self,
        now: Timestamp,
        key: GroupKey,
        group: &EngineGroup<'_>,
    ) -> Option<RoleChange> {
        let pausing =
            self.changed_at.get(&key).is_some_and(|at| now.since(*at) < self.settings.cooldown());
        if group.ordered || pausing {
            return None;
        }
        let track = self.tracks.get(&key.1).filter(|track| track.has_enough_data())?;
        let forecast = self.forecast(track);
        let target = self.best_split(group.split, &forecast)?;
        if !self.pays(group.split, target, &forecast) {
            return None;
        }
        let (from, to) = group.step_towards(target)?;
        group.pick(from, to)
    }

    /// Returns the demand to plan for.
    fn forecast(&self, track: &DemandEstimator) -> WeightedDemand {
        match self.settings.weight {
            ObjectiveWeight::Goodput => {
                vec![(SHORT_WEIGHT, track.short()), (1.0 - SHORT_WEIGHT, track.long())]
            }
            ObjectiveWeight::RoleChanges => {
                let weight = (1.0 - CAUTIOUS_SHORT_WEIGHT) / track.samples().len().max(1) as f64;
                let samples = track.samples().map(|sample| (weight, sample));
                samples.chain([(CAUTIOUS_SHORT_WEIGHT, track.short())]).collect()
            }
        }
    }

    fn utility(&self, split: RoleSplit, forecast: &WeightedDemand) -> f64 {
        let costs = &self.settings.costs;
        forecast.iter().map(|(weight, demand)| weight * split.utility(*demand, costs)).sum()
    }

    /// Returns the split of the most useful output, the closest of equals.
    fn best_split(&self, split: RoleSplit, forecast: &WeightedDemand) -> Option<RoleSplit> {
        let engines = split.prefill + split.mixed + split.decode;
        let mut best: Option<(f64, RoleSplit)> = None;
        for candidate in RoleSplit::all(engines).filter(RoleSplit::can_hand_off) {
            let value = self.utility(candidate, forecast);
            let better = best.is_none_or(|(most, held)| {
                let closer = candidate.distance(&split) < held.distance(&split);
                value > most * (1.0 + EQUAL_UTILITY)
                    || (value >= most * (1.0 - EQUAL_UTILITY) && closer)
            });
            if better {
                best = Some((value, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Tells whether the gain over the expected shift exceeds the output lost.
    fn pays(&self, split: RoleSplit, target: RoleSplit, forecast: &WeightedDemand) -> bool {
        let asked: f64 = forecast.iter().map(|(weight, demand)| weight * demand.output).sum();
        let now = self.utility(split, forecast);
        let gain = self.utility(target, forecast) - now;
        if gain <= asked * self.settings.least_gain() {
            return false;
        }
        let way = self.lost_time(split, target);
        let useful_time = self.settings.expected_shift.saturating_sub(way);
        let engines = f64::from(split.prefill + split.mixed + split.decode);
        let lost = now / engines * way.as_secs_f64();
        gain * useful_time.as_secs_f64() > lost * self.settings.margin()
    }

    /// Returns the engine time that is lost on the way to a split.
    fn lost_time(&self, split: RoleSplit, target: RoleSplit) -> Duration {
        let prefill = split.prefill.saturating_sub(target.prefill);
        let others = split.distance(&target) - prefill;
        // An engine that drains still works on what it runs: half its time is lost.
        let drains = self.settings.prefill_drain * prefill + self.settings.decode_drain * others;
        self.settings.change_time * (prefill + others) + drains / 2
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
    /// Returns the changes that leave both phases served while an engine is away.
    fn safe_changes(&self) -> impl Iterator<Item = (EngineRole, EngineRole)> + '_ {
        let from = ROLES.into_iter().filter(|role| self.split.count(*role) > 0);
        from.filter(|role| self.split.without(*role).serves_both_phases())
            .flat_map(|from| ROLES.into_iter().map(move |to| (from, to)))
            .filter(|(from, to)| from != to)
    }

    /// Returns a safe change that comes closer to a split.
    fn step_towards(&self, target: RoleSplit) -> Option<(EngineRole, EngineRole)> {
        let distance = self.split.distance(&target);
        let closer = |from, to| self.split.changed(from, to).distance(&target) < distance;
        self.safe_changes()
            .filter(|(from, to)| closer(*from, *to))
            .min_by_key(|(_, to)| ROLES.iter().position(|role| role == to))
    }

    /// Returns the change of the engine of a role that has least to finish.
    fn pick(&self, from: EngineRole, to: EngineRole) -> Option<RoleChange> {
        let able = self.engines.iter().filter(|view| view.role == from);
        let view = able.min_by_key(|view| (view.running + view.queued, view.engine))?;
        Some(RoleChange { engine: view.engine, role: to })
    }
}

/// Sorts the engines into groups.
fn group(engines: &[RoleView]) -> BTreeMap<GroupKey, EngineGroup<'_>> {
    let mut groups = BTreeMap::new();
    for view in engines {
        let group = groups.entry((view.domain, view.model)).or_insert_with(|| EngineGroup {
            engines: Vec::new(),
            split: RoleSplit::default(),
            ordered: false,
        });
        group.ordered |= view.has_pending_order;
        if view.accepting && !view.has_pending_order {
            group.engines.push(view);
            group.split.add(view.role);
        }
    }
    groups
}
