//! Placement and admission with long prompts, large shared parts and short outputs.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        admission::{self, AdmissionDecision, AdmissionRequest},
        backlog::{PendingPrefill, SendId},
        configuration::EngineSpec,
        directory::{EngineStage, ServerEntry},
        distance::DomainMap,
        fleet::ServerFleet,
        placement::{self, Placement, PlacementPath, PlacementRequest},
        prompt::PromptShape,
        stage_demand::StageDemand,
        stages::{self, OrderState},
    },
    time::Timestamp,
};
use smol_str::SmolStr;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const KV_TOKENS: u64 = 472_920;

fn spec() -> EngineSpec {
    EngineSpec {
        kv_tokens: KV_TOKENS,
        kv_bytes: 163_840.0,
        link_mbps: 1_600_000.0,
        export_lifetime: Duration::from_secs(5),
        stage_change_duration: Duration::from_secs(3),
    }
}

fn entry(id: &str, domain: &str, stage: EngineStage) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "assistant".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: domain.into(),
        slots: 64,
        software: "v1".into(),
        is_draining: false,
        stage,
        is_reclaimable: false,
        started_at_ms: Some(1),
        sequence: 1,
    }
}

/// Two domains with two prefill engines and one decode engine each.
fn fleet() -> ServerFleet {
    let mut fleet = ServerFleet::default();
    for domain in ["a", "b"] {
        fleet.put(entry(&format!("{domain}-read-1"), domain, EngineStage::Prefill));
        fleet.put(entry(&format!("{domain}-read-2"), domain, EngineStage::Prefill));
        fleet.put(entry(&format!("{domain}-write"), domain, EngineStage::Decode));
    }
    fleet
}

fn domains() -> DomainMap {
    let regions = [("a", "one"), ("b", "two")];
    DomainMap::new(regions.map(|(domain, region)| (domain.into(), region.into())).into())
}

fn long_prompt(own: &str) -> PromptShape {
    PromptShape::new("m", [("manual", 13_300), (own, 3_700)], 17_000, 100)
}

fn short_prompt(own: &str) -> PromptShape {
    PromptShape::new("m", [(own, 1_100)], 1_100, 100)
}

fn place(fleet: &ServerFleet, prompt: &PromptShape, now: Timestamp) -> Option<Placement> {
    let (service, home_domain): (SmolStr, SmolStr) = ("assistant".into(), "a".into());
    let request = PlacementRequest {
        service: &service,
        prompt,
        spec: spec(),
        home_domain: &home_domain,
        software: None,
        excluded: &[],
        request_hash: 1,
        body_bytes: 1_000,
        group_size: usize::MAX,
        first_event_limit_ms: 570.0,
        event_pause_ms: 200.0,
    };
    placement::choose(fleet, &domains(), &request, now)
}

fn begin(fleet: &mut ServerFleet, number: u64, key: EngineKey, prompt: &PromptShape, work: u32) {
    let send_id = SendId { daemon: 1, number };
    fleet.begin_prefill(key, send_id, pending(prompt, work, START), KV_TOKENS, START);
}

fn pending(prompt: &PromptShape, tokens: u32, sent_at: Timestamp) -> PendingPrefill {
    PendingPrefill { prompt: prompt.clone(), tokens, sent_at, decode_engine: None }
}

#[test]
fn shared_parts_are_computed_once_while_their_engine_has_capacity() {
    let mut fleet = fleet();
    let first = long_prompt("0");
    let placed = place(&fleet, &first, START).expect("a usable engine");
    begin(&mut fleet, 0, placed.path.prefill_engine(), &first, placed.prefill_tokens);
    fleet.complete_prefill(
        placed.path.prefill_engine(),
        SendId { daemon: 1, number: 0 },
        KV_TOKENS,
        START,
    );
    for own in ["1", "2", "3"] {
        let placement = place(&fleet, &long_prompt(own), START).expect("a usable engine");
        assert_eq!(placement.path.prefill_engine(), placed.path.prefill_engine());
        assert_eq!(placement.shared_prefill_tokens, 0);
    }
}

