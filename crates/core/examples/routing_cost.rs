//! Measures the time of one routing decision over the engines of one failure
//! domain at target size, with the lookup of the cached prefix.
//!
//! Run with `cargo run --release -p gooseberry-core --example routing_cost`.

use std::{hint::black_box, time::Duration, time::Instant};

use gooseberry_core::{
    arena::{ArenaKey, EngineKey, ModelKey},
    fleet::EngineRole,
    prefix_table::{CacheKey, PrefixTable},
    routing::{self, EngineView, RoutePhase, RouteRequest},
};

/// Engines of one failure domain at target size.
const ENGINES: u32 = 78;
/// Pieces of each prompt.
const PIECES: u64 = 512;
/// Tokens in each piece.
const PIECE_TOKENS: u32 = 16;
/// Prompts that the caches know.
const PROMPTS: u64 = 128;
/// Decisions that are measured.
const DECISIONS: usize = 200_000;

fn main() {
    let model = ModelKey::from_index(0);
    let mut table = PrefixTable::new(65_536);
    let caches: Vec<CacheKey> = (0..ENGINES).map(|_| table.add_cache()).collect();
    let prompts: Vec<Vec<u64>> = (0..PROMPTS).map(prompt).collect();
    for (index, pieces) in prompts.iter().enumerate() {
        for copy in 0..4 {
            table.record_stored(caches[(index * 7 + copy) % caches.len()], pieces);
        }
    }
    let views: Vec<EngineView> = (0..ENGINES).map(|index| view(index, model)).collect();
    let mut times = Vec::with_capacity(DECISIONS);
    for turn in 0..DECISIONS {
        let pieces = &prompts[turn % prompts.len()];
        let request = RouteRequest {
            model,
            phase: RoutePhase::Whole,
            prompt_tokens: PIECES as u32 * PIECE_TOKENS,
            output_tokens: 200,
            time_left: Duration::from_secs(30),
            bytes: 40_000,
        };
        let started = Instant::now();
        let hits = table.lookup(black_box(pieces));
        let cached = |engine: EngineKey| hits.pieces(caches[engine.index()]) * PIECE_TOKENS;
        black_box(routing::choose(&request, views.iter().copied(), cached, |_| false));
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let at = |share: f64| times[(DECISIONS as f64 * share) as usize].as_nanos();
    println!("engines {ENGINES}, pieces {PIECES}, decisions {DECISIONS}");
    println!("p50 {} ns, p99 {} ns, p99.9 {} ns", at(0.5), at(0.99), at(0.999));
}

fn prompt(number: u64) -> Vec<u64> {
    // Spreads the numbers over all bits, as the hashes of real pieces are.
    (0..PIECES).map(|piece| (number * PIECES + piece).wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect()
}

fn view(index: u32, model: ModelKey) -> EngineView {
    let engine = EngineKey::from_index(index as usize);
    EngineView {
        running: index % 13,
        queued: index % 5,
        backlog_tokens: u64::from(index) * 97 % 4096,
        ..EngineView::idle(engine, model, EngineRole::Mixed)
    }
}
