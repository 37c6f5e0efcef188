//! State of the gateway: configuration, servers, backlog, cached parts, retry budget.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        backlog::{PendingPrefill, PrefillBacklog, SendId},
        backoff::RetryBackoff,
        budget::{RetryAllowance, RetryCounter},
        configuration::{CallerLimits, RouteKind, RouteRow, RouteTarget, ServingConfiguration},
        connections,
        directory::{EngineStage, ServerEntry, ServerPresence},
        fleet::{EntryEffect, ServerFleet},
        health::EngineHealth,
        prefix_index::PrefixIndex,
        prompt::PromptShape,
        watch_plan::{RelayFailure, WatchPlan, WatchSource},
    },
    time::Timestamp,
};
use proptest::prelude::*;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> RouteRow {
    RouteRow {
        name: name.into(),
        host: "host.example".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(120),
        event_pause: Duration::from_millis(200),
        priority: 0,
        attempts: 2,
        carries_prompt: false,
        is_anonymous: false,
        targets: targets
            .iter()
            .map(|(service, weight)| RouteTarget { service: (*service).into(), weight: *weight })
            .collect(),
    }
}

fn configuration(routes: Vec<RouteRow>) -> ServingConfiguration {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 4_194_304,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    ServingConfiguration { version: 1, routes, services: Vec::new(), limits, accounts: Vec::new() }
}

#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let configuration = configuration(vec![
        route("short", "/a/", &[("s", 1)]),
        route("long", "/a/b/", &[("s", 1)]),
    ]);
    let name = |host, path| configuration.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("host.example", "/a/b/c"), Some("long"));
    assert_eq!(name("Host.Example:80", "/a/bc"), Some("short"));
    assert_eq!(name("host.example", "/a"), None);
    assert_eq!(name("other.example", "/a/b/c"), None);
}

#[test]
fn a_split_route_assigns_services_by_request_id_and_weight() {
    let route = route("split", "/a/", &[("heavy", 90), ("light", 10)]);
    let heavy = (0..1000).filter(|id| route.target(&format!("id-{id}")).unwrap() == "heavy");
    let heavy = heavy.count();
    assert!((850..950).contains(&heavy), "{heavy} of 1000");
    assert_eq!(route.target("id-7"), route.target("id-7"));
}

fn entry(id: &str, born: u64) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 6,
        software: "v1".into(),
        is_draining: false,
        stage: EngineStage::Mixed,
        is_reclaimable: false,
        started_at_ms: Some(born),
        sequence: 1,
    }
}

#[test]
fn an_entry_deleted_while_the_store_responds_removes_its_server_at_once() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one", 1));
    assert_eq!(fleet.remove("one", START), Some(ServerPresence::Gone));
    assert!(!fleet.server(fleet.key("one").unwrap()).is_usable(START));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("back", 1));
    fleet.put(entry("dead", 1));
    for called_ms in [0, 1500, 3500] {
        fleet.connectivity.record_failure(after(called_ms));
    }
    fleet.record_store_response(after(4000), after(4000));
    fleet.remove("back", after(4001));
    fleet.remove("dead", after(4001));
    let usable = |fleet: &ServerFleet, id: &str, now| {
        fleet.server(fleet.key(id).expect("known server")).is_usable(now)
    };
    assert!(usable(&fleet, "back", after(5900)) && usable(&fleet, "dead", after(5900)));
    assert_eq!(fleet.put(entry("back", 1)), EntryEffect::Unchanged);
    assert!(usable(&fleet, "back", after(6100)));
    assert!(!usable(&fleet, "dead", after(6100)));
}

