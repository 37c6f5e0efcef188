//! Processes that a test starts, pauses and kills.

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

/// Longest wait for any condition, so that a test that hangs ends.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Second octet of the lowest loopback address that tests listen at.
const FIRST_NETWORK: u8 = 64;
/// Bits of the process id that go to the second octet of the address.
const NETWORK_MASK: u8 = FIRST_NETWORK - 1;
/// First port that tests listen at.
const FIRST_PORT: u16 = 10_000;
/// Port of the next address that is returned.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A process that is killed when its handle is dropped.
#[derive(Debug)]
pub struct TestProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl TestProcess {
    /// Starts a program of this workspace, which logs to a file in the folder.
    pub fn start(folder: &Path, name: &str, program: &str, arguments: &[String]) -> Self {
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log).expect("a log file");
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle of the log file"))
            .stderr(output)
            .spawn()
            .with_context(|| format!("failed to start {program}; build it with scripts/test.sh"))
            .expect("a started program");
        Self { name: name.to_owned(), child, log }
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the file that the process logs to.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone()
    }

    /// Kills the process with SIGKILL, as a crash would end it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process with SIGSTOP until [`Self::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Makes the process reload its settings, with SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child's status") {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "{} did not exit before the test timeout",
                self.name
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child's status").is_none()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process id");
        kill_process(pid, signal).expect("a signal sent to a child of the test");
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a program of this workspace in the target folder of this executable.
pub fn program_path(program: &str) -> PathBuf {
    let executable = env::current_exe().expect("the path of the test executable");
    let mut folders = executable.ancestors().skip(1).take(2).map(|folder| folder.join(program));
    folders.find(|path| path.exists()).unwrap_or_else(|| PathBuf::from(program))
}

/// Runs a program of this workspace until it exits, and returns its output.
pub fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program_path(program)).args(arguments).output().expect("the output of a program")
}

/// Returns a loopback address that nothing listens at, a new one each time.
///
/// The host is derived from the process id and the ports are counted up. So
/// neither an outgoing connection (from 127.0.0.1) nor another test uses the
/// address, and no address has to be bound to find out that it is unused.
///
/// # Panics
///
/// Panics if all ports have been returned.
pub fn unused_address() -> String {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, FIRST_NETWORK | (high & NETWORK_MASK), middle, low);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port >= FIRST_PORT, "no unused port is left in this test process");
    format!("{host}:{port}")
}

/// Returns a listener bound to an [`unused_address`].
///
/// # Panics
///
/// Panics if the address can't be bound.
pub fn bind_unused_address() -> TcpListener {
    TcpListener::bind(unused_address()).expect("an address that no other process uses")
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics with the description if the condition doesn't hold within
/// [`TEST_TIMEOUT`].
pub fn wait_until(description: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        thread::sleep(POLL_INTERVAL);
    }
}
