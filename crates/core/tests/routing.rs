//! Routing: scores and localities of engines, hints of cached prefixes, stuck engines
//! and estimated speeds. A piece is a KV cache block.

use std::time::Duration;

use gooseberry_core::{
    arena::{ArenaKey, EngineKey, ModelKey},
    fleet::EngineRole,
    prefix_table::{CacheUpdate, PrefixTable},
    routing::{self, EngineLocality, EngineView, RoutePhase, RouteReason, RouteRequest},
    sends::UnreportedSends,
    speed::{EngineSpeed, SpeedEstimator},
    stall::{ProgressReport, StallDetector, PROBE_DELAY, STALL_TIMEOUT},
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};

fn model() -> ModelKey {
    ModelKey::from_index(0)
}

fn engine(index: usize) -> EngineKey {
    EngineKey::from_index(index)
}

fn view(index: usize) -> EngineView {
    EngineView::idle(engine(index), model(), EngineRole::Mixed)
}

fn request() -> RouteRequest {
    RouteRequest {
        model: model(),
        phase: RoutePhase::Whole,
        prompt_tokens: 1000,
        output_tokens: 10,
        time_left: Duration::from_secs(5),
        bytes: 1_000_000,
    }
}

fn choose(views: &[EngineView]) -> routing::RouteDecision {
    routing::choose(&request(), views.iter().copied(), |_| 0, |_| false).expect("a decision")
}

#[test]
fn the_cached_prefix_outweighs_a_short_queue_but_not_a_long_one() {
    let busy = |backlog_tokens| EngineView { backlog_tokens, ..view(0) };
    let cached = |key| if key == engine(0) { 800 } else { 0 };
    let pick = |backlog| {
        let views = [busy(backlog), view(1)];
        routing::choose(&request(), views.into_iter(), cached, |_| false).expect("a decision")
    };
    assert_eq!((pick(500).engine, pick(500).reason), (engine(0), RouteReason::CachedPrefix));
    assert_eq!((pick(2000).engine, pick(2000).runner_up), (engine(1), Some(engine(0))));
}

#[test]
fn unreported_work_counts_although_the_load_report_shows_none() {
    let loaded = EngineView { unreported_requests: 3, unreported_tokens: 5000, ..view(0) };
    assert_eq!(choose(&[loaded, view(1)]).engine, engine(1));
    let outstanding = EngineView { outstanding: 20, ..view(0) };
    assert_eq!(choose(&[outstanding, view(1)]).engine, engine(1));
}

#[test]
fn the_home_domain_is_preferred_until_it_cannot_meet_the_deadline() {
    let home_view = EngineView { backlog_tokens: 20_000, ..view(0) };
    let remote = EngineView { locality: EngineLocality::OtherRegion, ..view(1) };
    assert_eq!(choose(&[remote, home_view]).engine, engine(0));
    let overloaded = EngineView { backlog_tokens: 200_000, ..view(0) };
    let decision = choose(&[remote, overloaded]);
    assert_eq!((decision.engine, decision.reason), (engine(1), RouteReason::Spill));
    // No engine meets the deadline: the request stays in the home domain, which
    // refuses it.
    let overloaded_remote = EngineView { backlog_tokens: 200_000, ..remote };
    assert_eq!(choose(&[overloaded_remote, overloaded]).engine, engine(0));
}

#[test]
fn the_cheaper_of_two_links_is_used() {
    let overloaded = EngineView { backlog_tokens: 200_000, ..view(0) };
    let remote = |index, price_per_gb| EngineView {
        locality: EngineLocality::OtherRegion,
        price_per_gb,
        ..view(index)
    };
    assert_eq!(choose(&[overloaded, remote(1, 0.5), remote(2, 0.1)]).engine, engine(2));
}

#[test]
fn a_faster_engine_is_chosen_despite_a_longer_queue() {
    let speed =
        EngineSpeed { prefill_per_token: Duration::from_micros(10), ..EngineSpeed::default() };
    let fast = EngineView { speed, backlog_tokens: 1000, ..view(0) };
    assert_eq!(choose(&[fast, view(1)]).engine, engine(0));
}

