//! Properties of role decisions.

use std::time::Duration;

use gooseberry_core::{
    arena::{ArenaKey, DomainKey, EngineKey, ModelKey},
    fleet::{EngineRole, ObjectiveWeight},
    roles::{
        utility::{PhaseCosts, RoleSplit, StepTiming, TokenDemand},
        ModelDemand, RoleChange, RolePlanner, RolePolicy, RoleSettings, RoleView,
    },
    time::Timestamp,
};
use proptest::{prelude::*, test_runner::RngSeed};

const CHANGE_TIME: Duration = Duration::from_secs(3);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    }
}

fn planner(policy: RolePolicy, weight: ObjectiveWeight) -> RolePlanner {
    RolePlanner::new(RoleSettings::new(policy, weight, CHANGE_TIME))
}

fn view(index: usize, role: EngineRole) -> RoleView {
    RoleView {
        engine: EngineKey::from_index(index),
        domain: DomainKey::from_index(0),
        model: ModelKey::from_index(0),
        role,
        accepting: true,
        has_pending_order: false,
        running: 0,
        queued: 0,
        backlog_tokens: 0,
    }
}

fn demand(prompt: f64, output: f64) -> ModelDemand {
    ModelDemand {
        model: ModelKey::from_index(0),
        prompt_tokens_per_second: prompt,
        output_tokens_per_second: output,
    }
}

fn second(second: u64) -> Timestamp {
    Timestamp::from_millis(second * 1000)
}

fn apply(views: &mut [RoleView], change: RoleChange) {
    views[change.engine.index()].role = change.role;
}

/// Tells whether the engines that take work serve both phases without one.
fn serves_without(views: &[RoleView], engine: EngineKey) -> bool {
    let able: Vec<_> = views
        .iter()
        .filter(|view| view.accepting && !view.has_pending_order && view.engine != engine)
        .collect();
    able.iter().any(|view| view.role.prefills()) && able.iter().any(|view| view.role.decodes())
}

fn any_role() -> impl Strategy<Value = EngineRole> {
    prop_oneof![Just(EngineRole::Prefill), Just(EngineRole::Decode), Just(EngineRole::Mixed)]
}

fn any_policy() -> impl Strategy<Value = RolePolicy> {
    prop_oneof![Just(RolePolicy::Greedy), Just(RolePolicy::Adaptive)]
}

fn any_weight() -> impl Strategy<Value = ObjectiveWeight> {
    prop_oneof![Just(ObjectiveWeight::Goodput), Just(ObjectiveWeight::RoleChanges)]
}

fn any_views() -> impl Strategy<Value = Vec<RoleView>> {
    let row = (any_role(), prop::bool::weighted(0.8), prop::bool::weighted(0.1), 0u32..200);
    prop::collection::vec(row, 1..7).prop_map(|rows| {
        rows.into_iter()
            .enumerate()
            .map(|(index, (role, open, ordered, running))| RoleView {
                accepting: open,
                has_pending_order: ordered,
                running,
                ..view(index, role)
            })
            .collect()
    })
}

