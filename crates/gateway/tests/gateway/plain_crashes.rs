//! A request to a plain service that crashes its server comes again and again, beside sound requests
//! and ordinary crashes.

use std::{
    ops::Range,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gooseberry_core::serving::{
    event_stream::BodyFraming,
    part_evidence::{EngineIncarnation, PartVerdict},
    prompt::PartFingerprint,
};
use gooseberry_gateway::{call::Call, state::DoubtfulEnd};
use gooseberry_platform::front;
use http::Request;

use crate::{
    crashing_engine::{CrashingEngine, EngineRecord, CONVICTION_LIMIT},
    support::{self, get_request, status_code, ScriptedServer, System},
};

/// Number of crashes after which the request must stop.
const CRASH_COUNT: usize = 3;
/// Number of times that the request may reach servers after that.
const LATE_SEND_LIMIT: usize = 3;
/// Time between two sends of the request, each from two callers at once.
const POISON_INTERVAL: Duration = Duration::from_millis(160);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(15);
/// Duration of a test's load.
const LOAD_DURATION: Duration = Duration::from_secs(9);

/// Daemons on one store, and servers of a plain service.
struct CrashTest {
    daemons: Vec<System>,
    servers: Vec<Arc<CrashingEngine>>,
    record: Arc<EngineRecord>,
}

impl CrashTest {
    fn start(daemons: usize, servers: usize) -> Self {
        Self::start_with(System::start(), daemons, servers, Arc::default())
    }

    /// Starts daemons that have seen nothing but the key-value service, and servers beside those
    /// of the record.
    fn start_after_kill(&self) -> Self {
        let first = System::start_after_kill(&self.daemons[0].store);
        let record = Arc::clone(&self.record);
        Self::start_with(first, self.daemons.len(), self.servers.len(), record)
    }

    fn start_with(
        first: System,
        daemons: usize,
        servers: usize,
        record: Arc<EngineRecord>,
    ) -> Self {
        first.configure(1);
        first.wait_version(1);
        let start =
            |_| CrashingEngine::start(&first.store, "plain", "", BodyFraming::Chunked, &record);
        let servers: Vec<_> = (0..servers).map(start).collect();
        let others = (1..daemons).map(|number| first.join(&format!("daemon-{}", number + 1)));
        let others: Vec<_> = others.collect();
        let daemons: Vec<_> = std::iter::once(first).chain(others).collect();
        for daemon in &daemons {
            daemon.wait(|state| state.fleet.iter().count() == servers.len());
        }
        Self { daemons, servers, record }
    }

    /// Sends a request for some time, from two callers at once at two daemons. Returns the status
    /// codes.
    fn repeat(&self, request: impl Fn() -> String + Sync, duration: Duration) -> Vec<String> {
        let end = Instant::now() + duration;
        let mut codes = Vec::new();
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let daemon = |offset: usize| &self.daemons[(number + offset) % self.daemons.len()];
            let (one, other) = thread::scope(|scope| {
                let other = scope.spawn(|| daemon(1).send(&request()));
                (daemon(0).send(&request()), other.join().expect("no panic"))
            });
            codes.extend([one, other].map(|text| status_code(&text).to_owned()));
            thread::sleep(POISON_INTERVAL);
        }
        codes
    }

    /// Sends sound requests for some time, each of its own or one that all callers send. Returns
    /// the times at which they were sent, and whether they were served.
    fn send_sound(&self, duration: Duration) -> Vec<(Instant, bool)> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let end = Instant::now() + duration;
        let mut outcomes = Vec::new();
        for daemon in self.daemons.iter().cycle() {
            if Instant::now() >= end {
                break;
            }
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            let path = match number % 3 {
                0 => "/plain/popular".to_owned(),
                1 => format!("/plain/list?page={number}"),
                _ => format!("/plain/{number}"),
            };
            let sent_at = Instant::now();
            let text = daemon.send(&get_request(&path, ""));
            outcomes.push((sent_at, status_code(&text) == "200"));
            thread::sleep(SOUND_INTERVAL);
        }
        outcomes
    }

    /// Repeats a request that crashes its server beside sound ones, and checks what servers and
    /// sound callers get.
    fn check_load(&self, request: impl Fn() -> String + Sync) {
        let began = Instant::now();
        let outcomes = thread::scope(|scope| {
            let sound = scope.spawn(|| self.send_sound(LOAD_DURATION));
            self.repeat(request, LOAD_DURATION);
            sound.join().expect("no panic")
        });
        let crashes = self.record.crashes.lock().len();
        let late = self.record.late_sends(CRASH_COUNT);
        assert!(late <= LATE_SEND_LIMIT, "{late} late sends, {crashes} servers crashed");
        let share = served_share(&outcomes, began + 2 * CONVICTION_LIMIT);
        assert!(share > 0.95, "{share} of the sound requests were served");
    }
}

