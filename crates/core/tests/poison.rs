//! Suspicion, trials and convictions under arbitrary interleavings.

use std::time::Duration;

use gooseberry_core::{
    poison::{
        PoisonStatus, PoisonTable, PoisonTrial, RequestFingerprint, QUARANTINE_DURATION,
        SUSPECT_DURATION,
    },
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use smol_str::SmolStr;

const DAEMONS: usize = 3;
const ENGINES: usize = 4;
const REQUESTS: usize = 10;
/// Request that crashes each engine that runs it.
const POISON: usize = 0;
const CASES: u32 = 1500;
/// Engines that one poison request may cost.
const LOSS_LIMIT: u32 = 2;
const TRIAL_SPAN: Duration = Duration::from_secs(60);
const NOW: Timestamp = Timestamp::from_millis(1_000_000);

/// What may happen next.
#[derive(Clone, Debug)]
enum PoisonStep {
    /// A daemon starts a request that doesn't run, or asks for its trial.
    Start { request: usize, daemon: usize, engine: usize },
    /// A daemon that asks for a trial reaches its next peer.
    Ask { request: usize },
    /// An engine makes progress: it crashes, or a request there ends.
    Run { engine: usize, choice: usize },
}

fn step() -> impl Strategy<Value = PoisonStep> {
    prop_oneof![
        3 => (0..REQUESTS, 0..DAEMONS, 0..ENGINES)
            .prop_map(|(request, daemon, engine)| PoisonStep::Start { request, daemon, engine }),
        4 => (0..REQUESTS).prop_map(|request| PoisonStep::Ask { request }),
        2 => (0..ENGINES, 0..REQUESTS)
            .prop_map(|(engine, choice)| PoisonStep::Run { engine, choice }),
    ]
}

#[derive(Clone, Debug, PartialEq)]
enum RequestState {
    /// No daemon runs it; its caller may send it, to any daemon.
    Idle,
    /// A daemon asks for a trial and has reached some peers.
    Asking {
        daemon: usize,
        engine: usize,
        asked: usize,
    },
    Running {
        daemon: usize,
        engine: usize,
        on_trial: bool,
    },
}

/// Daemons that reach each other, and engines that crash on the poison.
struct FleetModel {
    tables: Vec<PoisonTable>,
    requests: Vec<RequestState>,
    crashes: u32,
}

fn fingerprint(request: usize) -> RequestFingerprint {
    RequestFingerprint(request as u64)
}

fn trial(request: usize, daemon: usize, engine: usize) -> PoisonTrial {
    PoisonTrial {
        fingerprint: fingerprint(request),
        engine: smol_str::format_smolstr!("engine-{engine}"),
        holder: smol_str::format_smolstr!("daemon-{daemon}"),
    }
}

impl FleetModel {
    fn new() -> Self {
        Self {
            tables: vec![PoisonTable::default(); DAEMONS],
            requests: vec![RequestState::Idle; REQUESTS],
            crashes: 0,
        }
    }

    fn apply(&mut self, step: &PoisonStep) {
        match *step {
            PoisonStep::Start { request, daemon, engine } => self.start(request, daemon, engine),
            PoisonStep::Ask { request } => self.ask(request),
            PoisonStep::Run { engine, choice } => self.run(engine, choice),
        }
    }

    fn start(&mut self, request: usize, daemon: usize, engine: usize) {
        if self.requests[request] != RequestState::Idle {
            return;
        }
        self.requests[request] = match self.tables[daemon].status(fingerprint(request), NOW) {
            PoisonStatus::Clear => RequestState::Running { daemon, engine, on_trial: false },
            PoisonStatus::Suspect => RequestState::Asking { daemon, engine, asked: 0 },
            PoisonStatus::Quarantined => RequestState::Idle,
        };
    }

    /// Asks one table more; the daemon's own is the first.
    fn ask(&mut self, request: usize) {
        let RequestState::Asking { daemon, engine, asked } = self.requests[request] else { return };
        let trial = trial(request, daemon, engine);
        let table = (daemon + asked) % DAEMONS;
        if !self.tables[table].begin_trial(trial.clone(), TRIAL_SPAN, NOW) {
            self.end_trial(&trial);
            self.requests[request] = RequestState::Idle;
        } else if asked + 1 == DAEMONS {
            self.requests[request] = RequestState::Running { daemon, engine, on_trial: true };
        } else {
            self.requests[request] = RequestState::Asking { daemon, engine, asked: asked + 1 };
        }
    }

    fn end_trial(&mut self, trial: &PoisonTrial) {
        self.tables.iter_mut().for_each(|table| table.end_trial(trial));
    }

    fn run(&mut self, wanted: usize, choice: usize) {
        let here: Vec<usize> =
            (0..REQUESTS).filter(|it| self.engine_of(*it) == Some(wanted)).collect();
        if here.contains(&POISON) {
            self.crashes += 1;
            here.into_iter().for_each(|request| self.lose(request));
        } else if !here.is_empty() {
            self.complete(here[choice % here.len()]);
        }
    }

    fn engine_of(&self, request: usize) -> Option<usize> {
        match self.requests[request] {
            RequestState::Running { engine, .. } => Some(engine),
            _ => None,
        }
    }

    fn lose(&mut self, request: usize) {
        let state = std::mem::replace(&mut self.requests[request], RequestState::Idle);
        let RequestState::Running { daemon, engine, on_trial } = state else { return };
        for table in &mut self.tables {
            if on_trial {
                table.quarantine(fingerprint(request), NOW + QUARANTINE_DURATION, NOW);
            } else {
                table.suspect(fingerprint(request), NOW);
            }
        }
        self.end_trial(&trial(request, daemon, engine));
    }

    fn complete(&mut self, request: usize) {
        let state = std::mem::replace(&mut self.requests[request], RequestState::Idle);
        let RequestState::Running { daemon, engine, .. } = state else { return };
        self.tables.iter_mut().for_each(|table| table.clear(fingerprint(request), NOW));
        self.end_trial(&trial(request, daemon, engine));
    }

    fn trials_on(&self, engine: usize) -> usize {
        let on_trial = |state: &&RequestState| {
            matches!(state, RequestState::Running { engine: other, on_trial: true, .. }
                if *other == engine)
        };
        self.requests.iter().filter(on_trial).count()
    }
}

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn a_poison_request_costs_two_engines_at_most_and_convicts_no_other() {
    let steps = prop::collection::vec(step(), 0..300);
    runner()
        .run(&steps, |steps| {
            let mut fleet = FleetModel::new();
            for step in &steps {
                fleet.apply(step);
                prop_assert!(fleet.crashes <= LOSS_LIMIT, "{} engines lost", fleet.crashes);
                for engine in 0..ENGINES {
                    prop_assert!(fleet.trials_on(engine) <= 1, "two suspects on an engine");
                }
                for table in &fleet.tables {
                    for request in (0..REQUESTS).filter(|request| *request != POISON) {
                        let verdict = table.status(fingerprint(request), NOW);
                        prop_assert_ne!(verdict, PoisonStatus::Quarantined);
                    }
                }
            }
            Ok(())
        })
        .expect("the property holds");
}

#[test]
fn suspicions_and_convictions_expire() {
    let mut table = PoisonTable::default();
    table.suspect(fingerprint(1), NOW);
    table.quarantine(fingerprint(2), NOW + QUARANTINE_DURATION, NOW);
    assert_eq!(table.status(fingerprint(1), NOW), PoisonStatus::Suspect);
    assert_eq!(table.status(fingerprint(1), NOW + SUSPECT_DURATION), PoisonStatus::Clear);
    assert_eq!(table.status(fingerprint(2), NOW + SUSPECT_DURATION), PoisonStatus::Quarantined);
    assert_eq!(table.status(fingerprint(2), NOW + QUARANTINE_DURATION), PoisonStatus::Clear);
}

#[test]
fn a_conviction_stands_against_late_notices() {
    let mut table = PoisonTable::default();
    assert!(table.quarantine(fingerprint(1), NOW + QUARANTINE_DURATION, NOW));
    table.suspect(fingerprint(1), NOW);
    table.clear(fingerprint(1), NOW);
    assert_eq!(table.status(fingerprint(1), NOW), PoisonStatus::Quarantined);
    assert!(!table.quarantine(fingerprint(1), NOW + QUARANTINE_DURATION, NOW));
    assert!(!table.begin_trial(trial(1, 0, 0), TRIAL_SPAN, NOW));
}

#[test]
fn the_trial_of_a_daemon_that_died_ends_by_itself() {
    let mut table = PoisonTable::default();
    assert!(table.begin_trial(trial(1, 0, 0), TRIAL_SPAN, NOW));
    assert!(!table.begin_trial(trial(2, 1, 0), TRIAL_SPAN, NOW));
    assert!(table.is_on_trial(&SmolStr::new("engine-0"), NOW));
    assert!(table.begin_trial(trial(2, 1, 0), TRIAL_SPAN, NOW + TRIAL_SPAN));
}

#[test]
fn convictions_outlive_a_flood_of_suspects() {
    let mut table = PoisonTable::default();
    table.quarantine(RequestFingerprint(u64::MAX), NOW + QUARANTINE_DURATION, NOW);
    for request in 0..10_000 {
        table.suspect(fingerprint(request), NOW);
    }
    let verdict = table.status(RequestFingerprint(u64::MAX), NOW);
    assert_eq!(verdict, PoisonStatus::Quarantined);
    assert_eq!(table.quarantined(NOW).len(), 1);
}
