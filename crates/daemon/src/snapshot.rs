//! What traffic threads know: an immutable view that the control thread makes.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{Arena, DomainKey, EngineKey, ModelKey, PlainKey, ServiceKey},
    fleet::{FleetTable, ServiceKind},
    membership::MembershipTable,
    prefix_table::CacheKey,
    routing::EngineView,
    spill::LinkUse,
};
use gooseberry_wire::engine::LoadReport;

use crate::gauge::ServerGauge;

/// Holds the view of one moment.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    pub fleet: Arc<FleetTable>,
    pub membership: MembershipTable,
    /// Failure domain of this daemon, if the configuration names it.
    pub domain: Option<DomainKey>,
    pub engines: Arena<EngineKey, EngineEntry>,
    /// Engines of the home failure domain.
    pub home_engines: Vec<EngineKey>,
    /// Engines of all other failure domains.
    pub remote_engines: Vec<EngineKey>,
    pub plain_servers: Arena<PlainKey, PlainEntry>,
}

/// Holds what is known of one engine.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The view that routing reads; its counts of own work are taken from the
    /// gauge at the time of the decision.
    pub view: EngineView,
    /// Tokens in each piece of the engine's cache.
    pub piece_tokens: u32,
    pub cache_key: CacheKey,
    /// Link over which the engine is reached.
    pub link: LinkUse,
    /// Newest load report, whatever its age.
    pub report: Option<Arc<LoadReport>>,
    pub gauge: Arc<ServerGauge>,
}

impl EngineEntry {
    /// Tells whether the engine takes new work now, by this view and any later one.
    pub fn is_open(&self) -> bool {
        self.view.accepting && !self.gauge.is_closed()
    }
}

/// Holds what is known of one backend server of a plain service.
#[derive(Clone, Debug)]
pub struct PlainEntry {
    /// Whether the server takes new work.
    pub open: bool,
    pub latency: Duration,
    pub gauge: Arc<ServerGauge>,
}

impl PlainEntry {
    /// Tells whether the server takes new work now, by this view and any later one.
    pub fn is_open(&self) -> bool {
        self.open && !self.gauge.is_closed()
    }
}

impl FleetSnapshot {
    /// Makes the view of a daemon that has no configuration yet.
    pub fn empty() -> Self {
        Self {
            fleet: Arc::default(),
            membership: MembershipTable::default(),
            domain: None,
            engines: Arena::default(),
            home_engines: Vec::new(),
            remote_engines: Vec::new(),
            plain_servers: Arena::default(),
        }
    }

    /// Visits the views of some engines that serve a model, with this daemon's
    /// own work counted in.
    pub fn engine_views<'a>(
        &'a self,
        engines: &'a [EngineKey],
        model: ModelKey,
    ) -> impl Iterator<Item = EngineView> + 'a {
        let entries = engines.iter().map(|engine| &self.engines[*engine]);
        let serving = entries.filter(move |entry| entry.is_open() && entry.view.model == model);
        serving.map(|entry| EngineView {
            speed: entry.gauge.speed(),
            outstanding: entry.gauge.outstanding(),
            unreported_requests: entry.gauge.unreported_requests(),
            unreported_tokens: entry.gauge.unreported_tokens(),
            ..entry.view
        })
    }

    /// Returns the first dependency of a service that has no open backend
    /// server, looking through dependencies of dependencies.
    pub fn missing_dependency(&self, service: ServiceKey) -> Option<ServiceKey> {
        let dependencies = &self.fleet.services[service].depends_on;
        dependencies.iter().copied().find_map(|next| {
            (!self.has_open_server(next)).then_some(next).or(self.missing_dependency(next))
        })
    }

    /// Tells whether a service has an open backend server.
    pub fn has_open_server(&self, service: ServiceKey) -> bool {
        match self.fleet.services[service].kind {
            ServiceKind::Completion { model } => {
                self.engines.iter().any(|(_, entry)| entry.is_open() && entry.view.model == model)
            }
            ServiceKind::Plain { .. } => self.plain_servers.iter().any(|(key, entry)| {
                entry.is_open() && self.fleet.plain_servers[key].service == service
            }),
        }
    }
}
