//! A gateway process with one runtime thread, while a server, the store or callers send bytes without
//! end: other requests are answered, and its memory and its time on the processor stay bounded.
//!
//! Guards against a connection's task that never gives way: interim responses without end stopped a
//! whole daemon.

use std::{
    collections::VecDeque,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU16, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{
    configuration, server_entry, write_response, ScriptedServer, StandinStore,
};

/// Memory of the VM in the settings, in megabytes; the bound on `VmHWM`.
const MEMORY_MB: u64 = 120;
/// Time for which each endless source is in trouble.
const TROUBLE: Duration = Duration::from_secs(3);
/// Time within which an ordinary request has to be answered: its deadline.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// Callers that send bytes without end.
const CALLERS: usize = 50;

/// Lines of a process's log that a failure shows.
const KEPT_LOG_LINES: usize = 60;

/// Returns an address with a loopback host unique to this process and a new port.
fn unused_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(21_000);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 104, middle, low], port))
}

/// What precedes the bytes without end, and these.
type EndlessForm = (&'static str, &'static str);

const SERVER_FORMS: [EndlessForm; 9] = [
    ("", "HTTP/1.1 100 .\r\n\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\nX-More: and more of it\r\n\r\n"),
    ("", "\r\n"),
    ("", "no HTTP at all, and no end of a line"),
    ("HTTP/1.1 200 OK\r\nX-More: ", "and more"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "extension"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: and more\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "neither a length nor chunks"),
];

const CALLER_HEAD: &str =
    "POST /other/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: endless\r\n\
                           X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n";

const CALLER_FORMS: [EndlessForm; 6] = [
    ("\r\n", "0"),
    ("\r\n1;", "extension"),
    ("\r\n0\r\n", "X-More: and more\r\n"),
    ("X-More: ", "and more"),
    ("", "X-More: and more of it\r\n"),
    ("\r\n0\r\n\r\n", "\r\n"),
];

/// Forms with bodies or requests of legal size, whose work has no other bound than these sizes.
const LEGAL_CALLER_FORMS: [EndlessForm; 2] =
    [("\r\n", "1\r\nx\r\n"), ("\r\n0\r\n\r\n", "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")];

/// Writes a text without end until the reader closes or the test is over.
fn write_without_end(stream: &mut TcpStream, form: EndlessForm, is_over: &AtomicBool) {
    let chunk = form.1.repeat(64 * 1024 / form.1.len());
    let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
    if stream.write_all(form.0.as_bytes()).is_err() {
        return;
    }
    while !is_over.load(Ordering::SeqCst) {
        match stream.write(chunk.as_bytes()) {
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Passes connections on to a store, until it is in trouble and answers each call without end.
struct TroubledStore {
    address: SocketAddr,
    form: Arc<parking_lot::Mutex<Option<EndlessForm>>>,
}

impl TroubledStore {
    fn start(store: SocketAddr, is_over: Arc<AtomicBool>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let form: Arc<parking_lot::Mutex<Option<EndlessForm>>> = Arc::default();
        let current = Arc::clone(&form);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let (current, is_over) = (Arc::clone(&current), Arc::clone(&is_over));
                thread::spawn(move || pass_on(caller, store, &current, &is_over));
            }
        });
        Self { address, form }
    }
}

fn pass_on(
    mut caller: TcpStream,
    store: SocketAddr,
    form: &parking_lot::Mutex<Option<EndlessForm>>,
    is_over: &AtomicBool,
) {
    let Ok(mut served) = TcpStream::connect(store) else { return };
    let (Ok(mut back), Ok(mut answers)) = (caller.try_clone(), served.try_clone()) else { return };
    thread::spawn(move || std::io::copy(&mut answers, &mut back));
    let mut chunk = [0; 16 * 1024];
    while let Ok(length @ 1..) = caller.read(&mut chunk) {
        let form = *form.lock();
        if let Some(form) = form {
            return write_without_end(&mut caller, form, is_over);
        }
        if served.write_all(&chunk[..length]).is_err() {
            return;
        }
    }
}

