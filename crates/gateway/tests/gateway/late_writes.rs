//! Entries that the store writes seconds after their server has started or written again. What is
//! known of the server stays as it is.

use std::time::Duration;

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        backlog::PendingPrefill,
        directory::{EngineStage, ServerEntry, ServerPresence},
        fleet::{self, EntryEffect, ServerState},
        pace::PaceReason,
        prompt::{PartFingerprint, PromptShape},
    },
    time::Timestamp,
};
use gooseberry_gateway::state::{DoubtfulEnd, GatewayState};
use serde_json::json;

use crate::support::{self, write_response, ScriptedServer, System};

/// Time after which an entry that seems older counts if it is still written.
const HOLD_TIME: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

/// The entry of a server that started for the second time and wrote for the fifth.
fn current() -> ServerEntry {
    ServerEntry {
        id: "one".into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 64,
        software: "v2".into(),
        is_draining: false,
        stage: EngineStage::Decode,
        is_reclaimable: false,
        started_at_ms: Some(2000),
        sequence: 5,
    }
}

/// A late write of the start before, and one of the same start.
fn late_writes() -> [ServerEntry; 2] {
    let earlier_start = ServerEntry {
        software: "v1".into(),
        stage: EngineStage::Prefill,
        started_at_ms: Some(1000),
        sequence: 9,
        ..current()
    };
    [earlier_start, ServerEntry { stage: EngineStage::Prefill, sequence: 4, ..current() }]
}

fn state() -> (GatewayState, EngineKey) {
    let mut state = GatewayState::new(1);
    state.fleet.enable_pace(1);
    state.put_server(current(), at(0));
    let key = state.fleet.key("one").expect("a known server");
    (state, key)
}

/// Checks that late writes change nothing of what a server has done or said, whatever that was.
fn check(prepare: impl Fn(&mut GatewayState, EngineKey), is_kept: impl Fn(&ServerState) -> bool) {
    for late in late_writes() {
        let (mut state, key) = state();
        prepare(&mut state, key);
        assert!(is_kept(state.fleet.server(key)), "before the late write");
        let before = format!("{:?}", state.fleet.server(key));
        assert_eq!(state.put_server(late.clone(), at(100)), EntryEffect::Outdated);
        assert!(is_kept(state.fleet.server(key)), "after {late:?}");
        assert_eq!(format!("{:?}", state.fleet.server(key)), before);
    }
}

/// Guards against streams of two versions: review/9.
#[test]
fn a_late_write_leaves_the_version_and_the_stage() {
    check(
        |_, _| {},
        |server| server.entry.software == "v2" && server.entry.stage == EngineStage::Decode,
    );
}

/// Guards against requests to a server that has said that it leaves.
#[test]
fn a_late_write_leaves_what_a_server_says_of_its_leaving() {
    check(
        |state, key| {
            state.record_leaving(key);
        },
        ServerState::is_departing,
    );
}

#[test]
fn a_late_write_leaves_the_quiet_that_a_server_asked_for() {
    check(
        |state, key| state.record_quiet(key, Duration::from_secs(5), at(0)),
        |server| server.is_quiet(at(4900)),
    );
}

#[test]
fn a_late_write_leaves_the_limit_of_a_server() {
    check(
        |state, key| {
            state.record_limit(key, Some(4.0), at(0), at(0));
        },
        |server| server.request_limit.per_second() == Some(4.0),
    );
}

#[test]
fn a_late_write_leaves_the_health_of_a_server() {
    check(
        |state, key| state.fleet.server_mut(key).health.record_unreachable(at(0)),
        |server| !server.health.is_available(at(100)),
    );
}

#[test]
fn a_late_write_leaves_the_pace_of_a_server() {
    check(
        |state, key| state.fleet.server_mut(key).pace.begin(PaceReason::Recovered, at(0)),
        |server| server.pace.is_paced(),
    );
}

#[test]
fn a_late_write_leaves_the_speed_of_a_server() {
    check(
        |state, key| state.fleet.record_speed(key, 5000, 50.0),
        |server| server.prefill_speed() == 100.0,
    );
}

