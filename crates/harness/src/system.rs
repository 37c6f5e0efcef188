//! A small system: platform, engines, plain servers, daemons.

use std::{fmt::Write, fs, process::Output, time::Duration};

use async_std::task;
use gooseberry_edges::{
    clock::Clock,
    http::HttpClient,
    platform::{PlatformApi, PlatformClient, PlatformError, PutOutcome},
};
use gooseberry_standins::plain::{PlainCounts, PlainFaults};
use gooseberry_wire::{
    edit::ConfigurationEdit,
    engine::{EngineFaults, LoadReport},
    peer::DaemonStatus,
    platform::{KvPut, PlatformCounts, PlatformFaults, VmEntry},
};
use http_types::Method;
use serde::Serialize;
use sha2::{Digest, Sha256};
use tempfile::TempDir;

use crate::{
    calls::TestCall,
    process::{self, TestProcess},
    proxy::TestProxy,
};

/// Key of the account that tests use.
pub const ACCOUNT_KEY: &str = "test-key";
/// Name of the account that tests use.
pub const ACCOUNT: &str = "tester";
/// Secret that the daemons share.
pub const PEER_SECRET: &str = "test-secret";

/// A running program with its addresses.
#[derive(Debug)]
pub struct TestServer {
    pub name: String,
    pub address: String,
    pub control_address: String,
    pub process: TestProcess,
    program: &'static str,
    arguments: Vec<String>,
}

impl TestServer {
    /// Sets the faults of a stand-in.
    pub fn set_faults(&self, faults: &impl Serialize) {
        let call = TestCall::new(Method::Put, &self.control_address, "/faults").json(faults);
        assert_eq!(call.send().expect("an answer of the control port").status, 200);
    }

    /// Reads the counts of a stand-in.
    pub fn counts<T: serde::de::DeserializeOwned>(&self) -> T {
        let call = TestCall::new(Method::Get, &self.control_address, "/counts");
        call.send().expect("an answer of the control port").json()
    }
}

/// Says how large a system is.
#[derive(Clone, Debug)]
pub struct SystemOptions {
    /// Daemons in each failure domain.
    pub daemons: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Plain servers in each failure domain.
    pub plain_servers: usize,
    pub domains: usize,
    /// Further arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Further lines of each daemon's settings.
    pub daemon_settings: String,
    /// Whether daemons reach the platform and other domains over links that a
    /// test can cut.
    pub uses_proxies: bool,
}

impl Default for SystemOptions {
    fn default() -> Self {
        Self {
            daemons: 1,
            engines: 2,
            plain_servers: 1,
            domains: 1,
            engine_arguments: Vec::new(),
            daemon_settings: String::new(),
            uses_proxies: false,
        }
    }
}

/// A running system; all of its processes end with it.
pub struct TestSystem {
    pub folder: TempDir,
    pub platform: TestServer,
    pub engines: Vec<TestServer>,
    pub plain_servers: Vec<TestServer>,
    pub daemons: Vec<TestServer>,
    /// Links between the daemons of different domains.
    pub domain_proxies: Vec<TestProxy>,
    /// Link to the platform for each domain.
    pub platform_proxies: Vec<TestProxy>,
    pub options: SystemOptions,
}

impl TestSystem {
    /// Starts a system and waits until every daemon serves the sample services.
    pub fn start(size: SystemOptions) -> Self {
        let mut system = Self::start_without_configuration(size);
        let text = system.configuration_text("");
        assert!(matches!(system.put_configuration(0, &text), PutOutcome::Written(_)));
        system.wait_until_ready();
        system
    }

    /// Starts a system whose platform holds no configuration yet.
    pub fn start_without_configuration(size: SystemOptions) -> Self {
        let folder = TempDir::new().expect("a temporary folder");
        let platform = start_server(&folder, "platform", "standin-platform", &[]);
        let mut engines = Vec::new();
        let mut plain_servers = Vec::new();
        for domain in 0..size.domains {
            for index in 0..size.engines {
                let name = format!("engine-{domain}-{index}");
                let mut arguments = vec!["--name".to_owned(), name.clone()];
                arguments.extend(size.engine_arguments.iter().cloned());
                engines.push(start_server(&folder, &name, "standin-engine", &arguments));
            }
            for index in 0..size.plain_servers {
                let name = format!("plain-{domain}-{index}");
                let arguments = ["--name".to_owned(), name.clone()];
                plain_servers.push(start_server(&folder, &name, "standin-plain", &arguments));
            }
        }
        let mut system = Self {
            folder,
            platform,
            engines,
            plain_servers,
            daemons: Vec::new(),
            domain_proxies: Vec::new(),
            platform_proxies: Vec::new(),
            options: size,
        };
        system.start_daemons();
        system
    }

