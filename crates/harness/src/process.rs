//! Processes that a test starts, pauses and ends.

use std::{
    env,
    fs::File,
    net::{TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use rustix::process::{kill_process, Pid, Signal};

/// Longest wait for anything, so that a test that hangs ends.
pub const HANG_LIMIT: Duration = Duration::from_secs(60);
/// Interval at which conditions are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// First port that tests listen at.
const FIRST_PORT: u16 = 10_000;
/// Ports that tests listen at.
const PORT_COUNT: u16 = 10_000;
/// Reservations of this process.
static RESERVED_PORTS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// A process that ends with its handle.
#[derive(Debug)]
pub struct TestProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl TestProcess {
    /// Starts a program of this workspace; its logs go to a file.
    pub fn start(folder: &Path, name: &str, program: &str, arguments: &[String]) -> Self {
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log).expect("a log file");
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle of the log file"))
            .stderr(output)
            .spawn()
            .with_context(|| format!("can't start {program}; run scripts/test.sh"))
            .expect("a started program");
        Self { name: name.to_owned(), child, log }
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the process's identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the file that the process logs to.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone()
    }

    /// Ends the process at once, as a crash does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process in its tracks until [`Self::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + HANG_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child's status") {
                return status;
            }
            assert!(Instant::now() < deadline, "{} doesn't end", self.name);
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child's status").is_none()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process identifier");
        kill_process(pid, signal).expect("a signal to the test's own child");
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a program beside this one or, for a test, beside its folder.
fn program_path(program: &str) -> PathBuf {
    let own = env::current_exe().expect("the program's own path");
    let beside = own.with_file_name(program);
    if beside.exists() {
        return beside;
    }
    let folder = own.ancestors().nth(2).expect("the target folder");
    folder.join(program)
}

/// Returns a loopback address that nothing listens at, for this test alone.
///
/// The ports lie below those that the system gives to outgoing connections. A
/// port is reserved by a UDP socket that is held until the test's process ends,
/// so that tests that run side by side never share one.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> String {
    let mut reserved = RESERVED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let first = std::process::id() as u16 % PORT_COUNT;
    let ports = (0..PORT_COUNT).map(|step| FIRST_PORT + (first + step) % PORT_COUNT);
    for port in ports {
        let address = format!("127.0.0.1:{port}");
        let Ok(reservation) = UdpSocket::bind(&address) else { continue };
        if TcpListener::bind(&address).is_ok() {
            reserved.push(reservation);
            return address;
        }
    }
    panic!("no port is free");
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with the description if it doesn't hold for the hang limit.
pub fn wait_until(description: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + HANG_LIMIT;
    while !holds() {
        assert!(Instant::now() < deadline, "gave up waiting until {description}");
        thread::sleep(POLL_INTERVAL);
    }
}