#[test]
fn an_entry_removed_during_a_cut_is_gone_once_the_daemon_counts_as_in_touch() {
    const CONNECT_TIMEOUT_MS: u64 = 1000;
    const STABLE_MS: u64 = 3000;
    const HEALED_MS: u64 = 6000;
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one", 1));
    let mut plan = WatchPlan::new(0, START);
    let mut attempt_ms = 0;
    // A call that began before the cut healed fails by its timeout.
    while attempt_ms < HEALED_MS {
        fleet.connectivity.record_failure(after(attempt_ms));
        let failed_ms = attempt_ms + CONNECT_TIMEOUT_MS;
        let delay = plan.store_failed(false, after(failed_ms));
        attempt_ms = failed_ms + delay.as_millis() as u64;
    }
    fleet.record_store_response(after(attempt_ms), after(attempt_ms));
    fleet.remove("one", after(attempt_ms));
    let server = fleet.server(fleet.key("one").expect("known server"));
    assert!(!server.is_usable(after(HEALED_MS + STABLE_MS)), "first heard at {attempt_ms} ms");
}

/// Guards against idle connections that take the place of others: 65 daemons kept up to 520 to an engine
/// that accepts 490.
#[test]
fn idle_connections_of_all_daemons_leave_half_of_a_server_s_connections() {
    for (max_connections, daemons) in [(140, 9), (490, 65), (1400, 195), (360, 6), (50, 195)] {
        let limit = connections::idle_limit(max_connections, daemons);
        assert!((1..=8).contains(&limit));
        let idle = limit as u32 * daemons;
        assert!(limit == 1 || 2 * idle <= max_connections, "{idle} of {max_connections}");
    }
    assert_eq!(connections::idle_limit(u32::MAX, 1), 8);
}

#[test]
fn a_restarted_server_has_no_cache() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one", 1));
    let key = fleet.key("one").unwrap();
    let prompt = PromptShape::new("m", [("p", 100)], 100, 1);
    fleet.server_mut(key).prefix_index.insert(&prompt, 1000);
    assert_eq!(fleet.put(entry("one", 2)), EntryEffect::Restarted);
    assert_eq!(fleet.server(key).prefix_index.cached_tokens(&prompt, 1000), 0);
}

/// Guards against slow adaptation: after a start the estimates were a third too long for most of a
/// minute, and requests were refused although there was capacity (inc-5d12).
#[test]
fn measured_speeds_adapt_within_a_few_prefills() {
    let mut fleet = ServerFleet::default();
    fleet.put(ServerEntry { stage: EngineStage::Decode, ..entry("one", 1) });
    let key = fleet.key("one").unwrap();
    for _ in 0..5 {
        // 1,000 tokens at 31 tokens per millisecond, plus the time of one step.
        fleet.record_speed(key, 1000, 32.0);
    }
    let speed = fleet.server(key).prefill_speed();
    assert!((27.0..33.0).contains(&speed), "{speed} tokens a millisecond");
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one", 1));
    let draining = ServerEntry { is_draining: true, ..entry("one", 1) };
    assert_eq!(fleet.put(draining), EntryEffect::Draining);
    assert!(!fleet.server(fleet.key("one").unwrap()).is_usable(START));
}

#[test]
fn an_old_entry_does_not_return_a_server_that_leaves() {
    let leaving = ServerEntry { is_draining: true, ..entry("one", 1) };
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one", 1));
    fleet.put(leaving);
    let usable = |fleet: &ServerFleet| {
        fleet.server(fleet.key("one").expect("known server")).is_usable(START)
    };
    // A write that the server sent before may be carried out later, also after its entry is removed.
    fleet.put(entry("one", 1));
    assert!(!usable(&fleet));
    fleet.remove("one", START);
    fleet.put(entry("one", 1));
    assert!(!usable(&fleet));
    fleet.put(entry("one", 2));
    assert!(usable(&fleet), "it has started again");
}