/// Guards against a limit in tokens that suits one speed: at engines that read 471 tokens in a
/// millisecond while they decode, no prompt over 2,048 tokens was read where it was decoded, and each
/// moved to a second engine for a prefill of 6 ms.
#[test]
fn a_prompt_whose_prefill_delays_no_events_is_read_where_it_is_decoded() {
    let mut fleet = fleet();
    let prompt = PromptShape::new("m", [("own", 2_900)], 2_900, 100);
    let is_whole = |fleet: &ServerFleet| {
        let placement = place(fleet, &prompt, START).expect("a usable engine");
        matches!(placement.path, PlacementPath::Whole { .. })
    };
    assert!(!is_whole(&fleet), "at 20 tokens in a millisecond it would delay events by 150 ms");
    for key in fleet.keys() {
        let is_decode = fleet.server(key).entry.stage == EngineStage::Decode;
        let speed = if is_decode { 471.0 } else { 942.0 };
        for _ in 0..50 {
            fleet.record_speed(key, 100_000, 100_000.0 / speed);
        }
    }
    assert!(is_whole(&fleet));
}

/// Guards against a fleet that refuses everything: an engine that hung during the first prefill made all
/// engines seem to take 40 s for a prompt, and as none was sent, nothing corrected that.
#[test]
fn a_first_prefill_that_is_delayed_does_not_stop_the_others() {
    let mut fleet = fleet();
    let key = fleet.key("a-read-1").expect("known prefill engine");
    fleet.record_speed(key, 900, 10_000.0);
    let placement = place(&fleet, &short_prompt("next"), START).expect("a usable engine");
    assert_eq!(decide(&placement, 600, 6000), AdmissionDecision::Send);
}

/// Guards against repeated prefills: a fifth of the prefill work under moderate load was for shared
/// parts that another engine had cached.
#[test]
fn a_shared_part_is_fetched_if_its_engine_has_a_long_queue() {
    let mut fleet = fleet();
    let first = long_prompt("0");
    let first_engine = place(&fleet, &first, START).expect("a usable engine").path.prefill_engine();
    begin(&mut fleet, 0, first_engine, &first, 20_000);
    let during_prefill = place(&fleet, &long_prompt("next"), START).expect("a usable engine");
    assert!(
        during_prefill.fetch.is_none(),
        "a part can't be fetched during its prefill: {during_prefill:?}"
    );
    fleet.complete_prefill(first_engine, SendId { daemon: 1, number: 0 }, KV_TOKENS, START);
    for number in 1..5 {
        begin(&mut fleet, number, first_engine, &long_prompt(&number.to_string()), 20_000);
    }
    let placement = place(&fleet, &long_prompt("next"), START).expect("a usable engine");
    assert_ne!(placement.path.prefill_engine(), first_engine);
    let fetch = placement.fetch.expect("a cheaper fetch");
    assert_eq!((fetch.source, fetch.cached_tokens), (first_engine, 13_300));
    assert_eq!(placement.shared_prefill_tokens, 0);
    let own = long_prompt("next").prefill_work(13_300);
    assert_eq!(placement.prefill_tokens, own);
}

#[test]
fn parts_that_are_faster_to_compute_are_not_fetched() {
    let mut fleet = fleet();
    let small = PromptShape::new("m", [("small", 300), ("own", 900)], 1_200, 100);
    let first_engine = place(&fleet, &small, START).expect("a usable engine").path.prefill_engine();
    begin(&mut fleet, 0, first_engine, &small, 20_000);
    fleet.complete_prefill(first_engine, SendId { daemon: 1, number: 0 }, KV_TOKENS, START);
    begin(&mut fleet, 1, first_engine, &long_prompt("1"), 20_000);
    let next = PromptShape::new("m", [("small", 300), ("next", 900)], 1_200, 100);
    let placement = place(&fleet, &next, START).expect("a usable engine");
    assert_ne!(placement.path.prefill_engine(), first_engine);
    assert_eq!(placement.fetch, None);
}

