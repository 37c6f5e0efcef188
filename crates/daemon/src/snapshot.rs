//! Immutable snapshot of the control state, for the traffic threads.

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

/// Control state at one time.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    pub fleet: Arc<FleetTable>,
    pub membership: MembershipTable,
    /// Failure domain of this daemon, if the configuration contains it.
    pub domain: Option<DomainKey>,
    pub engines: Arena<EngineKey, EngineEntry>,
    /// Engines of the home failure domain.
    pub home_engines: Vec<EngineKey>,
    /// Engines of all other failure domains.
    pub remote_engines: Vec<EngineKey>,
    pub plain_servers: Arena<PlainKey, PlainEntry>,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// View for routing. Its counts of this daemon's own requests are filled in
    /// from the gauge when a decision is made.
    pub view: EngineView,
    /// Tokens per piece. A piece is a block of the engine's KV cache.
    pub piece_tokens: u32,
    pub cache_key: CacheKey,
    /// Link over which the engine is reached.
    pub link: LinkUse,
    /// Newest load report, regardless of its age.
    pub report: Option<Arc<LoadReport>>,
    pub gauge: Arc<ServerGauge>,
}

impl EngineEntry {
    /// Returns whether the engine accepts new requests, according to this snapshot
    /// and any later one.
    pub fn is_open(&self) -> bool {
        self.view.accepting && !self.gauge.is_closed()
    }
}

/// State of one backend server of a plain service.
#[derive(Clone, Debug)]
pub struct PlainEntry {
    /// Whether the server accepts new requests.
    pub open: bool,
    /// One-way network latency from this daemon.
    pub latency: Duration,
    pub gauge: Arc<ServerGauge>,
}

impl PlainEntry {
    /// Returns whether the server accepts new requests, according to this snapshot
    /// and any later one.
    pub fn is_open(&self) -> bool {
        self.open && !self.gauge.is_closed()
    }
}

impl FleetSnapshot {
    /// Creates the snapshot of a daemon that has no configuration yet.
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

    /// Returns the views of those given engines that serve a model, including this
    /// daemon's own requests.
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

    /// Returns the first direct or transitive dependency of a service that has no
    /// open backend server.
    pub fn missing_dependency(&self, service: ServiceKey) -> Option<ServiceKey> {
        let dependencies = &self.fleet.services[service].depends_on;
        dependencies.iter().copied().find_map(|next| {
            (!self.has_open_server(next)).then_some(next).or(self.missing_dependency(next))
        })
    }

    /// Returns whether a service has an open backend server.
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