#[test]
fn each_phase_is_routed_to_an_engine_of_its_role() {
    let prefill = EngineView { role: EngineRole::Prefill, ..view(0) };
    let decode = EngineView { role: EngineRole::Decode, ..view(1) };
    let pick = |phase| {
        let request = RouteRequest { phase, ..request() };
        let views = [view(2), prefill, decode];
        routing::choose(&request, views.into_iter(), |_| 0, |_| false).map(|it| it.engine)
    };
    assert_eq!(pick(RoutePhase::Prefill), Some(engine(0)));
    assert_eq!(pick(RoutePhase::Decode), Some(engine(1)));
    assert_eq!(pick(RoutePhase::Whole), Some(engine(2)));
}

#[test]
fn cache_hints_follow_stores_and_evictions() {
    let mut table = PrefixTable::new(100);
    let cache = table.add_cache();
    let pieces = [11, 22, 33];
    for (index, piece) in pieces.iter().enumerate() {
        let sequence = index as u64 + 1;
        table.observe(cache, CacheUpdate { sequence, piece: *piece, stored: true });
    }
    assert_eq!(table.lookup(&[11, 22, 33, 44]).pieces(cache), 3);
    table.observe(cache, CacheUpdate { sequence: 4, piece: 33, stored: false });
    assert_eq!(table.lookup(&pieces).pieces(cache), 2);
    // A duplicate or late event changes nothing.
    table.observe(cache, CacheUpdate { sequence: 3, piece: 33, stored: true });
    assert_eq!(table.lookup(&pieces).pieces(cache), 2);
}

#[test]
fn a_small_gap_in_cache_events_keeps_the_hints_and_a_large_one_drops_them() {
    let mut table = PrefixTable::new(1000);
    let (cache, other) = (table.add_cache(), table.add_cache());
    let pieces: Vec<u64> = (1..=200).collect();
    table.record_stored(cache, &pieces);
    table.record_stored(other, &pieces);
    table.observe(cache, CacheUpdate { sequence: 10, piece: 500, stored: true });
    assert_eq!(table.lookup(&pieces).pieces(cache), 200);
    table.observe(cache, CacheUpdate { sequence: 100, piece: 501, stored: true });
    assert_eq!(table.lookup(&pieces).pieces(cache), 0);
    assert_eq!(table.lookup(&pieces).pieces(other), 200);
}

#[test]
fn an_engine_is_stuck_if_it_has_work_and_makes_no_steps() {
    let mut detector = StallDetector::default();
    let report = |steps, millis, outstanding| ProgressReport {
        incarnation: 1,
        steps,
        made_at: Timestamp::from_millis(millis),
        outstanding,
    };
    let stall = STALL_TIMEOUT.as_millis() as u64;
    // Without work, the step counter may stay the same.
    for millis in [0, stall, 5 * stall] {
        detector.observe(report(7, millis, 0), Timestamp::from_millis(millis));
        assert!(!detector.is_stuck(Timestamp::from_millis(millis)));
    }
    let work_begins = 5 * stall;
    detector.observe(
        report(7, work_begins + stall - 1, 2),
        Timestamp::from_millis(work_begins + stall - 1),
    );
    assert!(!detector.is_stuck(Timestamp::from_millis(work_begins + stall - 1)));
    let now = Timestamp::from_millis(work_begins + stall);
    detector.observe(report(7, work_begins + stall, 2), now);
    assert!(detector.is_stuck(now));
    // A stuck engine without work is tried again after the probe delay. Further steps
    // end the stuck state at once.
    detector.observe(report(7, work_begins + 2 * stall, 0), now + STALL_TIMEOUT);
    assert!(detector.is_stuck(now + STALL_TIMEOUT));
    assert!(!detector.is_stuck(now + PROBE_DELAY));
    detector.observe(report(8, work_begins + 3 * stall, 1), now + STALL_TIMEOUT);
    assert!(!detector.is_stuck(now + STALL_TIMEOUT));
}

#[test]
fn a_load_report_counts_only_the_requests_sent_before_it() {
    let mut sends = UnreportedSends::default();
    let earlier = sends.push(100, Timestamp::from_millis(1000));
    let later = sends.push(30, Timestamp::from_millis(1300));
    sends.observe_report(Timestamp::from_millis(1200));
    assert_eq!((sends.requests(), sends.tokens()), (1, 30));
    sends.remove(earlier);
    sends.remove(later);
    assert_eq!((sends.requests(), sends.tokens()), (0, 0));
}

