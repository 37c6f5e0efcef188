//! The one place that meets the decision core's routing and admission.
//!
//! Load reports come with a lag; between reports the router counts what it
//! sent itself. Cache hints lag too.

use std::time::Duration;

use gooseberry_core::{
    arena::{ArenaKey, DomainKey, EngineKey, ModelKey},
    fleet::{EngineRole, FleetTable},
    roles::utility::{PhaseCosts, StepTiming},
    routing::{self, EngineView, RoutePhase, RouteRequest},
    speed::EngineSpeed,
};

use crate::{
    engine::SimulatedEngine,
    requests::{RefusalKind, ReplayRequest},
};

/// Age of cache hints.
const CACHE_LAG_US: u64 = 500_000;
/// Bytes that a spilled request carries for each token of its prompt.
const BYTES_PER_PROMPT_TOKEN: u64 = 6;
/// Bytes that a spilled answer carries for each token.
const BYTES_PER_OUTPUT_TOKEN: u64 = 180;
/// Load of a mixed engine for one more decoding sequence, against a decode engine.
const MIXED_DECODE_LOAD: f64 = 1.5;

/// Holds the last load report of an engine and what was sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadRow {
    running: u32,
    queued: u32,
    backlog_tokens: u64,
    output_tokens: u64,
    unreported_tokens: u64,
    unreported_output: u64,
    unreported: u32,
}

impl LoadRow {
    /// Reports the load of an engine.
    pub fn from_engine(engine: &SimulatedEngine) -> Self {
        let (running, queued) = engine.sequence_counts();
        Self {
            running,
            queued,
            backlog_tokens: engine.prefill_backlog(),
            output_tokens: engine.output_backlog(),
            ..Self::default()
        }
    }
}

/// Says where a request goes.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlacement {
    pub engine: EngineKey,
    /// Tokens of the prompt that are believed to be cached there.
    pub cached_tokens: u32,
    /// Bytes that cross between regions.
    pub cross_region_bytes: u64,
    pub latency: Duration,
}

/// Routes requests by lagging reports.
#[derive(Debug)]
pub struct ReplayRouter<'a> {
    fleet: &'a FleetTable,
    costs: PhaseCosts,
    /// Sequences that an engine runs together.
    batch: u32,
    rows: Vec<LoadRow>,
    /// Engines that the health signal keeps out.
    pub ejected: Vec<bool>,
    /// Second and bytes spilled in it, by link.
    spilled: Vec<(u64, u64)>,
}

impl<'a> ReplayRouter<'a> {
    /// Makes a router that has seen no report.
    pub fn new(fleet: &'a FleetTable, step: &StepTiming) -> Self {
        let engines = fleet.engines.len();
        Self {
            fleet,
            costs: PhaseCosts::from_step(step),
            batch: step.batch,
            rows: vec![LoadRow::default(); engines],
            ejected: vec![false; engines],
            spilled: vec![(0, 0); fleet.links.len()],
        }
    }

    /// Takes the reports of all engines.
    pub fn update_loads(&mut self, rows: Vec<LoadRow>) {
        self.rows = rows;
    }

    /// Chooses an engine in the home failure domain, or in another if the
    /// home one can't meet the deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused.
    pub fn route(
        &mut self,
        now_us: u64,
        request: &ReplayRequest,
        model: ModelKey,
        engines: &[SimulatedEngine],
    ) -> Result<RequestPlacement, RefusalKind> {
        let mut refusal = RefusalKind::NoBackend;
        let home = request.domain;
        let others = self.fleet.domains.iter().map(|(key, _)| key).filter(|key| *key != home);
        let domains: Vec<_> = std::iter::once(home).chain(others).collect();
        for domain in domains {
            let cross_bytes = self.cross_bytes(request, domain);
            if !self.link_has_room(now_us, home, domain, cross_bytes) {
                continue;
            }
            let Some(placement) = self.choose(now_us, request, model, domain, engines) else {
                continue;
            };
            if !self.meets_deadline(now_us, request, model, domain, &placement, engines) {
                refusal = RefusalKind::DeadlineUnmeetable;
                continue;
            }
            let placement = RequestPlacement { cross_region_bytes: cross_bytes, ..placement };
            self.note(now_us, request, domain, &placement);
            return Ok(placement);
        }
        Err(refusal)
    }