/// Returns the share of requests sent after a time that were served.
fn served_share(outcomes: &[(Instant, bool)], since: Instant) -> f64 {
    let later: Vec<_> = outcomes.iter().filter(|(sent_at, _)| *sent_at >= since).collect();
    assert!(later.len() >= 20, "only {} sound requests were sent", later.len());
    later.iter().filter(|(_, is_served)| *is_served).count() as f64 / later.len() as f64
}

/// Makes a request with a body under a new id.
fn post_request(path: &str, body: &str) -> String {
    let request = get_request(path, &format!("Content-Length: {}\r\n", body.len()));
    request.replacen("GET", "POST", 1) + body
}

#[test]
fn a_plain_request_that_crashes_servers_stops_reaching_them() {
    CrashTest::start(3, 3).check_load(|| get_request("/plain/bad0?page=4", ""));
}

#[test]
fn an_order_that_crashes_servers_stops_reaching_them() {
    CrashTest::start(3, 3).check_load(|| post_request("/order/bad0", "crew 7"));
}

#[test]
fn sound_plain_requests_are_served_soon_after_all_servers_crashed() {
    let test = CrashTest::start(3, 3);
    let (outcomes, last_crash) = thread::scope(|scope| {
        let sound = scope.spawn(|| test.send_sound(Duration::from_secs(6)));
        let repeated = scope
            .spawn(|| test.repeat(|| get_request("/plain/repeated", ""), Duration::from_secs(6)));
        for _ in 0..4 {
            thread::sleep(Duration::from_millis(700));
            test.servers.iter().for_each(CrashingEngine::crash);
        }
        let last_crash = Instant::now();
        let codes = repeated.join().expect("no panic");
        let served = codes.iter().rev().take(10).filter(|code| *code == "200").count();
        assert!(served >= 9, "{served} of the last 10 repeats were served");
        (sound.join().expect("no panic"), last_crash)
    });
    let share = served_share(&outcomes, last_crash + Duration::from_millis(1500));
    assert!(share > 0.9, "{share} of the sound requests were served");
    support::wait_for(|| {
        test.daemons
            .iter()
            .all(|daemon| status_code(&daemon.send(&get_request("/plain/repeated", ""))) == "200")
    });
}

