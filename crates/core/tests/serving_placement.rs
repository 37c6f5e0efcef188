//! Placement and admission under the load that they answer: long prompts with
//! large shared parts, short outputs.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        admission::{self, AdmissionRequest, AdmissionVerdict},
        backlog::{PendingPrefill, SendId},
        configuration::EngineSpec,
        directory::{EngineStage, ServerEntry},
        distance::DomainMap,
        fleet::ServerFleet,
        placement::{self, Placement, PlacementPath, PlacementRequest},
        prompt::PromptShape,
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
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.into(),
        slots: 64,
        is_draining: false,
        stage,
        started_at_ms: Some(1),
    }
}

/// Two domains with two readers and one engine for outputs each.
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
    let (service, home): (SmolStr, SmolStr) = ("assistant".into(), "a".into());
    let request = PlacementRequest {
        service: &service,
        prompt,
        spec: spec(),
        home_domain: &home,
        excluded: &[],
        request_hash: 1,
        body_bytes: 1_000,
        group_size: usize::MAX,
        first_event_limit_ms: 570.0,
    };
    placement::choose(fleet, &domains(), &request, now)
}

fn note(fleet: &mut ServerFleet, number: u64, key: EngineKey, prompt: &PromptShape, work: u32) {
    let send_id = SendId { daemon: 1, number };
    fleet.begin_prefill(key, send_id, pending(prompt, work, START), KV_TOKENS, START);
}

fn pending(prompt: &PromptShape, tokens: u32, sent_at: Timestamp) -> PendingPrefill {
    PendingPrefill { prompt: prompt.clone(), tokens, sent_at, decode_engine: None }
}

#[test]
fn shared_parts_are_read_once_while_their_engine_has_room() {
    let mut fleet = fleet();
    let first = long_prompt("0");
    let home = place(&fleet, &first, START).expect("a placement");
    note(&mut fleet, 0, home.path.prefill_engine(), &first, home.prefill_tokens);
    fleet.complete_prefill(
        home.path.prefill_engine(),
        SendId { daemon: 1, number: 0 },
        KV_TOKENS,
        START,
    );
    for own in ["1", "2", "3"] {
        let placement = place(&fleet, &long_prompt(own), START).expect("a placement");
        assert_eq!(placement.path.prefill_engine(), home.path.prefill_engine());
        assert_eq!(placement.shared_prefill_tokens, 0);
    }
}

/// A fifth of what engines read on a calm day were shared parts that another
/// engine had.
#[test]
fn a_shared_part_is_fetched_where_its_engine_has_a_long_queue() {
    let mut fleet = fleet();
    let first = long_prompt("0");
    let home = place(&fleet, &first, START).expect("a placement").path.prefill_engine();
    note(&mut fleet, 0, home, &first, 20_000);
    let unread = place(&fleet, &long_prompt("next"), START).expect("a placement");
    assert!(unread.fetch.is_none(), "a part that is being read can't be fetched: {unread:?}");
    fleet.complete_prefill(home, SendId { daemon: 1, number: 0 }, KV_TOKENS, START);
    for number in 1..5 {
        note(&mut fleet, number, home, &long_prompt(&number.to_string()), 20_000);
    }
    let placement = place(&fleet, &long_prompt("next"), START).expect("a placement");
    assert_ne!(placement.path.prefill_engine(), home);
    let fetch = placement.fetch.expect("a fetch");
    assert_eq!((fetch.source, fetch.cached_tokens), (home, 13_300));
    assert_eq!(placement.shared_prefill_tokens, 0);
    let own = long_prompt("next").prefill_work(13_300);
    assert_eq!(placement.prefill_tokens, own);
}

