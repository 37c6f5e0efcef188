//! A small system of a platform, engines, plain servers and daemons.

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

/// Key of the account [`ACCOUNT`].
pub const ACCOUNT_KEY: &str = "test-key";
/// Name of the account that tests use.
pub const ACCOUNT: &str = "tester";
/// Secret that the daemons share.
pub const PEER_SECRET: &str = "test-secret";

/// A running program with its addresses. The control address of a daemon is its
/// peer address.
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
    /// Sets the faults that a stand-in injects.
    pub fn set_faults(&self, faults: &impl Serialize) {
        let call = TestCall::new(Method::Put, &self.control_address, "/faults").json(faults);
        assert_eq!(call.send().expect("a response of the control port").status, 200);
    }

    /// Reads the counts of a stand-in.
    pub fn counts<T: serde::de::DeserializeOwned>(&self) -> T {
        let call = TestCall::new(Method::Get, &self.control_address, "/counts");
        call.send().expect("a response of the control port").json()
    }
}

/// Defines the size and the settings of a system.
#[derive(Clone, Debug)]
pub struct SystemOptions {
    /// Daemons in each failure domain.
    pub daemons: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Plain servers in each failure domain.
    pub plain_servers: usize,
    pub domains: usize,
    /// Additional arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Additional lines of each daemon's settings.
    pub daemon_settings: String,
    /// Whether daemons connect to the platform and to other domains through
    /// proxies that inject faults.
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

/// A running system, whose processes are killed when it is dropped.
pub struct TestSystem {
    pub folder: TempDir,
    pub platform: TestServer,
    pub engines: Vec<TestServer>,
    pub plain_servers: Vec<TestServer>,
    pub daemons: Vec<TestServer>,
    /// Proxies between the daemons of different domains.
    pub domain_proxies: Vec<TestProxy>,
    /// Proxy to the platform for each domain.
    pub platform_proxies: Vec<TestProxy>,
    pub options: SystemOptions,
}

impl TestSystem {
    /// Starts a system and waits until every daemon serves the sample services.
    pub fn start(options: SystemOptions) -> Self {
        let mut system = Self::start_without_configuration(options);
        let text = system.configuration_text("");
        assert!(matches!(system.put_configuration(0, &text), PutOutcome::Written(_)));
        system.wait_until_ready();
        system
    }

    /// Starts a system whose platform has no configuration record yet.
    pub fn start_without_configuration(options: SystemOptions) -> Self {
        let folder = TempDir::new().expect("a temporary folder");
        let platform = start_server(&folder, "platform", "standin-platform", &[]);
        let mut engines = Vec::new();
        let mut plain_servers = Vec::new();
        for domain in 0..options.domains {
            for index in 0..options.engines {
                let name = format!("engine-{domain}-{index}");
                let mut arguments = vec!["--name".to_owned(), name.clone()];
                arguments.extend(options.engine_arguments.iter().cloned());
                engines.push(start_server(&folder, &name, "standin-engine", &arguments));
            }
            for index in 0..options.plain_servers {
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
            options,
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
                    let proxy = TestProxy::start(peer);
                    peers.push(proxy.address.clone());
                    self.domain_proxies.push(proxy);
                } else if other != index {
                    peers.push(peer.clone());
                }
            }
            let platform = self.platform_proxies.get(domain);
            let platform = platform.map_or(&self.platform.address, |proxy| &proxy.address);
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

    /// Starts a program again that has exited, with the same arguments.
    pub fn restart(folder: &TempDir, server: &mut TestServer) {
        server.process =
            TestProcess::start(folder.path(), &server.name, server.program, &server.arguments);
    }

    /// Builds the configuration text of this system, with `extra` appended.
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
    /// Panics if the platform doesn't respond or refuses the call.
    pub fn put_configuration(&self, base: u64, text: &str) -> PutOutcome {
        self.try_put_configuration(base, text).expect("a response of the platform")
    }

    /// Records a configuration text, which the platform may refuse.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't respond or refuses the call.
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
        record.expect("a response of the platform").map_or(0, |record| record.revision)
    }

