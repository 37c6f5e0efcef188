//! The pace of servers between daemons, and prompts that fit into no engine.

use gooseberry_core::{
    serving::directory::{EngineStage, ServerEntry},
    time::Timestamp,
};
use gooseberry_gateway::{state::GatewayState, updates::SendUpdate};

use crate::support::{get_request, status_code, write_text, ScriptedServer, System};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn put(state: &mut GatewayState, number: u64, now: Timestamp) {
    put_started(state, number, now, now);
}

fn put_started(state: &mut GatewayState, number: u64, started_at: Timestamp, now: Timestamp) {
    let entry = ServerEntry {
        id: format!("e{number}").into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 64,
        software: "v1".into(),
        is_draining: false,
        stage: EngineStage::Mixed,
        is_reclaimable: false,
        started_at_ms: Some(started_at.as_millis()),
        sequence: 1,
    };
    state.put_server(entry, now);
}

fn state(daemon: u64, is_paced: bool) -> GatewayState {
    let mut state = GatewayState::new(daemon);
    if is_paced {
        state.fleet.enable_pace(daemon);
    }
    state
}

/// Guards against summaries that grow with the number of servers, and against a daemon that starts
/// after the servers and floods them.
#[test]
fn a_daemon_that_starts_later_learns_the_pace_of_ten_servers() {
    let mut old = state(1, true);
    put(&mut old, 0, at(0));
    for number in 1..13 {
        put(&mut old, number, at(10_000));
    }
    assert_eq!(old.paced_servers().len(), 12);
    let update = old.update_pace(at(10_100)).expect("servers are paced");
    let SendUpdate::Paced { servers } = &update else {
        panic!("not a pace: {update:?}");
    };
    assert_eq!(servers.len(), 10);
    // These daemons read all entries at once.
    let (mut new, mut disabled) = (state(2, true), state(3, false));
    for number in 0..13 {
        let started_at = if number == 0 { at(0) } else { at(10_000) };
        put_started(&mut new, number, started_at, at(10_100));
        put_started(&mut disabled, number, started_at, at(10_100));
    }
    assert!(new.paced_servers().is_empty());
    new.apply_updates(1, std::slice::from_ref(&update), at(10_120));
    assert_eq!(new.paced_servers().len(), 10);
    assert!(new.paced_servers().iter().all(|server| server.window < 0.2));
    assert!(new.update_pace(at(10_200)).is_none(), "the other daemon goes on telling it");
    disabled.apply_updates(1, &[update], at(10_120));
    assert!(disabled.paced_servers().is_empty());
}

/// Guards against prompts that engines refuse or preempt one after the other.
#[test]
fn a_prompt_larger_than_an_engine_is_refused_at_once() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server = ScriptedServer::start(move |request, stream| {
        let id = request.id();
        write_text(
            stream,
            &format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\
                 Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
            ),
        );
        false
    });
    system.register("one", "model", &server, "");
    // The engines of the configuration hold 100,000 tokens.
    for (tokens, status) in
        [("100,99900", "200"), ("100,99901", "200"), ("100001,1", "503"), ("200000,1", "503")]
    {
        let headers = format!("X-Model: m\r\nX-Token-Usage: {tokens}\r\n");
        let text = system.send(&get_request("/chat/x", &headers));
        assert_eq!(status_code(&text), status, "{tokens} {text}");
    }
}
