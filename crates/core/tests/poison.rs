//! Suspects, trials and quarantine of requests that crash engines, under arbitrary
//! interleavings. A trial runs a suspect request alone on a reserved engine.

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

const DAEMON_COUNT: usize = 3;
const ENGINE_COUNT: usize = 4;
const REQUEST_COUNT: usize = 10;
/// The request that crashes each engine that runs it.
const POISON_REQUEST: usize = 0;
const CASES: u32 = 1500;
/// Largest number of engines that one poison request may crash.
const CRASH_LIMIT: u32 = 2;
const TRIAL_DURATION: Duration = Duration::from_secs(60);
const NOW: Timestamp = Timestamp::from_millis(1_000_000);

/// One event of a generated sequence.
#[derive(Clone, Debug)]
enum PoisonStep {
    /// A daemon starts an idle request, or begins to request its trial.
    Start { request: usize, daemon: usize, engine: usize },
    /// A daemon that requests a trial reaches its next peer.
    RequestTrial { request: usize },
    /// An engine makes progress: it crashes, or one of its requests ends.
    Run { engine: usize, choice: usize },
}

fn step() -> impl Strategy<Value = PoisonStep> {
    prop_oneof![
        3 => (0..REQUEST_COUNT, 0..DAEMON_COUNT, 0..ENGINE_COUNT)
            .prop_map(|(request, daemon, engine)| PoisonStep::Start { request, daemon, engine }),
        4 => (0..REQUEST_COUNT).prop_map(|request| PoisonStep::RequestTrial { request }),
        2 => (0..ENGINE_COUNT, 0..REQUEST_COUNT)
            .prop_map(|(engine, choice)| PoisonStep::Run { engine, choice }),
    ]
}

#[derive(Clone, Debug, PartialEq)]
enum RequestState {
    /// No daemon runs the request; its caller may send it to any daemon.
    Idle,
    /// A daemon requests a trial; `granted` tables have granted it so far.
    RequestingTrial {
        daemon: usize,
        engine: usize,
        granted: usize,
    },
    Running {
        daemon: usize,
        engine: usize,
        on_trial: bool,
    },
}

