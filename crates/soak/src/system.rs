//! The processes and stand-ins of a soak, and the injection of faults into them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs,
    ops::Range,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use gooseberry_harness::{
    process::{self, TestProcess},
    proxy::{ProxyState, TestProxy},
};
use gooseberry_standins::gateway_mocks::{self, StandinStore, StoreBehaviour, StoreCopy};
use parking_lot::Mutex;

use crate::{
    callers::{self, DaemonAddresses},
    history::{FaultInterval, FaultScope, SoakHistory},
    plan::{LimitPlan, LinkPlan, PlannedFault, SoakFault, ENGINE_COUNT, SERVERS_PER_PLAIN_SERVICE},
    servers::{self, ServerBehaviour, SoakServer, CRASH_DURATION},
    SoakOptions,
};

/// Program of the daemons.
const PROGRAM: &str = "gooseberryd";
/// Response time of a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(700);
/// Delay that a proxy adds to each chunk of bytes, in both directions.
const PROXY_DELAY: Duration = Duration::from_millis(120);
/// Time between setting a server's entry to draining and its replacement.
const DRAIN_DURATION: Duration = Duration::from_millis(4500);
/// Time for which the store is away before it comes back from a copy.
const DRILL_DURATION: Duration = Duration::from_millis(400);
/// Time after which the entry of a server that doesn't write it is removed.
const ENTRY_TTL: Duration = Duration::from_millis(3600);
/// Time from SIGTERM to SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time without faults at the end; longer than `RECOVERY_LIMIT` of the checks.
const FAULT_FREE_DURATION: Duration = Duration::from_secs(8);
/// Time between two checks for due actions and ended daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct SoakDaemon {
    name: String,
    address: DaemonAddresses,
    settings: PathBuf,
    store_proxy: TestProxy,
    process: TestProcess,
    is_paused: bool,
}

/// An action on the system that is due at a time.
enum DueAction {
    Begin(PlannedFault),
    End(PlannedFault),
    /// Replaces a draining server.
    Replace(usize),
    /// Lets a server name its limit.
    NameLimit(LimitPlan),
    CutLinks(LinkPlan),
    RestoreLinks(LinkPlan),
}

/// The processes and stand-ins of a soak.
pub struct SoakSystem {
    pub history: Arc<Mutex<SoakHistory>>,
    store: StandinStore,
    daemons: Vec<SoakDaemon>,
    servers: Vec<SoakServer>,
    folder: PathBuf,
    version: u64,
    /// Copies of the store that it is to come back from, with the times at which they were planned.
    copies: Vec<(Duration, StoreCopy)>,
    /// State in the present entry of each server, or none if the entry was removed.
    entry_states: Vec<Option<&'static str>>,
    /// Entries of servers that no longer write them, and when these expire.
    expiring: Vec<(Instant, String)>,
    /// Number of replaced servers, which gives new servers unique ids.
    starts: usize,
    exits: Vec<String>,
}

impl SoakSystem {
    /// Starts the store, the servers and the daemons, and waits until all daemons are ready.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started or doesn't become ready.
    pub fn start(options: SoakOptions, folder: &Path) -> Self {
        let shared_history = Arc::new(Mutex::new(SoakHistory::default()));
        let store = StandinStore::start();
        let kinds = (0..ENGINE_COUNT)
            .map(|number| ("model", if number % 2 == 0 { "prefill" } else { "decode" }))
            .chain((0..2 * SERVERS_PER_PLAIN_SERVICE).map(|number| {
                (if number < SERVERS_PER_PLAIN_SERVICE { "plain" } else { "other" }, "")
            }));
        let servers: Vec<SoakServer> = kinds
            .enumerate()
            .map(|(number, (service, stage))| {
                SoakServer::start(&format!("s{number}-0"), service, stage, &shared_history)
            })
            .collect();
        let mut system = Self {
            history: shared_history,
            daemons: Vec::new(),
            servers,
            folder: folder.to_owned(),
            version: 0,
            copies: Vec::new(),
            entry_states: Vec::new(),
            expiring: Vec::new(),
            starts: 0,
            exits: Vec::new(),
            store,
        };
        system.entry_states = vec![None; system.servers.len()];
        system.store.state_era(1);
        for server in 0..system.servers.len() {
            system.register(server, "ready");
        }
        system.put_configuration("plain");
        system.daemons = (0..options.daemons).map(|number| system.start_daemon(number)).collect();
        for daemon in &system.daemons {
            let ready = daemon.address.readiness;
            process::wait_until("all daemons are ready", || callers::is_ready(ready));
        }
        system
    }

