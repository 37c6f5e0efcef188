//! The control thread: it owns all control state.
//!
//! Tasks on other threads send events; the control thread applies them to its
//! tables, runs its systems each tick and publishes a snapshot.

use std::{collections::HashMap, sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{Arena, DomainKey, EngineKey, PlainKey},
    fleet::{EngineRow, FleetTable, PlainRow},
    routing::EngineView,
    time::Timestamp,
};
use gooseberry_wire::{
    engine::{EngineState, LoadReport},
    platform::{VmListing, VmState},
};
use smol_str::SmolStr;

use crate::{
    context::DaemonContext,
    pollers,
    snapshot::{EngineEntry, EngineGauge, FleetSnapshot, PlainEntry},
};

/// Interval of the systems.
const TICK: Duration = Duration::from_millis(20);
/// Age at which a load report no longer shows that its engine is alive.
const REPORT_EXPIRY: Duration = Duration::from_secs(2);
/// Cache piece assumed until an engine reports its own.
const DEFAULT_PIECE_TOKENS: u32 = 16;

/// Tells the control thread what happened.
#[derive(Debug)]
pub enum ControlEvent {
    /// A higher configuration revision was accepted.
    Fleet(Arc<FleetTable>),
    /// An engine answered with its load.
    Report { engine: SmolStr, report: Box<LoadReport> },
    /// An engine gave no load report.
    ReportMissing { engine: SmolStr },
    /// A backend server of a plain service answered, or didn't.
    PlainHealth { server: SmolStr, healthy: bool },
    /// The platform's list of VMs came in.
    Vms(VmListing),
}

/// Holds all control state of a daemon.
pub struct ControlState {
    context: Arc<DaemonContext>,
    fleet: Arc<FleetTable>,
    engines: HashMap<SmolStr, EngineStatus>,
    plain_servers: HashMap<SmolStr, PlainStatus>,
    /// VMs that the platform lists as leaving.
    leaving: Vec<SmolStr>,
    changed: bool,
}

/// Holds what is known of one engine over all revisions.
#[derive(Default)]
struct EngineStatus {
    report: Option<LoadReport>,
    received: Timestamp,
    gauge: Arc<EngineGauge>,
    polled: bool,
}

#[derive(Default)]
struct PlainStatus {
    healthy: bool,
    gauge: Arc<EngineGauge>,
    polled: bool,
}

