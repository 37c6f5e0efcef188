//! A request with an older snapshot must not use a server that has been closed
//! since.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{ArenaKey, EngineKey, ModelKey},
    fleet::EngineRole,
    prefix_table::CacheKey,
    routing::{self, EngineView, RoutePhase, RouteRequest},
    spill::LinkUse,
};
use gooseberry_daemon::{
    gauge::ServerGauge,
    snapshot::{EngineEntry, FleetSnapshot, PlainEntry},
};

fn engine_entry(index: usize, gauge: &Arc<ServerGauge>) -> EngineEntry {
    EngineEntry {
        view: EngineView::idle(
            EngineKey::from_index(index),
            ModelKey::from_index(0),
            EngineRole::Mixed,
        ),
        piece_tokens: 16,
        cache_key: CacheKey::default(),
        link: LinkUse::Local,
        report: None,
        gauge: Arc::clone(gauge),
    }
}

#[test]
fn an_engine_closed_after_the_snapshot_is_not_chosen() {
    let gauges = [Arc::<ServerGauge>::default(), Arc::default()];
    let entries = gauges.iter().enumerate().map(|(index, gauge)| engine_entry(index, gauge));
    let snapshot = FleetSnapshot { engines: entries.collect(), ..FleetSnapshot::empty() };
    let model = ModelKey::from_index(0);
    let request = RouteRequest {
        model,
        phase: RoutePhase::Whole,
        prompt_tokens: 10,
        output_tokens: 10,
        time_left: Duration::from_secs(10),
        bytes: 0,
    };
    let engines = [EngineKey::from_index(0), EngineKey::from_index(1)];
    let chosen = || {
        let decision =
            routing::choose(&request, snapshot.engine_views(&engines, model), |_| 0, |_| false);
        decision.map(|decision| decision.engine.index())
    };
    assert_eq!(chosen(), Some(0));
    gauges[0].set_closed(true);
    assert_eq!(chosen(), Some(1));
    gauges[1].close();
    assert_eq!(chosen(), None);
}

#[test]
fn a_plain_server_closed_after_the_snapshot_is_not_open() {
    let gauge = Arc::<ServerGauge>::default();
    let entry = PlainEntry { open: true, latency: Duration::ZERO, gauge: Arc::clone(&gauge) };
    assert!(entry.is_open());
    gauge.set_closed(true);
    assert!(!entry.is_open());
}
