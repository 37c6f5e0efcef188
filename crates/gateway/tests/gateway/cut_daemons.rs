//! Daemons that lose their links to all servers, while the store, callers and the other daemons reach
//! them.

use std::{
    collections::HashMap,
    io::Read,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_core::serving::{fleet, part_evidence::PartVerdict, prompt::PartFingerprint};
use gooseberry_gateway::state::DoubtfulEnd;
use gooseberry_harness::proxy::{ProxyState, TestProxy};
use gooseberry_standins::gateway_mocks::{self, ReceivedRequest};
use parking_lot::Mutex;

use crate::support::{
    self, get_request, read_response, server_entry, status_code, write_text, ScriptedServer, System,
};

/// Time after the beginning of a cut from which first tries have to be served.
const STABLE_DURATION: Duration = Duration::from_secs(3);
/// Duration of a cut.
const CUT_DURATION: Duration = Duration::from_secs(6);
/// Time after a cut by which a daemon uses its own links again.
const RETURN_LIMIT: Duration = Duration::from_secs(1);
/// Time between two requests of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(60);
/// Stages of the model engines.
const STAGES: [&str; 4] = ["prefill", "prefill", "decode", "decode"];
/// Number of servers of the plain service.
const PLAIN_SERVERS: usize = 3;
/// Paths of the callers of each daemon: one of each kind of request.
const PATHS: [&str; 4] = ["/plain/x", "/order/x", "/chat/x", "/review/x"];

/// A first try of a caller.
struct FirstTry {
    daemon: usize,
    sent_at: Instant,
    is_served: bool,
}

/// Ends the calls of a test, also if it fails.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Number of times that each request ran, by its id.
type RunCounts = Arc<Mutex<HashMap<String, usize>>>;

/// Daemons on one store, each with links of its own to the servers.
struct CutTest {
    daemons: Vec<System>,
    /// The links of each daemon.
    links: Vec<Vec<TestProxy>>,
    servers: Vec<ScriptedServer>,
    runs: RunCounts,
}

impl CutTest {
    fn start(daemons: usize) -> Self {
        let first = System::start();
        first.configure(1);
        first.wait_version(1);
        let runs = RunCounts::default();
        let start = |stage: &'static str| {
            let runs = Arc::clone(&runs);
            ScriptedServer::start(move |request, stream| run(request, stream, stage, &runs))
        };
        let engines = STAGES.into_iter().map(|stage| ("model", stage));
        let plain = std::iter::repeat_n(("plain", ""), PLAIN_SERVERS);
        let kinds: Vec<_> = engines.chain(plain).chain([("other", "")]).collect();
        let servers: Vec<_> = kinds.iter().map(|(_, stage)| start(stage)).collect();
        for (number, (server, (service, stage))) in servers.iter().zip(&kinds).enumerate() {
            let entry = server_entry(service, server, stage, "ready");
            first.store.put_server(&format!("s{number}"), &entry);
        }
        let mut test = Self { daemons: Vec::new(), links: Vec::new(), servers, runs };
        for number in 0..daemons {
            let view = first.store.start_view();
            let proxies: Vec<_> = test
                .servers
                .iter()
                .map(|server| {
                    let address = server.address.to_string();
                    let proxy = TestProxy::start(&address);
                    view.redirect(&address, &proxy.address);
                    proxy
                })
                .collect();
            let daemon = first.join_view(&view, &format!("daemon-{}", number + 2));
            daemon.wait(|state| state.fleet.iter().count() == kinds.len());
            test.links.push(proxies);
            test.daemons.push(daemon);
        }
        // The daemon without links of its own only holds the store.
        first.gateway.set_stopping();
        for daemon in &test.daemons {
            let gateway = &daemon.gateway;
            let peers = daemons as u32;
            support::wait_for(|| gateway.state.lock().live_peers(gateway.now()) >= peers - 1);
        }
        test
    }

    fn set_links(&self, daemons: &[usize], state: ProxyState) {
        for daemon in daemons {
            self.links[*daemon].iter().for_each(|link| link.set_state(state));
        }
    }

    /// Sends requests of one kind to a daemon until the end, on a connection that stays open for as
    /// long as the daemon keeps it.
    fn call(&self, daemon: usize, path: &str, stop: &AtomicBool) -> Vec<FirstTry> {
        let mut tries = Vec::new();
        let mut open: Option<TcpStream> = None;
        while !stop.load(Ordering::SeqCst) {
            let headers = if path.starts_with("/chat") || path.starts_with("/review") {
                "X-Model: m\r\nX-Token-Usage: 400,5\r\nX-Prompt-Prefix: aa:300,bb:100\r\n"
            } else {
                ""
            };
            let mut stream = open.take().unwrap_or_else(|| self.daemons[daemon].connect());
            let sent_at = Instant::now();
            write_text(&mut stream, &get_request(path, headers));
            let text = read_response(&mut stream);
            let is_complete = support::is_complete_response(&text);
            let is_served = is_complete && status_code(&text) == "200";
            tries.push(FirstTry { daemon, sent_at, is_served });
            if is_complete && !text.to_ascii_lowercase().contains("connection: close") {
                open = Some(stream);
            }
            thread::sleep(CALL_INTERVAL);
        }
        tries
    }

    /// Cuts daemons off from all servers under load, and checks what callers and servers get.
    fn check_cut(&self, cut: &[usize], state: ProxyState) {
        let stop = AtomicBool::new(false);
        let (tries, cut_at, healed_at) = thread::scope(|scope| {
            let stopping = StopGuard(&stop);
            let callers: Vec<_> = (0..self.daemons.len())
                .flat_map(|daemon| PATHS.map(|path| (daemon, path)))
                .map(|(daemon, path)| (daemon, path, &stop))
                .map(|(daemon, path, stop)| scope.spawn(move || self.call(daemon, path, stop)))
                .collect();
            thread::sleep(Duration::from_millis(1500));
            let cut_at = Instant::now();
            self.set_links(cut, state);
            thread::sleep(CUT_DURATION);
            let healed_at = Instant::now();
            self.set_links(cut, ProxyState::Forwarding);
            thread::sleep(2 * RETURN_LIMIT);
            drop(stopping);
            let tries = callers.into_iter().flat_map(|caller| caller.join().expect("no panic"));
            (tries.collect::<Vec<_>>(), cut_at, healed_at)
        });
        let is_cut = |daemon: usize| cut.contains(&daemon);
        let from = cut_at + STABLE_DURATION;
        let (share, count) = served_share(&tries, from, healed_at, is_cut);
        let (other_share, other_count) = served_share(&tries, from, healed_at, |d| !is_cut(d));
        let failed = count - (share * count as f64).round() as usize;
        let details = format!("{share} of {count}, and {other_share} of {other_count} elsewhere");
        let is_served = share >= other_share * 2.0 / 3.0 || failed <= 10 + count / 50;
        assert!(is_served, "first tries served where links are cut: {details}");
        assert!(other_share > 0.9, "first tries served elsewhere: {details}");
        let end = healed_at + 2 * RETURN_LIMIT;
        let (share, _) = served_share(&tries, healed_at + RETURN_LIMIT, end, |_| true);
        assert!(share > 0.9, "{share} were served after the cut");
        for (id, runs) in &*self.runs.lock() {
            assert!(!id.starts_with("/order") || *runs <= 1, "{id} ran {runs} times");
            assert!(*runs <= 2, "{id} ran {runs} times");
        }
    }
}