#[test]
fn parts_are_cached_only_after_a_cached_chain_and_until_evicted() {
    let mut parts = PrefixIndex::default();
    let prompt = PromptShape::new("m", [("shared", 400), ("own", 100)], 500, 1);
    parts.insert(&prompt, 10_000);
    let other = PromptShape::new("m", [("shared", 400), ("new", 100)], 500, 1);
    assert_eq!(parts.cached_tokens(&other, 10_000), 400);
    let moved = PromptShape::new("m", [("new", 100), ("shared", 400)], 500, 1);
    assert_eq!(parts.cached_tokens(&moved, 10_000), 0);
    let model = PromptShape::new("n", [("shared", 400)], 400, 1);
    assert_eq!(parts.cached_tokens(&model, 10_000), 0);
    for name in 0..20 {
        let filler = PromptShape::new("m", [(name.to_string().as_str(), 500)], 500, 1);
        parts.insert(&filler, 10_000);
    }
    assert_eq!(parts.cached_tokens(&other, 10_000), 0);
}

fn pending(tokens: u32) -> PendingPrefill {
    let prompt = PromptShape::new("m", [("p", tokens)], tokens, 1);
    PendingPrefill { prompt, tokens, sent_at: START, decode_engine: None }
}

/// Guards against wrong default speeds: engines without a measured speed were assumed to be a third
/// slower than they were, and requests were refused although there was capacity.
#[test]
fn engines_of_a_stage_share_their_speed_until_each_is_measured() {
    let mut fleet = ServerFleet::default();
    for id in ["one", "two"] {
        fleet.put(ServerEntry { stage: EngineStage::Prefill, ..entry(id, 1) });
    }
    let one = fleet.key("one").unwrap();
    for _ in 0..30 {
        fleet.record_speed(one, 6200, 100.0);
    }
    let speed_of = |fleet: &ServerFleet, id| fleet.server(fleet.key(id).unwrap()).prefill_speed();
    assert!((58.0..66.0).contains(&speed_of(&fleet, "two")), "{}", speed_of(&fleet, "two"));
    fleet.put(ServerEntry { stage: EngineStage::Prefill, ..entry("new", 1) });
    assert!((58.0..66.0).contains(&speed_of(&fleet, "new")));
    let two = fleet.key("two").unwrap();
    for _ in 0..10 {
        fleet.record_speed(two, 2000, 100.0);
    }
    assert!(speed_of(&fleet, "two") < 30.0, "an engine's own measurements take precedence");
    fleet.put(ServerEntry { stage: EngineStage::Decode, ..entry("other", 1) });
    assert!(speed_of(&fleet, "other") < 30.0, "each stage has its own speed");
}

/// Guards against engines that are assumed to be slow: where they read 942 tokens in a millisecond, 40 were
/// assumed, prompts were refused in the first second, and after 15 s the speed stood at 345.
#[test]
fn a_first_measurement_replaces_the_assumed_speed_at_all_engines() {
    let mut fleet = ServerFleet::default();
    fleet.put(ServerEntry { stage: EngineStage::Prefill, ..entry("one", 1) });
    fleet.put(ServerEntry { stage: EngineStage::Prefill, ..entry("two", 1) });
    fleet.put(ServerEntry { stage: EngineStage::Decode, ..entry("three", 1) });
    fleet.record_speed(fleet.key("one").unwrap(), 4710, 5.0);
    let speed_of = |id| fleet.server(fleet.key(id).unwrap()).prefill_speed();
    assert_eq!([speed_of("one"), speed_of("two"), speed_of("three")], [942.0, 942.0, 471.0]);
}

/// Times are measured in milliseconds, and a prefill may take less.
#[test]
fn a_prefill_that_takes_no_measurable_time_is_a_sample() {
    let mut fleet = ServerFleet::default();
    fleet.put(ServerEntry { stage: EngineStage::Prefill, ..entry("one", 1) });
    let key = fleet.key("one").unwrap();
    fleet.record_speed(key, 900, 0.0);
    assert_eq!(fleet.server(key).prefill_speed(), 900.0);
}

