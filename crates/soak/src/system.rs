//! The processes and stand-ins of a soak, and what faults do to them.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use gooseberry_harness::{
    process::{self, TestProcess},
    proxy::{ProxyState, TestProxy},
};
use gooseberry_standins::gateway_mocks::{self, StandinStore, StoreBehaviour};
use parking_lot::Mutex;

use crate::{
    callers::{self, DaemonAddresses},
    history::{FaultInterval, FaultScope, SoakHistory},
    plan::{PlannedFault, SoakFault, ENGINE_COUNT, SERVERS_PER_PLAIN_SERVICE},
    servers::{ServerBehaviour, SoakServer},
    SoakOptions,
};

/// Program of the daemons.
const PROGRAM: &str = "gooseberryd";
/// Answer time of a slow store.
const SLOW_STORE: Duration = Duration::from_millis(700);
/// Delay of a slow link, for each step.
const LINK_DELAY: Duration = Duration::from_millis(120);
/// Time that a server goes on serving after it said that it leaves.
const LINGER: Duration = Duration::from_millis(4500);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// Time without faults at the end; longer than the time to recover.
const CALM: Duration = Duration::from_secs(8);
/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(10);

struct SoakDaemon {
    name: String,
    address: DaemonAddresses,
    settings: PathBuf,
    store_link: TestProxy,
    process: TestProcess,
    is_paused: bool,
}

/// Something that is due at a time.
enum DueAction {
    Begin(PlannedFault),
    End(PlannedFault),
    /// The server that left is replaced.
    Replace(usize),
}

/// All parts of a soak.
pub struct SoakSystem {
    pub history: Arc<Mutex<SoakHistory>>,
    store: StandinStore,
    daemons: Vec<SoakDaemon>,
    servers: Vec<SoakServer>,
    folder: PathBuf,
    version: u64,
    /// How many servers were started, for their ids.
    starts: usize,
    exits: Vec<String>,
}

impl SoakSystem {
    /// Starts everything and waits until all daemons are ready.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started or doesn't get ready.
    pub fn start(terms: SoakOptions, folder: &Path) -> Self {
        let ledger = Arc::new(Mutex::new(SoakHistory::default()));
        let store = StandinStore::start();
        let kinds = (0..ENGINE_COUNT)
            .map(|number| ("model", if number % 2 == 0 { "prefill" } else { "decode" }))
            .chain((0..2 * SERVERS_PER_PLAIN_SERVICE).map(|number| {
                (if number < SERVERS_PER_PLAIN_SERVICE { "plain" } else { "other" }, "")
            }));
        let servers: Vec<SoakServer> = kinds
            .enumerate()
            .map(|(number, (service, stage))| {
                SoakServer::start(&format!("s{number}-0"), service, stage, &ledger)
            })
            .collect();
        let mut system = Self {
            history: ledger,
            daemons: Vec::new(),
            servers,
            folder: folder.to_owned(),
            version: 0,
            starts: 0,
            exits: Vec::new(),
            store,
        };
        for server in 0..system.servers.len() {
            system.register(server, "ready");
        }
        system.configure("plain");
        system.daemons = (0..terms.daemons).map(|number| system.start_daemon(number)).collect();
        for daemon in &system.daemons {
            let ready = daemon.address.readiness;
            process::wait_until("all daemons are ready", || callers::is_ready(ready));
        }
        system
    }

    /// Returns where callers and the balancer find the daemons.
    pub fn addresses(&self) -> Vec<DaemonAddresses> {
        self.daemons.iter().map(|daemon| daemon.address).collect()
    }

    /// Plays faults at their times.
    pub fn inject_faults(&mut self, faults: &[PlannedFault]) {
        let began = Instant::now();
        let mut due: BTreeMap<(Duration, usize), DueAction> = BTreeMap::new();
        for (number, fault) in faults.iter().enumerate() {
            due.insert((fault.at, 3 * number), DueAction::Begin(*fault));
            due.insert((fault.at + fault.length, 3 * number + 1), DueAction::End(*fault));
            if let SoakFault::DrainServer(server) = fault.fault {
                due.insert((fault.at + LINGER, 3 * number + 2), DueAction::Replace(server));
            }
        }
        for ((at, _), action) in due {
            while began.elapsed() < at {
                self.look_after_daemons();
                thread::sleep(TICK);
            }
            match action {
                DueAction::Begin(fault) => self.begin(fault),
                DueAction::End(fault) => self.end(fault),
                DueAction::Replace(server) => self.replace(server),
            }
        }
    }

