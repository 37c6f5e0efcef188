//! Servers that name the rate of requests that they take from all daemons together.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{self, StoreBehaviour};
use parking_lot::Mutex;

use crate::support::{
    self, get_request, status_code, write_text, ScriptedServer, StandinStore, System,
};

/// Time after a server first named its limit from which the limit holds.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
/// Span over which the requests to a server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(9);
/// Time between two requests of a caller.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Number of callers at each daemon.
const CALLERS: usize = 2;
/// Times that a prefill and another request take. At the speed that the first shows, long prompts would
/// delay the events of an engine that decodes.
const PREFILL_DURATION: Duration = Duration::from_millis(120);
const RESPONSE_DURATION: Duration = Duration::from_millis(5);
/// Share of a server's limit that it has to get while there is more than enough load.
const USED_SHARE: f64 = 0.7;

/// A server that names a limit in all its responses, and the times of its requests.
struct LimitedServer {
    server: ScriptedServer,
    limit: Arc<Mutex<Option<f64>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedServer {
    fn start(limit: Option<f64>) -> Self {
        let shared_limit = Arc::new(Mutex::new(limit));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let server = {
            let (limit, arrivals) = (Arc::clone(&shared_limit), Arc::clone(&arrivals));
            ScriptedServer::start(move |request, stream| {
                arrivals.lock().push(Instant::now());
                let statement = limit.lock().map(|limit| format!("\r\nServer-Limit: {limit}"));
                let (body, duration) = if request.is_prefill() {
                    (r#"{"kv-handle":"h","token-count":1,"version":1}"#, PREFILL_DURATION)
                } else {
                    ("id: 1\ndata: a\n\n", RESPONSE_DURATION)
                };
                let length = format!("Content-Length: {}", body.len());
                let header = length + &statement.unwrap_or_default();
                let head = gateway_mocks::response_head(request, &header);
                thread::sleep(duration);
                write_text(stream, &(head + body))
            })
        };
        Self { server, limit: shared_limit, arrivals }
    }

    /// Checks that no window holds more requests than the limit allows, and that the server got
    /// its share of the limit.
    fn check(&self) {
        let limit = self.limit.lock().expect("a limit");
        let arrivals = self.arrivals.lock();
        let named_at = *arrivals.first().expect("a request");
        let counted: Vec<_> =
            arrivals.iter().filter(|at| **at >= named_at + LIMIT_DELAY).copied().collect();
        let allowed = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0;
        for (number, start) in counted.iter().enumerate() {
            let window = counted[number..].iter().take_while(|at| **at < *start + LIMIT_WINDOW);
            let count = window.count();
            assert!(count as f64 <= allowed, "{count} requests in a window, allowed {allowed}");
        }
        let duration = (LOAD_DURATION - LIMIT_DELAY).as_secs_f64();
        let used = counted.len() as f64 / duration;
        assert!(used >= USED_SHARE * limit, "{used} of {limit} requests per second were sent");
    }
}

/// Starts daemons on one store with these servers.
fn start(daemons: usize, service: &str, servers: &[(&LimitedServer, &str)]) -> Vec<System> {
    let first = System::start();
    first.configure(1);
    first.wait_version(1);
    for (number, (server, stage)) in servers.iter().enumerate() {
        first.register(&format!("s{number}"), service, &server.server, stage);
    }
    let others: Vec<_> =
        (1..daemons).map(|number| first.join(&format!("daemon-{number}x"))).collect();
    let systems: Vec<_> = std::iter::once(first).chain(others).collect();
    for system in &systems {
        system.wait(|state| state.fleet.iter().count() == servers.len());
        system.wait(|state| state.live_peers(system.gateway.now()) as usize == daemons - 1);
    }
    systems
}

/// Sends requests to all daemons, and returns the responses.
fn load(daemons: &[System], path: &str, headers: fn() -> String) -> Vec<String> {
    let responses = Mutex::new(Vec::new());
    let send = |daemon: &System| {
        let end = Instant::now() + LOAD_DURATION;
        while Instant::now() < end {
            let text = daemon.send(&get_request(path, &headers()));
            responses.lock().push(text);
            thread::sleep(SEND_INTERVAL);
        }
    };
    thread::scope(|scope| {
        for daemon in daemons {
            for _ in 0..CALLERS {
                scope.spawn(|| send(daemon));
            }
        }
    });
    responses.into_inner()
}

fn own_part() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn prompt() -> String {
    let own = own_part();
    gateway_mocks::prompt_headers(&format!("a{}", own % 7), &format!("f{own:x}"))
}

/// Returns the headers of a prompt that is too long to be prefilled by an engine that decodes.
fn long_prompt() -> String {
    let parts = format!("aa:300,f{:x}:8700", own_part());
    format!("X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: {parts}\r\n")
}

fn served_share(responses: &[String]) -> f64 {
    let is_served =
        |text: &&String| status_code(text) == "200" && support::is_complete_response(text);
    responses.iter().filter(is_served).count() as f64 / responses.len() as f64
}

#[test]
fn an_engine_gets_no_more_than_the_limit_it_names_from_all_daemons() {
    let (limited, other) = (LimitedServer::start(Some(4.0)), LimitedServer::start(None));
    let daemons = start(4, "model", &[(&limited, "decode"), (&other, "decode")]);
    let responses = load(&daemons, "/chat/x", prompt);
    limited.check();
    let share = served_share(&responses);
    assert!(share > 0.95, "{share} of the requests were served, with an engine without a limit");
}

#[test]
fn callers_are_told_when_to_return_if_all_servers_are_at_their_limits() {
    let servers = [LimitedServer::start(Some(6.0)), LimitedServer::start(Some(9.0))];
    let daemons = start(3, "plain", &[(&servers[0], ""), (&servers[1], "")]);
    let responses = load(&daemons, "/plain/x", String::new);
    for server in &servers {
        server.check();
    }
    let refused: Vec<_> = responses.iter().filter(|text| status_code(text) != "200").collect();
    assert!(refused.len() > 100, "only {} requests were refused", refused.len());
    for text in refused {
        assert_eq!(status_code(text), "503", "{text}");
        let seconds = text.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let seconds: f64 = seconds.and_then(|text| text.trim().parse().ok()).expect("retry-after");
        assert!(seconds <= 2.0, "{seconds} s");
    }
}

#[test]
fn prefills_and_decodes_count_against_the_limits_of_their_engines() {
    let (prefill, decode) = (LimitedServer::start(Some(5.0)), LimitedServer::start(Some(5.0)));
    let daemons = start(3, "model", &[(&prefill, "prefill"), (&decode, "decode")]);
    let responses = load(&daemons, "/chat/x", long_prompt);
    prefill.check();
    decode.check();
    assert!(responses.iter().all(|text| ["200", "503"].contains(&status_code(text))));
}

#[test]
fn a_server_that_names_no_limit_any_more_gets_all_requests() {
    let server = LimitedServer::start(Some(4.0));
    let daemons = start(3, "plain", &[(&server, "")]);
    load(&daemons[..1], "/plain/x", String::new);
    *server.limit.lock() = None;
    support::wait_for(|| status_code(&daemons[0].send(&get_request("/plain/x", ""))) == "200");
    for daemon in &daemons {
        daemon.wait(|state| {
            state.fleet.iter().all(|(_, server)| server.request_limit.per_second().is_none())
        });
    }
    assert!(served_share(&load(&daemons, "/plain/x", String::new)) == 1.0);
}

/// Loads daemons whose registrations disappear from the store, and checks the limit of their server.
fn check_limit_without_registrations(disappear: fn(&StandinStore)) {
    let server = LimitedServer::start(Some(4.0));
    let daemons = start(6, "plain", &[(&server, "")]);
    let store = &daemons[0].store;
    store.state_era(1);
    thread::scope(|scope| {
        scope.spawn(|| load(&daemons, "/plain/x", String::new));
        thread::sleep(LIMIT_DELAY);
        disappear(store);
    });
    server.check();
}

/// Guards against daemons that take themselves for the only one, and use the whole limit, until the others
/// renew their registrations.
#[test]
fn a_limit_holds_after_an_outage_in_which_the_registrations_expired() {
    check_limit_without_registrations(|store| {
        store.set_behaviour(StoreBehaviour::Unavailable);
        thread::sleep(Duration::from_millis(1500));
        store.expire_all_leases();
        store.set_behaviour(StoreBehaviour::Normal);
    });
}

/// Guards against the same after the store came back from a copy without the registrations.
#[test]
fn a_limit_holds_after_the_store_lost_the_registrations() {
    check_limit_without_registrations(|store| {
        for key in store.keys().iter().filter(|key| key.starts_with("gateway/daemons/")) {
            store.remove(key);
        }
        let copy = store.copy();
        store.restore(&copy);
    });
}

/// Guards against a panic that ends the request's task, and its connection without a response.
#[test]
fn callers_get_a_response_whatever_limit_their_server_names() {
    for limit in [0.0, 1e-300, 1e300] {
        let server = LimitedServer::start(Some(limit));
        let daemons = start(1, "plain", &[(&server, "")]);
        for _ in 0..5 {
            let text = daemons[0].send(&get_request("/plain/x", ""));
            assert!(["200", "503"].contains(&status_code(&text)), "limit {limit}: {text}");
        }
    }
}