#[test]
fn a_shared_part_is_computed_elsewhere_if_its_engine_has_a_long_queue() {
    let mut fleet = fleet();
    let first = long_prompt("0");
    let first_engine = place(&fleet, &first, START).expect("a usable engine").path.prefill_engine();
    for number in 0..4 {
        begin(&mut fleet, number, first_engine, &long_prompt(&number.to_string()), 20_000);
    }
    let placement = place(&fleet, &long_prompt("next"), START).expect("a usable engine");
    assert_ne!(placement.path.prefill_engine(), first_engine);
}

#[test]
fn all_daemons_choose_the_same_engine_for_a_new_shared_part() {
    let fleet = fleet();
    let prompt = long_prompt("0");
    let service: SmolStr = "assistant".into();
    // The domains are 16 ms apart, which the hash may outweigh. Within a domain the hash decides
    // alone.
    let choices = ["a", "a"].map(|domain| {
        let home_domain: SmolStr = domain.into();
        let request = PlacementRequest {
            service: &service,
            prompt: &prompt,
            spec: spec(),
            home_domain: &home_domain,
            software: None,
            excluded: &[],
            request_hash: 1,
            body_bytes: 1_000,
            group_size: usize::MAX,
            first_event_limit_ms: 570.0,
            event_pause_ms: 200.0,
        };
        placement::choose(&fleet, &domains(), &request, START).map(|placement| placement.path)
    });
    assert!(choices[0].is_some());
    assert_eq!(choices[0], choices[1]);
}

#[test]
fn decode_runs_in_the_domain_of_the_prefill_engine() {
    let fleet = fleet();
    let placement = place(&fleet, &long_prompt("0"), START).expect("a usable engine");
    let PlacementPath::Split { prefill, decode } = placement.path else {
        panic!("the prefill of a long prompt should run on another engine: {placement:?}");
    };
    assert_eq!(fleet.server(prefill).entry.domain, fleet.server(decode).entry.domain);
}

/// Guards against long gaps between stream events: decode engines ran the prefills of many small
/// prompts in a row, so responses were late although their first events were on time.
#[test]
fn consecutive_small_prompts_do_not_delay_outputs() {
    let mut fleet = fleet();
    let mut interleaved = HashMap::new();
    for number in 0..40 {
        let prompt = short_prompt(&number.to_string());
        let placement = place(&fleet, &prompt, START).expect("a usable engine");
        begin(
            &mut fleet,
            number,
            placement.path.prefill_engine(),
            &prompt,
            placement.prefill_tokens,
        );
        if let PlacementPath::Whole { engine } = placement.path {
            *interleaved.entry(engine).or_insert(0) += placement.prefill_tokens;
        }
    }
    assert!(
        interleaved.values().all(|tokens| *tokens <= 2048),
        "prefill tokens at decode engines: {interleaved:?}"
    );
}

#[test]
fn decode_engines_prefill_if_no_prefill_engine_is_left() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("a-write", "a", EngineStage::Decode));
    let placement = place(&fleet, &long_prompt("0"), START).expect("a usable engine");
    assert!(matches!(placement.path, PlacementPath::Whole { .. }));
}

/// Guards against useless prefills: when exported KV caches expired at once, the same engine got
/// whole prompts again and again.
#[test]
fn a_prefill_engine_with_unavailable_exports_is_avoided_for_a_while() {
    let mut fleet = fleet();
    let prompt = long_prompt("0");
    let prefill_engine =
        place(&fleet, &prompt, START).expect("a usable engine").path.prefill_engine();
    fleet.server_mut(prefill_engine).export_health.record_unreachable(START);
    let next = place(&fleet, &prompt, START).expect("a usable engine").path.prefill_engine();
    assert_ne!(next, prefill_engine);
    let later = START + Duration::from_secs(5);
    assert_eq!(
        place(&fleet, &prompt, later).expect("a usable engine").path.prefill_engine(),
        prefill_engine
    );
}

fn decide(placement: &Placement, objective_ms: u64, left_ms: u64) -> AdmissionDecision {
    let request = AdmissionRequest {
        objective: Duration::from_millis(objective_ms),
        waited: Duration::ZERO,
        time_left: Duration::from_millis(left_ms),
        contention: None,
    };
    admission::decide(request, placement)
}

