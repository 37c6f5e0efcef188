//! The load of the engines, read by one daemon and told to its failure domain.
//!
//! Engines of other failure domains are read too, since spill needs their load,
//! but more rarely.

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

/// Interval of reads of an engine of the home failure domain.
const HOME_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of reads of an engine of another failure domain.
const AWAY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval in which a reader tells at least that nothing has changed.
const HOME_PULSE: Duration = Duration::from_millis(600);
/// The same for an engine of another failure domain.
const AWAY_PULSE: Duration = Duration::from_secs(1);
/// Silence of a reader after which the next daemon reads an engine. With the
/// read and the telling that follow, it ends before a load report expires.
const HOME_SILENCE: Duration = Duration::from_secs(1);
/// The same for an engine of another failure domain.
const AWAY_SILENCE: Duration = Duration::from_millis(2500);
/// Age at which a load report no longer shows that its engine is alive.
pub const HOME_EXPIRY: Duration = Duration::from_secs(2);
/// The same for an engine of another failure domain.
pub const REMOTE_EXPIRY: Duration = Duration::from_secs(4);

/// Holds what this daemon reads and hears of the engines' load.
pub struct LoadExchange {
    state: Mutex<LoadState>,
    heard: Mutex<ReceivedReports>,
}

struct LoadState {
    readers: ReaderTable,
    engines: HashMap<SmolStr, EnginePoll>,
    live: Vec<SmolStr>,
}

impl LoadExchange {
    /// Makes the exchange of a daemon that knows no engine.
    pub fn new(own: SmolStr) -> Self {
        let readers = ReaderTable::new(own);
        let state = LoadState { readers, engines: HashMap::new(), live: Vec::new() };
        Self { state: Mutex::new(state), heard: Mutex::default() }
    }

    /// Notes which daemons of the failure domain are live.
    pub fn set_live(&self, view: &DomainView) {
        let mut state = self.state.lock();
        if state.live != view.live {
            state.readers.observe(&view.live);
            state.live.clone_from(&view.live);
        }
    }

    /// Notes the engines of a configuration.
    pub fn set_fleet(&self, fleet: &FleetTable, domain: &str, now: Timestamp) {
        let mut state = self.state.lock();
        let known = |name: &SmolStr| fleet.engines.find(|row| row.name == *name).is_some();
        state.engines.retain(|name, _| known(name));
        state.readers.retain(known);
        for (_, row) in fleet.engines.iter() {
            let is_home = fleet.domains[row.domain].name == domain;
            let silence = if is_home { HOME_SILENCE } else { AWAY_SILENCE };
            state.readers.add(&row.name, silence, now);
            let reading = state.engines.entry(row.name.clone()).or_default();
            reading.configure(row.address.clone(), is_home);
        }
        self.heard.lock().retain(known);
    }

    /// Notes what another daemon told of an engine.
    fn hear(&self, engine: &str, reader: &str, news: ReaderUpdate, now: Timestamp) {
        self.state.lock().readers.observe_update(engine, reader, news, now);
    }

    /// Takes the engines that are to be read now, with their addresses.
    fn due(&self, now: Timestamp) -> Vec<(SmolStr, SmolStr)> {
        let LoadState { readers, engines, .. } = &mut *self.state.lock();
        let own = readers.assigned_engines(now);
        own.filter_map(|engine| {
            let address = engines.get_mut(engine)?.begin(now)?;
            Some((engine.clone(), address))
        })
        .collect()
    }

    /// Notes the answer to a read, or that there was none.
    fn end_read(&self, engine: &str, report: Option<Arc<LoadReport>>) {
        if let Some(reading) = self.state.lock().engines.get_mut(engine) {
            reading.end(report);
        }
    }

    /// Lists the other live daemons of the failure domain.
    fn live_peers(&self, own: &str) -> Vec<SmolStr> {
        let state = self.state.lock();
        state.live.iter().filter(|daemon| *daemon != own).cloned().collect()
    }
}

/// Starts to read and to tell, for ever.
pub fn spawn(context: &Arc<DaemonContext>) {
    task::spawn(polling::run(Arc::clone(context)));
    task::spawn(publish::run(Arc::clone(context)));
}
