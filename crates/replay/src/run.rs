//! The event loop of a replay: processes events in order of simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use gooseberry_core::{
    arena::{ArenaKey, EngineKey, ModelKey},
    fleet::{FleetTable, ObjectiveWeight},
    roles::{
        utility::{PhaseCosts, StepTiming},
        RolePolicy, RoleSettings,
    },
};
use gooseberry_wire::trace::FleetEventKind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    controller::{DemandSource, RoleController},
    engine::{EngineSequence, EngineSettings, SequenceEvent, SimulatedEngine},
    health::{EngineHealth, HealthSignal},
    report::{ReplayReport, ReplayStatistics, RoleRow, RunLabel},
    requests::{
        self, FailureKind, RefusalKind, ReplayOutcome, ReplayRequest, RequestKey, RequestTarget,
    },
    router::{LoadRow, ReplayRouter},
    trace::ReplayTrace,
};

/// Time between two load reports of an engine.
const REPORT_INTERVAL_US: u64 = 100_000;
/// Age of load reports when they reach the router.
const REPORT_LAG_US: u64 = 200_000;
/// Time between two checks of the engines' health and plans of their roles.
const PLANNING_INTERVAL_US: u64 = 1_000_000;
/// Duration of a call to a plain service.
const PLAIN_CALL_US: u64 = 20_000;
/// Fixed part of the time that the transfer of a KV cache to another engine takes.
const IMPORT_BASE_US: u64 = 2_000;
/// Part of that transfer time for each prompt token.
const IMPORT_US_PER_TOKEN: u64 = 2;

/// Holds the settings of a replay.
#[derive(Clone, Copy, Debug)]
pub struct ReplayOptions {
    pub policy: RolePolicy,
    pub objective: ObjectiveWeight,
    pub seed: u64,
    pub engine: EngineSettings,
    pub demand_source: DemandSource,
    pub health_signal: HealthSignal,
}

impl ReplayOptions {
    /// Makes options with default engines, observed demand and no health signal.
    pub fn new(policy: RolePolicy, objective: ObjectiveWeight, seed: u64) -> Self {
        Self {
            policy,
            objective,
            seed,
            engine: default_engine(),
            demand_source: DemandSource::Observed,
            health_signal: HealthSignal::None,
        }
    }
}

/// Returns settings with steps ten times as long as those of the stand-in
/// engine, which corresponds to a large model.
pub fn default_engine() -> EngineSettings {
    EngineSettings {
        step: StepTiming {
            base: Duration::from_millis(20),
            per_sequence: Duration::from_micros(300),
            per_prompt_token: Duration::from_micros(200),
            ..StepTiming::default()
        },
        kv_pieces: 16_384,
        role_change_us: 3_000_000,
    }
}

/// Names an event of the replay. Numbers are indexes of requests, fleet events or engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplayEvent {
    Arrival(u32),
    Fleet(u32),
    Submit { engine: u32, sequence: u32 },
    StepEnd(u32),
    ChangeEnd(u32),
    PlainEnd(u32),
    Report,
    Plan,
}

/// Holds the state of a running replay.
struct ReplayRun<'a> {
    options: ReplayOptions,
    fleet: &'a FleetTable,
    trace: &'a ReplayTrace,
    now_us: u64,
    /// Number of scheduled events, which orders events that are due at the same time.
    event_count: u64,
    events: BinaryHeap<Reverse<(u64, u64, ReplayEvent)>>,
    requests: Vec<ReplayRequest>,
    open_requests: usize,
    engines: Vec<SimulatedEngine>,
    health: Vec<EngineHealth>,
    bad_since_us: Vec<Option<u64>>,
    /// Load reports of all engines that haven't reached the router yet, with their due times.
    reports: VecDeque<(u64, Vec<LoadRow>)>,
    /// Sequences that were sent to an engine and haven't reached it yet.
    in_transit: Vec<Option<EngineSequence>>,
    router: ReplayRouter<'a>,
    controller: RoleController,
    statistics: ReplayStatistics,
    random: ChaCha8Rng,
}

/// Replays a trace against a fleet and returns the report.
pub fn run(options: ReplayOptions, fleet: &FleetTable, trace: &ReplayTrace) -> ReplayReport {
    let mut run = ReplayRun::new(options, fleet, trace);
    while run.open_requests > 0 {
        let Some(Reverse((at_us, _, event))) = run.events.pop() else { break };
        run.now_us = at_us;
        run.handle(event);
    }
    let name = RunLabel {
        policy: options.policy.to_string(),
        objective: options.objective.to_string(),
        seed: options.seed,
    };
    ReplayReport::new(name, &run.requests, &run.statistics)
}

