//! Routing and admission of the replay. Only this module calls the decision core's routing.
//!
//! Load reports arrive with a delay. Between reports, the router adds the
//! requests that it has sent itself. Cache hints are delayed, too.

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
/// Bytes that the response of a spilled request carries for each token.
const BYTES_PER_OUTPUT_TOKEN: u64 = 180;
/// Factor on the load that a sequence adds to a mixed engine, relative to a decode engine.
const MIXED_DECODE_FACTOR: f64 = 1.5;

/// Holds the last load report of an engine and the work sent since.
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
    /// Returns the load of an engine, without unreported work.
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

/// Holds the engine that a request is sent to, with the estimates for it.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlacement {
    pub engine: EngineKey,
    /// Prompt tokens that are cached at the engine according to the cache hints.
    pub cached_tokens: u32,
    /// Bytes of the request and its response that are sent between regions.
    pub cross_region_bytes: u64,
    pub latency: Duration,
}

/// Routes requests by delayed load reports.
#[derive(Debug)]
pub struct ReplayRouter<'a> {
    fleet: &'a FleetTable,
    costs: PhaseCosts,
    /// Number of sequences that an engine runs in one batch.
    batch: u32,
    rows: Vec<LoadRow>,
    /// Whether the health signal ejects an engine, by engine.
    pub ejected: Vec<bool>,
    /// Last second with spilled bytes and the bytes spilled in it, by region link.
    spilled: Vec<(u64, u64)>,
}

impl<'a> ReplayRouter<'a> {
    /// Makes a router that has no load reports yet.
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

    /// Replaces the load reports of all engines.
    pub fn update_loads(&mut self, rows: Vec<LoadRow>) {
        self.rows = rows;
    }

