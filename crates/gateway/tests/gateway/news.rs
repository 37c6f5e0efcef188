//! What daemons know of each other's sends and of the key-value service.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        backlog::{PendingPrefill, SendId},
        directory::{EngineStage, ServerEntry},
        prompt::PromptShape,
    },
    time::Timestamp,
};
use gooseberry_gateway::{
    changes::ChangeLog,
    state::{GatewayState, PEER_TIMEOUT},
    updates::{PrefillEnd, SendUpdate, SpeedSample},
};
use gooseberry_platform::store::{StoreChange, StoreKey, StoreUpdate};
use http::StatusCode;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn state(daemon: u64) -> GatewayState {
    let mut state = GatewayState::new(daemon);
    state.put_server(ServerEntry {
        id: "one".into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        slots: 64,
        is_draining: false,
        stage: EngineStage::Prefill,
        started_at_ms: None,
    });
    state
}

fn ahead(state: &GatewayState, now: Timestamp) -> f64 {
    let key = state.fleet.key("one").expect("the server");
    let server = state.fleet.server(key);
    server.backlog.tokens_ahead(server.prefill_speed(), now)
}

fn begin(state: &mut GatewayState) -> SendId {
    let key = state.fleet.key("one").expect("the server");
    let prompt = PromptShape::new("m", [("p", 5000)], 5000, 10);
    let read = PendingPrefill { prompt, tokens: 5000, sent_at: START, decode_engine: None };
    state.begin_prefill(key, read, START)
}

#[test]
fn a_daemon_knows_what_the_others_have_sent() {
    let (mut one, mut other) = (state(1), state(2));
    let send_id = begin(&mut one);
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(ahead(&other, START), 5000.0);
    let key = one.fleet.key("one").expect("the server");
    one.end_prefill(key, send_id, PrefillEnd::Completed(None), START);
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(ahead(&other, START), 0.0);
}

#[test]
fn a_daemon_learns_speeds_from_the_reads_of_others() {
    let (mut one, mut other) = (state(1), state(2));
    let key = one.fleet.key("one").expect("the server");
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
fn a_part_can_be_fetched_once_its_reader_said_so() {
    let (mut one, mut other) = (state(1), state(2));
    let key = one.fleet.key("one").expect("the server");
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
fn a_summary_repairs_the_loss_of_an_end() {
    let (mut one, mut other) = (state(1), state(2));
    let send_id = begin(&mut one);
    other.apply_updates(1, &one.take_updates(), START);
    let key = one.fleet.key("one").expect("the server");
    one.end_prefill(key, send_id, PrefillEnd::Completed(None), START);
    one.take_updates();
    let (pending, running) = one.own_summary();
    other.apply_updates(1, &[SendUpdate::Summary { pending, running }], START);
    assert_eq!(ahead(&other, START), 0.0);
}

#[test]
fn the_sends_of_a_daemon_that_died_are_forgotten() {
    let (mut one, mut other) = (state(1), state(2));
    begin(&mut one);
    other.apply_updates(1, &one.take_updates(), START);
    assert_eq!(other.live_peers(START), 1);
    other.remove_expired_peers(START + PEER_TIMEOUT);
    assert_eq!(ahead(&other, START), 0.0);
    assert_eq!(other.live_peers(START + PEER_TIMEOUT), 0);
}

#[test]
fn own_news_that_comes_back_through_a_relay_counts_once() {
    let mut one = state(1);
    begin(&mut one);
    let news = one.take_updates();
    one.apply_updates(1, &news, START);
    assert_eq!(ahead(&one, START), 5000.0);
    assert_eq!(one.live_peers(START), 0);
}

fn change(revision: u64) -> StoreChange {
    StoreChange { subject: StoreKey::Other, revision, value: None }
}

#[test]
fn a_relay_tells_all_changes_after_a_revision() {
    let log = ChangeLog::default();
    log.reset(10, START);
    log.extend(&StoreUpdate { changes: vec![change(11), change(12)], revision: 12 }, Some(START));
    let news = log.changes_after(11, START).expect("news");
    assert_eq!(news, StoreUpdate { changes: vec![change(12)], revision: 12 });
}

#[test]
fn a_relay_that_lost_the_service_or_the_history_says_so() {
    let log = ChangeLog::default();
    assert_eq!(log.changes_after(0, START), Err(StatusCode::SERVICE_UNAVAILABLE));
    log.reset(10, START);
    assert_eq!(log.changes_after(9, START), Err(StatusCode::GONE));
    let later = START + Duration::from_secs(3);
    assert_eq!(log.changes_after(10, later), Err(StatusCode::SERVICE_UNAVAILABLE));
    // News of another relay proves no contact with the service.
    log.extend(&StoreUpdate { changes: vec![change(11)], revision: 11 }, None);
    assert_eq!(log.changes_after(10, later), Err(StatusCode::SERVICE_UNAVAILABLE));
}

#[test]
fn many_changes_drop_the_oldest_and_say_so() {
    let log = ChangeLog::default();
    log.reset(0, START);
    let changes: Vec<_> = (1..=1000).map(change).collect();
    log.extend(&StoreUpdate { changes, revision: 1000 }, Some(START));
    assert_eq!(log.changes_after(5, START), Err(StatusCode::GONE));
    assert_eq!(log.changes_after(999, START).expect("news").changes, vec![change(1000)]);
}