#[test]
fn estimated_speeds_stay_within_bounds() {
    let estimator = SpeedEstimator::default();
    for _ in 0..100 {
        estimator.observe_first_token(1000, Duration::from_millis(20));
        estimator.observe_output(11, Duration::from_millis(30));
    }
    let speed = estimator.speed();
    assert!(speed.prefill_per_token < Duration::from_micros(22), "{speed:?}");
    assert!(speed.decode_per_token < Duration::from_micros(3200), "{speed:?}");
    for _ in 0..100 {
        estimator.observe_first_token(100, Duration::from_secs(3600));
    }
    assert!(estimator.speed().prefill_per_token <= Duration::from_millis(2));
}

#[test]
fn the_prefix_table_stays_within_its_capacity() {
    let config = Config {
        cases: 64,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    };
    let cache_change = (0..3_usize, 1..500_u64, 0..300_u64, any::<bool>());
    let changes = proptest::collection::vec(cache_change, 0..600);
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&changes, |changes| {
        let mut table = PrefixTable::new(50);
        let caches = [table.add_cache(), table.add_cache(), table.add_cache()];
        for (cache, sequence, piece, stored) in changes {
            table.observe(caches[cache], CacheUpdate { sequence, piece, stored });
            prop_assert!(table.len() <= 100);
            let hits = table.lookup(&[piece]);
            prop_assert!(caches.iter().all(|cache| hits.pieces(*cache) <= 1));
        }
        Ok(())
    });
    outcome.expect("the table stays within its capacity");
}

fn any_view(index: usize) -> impl Strategy<Value = EngineView> {
    let engine_locality = prop_oneof![
        Just(EngineLocality::Home),
        Just(EngineLocality::SameRegion),
        Just(EngineLocality::OtherRegion)
    ];
    let role =
        prop_oneof![Just(EngineRole::Prefill), Just(EngineRole::Decode), Just(EngineRole::Mixed)];
    let load = (0..50_u32, 0..50_u32, 0..1_000_000_u64, 0..50_u32, 0..100_000_u64);
    (engine_locality, role, load, any::<bool>(), 0..2_usize).prop_map(
        move |(engine_locality, role, load, is_accepting, model)| EngineView {
            locality: engine_locality,
            role,
            accepting: is_accepting,
            model: ModelKey::from_index(model),
            running: load.0,
            queued: load.1,
            backlog_tokens: load.2,
            outstanding: load.3,
            unreported_tokens: load.4,
            ..view(index)
        },
    )
}

#[test]
fn a_decision_leaves_the_home_domain_only_if_needed_and_never_chooses_an_unusable_engine() {
    let config = Config {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..Config::default()
    };
    let views: Vec<_> = (0..12).map(|index| any_view(index).boxed()).collect();
    let inputs = (views, 0..12_usize, 0..60_000_u64);
    let outcome = TestRunner::new(config).run(&inputs, |(views, excluded_index, millis)| {
        let request = RouteRequest { time_left: Duration::from_millis(millis), ..request() };
        let excluded = |key| key == engine(excluded_index);
        let decide = |views: &[EngineView]| {
            routing::choose(&request, views.iter().copied(), |_| 0, excluded)
        };
        let Some(decision) = decide(&views) else {
            let usable = |view: &&EngineView| {
                view.accepting && view.model == request.model && !excluded(view.engine)
            };
            prop_assert_eq!(views.iter().filter(usable).count(), 0);
            return Ok(());
        };
        let chosen = views.iter().find(|view| view.engine == decision.engine);
        let chosen = chosen.expect("a view of the chosen engine");
        prop_assert!(chosen.accepting && chosen.model == request.model && !excluded(chosen.engine));
        prop_assert_ne!(decision.runner_up, Some(decision.engine));
        let home_views: Vec<_> =
            views.iter().copied().filter(|view| view.locality == EngineLocality::Home).collect();
        match decide(&home_views) {
            // The decision leaves the home domain only for an engine that meets the
            // deadline, and only if no engine of the home domain does.
            Some(home_decision) if chosen.locality != EngineLocality::Home => {
                prop_assert!(home_decision.finish > request.time_left);
                prop_assert!(decision.finish <= request.time_left);
            }
            Some(home_decision) => prop_assert_eq!(home_decision.engine, decision.engine),
            None => prop_assert!(chosen.locality != EngineLocality::Home),
        }
        Ok(())
    });
    outcome.expect("decisions stay in the home domain if possible and choose usable engines");
}