#[test]
fn callers_at_several_daemons_at_once_get_one_trial_of_a_request() {
    let test = CrashTest::start(4, 0);
    let servers: Vec<_> = (0..3)
        .map(|_| {
            ScriptedServer::start(|_, _| {
                thread::sleep(Duration::from_millis(300));
                false
            })
        })
        .collect();
    for (number, server) in servers.iter().enumerate() {
        test.daemons[0].register(&format!("s{number}"), "plain", server, "");
    }
    for daemon in &test.daemons {
        daemon.wait(|state| state.fleet.iter().count() == servers.len());
        support::wait_for(|| daemon.gateway.state.lock().live_peers(daemon.gateway.now()) == 3);
    }
    let (head, ()) = Request::get("/plain/bad0")
        .header("Host", "host.example")
        .header("X-Attempt-Id", "one")
        .body(())
        .expect("a valid request")
        .into_parts();
    let decoded = front::decode(&head).expect("a request of a caller");
    let parts = Call::blamable_parts(&head, &Bytes::new(), &decoded);
    for daemon in &test.daemons {
        for number in 0..3 {
            let now = daemon.gateway.now();
            let engine = EngineIncarnation(number);
            daemon.gateway.state.lock().parts.record_crash(engine, &parts, now);
        }
    }
    let sends = || servers.iter().map(|server| server.received().len()).sum::<usize>();
    let codes: Vec<_> = thread::scope(|scope| {
        let send = |daemon: &System| daemon.send(&get_request("/plain/bad0", ""));
        let threads: Vec<_> =
            test.daemons.iter().map(|daemon| scope.spawn(move || send(daemon))).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    assert_eq!(sends(), 1, "{codes:?}");
}

/// Lets servers end under a request, as this daemon sees it.
fn crash_under(daemon: &System, servers: Range<u64>, parts: &[PartFingerprint]) {
    for number in servers {
        let (mut state, now) = (daemon.gateway.state.lock(), daemon.gateway.now());
        let server = EngineIncarnation(number);
        state.record_doubt(server, parts, DoubtfulEnd::Interrupted, false, now);
        state.confirm_crash(server, now);
    }
}

fn is_on_trial(daemon: &System, parts: &[PartFingerprint]) -> bool {
    let mut parts_of_daemon = daemon.gateway.state.lock().parts.clone();
    parts_of_daemon.admit(parts, 1, daemon.gateway.now()) == PartVerdict::Trial
}

#[test]
fn crashes_whose_news_was_lost_are_heard_with_the_next_summary() {
    let test = CrashTest::start(2, 0);
    let parts = [PartFingerprint::of_request(7)];
    crash_under(&test.daemons[0], 0..3, &parts);
    test.daemons[0].gateway.state.lock().take_updates();
    support::wait_for(|| is_on_trial(&test.daemons[1], &parts));
}

#[test]
fn a_daemon_that_starts_hears_of_requests_under_suspicion() {
    let test = CrashTest::start(2, 0);
    let parts = [PartFingerprint::of_request(7)];
    crash_under(&test.daemons[0], 0..3, &parts);
    support::wait_for(|| is_on_trial(&test.daemons[1], &parts));
    // Crashes are repeated for 5 s.
    thread::sleep(Duration::from_millis(5600));
    let new_daemon = test.daemons[0].join("daemon-9");
    support::wait_for(|| is_on_trial(&new_daemon, &parts));
}

/// Number of sends before each kill, and how often all daemons are killed.
const SENDS_PER_LIFE: usize = 2;
const KILL_COUNT: usize = 4;
/// Time from the last send to the kill.
const KILL_DELAY: Duration = Duration::from_secs(2);

#[test]
fn a_request_that_crashes_servers_stops_although_all_daemons_are_killed_again_and_again() {
    let mut test = CrashTest::start(2, 3);
    for life in 0..=KILL_COUNT {
        if life > 0 {
            thread::sleep(KILL_DELAY);
            test = test.start_after_kill();
        }
        for daemon in test.daemons.iter().cycle().take(SENDS_PER_LIFE) {
            daemon.send(&get_request("/order/bad0", ""));
            thread::sleep(2 * POISON_INTERVAL);
        }
    }
    let crashes = test.record.crashes.lock().len();
    assert!(crashes <= CRASH_COUNT + LATE_SEND_LIMIT, "{crashes} servers crashed");
}

#[test]
fn a_request_that_completed_after_its_crashes_is_not_suspected_by_daemons_that_start() {
    let test = CrashTest::start(2, 0);
    let parts = [PartFingerprint::of_request(7)];
    crash_under(&test.daemons[0], 0..2, &parts);
    let is_suspected = |daemon: &System| {
        let (state, now) = (daemon.gateway.state.lock(), daemon.gateway.now());
        state.parts.suspect_history(parts[0], now).is_some()
    };
    support::wait_for(|| is_suspected(&test.daemons[1]));
    thread::sleep(KILL_DELAY);
    let restarted = test.start_after_kill();
    assert!(is_suspected(&restarted.daemons[0]), "the crashes are stored");
    {
        let (mut state, now) =
            (test.daemons[1].gateway.state.lock(), test.daemons[1].gateway.now());
        state.complete_parts(&parts, now);
    }
    thread::sleep(KILL_DELAY);
    let restarted = test.start_after_kill();
    assert!(!restarted.daemons.iter().any(is_suspected));
}
