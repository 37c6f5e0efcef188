//! Daemons that lose their links to all servers, while the store, callers and the other daemons reach
//! them.

use std::{
    collections::HashMap,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

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
        let stages: Vec<&str> =
            STAGES.into_iter().chain(std::iter::repeat_n("", PLAIN_SERVERS)).collect();
        let servers: Vec<_> = stages.iter().map(|stage| start(stage)).collect();
        for (number, (server, stage)) in servers.iter().zip(&stages).enumerate() {
            let service = if stage.is_empty() { "plain" } else { "model" };
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
            daemon.wait(|state| state.fleet.iter().count() == stages.len());
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
            stop.store(true, Ordering::SeqCst);
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