    /// Chooses the engine that decodes what a prefill engine has computed.
    pub fn route_decode(
        &mut self,
        model: ModelKey,
        domain: DomainKey,
        output_left: u32,
        engines: &[SimulatedEngine],
    ) -> Option<EngineKey> {
        let load = |key: EngineKey| self.decode_load(key, engines[key.index()].role);
        let able = self.fleet.engines.iter().map(|(key, _)| key).filter(|key| {
            self.is_near(*key, model, domain)
                && engines[key.index()].accepts_requests()
                && engines[key.index()].role.decodes()
                && !self.ejected[key.index()]
        });
        let engine = able.min_by(|one, other| load(*one).total_cmp(&load(*other)))?;
        let row = &mut self.rows[engine.index()];
        row.unreported += 1;
        row.unreported_output += u64::from(output_left);
        Some(engine)
    }

    /// Tells whether a prompt that an engine computes is decoded elsewhere.
    ///
    /// A mixed engine hands over when a decode engine is less loaded: else its
    /// batch fills up with decoding sequences, and prompts wait for a place.
    pub fn splits_request(&self, engine: EngineKey, engines: &[SimulatedEngine]) -> bool {
        match engines[engine.index()].role {
            EngineRole::Prefill => true,
            EngineRole::Decode => false,
            EngineRole::Mixed => {
                let row = &self.fleet.engines[engine];
                let load = self.decode_load(engine, EngineRole::Mixed);
                self.fleet.engines.iter().any(|(key, _)| {
                    let fake = &engines[key.index()];
                    self.is_near(key, row.model, row.domain)
                        && fake.accepts_requests()
                        && fake.role == EngineRole::Decode
                        && self.decode_load(key, fake.role) < load
                })
            }
        }
    }

    /// Returns how loaded an engine is for one more decoding sequence.
    fn decode_load(&self, engine: EngineKey, role: EngineRole) -> f64 {
        let row = &self.rows[engine.index()];
        let held = f64::from(row.running + row.queued + row.unreported + 1);
        match role {
            EngineRole::Mixed => held * MIXED_DECODE_LOAD,
            EngineRole::Decode | EngineRole::Prefill => held,
        }
    }

    fn choose(
        &self,
        now_us: u64,
        request: &ReplayRequest,
        model: ModelKey,
        domain: DomainKey,
        engines: &[SimulatedEngine],
    ) -> Option<RequestPlacement> {
        let latency = self.latency(request.domain, domain);
        let route = RouteRequest {
            model,
            // Where the output is generated is decided once the prompt is done,
            // so every engine that computes prompts is a candidate.
            phase: RoutePhase::Whole,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            time_left: Duration::from_micros(request.deadline_us.saturating_sub(now_us)),
            // Spilling is decided by failure domain, before this choice.
            bytes: 0,
        };
        let views = self
            .fleet
            .engines
            .iter()
            .filter(|(key, _)| self.is_near(*key, model, domain))
            .map(|(key, _)| self.view(key, model, latency, &engines[key.index()]));
        let seen_us = now_us.saturating_sub(CACHE_LAG_US);
        let cached = |key: EngineKey| engines[key.index()].cached_tokens(request.prefix, seen_us);
        let excluded =
            |key: EngineKey| self.ejected[key.index()] || !engines[key.index()].role.prefills();
        let decision = routing::choose(&route, views, cached, excluded)?;
        let cached = cached(decision.engine).min(request.prompt_tokens);
        Some(RequestPlacement {
            engine: decision.engine,
            cached_tokens: cached,
            cross_region_bytes: 0,
            latency,
        })
    }

    fn view(
        &self,
        engine: EngineKey,
        model: ModelKey,
        latency: Duration,
        fake: &SimulatedEngine,
    ) -> EngineView {
        let row = &self.rows[engine.index()];
        let prompt_cost = match fake.role {
            EngineRole::Mixed => self.costs.prompt_mixed,
            EngineRole::Prefill | EngineRole::Decode => self.costs.prompt_dedicated,
        };
        let speed = EngineSpeed {
            prefill_per_token: Duration::from_secs_f64(prompt_cost),
            ..EngineSpeed::default()
        };
        EngineView {
            accepting: fake.accepts_requests(),
            latency,
            speed,
            running: row.running,
            queued: row.queued,
            backlog_tokens: row.backlog_tokens,
            outstanding: row.running + row.unreported,
            unreported_requests: row.unreported,
            unreported_tokens: row.unreported_tokens,
            ..EngineView::idle(engine, model, fake.role)
        }
    }

    fn is_near(&self, engine: EngineKey, model: ModelKey, domain: DomainKey) -> bool {
        let row = &self.fleet.engines[engine];
        row.model == model && row.domain == domain
    }

