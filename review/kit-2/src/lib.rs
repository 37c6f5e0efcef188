//! Stand-ins and helpers of the scripts: daemons as processes, engines that can end and start again
//! under their id, a proxy whose open connections can fall silent, and a record.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use gooseberry_standins::gateway_mocks::{self, StandinStore};
use parking_lot::Mutex;
use serde_json::{json, Value};

/// Writes what happens to a file, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    /// Creates `record.txt` in the folder that the first argument names.
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = fs::File::create(Path::new(&folder).join("record.txt")).expect("a record");
        Self { began_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.began_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock(), "{seconds:8.3} {text}");
    }

    /// Writes a line, also to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Returns whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the time since the start of 1970, in milliseconds.
pub fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates it.
    pub fn create() -> Self {
        let path =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), epoch_ms()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address that nothing listens at, a new one each time. Its host follows from the
/// process id, so that neither outgoing connections (from 127.0.0.1) nor other scripts use it.
pub fn unused_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 128 | (high & 63), middle, low);
    SocketAddr::from((host, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// A daemon with the deploy file's command. It is killed when its handle is dropped.
pub struct Daemon {
    pub requests: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts a daemon whose settings are those of a small deployment and `extra` lines.
    pub fn start(folder: &Path, name: &str, store: &str, extra: &str) -> Self {
        let [listen, ready, metrics, peers] = [(); 4].map(|()| unused_address());
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\nfailure_domain: a\nregions: {{a: one}}\nlisten: {listen}\n\
             ready_listen: {ready}\nmetrics_listen: {metrics}\npeer_listen: {peers}\n\
             store: {store}\ngrace_s: 8\nretry_ratio: 0.2\nretry_window_s: 10\nretry_slack: 56\n\
             cpu_share: 0.25\nlog: info\nmax_fds: 4100\nrequire_fencing: false\nlease_ms: 3000\n\
             thaw_ms: 300\n{extra}"
        );
        fs::write(&settings, text).expect("a settings file");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let program = std::env::current_exe().expect("the path of this program");
        let child = Command::new(program.with_file_name("gooseberryd"))
            .args(["--gateway", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        Self { requests: listen, readiness: ready, child }
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        gateway_mocks::write_text(&mut stream, gateway_mocks::READINESS_REQUEST)
            && gateway_mocks::status_code(&gateway_mocks::read_response(&mut stream)) == "200"
    }

    /// Waits until it is ready. Returns false after 20 s.
    pub fn wait_ready(&self) -> bool {
        let began_at = Instant::now();
        while !self.is_ready() {
            if began_at.elapsed() > Duration::from_secs(20) {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

/// A TCP proxy whose open connections can fall silent while new ones work.
#[derive(Clone)]
pub struct SilentProxy {
    pub address: SocketAddr,
    target: SocketAddr,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    next_number: Arc<AtomicU64>,
}

impl SilentProxy {
    /// Starts a proxy on a free port.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy =
            Self { address, target, silent_below: Arc::default(), next_number: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.forward(client));
            }
        });
        proxy
    }

    /// Makes all open connections silent for good: nothing passes, and neither end learns of it.
    pub fn silence_open(&self) {
        let next = self.next_number.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    fn forward(&self, client: TcpStream) {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let Ok(target) = TcpStream::connect(self.target) else { return };
        let _ = (client.set_nodelay(true), target.set_nodelay(true));
        let (Ok(client_2), Ok(target_2)) = (client.try_clone(), target.try_clone()) else { return };
        let proxy = self.clone();
        thread::spawn(move || proxy.copy(number, target_2, client_2));
        self.copy(number, client, target);
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 16384];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            if number < self.silent_below.load(Ordering::SeqCst) {
                // Holds both ends open.
                loop {
                    thread::sleep(Duration::from_secs(3600));
                }
            }
            if read == 0 || to.write_all(&chunk[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

/// What an engine does with one request; returns whether the connection stays open. The flag says
/// whether the engine still runs.
pub type Handler =
    Arc<dyn Fn(&gateway_mocks::ReceivedRequest, &mut TcpStream, &EngineRun) -> bool + Send + Sync>;

/// One start of an engine.
#[derive(Clone)]
pub struct EngineRun {
    pub id: String,
    pub version: String,
    pub born: u64,
    pub alive: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// An engine that can end and start again at its address, under its id.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub stage: String,
    pub address: SocketAddr,
    pub run: Mutex<EngineRun>,
    handler: Handler,
}

impl Engine {
    /// Starts an engine at a free loopback address.
    pub fn start(id: &str, service: &str, stage: &str, version: &str, handler: Handler) -> Self {
        let address = unused_address();
        let run = EngineRun {
            id: id.to_owned(),
            version: version.to_owned(),
            born: epoch_ms(),
            alive: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
        };
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            stage: stage.to_owned(),
            address,
            run: Mutex::new(run),
            handler,
        };
        engine.listen();
        engine
    }

    fn listen(&self) {
        let run = self.run.lock().clone();
        let listener = TcpListener::bind(self.address).expect("the engine's address");
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let handler = Arc::clone(&self.handler);
        thread::spawn(move || {
            while run.alive.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(handle) = stream.try_clone() {
                            run.open.lock().push(handle);
                        }
                        let (run, handler) = (run.clone(), Arc::clone(&handler));
                        thread::spawn(move || serve(stream, &run, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Ends the engine at once: its connections are reset, and new ones are refused.
    pub fn crash(&self) {
        let run = self.run.lock().clone();
        run.alive.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in run.open.lock().drain(..) {
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the engine again under its id, with a version of its software.
    pub fn start_again(&self, version: &str) {
        {
            let mut run = self.run.lock();
            *run = EngineRun {
                id: self.id.clone(),
                version: version.to_owned(),
                born: epoch_ms(),
                alive: Arc::new(AtomicBool::new(true)),
                open: Arc::default(),
            };
        }
        self.listen();
    }

    /// Returns whether it runs.
    pub fn is_alive(&self) -> bool {
        self.run.lock().alive.load(Ordering::SeqCst)
    }

    /// Returns its entry.
    pub fn entry(&self, state: &str, sequence: u64) -> Value {
        let run = self.run.lock();
        let mut entry = gateway_mocks::server_entry(
            &self.service,
            &self.address.to_string(),
            &self.stage,
            state,
        );
        entry["version"] = run.version.as_str().into();
        entry["born"] = run.born.into();
        entry["sequence"] = sequence.into();
        entry
    }

    /// Writes its entry to the store.
    pub fn register(&self, store: &StandinStore, state: &str) {
        store.put_server(&self.id, &self.entry(state, epoch_ms()));
    }
}

fn serve(mut stream: TcpStream, run: &EngineRun, handler: &Handler) {
    while let Some(request) = gateway_mocks::read_request(&mut stream) {
        if !run.alive.load(Ordering::SeqCst) {
            return;
        }
        if request.path() == "/gooseberrykeel/report" {
            let body = json!({
                "stage": "decode", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": false, "sequence": 0, "queued": 0, "active": 0, "kv-used": 0,
                "kv-total": 100000, "kv-handles": 0, "born": run.born,
            })
            .to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if !gateway_mocks::write_text(&mut stream, &(head + &body)) {
                return;
            }
            continue;
        }
        if request.expected_server().is_some_and(|id| id != run.id) {
            if !gateway_mocks::write_misdirected(&request, &mut stream) {
                return;
            }
            continue;
        }
        if !handler(&request, &mut stream, run) {
            return;
        }
    }
}