/// Runs a request at a server.
fn run(
    request: &ReceivedRequest,
    stream: &mut TcpStream,
    stage: &str,
    runs: &Mutex<HashMap<String, usize>>,
) -> bool {
    if request.is_prefill() {
        return gateway_mocks::write_prefill_response(request, stream);
    }
    let key = format!("{} {}", request.path(), request.id());
    *runs.lock().entry(key).or_default() += 1;
    if stage.is_empty() {
        return gateway_mocks::write_response(request, stream, "done");
    }
    let head = gateway_mocks::response_head(request, "Transfer-Encoding: chunked");
    let mut is_open = write_text(stream, &head);
    for number in 1..=3 {
        let event = format!("id: {number}\ndata: x\n\n");
        is_open = is_open && write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
        thread::sleep(Duration::from_millis(10));
    }
    is_open && write_text(stream, "0\r\n\r\n")
}

/// Returns the share of first tries in a span at matching daemons that were served, and their number.
fn served_share(
    tries: &[FirstTry],
    from: Instant,
    until: Instant,
    matches: impl Fn(usize) -> bool,
) -> (f64, usize) {
    let span = from..until;
    let counted = tries.iter().filter(|one| span.contains(&one.sent_at) && matches(one.daemon));
    let (served, count) = counted
        .fold((0, 0), |(served, count), one| (served + usize::from(one.is_served), count + 1));
    assert!(count >= 20, "only {count} requests were sent");
    (served as f64 / count as f64, count)
}