#[test]
fn nothing_is_fetched_that_is_read_sooner() {
    let mut fleet = fleet();
    let small = PromptShape::new("m", [("small", 300), ("own", 900)], 1_200, 100);
    let home = place(&fleet, &small, START).expect("a placement").path.prefill_engine();
    note(&mut fleet, 0, home, &small, 20_000);
    fleet.complete_prefill(home, SendId { daemon: 1, number: 0 }, KV_TOKENS, START);
    note(&mut fleet, 1, home, &long_prompt("1"), 20_000);
    let next = PromptShape::new("m", [("small", 300), ("next", 900)], 1_200, 100);
    let placement = place(&fleet, &next, START).expect("a placement");
    assert_ne!(placement.path.prefill_engine(), home);
    assert_eq!(placement.fetch, None);
}

#[test]
fn a_shared_part_is_read_elsewhere_when_its_engine_has_a_long_queue() {
    let mut fleet = fleet();
    let first = long_prompt("0");
    let home = place(&fleet, &first, START).expect("a placement").path.prefill_engine();
    for number in 0..4 {
        note(&mut fleet, number, home, &long_prompt(&number.to_string()), 20_000);
    }
    let placement = place(&fleet, &long_prompt("next"), START).expect("a placement");
    assert_ne!(placement.path.prefill_engine(), home);
}

#[test]
fn all_daemons_choose_the_same_engine_for_a_new_shared_part() {
    let fleet = fleet();
    let prompt = long_prompt("0");
    let service: SmolStr = "assistant".into();
    // The domains lie 16 ms apart, which the hash may outweigh; within a domain
    // it decides alone.
    let choices = ["a", "a"].map(|home| {
        let home: SmolStr = home.into();
        let request = PlacementRequest {
            service: &service,
            prompt: &prompt,
            spec: spec(),
            home_domain: &home,
            excluded: &[],
            request_hash: 1,
            body_bytes: 1_000,
            group_size: usize::MAX,
            first_event_limit_ms: 570.0,
        };
        placement::choose(&fleet, &domains(), &request, START).map(|placement| placement.path)
    });
    assert!(choices[0].is_some());
    assert_eq!(choices[0], choices[1]);
}

#[test]
fn the_output_is_made_in_the_domain_of_the_reader() {
    let fleet = fleet();
    let placement = place(&fleet, &long_prompt("0"), START).expect("a placement");
    let PlacementPath::Split { prefill, decode } = placement.path else {
        panic!("a long prompt is read apart: {placement:?}");
    };
    assert_eq!(fleet.server(prefill).entry.domain, fleet.server(decode).entry.domain);
}

/// Summaries were late by their pauses, not by their first events: engines that
/// made outputs read one small prompt after another.
#[test]
fn small_prompts_in_a_row_do_not_pause_outputs() {
    let mut fleet = fleet();
    let mut beside = HashMap::new();
    for number in 0..40 {
        let prompt = short_prompt(&number.to_string());
        let placement = place(&fleet, &prompt, START).expect("a placement");
        note(
            &mut fleet,
            number,
            placement.path.prefill_engine(),
            &prompt,
            placement.prefill_tokens,
        );
        if let PlacementPath::Whole { engine } = placement.path {
            *beside.entry(engine).or_insert(0) += placement.prefill_tokens;
        }
    }
    assert!(beside.values().all(|tokens| *tokens <= 2048), "read beside outputs: {beside:?}");
}

#[test]
fn outputs_read_their_own_prompts_if_no_reader_is_left() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("a-write", "a", EngineStage::Decode));
    let placement = place(&fleet, &long_prompt("0"), START).expect("a placement");
    assert!(matches!(placement.path, PlacementPath::Whole { .. }));
}

/// With handles that lapse at once, whole prompts were read for nothing, again
/// and again.
#[test]
fn a_reader_whose_exports_are_lost_is_left_alone_for_a_while() {
    let mut fleet = fleet();
    let prompt = long_prompt("0");
    let reader = place(&fleet, &prompt, START).expect("a placement").path.prefill_engine();
    fleet.server_mut(reader).export_health.record_unreachable(START);
    let next = place(&fleet, &prompt, START).expect("a placement").path.prefill_engine();
    assert_ne!(next, reader);
    let later = START + Duration::from_secs(5);
    assert_eq!(place(&fleet, &prompt, later).expect("a placement").path.prefill_engine(), reader);
}

