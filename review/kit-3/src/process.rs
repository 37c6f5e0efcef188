//! Daemons, started with the command of the deploy file and settings as its template renders them.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::TcpStream,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rustix::process::{getrlimit, kill_process, Pid, Resource, Signal};

use crate::{net::unused_address, proxy::TestProxy};

/// Time after which a case is given up and all its processes are ended.
const CASE_LIMIT: Duration = Duration::from_secs(105);

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one, with 2, if the case takes too long.
pub fn limit_case() {
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        eprintln!("the case takes too long");
        for id in RUNNING.lock().iter() {
            if let Some(pid) = Pid::from_raw(*id as i32) {
                let _ = kill_process(pid, Signal::KILL);
            }
        }
        std::process::exit(2);
    });
}

/// Returns whether this process, and those that it starts, may open so many descriptors.
pub fn may_open(descriptors: u64) -> bool {
    getrlimit(Resource::Nofile).current.is_none_or(|limit| limit >= descriptors)
}

/// Settings of a daemon that differ between cases.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    pub name: String,
    pub zone: String,
    pub memory_mb: u64,
}

/// A daemon with its addresses.
pub struct Daemon {
    pub plan: DaemonPlan,
    pub frontend: String,
    pub readiness: String,
    pub peers: String,
    pub store_link: TestProxy,
    pub log: PathBuf,
    settings: PathBuf,
    program: PathBuf,
    child: Child,
}

/// Zones and regions of the small deployment `verkfaeri-lan`.
pub const ZONES: [&str; 3] = ["hofudborg-a", "nordurland-a", "austurland-a"];

impl Daemon {
    /// Starts a daemon whose calls to the store pass a link of its own.
    pub fn start(program: &Path, folder: &Path, plan: DaemonPlan, store: &str) -> Self {
        let [frontend, readiness, metrics, peers] = [(); 4].map(|()| unused_address());
        let store_link = TestProxy::start(store);
        let settings = folder.join(format!("{}.yaml", plan.name));
        let text = format!(
            "name: \"{name}\"\nfailure_domain: \"{zone}\"\n\
             regions: {{\"hofudborg-a\":\"hofudborg\",\"nordurland-a\":\"nordurland\",\"austurland-a\":\"austurland\"}}\n\
             listen: \"{frontend}\"\nready_listen: \"{readiness}\"\nmetrics_listen: \"{metrics}\"\n\
             peer_listen: \"{peers}\"\nstore: \"{store}\"\ngrace_s: 8\nretry_ratio: 0.2\n\
             retry_window_s: 10\nretry_slack: 52\ncpu_share: 0.25\nlog: info\nmemory_mb: {memory}\n\
             max_fds: 4100\nrequire_fencing: false\nlease_ms: 3000\nthaw_ms: 300\n",
            name = plan.name,
            zone = plan.zone,
            store = store_link.address,
            memory = plan.memory_mb,
        );
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{}.log", plan.name));
        let child = spawn(program, &settings, &log);
        let program = program.to_owned();
        Self { plan, frontend, readiness, peers, store_link, log, settings, program, child }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().retain(|id| *id != self.child.id());
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Returns whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request =
            "GET /gooseberrykeel/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let mut text = [0; 16];
        stream.read(&mut text).is_ok_and(|read| text[..read].starts_with(b"HTTP/1.1 200"))
    }

    /// Waits until the daemon is ready, for at most 15 s.
    pub fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(15) {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log file");
    let child = Command::new(program)
        .arg("--gateway")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a second handle of the log"))
        .stderr(output)
        .spawn()
        .expect("the program of the deploy file; build it first");
    RUNNING.lock().push(child.id());
    child
}