#[test]
fn callers_of_a_daemon_whose_links_hang_are_served() {
    CutTest::start(4).check_cut(&[1], ProxyState::Unreachable);
}

#[test]
fn callers_of_most_daemons_are_served_while_their_links_are_reset() {
    CutTest::start(5).check_cut(&[0, 1, 2, 3], ProxyState::Closed);
}

#[test]
fn callers_are_served_while_only_open_links_live_on() {
    CutTest::start(4).check_cut(&[0, 2], ProxyState::RefusingNew);
}

/// Waits under load until a daemon has found that it is cut off from all services.
fn wait_until_cut(test: &CutTest, daemon: usize) {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stopping = StopGuard(&stop);
        for path in PATHS {
            let (test, stop) = (&test, &stop);
            scope.spawn(move || test.call(daemon, path, stop));
        }
        test.daemons[daemon].wait(|state| state.is_cut("plain") && state.is_cut("model"));
    });
}

fn is_cut(daemon: &System) -> bool {
    let state = daemon.gateway.state.lock();
    state.is_cut("plain") || state.is_cut("model")
}

#[test]
fn servers_that_no_daemon_reaches_are_not_taken_for_a_cut() {
    let test = CutTest::start(3);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stopping = StopGuard(&stop);
        for daemon in 0..3 {
            for path in PATHS {
                let (test, stop) = (&test, &stop);
                scope.spawn(move || test.call(daemon, path, stop));
            }
        }
        thread::sleep(Duration::from_millis(500));
        for state in [ProxyState::Closed, ProxyState::Unreachable] {
            test.set_links(&[0, 1, 2], state);
            let end = Instant::now() + Duration::from_secs(3);
            while Instant::now() < end {
                assert!(!test.daemons.iter().any(is_cut), "links are {state:?} everywhere");
                thread::sleep(Duration::from_millis(20));
            }
            test.set_links(&[0, 1, 2], ProxyState::Forwarding);
            thread::sleep(Duration::from_secs(2));
            assert!(!test.daemons.iter().any(is_cut), "after links that were {state:?}");
        }
    });
}

#[test]
fn a_server_that_is_silent_for_a_second_is_not_taken_for_a_cut() {
    let test = CutTest::start(3);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stopping = StopGuard(&stop);
        for path in PATHS {
            let (test, stop) = (&test, &stop);
            scope.spawn(move || test.call(0, path, stop));
        }
        for server in [2, 4] {
            test.links.iter().for_each(|links| links[server].set_state(ProxyState::Unreachable));
            thread::sleep(Duration::from_secs(1));
            test.links.iter().for_each(|links| links[server].set_state(ProxyState::Forwarding));
        }
    });
    assert_eq!(test.daemons[0].gateway.metrics.cuts.get(), 0);
}

/// Sends a request to the address of a daemon for other daemons.
fn send_to_peer_address(daemon: &System, token: &str) -> String {
    send_to_peer_address_with(daemon, token, "")
}

/// The same with further header lines.
fn send_to_peer_address_with(daemon: &System, token: &str, headers: &str) -> String {
    let mut stream = TcpStream::connect(daemon.gateway.options.peer_listen).expect("connects");
    let headers = format!("Gooseberry-Forward-Token: {token}\r\n{headers}");
    write_text(&mut stream, &get_request("/plain/x", &headers));
    read_response(&mut stream)
}

#[test]
fn only_the_token_of_a_daemon_opens_its_address_for_other_daemons() {
    let test = CutTest::start(2);
    let daemon = &test.daemons[0];
    for token in ["", "0", test.daemons[1].gateway.peer_token.as_str()] {
        let text = send_to_peer_address(daemon, token);
        assert_eq!(status_code(&text), "503", "{text}");
        assert!(text.contains("gooseberry-forward-not-taken"), "{text}");
    }
    assert!(test.runs.lock().is_empty());
    let text = send_to_peer_address(daemon, &daemon.gateway.peer_token);
    assert_eq!(status_code(&text), "200", "{text}");
    let server = test.servers.iter().find(|server| !server.received().is_empty());
    let received = server.expect("a server got the request").received().remove(0);
    assert_eq!(received.header("gooseberry-forward-token"), None);
}