/// A gateway process with two services, a store and the sources that are in trouble.
struct TestedGateway {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    /// The last lines of the process's log.
    log: Arc<parking_lot::Mutex<VecDeque<String>>>,
    store: TroubledStore,
    server_form: Arc<parking_lot::Mutex<Option<EndlessForm>>>,
    is_over: Arc<AtomicBool>,
    _store: StandinStore,
    _servers: [ScriptedServer; 2],
}

impl TestedGateway {
    fn start(name: &str) -> Self {
        let is_over: Arc<AtomicBool> = Arc::default();
        let server_form: Arc<parking_lot::Mutex<Option<EndlessForm>>> = Arc::default();
        let store = StandinStore::start();
        let (form, over) = (Arc::clone(&server_form), Arc::clone(&is_over));
        let troubled = ScriptedServer::start(move |request, stream| {
            let form = *form.lock();
            let Some((head, endless)) = form else {
                return write_response(request, stream, "in calm");
            };
            let id = format!("X-Attempt-Id: {}\r\nX-Response-Seal: s\r\n", request.id());
            let head = head.replacen("200 OK\r\n", &format!("200 OK\r\n{id}"), 1);
            let _ = stream.write_all(head.as_bytes());
            write_without_end(stream, ("", endless), &over);
            false
        });
        let sound =
            ScriptedServer::start(|request, stream| write_response(request, stream, "sound"));
        let mut configured = configuration(1, "plain");
        configured["routes"][1]["service"] = "other".into();
        store.put_configuration(&configured);
        let entry = |service, server: &ScriptedServer| {
            server_entry(service, &server.address.to_string(), "", "ready")
        };
        store.put_server("troubled", &entry("plain", &troubled));
        store.put_server("sound", &entry("other", &sound));
        let front = TroubledStore::start(store.address, Arc::clone(&is_over));
        let settings = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
        let callers = unused_address();
        let text = format!(
            "name: {name}\nfailure_domain: a\nregions: {{a: one}}\nlisten: {callers}\n\
             ready_listen: {}\nmetrics_listen: {}\npeer_listen: {}\nstore: {}\n\
             memory_mb: {MEMORY_MB}\nmax_fds: 1024\n",
            unused_address(),
            unused_address(),
            unused_address(),
            front.address,
        );
        fs::write(&settings, text).expect("settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryd"))
            .args(["--gateway", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let mut lines = BufReader::new(child.stdout.take().expect("the process's output"));
        let mut line = String::new();
        while !line.contains("\"started\"") {
            line.clear();
            assert!(lines.read_line(&mut line).expect("a line") > 0, "the process ended");
        }
        let log: Arc<parking_lot::Mutex<VecDeque<String>>> = Arc::default();
        let kept = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let mut kept = kept.lock();
                kept.push_back(line);
                if kept.len() > KEPT_LOG_LINES {
                    kept.pop_front();
                }
            }
        });
        let gateway = Self {
            child,
            settings,
            callers,
            log,
            store: front,
            server_form,
            is_over,
            _store: store,
            _servers: [troubled, sound],
        };
        let started_at = Instant::now();
        while !(gateway.call("/plain/x").contains(" 200 ")
            && gateway.call("/order/x").contains(" 200 "))
        {
            assert!(started_at.elapsed() < Duration::from_secs(20), "the gateway serves");
            thread::sleep(Duration::from_millis(50));
        }
        gateway
    }

    /// Sends a request and returns the response, or what there is of it at the deadline.
    fn call(&self, path: &str) -> String {
        let mut response = Vec::new();
        let sent_at = Instant::now();
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: ordinary\r\n\
             X-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
        );
        if let Ok(mut stream) = TcpStream::connect_timeout(&self.callers, ANSWER_LIMIT) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
            let mut chunk = [0; 4096];
            if stream.write_all(request.as_bytes()).is_ok() {
                while sent_at.elapsed() < ANSWER_LIMIT {
                    match stream.read(&mut chunk) {
                        Ok(0) => break,
                        Ok(length) => response.extend_from_slice(&chunk[..length]),
                        Err(_) => {}
                    }
                }
            }
        }
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Sends ordinary requests for the time of the trouble, and checks the process.
    fn check(&self, form: EndlessForm) {
        let (busy, elapsed) = self.check_responses(form);
        assert!(busy < elapsed / 2, "{form:?}: {busy:?} of {elapsed:?} on the processor");
    }

    /// Sends ordinary requests for the time of the trouble, and checks the memory. Returns the time on
    /// the processor, and the whole time.
    fn check_responses(&self, form: EndlessForm) -> (Duration, Duration) {
        let (began_at, began_ticks) = (Instant::now(), self.processor_ticks());
        let mut calls = 0;
        while began_at.elapsed() < TROUBLE {
            let response = self.call("/order/x");
            assert!(
                response.starts_with("HTTP/1.1 200 "),
                "{form:?}: call {calls}, after {:?} with {} ticks on the processor: {response:?}\n{}",
                began_at.elapsed(),
                self.processor_ticks() - began_ticks,
                self.last_log()
            );
            calls += 1;
            thread::sleep(Duration::from_millis(50));
        }
        let elapsed = began_at.elapsed();
        let ticks = self.processor_ticks() - began_ticks;
        let busy = Duration::from_millis(ticks * 1000 / rustix::param::clock_ticks_per_second());
        let peak = self.peak_memory();
        println!("{form:?}: {calls} calls, {busy:?} of {elapsed:?} on the processor, {peak} bytes");
        assert!(peak < MEMORY_MB * 1_000_000, "{form:?}: {peak} bytes resident");
        (busy, elapsed)
    }

    /// Returns the last lines of the process's log, once the ones on the way have arrived.
    fn last_log(&self) -> String {
        thread::sleep(Duration::from_millis(100));
        self.log.lock().make_contiguous().join("\n")
    }

    /// Returns the highest resident memory of the process, in bytes.
    fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is running");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM");
        let kilobytes = line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
        kilobytes * 1024
    }

    /// Returns the processor time of the process, in clock ticks.
    fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("the process is running");
        let fields = stat.rsplit(')').next().expect("fields").split_whitespace();
        fields.skip(11).take(2).map(|ticks| ticks.parse::<u64>().expect("ticks")).sum()
    }
}