/// Demands that load a few engines from nothing to several times over.
fn any_demands() -> impl Strategy<Value = Vec<(f64, f64)>> {
    prop::collection::vec((0.0..400_000.0, 0.0..100_000.0), 40..80)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn both_phases_stay_served_while_an_engine_changes(
        policy in any_policy(),
        weight in any_weight(),
        views in any_views(),
        demands in any_demands(),
    ) {
        let mut views = views;
        let mut planner = planner(policy, weight);
        for (at, (prompt, output)) in demands.into_iter().enumerate() {
            let change = planner.plan(second(at as u64), &[demand(prompt, output)], &views);
            if let Some(change) = change {
                let chosen = views[change.engine.index()];
                prop_assert!(chosen.accepting && !chosen.has_pending_order);
                prop_assert_ne!(chosen.role, change.role);
                prop_assert!(serves_without(&views, change.engine));
                apply(&mut views, change);
            }
        }
    }

    #[test]
    fn constant_demand_settles(
        weight in any_weight(),
        roles in prop::collection::vec(any_role(), 1..7),
        prompt in 0.0..400_000.0,
        output in 0.0..100_000.0,
    ) {
        let mut views: Vec<_> =
            roles.into_iter().enumerate().map(|(index, role)| view(index, role)).collect();
        let mut planner = planner(RolePolicy::Adaptive, weight);
        let mut changed = Vec::new();
        for at in 0..1200 {
            let change = planner.plan(second(at), &[demand(prompt, output)], &views);
            if let Some(change) = change {
                changed.push(at);
                apply(&mut views, change);
            }
        }
        prop_assert!(changed.len() <= 2 * views.len(), "{changed:?}");
        prop_assert!(changed.iter().all(|at| *at < 600), "{changed:?}");
    }

    #[test]
    fn changes_keep_the_pause_apart(weight in any_weight(), demands in any_demands()) {
        let roles = [EngineRole::Prefill, EngineRole::Mixed, EngineRole::Decode];
        let mut views: Vec<_> =
            (0..6).map(|index| view(index, roles[index % 3])).collect();
        let settings = RoleSettings::new(RolePolicy::Adaptive, weight, CHANGE_TIME);
        let mut planner = RolePlanner::new(settings);
        let mut changed_at: Option<Timestamp> = None;
        for (at, (prompt, output)) in demands.into_iter().enumerate() {
            let now = second(at as u64);
            if let Some(change) = planner.plan(now, &[demand(prompt, output)], &views) {
                if let Some(last) = changed_at.replace(now) {
                    prop_assert!(now.since(last) >= settings.cooldown());
                }
                apply(&mut views, change);
            }
        }
    }

    #[test]
    fn the_same_input_gives_the_same_changes(
        policy in any_policy(),
        weight in any_weight(),
        views in any_views(),
        demands in any_demands(),
    ) {
        let mut one = planner(policy, weight);
        let mut other = one.clone();
        for (at, (prompt, output)) in demands.into_iter().enumerate() {
            let demand = [demand(prompt, output)];
            let now = second(at as u64);
            prop_assert_eq!(one.plan(now, &demand, &views), other.plan(now, &demand, &views));
        }
    }

    #[test]
    fn reports_that_lie_change_no_role_decision(
        weight in any_weight(),
        views in any_views(),
        loads in prop::collection::vec((0u32..1000, 0u32..1000, 0u64..1_000_000), 6),
        demands in any_demands(),
    ) {
        let mut lying = views.clone();
        for (view, (running, queued, backlog_tokens)) in lying.iter_mut().zip(loads) {
            *view = RoleView { running, queued, backlog_tokens, ..*view };
        }
        let mut honest_planner = planner(RolePolicy::Adaptive, weight);
        let mut fooled_planner = honest_planner.clone();
        for (at, (prompt, output)) in demands.into_iter().enumerate() {
            let demand = [demand(prompt, output)];
            let now = second(at as u64);
            let honest = honest_planner.plan(now, &demand, &views);
            let fooled = fooled_planner.plan(now, &demand, &lying);
            let roles = |change: Option<RoleChange>| {
                change.map(|change| (views[change.engine.index()].role, change.role))
            };
            prop_assert_eq!(roles(honest), roles(fooled));
        }
    }

    #[test]
    fn more_engines_serve_no_less(
        prefill in 0u32..6,
        mixed in 0u32..6,
        decode in 0u32..6,
        role in any_role(),
        prompt in 1.0..100_000.0,
        output in 1.0..100_000.0,
    ) {
        let costs = PhaseCosts::from_step(&StepTiming::default());
        let split = RoleSplit { prefill, mixed, decode };
        let mut larger = split;
        larger.add(role);
        let demand = TokenDemand { prompt, output };
        let share = split.served_share(demand, &costs);
        prop_assert!(larger.served_share(demand, &costs) >= share);
    }
}

#[test]
fn static_roles_never_change() {
    let mut planner = planner(RolePolicy::Static, ObjectiveWeight::Goodput);
    let views: Vec<_> = (0..4).map(|index| view(index, EngineRole::Mixed)).collect();
    for at in 0..100 {
        assert_eq!(planner.plan(second(at), &[demand(1e6, 10.0)], &views), None);
    }
}

#[test]
fn a_prompt_heavy_shift_moves_a_mixed_engine_to_prefill() {
    let mut planner = planner(RolePolicy::Adaptive, ObjectiveWeight::Goodput);
    let views =
        [view(0, EngineRole::Prefill), view(1, EngineRole::Mixed), view(2, EngineRole::Decode)];
    let heavy = [demand(120_000.0, 6_000.0)];
    let change = (0..60).find_map(|at| planner.plan(second(at), &heavy, &views));
    let expected = RoleChange { engine: EngineKey::from_index(1), role: EngineRole::Prefill };
    assert_eq!(change, Some(expected));
}

#[test]
fn an_unsettled_order_holds_back_its_group() {
    let mut planner = planner(RolePolicy::Adaptive, ObjectiveWeight::Goodput);
    let views = [
        view(0, EngineRole::Prefill),
        view(1, EngineRole::Mixed),
        view(2, EngineRole::Decode),
        RoleView { has_pending_order: true, accepting: false, ..view(3, EngineRole::Decode) },
    ];
    let heavy = [demand(120_000.0, 6_000.0)];
    for at in 0..60 {
        assert_eq!(planner.plan(second(at), &heavy, &views), None);
    }
}