fn placement_with(wait_ms: f64, first_event_ms: f64) -> Placement {
    let path = PlacementPath::Whole { engine: fleet().keys()[0] };
    Placement {
        path,
        first_event_ms,
        wait_ms,
        prefill_tokens: 1,
        shared_prefill_tokens: 0,
        fetch: None,
    }
}

#[test]
fn a_request_that_will_be_on_time_is_sent() {
    assert_eq!(decide(&placement_with(100.0, 300.0), 600, 6000), AdmissionDecision::Send);
}

#[test]
fn a_request_behind_a_long_queue_is_refused_with_the_time_of_the_queue() {
    let decision = decide(&placement_with(900.0, 1100.0), 600, 6000);
    assert_eq!(decision, AdmissionDecision::Refuse { retry_after: Duration::from_millis(900) });
}

#[test]
fn a_prompt_too_long_for_the_objective_is_sent_to_an_idle_engine() {
    assert_eq!(decide(&placement_with(0.0, 1500.0), 600, 6000), AdmissionDecision::Send);
}

#[test]
fn a_request_whose_deadline_passes_before_its_output_is_refused() {
    let decision = decide(&placement_with(0.0, 1500.0), 600, 2000);
    assert!(matches!(decision, AdmissionDecision::Refuse { .. }));
}

/// Simulates an overload of twice the capacity of one engine. Requests that are sent have their
/// first event on time, and the engine is never idle.
#[test]
fn under_overload_sent_requests_are_on_time_and_the_engine_stays_busy() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("read", "a", EngineStage::Prefill));
    fleet.put(entry("write", "a", EngineStage::Decode));
    let speed = fleet.server(fleet.key("read").expect("known prefill engine")).prefill_speed();
    let (mut busy_until, mut worked_ms, mut late, mut sent) = (0.0_f64, 0.0, 0, 0);
    let mut running: Vec<(f64, EngineKey, SendId)> = Vec::new();
    const DURATION_MS: u64 = 10_000;
    // 4,000 tokens every 50 ms, at a prefill speed of 40 tokens per millisecond.
    for (number, at) in (0..DURATION_MS).step_by(50).enumerate() {
        let now = START + Duration::from_millis(at);
        running.retain(|(end, key, send_id)| {
            let is_done = *end <= at as f64;
            if is_done {
                fleet.complete_prefill(*key, *send_id, KV_TOKENS, now);
            }
            !is_done
        });
        let prompt = PromptShape::new("m", [(number.to_string().as_str(), 4_000)], 4_000, 50);
        let placement = place(&fleet, &prompt, now).expect("a usable engine");
        if decide(&placement, 600, 6000) != AdmissionDecision::Send {
            continue;
        }
        let key = placement.path.prefill_engine();
        let send_id = SendId { daemon: 1, number: number as u64 };
        let prefill = pending(&prompt, placement.prefill_tokens, now);
        fleet.begin_prefill(key, send_id, prefill, KV_TOKENS, now);
        let prefill_ms = f64::from(placement.prefill_tokens) / speed;
        busy_until = busy_until.max(at as f64) + prefill_ms;
        worked_ms += prefill_ms;
        running.push((busy_until, key, send_id));
        sent += 1;
        late += u32::from(busy_until - at as f64 > 600.0);
    }
    assert_eq!(late, 0, "{late} of {sent} sent requests were late");
    assert!(worked_ms > DURATION_MS as f64 * 0.95, "worked {worked_ms} ms of {DURATION_MS}");
}

#[test]
fn each_domain_keeps_one_decode_engine_and_prefills_with_the_others() {
    let mut fleet = ServerFleet::default();
    for name in ["1", "2", "3"] {
        fleet.put(entry(name, "a", EngineStage::Decode));
    }
    let service: SmolStr = "assistant".into();
    let mut changes = 0;
    while let Some(change) =
        stages::plan(&fleet, &service, &StageDemand::default(), &HashMap::new()).first().copied()
    {
        let mut entry = fleet.server(change.engine).entry.clone();
        entry.stage = change.stage;
        fleet.put(entry);
        changes += 1;
        assert!(changes <= 2, "the plan doesn't converge");
    }
    let prefill_engines =
        fleet.iter().filter(|(_, state)| state.entry.stage == EngineStage::Prefill);
    assert_eq!(prefill_engines.count(), 2);
}