    /// Runs `gooseberryctl` with the addresses of the platform and all daemons.
    pub fn run_ctl(&self, arguments: &[&str]) -> Output {
        let mut all = vec!["--platform", &self.platform.address, "--secret", PEER_SECRET];
        for daemon in &self.daemons {
            all.extend(["--daemon", &daemon.control_address]);
        }
        all.extend(arguments);
        process::run("gooseberryctl", &all)
    }

    /// Requests the status of all daemons; those that don't respond are left out.
    pub fn statuses(&self) -> Vec<DaemonStatus> {
        let output = self.run_ctl(&["--json", "status"]);
        let answers: Vec<serde_json::Value> =
            serde_json::from_slice(&output.stdout).expect("a list of responses");
        answers.into_iter().filter_map(|answer| serde_json::from_value(answer).ok()).collect()
    }

    /// Makes a client of the stand-in platform.
    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(HttpClient::new(Clock::system()), &self.platform.address, None)
    }

    /// Sets the platform's list of VMs.
    pub fn set_vms(&self, vms: &[VmEntry]) {
        let call = TestCall::new(Method::Put, &self.platform.control_address, "/vms").json(&vms);
        assert_eq!(call.send().expect("a response of the control port").status, 200);
    }

    /// Waits until every daemon serves a completion and a plain call.
    pub fn wait_until_ready(&mut self) {
        for daemon in &mut self.daemons {
            process::wait_until("the daemon serves", || {
                let runs = daemon.process.is_running();
                assert!(runs, "{} exited: {}", daemon.name, daemon.process.log());
                is_served(&completion_call(&daemon.address, "ready", 1))
                    && (self.plain_servers.is_empty()
                        || is_served(&TestCall::new(
                            Method::Get,
                            &daemon.address,
                            "/booking/ready",
                        )))
            });
        }
    }
}

fn is_served(call: &TestCall) -> bool {
    let call = call.clone().account_key(ACCOUNT_KEY);
    call.send().is_ok_and(|answer| answer.status == 200)
}

/// Makes a call for a completion that is returned as one response.
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

/// Returns the value of the request-deadline header for a deadline after
/// `timeout`.
pub fn deadline_in(timeout: Duration) -> String {
    (Clock::system().now() + timeout).as_millis().to_string()
}

/// Reads the last load report of an engine, which may be out of date.
pub fn engine_load(engine: &TestServer) -> LoadReport {
    let call = TestCall::new(Method::Get, &engine.address, "/load");
    call.send().expect("a response of the engine").json()
}

/// Makes a non-idempotent call, which is executed at most once per key.
pub fn reservation_call(address: &str, key: &str) -> TestCall {
    TestCall::new(Method::Post, address, "/booking/reservations")
        .account_key(ACCOUNT_KEY)
        .header("idempotency-key", key)
        .body("one drill")
}

/// Returns the settings of a plain stand-in that injects no faults.
pub fn no_plain_faults() -> PlainFaults {
    PlainFaults::default()
}

/// Returns the settings of an engine stand-in that injects no faults.
pub fn no_engine_faults() -> EngineFaults {
    serde_json::from_str("{}").expect("all faults have defaults")
}

/// Returns the settings of a platform stand-in that injects no faults.
pub fn no_platform_faults() -> PlatformFaults {
    serde_json::from_str("{}").expect("all faults have defaults")
}

/// Returns how often the call of a key was executed, over all plain servers.
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
    let (address, control_address) = (process::unused_address(), process::unused_address());
    let mut all = vec![
        "--listen".to_owned(),
        address.clone(),
        "--control".to_owned(),
        control_address.clone(),
    ];
    all.extend(arguments.iter().cloned());
    let process = TestProcess::start(folder.path(), name, program, &all);
    let server = TestServer {
        name: name.to_owned(),
        address,
        control_address,
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