#[test]
fn an_abandoned_prompt_leaves_no_cached_parts() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one", 1));
    let key = fleet.key("one").unwrap();
    let (first, second) = (SendId { daemon: 1, number: 1 }, SendId { daemon: 1, number: 2 });
    let cached = |fleet: &ServerFleet| {
        fleet.server(key).prefix_index.cached_tokens(&pending(1000).prompt, 10_000)
    };
    fleet.begin_prefill(key, first, pending(1000), 10_000, START);
    fleet.begin_prefill(key, second, pending(1000), 10_000, START);
    assert!(fleet.abandon_prefill(key, first, START));
    assert_eq!(cached(&fleet), 1000, "the second prefill is still pending");
    assert!(fleet.abandon_prefill(key, second, START));
    assert_eq!(cached(&fleet), 0);
    fleet.begin_prefill(key, first, pending(1000), 10_000, START);
    assert!(fleet.complete_prefill(key, first, 10_000, START));
    fleet.begin_prefill(key, second, pending(1000), 10_000, START);
    assert!(fleet.abandon_prefill(key, second, START));
    assert_eq!(cached(&fleet), 1000, "parts of a finished prefill stay");
}

/// Guards against stale estimates: decode engines were assumed to keep parts that imported KV
/// caches had evicted.
#[test]
fn an_imported_kv_cache_is_cached_and_evicts_other_parts() {
    let mut fleet = ServerFleet::default();
    for id in ["reader", "writer"] {
        fleet.put(entry(id, 1));
    }
    let (prefill_engine, decode_engine) =
        (fleet.key("reader").unwrap(), fleet.key("writer").unwrap());
    let old = PromptShape::new("m", [("old", 2000)], 2000, 1);
    fleet.server_mut(decode_engine).prefix_index.insert(&old, 10_000);
    let imported = PromptShape::new("m", [("imported", 3000)], 3000, 1);
    let send_id = SendId { daemon: 1, number: 1 };
    let prefill = PendingPrefill {
        prompt: imported.clone(),
        tokens: 3000,
        sent_at: START,
        decode_engine: Some(decode_engine),
    };
    fleet.begin_prefill(prefill_engine, send_id, prefill, 10_000, START);
    assert_eq!(
        fleet.server(decode_engine).prefix_index.cached_tokens(&imported, 10_000),
        0,
        "the prefill hasn't finished"
    );
    fleet.complete_prefill(prefill_engine, send_id, 10_000, START);
    assert_eq!(fleet.server(decode_engine).prefix_index.fetchable_tokens(&imported, 10_000), 3000);
    for name in 0..3 {
        let filler = PromptShape::new("m", [(name.to_string().as_str(), 2000)], 2000, 1);
        fleet.server_mut(decode_engine).prefix_index.insert(&filler, 10_000);
    }
    assert_eq!(fleet.server(decode_engine).prefix_index.cached_tokens(&old, 10_000), 0);
}

#[test]
fn an_engine_slower_than_measured_keeps_the_prompts_after_the_first() {
    let mut backlog = PrefillBacklog::default();
    for number in 0..3 {
        backlog.add(SendId { daemon: 1, number }, pending(1000), 50.0, START);
    }
    assert_eq!(backlog.tokens_ahead(50.0, START), 3000.0);
    assert_eq!(backlog.tokens_ahead(50.0, after(500)), 2000.0);
}

#[test]
fn the_sends_of_an_unresponsive_daemon_are_dropped() {
    let mut backlog = PrefillBacklog::default();
    backlog.add(SendId { daemon: 1, number: 0 }, pending(1000), 50.0, START);
    backlog.add(SendId { daemon: 2, number: 0 }, pending(500), 50.0, START);
    backlog.remove_if(|send_id, _| send_id.daemon == 1);
    assert_eq!(backlog.tokens_ahead(50.0, START), 500.0);
}