    fn start_daemons(&mut self) {
        let count = self.options.daemons * self.options.domains;
        let addresses: Vec<_> =
            (0..count).map(|_| (process::unused_address(), process::unused_address())).collect();
        if self.options.uses_proxies {
            let platform = &self.platform.address;
            self.platform_proxies =
                (0..self.options.domains).map(|_| TestProxy::start(platform)).collect();
        }
        for (index, (address, peer_address)) in addresses.iter().enumerate() {
            let name = format!("daemon-{index}");
            let domain = index / self.options.daemons;
            let mut peers = Vec::new();
            for (other, (_, peer)) in addresses.iter().enumerate() {
                if self.options.uses_proxies && other / self.options.daemons != domain {
                    let link = TestProxy::start(peer);
                    peers.push(link.address.clone());
                    self.domain_proxies.push(link);
                } else if other != index {
                    peers.push(peer.clone());
                }
            }
            let platform = self.platform_proxies.get(domain);
            let platform = platform.map_or(&self.platform.address, |link| &link.address);
            let settings = format!(
                "name: {name}\nfailure_domain: domain-{domain}\nlisten: {address}\n\
                 peer_listen: {peer_address}\nplatform: {}\npeer_secret: {PEER_SECRET}\n\
                 peers: [{}]\ntraffic_threads: 2\n{}",
                platform,
                peers.join(", "),
                self.options.daemon_settings,
            );
            let path = self.folder.path().join(format!("{name}.yaml"));
            fs::write(&path, settings).expect("a settings file");
            let arguments = vec!["--settings".to_owned(), path.display().to_string()];
            let process = TestProcess::start(self.folder.path(), &name, "gooseberryd", &arguments);
            self.daemons.push(TestServer {
                name,
                address: address.clone(),
                control_address: peer_address.clone(),
                process,
                program: "gooseberryd",
                arguments,
            });
        }
    }

    /// Starts a program that was ended again, with the same arguments.
    pub fn restart(folder: &TempDir, server: &mut TestServer) {
        server.process =
            TestProcess::start(folder.path(), &server.name, server.program, &server.arguments);
    }

    /// Writes the configuration of this system; `extra` is added at its end.
    pub fn configuration_text(&self, extra: &str) -> String {
        let mut text = String::from("failure_domains:\n");
        for domain in 0..self.options.domains {
            let _ = writeln!(text, "  - {{name: domain-{domain}, region: region-{domain}}}");
        }
        text.push_str("models:\n  - {name: sample}\nengines:\n");
        for (index, engine) in self.engines.iter().enumerate() {
            let domain = index / self.options.engines;
            let checks = engine.arguments.iter().any(|argument| argument == "--checks-fencing");
            let _ = writeln!(
                text,
                "  - {{name: {}, address: \"{}\", failure_domain: domain-{domain}, \
                 model: sample, checks_fencing: {checks}}}",
                engine.name, engine.address
            );
        }
        let heading = if self.plain_servers.is_empty() { "" } else { "plain_servers:\n" };
        text.push_str(heading);
        for (index, server) in self.plain_servers.iter().enumerate() {
            let domain = index / self.options.plain_servers;
            let _ = writeln!(
                text,
                "  - {{name: {}, service: booking, address: \"{}\", \
                 failure_domain: domain-{domain}}}",
                server.name, server.address
            );
        }
        let digest = hex_digest(ACCOUNT_KEY);
        let _ = writeln!(
            text,
            "services:\n  - {{name: assistant, kind: completion, model: sample}}\n  \
             - name: booking\n    kind: plain\n    prefix: /booking\n    unrepeatable:\n      \
             - {{method: POST, path: /reservations}}\n\
             accounts:\n  - {{name: {ACCOUNT}, key_sha256: [{digest}], \
             requests_per_second: 1000000, tokens_per_second: 1000000000}}"
        );
        text.push_str(extra);
        text
    }

    /// Records a configuration text.
    ///
    /// # Panics
    ///
    /// Panics if the platform gives no answer or refuses the call.
    pub fn put_configuration(&self, base: u64, text: &str) -> PutOutcome {
        self.try_put_configuration(base, text).expect("an answer of the platform")
    }

    /// Records a configuration text, if the platform takes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer or refuses the call.
    pub fn try_put_configuration(
        &self,
        base: u64,
        text: &str,
    ) -> Result<PutOutcome, PlatformError> {
        let edit = ConfigurationEdit {
            edit: format!("test-{base}"),
            author: "test".to_owned(),
            made_at_ms: 0,
            base,
            text: text.to_owned(),
            sequence: 0,
            difference: String::new(),
        };
        let value = serde_json::to_string(&edit).expect("an edit as JSON");
        let put = KvPut { value, expected: Some(base), lease: None };
        task::block_on(self.platform_client().put("configuration", &put))
    }

    /// Reads the revision of the recorded configuration.
    pub fn recorded_revision(&self) -> u64 {
        let record = task::block_on(self.platform_client().get("configuration"));
        record.expect("an answer of the platform").map_or(0, |record| record.revision)
    }