impl Drop for TestedGateway {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

#[test]
fn bytes_without_end_of_a_server_do_not_stop_the_daemon() {
    for form in SERVER_FORMS {
        let gateway = TestedGateway::start("endless-server");
        *gateway.server_form.lock() = Some(form);
        thread::scope(|scope| {
            let troubled = scope.spawn(|| gateway.call("/plain/x"));
            gateway.check(form);
            let response = troubled.join().expect("a call");
            assert!(response.starts_with("HTTP/1.1 50"), "{form:?}: {response:?}");
        });
    }
}

#[test]
fn bytes_without_end_of_the_store_do_not_stop_the_daemon() {
    for form in SERVER_FORMS {
        let gateway = TestedGateway::start("endless-store");
        *gateway.store.form.lock() = Some(form);
        gateway.check(form);
    }
}

/// Lets callers send bytes without end while a check runs.
fn send_without_end(form: EndlessForm, check: impl Fn(&TestedGateway)) {
    let gateway = TestedGateway::start("endless-callers");
    let connect = || TcpStream::connect(gateway.callers).ok();
    let streams = (0..CALLERS).filter_map(|_| connect());
    let senders: Vec<_> = streams
        .map(|mut stream| {
            let is_over = Arc::clone(&gateway.is_over);
            thread::spawn(move || {
                if stream.write_all(CALLER_HEAD.as_bytes()).is_ok() {
                    write_without_end(&mut stream, form, &is_over);
                }
            })
        })
        .collect();
    check(&gateway);
    drop(gateway);
    senders.into_iter().for_each(|sender| sender.join().expect("a sender"));
}

#[test]
fn bytes_without_end_of_callers_do_not_stop_the_daemon() {
    for form in CALLER_FORMS {
        send_without_end(form, |gateway| gateway.check(form));
    }
    for form in LEGAL_CALLER_FORMS {
        send_without_end(form, |gateway| {
            gateway.check_responses(form);
        });
    }
}