impl<'a> ReplayRun<'a> {
    fn new(options: ReplayOptions, fleet: &'a FleetTable, trace: &'a ReplayTrace) -> Self {
        let costs = PhaseCosts::from_step(&options.engine.step);
        let change_time = Duration::from_micros(options.engine.role_change_us);
        let settings = RoleSettings {
            costs,
            ..RoleSettings::new(options.policy, options.objective, change_time)
        };
        let requests = requests::resolve(&trace.requests, fleet);
        let engines = fleet.engines.iter().map(|(_, row)| {
            let mut engine = SimulatedEngine::new(row.role, options.engine);
            engine.withdrawn = row.withdrawn;
            engine
        });
        let count = fleet.engines.len();
        let mut run = Self {
            options,
            fleet,
            trace,
            now_us: 0,
            event_count: 0,
            events: BinaryHeap::new(),
            open_requests: requests.len(),
            requests,
            engines: engines.collect(),
            health: vec![EngineHealth::default(); count],
            bad_since_us: vec![None; count],
            reports: VecDeque::new(),
            in_transit: Vec::new(),
            router: ReplayRouter::new(fleet, &options.engine.step),
            controller: RoleController::new(fleet, settings, options.demand_source),
            statistics: ReplayStatistics::default(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
        };
        run.schedule_start();
        run
    }

    fn schedule_start(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].at_us, ReplayEvent::Arrival(index as u32));
        }
        for (index, event) in self.trace.events.iter().enumerate() {
            let at_us = event.at_ms * 1000;
            self.event_count += 1;
            self.events.push(Reverse((at_us, self.event_count, ReplayEvent::Fleet(index as u32))));
        }
        self.schedule(0, ReplayEvent::Report);
        self.schedule(PLANNING_INTERVAL_US, ReplayEvent::Plan);
    }

    fn schedule(&mut self, at_us: u64, event: ReplayEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrival(index) => self.arrive(RequestKey(index)),
            ReplayEvent::Fleet(index) => self.apply_fleet_event(index as usize),
            ReplayEvent::Submit { engine, sequence } => self.submit(engine, sequence),
            ReplayEvent::StepEnd(engine) => self.end_step(engine as usize),
            ReplayEvent::ChangeEnd(engine) => {
                self.engines[engine as usize].finish_role_change();
                self.wake(engine as usize);
            }
            ReplayEvent::PlainEnd(request) => {
                self.end(RequestKey(request), ReplayOutcome::Completed)
            }
            ReplayEvent::Report => self.report(),
            ReplayEvent::Plan => self.plan_roles(),
        }
    }

    fn arrive(&mut self, key: RequestKey) {
        let request = &self.requests[key.0 as usize];
        match request.target {
            RequestTarget::Plain if request.has_plain_server => {
                self.schedule(self.now_us + PLAIN_CALL_US, ReplayEvent::PlainEnd(key.0));
            }
            RequestTarget::Plain => {
                self.end(key, ReplayOutcome::Refused(RefusalKind::NoBackend));
            }
            RequestTarget::Unknown => {
                self.end(key, ReplayOutcome::Refused(RefusalKind::UnknownService));
            }
            RequestTarget::Model(model) => self.route(key, model),
        }
    }

    fn route(&mut self, key: RequestKey, model: ModelKey) {
        let request = &self.requests[key.0 as usize];
        let routed = self.router.route(self.now_us, request, model, &self.engines);
        let cached = match &routed {
            Ok(placement) => placement.cached_tokens,
            Err(_) => request.prefix.map_or(0, |(_, tokens)| tokens),
        };
        self.controller.record_arrival(request, request.prompt_tokens.saturating_sub(cached));
        let placement = match routed {
            Ok(placement) => placement,
            Err(kind) => return self.end(key, ReplayOutcome::Refused(kind)),
        };
        let mut sequence = EngineSequence::new(key, request.prompt_tokens, request.output_tokens);
        sequence.prefix = request.prefix;
        sequence.deadline_us = request.deadline_us;
        sequence.is_batch = request.is_batch;
        sequence.export_after_prefill = self.router.splits_request(placement.engine, &self.engines);
        self.statistics.cross_region_bytes += placement.cross_region_bytes;
        let latency_us = placement.latency.as_micros() as u64;
        self.send(sequence, placement.engine, latency_us);
    }

    fn send(&mut self, sequence: EngineSequence, engine: EngineKey, after_us: u64) {
        self.in_transit.push(Some(sequence));
        let sequence = self.in_transit.len() as u32 - 1;
        let event = ReplayEvent::Submit { engine: engine.index() as u32, sequence };
        self.schedule(self.now_us + after_us, event);
    }

    fn submit(&mut self, engine: u32, sequence: u32) {
        let Some(sequence) = self.in_transit[sequence as usize].take() else { return };
        let simulated = &mut self.engines[engine as usize];
        if !sequence.imported {
            self.statistics.prompt_tokens += u64::from(sequence.prompt_tokens);
            let hit =
                simulated.cached_tokens(sequence.prefix, self.now_us).min(sequence.prompt_tokens);
            self.statistics.cached_tokens += u64::from(hit);
        }
        simulated.submit(sequence);
        self.wake(engine as usize);
    }

    /// Begins a step, or a due role change, if no step is running.
    fn wake(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        if simulated.stepping {
            return;
        }
        if let Some(step_us) = simulated.begin_step() {
            self.schedule(self.now_us + step_us, ReplayEvent::StepEnd(engine as u32));
        } else if let Some(role_change_us) = simulated.begin_role_change() {
            self.schedule(self.now_us + role_change_us, ReplayEvent::ChangeEnd(engine as u32));
        }
    }

    fn end_step(&mut self, engine: usize) {
        for event in self.engines[engine].finish_step(self.now_us) {
            match event {
                SequenceEvent::FirstToken(key) => {
                    let waited = self.now_us - self.requests[key.0 as usize].at_us;
                    record(&mut self.statistics.first_token_us, waited);
                }
                SequenceEvent::Token(gap_us) => {
                    record(&mut self.statistics.between_tokens_us, gap_us);
                }
                SequenceEvent::Exported(sequence) => self.hand_off(engine, sequence),
                SequenceEvent::Completed(key) => self.finish(engine, key),
                SequenceEvent::DeadlinePassed(key) => {
                    self.end(key, ReplayOutcome::Failed(FailureKind::DeadlinePassed));
                }
            }
        }
        self.wake(engine);
    }

    /// Sends a sequence to a decode engine after its prefill, or to its own
    /// engine if no decode engine is available.
    fn hand_off(&mut self, engine: usize, mut sequence: EngineSequence) {
        let row = &self.fleet.engines[EngineKey::from_index(engine)];
        let (model, domain) = (row.model, row.domain);
        let left = sequence.output_left;
        let target = self.router.route_decode(model, domain, left, &self.engines);
        let target = target.unwrap_or(EngineKey::from_index(engine));
        sequence.imported = true;
        sequence.export_after_prefill = false;
        let moved_us = IMPORT_BASE_US + IMPORT_US_PER_TOKEN * u64::from(sequence.prompt_tokens);
        self.send(sequence, target, moved_us);
    }

    fn finish(&mut self, engine: usize, key: RequestKey) {
        let share = self.engines[engine].failure_share;
        let failed = share > 0.0 && self.random.random_bool(share);
        let outcome = match failed {
            true => ReplayOutcome::Failed(FailureKind::BackendFailed),
            false => ReplayOutcome::Completed,
        };
        self.end(key, outcome);
        self.health[engine].record(self.now_us, failed);
    }

    fn end(&mut self, key: RequestKey, outcome: ReplayOutcome) {
        let request = &mut self.requests[key.0 as usize];
        if request.outcome.is_none() {
            request.outcome = Some(outcome);
            self.open_requests -= 1;
        }
    }

    fn apply_fleet_event(&mut self, index: usize) {
        let event = &self.trace.events[index];
        let found = self.fleet.engines.find(|row| row.name == event.engine);
        let Some((key, _)) = found else { return };
        let engine = &mut self.engines[key.index()];
        match event.event {
            FleetEventKind::Withdraw => engine.withdrawn = true,
            FleetEventKind::Restore => engine.withdrawn = false,
            FleetEventKind::BadVersion => {
                engine.failure_share = event.failure_share;
                self.bad_since_us[key.index()] = Some(self.now_us);
            }
            FleetEventKind::GoodVersion => {
                engine.failure_share = 0.0;
                self.bad_since_us[key.index()] = None;
            }
        }
    }

    /// Delivers the due load reports to the router and records new ones.
    fn report(&mut self) {
        let rows = self.engines.iter().map(LoadRow::from_engine).collect();
        self.reports.push_back((self.now_us + REPORT_LAG_US, rows));
        while self.reports.front().is_some_and(|(due_us, _)| *due_us <= self.now_us) {
            if let Some((_, rows)) = self.reports.pop_front() {
                self.router.update_loads(rows);
            }
        }
        self.schedule(self.now_us + REPORT_INTERVAL_US, ReplayEvent::Report);
    }

    fn plan_roles(&mut self) {
        self.check_health();
        let changes = self.controller.plan(self.now_us, self.fleet, &self.engines, &self.requests);
        for change in changes {
            self.statistics.role_changes.push(RoleRow {
                at_ms: self.now_us / 1000,
                engine: self.fleet.engines[change.engine].name.to_string(),
                from: self.engines[change.engine.index()].role.to_string(),
                to: change.role.to_string(),
            });
            self.engines[change.engine.index()].start_role_change(change.role);
            self.wake(change.engine.index());
        }
        self.schedule(self.now_us + PLANNING_INTERVAL_US, ReplayEvent::Plan);
    }

    /// Ejects or readmits engines according to the health signal.
    fn check_health(&mut self) {
        for index in 0..self.engines.len() {
            let ejected = self.health[index].is_ejected(self.now_us, self.options.health_signal);
            if ejected && !self.router.ejected[index] {
                match self.bad_since_us[index] {
                    Some(since_us) => {
                        let after_ms = (self.now_us - since_us) / 1000;
                        self.statistics.ejected_after_ms.get_or_insert(after_ms);
                    }
                    None => self.statistics.false_ejections += 1,
                }
            }
            self.router.ejected[index] = ejected;
        }
    }
}

fn record(histogram: &mut hdrhistogram::Histogram<u64>, duration_us: u64) {
    // Recording can't fail, since the histogram resizes itself for any duration.
    let _ = histogram.record(duration_us);
}
