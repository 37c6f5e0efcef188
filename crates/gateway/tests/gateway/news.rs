//! Updates between daemons, and changes of the key-value service.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        backlog::{PendingPrefill, SendId},
        budget::RetryAllowance,
        directory::{EngineStage, ServerEntry},
        part_evidence::EngineIncarnation,
        prompt::{PartFingerprint, PromptShape},
        software::{SoftwareKey, StreamKey},
        store_era::StoreRevision,
    },
    time::Timestamp,
};
use gooseberry_gateway::{
    changes::{ChangeLog, ListTimes, MAX_RESPONSE_AGE},
    state::{GatewayState, PEER_TIMEOUT},
    updates::{PrefillEnd, SendUpdate, SpeedSample},
};
use gooseberry_platform::{
    configuration,
    store::{StoreChange, StoreKey, StoreUpdate},
};
use gooseberry_standins::gateway_mocks;
use http::StatusCode;

/// Era of the key-value service.
const ERA: u64 = 3;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const START_TIMES: ListTimes = ListTimes { responded_at: START, listed_at: START };

fn state(daemon: u64) -> GatewayState {
    let mut state = GatewayState::new(daemon);
    let entry = ServerEntry {
        id: "one".into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 64,
        software: "v1".into(),
        is_draining: false,
        stage: EngineStage::Prefill,
        is_reclaimable: false,
        started_at_ms: None,
        sequence: 1,
    };
    state.put_server(entry, START);
    state
}

fn tokens_ahead(state: &GatewayState, now: Timestamp) -> f64 {
    let key = state.fleet.key("one").expect("known server");
    let server = state.fleet.server(key);
    server.backlog.tokens_ahead(server.prefill_speed(), now)
}

fn begin(state: &mut GatewayState) -> SendId {
    let key = state.fleet.key("one").expect("known server");
    let prompt = PromptShape::new("m", [("p", 5000)], 5000, 10);
    let prefill = PendingPrefill { prompt, tokens: 5000, sent_at: START, decode_engine: None };
    state.begin_prefill(key, prefill, START)
}

#[test]
fn the_sends_of_other_daemons_are_known() {
    let (mut one, mut other) = (state(1), state(2));
    let send_id = begin(&mut one);
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(tokens_ahead(&other, START), 5000.0);
    let key = one.fleet.key("one").expect("known server");
    one.end_prefill(key, send_id, PrefillEnd::Completed(None), START);
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(tokens_ahead(&other, START), 0.0);
}

#[test]
fn speeds_are_updated_from_the_prefills_of_other_daemons() {
    let (mut one, mut other) = (state(1), state(2));
    let key = one.fleet.key("one").expect("known server");
    let before = other.fleet.server(key).prefill_speed();
    for _ in 0..10 {
        let send_id = begin(&mut one);
        let sample = SpeedSample { tokens: 5000, prefill_ms: 50 };
        one.end_prefill(key, send_id, PrefillEnd::Completed(Some(sample)), START);
    }
    other.apply_updates(1, &one.take_updates(), START);
    let after = other.fleet.server(key).prefill_speed();
    assert!(before < 50.0 && after > 80.0, "{before} and then {after} tokens a millisecond");
}

#[test]
fn a_part_can_be_fetched_after_its_prefill_has_finished() {
    let (mut one, mut other) = (state(1), state(2));
    let key = one.fleet.key("one").expect("known server");
    let prompt = PromptShape::new("m", [("p", 5000)], 5000, 10);
    let send_id = begin(&mut one);
    other.apply_updates(1, &one.take_updates(), START);
    let fetchable = |state: &GatewayState| {
        state.fleet.server(key).prefix_index.fetchable_tokens(&prompt, 500_000)
    };
    assert_eq!(fetchable(&other), 0);
    one.end_prefill(key, send_id, PrefillEnd::Completed(None), START);
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(fetchable(&other), 5000);
}

