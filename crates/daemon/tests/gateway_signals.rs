//! Signal handling of the gateway process.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

use rustix::process::{Pid, Signal};

/// Returns an address with a loopback host unique to this process and a new port,
/// so that no other listener binds it before the gateway does.
fn unused_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 101, middle, low], port))
}

struct GatewayProcess {
    child: Child,
    lines: BufReader<ChildStdout>,
    settings: PathBuf,
    callers: SocketAddr,
    metrics: SocketAddr,
}

impl GatewayProcess {
    fn start(name: &str) -> Self {
        let mut process = Self::spawn(name, |settings, text| {
            fs::write(settings, text).expect("settings");
        });
        process.wait_for_line("\"started\"");
        process
    }

    /// Starts a process and sends it a signal while it reads its settings.
    fn start_signalled(name: &str, signal: Signal) -> Self {
        let mut text = String::new();
        let process = Self::spawn(name, |settings, written| {
            let made = Command::new("mkfifo").arg(settings).status().expect("mkfifo runs");
            assert!(made.success(), "no pipe at {}", settings.display());
            text = written.to_owned();
        });
        // Opens once the process reads.
        let mut pipe = fs::File::options().write(true).open(&process.settings).expect("a pipe");
        process.signal(signal);
        // A process that the signal has ended reads nothing.
        let _ = pipe.write_all(text.as_bytes());
        fs::remove_file(&process.settings).expect("the pipe");
        // Later reads find the same settings.
        fs::write(&process.settings, text).expect("settings");
        process
    }

    /// Starts a process once its settings were laid at a path by a function.
    fn spawn(name: &str, lay: impl FnOnce(&Path, &str)) -> Self {
        let settings = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
        let (callers, metrics) = (unused_address(), unused_address());
        let text = format!(
            "name: {name}\nfailure_domain: a\nregions: {{a: one}}\nlisten: {callers}\n\
             ready_listen: {}\nmetrics_listen: {metrics}\npeer_listen: {}\nstore: {}\n",
            unused_address(),
            unused_address(),
            unused_address()
        );
        lay(&settings, &text);
        let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryd"))
            .args(["--gateway", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let lines = BufReader::new(child.stdout.take().expect("the process's output"));
        Self { child, lines, settings, callers, metrics }
    }

    /// Sends a request for a path to one of the process's addresses and returns the
    /// whole response.
    fn get(&self, address: SocketAddr, path: &str) -> String {
        let mut stream = TcpStream::connect(address).expect("a connection");
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).expect("a request");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response in UTF-8");
        response
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process is running");
    }

    /// Reads up to and including the line that contains a text.
    fn wait_for_line(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let length = self.lines.read_line(&mut line).expect("a line");
            assert!(length > 0, "the process ended before it logged {text}");
        }
        line
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Guards against SIGHUP terminating the process: on a day with `hup` events, only
/// 72 of 89 daemons kept running.
#[test]
fn sighup_reloads_the_settings_and_keeps_the_process_running() {
    let mut process = GatewayProcess::start("reload");
    let text = fs::read_to_string(&process.settings).expect("settings");
    fs::write(&process.settings, format!("{text}retry_slack: 7\n")).expect("settings");
    process.signal(Signal::HUP);
    assert!(process.wait_for_line("settings reloaded").contains("slack: 7"));
    fs::write(&process.settings, "name: [\n").expect("settings");
    process.signal(Signal::HUP);
    process.wait_for_line("settings not reloaded");
    process.signal(Signal::TERM);
    assert!(process.child.wait().expect("a status").success());
}

/// The platform may replace the settings file without sending a signal.
#[test]
fn a_settings_file_that_changes_without_a_signal_is_read_again() {
    let mut process = GatewayProcess::start("changed");
    let text = fs::read_to_string(&process.settings).expect("settings");
    fs::write(&process.settings, format!("{text}retry_slack: 9\n")).expect("settings");
    assert!(process.wait_for_line("settings reloaded").contains("slack: 9"));
}

/// A reader that stops reading must not delay requests: lines are dropped and
/// counted.
#[test]
fn an_unread_log_delays_no_request_and_its_dropped_lines_are_counted() {
    let process = GatewayProcess::start("unread");
    let dropped = || {
        let text = process.get(process.metrics, "/metrics");
        let mut lines = text.lines().filter_map(|line| {
            line.strip_prefix("gooseberrykeel_log_lines_dropped ")?.parse::<u64>().ok()
        });
        lines.next().unwrap_or_else(|| panic!("no count of dropped lines in {text}"))
    };
    assert_eq!(dropped(), 0);
    // Each request is logged. The pipe and the queue hold several thousand lines.
    let mut requests = 0;
    while dropped() == 0 {
        for _ in 0..500 {
            let answer = process.get(process.callers, "/nowhere/x");
            assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
        }
        requests += 500;
        assert!(requests < 50_000, "no line was dropped");
    }
}

#[test]
fn sigterm_shuts_the_process_down_gracefully() {
    let mut process = GatewayProcess::start("stop");
    process.signal(Signal::TERM);
    process.wait_for_line("\"stopping\"");
    process.wait_for_line("\"stopped\"");
    assert!(process.child.wait().expect("a status").success());
}

// Guards against a process that a stop just after its start ends by the signal itself.
#[test]
fn a_stop_before_the_start_ends_the_process_in_order() {
    let mut process = GatewayProcess::start_signalled("stopped-early", Signal::TERM);
    let status = process.child.wait().expect("a status");
    assert!(status.success(), "{status}");
}

// Guards against a process that a change of its settings just after its start ends.
#[test]
fn a_reload_before_the_start_does_not_end_the_process() {
    let mut process = GatewayProcess::start_signalled("reloaded-early", Signal::HUP);
    process.wait_for_line("\"started\"");
    process.wait_for_line("settings reloaded");
}