    /// Returns the addresses of all daemons.
    pub fn addresses(&self) -> Vec<DaemonAddresses> {
        self.daemons.iter().map(|daemon| daemon.address).collect()
    }

    /// Begins and ends faults at their times.
    pub fn inject_faults(
        &mut self,
        faults: &[PlannedFault],
        limit: Option<LimitPlan>,
        links: Option<LinkPlan>,
    ) {
        let began = Instant::now();
        let mut due: BTreeMap<(Duration, usize), DueAction> = BTreeMap::new();
        for (number, fault) in faults.iter().enumerate() {
            due.insert((fault.at, 3 * number), DueAction::Begin(*fault));
            due.insert((fault.at + fault.length, 3 * number + 1), DueAction::End(*fault));
            if let SoakFault::DrainServer(server) = fault.fault {
                due.insert((fault.at + DRAIN_DURATION, 3 * number + 2), DueAction::Replace(server));
            }
        }
        if let Some(limit) = limit {
            due.insert((limit.from, 3 * faults.len()), DueAction::NameLimit(limit));
        }
        if let Some(links) = links {
            let (at, end) = (links.at, links.at + links.length);
            due.insert((at, 3 * faults.len() + 1), DueAction::CutLinks(links.clone()));
            due.insert((end, 3 * faults.len() + 2), DueAction::RestoreLinks(links));
        }
        // Indexes of the recorded intervals of each fault that has begun.
        let mut intervals: HashMap<usize, Range<usize>> = HashMap::new();
        for ((at, order), action) in due {
            while began.elapsed() < at {
                self.poll();
                thread::sleep(POLL_INTERVAL);
            }
            match action {
                DueAction::Begin(fault) => {
                    let first = self.history.lock().fault_intervals.len();
                    self.begin(fault);
                    let end = self.history.lock().fault_intervals.len();
                    intervals.insert(order / 3, first..end);
                }
                DueAction::End(fault) => {
                    self.end(fault);
                    let recorded = intervals.remove(&(order / 3)).unwrap_or_default();
                    self.history.lock().extend_intervals(recorded, Instant::now());
                }
                DueAction::Replace(server) => self.replace(server),
                DueAction::CutLinks(links) => {
                    for daemon in &links.daemons {
                        self.record_fault(FaultScope::DaemonLinks(*daemon), links.length);
                    }
                    self.set_links(&links.daemons, Some(links.state));
                }
                DueAction::RestoreLinks(links) => {
                    self.set_links(&links.daemons, None);
                }
                DueAction::NameLimit(LimitPlan { server, per_second, .. }) => {
                    self.servers[server].notices.lock().limit = Some(per_second);
                }
            }
        }
    }

