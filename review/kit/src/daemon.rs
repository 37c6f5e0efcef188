//! The project's program, as a process of its own.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU8, Ordering},
        Mutex,
    },
    time::{Duration, Instant},
};

use rustix::process::{kill_process, Pid, Signal};

use crate::{http, record::Record};

/// Processes that run, so that they end also if the run doesn't.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all processes that still run.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        if let Some(pid) = Pid::from_raw(pid) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

/// Program and arguments of the deploy file, without the path of the settings.
const PROGRAM: &str = "target/release/gooseberryd";

/// One gateway. It is killed when its handle is dropped.
pub struct Daemon {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Child,
    record: Record,
}

/// Number of daemons that were started.
static STARTED: AtomicU8 = AtomicU8::new(0);

/// Returns free addresses at a loopback address of this daemon alone, so that nothing else takes one of
/// its ports before it does.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let pid = std::process::id();
    let [high, middle] = [(pid / 250 % 120 + 100) as u8, (pid % 250) as u8];
    let address = Ipv4Addr::new(127, high, middle, STARTED.fetch_add(1, Ordering::Relaxed) + 1);
    let listeners = [(); N].map(|()| TcpListener::bind((address, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a local address"))
}

impl Daemon {
    /// Writes the settings and starts the process.
    pub fn start(
        record: &Record,
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Self {
        let [frontend, readiness, metrics, peers] = free_addresses();
        let settings = folder.join(format!("{name}.yaml"));
        // The template of the deploy file with the bounds of the site.
        let text = format!(
            "name: \"{name}\"\nfailure_domain: \"{zone}\"\n\
             regions: {{\"hofudborg-a\":\"hofudborg\",\"nordurland-a\":\"nordurland\",\"austurland-a\":\"austurland\"}}\n\
             listen: \"{frontend}\"\nready_listen: \"{readiness}\"\nmetrics_listen: \"{metrics}\"\n\
             peer_listen: \"{peers}\"\nstore: \"{store}\"\ngrace_s: 8\nretry_ratio: 0.2\n\
             retry_window_s: 10\nretry_slack: 52\ncpu_share: 0.25\nlog: info\n"
        );
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(root, &settings, &log);
        record.line(format!("{name}: started in {zone}, clients at {frontend}"));
        Self {
            name: name.to_owned(),
            frontend,
            readiness,
            settings,
            log,
            root: root.to_owned(),
            child,
            record: record.clone(),
        }
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.root, &self.settings, &self.log);
        self.record.line(format!("{}: started again", self.name));
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.readiness)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn terminate(&self) {
        self.record.line(format!("{}: SIGTERM", self.name));
        self.signal(Signal::TERM);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id() as i32);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

/// Asks a daemon as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let request =
        "GET /gooseberrykeel/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    http::call(address, request, Duration::from_millis(500)).status == 200
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log file");
    let child = Command::new(root.join(PROGRAM))
        .arg("--gateway")
        .arg("--settings")
        .arg(settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a second handle"))
        .stderr(output)
        .spawn()
        .expect("the program of the deploy file is built");
    RUNNING.lock().unwrap().push(child.id() as i32);
    child
}
