//! A role planner for each failure domain, with the demand of that domain.

use std::{collections::VecDeque, time::Duration};

use gooseberry_core::{
    arena::{ArenaKey, DomainKey, EngineKey, ModelKey},
    fleet::FleetTable,
    roles::{ModelDemand, RoleChange, RolePlanner, RoleSettings, RoleView},
    time::Timestamp,
};

use crate::{
    engine::{EngineState, SimulatedEngine},
    requests::{ReplayRequest, RequestTarget},
};

/// Seconds of arrivals over which the daemons sum the demand for their leader.
const DEMAND_WINDOW_S: usize = 5;

/// Selects the demand that roles are planned for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandSource {
    /// The requests that arrived in the last seconds.
    Observed,
    /// A perfect forecast: the requests that will arrive within this window.
    Forecast(Duration),
}

/// Sums of prompt and output tokens, by failure domain and model.
type TokenSums = Vec<Vec<(u64, u64)>>;

/// Plans the roles of each failure domain independently.
#[derive(Debug)]
pub struct RoleController {
    planners: Vec<RolePlanner>,
    source: DemandSource,
    current_sums: TokenSums,
    recent_sums: VecDeque<TokenSums>,
}

impl RoleController {
    /// Makes planners that have recorded no demand.
    pub fn new(fleet: &FleetTable, settings: RoleSettings, source: DemandSource) -> Self {
        let planners = fleet.domains.iter().map(|_| RolePlanner::new(settings)).collect();
        Self { planners, source, current_sums: empty_sums(fleet), recent_sums: VecDeque::new() }
    }

    /// Records the arrival of a request, with its prompt tokens that aren't cached.
    pub fn record_arrival(&mut self, request: &ReplayRequest, prompt_tokens: u32) {
        let RequestTarget::Model(model) = request.target else { return };
        let sums = &mut self.current_sums[request.domain.index()][model.index()];
        sums.0 += u64::from(prompt_tokens);
        sums.1 += u64::from(request.output_tokens);
    }

    /// Returns the role changes to order now, at most one for each failure domain.
    pub fn plan(
        &mut self,
        now_us: u64,
        fleet: &FleetTable,
        engines: &[SimulatedEngine],
        requests: &[ReplayRequest],
    ) -> Vec<RoleChange> {
        let current_sums = std::mem::replace(&mut self.current_sums, empty_sums(fleet));
        self.recent_sums.push_back(current_sums);
        if self.recent_sums.len() > DEMAND_WINDOW_S {
            self.recent_sums.pop_front();
        }
        let now = Timestamp::from_millis(now_us / 1000);
        let domains: Vec<_> = fleet.domains.iter().map(|(key, _)| key).collect();
        domains
            .into_iter()
            .filter_map(|domain| {
                let demand = self.demand(now_us, domain, fleet, requests);
                let views = views(domain, fleet, engines);
                self.planners[domain.index()].plan(now, &demand, &views)
            })
            .collect()
    }

    fn demand(
        &self,
        now_us: u64,
        domain: DomainKey,
        fleet: &FleetTable,
        requests: &[ReplayRequest],
    ) -> Vec<ModelDemand> {
        let models = fleet.models.iter().map(|(key, _)| key);
        models
            .map(|model| {
                let (prompt, output, seconds) = match self.source {
                    DemandSource::Observed => self.observed_tokens(domain, model),
                    DemandSource::Forecast(window) => {
                        forecast_tokens(now_us, window, domain, model, requests)
                    }
                };
                ModelDemand {
                    model,
                    prompt_tokens_per_second: prompt as f64 / seconds,
                    output_tokens_per_second: output as f64 / seconds,
                }
            })
            .collect()
    }

    fn observed_tokens(&self, domain: DomainKey, model: ModelKey) -> (u64, u64, f64) {
        let sums = self.recent_sums.iter().map(|sums| sums[domain.index()][model.index()]);
        let (prompt, output) = sums.fold((0, 0), |sum, row| (sum.0 + row.0, sum.1 + row.1));
        (prompt, output, self.recent_sums.len().max(1) as f64)
    }
}

/// Sums the tokens of the requests that will arrive within the window. Shared
/// prefixes count as cached.
fn forecast_tokens(
    now_us: u64,
    window: Duration,
    domain: DomainKey,
    model: ModelKey,
    requests: &[ReplayRequest],
) -> (u64, u64, f64) {
    let end_us = now_us + window.as_micros() as u64;
    let first = requests.partition_point(|request| request.at_us < now_us);
    let upcoming = requests[first..].iter().take_while(|request| request.at_us < end_us);
    let matching = upcoming.filter(|request| {
        request.domain == domain && request.target == RequestTarget::Model(model)
    });
    let (prompt, output) = matching.fold((0, 0), |sum, request| {
        let cached = request.prefix.map_or(0, |(_, tokens)| tokens);
        let prompt = u64::from(request.prompt_tokens.saturating_sub(cached));
        (sum.0 + prompt, sum.1 + u64::from(request.output_tokens))
    });
    (prompt, output, window.as_secs_f64())
}

fn views(domain: DomainKey, fleet: &FleetTable, engines: &[SimulatedEngine]) -> Vec<RoleView> {
    let matching = fleet.engines.iter().filter(|(_, row)| row.domain == domain);
    matching.map(|(key, row)| view(key, domain, row.model, &engines[key.index()])).collect()
}

fn view(
    engine: EngineKey,
    domain: DomainKey,
    model: ModelKey,
    simulated: &SimulatedEngine,
) -> RoleView {
    let (running, queued) = simulated.sequence_counts();
    RoleView {
        engine,
        domain,
        model,
        role: simulated.role,
        accepting: simulated.accepts_requests(),
        has_pending_order: simulated.state != EngineState::Serving,
        running,
        queued,
        backlog_tokens: simulated.prefill_backlog(),
    }
}

fn empty_sums(fleet: &FleetTable) -> TokenSums {
    vec![vec![(0, 0); fleet.models.len()]; fleet.domains.len()]
}