fn judge(placement: &Placement, objective_ms: u64, left_ms: u64) -> AdmissionVerdict {
    let request = AdmissionRequest {
        objective: Duration::from_millis(objective_ms),
        waited: Duration::ZERO,
        time_left: Duration::from_millis(left_ms),
    };
    admission::decide(request, placement)
}

fn expecting(wait_ms: f64, first_event_ms: f64) -> Placement {
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
    assert_eq!(judge(&expecting(100.0, 300.0), 600, 6000), AdmissionVerdict::Send);
}

#[test]
fn a_request_behind_a_long_queue_is_refused_with_the_time_of_the_queue() {
    let verdict = judge(&expecting(900.0, 1100.0), 600, 6000);
    assert_eq!(verdict, AdmissionVerdict::Refuse { retry_after: Duration::from_millis(900) });
}

#[test]
fn a_prompt_too_long_for_the_objective_is_served_where_nothing_waits() {
    assert_eq!(judge(&expecting(0.0, 1500.0), 600, 6000), AdmissionVerdict::Send);
}

#[test]
fn a_request_whose_deadline_passes_before_its_output_is_refused() {
    let verdict = judge(&expecting(0.0, 1500.0), 600, 2000);
    assert!(matches!(verdict, AdmissionVerdict::Refuse { .. }));
}

/// Plays an overload of twice the capacity at one engine and looks at what the
/// callers get: those that are sent have their first event on time, and the
/// engine is never idle.
#[test]
fn under_overload_what_is_sent_is_on_time_and_the_engine_stays_busy() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("read", "a", EngineStage::Prefill));
    fleet.put(entry("write", "a", EngineStage::Decode));
    let speed = fleet.server(fleet.key("read").expect("the reader")).prefill_speed();
    let (mut busy_until, mut worked_ms, mut late, mut sent) = (0.0_f64, 0.0, 0, 0);
    let mut running: Vec<(f64, EngineKey, SendId)> = Vec::new();
    const SPAN_MS: u64 = 10_000;
    // 4,000 tokens each 50 ms against 40 tokens a millisecond.
    for (number, at) in (0..SPAN_MS).step_by(50).enumerate() {
        let now = START + Duration::from_millis(at);
        running.retain(|(end, key, send_id)| {
            let is_done = *end <= at as f64;
            if is_done {
                fleet.complete_prefill(*key, *send_id, KV_TOKENS, now);
            }
            !is_done
        });
        let prompt = PromptShape::new("m", [(number.to_string().as_str(), 4_000)], 4_000, 50);
        let placement = place(&fleet, &prompt, now).expect("a placement");
        if judge(&placement, 600, 6000) != AdmissionVerdict::Send {
            continue;
        }
        let key = placement.path.prefill_engine();
        let send_id = SendId { daemon: 1, number: number as u64 };
        let read = pending(&prompt, placement.prefill_tokens, now);
        fleet.begin_prefill(key, send_id, read, KV_TOKENS, now);
        let prefill_ms = f64::from(placement.prefill_tokens) / speed;
        busy_until = busy_until.max(at as f64) + prefill_ms;
        worked_ms += prefill_ms;
        running.push((busy_until, key, send_id));
        sent += 1;
        late += u32::from(busy_until - at as f64 > 600.0);
    }
    assert_eq!(late, 0, "{sent} were sent");
    assert!(worked_ms > SPAN_MS as f64 * 0.95, "worked {worked_ms} ms of {SPAN_MS}");
}

