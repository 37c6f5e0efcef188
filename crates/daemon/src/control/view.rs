//! Builds the snapshot that the control thread publishes.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{Arena, DomainKey, EngineKey, PlainKey},
    fleet::{EngineRow, LinkRow, PlainRow},
    routing::{EngineLocality, EngineView},
    speed::EngineSpeed,
    time::Timestamp,
};
use gooseberry_wire::engine::EngineState;

use crate::{
    control::ControlState,
    loads,
    snapshot::{EngineEntry, FleetSnapshot, PlainEntry},
};

/// Tokens per piece (KV cache block), assumed until an engine reports its own size.
const DEFAULT_PIECE_TOKENS: u32 = 16;

impl ControlState {
    /// Builds the snapshot of the current state.
    pub(super) fn view(&self, now: Timestamp) -> FleetSnapshot {
        let domain = self.fleet.domain(&self.context.settings.failure_domain);
        let engines = self.fleet.engines.iter();
        let engines: Arena<EngineKey, EngineEntry> =
            engines.map(|(key, row)| self.engine_entry(key, row, domain, now)).collect();
        let (home_engines, remote_engines) = engines
            .iter()
            .map(|(key, _)| key)
            .partition(|key| engines[*key].view.locality == EngineLocality::Home);
        let servers = self.fleet.plain_servers.iter();
        let plain_servers: Arena<PlainKey, PlainEntry> =
            servers.map(|(_, row)| self.plain_entry(row, domain)).collect();
        FleetSnapshot {
            fleet: Arc::clone(&self.fleet),
            membership: self.membership.clone(),
            domain,
            engines,
            home_engines,
            remote_engines,
            plain_servers,
        }
    }

    fn engine_entry(
        &self,
        engine: EngineKey,
        row: &EngineRow,
        domain: Option<DomainKey>,
        now: Timestamp,
    ) -> EngineEntry {
        let status = &self.engines[&row.name];
        let locality = self.locality(domain, row.domain);
        let expiry = report_expiry(locality);
        let report = status.report.as_ref().filter(|_| now.since(status.received) < expiry);
        let leaving = row.withdrawn || self.membership.is_leaving(&row.name);
        let draining = self.context.drains.is_draining(&row.name, now);
        let serving = report.is_some_and(|report| report.state == EngineState::Serving);
        let model = report.map_or(row.model, |report| {
            let loaded = self.fleet.models.find(|model| model.name == report.model);
            loaded.map_or(row.model, |(key, _)| key)
        });
        let role = report.and_then(|report| report.role.to_string().parse().ok());
        let open = serving && !leaving && !draining && !status.stall.is_stuck(now);
        status.gauge.set_closed(!open);
        EngineEntry {
            view: EngineView {
                engine,
                model,
                role: role.unwrap_or(row.role),
                accepting: open,
                locality,
                latency: self.latency(domain, row.domain),
                price_per_gb: self.price(domain, row.domain),
                speed: EngineSpeed::default(),
                running: report.map_or(0, |report| report.running),
                queued: report.map_or(0, |report| report.queued),
                backlog_tokens: report.map_or(0, |report| report.prefill_backlog_tokens),
                outstanding: 0,
                unreported_requests: 0,
                unreported_tokens: 0,
            },
            piece_tokens: report.map_or(DEFAULT_PIECE_TOKENS, |report| report.kv_piece_tokens),
            cache_key: status.cache,
            link: self.link_between(domain, row.domain),
            report: status.report.clone(),
            gauge: Arc::clone(&status.gauge),
        }
    }

    fn plain_entry(&self, row: &PlainRow, domain: Option<DomainKey>) -> PlainEntry {
        let status = &self.plain_servers[&row.name];
        let leaving = row.withdrawn || self.membership.is_leaving(&row.name);
        let open = status.healthy && !leaving;
        status.gauge.set_closed(!open);
        PlainEntry {
            open,
            latency: self.latency(domain, row.domain),
            gauge: Arc::clone(&status.gauge),
        }
    }

    /// Returns the one-way latency between two failure domains.
    fn latency(&self, from: Option<DomainKey>, to: DomainKey) -> Duration {
        self.link(from, to).map_or(Duration::ZERO, |link| link.latency)
    }

    /// Returns the price per gigabyte between two failure domains.
    fn price(&self, from: Option<DomainKey>, to: DomainKey) -> f64 {
        self.link(from, to).map_or(0.0, |link| link.price_per_gb)
    }

    fn link(&self, from: Option<DomainKey>, to: DomainKey) -> Option<&LinkRow> {
        let from = self.fleet.domains[from?].region;
        self.fleet.link(from, self.fleet.domains[to].region)
    }

    /// Returns the location of a failure domain relative to another.
    fn locality(&self, from: Option<DomainKey>, to: DomainKey) -> EngineLocality {
        let Some(from) = from else { return EngineLocality::Home };
        if from == to {
            EngineLocality::Home
        } else if self.fleet.domains[from].region == self.fleet.domains[to].region {
            EngineLocality::SameRegion
        } else {
            EngineLocality::OtherRegion
        }
    }
}

/// Returns the age after which a load report no longer shows that its engine is
/// alive.
fn report_expiry(locality: EngineLocality) -> Duration {
    match locality {
        EngineLocality::Home => loads::HOME_EXPIRY,
        EngineLocality::SameRegion | EngineLocality::OtherRegion => loads::REMOTE_EXPIRY,
    }
}
