//! The control thread: it owns all control state.
//!
//! Tasks on other threads send events; the control thread applies them to its
//! tables, runs its systems each tick and publishes a snapshot.

mod view;

use std::{collections::HashMap, sync::Arc, time::Duration};

use gooseberry_core::{
    fleet::FleetTable,
    membership::{ListedVm, MembershipTable, ProcessIncarnation},
    time::Timestamp,
};
use gooseberry_wire::{
    engine::LoadReport,
    peer::PeerHello,
    platform::{VmListing, VmState},
};
use smol_str::SmolStr;

use crate::{context::DaemonContext, pollers, snapshot::EngineGauge};

/// Interval of the systems.
const TICK: Duration = Duration::from_millis(20);

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
    /// Another daemon introduced itself.
    Peer(PeerHello),
}

/// Holds all control state of a daemon.
pub struct ControlState {
    context: Arc<DaemonContext>,
    fleet: Arc<FleetTable>,
    engines: HashMap<SmolStr, EngineStatus>,
    plain_servers: HashMap<SmolStr, PlainStatus>,
    membership: MembershipTable,
    changed: bool,
}

/// Holds what is known of one engine over all revisions.
#[derive(Default)]
struct EngineStatus {
    report: Option<Arc<LoadReport>>,
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
        let vm = SmolStr::new(&context.settings.name);
        let own = ProcessIncarnation { vm, incarnation: context.incarnation };
        let mut membership = MembershipTable::default();
        membership.observe_process(&own, context.clock.now());
        Self {
            context,
            fleet: Arc::default(),
            engines: HashMap::new(),
            plain_servers: HashMap::new(),
            membership,
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
                status.report = Some(Arc::from(report));
                status.received = now;
                status.gauge.reported();
            }
            ControlEvent::ReportMissing { .. } => {}
            ControlEvent::PlainHealth { server, healthy } => {
                self.plain_servers.entry(server).or_default().healthy = healthy;
            }
            ControlEvent::Peer(hello) => {
                self.context.orders.hear(&hello, now);
                let vm = SmolStr::new(hello.daemon);
                let process = ProcessIncarnation { vm, incarnation: hello.incarnation };
                self.membership.observe_process(&process, now);
            }
            ControlEvent::Vms(listing) => self.observe_listing(&listing, now),
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
        self.engines.retain(|name, status| known(name) || status.gauge.withdraw());
        let known = |name: &SmolStr| fleet.plain_servers.find(|row| row.name == *name).is_some();
        self.plain_servers.retain(|name, status| known(name) || status.gauge.withdraw());
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
        // Reports expire with time, so the view may change without an event.
        if self.changed || !self.engines.is_empty() {
            self.context.snapshot.store(Arc::new(self.view(now)));
            self.changed = false;
        }
    }
}
