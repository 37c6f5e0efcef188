//! Memory and descriptors that the gateway process holds for callers, under floods of each kind.
//!
//! The floods guard against the process being killed for its memory: 100 connections with bodies
//! of 4 MiB less one byte took it from 13 to 628 MB. No test asserts a time or how many requests
//! of a flood are served.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU16, Ordering},
        Mutex, MutexGuard, PoisonError,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{
    configuration, server_entry, write_response, ScriptedServer, StandinStore,
};
use rustix::{
    net::{self, sockopt, AddressFamily, SocketFlags, SocketType},
    process::{Pid, Signal},
};

/// Memory of the VM in the settings, in megabytes; the bound on `VmHWM`.
const MEMORY_MB: u64 = 64;
/// Descriptors in the settings; the bound on open ones.
const MAX_DESCRIPTORS: usize = 256;
/// Connections of a flood, more than there may be descriptors.
const CONNECTIONS: usize = 280;
/// Connections of the flood whose senders pass the limit on bodies, each with up to 4 MiB.
const LONG_CONNECTIONS: usize = 40;
/// Size of a large body within the limit, in bytes.
const BODY_BYTES: usize = 1024 * 1024;
/// Bytes that each connection is sent in one turn.
const FRAGMENT_BYTES: usize = 32 * 1024;
/// Pause between turns with tiny chunks, so that the process reads most of them one by one.
const TINY_CHUNK_PAUSE: Duration = Duration::from_millis(25);
/// Size of a response for a slow reader, in bytes.
const RESPONSE_BYTES: usize = 500_000;
/// Part of the bound by which responses may exceed it together.
const OVERDRAFT_DIVISOR: u64 = 4;
/// Bytes of small responses and parts, which may exceed the bound besides.
const SMALL_BYTES: u64 = 128 * 1024;
/// Receive buffer of a slow reader, in bytes, so that the kernel doesn't take the response.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Longest time for which one write to a connection that isn't read may block.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts of the ordinary request, with a pause between them as a client makes it.
const ORDINARY_ATTEMPTS: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Grace period of a stop in the settings.
const GRACE: Duration = Duration::from_secs(5);

/// Lets one flood run at a time.
static FLOOD: Mutex<()> = Mutex::new(());

/// Returns an address with a loopback host unique to this process and a new port.
fn unused_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(21_000);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 102, middle, low], port))
}

/// A gateway process with a store and a server.
struct FloodedGateway {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    metrics: SocketAddr,
    most_descriptors: usize,
    _store: StandinStore,
    _server: ScriptedServer,
    _turn: MutexGuard<'static, ()>,
}

impl FloodedGateway {
    fn start(name: &str) -> Self {
        Self::start_with(name, MEMORY_MB)
    }