impl ControlState {
    /// Makes the state of a daemon that knows nothing yet.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self {
            context,
            fleet: Arc::default(),
            engines: HashMap::new(),
            plain_servers: HashMap::new(),
            leaving: Vec::new(),
            changed: false,
        }
    }

    /// Applies events and runs the systems until the process ends.
    pub async fn run(mut self, events: async_channel::Receiver<ControlEvent>) {
        let clock = self.context.clock.clone();
        loop {
            clock.sleep(TICK).await;
            while let Ok(event) = events.try_recv() {
                self.apply(event);
            }
            self.tick(clock.now());
        }
    }

    fn apply(&mut self, event: ControlEvent) {
        let now = self.context.clock.now();
        match event {
            ControlEvent::Fleet(fleet) => self.change_fleet(fleet),
            ControlEvent::Report { engine, report } => {
                let status = self.engines.entry(engine).or_default();
                status.report = Some(*report);
                status.received = now;
                status.gauge.reported();
            }
            ControlEvent::ReportMissing { .. } => {}
            ControlEvent::PlainHealth { server, healthy } => {
                self.plain_servers.entry(server).or_default().healthy = healthy;
            }
            ControlEvent::Vms(listing) => {
                let leaving = listing.vms.into_iter().filter(|vm| vm.state == VmState::Leaving);
                self.leaving = leaving.map(|vm| SmolStr::new(vm.name)).collect();
            }
        }
        self.changed = true;
    }

    /// Puts a higher revision in force; a lower one is never applied.
    fn change_fleet(&mut self, fleet: Arc<FleetTable>) {
        if fleet.revision <= self.fleet.revision {
            return;
        }
        tracing::info!(revision = fleet.revision, "configuration in force");
        self.context.metrics.revision(fleet.revision);
        for (_, engine) in fleet.engines.iter() {
            let status = self.engines.entry(engine.name.clone()).or_default();
            if !std::mem::replace(&mut status.polled, true) {
                pollers::spawn_engine(&self.context, engine.name.clone());
            }
        }
        for (_, server) in fleet.plain_servers.iter() {
            let status = self.plain_servers.entry(server.name.clone()).or_default();
            if !std::mem::replace(&mut status.polled, true) {
                pollers::spawn_plain(&self.context, server.name.clone());
            }
        }
        let known = |name: &SmolStr| fleet.engines.find(|row| row.name == *name).is_some();
        self.engines.retain(|name, _| known(name));
        let known = |name: &SmolStr| fleet.plain_servers.find(|row| row.name == *name).is_some();
        self.plain_servers.retain(|name, _| known(name));
        self.fleet = fleet;
    }

    fn tick(&mut self, now: Timestamp) {
        // Reports expire with time, so the view may change without an event.
        if self.changed || !self.engines.is_empty() {
            self.context.snapshot.store(Arc::new(self.view(now)));
            self.changed = false;
        }
    }

    fn view(&self, now: Timestamp) -> FleetSnapshot {
        let domain = self.fleet.domain(&self.context.settings.failure_domain);
        let engines = self.fleet.engines.iter();
        let engines = engines.map(|(key, row)| self.engine_entry(key, row, domain, now)).collect();
        let servers = self.fleet.plain_servers.iter();
        let plain_servers: Arena<PlainKey, PlainEntry> =
            servers.map(|(_, row)| self.plain_entry(row, domain)).collect();
        FleetSnapshot { fleet: Arc::clone(&self.fleet), domain, engines, plain_servers }
    }

    fn engine_entry(
        &self,
        engine: EngineKey,
        row: &EngineRow,
        domain: Option<DomainKey>,
        now: Timestamp,
    ) -> EngineEntry {
        let status = &self.engines[&row.name];
        let report = status.report.as_ref().filter(|_| now.since(status.received) < REPORT_EXPIRY);
        let leaving = row.leaving || self.leaving.contains(&row.name);
        let serving = report.is_some_and(|report| report.state == EngineState::Serving);
        let model = report.map_or(row.model, |report| {
            let loaded = self.fleet.models.find(|model| model.name == report.model);
            loaded.map_or(row.model, |(key, _)| key)
        });
        let role = report.and_then(|report| report.role.to_string().parse().ok());
        EngineEntry {
            view: EngineView {
                engine,
                model,
                role: role.unwrap_or(row.role),
                open: serving && !leaving,
                latency: self.latency(domain, row.domain),
                running: report.map_or(0, |report| report.running),
                queued: report.map_or(0, |report| report.queued),
                backlog_tokens: report.map_or(0, |report| report.prefill_backlog_tokens),
                outstanding: 0,
                unreported_tokens: 0,
            },
            piece_tokens: report.map_or(DEFAULT_PIECE_TOKENS, |report| report.kv_piece_tokens),
            gauge: Arc::clone(&status.gauge),
        }
    }

    fn plain_entry(&self, row: &PlainRow, domain: Option<DomainKey>) -> PlainEntry {
        let status = &self.plain_servers[&row.name];
        let leaving = row.leaving || self.leaving.contains(&row.name);
        PlainEntry {
            open: status.healthy && !leaving,
            latency: self.latency(domain, row.domain),
            gauge: Arc::clone(&status.gauge),
        }
    }

    /// Returns the one-way latency between two failure domains.
    fn latency(&self, from: Option<DomainKey>, to: DomainKey) -> Duration {
        let Some(from) = from else { return Duration::ZERO };
        let regions = (self.fleet.domains[from].region, self.fleet.domains[to].region);
        let link = self.fleet.link(regions.0, regions.1);
        link.map_or(Duration::ZERO, |link| link.latency)
    }
}
