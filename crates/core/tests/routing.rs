//! Routing: scores, places, hints of cached prefixes, stuck engines, speeds.

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
fn own_work_counts_although_the_report_says_idle() {
    let loaded = EngineView { unreported_requests: 3, unreported_tokens: 5000, ..view(0) };
    assert_eq!(choose(&[loaded, view(1)]).engine, engine(1));
    let outstanding = EngineView { outstanding: 20, ..view(0) };
    assert_eq!(choose(&[outstanding, view(1)]).engine, engine(1));
}

#[test]
fn the_home_domain_goes_first_until_it_cannot_meet_the_deadline() {
    let home = EngineView { backlog_tokens: 20_000, ..view(0) };
    let away = EngineView { locality: EngineLocality::OtherRegion, ..view(1) };
    assert_eq!(choose(&[away, home]).engine, engine(0));
    let late = EngineView { backlog_tokens: 200_000, ..view(0) };
    let decision = choose(&[away, late]);
    assert_eq!((decision.engine, decision.reason), (engine(1), RouteReason::Spill));
    // Nobody meets the deadline: the request stays at home, to be refused there.
    let away_late = EngineView { backlog_tokens: 200_000, ..away };
    assert_eq!(choose(&[away_late, late]).engine, engine(0));
}

#[test]
fn the_cheaper_of_two_links_is_taken() {
    let late = EngineView { backlog_tokens: 200_000, ..view(0) };
    let away = |index, price_per_gb| EngineView {
        locality: EngineLocality::OtherRegion,
        price_per_gb,
        ..view(index)
    };
    assert_eq!(choose(&[late, away(1, 0.5), away(2, 0.1)]).engine, engine(2));
}

#[test]
fn a_faster_engine_is_worth_a_longer_queue() {
    let speed =
        EngineSpeed { prefill_per_token: Duration::from_micros(10), ..EngineSpeed::default() };
    let fast = EngineView { speed, backlog_tokens: 1000, ..view(0) };
    assert_eq!(choose(&[fast, view(1)]).engine, engine(0));
}

#[test]
fn each_phase_goes_to_its_role() {
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
fn hints_follow_stores_and_evictions() {
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
    // An event that comes twice or late changes nothing.
    table.observe(cache, CacheUpdate { sequence: 3, piece: 33, stored: true });
    assert_eq!(table.lookup(&pieces).pieces(cache), 2);
}

#[test]
fn a_small_gap_keeps_the_hints_and_a_large_one_drops_them() {
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
fn an_engine_that_steps_is_not_stuck_and_one_that_stands_is() {
    let mut detector = StallDetector::default();
    let report = |steps, millis, outstanding| ProgressReport {
        incarnation: 1,
        steps,
        made_at: Timestamp::from_millis(millis),
        outstanding,
    };
    let stall = STALL_TIMEOUT.as_millis() as u64;
    // Without work the counter may stand still.
    for millis in [0, stall, 5 * stall] {
        detector.observe(report(7, millis, 0), Timestamp::from_millis(millis));
        assert!(!detector.is_stuck(Timestamp::from_millis(millis)));
    }
    let begun = 5 * stall;
    detector.observe(report(7, begun + stall - 1, 2), Timestamp::from_millis(begun + stall - 1));
    assert!(!detector.is_stuck(Timestamp::from_millis(begun + stall - 1)));
    let now = Timestamp::from_millis(begun + stall);
    detector.observe(report(7, begun + stall, 2), now);
    assert!(detector.is_stuck(now));
    // Without work left it is tried again after a while, and steps clear it.
    detector.observe(report(7, begun + 2 * stall, 0), now + STALL_TIMEOUT);
    assert!(detector.is_stuck(now + STALL_TIMEOUT));
    assert!(!detector.is_stuck(now + PROBE_DELAY));
    detector.observe(report(8, begun + 3 * stall, 1), now + STALL_TIMEOUT);
    assert!(!detector.is_stuck(now + STALL_TIMEOUT));
}

#[test]
fn a_report_counts_only_what_was_sent_before_it_was_made() {
    let mut ring = UnreportedSends::default();
    let early = ring.push(100, Timestamp::from_millis(1000));
    let late = ring.push(30, Timestamp::from_millis(1300));
    ring.observe_report(Timestamp::from_millis(1200));
    assert_eq!((ring.requests(), ring.tokens()), (1, 30));
    ring.remove(early);
    ring.remove(late);
    assert_eq!((ring.requests(), ring.tokens()), (0, 0));
}

#[test]
fn speeds_are_learned_within_bounds() {
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
    let change = (0..3_usize, 1..500_u64, 0..300_u64, any::<bool>());
    let changes = proptest::collection::vec(change, 0..600);
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
    outcome.expect("the table is bounded");
}

fn any_view(index: usize) -> impl Strategy<Value = EngineView> {
    let place = prop_oneof![
        Just(EngineLocality::Home),
        Just(EngineLocality::SameRegion),
        Just(EngineLocality::OtherRegion)
    ];
    let role =
        prop_oneof![Just(EngineRole::Prefill), Just(EngineRole::Decode), Just(EngineRole::Mixed)];
    let load = (0..50_u32, 0..50_u32, 0..1_000_000_u64, 0..50_u32, 0..100_000_u64);
    (place, role, load, any::<bool>(), 0..2_usize).prop_map(
        move |(place, role, load, open, model)| EngineView {
            locality: place,
            role,
            accepting: open,
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
fn a_decision_never_leaves_home_without_need_nor_takes_what_is_closed() {
    let config = Config {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..Config::default()
    };
    let views: Vec<_> = (0..12).map(|index| any_view(index).boxed()).collect();
    let inputs = (views, 0..12_usize, 0..60_000_u64);
    let outcome = TestRunner::new(config).run(&inputs, |(views, out, millis)| {
        let request = RouteRequest { time_left: Duration::from_millis(millis), ..request() };
        let excluded = |key| key == engine(out);
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
        let at_home: Vec<_> =
            views.iter().copied().filter(|view| view.locality == EngineLocality::Home).collect();
        match decide(&at_home) {
            // Home is left only for an engine that meets the deadline, which home can't.
            Some(home) if chosen.locality != EngineLocality::Home => {
                prop_assert!(home.finish > request.time_left);
                prop_assert!(decision.finish <= request.time_left);
            }
            Some(home) => prop_assert_eq!(home.engine, decision.engine),
            None => prop_assert!(chosen.locality != EngineLocality::Home),
        }
        Ok(())
    });
    outcome.expect("decisions keep to the rules");
}
