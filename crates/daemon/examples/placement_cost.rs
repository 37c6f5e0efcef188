//! Measures the daemon's choice of an engine at target size: 780 engines in 10
//! failure domains, 19 models, shared gauges and cache hints.
//!
//! Run with `cargo run --release -p gooseberry-daemon --example placement_cost`.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use gooseberry_core::{
    arena::{Arena, ArenaKey, EngineKey, ModelKey},
    fleet::EngineRole,
    routing::{EngineLocality, EngineView, RoutePhase},
    spill::LinkUse,
    time::Timestamp,
};
use gooseberry_daemon::{
    callers::placement::{self, PlacementQuery},
    gauge::ServerGauge,
    metrics::MetricClient,
    routing::RoutingState,
    snapshot::{EngineEntry, FleetSnapshot},
};

/// Engines of the whole fleet.
const ENGINES: usize = 780;
/// Failure domains. The first one is the home domain.
const DOMAINS: usize = 10;
/// Pieces (KV cache blocks) per prompt.
const PIECES: u64 = 512;
/// Prompts in the caches.
const PROMPTS: u64 = 128;
/// Measured placements.
const PLACEMENTS: usize = 100_000;

fn main() -> anyhow::Result<()> {
    let state = RoutingState::new(Arc::new(MetricClient::new(None)?));
    // All engines serve one model, which is the most expensive case.
    let snapshot = snapshot(&state);
    let prompts: Vec<Vec<u64>> = (0..PROMPTS).map(prompt).collect();
    for (index, pieces) in prompts.iter().enumerate() {
        for copy in 0..4 {
            let engine = EngineKey::from_index((index * 7 + copy) % (ENGINES / DOMAINS));
            state.observe_prompt(snapshot.engines[engine].cache_key, pieces);
        }
    }
    for (name, time_left) in [("home", Duration::from_secs(30)), ("spill", Duration::ZERO)] {
        let mut times = Vec::with_capacity(PLACEMENTS);
        for turn in 0..PLACEMENTS {
            let query = query(&prompts[turn % prompts.len()], time_left);
            let started = Instant::now();
            let now = Timestamp::from_millis(turn as u64);
            black_box(placement::choose(&state, &snapshot, black_box(&query), now));
            times.push(started.elapsed());
        }
        times.sort_unstable();
        let at = |share: f64| times[(PLACEMENTS as f64 * share) as usize].as_nanos();
        println!("{name}: p50 {} ns, p99 {} ns, p99.9 {} ns", at(0.5), at(0.99), at(0.999));
    }
    Ok(())
}

fn query(pieces: &[u64], time_left: Duration) -> PlacementQuery<'_> {
    PlacementQuery {
        model: ModelKey::from_index(0),
        phase: RoutePhase::Whole,
        prompt_tokens: PIECES as u32 * 16,
        output_tokens: 200,
        pieces,
        time_left,
        bytes: 40_000,
        excluded: &[],
    }
}

fn prompt(number: u64) -> Vec<u64> {
    // Spreads the numbers over all bits, like the hashes of real pieces.
    (0..PIECES).map(|piece| (number * PIECES + piece).wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect()
}

fn snapshot(state: &RoutingState) -> FleetSnapshot {
    let entries = (0..ENGINES).map(|index| entry(state, index));
    let engines: Arena<EngineKey, EngineEntry> = entries.collect();
    let (home_engines, remote_engines) = engines
        .iter()
        .map(|(key, _)| key)
        .partition(|key| engines[*key].view.locality == EngineLocality::Home);
    FleetSnapshot { engines, home_engines, remote_engines, ..FleetSnapshot::empty() }
}

fn entry(state: &RoutingState, index: usize) -> EngineEntry {
    let home = index < ENGINES / DOMAINS;
    let idle =
        EngineView::idle(EngineKey::from_index(index), ModelKey::from_index(0), EngineRole::Mixed);
    EngineEntry {
        view: EngineView {
            locality: if home { EngineLocality::Home } else { EngineLocality::SameRegion },
            running: index as u32 % 13,
            backlog_tokens: index as u64 * 97 % 4096,
            ..idle
        },
        piece_tokens: 16,
        cache_key: state.cache_key(&smol_str::format_smolstr!("engine-{index}")),
        link: LinkUse::Local,
        report: None,
        gauge: Arc::new(ServerGauge::default()),
    }
}