    /// Chooses an engine in the home failure domain, or in another failure
    /// domain if no engine of the home domain can meet the deadline.
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
            if !self.link_has_capacity(now_us, home, domain, cross_bytes) {
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
            self.record_sent(now_us, request, domain, &placement);
            return Ok(placement);
        }
        Err(refusal)
    }

    /// Chooses the least loaded engine for the decode phase of a request.
    pub fn route_decode(
        &mut self,
        model: ModelKey,
        domain: DomainKey,
        output_left: u32,
        engines: &[SimulatedEngine],
    ) -> Option<EngineKey> {
        let load = |key: EngineKey| self.decode_load(key, engines[key.index()].role);
        let candidates = self.fleet.engines.iter().map(|(key, _)| key).filter(|key| {
            self.serves_in_domain(*key, model, domain)
                && engines[key.index()].accepts_requests()
                && engines[key.index()].role.decodes()
                && !self.ejected[key.index()]
        });
        let engine = candidates.min_by(|one, other| load(*one).total_cmp(&load(*other)))?;
        let row = &mut self.rows[engine.index()];
        row.unreported += 1;
        row.unreported_output += u64::from(output_left);
        Some(engine)
    }

    /// Returns whether a request is decoded on another engine than the one that prefills it.
    ///
    /// A mixed engine hands off its KV cache if a decode engine is less loaded.
    /// Otherwise, its batch would fill up with decoding sequences, and prompts
    /// would wait in the queue.
    pub fn splits_request(&self, engine: EngineKey, engines: &[SimulatedEngine]) -> bool {
        match engines[engine.index()].role {
            EngineRole::Prefill => true,
            EngineRole::Decode => false,
            EngineRole::Mixed => {
                let row = &self.fleet.engines[engine];
                let load = self.decode_load(engine, EngineRole::Mixed);
                self.fleet.engines.iter().any(|(key, _)| {
                    let simulated = &engines[key.index()];
                    self.serves_in_domain(key, row.model, row.domain)
                        && simulated.accepts_requests()
                        && simulated.role == EngineRole::Decode
                        && self.decode_load(key, simulated.role) < load
                })
            }
        }
    }

    /// Returns the load of an engine with one more decoding sequence.
    fn decode_load(&self, engine: EngineKey, role: EngineRole) -> f64 {
        let row = &self.rows[engine.index()];
        let sequences = f64::from(row.running + row.queued + row.unreported + 1);
        match role {
            EngineRole::Mixed => sequences * MIXED_DECODE_FACTOR,
            EngineRole::Decode | EngineRole::Prefill => sequences,
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
            // The decode engine is chosen after the prefill, so every engine
            // that can prefill is a candidate.
            phase: RoutePhase::Whole,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            time_left: Duration::from_micros(request.deadline_us.saturating_sub(now_us)),
            // The caller has already checked the bytes between regions for this failure domain.
            bytes: 0,
        };
        let views = self
            .fleet
            .engines
            .iter()
            .filter(|(key, _)| self.serves_in_domain(*key, model, domain))
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
        simulated: &SimulatedEngine,
    ) -> EngineView {
        let row = &self.rows[engine.index()];
        let prompt_cost = match simulated.role {
            EngineRole::Mixed => self.costs.prompt_mixed,
            EngineRole::Prefill | EngineRole::Decode => self.costs.prompt_dedicated,
        };
        let speed = EngineSpeed {
            prefill_per_token: Duration::from_secs_f64(prompt_cost),
            ..EngineSpeed::default()
        };
        EngineView {
            accepting: simulated.accepts_requests(),
            latency,
            speed,
            running: row.running,
            queued: row.queued,
            backlog_tokens: row.backlog_tokens,
            outstanding: row.running + row.unreported,
            unreported_requests: row.unreported,
            unreported_tokens: row.unreported_tokens,
            ..EngineView::idle(engine, model, simulated.role)
        }
    }

    fn serves_in_domain(&self, engine: EngineKey, model: ModelKey, domain: DomainKey) -> bool {
        let row = &self.fleet.engines[engine];
        row.model == model && row.domain == domain
    }

    /// Returns whether both phases are estimated to end before the deadline.
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
        let earlier_tokens = row.backlog_tokens + row.unreported_tokens;
        let prompt = earlier_tokens + u64::from(request.prompt_tokens - placement.cached_tokens);
        let prompt_cost = match engines[placement.engine.index()].role {
            EngineRole::Mixed => self.costs.prompt_mixed,
            EngineRole::Prefill | EngineRole::Decode => self.costs.prompt_dedicated,
        };
        let prefill = prompt as f64 * prompt_cost;
        let decode = self.decode_seconds(request, model, domain, engines);
        let left = request.deadline_us.saturating_sub(now_us) as f64 / 1e6;
        prefill + decode <= left
    }

    /// Returns the estimated time from the first token to the last, in seconds.
    ///
    /// Earlier work delays a request only if the batches are full. Otherwise,
    /// the request joins a batch with that work.
    fn decode_seconds(
        &self,
        request: &ReplayRequest,
        model: ModelKey,
        domain: DomainKey,
        engines: &[SimulatedEngine],
    ) -> f64 {
        let mut rate = 0.0;
        let mut earlier_tokens = 0.0;
        let mut batch_tokens = 0.0;
        for (key, _) in self.fleet.engines.iter() {
            let simulated = &engines[key.index()];
            if !self.serves_in_domain(key, model, domain) {
                continue;
            }
            let row = &self.rows[key.index()];
            earlier_tokens += (row.output_tokens + row.unreported_output) as f64;
            if simulated.role.decodes() && simulated.accepts_requests() {
                rate += self.output_cost(simulated.role).recip();
                batch_tokens += f64::from(self.batch) * f64::from(request.output_tokens) / 2.0;
            }
        }
        let wait_s = (earlier_tokens - batch_tokens).max(0.0) / f64::max(rate, 1.0);
        wait_s + f64::from(request.output_tokens * self.batch) * self.costs.output_dedicated
    }

    fn output_cost(&self, role: EngineRole) -> f64 {
        match role {
            EngineRole::Mixed => self.costs.output_mixed,
            EngineRole::Prefill | EngineRole::Decode => self.costs.output_dedicated,
        }
    }

    fn record_sent(
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

    fn link_has_capacity(
        &self,
        now_us: u64,
        home: DomainKey,
        domain: DomainKey,
        bytes: u64,
    ) -> bool {
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