/// A model of daemons that reach each other and of engines that crash when they run
/// the poison request.
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
            tables: vec![PoisonTable::default(); DAEMON_COUNT],
            requests: vec![RequestState::Idle; REQUEST_COUNT],
            crashes: 0,
        }
    }

    fn apply(&mut self, step: &PoisonStep) {
        match *step {
            PoisonStep::Start { request, daemon, engine } => self.start(request, daemon, engine),
            PoisonStep::RequestTrial { request } => self.request_trial(request),
            PoisonStep::Run { engine, choice } => self.run(engine, choice),
        }
    }

    fn start(&mut self, request: usize, daemon: usize, engine: usize) {
        if self.requests[request] != RequestState::Idle {
            return;
        }
        self.requests[request] = match self.tables[daemon].status(fingerprint(request), NOW) {
            PoisonStatus::Clear => RequestState::Running { daemon, engine, on_trial: false },
            PoisonStatus::Suspect => RequestState::RequestingTrial { daemon, engine, granted: 0 },
            PoisonStatus::Quarantined => RequestState::Idle,
        };
    }

    /// Requests the trial from the next table, beginning with the daemon's own.
    fn request_trial(&mut self, request: usize) {
        let RequestState::RequestingTrial { daemon, engine, granted } = self.requests[request]
        else {
            return;
        };
        let trial = trial(request, daemon, engine);
        let table = (daemon + granted) % DAEMON_COUNT;
        if !self.tables[table].begin_trial(trial.clone(), TRIAL_DURATION, NOW) {
            self.end_trial(&trial);
            self.requests[request] = RequestState::Idle;
        } else if granted + 1 == DAEMON_COUNT {
            self.requests[request] = RequestState::Running { daemon, engine, on_trial: true };
        } else {
            self.requests[request] =
                RequestState::RequestingTrial { daemon, engine, granted: granted + 1 };
        }
    }

    fn end_trial(&mut self, trial: &PoisonTrial) {
        self.tables.iter_mut().for_each(|table| table.end_trial(trial));
    }

    fn run(&mut self, engine: usize, choice: usize) {
        let running: Vec<usize> =
            (0..REQUEST_COUNT).filter(|it| self.engine_of(*it) == Some(engine)).collect();
        if running.contains(&POISON_REQUEST) {
            self.crashes += 1;
            running.into_iter().for_each(|request| self.end_crashed(request));
        } else if !running.is_empty() {
            self.end_completed(running[choice % running.len()]);
        }
    }

    fn engine_of(&self, request: usize) -> Option<usize> {
        match self.requests[request] {
            RequestState::Running { engine, .. } => Some(engine),
            _ => None,
        }
    }

    /// Records that a request's engine crashed.
    fn end_crashed(&mut self, request: usize) {
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

    /// Records that a request ended without a crash.
    fn end_completed(&mut self, request: usize) {
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
fn a_poison_request_crashes_at_most_two_engines_and_quarantines_no_other_request() {
    let steps = prop::collection::vec(step(), 0..300);
    runner()
        .run(&steps, |steps| {
            let mut fleet = FleetModel::new();
            for step in &steps {
                fleet.apply(step);
                prop_assert!(
                    fleet.crashes <= CRASH_LIMIT,
                    "the poison request crashed {} engines",
                    fleet.crashes
                );
                for engine in 0..ENGINE_COUNT {
                    prop_assert!(
                        fleet.trials_on(engine) <= 1,
                        "two suspects are on trial on one engine"
                    );
                }
                for table in &fleet.tables {
                    for request in (0..REQUEST_COUNT).filter(|request| *request != POISON_REQUEST) {
                        let status = table.status(fingerprint(request), NOW);
                        prop_assert_ne!(status, PoisonStatus::Quarantined);
                    }
                }
            }
            Ok(())
        })
        .expect("crashes stay within the limit and no other request is quarantined");
}

#[test]
fn suspects_and_quarantined_requests_expire() {
    let mut table = PoisonTable::default();
    table.suspect(fingerprint(1), NOW);
    table.quarantine(fingerprint(2), NOW + QUARANTINE_DURATION, NOW);
    assert_eq!(table.status(fingerprint(1), NOW), PoisonStatus::Suspect);
    assert_eq!(table.status(fingerprint(1), NOW + SUSPECT_DURATION), PoisonStatus::Clear);
    assert_eq!(table.status(fingerprint(2), NOW + SUSPECT_DURATION), PoisonStatus::Quarantined);
    assert_eq!(table.status(fingerprint(2), NOW + QUARANTINE_DURATION), PoisonStatus::Clear);
}

#[test]
fn late_updates_do_not_end_a_quarantine() {
    let mut table = PoisonTable::default();
    assert!(table.quarantine(fingerprint(1), NOW + QUARANTINE_DURATION, NOW));
    table.suspect(fingerprint(1), NOW);
    table.clear(fingerprint(1), NOW);
    assert_eq!(table.status(fingerprint(1), NOW), PoisonStatus::Quarantined);
    assert!(!table.quarantine(fingerprint(1), NOW + QUARANTINE_DURATION, NOW));
    assert!(!table.begin_trial(trial(1, 0, 0), TRIAL_DURATION, NOW));
}

#[test]
fn the_trial_of_a_daemon_that_died_expires() {
    let mut table = PoisonTable::default();
    assert!(table.begin_trial(trial(1, 0, 0), TRIAL_DURATION, NOW));
    assert!(!table.begin_trial(trial(2, 1, 0), TRIAL_DURATION, NOW));
    assert!(table.is_on_trial(&SmolStr::new("engine-0"), NOW));
    assert!(table.begin_trial(trial(2, 1, 0), TRIAL_DURATION, NOW + TRIAL_DURATION));
}

#[test]
fn many_suspects_do_not_displace_a_quarantined_request() {
    let mut table = PoisonTable::default();
    table.quarantine(RequestFingerprint(u64::MAX), NOW + QUARANTINE_DURATION, NOW);
    for request in 0..10_000 {
        table.suspect(fingerprint(request), NOW);
    }
    let status = table.status(RequestFingerprint(u64::MAX), NOW);
    assert_eq!(status, PoisonStatus::Quarantined);
    assert_eq!(table.quarantined(NOW).len(), 1);
}