#[test]
fn each_domain_keeps_one_engine_for_outputs_and_reads_with_the_others() {
    let mut fleet = ServerFleet::default();
    for name in ["1", "2", "3"] {
        fleet.put(entry(name, "a", EngineStage::Decode));
    }
    let service: SmolStr = "assistant".into();
    let mut changes = 0;
    while let Some(change) = stages::plan(&fleet, &service, &HashMap::new()).first().copied() {
        let mut entry = fleet.server(change.engine).entry.clone();
        entry.stage = change.stage;
        fleet.put(entry);
        changes += 1;
        assert!(changes <= 2, "the plan doesn't settle");
    }
    let readers = fleet.iter().filter(|(_, state)| state.entry.stage == EngineStage::Prefill);
    assert_eq!(readers.count(), 2);
}

#[test]
fn engines_without_a_stage_get_no_orders() {
    let mut fleet = ServerFleet::default();
    for name in ["1", "2", "3"] {
        fleet.put(entry(name, "a", EngineStage::Mixed));
    }
    assert_eq!(stages::plan(&fleet, &"assistant".into(), &HashMap::new()), []);
}

/// Under load the idlest engine changed from one look to the next, and a domain
/// of fifteen kept ten engines for outputs through the day.
#[test]
fn a_large_domain_gets_its_readers_whatever_engine_is_the_idlest() {
    let mut fleet = ServerFleet::default();
    let service: SmolStr = "assistant".into();
    for number in 0..15 {
        let stage = if number < 5 { EngineStage::Prefill } else { EngineStage::Decode };
        fleet.put(entry(&format!("e-{number:02}"), "a", stage));
    }
    let mut orders = HashMap::new();
    let (mut rounds, mut most_away) = (0, 0);
    loop {
        // Which engines are busy differs at each look.
        for (number, key) in fleet.keys().into_iter().enumerate() {
            fleet.server_mut(key).running = ((number + rounds * 7) % 15) as u32;
        }
        let changes = stages::plan(&fleet, &service, &orders);
        if changes.is_empty() {
            break;
        }
        for change in &changes {
            orders.insert(change.engine, OrderState::Pending(change.stage));
        }
        let again = stages::plan(&fleet, &service, &orders);
        assert_eq!(again, [], "no more may be away at once");
        most_away = most_away.max(changes.len());
        for change in changes {
            let mut entry = fleet.server(change.engine).entry.clone();
            entry.stage = change.stage;
            fleet.put(entry);
        }
        orders.clear();
        rounds += 1;
        assert!(rounds < 10, "the plan doesn't settle");
    }
    let writers = fleet.iter().filter(|(_, state)| state.entry.stage == EngineStage::Decode);
    assert_eq!(writers.count(), 4);
    assert!(most_away <= 4, "{most_away} away at once");
}

#[test]
fn an_engine_that_refused_an_order_is_left_alone_and_another_takes_its_place() {
    let mut fleet = ServerFleet::default();
    for name in ["1", "2", "3"] {
        fleet.put(entry(name, "a", EngineStage::Decode));
    }
    let service: SmolStr = "assistant".into();
    let first = stages::plan(&fleet, &service, &HashMap::new())[0].engine;
    let orders = HashMap::from([(first, OrderState::Refused)]);
    let next = stages::plan(&fleet, &service, &orders)[0].engine;
    assert_ne!(next, first);
}

/// Bodies that crossed regions cost more than anything else on calm days, with
/// engines at home as idle as those far away.
#[test]
fn a_prompt_stays_in_its_region_while_there_is_room() {
    let mut fleet = fleet();
    for number in 0..20 {
        let name = format!("manual-{number}");
        let prompt = PromptShape::new("m", [(name.as_str(), 3_000), ("own", 500)], 3_500, 100);
        let placement = place(&fleet, &prompt, START).expect("a placement");
        assert_eq!(fleet.server(placement.path.prefill_engine()).entry.domain, "a");
    }
    for name in ["a-read-1", "a-read-2"] {
        let key = fleet.key(name).expect("a reader");
        note(&mut fleet, u64::from(name.ends_with('2')), key, &long_prompt("x"), 40_000);
    }
    let placement = place(&fleet, &long_prompt("next"), START).expect("a placement");
    assert_eq!(fleet.server(placement.path.prefill_engine()).entry.domain, "b");
}