    /// Heals everything and waits while requests are served.
    pub fn clear_faults(&mut self) {
        self.store.set_behaviour(StoreBehaviour::Normal);
        for server in &self.servers {
            server.proxy.set_state(ProxyState::Forwarding);
            *server.behaviour.lock() = ServerBehaviour::Normal;
        }
        for daemon in 0..self.daemons.len() {
            self.daemons[daemon].store_link.set_state(ProxyState::Forwarding);
            self.resume(daemon);
        }
        let began = Instant::now();
        self.history.lock().faults_cleared_at = Some(began);
        while began.elapsed() < CALM {
            self.look_after_daemons();
            thread::sleep(TICK);
        }
    }

    /// Stops all daemons as planned; returns the exits that weren't as they
    /// should be.
    pub fn stop(&mut self) -> Vec<String> {
        for daemon in &self.daemons {
            daemon.process.terminate();
        }
        for daemon in &mut self.daemons {
            let status = daemon.process.wait();
            if !status.success() {
                self.exits.push(format!("{} ended with {status} at a planned stop", daemon.name));
            }
        }
        std::mem::take(&mut self.exits)
    }

    fn start_daemon(&self, number: usize) -> SoakDaemon {
        let name = format!("daemon-{number}");
        let [listen, ready, metrics, peers] = [(); 4].map(|()| process::unused_address());
        let store_link = TestProxy::start(&self.store.address.to_string());
        let settings = self.folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\nfailure_domain: a\nregions: {{a: one}}\nlisten: {listen}\n\
             ready_listen: {ready}\nmetrics_listen: {metrics}\npeer_listen: {peers}\n\
             store: {}\ngrace_s: {}\n",
            store_link.address,
            GRACE.as_secs()
        );
        fs::write(&settings, text).expect("a settings file");
        let address = DaemonAddresses {
            requests: listen.parse().expect("an address"),
            readiness: ready.parse().expect("an address"),
        };
        let process = launch(&self.folder, &name, &settings);
        SoakDaemon { name, address, settings, store_link, process, is_paused: false }
    }

    /// Starts daemons again that have ended, as the platform does.
    fn look_after_daemons(&mut self) {
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            if daemon.process.is_running() {
                continue;
            }
            let status = daemon.process.wait();
            if !status.success() {
                self.exits.push(format!("{} ended by itself with {status}", daemon.name));
            }
            self.restart(number);
        }
    }

    fn restart(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.process = launch(&self.folder, &daemon.name, &daemon.settings);
        daemon.is_paused = false;
    }

    fn kill(&mut self, number: usize) {
        self.daemons[number].process.kill();
        self.restart(number);
    }

    fn resume(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        if std::mem::take(&mut daemon.is_paused) && daemon.process.is_running() {
            daemon.process.resume();
        }
    }

    fn note(&self, scope: FaultScope, length: Duration) {
        let from = Instant::now();
        self.history.lock().fault_intervals.push(FaultInterval {
            scope,
            from,
            until: from + length,
        });
    }

    fn begin(&mut self, planned: PlannedFault) {
        let length = planned.length;
        match planned.fault {
            SoakFault::KillDaemon(daemon) => {
                self.note(FaultScope::Daemon(daemon), Duration::ZERO);
                self.kill(daemon);
            }
            SoakFault::KillAll => {
                for daemon in 0..self.daemons.len() {
                    self.note(FaultScope::Daemon(daemon), Duration::ZERO);
                    self.kill(daemon);
                }
            }
            SoakFault::PauseDaemon(daemon) => {
                self.note(FaultScope::Daemon(daemon), length);
                if self.daemons[daemon].process.is_running() {
                    self.daemons[daemon].process.pause();
                    self.daemons[daemon].is_paused = true;
                }
            }
            SoakFault::StopDaemon(daemon) => {
                if self.daemons[daemon].process.is_running() {
                    self.daemons[daemon].process.terminate();
                }
            }
            SoakFault::ReloadDaemon(daemon) => self.reload(daemon),
            SoakFault::CutStore(daemon) => self.cut_store(daemon, ProxyState::Closed, length),
            SoakFault::FreezeStore(daemon) => self.cut_store(daemon, ProxyState::Stalled, length),
            SoakFault::StoreRefuses => self.set_store(StoreBehaviour::Unavailable, length),
            SoakFault::StoreLosesAnswers => {
                self.set_store(StoreBehaviour::DroppingResponses, length)
            }
            SoakFault::StoreSlow => self.set_store(StoreBehaviour::Slow(SLOW_STORE), length),
            SoakFault::StoreForgetsHistory => self.store.compact(),
            SoakFault::CutServer(server) => self.set_link(server, ProxyState::Closed, length),
            SoakFault::FreezeServer(server) => self.set_link(server, ProxyState::Stalled, length),
            SoakFault::DeafServer(server) => {
                self.set_link(server, ProxyState::ResponsesStalled, length)
            }
            SoakFault::DelayServer(server) => {
                self.set_link(server, ProxyState::Delayed(LINK_DELAY), length);
            }
            SoakFault::FullServer(server) => {
                *self.servers[server].behaviour.lock() = ServerBehaviour::Rejecting
            }
            SoakFault::LoseAnswers(server) => {
                self.note(FaultScope::Servers, length);
                *self.servers[server].behaviour.lock() = ServerBehaviour::DroppingResponses;
            }
            SoakFault::DrainServer(server) => {
                self.register(server, "draining");
                let id = self.servers[server].id.clone();
                self.history.lock().draining_since.entry(id).or_insert_with(Instant::now);
            }
            SoakFault::MoveRoute => {
                let service = if self.version % 2 == 1 { "other" } else { "plain" };
                self.configure(service);
            }
        }
    }

    fn end(&mut self, planned: PlannedFault) {
        match planned.fault {
            SoakFault::PauseDaemon(daemon) => self.resume(daemon),
            SoakFault::CutStore(daemon) | SoakFault::FreezeStore(daemon) => {
                self.daemons[daemon].store_link.set_state(ProxyState::Forwarding);
            }
            SoakFault::StoreRefuses | SoakFault::StoreLosesAnswers | SoakFault::StoreSlow => {
                self.store.set_behaviour(StoreBehaviour::Normal);
            }
            SoakFault::CutServer(server)
            | SoakFault::FreezeServer(server)
            | SoakFault::DeafServer(server)
            | SoakFault::DelayServer(server) => {
                self.servers[server].proxy.set_state(ProxyState::Forwarding)
            }
            SoakFault::FullServer(server) | SoakFault::LoseAnswers(server) => {
                *self.servers[server].behaviour.lock() = ServerBehaviour::Normal;
            }
            SoakFault::KillDaemon(_)
            | SoakFault::KillAll
            | SoakFault::StopDaemon(_)
            | SoakFault::ReloadDaemon(_)
            | SoakFault::StoreForgetsHistory
            | SoakFault::DrainServer(_)
            | SoakFault::MoveRoute => {}
        }
    }

    fn cut_store(&mut self, daemon: usize, state: ProxyState, length: Duration) {
        self.note(FaultScope::StoreConnection(daemon), length);
        self.daemons[daemon].store_link.set_state(state);
    }

    fn set_store(&mut self, mood: StoreBehaviour, length: Duration) {
        self.note(FaultScope::Store, length);
        self.store.set_behaviour(mood);
    }

    fn set_link(&mut self, server: usize, state: ProxyState, length: Duration) {
        self.note(FaultScope::Servers, length);
        self.servers[server].proxy.set_state(state);
    }

    fn reload(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        let text = fs::read_to_string(&daemon.settings).expect("the settings");
        let kept: String = text
            .lines()
            .filter(|line| !line.starts_with("retry_slack"))
            .collect::<Vec<_>>()
            .join("\n");
        fs::write(&daemon.settings, format!("{kept}\nretry_slack: 40\n")).expect("the settings");
        if daemon.process.is_running() {
            daemon.process.reload();
        }
    }

    /// Ends a server that left and starts it under a new id.
    fn replace(&mut self, server: usize) {
        self.store.remove_server(&self.servers[server].id);
        self.starts += 1;
        let id = format!("s{server}-{}", self.starts);
        self.servers[server].set_id(id);
        self.register(server, "ready");
    }

    fn register(&self, server: usize, state: &str) {
        let server = &self.servers[server];
        let entry =
            gateway_mocks::server_entry(server.service, &server.proxy.address, server.stage, state);
        self.store.put_server(&server.id, &entry);
    }

    fn configure(&mut self, plain_service: &'static str) {
        self.version += 1;
        self.store.put_configuration(&gateway_mocks::configuration(self.version, plain_service));
        self.history.lock().route_changes.push((Instant::now(), plain_service));
    }
}

fn launch(folder: &Path, name: &str, settings: &Path) -> TestProcess {
    let settings = settings.display().to_string();
    let arguments = ["--gateway", "--settings", &settings].map(str::to_owned);
    TestProcess::start(folder, name, PROGRAM, &arguments)
}