    /// Runs the operators' command against the platform and all daemons.
    pub fn run_ctl(&self, arguments: &[&str]) -> Output {
        let mut all = vec!["--platform", &self.platform.address, "--secret", PEER_SECRET];
        for daemon in &self.daemons {
            all.extend(["--daemon", &daemon.control_address]);
        }
        all.extend(arguments);
        process::run("gooseberryctl", &all)
    }

    /// Asks all daemons for their state; those that don't answer are left out.
    pub fn statuses(&self) -> Vec<DaemonStatus> {
        let output = self.run_ctl(&["--json", "status"]);
        let answers: Vec<serde_json::Value> =
            serde_json::from_slice(&output.stdout).expect("a list of answers");
        answers.into_iter().filter_map(|answer| serde_json::from_value(answer).ok()).collect()
    }

    /// Makes a client of the stand-in platform.
    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(HttpClient::new(Clock::system()), &self.platform.address, None)
    }

    /// Sets the platform's list of VMs.
    pub fn set_vms(&self, vms: &[VmEntry]) {
        let call = TestCall::new(Method::Put, &self.platform.control_address, "/vms").json(&vms);
        assert_eq!(call.send().expect("an answer of the control port").status, 200);
    }

    /// Waits until every daemon answers a completion and a plain call.
    pub fn wait_until_ready(&mut self) {
        for daemon in &mut self.daemons {
            process::wait_until("the daemon serves", || {
                let runs = daemon.process.is_running();
                assert!(runs, "{} ended: {}", daemon.name, daemon.process.log());
                serves(&completion_call(&daemon.address, "ready", 1))
                    && (self.plain_servers.is_empty()
                        || serves(&TestCall::new(Method::Get, &daemon.address, "/booking/ready")))
            });
        }
    }
}

fn serves(call: &TestCall) -> bool {
    let call = call.clone().account_key(ACCOUNT_KEY);
    call.send().is_ok_and(|answer| answer.status == 200)
}

/// Makes a call for a whole completion.
pub fn completion_call(address: &str, prompt: &str, tokens: u32) -> TestCall {
    let body = serde_json::json!({
        "model": "assistant", "prompt": prompt, "max_tokens": tokens,
    });
    TestCall::new(Method::Post, address, "/v1/completions").account_key(ACCOUNT_KEY).json(&body)
}

/// Makes a call for a streamed completion.
pub fn stream_call(address: &str, prompt: &str, tokens: u32) -> TestCall {
    let body = serde_json::json!({
        "model": "assistant", "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    TestCall::new(Method::Post, address, "/v1/completions").account_key(ACCOUNT_KEY).json(&body)
}

/// Returns the value of the request-deadline header for a deadline ahead.
pub fn deadline_in(span: Duration) -> String {
    (Clock::system().now() + span).as_millis().to_string()
}

/// Reads the last load report of an engine, which lags.
pub fn engine_load(engine: &TestServer) -> LoadReport {
    let call = TestCall::new(Method::Get, &engine.address, "/load");
    call.send().expect("an answer of the engine").json()
}

/// Makes a call that reserves something, which runs at most once.
pub fn reservation_call(address: &str, key: &str) -> TestCall {
    TestCall::new(Method::Post, address, "/booking/reservations")
        .account_key(ACCOUNT_KEY)
        .header("idempotency-key", key)
        .body("one drill")
}

/// Returns faults of a plain stand-in without any fault.
pub fn no_plain_faults() -> PlainFaults {
    PlainFaults::default()
}

/// Returns faults of an engine stand-in without any fault.
pub fn no_engine_faults() -> EngineFaults {
    serde_json::from_str("{}").expect("all faults have defaults")
}

/// Returns faults of the platform stand-in without any fault.
pub fn no_platform_faults() -> PlatformFaults {
    serde_json::from_str("{}").expect("all faults have defaults")
}

/// Reads how often each key has run, over all plain servers.
pub fn execution_count(system: &TestSystem, key: &str) -> u32 {
    system
        .plain_servers
        .iter()
        .map(|server| server.counts::<PlainCounts>().executions.get(key).copied().unwrap_or(0))
        .sum()
}

/// Reads the platform's counts of calls.
pub fn platform_counts(system: &TestSystem) -> PlatformCounts {
    system.platform.counts()
}

fn hex_digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn start_server(
    folder: &TempDir,
    name: &str,
    program: &'static str,
    arguments: &[String],
) -> TestServer {
    let (address, control) = (process::unused_address(), process::unused_address());
    let mut all =
        vec!["--listen".to_owned(), address.clone(), "--control".to_owned(), control.clone()];
    all.extend(arguments.iter().cloned());
    let process = TestProcess::start(folder.path(), name, program, &all);
    let server = TestServer {
        name: name.to_owned(),
        address,
        control_address: control,
        process,
        program,
        arguments: all,
    };
    process::wait_until("the stand-in listens", || {
        std::net::TcpStream::connect(&server.address).is_ok()
            && std::net::TcpStream::connect(&server.control_address).is_ok()
    });
    server
}
