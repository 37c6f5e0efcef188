//! Callers, and a load balancer that checks which daemons are ready for their requests.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    history::{CallKind, CallRecord, ResumedStream, SoakHistory},
    plan::{self, PoisonKind},
    servers::{EVENTS_PER_STREAM, POISON_PART, POISON_PATH},
    system::SoakSystem,
    SoakOptions,
};

/// Number of callers that send at the same time.
const CALLER_COUNT: usize = 12;
/// Longest wait for a response: the requests' deadline of 3 s and one more second.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of times that a caller resumes a stream.
const RESUME_LIMIT: usize = 2;
/// Last segment of the paths of sound requests.
const CALL_PATH: &str = "x";
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of different first parts of prompts.
const PREFIX_COUNT: u32 = 6;
/// Longest delay of a caller between two requests.
const MAX_DELAY_MS: u64 = 60;
/// Time between two readiness checks of the balancer, and the timeout of each.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive failed readiness checks after which a daemon gets no new connections.
const FAILED_CHECKS_LIMIT: u32 = 2;
/// Share of requests that reuse the connection of the request before.
const REUSED_SHARE: f64 = 0.6;

/// The addresses of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct DaemonAddresses {
    pub requests: SocketAddr,
    pub readiness: SocketAddr,
}

/// The threads of the callers and of the balancer.
pub struct SoakTraffic {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SoakTraffic {
    /// Stops all threads after the callers' current requests have ended.
    ///
    /// # Panics
    ///
    /// Panics if a thread has panicked.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no caller or balancer thread panicked");
        }
    }
}

/// Starts the callers and the balancer.
pub fn start(system: &SoakSystem, options: SoakOptions) -> SoakTraffic {
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Arc<Vec<DaemonAddresses>> = Arc::new(system.addresses());
    let rotation = Arc::new(Mutex::new((0..addresses.len()).collect::<Vec<_>>()));
    let mut threads = Vec::new();
    {
        let (stop, addresses) = (Arc::clone(&stop), Arc::clone(&addresses));
        let rotation = Arc::clone(&rotation);
        threads.push(thread::spawn(move || check_readiness(&stop, &addresses, &rotation)));
    }
    let caller = |number: usize| SoakCaller {
        number,
        rng: ChaCha8Rng::seed_from_u64(options.seed ^ ((number as u64 + 1) << 32)),
        addresses: Arc::clone(&addresses),
        rotation: Arc::clone(&rotation),
        history: Arc::clone(&system.history),
        idle_connection: None,
        sent: 0,
    };
    for (number, poison) in plan::plan_poison(options).enumerate() {
        let (mut caller, stop) = (caller(CALLER_COUNT + number), Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            thread::sleep(poison.from);
            while !stop.load(Ordering::Relaxed) {
                caller.call_poison(poison.kind);
                thread::sleep(poison.interval);
            }
        }));
    }
    for number in 0..CALLER_COUNT {
        let mut caller = caller(number);
        let stop = Arc::clone(&stop);
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                caller.call();
            }
        }));
    }
    SoakTraffic { stop, threads }
}

/// Checks the daemons' readiness as a load balancer does, and sets which of them get requests.
fn check_readiness(stop: &AtomicBool, addresses: &[DaemonAddresses], rotation: &Mutex<Vec<usize>>) {
    let mut failures = vec![0; addresses.len()];
    while !stop.load(Ordering::Relaxed) {
        for (daemon, address) in addresses.iter().enumerate() {
            failures[daemon] = if is_ready(address.readiness) { 0 } else { failures[daemon] + 1 };
        }
        let ready = (0..addresses.len()).filter(|daemon| failures[*daemon] < FAILED_CHECKS_LIMIT);
        *rotation.lock() = ready.collect();
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Requests the readiness of a daemon and returns whether it accepts requests.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, CHECK_INTERVAL) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(CHECK_INTERVAL));
    gateway_mocks::write_text(&mut stream, gateway_mocks::READINESS_REQUEST)
        && gateway_mocks::status_code(&gateway_mocks::read_response(&mut stream)) == "200"
}

struct SoakCaller {
    number: usize,
    rng: ChaCha8Rng,
    addresses: Arc<Vec<DaemonAddresses>>,
    rotation: Arc<Mutex<Vec<usize>>>,
    history: Arc<Mutex<SoakHistory>>,
    /// Open connection of the last request, with its daemon.
    idle_connection: Option<(usize, TcpStream)>,
    sent: usize,
}