    fn start_with(name: &str, memory_mb: u64) -> Self {
        let turn = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
        let store = StandinStore::start();
        let server = ScriptedServer::start(|request, stream| {
            let is_large = request.path() == "/plain/large";
            let body = "x".repeat(if is_large { RESPONSE_BYTES } else { 2 });
            write_response(request, stream, &body)
        });
        store.put_configuration(&configuration(1, "plain"));
        store.put_server("s0", &server_entry("plain", &server.address.to_string(), "", "ready"));
        let settings = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
        let (callers, metrics) = (unused_address(), unused_address());
        let text = format!(
            "name: {name}\nfailure_domain: a\nregions: {{a: one}}\nlisten: {callers}\n\
             ready_listen: {}\nmetrics_listen: {metrics}\npeer_listen: {}\nstore: {}\n\
             memory_mb: {memory_mb}\nmax_fds: {MAX_DESCRIPTORS}\n\
             grace_s: {}\n",
            unused_address(),
            unused_address(),
            store.address,
            GRACE.as_secs(),
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
        thread::spawn(move || std::io::copy(&mut lines, &mut std::io::sink()));
        let gateway = Self {
            child,
            settings,
            callers,
            metrics,
            most_descriptors: 0,
            _store: store,
            _server: server,
            _turn: turn,
        };
        gateway.send_ordinary(50);
        gateway
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.callers, Duration::from_secs(5)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
        Some(stream)
    }

    /// Opens the connections of a flood and sends a request head on each. A refused connection is
    /// left out.
    fn open(&mut self, connections: usize, header: &str) -> Vec<TcpStream> {
        let mut streams = Vec::new();
        for number in 0..connections {
            let head = format!(
                "POST /plain/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: flood-{number}\r\n\
                 X-Deadline-Ms: 3000\r\n{header}\r\n\r\n"
            );
            let Some(mut stream) = self.connect() else { continue };
            if stream.write_all(head.as_bytes()).is_ok() {
                streams.push(stream);
            }
        }
        self.count_descriptors();
        streams
    }

    /// Sends one piece on each connection in turn, and this several times. Connections whose peer
    /// doesn't take a piece stay open and are sent nothing further.
    fn send_in_turns(&mut self, streams: &[TcpStream], piece: &[u8], turns: usize) {
        let mut is_open = vec![true; streams.len()];
        for _ in 0..turns {
            for (mut stream, is_open) in streams.iter().zip(&mut is_open) {
                *is_open = *is_open && stream.write_all(piece).is_ok();
            }
            self.count_descriptors();
        }
    }

    /// Opens the connections of a flood of callers that each read one byte of a large response.
    fn flood_slow_readers(&mut self) -> Vec<TcpStream> {
        let mut streams = Vec::new();
        for number in 0..CONNECTIONS {
            let Some(mut stream) = connect_slow_reader(self.callers) else { continue };
            let request = format!(
                "GET /plain/large HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: slow-{number}\r\n\
                 X-Deadline-Ms: 3000\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).is_ok() {
                streams.push(stream);
            }
            self.count_descriptors();
        }
        // One byte from each shows that its response has begun, or its connection was closed.
        for mut stream in &streams {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let _ = stream.read(&mut [0]);
            self.count_descriptors();
        }
        streams
    }

    fn count_descriptors(&mut self) {
        let path = format!("/proc/{}/fd", self.child.id());
        let count = fs::read_dir(path).expect("the process is running").count();
        self.most_descriptors = self.most_descriptors.max(count);
    }

    /// Returns the highest resident memory of the process, in bytes.
    fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is running");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM");
        let kilobytes = line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
        kilobytes * 1024
    }

    /// Sends an ordinary request until it gets the server's response.
    fn send_ordinary(&self, attempts: u32) {
        let mut last = String::new();
        for _ in 0..attempts {
            last = self.try_ordinary().unwrap_or_else(|error| error.to_string());
            if last.starts_with("HTTP/1.1 200 ") {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
        panic!("no 200 for an ordinary request, but {last}");
    }

    fn try_ordinary(&self) -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.callers, Duration::from_secs(5))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(
            b"POST /plain/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: ordinary\r\n\
              X-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
        )?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        Ok(response)
    }

    /// Checks the process while the connections of a flood are still open.
    fn check(mut self, flood: &[TcpStream]) {
        self.count_descriptors();
        let before_ordinary = self.peak_memory();
        let is_running = self.child.try_wait().expect("a status").is_none();
        println!(
            "VmHWM {:.1} MB, {} descriptors, {} connections of the flood opened",
            before_ordinary as f64 / 1e6,
            self.most_descriptors,
            flood.len()
        );
        assert!(is_running, "the process has ended");
        self.send_ordinary(ORDINARY_ATTEMPTS);
        let peak = self.peak_memory();
        assert!(peak < MEMORY_MB * 1_000_000, "{peak} bytes resident");
        let descriptors = self.most_descriptors;
        assert!(descriptors < MAX_DESCRIPTORS, "{descriptors} descriptors open");
    }
}

impl Drop for FloodedGateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns a chunk of a chunked body with this many bytes.
fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Guards against bodies of legal size, each sent at once except its last byte, that together
/// exceed the memory.
#[test]
fn large_bodies_that_stall_before_their_end_stay_within_the_memory() {
    let mut gateway = FloodedGateway::start("whole");
    let streams = gateway.open(CONNECTIONS, &format!("Content-Length: {BODY_BYTES}"));
    gateway.send_in_turns(&streams, &vec![b'x'; BODY_BYTES - 1], 1);
    gateway.check(&streams);
}

/// Guards against the same bodies growing side by side.
#[test]
fn large_bodies_in_fragments_stay_within_the_memory() {
    let mut gateway = FloodedGateway::start("fragments");
    let streams = gateway.open(CONNECTIONS, &format!("Content-Length: {BODY_BYTES}"));
    let turns = BODY_BYTES / FRAGMENT_BYTES - 1;
    gateway.send_in_turns(&streams, &[b'x'; FRAGMENT_BYTES], turns);
    gateway.check(&streams);
}

/// Guards against bodies whose size isn't known before their end.
#[test]
fn large_chunked_bodies_stay_within_the_memory() {
    let mut gateway = FloodedGateway::start("chunked");
    let streams = gateway.open(CONNECTIONS, "Transfer-Encoding: chunked");
    let turns = BODY_BYTES / FRAGMENT_BYTES - 1;
    gateway.send_in_turns(&streams, &chunk(FRAGMENT_BYTES), turns);
    gateway.check(&streams);
}

/// Guards against each chunk of a few bytes keeping the whole buffer that it was read into.
#[test]
fn bodies_in_tiny_chunks_stay_within_the_memory() {
    let mut gateway = FloodedGateway::start("tiny");
    let streams = gateway.open(CONNECTIONS, "Transfer-Encoding: chunked");
    for _ in 0..120 {
        gateway.send_in_turns(&streams, &chunk(3), 1);
        thread::sleep(TINY_CHUNK_PAUSE);
    }
    gateway.check(&streams);
}

/// Guards against bytes of a body being held that is known to exceed the limit.
#[test]
fn bodies_announced_over_the_limit_stay_within_the_memory() {
    let mut gateway = FloodedGateway::start("announced");
    let streams = gateway.open(CONNECTIONS, "Content-Length: 67108864");
    gateway.send_in_turns(&streams, &[b'x'; FRAGMENT_BYTES], 16);
    gateway.check(&streams);
}