    /// Removes all faults and keeps the system running for the fault-free time at the end.
    pub fn clear_faults(&mut self) {
        self.store.set_behaviour(StoreBehaviour::Normal);
        for server in &self.servers {
            if server.crashed_at.lock().is_none() {
                server.links.set_server(ProxyState::Forwarding);
            }
            *server.behaviour.lock() = ServerBehaviour::Normal;
        }
        for daemon in 0..self.daemons.len() {
            self.daemons[daemon].store_proxy.set_state(ProxyState::Forwarding);
            self.resume(daemon);
        }
        let began = Instant::now();
        self.history.lock().faults_cleared_at = Some(began);
        while began.elapsed() < FAULT_FREE_DURATION {
            self.poll();
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn poll(&mut self) {
        self.restart_ended_daemons();
        self.restart_crashed_servers();
        let now = Instant::now();
        for (_, id) in self.expiring.extract_if(.., |(at, _)| *at <= now) {
            self.store.remove_server(&id);
        }
    }

    /// Stops all daemons and returns a message for each unexpected exit of the whole soak.
    pub fn stop(&mut self) -> Vec<String> {
        for daemon in &self.daemons {
            daemon.process.terminate();
        }
        for daemon in &mut self.daemons {
            let status = daemon.process.wait();
            if !status.success() {
                self.exits.push(format!("{} ended with {status} after SIGTERM", daemon.name));
            }
        }
        std::mem::take(&mut self.exits)
    }

    fn start_daemon(&self, number: usize) -> SoakDaemon {
        let name = format!("daemon-{number}");
        let [listen, ready, metrics, peers] = [(); 4].map(|()| process::unused_address());
        let store_view = self.store.start_view();
        for server in &self.servers {
            store_view.redirect(&server.links.address, &server.links.add(number));
        }
        let store_proxy = TestProxy::start(&store_view.address.to_string());
        let settings = self.folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\nfailure_domain: a\nregions: {{a: one}}\nlisten: {listen}\n\
             ready_listen: {ready}\nmetrics_listen: {metrics}\npeer_listen: {peers}\n\
             store: {}\ngrace_s: {}\n",
            store_proxy.address,
            GRACE_PERIOD.as_secs()
        );
        fs::write(&settings, text).expect("the settings file can be written");
        let address = DaemonAddresses {
            requests: listen.parse().expect("an unused address is valid"),
            readiness: ready.parse().expect("an unused address is valid"),
        };
        let process = start_process(&self.folder, &name, &settings);
        SoakDaemon { name, address, settings, store_proxy, process, is_paused: false }
    }

    /// Restarts daemons that have ended, as the platform does.
    fn restart_ended_daemons(&mut self) {
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            if daemon.process.is_running() {
                continue;
            }
            let status = daemon.process.wait();
            if !status.success() {
                self.exits.push(format!("{} ended unexpectedly with {status}", daemon.name));
            }
            self.restart(number);
        }
    }

    /// Starts crashed servers again under new ids after [`CRASH_DURATION`].
    fn restart_crashed_servers(&mut self) {
        for server in 0..self.servers.len() {
            let crashed_at = *self.servers[server].crashed_at.lock();
            if crashed_at.is_some_and(|at| at.elapsed() >= CRASH_DURATION) {
                self.servers[server].links.set_server(ProxyState::Forwarding);
                *self.servers[server].crashed_at.lock() = None;
                self.replace(server);
            }
        }
    }