#[test]
fn a_summary_repairs_a_lost_update() {
    let (mut one, mut other) = (state(1), state(2));
    let send_id = begin(&mut one);
    other.apply_updates(1, &one.take_updates(), START);
    let key = one.fleet.key("one").expect("known server");
    one.end_prefill(key, send_id, PrefillEnd::Completed(None), START);
    one.take_updates();
    let (pending, running) = one.own_summary();
    other.apply_updates(1, &[SendUpdate::Summary { pending, running }], START);
    assert_eq!(tokens_ahead(&other, START), 0.0);
}

#[test]
fn the_sends_of_an_expired_daemon_are_removed() {
    let (mut one, mut other) = (state(1), state(2));
    begin(&mut one);
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(other.live_peers(START), 1);
    other.remove_expired_peers(START + PEER_TIMEOUT);
    assert_eq!(tokens_ahead(&other, START), 0.0);
    assert_eq!(other.live_peers(START + PEER_TIMEOUT), 0);
}

#[test]
fn own_updates_that_a_relay_returns_are_ignored() {
    let mut one = state(1);
    begin(&mut one);
    let updates = one.take_updates();
    one.apply_updates(1, &updates, START);
    assert_eq!(tokens_ahead(&one, START), 5000.0);
    assert_eq!(one.live_peers(START), 0);
}

fn change(revision: u64) -> StoreChange {
    StoreChange { subject: StoreKey::Other, revision, value: None }
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(ERA, number)
}

#[test]
fn a_relay_returns_all_changes_after_a_revision() {
    let log = ChangeLog::default();
    log.reset(revision(10), START_TIMES);
    log.extend(
        &StoreUpdate { changes: vec![change(11), change(12)], revision: revision(12) },
        Some(START_TIMES),
    );
    let update = log.changes_after(revision(11), ERA, START).expect("changes");
    assert_eq!(update, StoreUpdate { changes: vec![change(12)], revision: revision(12) });
}

#[test]
fn a_relay_without_the_service_or_the_changes_reports_it() {
    let log = ChangeLog::default();
    assert_eq!(log.changes_after(revision(0), ERA, START), Err(StatusCode::SERVICE_UNAVAILABLE));
    log.reset(revision(10), START_TIMES);
    assert_eq!(log.changes_after(revision(9), ERA, START), Err(StatusCode::GONE));
    let later = START + Duration::from_secs(3);
    assert_eq!(log.changes_after(revision(10), ERA, later), Err(StatusCode::SERVICE_UNAVAILABLE));
    // Changes from another relay don't prove a connection to the service.
    log.extend(&StoreUpdate { changes: vec![change(11)], revision: revision(11) }, None);
    assert_eq!(log.changes_after(revision(10), ERA, later), Err(StatusCode::SERVICE_UNAVAILABLE));
}

#[test]
fn a_relay_that_is_cut_off_holds_no_request_beyond_the_time_for_which_its_list_counts() {
    let log = ChangeLog::default();
    log.reset(revision(10), START_TIMES);
    let longest = Duration::from_millis(1200);
    for sent_ms in (0..4000).step_by(100) {
        let now = START + Duration::from_millis(sent_ms);
        let waited = log.poll_timeout(longest, now);
        let list_age = (now + waited).since(START);
        assert!(waited.is_zero() || list_age <= MAX_RESPONSE_AGE, "held until {list_age:?}");
    }
    assert_eq!(log.poll_timeout(longest, START), longest);
}

#[test]
fn old_changes_are_dropped_and_reported() {
    let log = ChangeLog::default();
    log.reset(revision(0), START_TIMES);
    let changes: Vec<_> = (1..=1000).map(change).collect();
    log.extend(&StoreUpdate { changes, revision: revision(1000) }, Some(START_TIMES));
    assert_eq!(log.changes_after(revision(5), ERA, START), Err(StatusCode::GONE));
    assert_eq!(
        log.changes_after(revision(999), ERA, START).expect("changes").changes,
        vec![change(1000)]
    );
}

