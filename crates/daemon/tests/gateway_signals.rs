//! What the gateway's process does at signals.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

use rustix::process::{Pid, Signal};

/// Returns an address whose host is this process's own and whose port is counted,
/// so that no other listener takes it before the gateway does.
fn free() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 101, middle, low], port))
}

struct GatewayProcess {
    child: Child,
    lines: BufReader<ChildStdout>,
    settings: PathBuf,
}

impl GatewayProcess {
    fn start(name: &str) -> Self {
        let settings = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
        let text = format!(
            "name: {name}\nfailure_domain: a\nregions: {{a: one}}\nlisten: {}\n\
             ready_listen: {}\nmetrics_listen: {}\npeer_listen: {}\nstore: {}\n",
            free(),
            free(),
            free(),
            free(),
            free()
        );
        fs::write(&settings, text).expect("settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryd"))
            .args(["--gateway", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let lines = BufReader::new(child.stdout.take().expect("its output"));
        let mut process = Self { child, lines, settings };
        process.line("\"started\"");
        process
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process lives");
    }

    /// Reads up to a line with some text.
    fn line(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let length = self.lines.read_line(&mut line).expect("a line");
            assert!(length > 0, "the process ended before it said {text}");
        }
        line
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// SIGHUP ended the process: 72 of 89 daemons went on a day with `hup`.
#[test]
fn sighup_reloads_the_settings_and_ends_nothing() {
    let mut process = GatewayProcess::start("reload");
    let text = fs::read_to_string(&process.settings).expect("settings");
    fs::write(&process.settings, format!("{text}retry_slack: 7\n")).expect("settings");
    process.signal(Signal::HUP);
    assert!(process.line("settings reloaded").contains("slack: 7"));
    fs::write(&process.settings, "name: [\n").expect("settings");
    process.signal(Signal::HUP);
    process.line("settings not reloaded");
    process.signal(Signal::TERM);
    assert!(process.child.wait().expect("a status").success());
}

#[test]
fn sigterm_ends_the_process_in_order() {
    let mut process = GatewayProcess::start("stop");
    process.signal(Signal::TERM);
    process.line("\"stopping\"");
    process.line("\"stopped\"");
    assert!(process.child.wait().expect("a status").success());
}
