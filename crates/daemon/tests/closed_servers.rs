//! A request that holds an older view learns that a server was closed since.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{ArenaKey, EngineKey, ModelKey},
    fleet::EngineRole,
    routing::{self, EngineView, RouteRequest},
};
use gooseberry_daemon::snapshot::{EngineEntry, EngineGauge, FleetSnapshot, PlainEntry};

fn engine_entry(index: usize, gauge: &Arc<EngineGauge>) -> EngineEntry {
    EngineEntry {
        view: EngineView {
            engine: EngineKey::from_index(index),
            model: ModelKey::from_index(0),
            role: EngineRole::Mixed,
            open: true,
            latency: Duration::ZERO,
            running: 0,
            queued: 0,
            backlog_tokens: 0,
            outstanding: 0,
            unreported_tokens: 0,
        },
        piece_tokens: 16,
        report: None,
        gauge: Arc::clone(gauge),
    }
}

#[test]
fn an_engine_closed_after_the_view_was_made_is_not_chosen() {
    let gauges = [Arc::<EngineGauge>::default(), Arc::default()];
    let entries = gauges.iter().enumerate().map(|(index, gauge)| engine_entry(index, gauge));
    let held = FleetSnapshot { engines: entries.collect(), ..FleetSnapshot::empty() };
    let request =
        RouteRequest { model: ModelKey::from_index(0), prompt_tokens: 10, output_tokens: 10 };
    let chosen = || {
        let decision = routing::choose(&request, held.engine_views(), |_| 0, |_| false);
        decision.map(|decision| decision.engine.index())
    };
    assert_eq!(chosen(), Some(0));
    gauges[0].set_closed(true);
    assert_eq!(chosen(), Some(1));
    gauges[1].withdraw();
    assert_eq!(chosen(), None);
}

#[test]
fn a_plain_server_closed_after_the_view_was_made_is_not_open() {
    let gauge = Arc::<EngineGauge>::default();
    let entry = PlainEntry { open: true, latency: Duration::ZERO, gauge: Arc::clone(&gauge) };
    assert!(entry.is_open());
    gauge.set_closed(true);
    assert!(!entry.is_open());
}