/// Guards against a relay that tells members of another era that nothing has changed.
#[test]
fn a_relay_serves_no_changes_of_another_era_than_its_own() {
    let log = ChangeLog::default();
    log.reset(revision(10), START_TIMES);
    log.extend(
        &StoreUpdate { changes: vec![change(11)], revision: revision(11) },
        Some(START_TIMES),
    );
    let (earlier, later) = (StoreRevision::new(ERA - 1, 11), StoreRevision::new(ERA + 1, 11));
    assert_eq!(log.changes_after(earlier, ERA, START), Err(StatusCode::GONE));
    assert_eq!(log.changes_after(later, ERA, START), Err(StatusCode::SERVICE_UNAVAILABLE));
    // The relay knows of a newer era and hasn't read its keys yet.
    let known = log.changes_after(revision(11), ERA + 1, START);
    assert_eq!(known, Err(StatusCode::SERVICE_UNAVAILABLE));
    log.reset(StoreRevision::new(ERA + 1, 5), START_TIMES);
    assert_eq!(log.changes_after(revision(11), ERA + 1, START), Err(StatusCode::GONE));
}

#[test]
fn a_daemon_knows_the_versions_of_streams_that_others_began() {
    let (mut first, mut second) = (state(1), state(2));
    let stream = StreamKey::of("begun-at-the-first");
    first.record_stream(stream, SoftwareKey(7), START);
    let updates = first.take_updates();
    assert_eq!(second.stream_software(stream), None);
    second.apply_updates(1, &updates, START);
    assert_eq!(second.stream_software(stream), Some(SoftwareKey(7)));
}

#[test]
fn a_daemon_that_missed_the_version_of_a_stream_gets_it_by_a_question() {
    let (mut first, mut second) = (state(1), state(2));
    let stream = StreamKey::of("begun-at-the-first");
    first.record_stream(stream, SoftwareKey(7), START);
    first.take_updates();
    second.ask_origin(stream, "model");
    second.ask_origin(StreamKey::of("unknown-to-both"), "model");
    let questions = second.take_updates();
    let responses = first.origin_responses(&questions);
    assert_eq!(responses.len(), 1);
    second.apply_updates(1, &responses, START);
    assert_eq!(second.stream_software(stream), Some(SoftwareKey(7)));
    first.apply_updates(2, &questions, START);
    assert!(first.take_updates().is_empty(), "a question is no update to pass on");
}

#[test]
fn a_daemon_that_is_asked_looks_for_the_only_version_of_streams_without_a_record() {
    let (mut old, mut new) = (state(1), state(2));
    old.versions.record_complete(START);
    let now = START + Duration::from_secs(30);
    new.versions.record_complete(now);
    let (recorded, unrecorded) = (StreamKey::of("recorded"), StreamKey::of("unrecorded"));
    old.record_stream(recorded, SoftwareKey(7), now);
    new.ask_origin(recorded, "model");
    new.ask_origin(unrecorded, "model");
    let questions = new.take_updates();
    assert_eq!(old.unrecorded_origins(&questions, now), [(unrecorded, "model".into())]);
    assert_eq!(old.origin_responses(&questions).len(), 1);
    assert!(new.unrecorded_origins(&questions, now).is_empty(), "a new daemon has no history");
}

/// Applies a configuration in which streams that may be resumed last up to a minute.
fn allow_long_streams(state: &mut GatewayState) {
    let mut configuration = gateway_mocks::configuration(1, "plain");
    let route = &mut configuration["routes"][3];
    assert_eq!(route["name"], "review");
    route["timeout-ms"] = 60_000.into();
    let text = serde_json::to_vec(&configuration).expect("the configuration can be encoded");
    state.put_configuration(configuration::decode(&text).expect("valid configuration"));
}

#[test]
fn a_restarted_daemon_joins_no_long_stream_from_two_versions() {
    let mut state = state(1);
    allow_long_streams(&mut state);
    state.versions.record_complete(START);
    let sole_version = |seconds| state.sole_software("model", START + Duration::from_secs(seconds));
    assert_eq!(sole_version(30), None);
    assert_eq!(sole_version(60), None);
    assert!(sole_version(80).is_some());
}

#[test]
fn the_version_of_a_long_stream_is_known_until_it_can_no_longer_be_resumed() {
    let mut state = state(1);
    allow_long_streams(&mut state);
    let (first, second) = (StreamKey::of("first"), StreamKey::of("second"));
    state.record_stream(first, SoftwareKey(7), START);
    state.record_stream(second, SoftwareKey(8), START + Duration::from_secs(50));
    assert_eq!(state.stream_software(first), Some(SoftwareKey(7)));
}

