//! Streams that callers take up again while engines of several software versions serve: a stream
//! must not hold events of two versions.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use gooseberry_standins::gateway_mocks::{self, StoreBehaviour};
use serde_json::json;

use crate::support::{self, get_request, status_code, write_response, ScriptedServer, System};

/// Number of times that a test resumes a stream, so that some of the requests would go to the other
/// version if placement ignored it.
const RESUMES: usize = 12;

fn start() -> System {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    system
}

fn engine() -> ScriptedServer {
    ScriptedServer::start(|request, stream| write_response(request, stream, "id: 1\ndata: a\n\n"))
}

/// Returns the headers of a prompt. Prompts of different numbers share no part, since an engine
/// with a cached part would get all requests.
fn prompt(number: usize) -> String {
    let parts = format!("a{number:x}:400,b{number:x}:100");
    format!("X-Model: m\r\nX-Token-Usage: 500,20\r\nX-Prompt-Prefix: {parts}\r\n")
}

fn begin(system: &System) -> String {
    let text = system.send(&get_request("/review/x", &prompt(RESUMES)));
    assert_eq!(status_code(&text), "200", "{text}");
    let id = text.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    id.expect("the id of the attempt").to_owned()
}

fn resume(system: &System, id: &str, number: usize) -> String {
    let headers = prompt(number) + &format!("Resumes: {id}\r\nLast-Event-Id: 1\r\n");
    system.send(&get_request("/review/x", &headers))
}

#[test]
fn a_resumed_stream_goes_on_at_the_version_that_began_it() {
    let system = start();
    let (old, new) = (engine(), engine());
    system.register_version("old", &old, "v1");
    let id = begin(&system);
    system.register_version("new", &new, "v2");
    for number in 0..RESUMES {
        assert_eq!(status_code(&resume(&system, &id, number)), "200");
    }
    assert_eq!((old.received().len(), new.received().len()), (1 + RESUMES, 0));
}

#[test]
fn a_resumed_stream_of_unknown_version_is_refused_while_several_serve() {
    let system = start();
    let (old, new) = (engine(), engine());
    system.register_version("old", &old, "v1");
    system.register_version("new", &new, "v2");
    for number in 0..RESUMES {
        let text = resume(&system, "begun-elsewhere", number);
        assert_eq!(status_code(&text), "503", "{text}");
        assert!(text.contains("retry-after: "), "{text}");
    }
    assert_eq!((old.received().len(), new.received().len()), (0, 0));
}

#[test]
fn a_resumed_stream_is_refused_if_no_engine_of_its_version_serves() {
    let system = start();
    let (old, new) = (engine(), engine());
    system.register_version("old", &old, "v1");
    let id = begin(&system);
    system.register_version("new", &new, "v2");
    system.store.remove("servers/old");
    let now = system.gateway.now();
    system.wait(|state| {
        state.fleet.key("old").is_some_and(|key| !state.fleet.server(key).is_usable(now))
    });
    assert_eq!(status_code(&resume(&system, &id, 0)), "503");
    assert_eq!(new.received().len(), 0);
}

#[test]
fn a_resumed_stream_of_a_split_route_goes_to_the_service_that_began_it() {
    let system = System::start();
    let mut configuration = gateway_mocks::configuration(1, "plain");
    let route = &mut configuration["routes"][3];
    assert_eq!(route["name"], "review");
    route["service"].take();
    route["split"] =
        json!([{"service": "model", "weight": 50}, {"service": "second", "weight": 50}]);
    let mut service = configuration["services"][2].clone();
    service["name"] = "second".into();
    configuration["services"].as_array_mut().expect("a list of services").push(service);
    system.store.put_configuration(&configuration);
    system.wait_version(1);
    let (first, second) = (engine(), engine());
    system.register("first", "model", &first, "decode");
    system.register("second", "second", &second, "decode");
    for number in 0..RESUMES {
        let id = begin(&system);
        assert_eq!(status_code(&resume(&system, &id, number)), "200");
    }
    assert!(first.received().len() % 2 == 0 && second.received().len() % 2 == 0);
}

