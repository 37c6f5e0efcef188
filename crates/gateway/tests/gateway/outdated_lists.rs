//! Streams that a daemon sends to an engine that has started again with another version, before the
//! daemon's list of servers says so. They may not go on at the version before.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use gooseberry_core::{
    serving::{
        directory::{EngineStage, ServerEntry},
        software::{OriginKnowledge, SoftwareKey, StreamKey, StreamTarget},
    },
    time::Timestamp,
};
use gooseberry_gateway::state::GatewayState;
use gooseberry_standins::gateway_mocks::{self, StandinStore};
use serde_json::json;

use crate::support::{self, status_code, write_response, ScriptedServer, System};

const STREAM: StreamKey = StreamKey(5);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn entry(started_at_ms: u64) -> ServerEntry {
    ServerEntry {
        id: "one".into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 64,
        software: format!("v{started_at_ms}").into(),
        is_draining: false,
        stage: EngineStage::Decode,
        is_reclaimable: false,
        started_at_ms: Some(started_at_ms),
        sequence: 1,
    }
}

fn software(started_at_ms: u64) -> SoftwareKey {
    SoftwareKey::of(&entry(started_at_ms))
}

/// Creates the state of a daemon that has read an entry of the engine's start, with all changes up to a
/// time.
fn state(daemon: u64, started_at_ms: u64, listed_at: Timestamp) -> GatewayState {
    let mut state = GatewayState::new(daemon);
    state.put_server(entry(started_at_ms), listed_at);
    state.fleet.connectivity.record_list(listed_at);
    state
}

fn send(state: &mut GatewayState, started_at_ms: u64, now: Timestamp) {
    state.record_stream_target(STREAM, StreamTarget::of(&entry(started_at_ms)));
    state.record_stream(STREAM, software(started_at_ms), now);
}

/// Lets a daemon send a stream and another one hear of it.
fn tell(sender: &mut GatewayState, hearer: &mut GatewayState, started_at_ms: u64, now: Timestamp) {
    send(sender, started_at_ms, now);
    hearer.apply_updates(1, &sender.take_updates(), now);
}

/// Guards against the version of a daemon whose list is out of date: review/8.
#[test]
fn a_version_from_an_outdated_list_of_another_daemon_is_in_doubt() {
    let (mut silent, mut current) = (state(1, 1, at(0)), state(2, 2, at(500)));
    tell(&mut silent, &mut current, 1, at(600));
    assert!(matches!(current.stream_origin(STREAM), OriginKnowledge::Unconfirmed(_)));
    current.fleet.connectivity.record_list(at(700));
    assert_eq!(current.stream_origin(STREAM), OriginKnowledge::Doubtful);
    assert_eq!(current.stream_software(STREAM), None);
}

#[test]
fn a_version_from_a_newer_list_of_another_daemon_counts_when_the_list_has_caught_up() {
    let (mut current, mut late) = (state(1, 2, at(500)), state(2, 1, at(0)));
    tell(&mut current, &mut late, 2, at(600));
    assert_eq!(late.stream_software(STREAM), None);
    late.put_server(entry(2), at(700));
    late.fleet.connectivity.record_list(at(650));
    assert_eq!(late.stream_software(STREAM), Some(software(2)));
}

#[test]
fn a_version_is_known_although_its_engine_starts_again_later() {
    let mut state = state(1, 1, at(0));
    send(&mut state, 1, at(100));
    state.fleet.connectivity.record_list(at(200));
    state.put_server(entry(2), at(300));
    state.fleet.connectivity.record_list(at(300));
    assert_eq!(state.stream_software(STREAM), Some(software(1)));
}

#[test]
fn a_version_is_in_doubt_if_its_engine_may_have_started_again_before() {
    let mut state = state(1, 1, at(0));
    send(&mut state, 1, at(100));
    state.put_server(entry(2), at(300));
    state.fleet.connectivity.record_list(at(300));
    assert_eq!(state.stream_origin(STREAM), OriginKnowledge::Doubtful);
}

/// Passes connections on to a store, of which those that are open fall silent when it is told so.
struct SilentLink {
    address: SocketAddr,
    silences: Arc<AtomicU64>,
}

impl SilentLink {
    fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let silences: Arc<AtomicU64> = Arc::default();
        let current = Arc::clone(&silences);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(served) = TcpStream::connect(store) else { continue };
                let opened = current.load(Ordering::SeqCst);
                let both = [(&caller, &served), (&served, &caller)];
                for (from, to) in both.map(|(from, to)| (from.try_clone(), to.try_clone())) {
                    let (Ok(from), Ok(to), current) = (from, to, Arc::clone(&current)) else {
                        continue;
                    };
                    thread::spawn(move || {
                        copy(from, to, || current.load(Ordering::SeqCst) == opened)
                    });
                }
            }
        });
        Self { address, silences }
    }

    fn silence_open(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// Copies until the connection ends, and drops what comes while it is silent.
fn copy(mut from: TcpStream, mut to: TcpStream, is_heard: impl Fn() -> bool) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut chunk) {
        if is_heard() && to.write_all(&chunk[..length]).is_err() {
            return;
        }
    }
}

/// Guards against the same over real connections: while those to the store are silent, an engine starts
/// again as another version, gets a stream and ends.
#[test]
fn a_stream_of_an_upgraded_engine_does_not_go_on_at_the_version_before_while_the_store_is_silent() {
    let store = StandinStore::start();
    store.put_configuration(&gateway_mocks::configuration(1, "plain"));
    let link = SilentLink::start(store.address);
    let system =
        System::start_with(store.clone(), "daemon-1", json!({"store": link.address.to_string()}));
    system.wait_version(1);
    let engine = || {
        ScriptedServer::start(|request, stream| {
            write_response(request, stream, "id: 1\ndata: a\n\n")
        })
    };
    let (upgraded, same) = (engine(), engine());
    let put = |id: &str, server: &ScriptedServer, version: &str, born: u64| {
        let mut entry = support::server_entry("model", server, "decode", "ready");
        entry["version"] = json!(version);
        entry["born"] = json!(born);
        store.put_server(id, &entry);
    };
    put("upgraded", &upgraded, "v1", 1000);
    system.wait(|state| state.fleet.key("upgraded").is_some());
    thread::sleep(Duration::from_millis(500));
    link.silence_open();
    put("upgraded", &upgraded, "v2", 2000);
    put("same", &same, "v1", 1000);
    let headers = gateway_mocks::prompt_headers("aa", "bb");
    let request = gateway_mocks::get_request("begun", "/review/x", &headers);
    assert_eq!(status_code(&system.send(&request)), "200");
    let headers = headers + "Resumes: begun\r\nLast-Event-Id: 1\r\n";
    let request = gateway_mocks::get_request("again", "/review/x", &headers);
    assert_eq!(status_code(&system.send(&request)), "503");
    assert!(same.received().is_empty());
}
