//! Which changes the configuration asks for, and which engines can be spared.

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

fn present(role: EngineRole) -> ReportedEngine {
    ReportedEngine { role, model: "sample".into(), version: None, adapters: Vec::new() }
}

fn change(
    row: &EngineRow,
    present: &ReportedEngine,
    ordered_for: Option<EngineRole>,
) -> Option<String> {
    let target = changes::configured_change(row, &"sample".into(), present, ordered_for);
    target.map(|target| target.to_string())
}

#[test]
fn a_role_changed_by_demand_stays_until_the_configured_one_is_edited() {
    let (prefill, mixed) = (EngineRole::Prefill, EngineRole::Mixed);
    assert_eq!(change(&row(prefill), &present(mixed), None).as_deref(), Some("role prefill"));
    assert_eq!(change(&row(mixed), &present(prefill), Some(mixed)), None);
    let edited = change(&row(EngineRole::Decode), &present(prefill), Some(mixed));
    assert_eq!(edited.as_deref(), Some("role decode"));
}

#[test]
fn a_model_version_and_adapters_that_differ_are_ordered() {
    let mut row = row(EngineRole::Mixed);
    row.version = Some("2".into());
    row.adapters = vec!["tools".into()];
    let mut present = present(EngineRole::Mixed);
    present.model = "other".into();
    let wanted = "model sample, version 2, adapters tools";
    assert_eq!(change(&row, &present, None).as_deref(), Some(wanted));
    present.model = "sample".into();
    present.version = Some("2".into());
    present.adapters = vec!["tools".into()];
    assert_eq!(change(&row, &present, None), None);
}

fn view(index: usize, role: EngineRole, open: bool, model: usize) -> RoleView {
    RoleView {
        engine: EngineKey::from_index(index),
        domain: DomainKey::from_index(0),
        model: ModelKey::from_index(model),
        role,
        accepting: open,
        has_pending_order: false,
        running: 0,
        queued: 0,
        backlog_tokens: 0,
    }
}

/// However engines are picked to be taken away together, both phases of a model
/// that were served before are served after.
#[test]
fn spared_engines_never_leave_a_phase_of_a_model_unserved() {
    let role =
        prop_oneof![Just(EngineRole::Prefill), Just(EngineRole::Decode), Just(EngineRole::Mixed)];
    let engines = prop::collection::vec((role, prop::bool::weighted(0.8), 0..2_usize), 1..7);
    let tries = prop::collection::vec(0..7_usize, 0..10);
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(engines, tries), |(engines, tries)| {
        let views: Vec<_> = engines
            .iter()
            .enumerate()
            .map(|(index, (role, open, model))| view(index, *role, *open, *model))
            .collect();
        let mut taken: Vec<EngineKey> = Vec::new();
        for engine in tries.into_iter().map(EngineKey::from_index) {
            let changing = |key| taken.contains(&key);
            if !taken.contains(&engine) && changes::can_take_offline(engine, &views, changing) {
                taken.push(engine);
            }
        }
        let left = |view: &&RoleView| view.accepting && !taken.contains(&view.engine);
        for view in views.iter().filter(|view| view.accepting) {
            let mut same = views.iter().filter(left).filter(|it| it.model == view.model);
            prop_assert!(!view.role.prefills() || same.clone().any(|it| it.role.prefills()));
            prop_assert!(!view.role.decodes() || same.any(|it| it.role.decodes()));
        }
        Ok(())
    });
    result.expect("a phase stays served");
}