#[test]
fn engines_without_a_stage_get_no_orders() {
    let mut fleet = ServerFleet::default();
    for name in ["1", "2", "3"] {
        fleet.put(entry(name, "a", EngineStage::Mixed));
    }
    assert_eq!(
        stages::plan(&fleet, &"assistant".into(), &StageDemand::default(), &HashMap::new()),
        []
    );
}

/// Guards against a domain that never gets its planned stages: under load the least loaded engine
/// changed between two plans, and a domain of 15 engines kept ten decode engines all day.
#[test]
fn a_large_domain_gets_its_prefill_engines_whichever_engine_is_least_loaded() {
    let mut fleet = ServerFleet::default();
    let service: SmolStr = "assistant".into();
    for number in 0..15 {
        let stage = if number < 5 { EngineStage::Prefill } else { EngineStage::Decode };
        fleet.put(entry(&format!("e-{number:02}"), "a", stage));
    }
    let mut orders = HashMap::new();
    let (mut rounds, mut most_changing) = (0, 0);
    loop {
        // Other engines are busy in each round.
        for (number, key) in fleet.keys().into_iter().enumerate() {
            fleet.server_mut(key).running = ((number + rounds * 7) % 15) as u32;
        }
        let changes = stages::plan(&fleet, &service, &StageDemand::default(), &orders);
        if changes.is_empty() {
            break;
        }
        for change in &changes {
            orders.insert(change.engine, OrderState::Pending(change.stage));
        }
        let again = stages::plan(&fleet, &service, &StageDemand::default(), &orders);
        assert_eq!(again, [], "no further engine may change its stage meanwhile");
        most_changing = most_changing.max(changes.len());
        for change in changes {
            let mut entry = fleet.server(change.engine).entry.clone();
            entry.stage = change.stage;
            fleet.put(entry);
        }
        orders.clear();
        rounds += 1;
        assert!(rounds < 10, "the plan doesn't converge");
    }
    let decode_engines = fleet.iter().filter(|(_, state)| state.entry.stage == EngineStage::Decode);
    assert_eq!(decode_engines.count(), 4);
    assert!(most_changing <= 4, "{most_changing} stage changes at once");
}

#[test]
fn an_engine_that_refused_an_order_is_replaced_by_another() {
    let mut fleet = ServerFleet::default();
    for name in ["1", "2", "3"] {
        fleet.put(entry(name, "a", EngineStage::Decode));
    }
    let service: SmolStr = "assistant".into();
    let first = stages::plan(&fleet, &service, &StageDemand::default(), &HashMap::new())[0].engine;
    let orders = HashMap::from([(first, OrderState::Refused)]);
    let next = stages::plan(&fleet, &service, &StageDemand::default(), &orders)[0].engine;
    assert_ne!(next, first);
}

/// Guards against needless traffic between regions: bodies sent to another region were the largest
/// cost under moderate load, although the engines of the home region were just as idle.
#[test]
fn a_prompt_stays_in_its_region_while_there_is_capacity() {
    let mut fleet = fleet();
    for number in 0..20 {
        let name = format!("manual-{number}");
        let prompt = PromptShape::new("m", [(name.as_str(), 3_000), ("own", 500)], 3_500, 100);
        let placement = place(&fleet, &prompt, START).expect("a usable engine");
        assert_eq!(fleet.server(placement.path.prefill_engine()).entry.domain, "a");
    }
    for name in ["a-read-1", "a-read-2"] {
        let key = fleet.key(name).expect("known prefill engine");
        begin(&mut fleet, u64::from(name.ends_with('2')), key, &long_prompt("x"), 40_000);
    }
    let placement = place(&fleet, &long_prompt("next"), START).expect("a usable engine");
    assert_eq!(fleet.server(placement.path.prefill_engine()).entry.domain, "b");
}
