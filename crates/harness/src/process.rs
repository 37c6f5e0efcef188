//! Processes that a test starts, pauses and ends.

use std::{
    env,
    fs::File,
    net::{Ipv4Addr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use rustix::process::{kill_process, Pid, Signal};

/// Longest wait for anything, so that a test that hangs ends.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which conditions are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Second part of the first loopback address that tests listen at.
const FIRST_NETWORK: u8 = 64;
/// Bits of a process identifier that go to the second part of the address.
const NETWORK_MASK: u8 = FIRST_NETWORK - 1;
/// First port that tests listen at.
const FIRST_PORT: u16 = 10_000;
/// Port that the next address gets.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

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

    /// Tells the process that its settings have changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
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

/// Finds a program of this workspace in the target folder of the running one.
pub fn program_path(program: &str) -> PathBuf {
    let own = env::current_exe().expect("the test's own path");
    let mut folders = own.ancestors().skip(1).take(2).map(|folder| folder.join(program));
    folders.find(|path| path.exists()).unwrap_or_else(|| PathBuf::from(program))
}

/// Runs a program of this workspace to its end.
pub fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program_path(program)).args(arguments).output().expect("a program that ends")
}

/// Returns a loopback address that nothing listens at, a new one each time.
///
/// The host comes from this process and the ports are counted, so that neither
/// an outgoing connection (from 127.0.0.1) nor another test takes the address,
/// and none has to be bound to find that it is free.
///
/// # Panics
///
/// Panics if all ports are used up.
pub fn unused_address() -> String {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, FIRST_NETWORK | (high & NETWORK_MASK), middle, low);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port >= FIRST_PORT, "all ports are used up");
    format!("{host}:{port}")
}

/// Returns a listener at an address of [`unused_address`].
///
/// # Panics
///
/// Panics if the address can't be bound.
pub fn bind_unused_address() -> TcpListener {
    TcpListener::bind(unused_address()).expect("an address of this process alone")
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with the description if it doesn't hold for the hang limit.
pub fn wait_until(description: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "gave up waiting until {description}");
        thread::sleep(POLL_INTERVAL);
    }
}
