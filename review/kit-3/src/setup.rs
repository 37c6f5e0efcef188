//! The small deployment of the cases: daemons in three zones, nine engines and the store.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::Duration,
};

use parking_lot::Mutex;
use serde_json::{json, Value};

use crate::{
    engine::{Engine, EnginePlan, StoreLink},
    process::{self, Daemon, DaemonPlan, ZONES},
    proxy::ProxyState,
    record::Record,
    store::StandinStore,
};

/// Arguments of a case: the program, the folder of the case, a temporary folder, and whether the
/// disruption happens.
pub struct CaseArguments {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub work: PathBuf,
    pub has_trouble: bool,
}

impl CaseArguments {
    /// Reads the arguments: `PROGRAM FOLDER WORK`; `TROUBLE=0` leaves the disruption out.
    pub fn read() -> Self {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let mut next = || arguments.next().expect("arguments: PROGRAM FOLDER WORK");
        process::limit_case();
        Self {
            program: next(),
            folder: next(),
            work: next(),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }
}

/// Time between the starts of two engines: a ninth of the time between two heartbeats.
const HEARTBEAT_STEP: Duration = Duration::from_millis(133);

/// The deployment.
pub struct Deployment {
    pub store: StandinStore,
    pub link: StoreLink,
    pub engines: Vec<Engine>,
    pub daemons: Vec<Daemon>,
    pub record: Record,
}

/// Returns the configuration, with one route for streams that may be resumed.
pub fn configuration(version: u64, slots: usize) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "loan-history-chat", "host": "lan.example", "path-prefix": "/chat/",
            "route-kind": "streaming", "timeout-ms": 4000, "slo-ms": 600, "gap-target-ms": 200,
            "priority": 1, "service": "lan-adstod", "attempts": 2, "sticky": true,
            "resumable": true,
        }],
        "services": [{"name": "lan-adstod", "health-path": "/healthz", "max-conns": 360,
            "engine": {"slots": slots, "kv-capacity": 472_920, "kv-bytes": 163_840.0,
                "link-mbps": 1_600_000.0, "kv-hold-s": 5.0, "switch-s": 3.0}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

impl Deployment {
    /// Starts the store, three engines in each zone, of which one decodes, and the daemons.
    pub fn start(
        arguments: &CaseArguments,
        record: &Record,
        daemons: usize,
        slots: usize,
        events: usize,
        event_gap: Duration,
    ) -> Option<Self> {
        Self::start_with(arguments, record, daemons, slots, events, event_gap, 260)
    }

    /// Starts the same with another memory of the machines.
    pub fn start_with(
        arguments: &CaseArguments,
        record: &Record,
        daemons: usize,
        slots: usize,
        events: usize,
        event_gap: Duration,
        memory_mb: u64,
    ) -> Option<Self> {
        let store = StandinStore::start();
        store.state_era(1);
        store.put_configuration(&configuration(3, slots));
        let link = StoreLink { store: store.clone(), is_away: Arc::new(Mutex::new(false)) };
        let mut engines = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            for place in 0..3 {
                let plan = EnginePlan {
                    id: format!("i-{number}{place}"),
                    zone: (*zone).to_owned(),
                    stage: if place == 0 { "decode" } else { "prefill" }.to_owned(),
                    software: "v1".to_owned(),
                    slots,
                    events,
                    event_gap,
                };
                engines.push(Engine::start(plan, link.clone(), record.clone()));
                // The heartbeats of servers aren't in step.
                thread::sleep(HEARTBEAT_STEP);
            }
        }
        let daemons: Vec<Daemon> = (0..daemons)
            .map(|number| {
                let plan = DaemonPlan {
                    name: format!("edge-{number}"),
                    zone: ZONES[number % 3].to_owned(),
                    memory_mb,
                };
                start_daemon(&arguments.program, &arguments.work, plan, &store)
            })
            .collect();
        let is_ready = daemons.iter().all(Daemon::wait_ready);
        let deployment = Self { store, link, engines, daemons, record: record.clone() };
        is_ready.then_some(deployment)
    }

    /// Returns the engine with an id.
    pub fn engine(&self, id: &str) -> &Engine {
        self.engines.iter().find(|engine| engine.id == id).expect("an engine of the deployment")
    }

    /// Makes the store silent for all daemons and engines, or lets it answer again.
    pub fn set_store_silent(&self, is_silent: bool) {
        self.record.say(if is_silent {
            "the store falls silent"
        } else {
            "the store answers again"
        });
        *self.link.is_away.lock() = is_silent;
        let state = if is_silent { ProxyState::Stalled } else { ProxyState::Forwarding };
        self.daemons.iter().for_each(|daemon| daemon.store_link.set_state(state));
    }

    /// Returns the addresses of all daemons.
    pub fn frontends(&self) -> Vec<String> {
        self.daemons.iter().map(|daemon| daemon.frontend.clone()).collect()
    }
}

fn start_daemon(program: &Path, work: &Path, plan: DaemonPlan, store: &StandinStore) -> Daemon {
    Daemon::start(program, work, plan, &store.address.to_string())
}

/// Waits until a time after a start.
pub fn wait_until(started: std::time::Instant, at: f64) {
    let at = Duration::from_secs_f64(at);
    thread::sleep(at.saturating_sub(started.elapsed()));
}