impl SoakCaller {
    /// Sends a request that crashes its server.
    fn call_poison(&mut self, poison: PoisonKind) {
        if poison == PoisonKind::SameRequest {
            self.send(CallKind::Plain, POISON_PATH, "", None);
            return;
        }
        let kind = if self.rng.random_bool(0.5) { CallKind::Chat } else { CallKind::Review };
        let shared_prefix = format!("{:x}", self.rng.random_range(0..PREFIX_COUNT));
        let own = format!("{POISON_PART}:60,{:x}{:x}", self.number, self.sent);
        self.send(kind, CALL_PATH, &gateway_mocks::prompt_headers(&shared_prefix, &own), None);
    }

    /// Sends a request. A stream that breaks is resumed, at any daemon.
    fn call(&mut self) {
        thread::sleep(Duration::from_millis(self.rng.random_range(0..MAX_DELAY_MS)));
        let kinds = [CallKind::Plain, CallKind::Order, CallKind::Chat, CallKind::Review];
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let shared_prefix = format!("{:x}", self.rng.random_range(0..PREFIX_COUNT));
        let headers = match kind {
            CallKind::Plain | CallKind::Order => String::new(),
            CallKind::Chat | CallKind::Review => gateway_mocks::prompt_headers(
                &shared_prefix,
                &format!("{:x}{:x}", self.number, self.sent),
            ),
        };
        let mut resumed = None;
        for _ in 0..=RESUME_LIMIT {
            resumed = self.send(kind, CALL_PATH, &headers, resumed);
            if resumed.is_none() {
                break;
            }
        }
    }

    /// Sends a request and records its response. Returns what to resume, if it is a stream that
    /// broke after its first event.
    fn send(
        &mut self,
        kind: CallKind,
        path: &str,
        headers: &str,
        resumed: Option<ResumedStream>,
    ) -> Option<ResumedStream> {
        let (daemon, stream) = self.connection()?;
        self.sent += 1;
        let id = format!("c{}-{}", self.number, self.sent);
        let mut headers = headers.to_owned();
        if let Some(ResumedStream { origin, events }) = &resumed {
            headers += &format!("Resumes: {origin}\r\nLast-Event-Id: {events}\r\n");
        }
        let text = gateway_mocks::get_request(&id, &format!("/{kind}/{path}"), &headers);
        let sent_at = Instant::now();
        let (answer, stream) = exchange(stream, &text);
        let record = CallRecord {
            id,
            kind,
            daemon,
            sent_at,
            ended_at: Instant::now(),
            is_connected: stream.is_some(),
            is_poison: path == POISON_PATH || headers.contains(POISON_PART),
            resumed: resumed.clone(),
            answer,
        };
        let closes = record.answer.to_ascii_lowercase().contains("\r\nconnection: close");
        if gateway_mocks::is_complete_response(&record.answer) && !closes {
            self.idle_connection = stream.map(|stream| (daemon, stream));
        }
        let events = record.events().len();
        let is_broken = kind == CallKind::Review && !record.is_served() && events > 0;
        let next = is_broken.then(|| {
            let stream = resumed.unwrap_or(ResumedStream { origin: record.id.clone(), events: 0 });
            ResumedStream { events: stream.events + events, ..stream }
        });
        self.history.lock().calls.push(record);
        next.filter(|stream| stream.events < EVENTS_PER_STREAM)
    }

    fn connection(&mut self) -> Option<(usize, Option<TcpStream>)> {
        let idle = self.idle_connection.take();
        if self.rng.random_bool(REUSED_SHARE) {
            if let Some((daemon, stream)) = idle {
                return Some((daemon, Some(stream)));
            }
        }
        let rotation = self.rotation.lock().clone();
        if rotation.is_empty() {
            return None;
        }
        let daemon = rotation[self.rng.random_range(0..rotation.len())];
        let address = self.addresses[daemon].requests;
        Some((daemon, TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()))
    }
}

fn exchange(stream: Option<TcpStream>, text: &str) -> (String, Option<TcpStream>) {
    let Some(mut stream) = stream else {
        return (String::new(), None);
    };
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    if !gateway_mocks::write_text(&mut stream, text) {
        return (String::new(), None);
    }
    let answer = gateway_mocks::read_response(&mut stream);
    (answer, Some(stream))
}
