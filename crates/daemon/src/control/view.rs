//! The snapshot that the control thread publishes, made from its tables.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{Arena, DomainKey, EngineKey, PlainKey},
    fleet::{EngineRow, PlainRow},
    routing::EngineView,
    time::Timestamp,
};
use gooseberry_wire::engine::EngineState;

use crate::{
    control::ControlState,
    snapshot::{EngineEntry, FleetSnapshot, PlainEntry},
};

/// Age at which a load report no longer shows that its engine is alive.
const REPORT_EXPIRY: Duration = Duration::from_secs(2);
/// Cache piece assumed until an engine reports its own.
const DEFAULT_PIECE_TOKENS: u32 = 16;

impl ControlState {
    /// Makes the view of this moment.
    pub(super) fn view(&self, now: Timestamp) -> FleetSnapshot {
        let domain = self.fleet.domain(&self.context.settings.failure_domain);
        let engines = self.fleet.engines.iter();
        let engines = engines.map(|(key, row)| self.engine_entry(key, row, domain, now)).collect();
        let servers = self.fleet.plain_servers.iter();
        let plain_servers: Arena<PlainKey, PlainEntry> =
            servers.map(|(_, row)| self.plain_entry(row, domain)).collect();
        FleetSnapshot {
            fleet: Arc::clone(&self.fleet),
            membership: self.membership.clone(),
            domain,
            engines,
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
        let report = status.report.as_ref().filter(|_| now.since(status.received) < REPORT_EXPIRY);
        let leaving = row.leaving || self.membership.is_leaving(&row.name);
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
            incarnation: report.map(|report| report.incarnation),
            piece_tokens: report.map_or(DEFAULT_PIECE_TOKENS, |report| report.kv_piece_tokens),
            gauge: Arc::clone(&status.gauge),
        }
    }

    fn plain_entry(&self, row: &PlainRow, domain: Option<DomainKey>) -> PlainEntry {
        let status = &self.plain_servers[&row.name];
        let leaving = row.leaving || self.membership.is_leaving(&row.name);
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