#[test]
fn a_repeated_last_event_id_counts_as_a_resumption() {
    let system = start();
    let (old, new) = (engine(), engine());
    system.register_version("old", &old, "v1");
    system.register_version("new", &new, "v2");
    let headers = prompt(0) + "Last-Event-Id: 1\r\nLast-Event-Id: 2\r\n";
    assert_eq!(status_code(&system.send(&get_request("/review/x", &headers))), "503");
    assert_eq!((old.received().len(), new.received().len()), (0, 0));
}

/// Starts daemons that have seen nothing, as after all of them were killed at once.
fn restart_all() -> [System; 2] {
    let first = start();
    let second = first.join("daemon-2");
    [first, second]
}

#[test]
fn no_stream_is_joined_from_two_versions_after_all_daemons_were_killed() {
    let before = start();
    let (old, new) = (engine(), engine());
    before.register_version("old", &old, "v1");
    let id = begin(&before);
    let restarted = restart_all();
    for daemon in &restarted {
        daemon.register_version("old", &old, "v1");
        daemon.register_version("new", &new, "v2");
    }
    for number in 0..RESUMES {
        let text = resume(&restarted[number % 2], &id, number);
        assert_eq!(status_code(&text), "503", "{text}");
        assert!(text.contains("retry-after: "), "{text}");
    }
    assert_eq!((old.received().len(), new.received().len()), (1, 0));
}

#[test]
fn no_stream_of_a_version_that_left_is_joined_after_all_daemons_were_killed() {
    let before = start();
    let (old, new) = (engine(), engine());
    before.register_version("old", &old, "v1");
    let id = begin(&before);
    let restarted = restart_all();
    for daemon in &restarted {
        daemon.register_version("new", &new, "v2");
    }
    for number in 0..RESUMES {
        assert_eq!(status_code(&resume(&restarted[number % 2], &id, number)), "503");
    }
    assert_eq!(new.received().len(), 0);
    let id = begin(&restarted[0]);
    for number in 0..RESUMES {
        assert_eq!(status_code(&resume(&restarted[number % 2], &id, number)), "200");
    }
    assert_eq!(new.received().len(), 1 + RESUMES);
}

/// Makes the history of a daemon's list as long as if it had started a minute ago.
fn lengthen_history(system: &System) {
    let started_at = system.gateway.now() - Duration::from_secs(60);
    let mut state = system.gateway.state.lock();
    state.versions.record_gap();
    state.versions.record_complete(started_at);
}

/// Starts a daemon with an old engine. It doesn't look at its list for some 300 ms, as after each change.
fn start_before_next_look(engine: &ScriptedServer) -> System {
    let system = start();
    system.register_version("old", engine, "v1");
    lengthen_history(&system);
    std::thread::sleep(Duration::from_millis(400));
    system.configure(2);
    system.wait_version(2);
    system
}

/// Resumes a stream until it goes on: the calls that it needs may take longer than a daemon waits.
fn wait_until_resumed(system: &System) {
    crate::support::wait_for(|| {
        let text = resume(system, "begun-elsewhere", 0);
        let code = status_code(&text);
        assert!(["200", "503"].contains(&code), "{text}");
        code == "200"
    });
}

fn new_entry(server: &ScriptedServer) -> serde_json::Value {
    let mut entry = crate::support::server_entry("model", server, "decode", "ready");
    entry["version"] = "v2".into();
    entry
}

#[test]
fn a_stream_of_a_version_that_has_just_joined_does_not_go_on_at_the_old_one() {
    let (old, new) = (engine(), engine());
    let system = start_before_next_look(&old);
    system.store.put_server("new", &new_entry(&new));
    let text = resume(&system, "begun-elsewhere", 0);
    assert_eq!(status_code(&text), "503", "{text}");
    assert_eq!((old.received().len(), new.received().len()), (0, 0));
}

#[test]
fn a_daemon_that_has_lost_the_store_does_not_take_its_version_for_the_only_one() {
    let (old, new) = (engine(), engine());
    let system = start_before_next_look(&old);
    system.store.set_behaviour(StoreBehaviour::Unavailable);
    system.store.put_server("new", &new_entry(&new));
    assert_eq!(status_code(&resume(&system, "begun-elsewhere", 0)), "503");
    assert_eq!((old.received().len(), new.received().len()), (0, 0));
}

