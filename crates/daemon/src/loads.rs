//! Engine load, read by one daemon and sent to the others of its failure domain.
//!
//! Engines of other failure domains are read too, less often, since spilling needs
//! their load.

mod polling;
mod publish;
mod rpc;
mod updates;

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::{
    fleet::FleetTable,
    limits::DomainView,
    readers::{ReaderTable, ReaderUpdate},
    time::Timestamp,
};
use gooseberry_wire::engine::LoadReport;
use parking_lot::Mutex;
use smol_str::SmolStr;

pub use self::rpc::{LoadApiServer, LoadServer};
use crate::{
    context::DaemonContext,
    loads::{polling::EnginePoll, updates::ReceivedReports},
};

/// Read interval for engines of the home failure domain.
const HOME_INTERVAL: Duration = Duration::from_millis(200);
/// Read interval for engines of other failure domains.
const REMOTE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval without an update from the reader of a home engine, even if
/// nothing has changed.
const HOME_UPDATE_INTERVAL: Duration = Duration::from_millis(600);
/// Longest interval without an update from the reader of an engine in another
/// failure domain.
const REMOTE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an update after which the next daemon reads a home engine. Together
/// with the read and the update that follow, it ends before a load report expires.
const HOME_READER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without an update after which the next daemon reads an engine of another
/// failure domain.
const REMOTE_READER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Age after which a load report no longer shows that a home engine is alive.
pub const HOME_EXPIRY: Duration = Duration::from_secs(2);
/// Age after which a load report no longer shows that an engine of another failure
/// domain is alive.
pub const REMOTE_EXPIRY: Duration = Duration::from_secs(4);

/// Exchanges engine load with the daemons of the failure domain.
pub struct LoadExchange {
    state: Mutex<LoadState>,
    received: Mutex<ReceivedReports>,
}

struct LoadState {
    readers: ReaderTable,
    engines: HashMap<SmolStr, EnginePoll>,
    live: Vec<SmolStr>,
}

impl LoadExchange {
    /// Creates the exchange of a daemon without engines.
    pub fn new(own: SmolStr) -> Self {
        let readers = ReaderTable::new(own);
        let state = LoadState { readers, engines: HashMap::new(), live: Vec::new() };
        Self { state: Mutex::new(state), received: Mutex::default() }
    }

    /// Sets the live daemons of the failure domain.
    pub fn set_live(&self, view: &DomainView) {
        let mut state = self.state.lock();
        if state.live != view.live {
            state.readers.observe(&view.live);
            state.live.clone_from(&view.live);
        }
    }

    /// Sets the engines of a configuration.
    pub fn set_fleet(&self, fleet: &FleetTable, domain: &str, now: Timestamp) {
        let mut state = self.state.lock();
        let known = |name: &SmolStr| fleet.engines.find(|row| row.name == *name).is_some();
        state.engines.retain(|name, _| known(name));
        state.readers.retain(known);
        for (_, row) in fleet.engines.iter() {
            let is_home = fleet.domains[row.domain].name == domain;
            let reader_timeout = if is_home { HOME_READER_TIMEOUT } else { REMOTE_READER_TIMEOUT };
            state.readers.add(&row.name, reader_timeout, now);
            let poll = state.engines.entry(row.name.clone()).or_default();
            poll.configure(row.address.clone(), is_home);
        }
        self.received.lock().retain(known);
    }

    /// Records another daemon's update about an engine.
    fn record_update(&self, engine: &str, reader: &str, update: ReaderUpdate, now: Timestamp) {
        self.state.lock().readers.observe_update(engine, reader, update, now);
    }

    /// Begins the reads that are due now, and returns the engines with their
    /// addresses.
    fn begin_due_reads(&self, now: Timestamp) -> Vec<(SmolStr, SmolStr)> {
        let LoadState { readers, engines, .. } = &mut *self.state.lock();
        let own = readers.assigned_engines(now);
        own.filter_map(|engine| {
            let address = engines.get_mut(engine)?.begin(now)?;
            Some((engine.clone(), address))
        })
        .collect()
    }

    /// Records the result of a read, `None` if it failed.
    fn end_read(&self, engine: &str, report: Option<Arc<LoadReport>>) {
        if let Some(poll) = self.state.lock().engines.get_mut(engine) {
            poll.end(report);
        }
    }

    /// Lists the other live daemons of the failure domain.
    fn live_peers(&self, own: &str) -> Vec<SmolStr> {
        let state = self.state.lock();
        state.live.iter().filter(|daemon| *daemon != own).cloned().collect()
    }
}

/// Starts the tasks that read engines and send updates to peers.
pub fn spawn(context: &Arc<DaemonContext>) {
    task::spawn(polling::run(Arc::clone(context)));
    task::spawn(publish::run(Arc::clone(context)));
}