#[test]
fn a_failing_engine_is_retried_after_a_cooldown() {
    let mut health = EngineHealth::default();
    for _ in 0..3 {
        health.record_failure(START);
    }
    assert!(!health.is_available(START));
    assert!(health.is_available(after(1000)));
    health.record_unreachable(after(1000));
    assert!(!health.is_available(after(2000)), "the second cooldown is longer");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of requests and retries, all daemons together stay within the retry budget
    /// in every window.
    #[test]
    fn daemons_together_stay_within_the_retry_budget(
        steps in prop::collection::vec((0..4_usize, any::<bool>(), 0..200_u64), 1..400)
    ) {
        let window = Duration::from_secs(10);
        let allowance = RetryAllowance { ratio: 0.2, window, slack: 52 };
        let mut counters = vec![RetryCounter::default(); 4];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = START;
        for (daemon, is_retry, wait) in steps {
            now = now + Duration::from_millis(wait);
            if is_retry {
                if counters[daemon].try_retry(allowance, 4, now) {
                    retries.push(now);
                }
            } else {
                counters[daemon].record_request(window, now);
                requests.push(now);
            }
            let within = |times: &[Timestamp]| {
                times.iter().filter(|time| now.since(**time) < window).count() as f64
            };
            prop_assert!(within(&retries) <= within(&requests) * 0.2 + 52.0);
        }
    }
}

/// Guards against a late configuration: a daemon got one 4 s too late after its connection had
/// failed. Its relay no longer kept the changes, and the daemon waited before it called the service
/// as if the service had failed.
#[test]
fn a_daemon_watches_the_service_at_once_if_its_relay_fails() {
    let mut plan = WatchPlan::new(0, START);
    assert_eq!(plan.source(true, START), WatchSource::Relay);
    assert_eq!(plan.relay_failed(RelayFailure::Unreachable, START), None);
    assert_eq!(plan.source(true, START), WatchSource::Store);
    for _ in 0..5 {
        plan.store_failed(true, START);
    }
    assert!(plan.relay_failed(RelayFailure::Unreachable, START).is_some());
    assert_eq!(plan.source(true, START), WatchSource::Relay);
    assert_eq!(plan.relay_failed(RelayFailure::Compacted, START), None);
    assert_eq!(plan.source(true, START), WatchSource::Store);
}

/// A daemon has to get missed changes within `stable-ms` after its connection recovers: 3 s, or 4 s
/// with relays. A call on an unresponsive connection ends after 2.2 s, and the next call must be
/// done by then.
#[test]
fn after_a_long_outage_a_daemon_calls_again_in_time() {
    const CALL_TIMEOUT: Duration = Duration::from_millis(2200);
    for (has_relay, limit) in [(false, 3000), (true, 4000)] {
        let mut plan = WatchPlan::new(0, START);
        let mut now = START;
        for _ in 0..10 {
            now = now + plan.store_failed(has_relay, now);
        }
        let mut waited = CALL_TIMEOUT + plan.store_failed(has_relay, now);
        if has_relay {
            let from = now;
            while let Some(delay) =
                plan.relay_failed(RelayFailure::Unreachable, from + (waited - CALL_TIMEOUT))
            {
                waited += delay;
            }
        }
        assert!(waited < Duration::from_millis(limit), "{waited:?} with relay {has_relay}");
    }
}

/// Guards against load in an outage: during an outage of 8 s, 89 daemons called the service every
/// 250 ms.
#[test]
fn delays_grow_in_an_outage_and_reset_after_it() {
    let (first, longest) = (Duration::from_millis(250), Duration::from_secs(1));
    let mut backoff = RetryBackoff::new(first, longest, 0);
    let delays: Vec<u128> = (0..4).map(|_| backoff.next_delay().as_millis()).collect();
    assert_eq!(delays, [250, 500, 1000, 1000]);
    backoff.reset();
    assert_eq!(backoff.next_delay(), first);
    let mut other = RetryBackoff::new(first, longest, u64::MAX);
    assert!(other.next_delay() < first, "the delays of daemons differ");
}