    /// Estimates whether both phases end before the deadline.
    fn meets_deadline(
        &self,
        now_us: u64,
        request: &ReplayRequest,
        model: ModelKey,
        domain: DomainKey,
        placement: &RequestPlacement,
        engines: &[SimulatedEngine],
    ) -> bool {
        let row = &self.rows[placement.engine.index()];
        let ahead = row.backlog_tokens + row.unreported_tokens;
        let prompt = ahead + u64::from(request.prompt_tokens - placement.cached_tokens);
        let prompt_cost = match engines[placement.engine.index()].role {
            EngineRole::Mixed => self.costs.prompt_mixed,
            EngineRole::Prefill | EngineRole::Decode => self.costs.prompt_dedicated,
        };
        let prefill = prompt as f64 * prompt_cost;
        let decode = self.decode_seconds(request, model, domain, engines);
        let left = request.deadline_us.saturating_sub(now_us) as f64 / 1e6;
        prefill + decode <= left
    }

    /// Estimates the time from the first token to the last, in seconds.
    ///
    /// Work ahead delays a request only once the batches are full: before that
    /// it shares them.
    fn decode_seconds(
        &self,
        request: &ReplayRequest,
        model: ModelKey,
        domain: DomainKey,
        engines: &[SimulatedEngine],
    ) -> f64 {
        let mut rate = 0.0;
        let mut ahead = 0.0;
        let mut shared = 0.0;
        for (key, _) in self.fleet.engines.iter() {
            let fake = &engines[key.index()];
            if !self.is_near(key, model, domain) {
                continue;
            }
            let row = &self.rows[key.index()];
            ahead += (row.output_tokens + row.unreported_output) as f64;
            if fake.role.decodes() && fake.accepts_requests() {
                rate += self.output_cost(fake.role).recip();
                shared += f64::from(self.batch) * f64::from(request.output_tokens) / 2.0;
            }
        }
        let waits = (ahead - shared).max(0.0) / f64::max(rate, 1.0);
        waits + f64::from(request.output_tokens * self.batch) * self.costs.output_dedicated
    }

    fn output_cost(&self, role: EngineRole) -> f64 {
        match role {
            EngineRole::Mixed => self.costs.output_mixed,
            EngineRole::Prefill | EngineRole::Decode => self.costs.output_dedicated,
        }
    }

    fn note(
        &mut self,
        now_us: u64,
        request: &ReplayRequest,
        domain: DomainKey,
        placement: &RequestPlacement,
    ) {
        let row = &mut self.rows[placement.engine.index()];
        row.unreported += 1;
        row.unreported_tokens += u64::from(request.prompt_tokens - placement.cached_tokens);
        row.unreported_output += u64::from(request.output_tokens);
        if let Some(link) = self.link_index(request.domain, domain) {
            let second = now_us / 1_000_000;
            let spilled = &mut self.spilled[link];
            if spilled.0 != second {
                *spilled = (second, 0);
            }
            spilled.1 += placement.cross_region_bytes;
        }
    }

    fn link_has_room(&self, now_us: u64, home: DomainKey, domain: DomainKey, bytes: u64) -> bool {
        if bytes == 0 {
            return true;
        }
        let Some(link) = self.link_index(home, domain) else { return false };
        let Some(limit) = self.fleet.links[link].bytes_per_second else { return false };
        let (second, used) = self.spilled[link];
        let used = if second == now_us / 1_000_000 { used } else { 0 };
        used + bytes <= limit
    }

    fn cross_bytes(&self, request: &ReplayRequest, domain: DomainKey) -> u64 {
        let domains = &self.fleet.domains;
        if domains[request.domain].region == domains[domain].region {
            return 0;
        }
        u64::from(request.prompt_tokens) * BYTES_PER_PROMPT_TOKEN
            + u64::from(request.output_tokens) * BYTES_PER_OUTPUT_TOKEN
    }

    fn latency(&self, from: DomainKey, to: DomainKey) -> Duration {
        let link = self.link_index(from, to).map(|index| &self.fleet.links[index]);
        link.map_or(Duration::ZERO, |link| link.latency)
    }

    fn link_index(&self, from: DomainKey, to: DomainKey) -> Option<usize> {
        let from = self.fleet.domains[from].region;
        let to = self.fleet.domains[to].region;
        self.fleet.links.iter().position(|link| {
            (link.from == from && link.to == to) || (link.from == to && link.to == from)
        })
    }
}
