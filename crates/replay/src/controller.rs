//! One role planner for each failure domain, with the demand that it sees.

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

/// Seconds of arrivals that the daemons sum for the steward.
const DEMAND_WINDOW_S: usize = 5;

/// Says where the demand that is planned for comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandSource {
    /// What arrived in the last seconds.
    Observed,
    /// What will arrive in this span: a perfect forecast.
    Forecast(Duration),
}

/// Sums of tokens, by failure domain and model.
type TokenSums = Vec<Vec<(u64, u64)>>;

/// Plans the roles of all failure domains, each for itself.
#[derive(Debug)]
pub struct RoleController {
    planners: Vec<RolePlanner>,
    source: DemandSource,
    arriving: TokenSums,
    arrived: VecDeque<TokenSums>,
}

impl RoleController {
    /// Makes planners that have seen nothing.
    pub fn new(fleet: &FleetTable, settings: RoleSettings, source: DemandSource) -> Self {
        let planners = fleet.domains.iter().map(|_| RolePlanner::new(settings)).collect();
        Self { planners, source, arriving: empty_sums(fleet), arrived: VecDeque::new() }
    }

    /// Notes a request that arrived, with its prompt tokens that aren't cached.
    pub fn record_arrival(&mut self, request: &ReplayRequest, prompt_tokens: u32) {
        let RequestTarget::Model(model) = request.target else { return };
        let sums = &mut self.arriving[request.domain.index()][model.index()];
        sums.0 += u64::from(prompt_tokens);
        sums.1 += u64::from(request.output_tokens);
    }

    /// Returns the changes to order now, at most one for each failure domain.
    pub fn plan(
        &mut self,
        now_us: u64,
        fleet: &FleetTable,
        engines: &[SimulatedEngine],
        requests: &[ReplayRequest],
    ) -> Vec<RoleChange> {
        let arriving = std::mem::replace(&mut self.arriving, empty_sums(fleet));
        self.arrived.push_back(arriving);
        if self.arrived.len() > DEMAND_WINDOW_S {
            self.arrived.pop_front();
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
                    DemandSource::Observed => self.arrived_tokens(domain, model),
                    DemandSource::Forecast(span) => {
                        coming_tokens(now_us, span, domain, model, requests)
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

    fn arrived_tokens(&self, domain: DomainKey, model: ModelKey) -> (u64, u64, f64) {
        let sums = self.arrived.iter().map(|sums| sums[domain.index()][model.index()]);
        let (prompt, output) = sums.fold((0, 0), |sum, row| (sum.0 + row.0, sum.1 + row.1));
        (prompt, output, self.arrived.len().max(1) as f64)
    }
}

/// Sums the tokens of the requests that will arrive; shared prefixes count as cached.
fn coming_tokens(
    now_us: u64,
    span: Duration,
    domain: DomainKey,
    model: ModelKey,
    requests: &[ReplayRequest],
) -> (u64, u64, f64) {
    let end_us = now_us + span.as_micros() as u64;
    let first = requests.partition_point(|request| request.at_us < now_us);
    let coming = requests[first..].iter().take_while(|request| request.at_us < end_us);
    let ours = coming.filter(|request| {
        request.domain == domain && request.target == RequestTarget::Model(model)
    });
    let (prompt, output) = ours.fold((0, 0), |sum, request| {
        let cached = request.prefix.map_or(0, |(_, tokens)| tokens);
        let prompt = u64::from(request.prompt_tokens.saturating_sub(cached));
        (sum.0 + prompt, sum.1 + u64::from(request.output_tokens))
    });
    (prompt, output, span.as_secs_f64())
}

fn views(domain: DomainKey, fleet: &FleetTable, engines: &[SimulatedEngine]) -> Vec<RoleView> {
    let ours = fleet.engines.iter().filter(|(_, row)| row.domain == domain);
    ours.map(|(key, row)| view(key, domain, row.model, &engines[key.index()])).collect()
}

fn view(engine: EngineKey, domain: DomainKey, model: ModelKey, fake: &SimulatedEngine) -> RoleView {
    let (running, queued) = fake.sequence_counts();
    RoleView {
        engine,
        domain,
        model,
        role: fake.role,
        accepting: fake.accepts_requests(),
        has_pending_order: fake.state != EngineState::Serving,
        running,
        queued,
        backlog_tokens: fake.prefill_backlog(),
    }
}

fn empty_sums(fleet: &FleetTable) -> TokenSums {
    vec![vec![(0, 0); fleet.models.len()]; fleet.domains.len()]
}