/// Guards against bodies over the limit being held up to the limit, side by side.
#[test]
fn bodies_sent_over_the_limit_stay_within_the_memory() {
    let mut gateway = FloodedGateway::start("over");
    let streams = gateway.open(LONG_CONNECTIONS, "Transfer-Encoding: chunked");
    gateway.send_in_turns(&streams, &chunk(4 * FRAGMENT_BYTES), 48);
    gateway.check(&streams);
}

/// Connects with a small receive buffer. Another test's process doesn't inherit the socket.
fn connect_slow_reader(address: SocketAddr) -> Option<TcpStream> {
    let flags = SocketFlags::CLOEXEC;
    let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None);
    let socket = socket.expect("a socket");
    sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).expect("the buffer");
    net::connect(&socket, &address).ok()?;
    Some(TcpStream::from(socket))
}

/// Reads metrics of the memory held for callers until the flag is set. Returns by how many bytes what
/// was held exceeded at most the bound and the part by which responses may exceed it together.
fn most_held_beyond_bound(metrics: SocketAddr, is_over: &AtomicBool) -> u64 {
    let mut most = 0;
    while !is_over.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(metrics).expect("a connection");
        let request = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("a request");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("metrics");
        let value = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name)).expect("the metric");
            line.trim().parse::<u64>().expect("a number")
        };
        let limit = value("gooseberrykeel_caller_memory_limit_bytes ");
        let held = value("gooseberrykeel_caller_memory_bytes ");
        most = most.max(held.saturating_sub(limit + limit / OVERDRAFT_DIVISOR));
        thread::sleep(Duration::from_millis(5));
    }
    most
}

/// Guards against responses that callers don't read being held without a bound.
#[test]
fn responses_that_are_read_slowly_stay_within_the_memory() {
    let mut gateway = FloodedGateway::start("slow-readers");
    let streams = gateway.flood_slow_readers();
    gateway.check(&streams);
}

/// Guards against responses that each hold a part of their memory, wait for the rest and then all exceed
/// the bound.
#[test]
fn responses_exceed_what_may_be_held_by_a_part_of_it() {
    let mut gateway = FloodedGateway::start("overdrawn");
    let (metrics, is_over) = (gateway.metrics, AtomicBool::new(false));
    let most = thread::scope(|scope| {
        let sampled = scope.spawn(|| most_held_beyond_bound(metrics, &is_over));
        let streams = gateway.flood_slow_readers();
        is_over.store(true, Ordering::Relaxed);
        drop(streams);
        sampled.join().expect("samples")
    });
    assert!(most <= RESPONSE_BYTES as u64 + SMALL_BYTES, "{most} bytes beyond the bound");
}

/// Sends one request with a body of 4 MiB, whose head has this header, and returns the response. The
/// body is sent whatever the process responds.
fn send_largest_body(gateway: &FloodedGateway, header: &str, bytes: usize) -> String {
    let mut stream = TcpStream::connect(gateway.callers).expect("a connection");
    let head = format!(
        "POST /plain/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: largest\r\n\
         X-Deadline-Ms: 4000\r\nConnection: close\r\n{header}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("a head");
    // A refused body isn't read to its end.
    let _ = stream.write_all(&vec![b'x'; bytes]);
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let text = String::from_utf8_lossy(&response).into_owned();
    assert!(!text.is_empty(), "no response: {read:?}");
    text
}

/// Guards against a bound that refuses a body of the largest legal size although nothing else is
/// held, also when such bodies come one after the other.
#[test]
fn the_smallest_vm_serves_bodies_of_the_largest_size() {
    let gateway = FloodedGateway::start_with("largest", 120);
    for _ in 0..5 {
        let bytes = 4 * 1024 * 1024;
        let response = send_largest_body(&gateway, &format!("Content-Length: {bytes}"), bytes);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    assert!(gateway.peak_memory() < 120_000_000, "{} bytes resident", gateway.peak_memory());
}

/// Guards against a refusal that is lost because the process closes the connection while the caller
/// still sends.
#[test]
fn a_body_that_is_announced_over_the_limit_gets_a_response() {
    let gateway = FloodedGateway::start("refused");
    let response = send_largest_body(&gateway, "Content-Length: 4194305", 128 * 1024);
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

/// Guards against a stop that waits for a caller which never reads, beyond the grace period.
#[test]
fn a_caller_that_never_reads_does_not_hold_up_a_stop() {
    let mut gateway = FloodedGateway::start("stopped");
    let mut stream = connect_slow_reader(gateway.callers).expect("a connection");
    let request = "GET /plain/large HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: never\r\n\
                   X-Deadline-Ms: 3000\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("a request");
    assert!(stream.read(&mut [0]).is_ok_and(|length| length == 1), "the response begins");
    let stopped_at = Instant::now();
    let pid = Pid::from_child(&gateway.child);
    rustix::process::kill_process(pid, Signal::TERM).expect("the process is running");
    assert!(gateway.child.wait().expect("a status").success());
    assert!(stopped_at.elapsed() < GRACE + Duration::from_secs(1), "{:?}", stopped_at.elapsed());
}