    fn restart(&mut self, number: usize) {
        self.record_fault(FaultScope::DaemonRestart(number), Duration::ZERO);
        let daemon = &mut self.daemons[number];
        daemon.process = start_process(&self.folder, &daemon.name, &daemon.settings);
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

    fn record_fault(&self, scope: FaultScope, length: Duration) {
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
                self.record_fault(FaultScope::Daemon(daemon), Duration::ZERO);
                self.kill(daemon);
            }
            SoakFault::KillAll => {
                for daemon in 0..self.daemons.len() {
                    self.record_fault(FaultScope::Daemon(daemon), Duration::ZERO);
                    self.daemons[daemon].process.kill();
                }
                // None starts before all have ended, as it could learn from those that still run.
                (0..self.daemons.len()).for_each(|daemon| self.restart(daemon));
            }
            SoakFault::PauseDaemon(daemon) => {
                self.record_fault(FaultScope::Daemon(daemon), length);
                if self.daemons[daemon].process.is_running() {
                    self.daemons[daemon].process.pause();
                    self.daemons[daemon].is_paused = true;
                }
            }
            SoakFault::StopDaemon(daemon) => {
                self.record_fault(FaultScope::DaemonRestart(daemon), Duration::ZERO);
                if self.daemons[daemon].process.is_running() {
                    self.daemons[daemon].process.terminate();
                }
            }
            SoakFault::ReloadDaemon(daemon) => self.reload(daemon),
            SoakFault::CutStore(daemon) => self.block_store(daemon, ProxyState::Closed, length),
            SoakFault::FreezeStore(daemon) => self.block_store(daemon, ProxyState::Stalled, length),
            SoakFault::StoreRefuses => self.set_store(StoreBehaviour::Unavailable, length),
            SoakFault::StoreLosesAnswers => {
                self.set_store(StoreBehaviour::DroppingResponses, length)
            }
            SoakFault::StoreSlow => self.set_store(StoreBehaviour::Slow(SLOW_STORE_DELAY), length),
            SoakFault::RestoreStore => self.copies.push((planned.at, self.store.copy())),
            SoakFault::StoreForgetsHistory => self.store.compact(),
            SoakFault::CutServer(server) => self.set_proxy(server, ProxyState::Closed, length),
            SoakFault::FreezeServer(server) => self.set_proxy(server, ProxyState::Stalled, length),
            SoakFault::DeafServer(server) => {
                self.set_proxy(server, ProxyState::ResponsesStalled, length)
            }
            SoakFault::DelayServer(server) => {
                self.set_proxy(server, ProxyState::Delayed(PROXY_DELAY), length);
            }
            SoakFault::FullServer(server) => {
                *self.servers[server].behaviour.lock() = if length.as_millis().is_multiple_of(2) {
                    ServerBehaviour::AskingForQuiet
                } else {
                    ServerBehaviour::Rejecting
                };
            }
            SoakFault::LoseAnswers(server) => {
                self.record_fault(FaultScope::Servers, length);
                *self.servers[server].behaviour.lock() = ServerBehaviour::DroppingResponses;
            }
            SoakFault::CutStreams(server) => {
                self.record_fault(FaultScope::Servers, length);
                *self.servers[server].behaviour.lock() = ServerBehaviour::CuttingStreams;
            }
            SoakFault::DrainServer(server) => {
                self.servers[server].notices.lock().is_leaving = true;
                self.register(server, "draining");
                let id = self.servers[server].id.clone();
                self.history.lock().draining_since.entry(id).or_insert_with(Instant::now);
            }
            SoakFault::LeaveSilently(server) => {
                let id = self.servers[server].id.clone();
                self.store.remove_server(&id);
                self.entry_states[server] = None;
                self.history.lock().removed_at.entry(id).or_insert_with(Instant::now);
            }
            SoakFault::MoveRoute => self.move_route(),
        }
    }

    fn end(&mut self, planned: PlannedFault) {
        match planned.fault {
            SoakFault::PauseDaemon(daemon) => self.resume(daemon),
            SoakFault::CutStore(daemon) | SoakFault::FreezeStore(daemon) => {
                self.daemons[daemon].store_proxy.set_state(ProxyState::Forwarding);
            }
            SoakFault::StoreRefuses | SoakFault::StoreLosesAnswers | SoakFault::StoreSlow => {
                self.store.set_behaviour(StoreBehaviour::Normal);
            }
            SoakFault::CutServer(server)
            | SoakFault::FreezeServer(server)
            | SoakFault::DeafServer(server)
            | SoakFault::DelayServer(server) => {
                self.servers[server].links.set_server(ProxyState::Forwarding)
            }
            SoakFault::FullServer(server)
            | SoakFault::LoseAnswers(server)
            | SoakFault::CutStreams(server) => {
                *self.servers[server].behaviour.lock() = ServerBehaviour::Normal;
            }
            SoakFault::LeaveSilently(server) => self.replace(server),
            SoakFault::RestoreStore => self.restore_store(planned),
            SoakFault::KillDaemon(_)
            | SoakFault::KillAll
            | SoakFault::StopDaemon(_)
            | SoakFault::ReloadDaemon(_)
            | SoakFault::StoreForgetsHistory
            | SoakFault::DrainServer(_)
            | SoakFault::MoveRoute => {}
        }
    }

    /// Brings the store back from the copy that was taken at the beginning of a fault. The operator and
    /// the servers write what they had written, and the entries of all others expire. After half of the
    /// returns the operator also moves a route.
    fn restore_store(&mut self, planned: PlannedFault) {
        let taken = self.copies.iter().position(|(at, _)| *at == planned.at);
        let (_, copy) = self.copies.remove(taken.expect("the fault has begun"));
        self.set_store(StoreBehaviour::Unavailable, DRILL_DURATION);
        thread::sleep(DRILL_DURATION);
        self.store.restore(&copy);
        self.store.set_behaviour(StoreBehaviour::Normal);
        if planned.length.as_millis().is_multiple_of(2) {
            self.move_route();
        } else {
            let service = self.history.lock().route_changes.last().map(|(_, service)| *service);
            let service = service.expect("a configuration was written");
            self.store.put_configuration(&gateway_mocks::configuration(self.version, service));
        }
        for server in 0..self.servers.len() {
            if let Some(state) = self.entry_states[server] {
                self.register(server, state);
            }
        }
        let written = self.servers.iter().zip(&self.entry_states);
        let written = written.filter(|(_, state)| state.is_some()).map(|(server, _)| &server.id);
        let written: HashSet<&String> = written.collect();
        let expire_at = Instant::now() + ENTRY_TTL;
        for id in self.store.server_ids().into_iter().filter(|id| !written.contains(id)) {
            self.expiring.push((expire_at, id));
        }
    }

    fn set_links(&self, daemons: &[usize], cut: Option<ProxyState>) {
        for server in &self.servers {
            daemons.iter().for_each(|daemon| server.links.set_cut(*daemon, cut));
        }
    }

    fn block_store(&mut self, daemon: usize, state: ProxyState, length: Duration) {
        self.record_fault(FaultScope::StoreConnection(daemon), length);
        self.daemons[daemon].store_proxy.set_state(state);
    }

    fn set_store(&mut self, behaviour: StoreBehaviour, length: Duration) {
        self.record_fault(FaultScope::Store, length);
        self.store.set_behaviour(behaviour);
    }

    fn set_proxy(&mut self, server: usize, state: ProxyState, length: Duration) {
        self.record_fault(FaultScope::Servers, length);
        self.record_fault(FaultScope::ServerConnection(server), length);
        self.servers[server].links.set_server(state);
    }

    fn reload(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        let text = fs::read_to_string(&daemon.settings).expect("the settings file can be read");
        let remaining: String = text
            .lines()
            .filter(|line| !line.starts_with("retry_slack"))
            .collect::<Vec<_>>()
            .join("\n");
        fs::write(&daemon.settings, format!("{remaining}\nretry_slack: 40\n"))
            .expect("the settings file can be written");
        if daemon.process.is_running() {
            daemon.process.reload();
        }
    }

    /// Removes the entry of a draining server and registers the server under a new id.
    fn replace(&mut self, server: usize) {
        self.store.remove_server(&self.servers[server].id);
        self.starts += 1;
        let id = format!("s{server}-{}", self.starts);
        self.servers[server].set_id(id);
        self.register(server, "ready");
    }

    fn register(&mut self, server: usize, state: &'static str) {
        self.entry_states[server] = Some(state);
        let server = &self.servers[server];
        let mut entry =
            gateway_mocks::server_entry(server.service, &server.links.address, server.stage, state);
        entry["version"] = servers::software(&server.id).into();
        entry["born"] = servers::start_number(&server.id).into();
        self.store.put_server(&server.id, &entry);
    }

    fn move_route(&mut self) {
        let service = if self.version % 2 == 1 { "other" } else { "plain" };
        self.put_configuration(service);
    }

    /// Records a configuration that routes plain calls to a service.
    fn put_configuration(&mut self, plain_service: &'static str) {
        self.version += 1;
        self.store.put_configuration(&gateway_mocks::configuration(self.version, plain_service));
        self.history.lock().route_changes.push((Instant::now(), plain_service));
    }
}

fn start_process(folder: &Path, name: &str, settings: &Path) -> TestProcess {
    let settings = settings.display().to_string();
    let arguments = ["--gateway", "--settings", &settings].map(str::to_owned);
    TestProcess::start(folder, name, PROGRAM, &arguments)
}