#[test]
fn a_late_write_leaves_the_caches_and_the_work_of_a_server() {
    let prompt = || PromptShape::new("m", [("p", 5000)], 5000, 10);
    check(
        |state, key| {
            let prefill = PendingPrefill {
                prompt: prompt(),
                tokens: 5000,
                sent_at: at(0),
                decode_engine: None,
            };
            state.begin_prefill(key, prefill, at(0));
            state.fleet.server_mut(key).prefix_index.mark_computed(&prompt());
        },
        |server| {
            !server.backlog.is_empty() && server.prefix_index.cached_tokens(&prompt(), 100_000) > 0
        },
    );
}

/// Guards against a crash that none was: a new start of a server confirms what it is suspected of.
#[test]
fn a_late_write_confirms_no_crash() {
    for late in late_writes() {
        let (mut state, _) = state();
        let part = PartFingerprint(7);
        let server = fleet::incarnation(&current());
        state.record_doubt(server, &[part], DoubtfulEnd::Interrupted, false, at(50));
        state.put_server(late, at(100));
        assert!(state.crashes_to_repeat(at(100)).is_empty());
    }
}

/// Guards against a server that is used again because of a write that was late.
#[test]
fn a_late_write_does_not_bring_a_server_back_that_has_left() {
    for late in late_writes() {
        let (mut state, key) = state();
        state.remove_server("one", at(50));
        state.put_server(late, at(100));
        assert_eq!(state.fleet.server(key).presence, ServerPresence::Gone);
    }
}

/// Guards against a server that is lost for good because its clock was set back before it started.
#[test]
fn a_server_whose_clock_was_set_back_is_used_in_the_end() {
    let (mut state, key) = state();
    let restarted = |sequence| ServerEntry { sequence, ..late_writes()[0].clone() };
    let interval = Duration::from_millis(1200);
    for number in 1..=9 {
        state.put_server(restarted(number), at(0) + interval * number as u32);
        let now = at(0) + interval * number as u32;
        let confirmed = state.put_confirmed_servers(now);
        let is_confirmed = now.since(at(0) + interval) >= HOLD_TIME;
        assert_eq!(confirmed.len(), usize::from(is_confirmed), "write {number}");
    }
    state.put_server(restarted(10), at(0) + interval * 10);
    let confirmed = state.put_confirmed_servers(at(0) + interval * 10);
    assert_eq!(confirmed, ["one"]);
    assert_eq!(state.fleet.server(key).entry.software, "v1");
}

/// Guards against a late write that counts in the end although the server has written again since.
#[test]
fn a_late_write_is_dropped_with_the_next_write_of_the_server() {
    let (mut state, key) = state();
    state.put_server(late_writes()[0].clone(), at(100));
    state.put_server(ServerEntry { sequence: 6, ..current() }, at(1200));
    assert!(state.put_confirmed_servers(at(60_000)).is_empty());
    assert_eq!(state.fleet.server(key).entry.software, "v2");
}

/// Guards against the same over the watch of the store: a stream goes on at the version that began it.
#[test]
fn a_late_write_in_the_store_changes_no_version() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let engine = ScriptedServer::start(|request, stream| {
        write_response(request, stream, "id: 1\ndata: a\n\n")
    });
    let entry = |version: &str, born: u64, sequence: u64| {
        let mut entry = support::server_entry("model", &engine, "decode", "ready");
        entry["version"] = json!(version);
        entry["born"] = json!(born);
        entry["sequence"] = json!(sequence);
        entry
    };
    system.store.put_server("one", &entry("v2", 2000, 5));
    system.wait(|state| state.fleet.key("one").is_some());
    system.store.put_server("one", &entry("v1", 1000, 9));
    // Changes are applied in the order of their revisions.
    system.register("other", "model", &engine, "decode");
    let state = system.gateway.state.lock();
    let key = state.fleet.key("one").expect("a known server");
    assert_eq!(state.fleet.server(key).entry.software, "v2");
}

/// Guards against a daemon to which others can't hand requests, because its earlier start's registration
/// was written late with the token of then.
#[test]
fn a_late_registration_of_a_daemon_is_replaced() {
    let system = System::start();
    let key = "gateway/daemons/daemon-1";
    support::wait_for(|| system.store.value_text(key).is_some());
    let registered = system.store.value_text(key).expect("a registration");
    let mut late: serde_json::Value = serde_json::from_str(&registered).expect("a record");
    late["token"] = json!("00");
    late["daemon"] = json!(1);
    system.store.put(key, &late);
    support::wait_for(|| system.store.value_text(key).as_ref() == Some(&registered));
}