#[test]
fn a_request_that_was_handed_over_is_not_handed_on() {
    let test = CutTest::start(3);
    test.set_links(&[0], ProxyState::Closed);
    wait_until_cut(&test, 0);
    let daemon = &test.daemons[0];
    let taken = || test.daemons[1..].iter().map(|other| other.gateway.metrics.taken_over.get());
    let before: u64 = taken().sum();
    let text = send_to_peer_address(daemon, &daemon.gateway.peer_token);
    assert_eq!(status_code(&text), "503", "{text}");
    assert!(text.contains("gooseberry-forward-not-taken"), "{text}");
    assert_eq!(taken().sum::<u64>(), before);
}

#[test]
fn a_request_that_is_handed_over_keeps_its_content_and_its_deadline() {
    let test = CutTest::start(3);
    test.set_links(&[0], ProxyState::Unreachable);
    wait_until_cut(&test, 0);
    let request = get_request("/order/new?crew=7", "X-Kept: 1\r\nContent-Length: 4\r\n");
    let text = test.daemons[0].send(&(request.replacen("GET", "POST", 1) + "body"));
    assert_eq!(status_code(&text), "200", "{text}");
    assert!(gateway_mocks::is_signed(&text), "{text}");
    let received = test.servers.iter().flat_map(ScriptedServer::received);
    let received: Vec<_> = received.filter(|request| request.header("x-kept").is_some()).collect();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].request_line, "POST /order/new?crew=7 HTTP/1.1");
    assert_eq!(received[0].body, "body");
    let time_left: u64 = received[0].header("x-deadline-ms").expect("a deadline").parse().unwrap();
    assert!(time_left <= 3000, "{time_left} ms");
}

#[test]
fn crashes_that_a_daemon_without_links_reports_do_not_count_once_others_reach_the_servers() {
    let test = CutTest::start(3);
    let parts = [PartFingerprint::of_request(7)];
    {
        let gateway = &test.daemons[0].gateway;
        let (mut state, now) = (gateway.state.lock(), gateway.now());
        let servers: Vec<_> =
            state.fleet.iter().map(|(_, server)| fleet::incarnation(&server.entry)).collect();
        for server in servers.into_iter().skip(STAGES.len()).take(PLAIN_SERVERS) {
            state.record_doubt(server, &parts, DoubtfulEnd::Interrupted, false, now);
            state.confirm_crash(server, now);
        }
    }
    let is_suspected = |daemon: &System| {
        let state = daemon.gateway.state.lock();
        state.parts.clone().admit(&parts, 1, daemon.gateway.now()) != PartVerdict::Clear
    };
    support::wait_for(|| test.daemons.iter().all(is_suspected));
    support::wait_for(|| {
        test.daemons[1].send(&get_request("/plain/x", ""));
        !test.daemons.iter().any(is_suspected)
    });
    // The reports are repeated for 5 s.
    thread::sleep(Duration::from_secs(1));
    assert!(!test.daemons.iter().any(is_suspected));
}

#[test]
fn a_connection_to_a_reused_address_does_not_void_a_crash() {
    let test = CutTest::start(2);
    let parts = [PartFingerprint::of_request(7)];
    let gateway = &test.daemons[0].gateway;
    let mut state = gateway.state.lock();
    let now = gateway.now();
    let keys = state.fleet.keys();
    for key in keys.iter().skip(STAGES.len()) {
        let server = fleet::incarnation(&state.fleet.server(*key).entry);
        state.record_doubt(server, &parts, DoubtfulEnd::Interrupted, false, now);
        state.confirm_crash(server, now);
        state.record_connect(*key, true, now + Duration::from_secs(1));
    }
    let verdict = state.parts.clone().admit(&parts, 1, now + Duration::from_secs(1));
    assert_eq!(verdict, PartVerdict::Trial);
}

#[test]
fn a_leader_without_links_to_engines_gives_up() {
    let test = CutTest::start(3);
    let store = &test.daemons[0].store;
    let holder = || store.value_text("gateway/steward");
    let number =
        |name: &str| test.daemons.iter().position(|daemon| daemon.gateway.options.name == name);
    support::wait_for(|| holder().is_some_and(|name| number(&name).is_some()));
    let leader = holder().expect("a leader");
    let daemon = number(&leader).expect("a daemon of the test");
    test.set_links(&[daemon], ProxyState::Closed);
    wait_until_cut(&test, daemon);
    support::wait_for(|| holder().is_some_and(|name| name != leader));
}

