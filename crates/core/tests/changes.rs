//! Which changes of engines the configuration requires, and which engines can be
//! taken offline while the others serve both phases of each model.

use gooseberry_core::{
    arena::{ArenaKey, DomainKey, EngineKey, ModelKey},
    changes::{self, ReportedEngine},
    fleet::{EngineRole, EngineRow},
    roles::RoleView,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn row(role: EngineRole) -> EngineRow {
    EngineRow {
        name: "engine".into(),
        address: "127.0.0.1:1".into(),
        domain: DomainKey::from_index(0),
        model: ModelKey::from_index(0),
        version: None,
        adapters: Vec::new(),
        role,
        accelerators: 1,
        checks_fencing: false,
        withdrawn: false,
    }
}

fn reported(role: EngineRole) -> ReportedEngine {
    ReportedEngine { role, model: "sample".into(), version: None, adapters: Vec::new() }
}

fn change(
    row: &EngineRow,
    reported: &ReportedEngine,
    ordered_for: Option<EngineRole>,
) -> Option<String> {
    let target = changes::configured_change(row, &"sample".into(), reported, ordered_for);
    target.map(|target| target.to_string())
}

#[test]
fn a_role_changed_by_demand_stays_until_the_configured_role_is_edited() {
    let (prefill, mixed) = (EngineRole::Prefill, EngineRole::Mixed);
    assert_eq!(change(&row(prefill), &reported(mixed), None).as_deref(), Some("role prefill"));
    assert_eq!(change(&row(mixed), &reported(prefill), Some(mixed)), None);
    let edited = change(&row(EngineRole::Decode), &reported(prefill), Some(mixed));
    assert_eq!(edited.as_deref(), Some("role decode"));
}

#[test]
fn a_model_version_and_adapters_that_differ_from_the_configured_ones_are_changed() {
    let mut row = row(EngineRole::Mixed);
    row.version = Some("2".into());
    row.adapters = vec!["tools".into()];
    let mut reported = reported(EngineRole::Mixed);
    reported.model = "other".into();
    let wanted = "model sample, version 2, adapters tools";
    assert_eq!(change(&row, &reported, None).as_deref(), Some(wanted));
    reported.model = "sample".into();
    reported.version = Some("2".into());
    reported.adapters = vec!["tools".into()];
    assert_eq!(change(&row, &reported, None), None);
}

fn view(index: usize, role: EngineRole, is_accepting: bool, model: usize) -> RoleView {
    RoleView {
        engine: EngineKey::from_index(index),
        domain: DomainKey::from_index(0),
        model: ModelKey::from_index(model),
        role,
        accepting: is_accepting,
        has_pending_order: false,
        running: 0,
        queued: 0,
        backlog_tokens: 0,
    }
}

/// Guards against taking several engines offline together so that no engine is
/// left for a phase of a model: each phase that was served before must still be
/// served, whichever engines are picked in whichever order.
#[test]
fn engines_taken_offline_never_leave_a_phase_of_a_model_unserved() {
    let role =
        prop_oneof![Just(EngineRole::Prefill), Just(EngineRole::Decode), Just(EngineRole::Mixed)];
    let engines = prop::collection::vec((role, prop::bool::weighted(0.8), 0..2_usize), 1..7);
    let candidates = prop::collection::vec(0..7_usize, 0..10);
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(engines, candidates), |(engines, candidates)| {
        let views: Vec<_> = engines
            .iter()
            .enumerate()
            .map(|(index, (role, is_accepting, model))| view(index, *role, *is_accepting, *model))
            .collect();
        let mut offline: Vec<EngineKey> = Vec::new();
        for engine in candidates.into_iter().map(EngineKey::from_index) {
            let changing = |key| offline.contains(&key);
            if !offline.contains(&engine) && changes::can_take_offline(engine, &views, changing) {
                offline.push(engine);
            }
        }
        let is_remaining = |view: &&RoleView| view.accepting && !offline.contains(&view.engine);
        for view in views.iter().filter(|view| view.accepting) {
            let mut same_model =
                views.iter().filter(is_remaining).filter(|it| it.model == view.model);
            prop_assert!(!view.role.prefills() || same_model.clone().any(|it| it.role.prefills()));
            prop_assert!(!view.role.decodes() || same_model.any(|it| it.role.decodes()));
        }
        Ok(())
    });
    result.expect("every phase that was served is still served");
}
