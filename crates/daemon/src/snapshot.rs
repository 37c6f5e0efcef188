//! What traffic threads know: an immutable view that the control thread makes.

use std::{
    sync::{
        atomic::{AtomicU32, AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use gooseberry_core::{
    arena::{Arena, DomainKey, EngineKey, PlainKey, ServiceKey},
    fleet::{FleetTable, ServiceKind},
    membership::MembershipTable,
    routing::EngineView,
};

/// Holds the view of one moment.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    pub fleet: Arc<FleetTable>,
    pub membership: MembershipTable,
    /// Failure domain of this daemon, if the configuration names it.
    pub domain: Option<DomainKey>,
    pub engines: Arena<EngineKey, EngineEntry>,
    pub plain_servers: Arena<PlainKey, PlainEntry>,
}

/// Holds what is known of one engine.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The view that routing reads; its counts of own work are taken from the
    /// gauge at the time of the decision.
    pub view: EngineView,
    /// Time at which the engine's process started, as last reported.
    pub incarnation: Option<u64>,
    /// Tokens in each piece of the engine's cache.
    pub piece_tokens: u32,
    pub gauge: Arc<EngineGauge>,
}

/// Holds what is known of one backend server of a plain service.
#[derive(Clone, Debug)]
pub struct PlainEntry {
    /// Whether the server takes new work.
    pub open: bool,
    pub latency: Duration,
    pub gauge: Arc<EngineGauge>,
}

/// Counts this daemon's own work at one backend server.
#[derive(Debug, Default)]
pub struct EngineGauge {
    outstanding: AtomicU32,
    unreported_tokens: AtomicU64,
}

impl EngineGauge {
    /// Counts a request until the guard is dropped.
    pub fn start(self: &Arc<Self>, prompt_tokens: u32) -> OutstandingGuard {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        self.unreported_tokens.fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
        OutstandingGuard { gauge: Arc::clone(self) }
    }

    /// Returns the requests that haven't ended.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Returns the prompt tokens sent since the last report.
    pub fn unreported_tokens(&self) -> u64 {
        self.unreported_tokens.load(Ordering::Relaxed)
    }

    /// Notes that a report has come, which counts what was sent before.
    pub fn reported(&self) {
        self.unreported_tokens.store(0, Ordering::Relaxed);
    }
}

/// Counts one request as outstanding while it lives.
#[derive(Debug)]
pub struct OutstandingGuard {
    gauge: Arc<EngineGauge>,
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.gauge.outstanding.fetch_sub(1, Ordering::Relaxed);
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
            plain_servers: Arena::default(),
        }
    }

    /// Visits the views of all engines, with this daemon's own work counted in.
    pub fn engine_views(&self) -> impl Iterator<Item = EngineView> + '_ {
        self.engines.iter().map(|(_, entry)| EngineView {
            outstanding: entry.gauge.outstanding(),
            unreported_tokens: entry.gauge.unreported_tokens(),
            ..entry.view
        })
    }

    /// Returns the first dependency of a service that has no open backend
    /// server, looking through dependencies of dependencies.
    pub fn missing_dependency(&self, service: ServiceKey) -> Option<ServiceKey> {
        let dependencies = &self.fleet.services[service].depends_on;
        dependencies.iter().copied().find_map(|next| {
            (!self.is_served(next)).then_some(next).or(self.missing_dependency(next))
        })
    }

    /// Tells whether a service has an open backend server.
    pub fn is_served(&self, service: ServiceKey) -> bool {
        match self.fleet.services[service].kind {
            ServiceKind::Completion { model } => {
                self.engines.iter().any(|(_, entry)| entry.view.open && entry.view.model == model)
            }
            ServiceKind::Plain { .. } => self
                .plain_servers
                .iter()
                .any(|(key, entry)| entry.open && self.fleet.plain_servers[key].service == service),
        }
    }
}
