//! The control thread, which owns all control state.
//!
//! Tasks on other threads send events. The control thread applies them to its
//! tables, updates derived state each tick and publishes a snapshot.

mod daemons;
mod link_shares;
mod view;

use std::{collections::HashMap, sync::Arc, time::Duration};

use gooseberry_core::{
    fleet::FleetTable,
    membership::{ListedVm, MembershipTable, ProcessIncarnation},
    prefix_table::CacheKey,
    stall::{ProgressReport, StallDetector},
    time::Timestamp,
};
use gooseberry_wire::{
    engine::LoadReport,
    peer::PeerHello,
    platform::{VmListing, VmState},
};
use smol_str::SmolStr;

use crate::{context::DaemonContext, control::daemons::DaemonTable, gauge::ServerGauge, pollers};

/// Interval of the control loop.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A higher configuration revision was accepted.
    Configuration(Arc<FleetTable>),
    /// An engine returned a load report.
    Report { engine: SmolStr, report: Arc<LoadReport> },
    /// Result of a health check of a plain service's backend server.
    PlainHealth { server: SmolStr, healthy: bool },
    /// The platform returned its list of VMs.
    Vms(VmListing),
    /// Another daemon sent a hello.
    Peer(PeerHello),
}

/// All control state of a daemon.
pub struct ControlState {
    context: Arc<DaemonContext>,
    fleet: Arc<FleetTable>,
    engines: HashMap<SmolStr, EngineStatus>,
    plain_servers: HashMap<SmolStr, PlainStatus>,
    membership: MembershipTable,
    daemons: DaemonTable,
    /// Revision and number of daemons from which the link shares were computed.
    link_share_inputs: (u64, usize),
    changed: bool,
}

/// State of one engine, kept across configuration revisions.
#[derive(Default)]
struct EngineStatus {
    report: Option<Arc<LoadReport>>,
    received: Timestamp,
    gauge: Arc<ServerGauge>,
    stall: StallDetector,
    cache: CacheKey,
    polled: bool,
}

#[derive(Default)]
struct PlainStatus {
    healthy: bool,
    gauge: Arc<ServerGauge>,
    polled: bool,
}

impl ControlState {
    /// Creates the state of a daemon that has no configuration yet.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        // A running process proves that the previous process on this VM has ended.
        let mut membership = MembershipTable::default();
        let vm = SmolStr::new(&context.settings.name);
        let own = ProcessIncarnation { vm, incarnation: context.incarnation };
        membership.observe_process(&own, context.clock.now());
        Self {
            context,
            fleet: Arc::default(),
            engines: HashMap::new(),
            plain_servers: HashMap::new(),
            membership,
            daemons: DaemonTable::default(),
            link_share_inputs: (0, 0),
            changed: false,
        }
    }

    /// Applies events and updates the state until the process ends.
    pub async fn run(mut self, events: async_channel::Receiver<ControlEvent>) {
        let clock = self.context.clock.clone();
        loop {
            clock.sleep(TICK_INTERVAL).await;
            while let Ok(event) = events.try_recv() {
                self.apply(event);
            }
            self.tick(clock.now());
        }
    }

    fn apply(&mut self, event: ControlEvent) {
        let now = self.context.clock.now();
        match event {
            ControlEvent::Configuration(fleet) => self.set_fleet(fleet),
            ControlEvent::Report { engine, report } => {
                self.observe_report(engine, report, now);
            }
            ControlEvent::PlainHealth { server, healthy } => {
                self.plain_servers.entry(server).or_default().healthy = healthy;
            }
            ControlEvent::Peer(hello) => {
                self.daemons.observe_hello(&hello.daemon, &hello.failure_domain, now);
                self.context.drains.observe_hello(&hello, now);
                let vm = SmolStr::new(hello.daemon);
                let process = ProcessIncarnation { vm, incarnation: hello.incarnation };
                self.membership.observe_process(&process, now);
            }
            ControlEvent::Vms(listing) => self.observe_listing(&listing, now),
        }
        self.changed = true;
    }

    /// Applies a load report. Reports that aren't newer than the last one are
    /// ignored.
    fn observe_report(&mut self, engine: SmolStr, report: Arc<LoadReport>, now: Timestamp) {
        // A report may arrive after its engine has been removed from the
        // configuration.
        let Some(status) = self.engines.get_mut(&engine) else { return };
        if let Some(last) = &status.report {
            if last.incarnation == report.incarnation && last.sequence >= report.sequence {
                return;
            }
            if last.incarnation != report.incarnation || last.model != report.model {
                self.context.routing.reset_cache(status.cache);
            }
        }
        let made_at = Timestamp::from_millis(report.made_at_ms).min(now);
        let was_stuck = status.stall.is_stuck(now);
        status.stall.observe(
            ProgressReport {
                incarnation: report.incarnation,
                steps: report.steps,
                made_at,
                outstanding: status.gauge.outstanding(),
            },
            now,
        );
        match (was_stuck, status.stall.is_stuck(now)) {
            (false, true) => tracing::warn!(engine = report.engine, "engine is stuck"),
            (true, false) => tracing::info!(engine = report.engine, "engine is stepping again"),
            (true, true) | (false, false) => {}
        }
        status.gauge.observe_report(made_at);
        status.received = now;
        status.report = Some(report);
    }

    /// Applies a higher revision. A lower one is never applied.
    fn set_fleet(&mut self, fleet: Arc<FleetTable>) {
        if fleet.revision <= self.fleet.revision {
            return;
        }
        tracing::info!(revision = fleet.revision, "configuration in force");
        self.context.metrics.revision(fleet.revision);
        let domain = &self.context.settings.failure_domain;
        self.context.loads.set_fleet(&fleet, domain, self.context.clock.now());
        for (_, engine) in fleet.engines.iter() {
            let status = self.engines.entry(engine.name.clone()).or_default();
            status.cache = self.context.routing.cache_key(&engine.name);
            let is_home = fleet.domains[engine.domain].name == *domain;
            if !std::mem::replace(&mut status.polled, true) && is_home {
                pollers::poll_cache_events(&self.context, engine.name.clone());
            }
        }
        for (_, server) in fleet.plain_servers.iter() {
            let status = self.plain_servers.entry(server.name.clone()).or_default();
            if !std::mem::replace(&mut status.polled, true) {
                pollers::poll_plain_server(&self.context, server.name.clone());
            }
        }
        let known = |name: &SmolStr| fleet.engines.find(|row| row.name == *name).is_some();
        self.engines.retain(|name, status| known(name) || status.gauge.close());
        let known = |name: &SmolStr| fleet.plain_servers.find(|row| row.name == *name).is_some();
        self.plain_servers.retain(|name, status| known(name) || status.gauge.close());
        self.fleet = fleet;
    }

    fn observe_listing(&mut self, listing: &VmListing, now: Timestamp) {
        let vms: Vec<_> = listing
            .vms
            .iter()
            .map(|vm| ListedVm {
                name: SmolStr::new(&vm.name),
                leaving: vm.state == VmState::Leaving,
            })
            .collect();
        let made_at = Timestamp::from_millis(listing.made_at_ms);
        self.membership.observe_listing(made_at, &vms, now);
    }

    fn tick(&mut self, now: Timestamp) {
        self.split_link_rates(now);
        let view = self.domain_view(now);
        self.context.loads.set_live(&view);
        self.context.limits.set_view(view, now);
        // Reports expire over time, so the snapshot may change without an event.
        if self.changed || !self.engines.is_empty() {
            self.context.snapshot.store(Arc::new(self.view(now)));
            self.changed = false;
        }
    }
}