fn limit(state: &GatewayState) -> Option<f64> {
    let key = state.fleet.key("one").expect("known server");
    state.fleet.server(key).request_limit.per_second()
}

#[test]
fn all_daemons_know_a_limit_that_one_was_told_and_its_end() {
    let (mut one, mut other) = (state(1), state(2));
    let key = one.fleet.key("one").expect("known server");
    assert!(one.record_limit(key, Some(3.5), START, START));
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(limit(&other), Some(3.5));
    let later = START + Duration::from_secs(1);
    assert!(one.record_limit(key, None, later, later));
    other.apply_updates(1, &one.take_updates(), later);
    assert_eq!(limit(&other), None);
}

#[test]
fn a_new_daemon_learns_a_limit_from_the_next_summary() {
    let (mut one, mut new) = (state(1), state(2));
    let key = one.fleet.key("one").expect("known server");
    one.record_limit(key, Some(3.5), START, START);
    one.take_updates();
    new.apply_updates(1, &one.limits_to_repeat(START + Duration::from_secs(1)), START);
    assert_eq!(limit(&new), Some(3.5));
    assert!(new.limits_to_repeat(START).is_empty(), "only the daemon that was told repeats it");
}

#[test]
fn sends_of_other_daemons_take_tokens_of_a_limited_server() {
    let (mut one, mut other) = (state(1), state(2));
    let key = one.fleet.key("one").expect("known server");
    one.record_limit(key, Some(1.0), START, START);
    other.apply_updates(1, &one.take_updates(), START);
    let now = START + Duration::from_secs(2);
    assert!(other.fleet.server(key).accepts_request(now));
    assert!(one.record_send(key, now));
    other.apply_updates(1, &one.take_updates(), now);
    assert!(!one.fleet.server(key).accepts_request(now));
    assert!(!other.fleet.server(key).accepts_request(now));
    let service = "model".into();
    assert!(other.request_retry_after(&service, now).is_some_and(|wait| !wait.is_zero()));
}

#[test]
fn a_daemon_that_is_cut_off_keeps_to_its_share_of_a_limit() {
    let mut alone = state(1);
    let key = alone.fleet.key("one").expect("known server");
    alone.record_limit(key, Some(4.0), START, START);
    alone.update_daemon_share(7, START);
    assert!(!alone.fleet.server(key).accepts_request(START + Duration::from_millis(1900)));
    assert!(alone.fleet.server(key).accepts_request(START + Duration::from_millis(2000)));
}

#[test]
fn a_restarted_server_has_no_limit() {
    let mut one = state(1);
    let key = one.fleet.key("one").expect("known server");
    one.record_limit(key, Some(4.0), START, START);
    let mut entry = one.fleet.server(key).entry.clone();
    entry.started_at_ms = Some(1);
    one.put_server(entry, START);
    assert_eq!(limit(&one), None);
}

#[test]
fn a_daemon_that_is_cut_off_keeps_to_its_share_of_the_retry_budget() {
    let mut alone = state(1);
    alone.update_daemon_share(7, START);
    let allowance = RetryAllowance { ratio: 0.0, window: Duration::from_secs(10), slack: 56 };
    let service = "model".into();
    let granted = (0..56).filter(|_| alone.try_retry(&service, allowance, START)).count();
    assert!((1..=7).contains(&granted), "{granted} of 56 retries that 8 daemons share");
}

#[test]
fn a_daemon_that_has_completed_a_part_corrects_those_that_convict_it() {
    let (mut one, mut other) = (state(1), state(2));
    let part = PartFingerprint(7);
    for number in 0..3 {
        let now = START + Duration::from_secs(number);
        one.parts.record_crash(EngineIncarnation(number), &[part], now);
    }
    assert!(one.parts.is_convicted(part));
    let now = START + Duration::from_secs(3);
    other.complete_parts(&[part], now);
    other.apply_updates(1, &one.evidence_updates(now), now);
    assert!(!other.parts.is_convicted(part));
    one.apply_updates(2, &other.take_updates(), now);
    assert!(!one.parts.is_convicted(part));
}