#[test]
fn a_daemon_that_is_asked_does_not_take_its_old_list_for_the_current_one() {
    let (old, new) = (engine(), engine());
    let asked = start();
    asked.register_version("old", &old, "v1");
    let started = asked.join("daemon-2");
    started.wait(|state| state.fleet.key("old").is_some());
    for daemon in [&asked, &started] {
        daemon.wait(|state| state.live_peers(daemon.gateway.now()) == 1);
    }
    lengthen_history(&asked);
    std::thread::sleep(Duration::from_millis(400));
    asked.configure(2);
    asked.wait_version(2);
    asked.store.put_server("new", &new_entry(&new));
    assert_eq!(status_code(&resume(&started, "begun-elsewhere", 0)), "503");
    assert_eq!((old.received().len(), new.received().len()), (0, 0));
}

#[test]
fn a_stream_goes_on_at_the_only_version_that_its_service_has_had() {
    let old = engine();
    let system = start_before_next_look(&old);
    wait_until_resumed(&system);
    assert_eq!(old.received().len(), 1);
}

#[test]
fn a_new_daemon_asks_for_the_only_version_that_a_service_has_had() {
    let old = engine();
    let asked = start();
    asked.register_version("old", &old, "v1");
    let started = asked.join("daemon-2");
    started.wait(|state| state.fleet.key("old").is_some());
    for daemon in [&asked, &started] {
        daemon.wait(|state| state.live_peers(daemon.gateway.now()) == 1);
    }
    assert_eq!(status_code(&resume(&started, "begun-elsewhere", 0)), "503");
    lengthen_history(&asked);
    wait_until_resumed(&started);
}

/// An engine that reports when it started, with the ids of the streams that it got.
struct StartedEngine {
    server: ScriptedServer,
    started_at_ms: Arc<AtomicU64>,
}

impl StartedEngine {
    fn start() -> Self {
        let started_at_ms = Arc::new(AtomicU64::new(1000));
        let born = Arc::clone(&started_at_ms);
        let server = ScriptedServer::start(move |request, stream| {
            let report = json!({
                "stage": "decode", "busy": false, "sequence": 0, "born": born.load(Ordering::SeqCst),
            });
            let is_report = request.path().ends_with("/report");
            let body = if is_report { report.to_string() } else { "id: 1\ndata: a\n\n".to_owned() };
            write_response(request, stream, &body)
        });
        Self { server, started_at_ms }
    }

    fn register(&self, system: &System, id: &str) {
        let mut entry = support::server_entry("model", &self.server, "decode", "ready");
        entry["born"] = self.started_at_ms.load(Ordering::SeqCst).into();
        system.store.put_server(id, &entry);
        system.wait(|state| state.fleet.key(id).is_some());
    }

    fn streams(&self) -> usize {
        self.server.received().iter().filter(|request| request.path() == "/review/x").count()
    }
}

fn begin_outage(system: &System) {
    system.store.set_behaviour(StoreBehaviour::Unavailable);
    system.wait(|state| state.fleet.connectivity.is_unreachable());
}

/// Guards against a stream that goes on at an engine which has started again with another version, while
/// the store can't tell.
#[test]
fn a_stream_does_not_go_on_at_an_engine_that_started_again_during_an_outage() {
    let system = start();
    let (again, same) = (StartedEngine::start(), StartedEngine::start());
    again.register(&system, "again");
    let id = begin(&system);
    same.register(&system, "same");
    begin_outage(&system);
    again.started_at_ms.store(2000, Ordering::SeqCst);
    let before = again.streams();
    for number in 0..RESUMES {
        assert_eq!(status_code(&resume(&system, &id, number)), "200");
    }
    assert_eq!((again.streams() - before, same.streams()), (0, RESUMES));
}

/// Guards against a stream that begins at such an engine, and goes on at one of the version before.
#[test]
fn a_stream_that_began_at_an_engine_that_started_again_is_not_joined_to_the_version_before() {
    let system = start();
    let (again, same) = (StartedEngine::start(), StartedEngine::start());
    again.register(&system, "again");
    begin_outage(&system);
    again.started_at_ms.store(2000, Ordering::SeqCst);
    let id = begin(&system);
    system.store.set_behaviour(StoreBehaviour::Normal);
    same.register(&system, "same");
    assert_eq!(status_code(&resume(&system, &id, 0)), "503");
    assert_eq!(same.streams(), 0);
}