#[test]
fn a_daemon_that_refuses_does_not_draw_the_requests_of_one_that_is_cut() {
    let test = CutTest::start(3);
    test.set_links(&[0], ProxyState::Closed);
    wait_until_cut(&test, 0);
    {
        let gateway = &test.daemons[1].gateway;
        let (mut state, now) = (gateway.state.lock(), gateway.now());
        for key in state.fleet.keys() {
            state.record_quiet(key, Duration::from_secs(60), now);
        }
    }
    let stop = AtomicBool::new(false);
    let tries = thread::scope(|scope| {
        let _stopping = StopGuard(&stop);
        // Both other daemons reach the servers, and say so.
        for daemon in [1, 2] {
            let (test, stop) = (&test, &stop);
            scope.spawn(move || test.call(daemon, "/plain/x", stop));
        }
        let callers = PATHS.map(|path| {
            let (test, stop) = (&test, &stop);
            scope.spawn(move || test.call(0, path, stop))
        });
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end {
            let gateway = &test.daemons[1].gateway;
            let (mut state, now) = (gateway.state.lock(), gateway.now());
            for key in state.fleet.keys() {
                state.fleet.server_mut(key).reached_at = Some(now);
            }
            drop(state);
            thread::sleep(Duration::from_millis(50));
        }
        stop.store(true, Ordering::SeqCst);
        callers.map(|caller| caller.join().expect("no panic"))
    });
    let tries: Vec<_> = tries.into_iter().flatten().collect();
    let served = tries.iter().filter(|one| one.is_served).count();
    assert!(10 * served >= 9 * tries.len(), "{served} of {} were served", tries.len());
}

#[test]
fn callers_that_leave_do_not_use_up_what_a_daemon_takes_over() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server = ScriptedServer::start(|_, stream| {
        // Returns when the gateway closes the connection.
        let _ = stream.read(&mut [0]);
        false
    });
    system.register("one", "plain", &server, "");
    let gateway = &system.gateway;
    let mut stream = TcpStream::connect(gateway.options.peer_listen).expect("connects");
    let headers = format!("Gooseberry-Forward-Token: {}\r\n", gateway.peer_token);
    write_text(&mut stream, &get_request("/plain/x", &headers));
    support::wait_for(|| !server.received().is_empty());
    assert_eq!(gateway.taken.load(Ordering::SeqCst), 1);
    drop(stream);
    support::wait_for(|| gateway.taken.load(Ordering::SeqCst) == 0);
}

#[test]
fn a_daemon_takes_over_nothing_that_a_newer_configuration_has_routed() {
    let test = CutTest::start(2);
    let daemon = &test.daemons[0];
    let token = &daemon.gateway.peer_token;
    for (version, expected) in [(2, "503"), (1, "200"), (0, "200")] {
        let header = format!("Gooseberry-Forward-Version: {version}\r\n");
        let text = send_to_peer_address_with(daemon, token, &header);
        assert_eq!(status_code(&text), expected, "version {version}: {text}");
        let is_taken = !text.contains("gooseberry-forward-not-taken");
        assert_eq!(is_taken, expected == "200", "version {version}: {text}");
    }
    let received = test.servers.iter().flat_map(ScriptedServer::received);
    for request in received {
        assert_eq!(request.header("gooseberry-forward-version"), None);
    }
}

#[test]
fn a_cut_goes_on_being_bridged_while_the_other_daemons_are_idle() {
    let test = CutTest::start(3);
    test.set_links(&[0], ProxyState::Closed);
    wait_until_cut(&test, 0);
    thread::sleep(Duration::from_secs(3));
    for path in PATHS {
        let prompt = "X-Model: m\r\nX-Token-Usage: 400,5\r\nX-Prompt-Prefix: aa:300,bb:100\r\n";
        let text = test.daemons[0].send(&get_request(path, prompt));
        assert_eq!(status_code(&text), "200", "{path}: {text}");
    }
}

#[test]
fn callers_of_a_daemon_without_links_are_served_after_their_route_moves_to_another_service() {
    let test = CutTest::start(3);
    test.set_links(&[0], ProxyState::Unreachable);
    wait_until_cut(&test, 0);
    let daemon = &test.daemons[0];
    daemon.store.put_configuration(&gateway_mocks::configuration(2, "other"));
    test.daemons.iter().for_each(|daemon| daemon.wait_version(2));
    let mut statuses = Vec::new();
    let moved_at = Instant::now();
    while moved_at.elapsed() < Duration::from_secs(1) {
        statuses.push(status_code(&daemon.send(&get_request("/plain/x", ""))).to_owned());
        thread::sleep(CALL_INTERVAL);
    }
    let served = statuses.iter().filter(|status| *status == "200").count();
    assert!(3 * served >= 2 * statuses.len(), "{served} served of {statuses:?}");
}
