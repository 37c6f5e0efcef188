//! Requests that share one prompt part with which each of them crashes its engine, while sound
//! requests share their other parts.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_core::serving::{
    event_stream::BodyFraming, part_evidence::EngineIncarnation, prompt::PromptShape,
};
use gooseberry_standins::gateway_mocks::StoreBehaviour;

use crate::{
    crashing_engine::{CrashingEngine, EngineRecord, CONVICTION_LIMIT, POISON_PART},
    support::{self, get_request, status_code, ScriptedServer, System},
};

/// Number of crashes after which requests with the part must stop.
const CRASH_COUNT: usize = 5;
/// Number of poison requests that may reach engines after that time.
const LATE_SEND_LIMIT: usize = 3;
/// Time between two poison requests, and between two sound ones.
const POISON_INTERVAL: Duration = Duration::from_millis(290);
const SOUND_INTERVAL: Duration = Duration::from_millis(25);

/// Daemons on one store, and engines of these stages.
struct PoisonTest {
    daemons: Vec<System>,
    engines: Vec<Arc<CrashingEngine>>,
    record: Arc<EngineRecord>,
}

impl PoisonTest {
    fn start(daemons: usize, stages: &[&'static str]) -> Self {
        Self::start_framed(daemons, stages, BodyFraming::Chunked)
    }

    fn start_framed(daemons: usize, stages: &[&'static str], framing: BodyFraming) -> Self {
        let first = System::start();
        first.configure(1);
        first.wait_version(1);
        let record = Arc::default();
        let engines: Vec<_> = stages
            .iter()
            .map(|stage| CrashingEngine::start(&first.store, "model", stage, framing, &record))
            .collect();
        let others = (1..daemons).map(|number| first.join(&format!("daemon-{}", number + 1)));
        let others: Vec<_> = others.collect();
        let daemons: Vec<_> = std::iter::once(first).chain(others).collect();
        for daemon in &daemons {
            daemon.wait(|state| state.fleet.iter().count() == stages.len());
        }
        Self { daemons, engines, record }
    }

    /// Sends poison requests in turn to all daemons for some time.
    fn send_poison(&self, path: &str, duration: Duration) {
        let end = Instant::now() + duration;
        for daemon in self.daemons.iter().cycle() {
            if Instant::now() >= end {
                return;
            }
            daemon.send(&get_request(path, &poison_prompt()));
            thread::sleep(POISON_INTERVAL);
        }
    }

    /// Sends poison requests until the part is convicted by all daemons.
    fn convict(&self, path: &str) {
        while !self.daemons.iter().all(is_convicted) {
            self.send_poison(path, Duration::from_millis(1));
            assert!(self.record.crashes.lock().len() < 12, "the part isn't convicted");
        }
    }

    /// Sends sound requests in turn to all daemons for some time. Returns the times at which they
    /// were sent, and whether they were served.
    fn send_sound(&self, duration: Duration) -> Vec<(Instant, bool)> {
        let end = Instant::now() + duration;
        let mut outcomes = Vec::new();
        for (number, daemon) in self.daemons.iter().cycle().enumerate() {
            if Instant::now() >= end {
                break;
            }
            let sent_at = Instant::now();
            let shared = format!("aa:300,c{}:60", number % 5);
            let text = daemon.send(&get_request("/chat/x", &prompt(&shared)));
            outcomes.push((sent_at, is_served(&text)));
            thread::sleep(SOUND_INTERVAL);
        }
        outcomes
    }
}

fn is_convicted(daemon: &System) -> bool {
    let part = PromptShape::new("m", [(POISON_PART, 60), ("own", 1)], 61, 1).shared_parts[0];
    daemon.gateway.state.lock().parts.is_convicted(part)
}

/// Returns the key of the store that holds the verdict on the part.
fn verdict_key(test: &PoisonTest) -> Option<String> {
    test.daemons[0].store.keys().into_iter().find(|key| key.contains("crashing-parts/"))
}

fn poison_prompt() -> String {
    prompt(&format!("aa:300,{POISON_PART}:60"))
}

fn is_served(text: &str) -> bool {
    status_code(text) == "200" && support::is_complete_response(text)
}

/// Returns the headers of a prompt with these shared parts and a last part of its own.
fn prompt(shared: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let own = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("X-Model: m\r\nX-Token-Usage: 460,5\r\nX-Prompt-Prefix: {shared},f{own:x}:100\r\n")
}

/// Returns the share of requests sent after a time that were served.
fn served_share(outcomes: &[(Instant, bool)], since: Instant) -> f64 {
    let later: Vec<_> = outcomes.iter().filter(|(sent_at, _)| *sent_at >= since).collect();
    assert!(later.len() >= 20, "only {} sound requests were sent", later.len());
    later.iter().filter(|(_, is_served)| *is_served).count() as f64 / later.len() as f64
}

/// Sends poison requests and sound ones side by side, and checks what engines and sound callers get.
fn check_load(test: &PoisonTest) {
    let duration = Duration::from_secs(8);
    let began = Instant::now();
    let outcomes = thread::scope(|scope| {
        let sound = scope.spawn(|| test.send_sound(duration));
        test.send_poison("/chat/x", duration);
        sound.join().expect("no panic")
    });
    let crashes = test.record.crashes.lock().len();
    assert!(test.record.late_sends(CRASH_COUNT) <= LATE_SEND_LIMIT, "{crashes} engines crashed");
    let share = served_share(&outcomes, began + 2 * CONVICTION_LIMIT);
    assert!(share > 0.5, "{share} of the sound requests were served");
}

#[test]
fn requests_that_share_a_crashing_part_stop_reaching_engines() {
    check_load(&PoisonTest::start(3, &["decode"; 4]));
}

#[test]
fn a_stream_without_framing_that_a_crash_ends_after_an_event_does_not_acquit_its_parts() {
    check_load(&PoisonTest::start_framed(3, &["decode"; 4], BodyFraming::Connection));
}

#[test]
fn a_crashing_part_is_refused_before_its_prefill() {
    let test = PoisonTest::start(2, &["prefill", "prefill", "decode", "decode", "decode"]);
    test.convict("/chat/x");
    let arrivals = test.record.poison_arrivals.lock().len();
    test.send_poison("/chat/x", Duration::from_secs(1));
    assert_eq!(test.record.poison_arrivals.lock().len(), arrivals);
}

#[test]
fn a_resumed_stream_with_a_crashing_part_is_refused() {
    let test = PoisonTest::start(2, &["decode"; 4]);
    let text = test.daemons[0].send(&get_request("/review/x", &prompt("aa:300,cc:60")));
    let id = text.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    let id = id.expect("the id of the attempt");
    test.convict("/review/x");
    let arrivals = test.record.poison_arrivals.lock().len();
    for daemon in &test.daemons {
        let headers = poison_prompt() + &format!("Resumes: {id}\r\nLast-Event-Id: 1\r\n");
        let text = daemon.send(&get_request("/review/x", &headers));
        assert_eq!(status_code(&text), "503", "{text}");
        assert!(text.contains("retry-after: "), "{text}");
    }
    assert_eq!(test.record.poison_arrivals.lock().len(), arrivals);
}

#[test]
fn a_daemon_that_starts_after_a_conviction_refuses_the_part() {
    let test = PoisonTest::start(2, &["decode"; 4]);
    test.convict("/chat/x");
    support::wait_for(|| verdict_key(&test).is_some());
    let new_daemon = test.daemons[0].join("daemon-9");
    let arrivals = test.record.poison_arrivals.lock().len();
    let text = new_daemon.send(&get_request("/chat/x", &poison_prompt()));
    assert_eq!(status_code(&text), "503", "{text}");
    assert_eq!(test.record.poison_arrivals.lock().len(), arrivals);
}

#[test]
fn a_daemon_that_starts_after_a_conviction_hears_it_from_the_others() {
    let test = PoisonTest::start(2, &["decode"; 4]);
    test.convict("/chat/x");
    support::wait_for(|| verdict_key(&test).is_some());
    let store = &test.daemons[0].store;
    store.remove(&verdict_key(&test).expect("a key"));
    let new_daemon = test.daemons[0].join("daemon-9");
    support::wait_for(|| is_convicted(&new_daemon));
}

#[test]
fn a_verdict_is_stored_once_the_store_is_back() {
    let test = PoisonTest::start(2, &["decode"; 4]);
    let store = &test.daemons[0].store;
    let crashes = || test.record.crashes.lock().len();
    while crashes() < 2 {
        test.send_poison("/chat/x", Duration::from_millis(1));
    }
    store.set_behaviour(StoreBehaviour::Unavailable);
    test.convict("/chat/x");
    thread::sleep(Duration::from_secs(2));
    assert_eq!(verdict_key(&test), None);
    store.set_behaviour(StoreBehaviour::Normal);
    support::wait_for(|| verdict_key(&test).is_some());
}

#[test]
fn sound_requests_are_served_soon_after_all_engines_crashed_at_once() {
    let test = PoisonTest::start(3, &["decode"; 6]);
    let duration = Duration::from_secs(6);
    let (outcomes, last_crash) = thread::scope(|scope| {
        let sound = scope.spawn(|| test.send_sound(duration));
        for _ in 0..4 {
            thread::sleep(Duration::from_millis(700));
            test.engines.iter().for_each(CrashingEngine::crash);
        }
        let last_crash = Instant::now();
        (sound.join().expect("no panic"), last_crash)
    });
    let share = served_share(&outcomes, last_crash + Duration::from_millis(1500));
    assert!(share > 0.9, "{share} of the sound requests were served");
}

#[test]
fn broken_streams_of_engines_that_live_convict_no_part() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let is_sound = Arc::new(AtomicBool::new(false));
    let servers: Vec<_> = (0..4)
        .map(|_| {
            let is_sound = Arc::clone(&is_sound);
            ScriptedServer::start(move |request, stream| {
                let body = "id: 1\ndata: a\n\n";
                let is_sound = is_sound.load(Ordering::SeqCst);
                let body = if is_sound { body } else { &body[..8] };
                support::write_response(request, stream, body) && is_sound
            })
        })
        .collect();
    for (number, server) in servers.iter().enumerate() {
        system.register(&format!("e{number}"), "model", server, "decode");
    }
    for _ in 0..8 {
        system.send(&get_request("/chat/x", &prompt("aa:300,cc:60")));
        thread::sleep(Duration::from_millis(300));
    }
    is_sound.store(true, Ordering::SeqCst);
    support::wait_for(|| is_served(&system.send(&get_request("/chat/x", &prompt("dd:300")))));
    let text = system.send(&get_request("/chat/x", &prompt("aa:300,cc:60")));
    assert!(is_served(&text), "{text}");
}

#[test]
fn a_request_that_is_the_trial_of_its_parts_is_not_repeated_after_a_crash() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    // The engines send no response, so that a request that may be resumed would be repeated.
    let servers: Vec<_> = (0..3).map(|_| ScriptedServer::start(|_, _| false)).collect();
    for (number, server) in servers.iter().enumerate() {
        system.register(&format!("e{number}"), "model", server, "decode");
    }
    let parts = PromptShape::new("m", [("aa", 300), (POISON_PART, 60), ("own", 1)], 361, 1);
    for number in 0..3 {
        let mut state = system.gateway.state.lock();
        let now = system.gateway.now();
        state.parts.record_crash(EngineIncarnation(number), &parts.shared_parts, now);
    }
    system.send(&get_request("/review/x", &poison_prompt()));
    let sends: usize = servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(sends, 1);
}
