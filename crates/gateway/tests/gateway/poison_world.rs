//! Simulated daemons and engines, without a network: requests with a crashing part at different
//! rates, ordinary crashes of many engines at once, and news that takes time.

use gooseberry_core::{
    serving::{
        part_evidence::{EngineIncarnation, PartVerdict},
        prompt::PartFingerprint,
    },
    time::Timestamp,
};
use gooseberry_gateway::{
    state::{DoubtfulEnd, GatewayState},
    updates::SendUpdate,
};

/// Time after the fifth crash from which sends of poison requests count, and how many may reach
/// engines.
const CONVICTION_LIMIT_MS: u64 = 3000;
const LATE_SEND_LIMIT: usize = 3;
/// Time from a crash until a daemon that was interrupted by it knows that the engine has ended.
const PROBE_MS: u64 = 120;
/// Time for which a crashed engine is down.
const RESTART_MS: u64 = 4000;
/// Number of first and second parts of sound requests.
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 8;
const POISON: PartFingerprint = PartFingerprint(999);

/// Deterministic random numbers, so that a seed plays the same world each time.
struct WorldRandom(u64);

impl WorldRandom {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    /// Returns true on average `per_second` times in 1000 calls.
    fn happens(&mut self, per_second: f64) -> bool {
        (self.below(1_000_000) as f64) < per_second * 1000.0
    }
}

#[derive(Clone)]
struct RunningRequest {
    daemon: usize,
    engine: usize,
    number: u64,
    parts: Vec<PartFingerprint>,
    ends_at: u64,
    is_trial: bool,
}

/// Options of a simulated load.
#[derive(Clone, Copy)]
struct WorldLoad {
    daemons: usize,
    engines: usize,
    news_ms: u64,
    sound_per_second: f64,
    poison_per_second: f64,
    /// Time between two ordinary crashes of half of the engines, if there are any.
    outage_interval_ms: Option<u64>,
}

struct PoisonWorld {
    load: WorldLoad,
    random: WorldRandom,
    states: Vec<GatewayState>,
    /// Start of each engine's current incarnation, or the end of its downtime.
    engines: Vec<(EngineIncarnation, u64)>,
    running: Vec<RunningRequest>,
    news: Vec<(u64, usize, Vec<SendUpdate>)>,
    /// Probes by their end, with their daemons, engines and the trials that caused them.
    probes: Vec<(u64, usize, EngineIncarnation, Option<u64>)>,
    next_number: u64,
    poison_sends: Vec<u64>,
    poison_crashes: Vec<u64>,
    /// Times of sound requests, and whether they were admitted.
    sound: Vec<(u64, bool)>,
}

fn at(now_ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + now_ms)
}

impl PoisonWorld {
    fn new(load: WorldLoad, seed: u64) -> Self {
        Self {
            load,
            random: WorldRandom(seed),
            states: (0..load.daemons).map(|daemon| GatewayState::new(daemon as u64 + 1)).collect(),
            engines: (0..load.engines)
                .map(|engine| (EngineIncarnation(engine as u64), 0))
                .collect(),
            running: Vec::new(),
            news: Vec::new(),
            probes: Vec::new(),
            next_number: 1000,
            poison_sends: Vec::new(),
            poison_crashes: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in from_ms..until_ms {
            self.deliver(now_ms);
            self.end_requests(now_ms);
            if self
                .load
                .outage_interval_ms
                .is_some_and(|interval| now_ms % interval == interval - 1)
            {
                for engine in 0..self.load.engines / 2 {
                    self.crash(engine, now_ms);
                }
            }
            if self.random.happens(self.load.sound_per_second) {
                let first = PartFingerprint(1 + self.random.below(FIRST_PARTS));
                let second = PartFingerprint(100 + self.random.below(SECOND_PARTS));
                let duration_ms = 100 + self.random.below(700);
                let is_sent = self.send(vec![first, second], duration_ms, now_ms);
                self.sound.push((now_ms, is_sent));
            }
            if now_ms > 3000 && self.random.happens(self.load.poison_per_second) {
                let duration_ms = 20 + self.random.below(100);
                self.send(vec![PartFingerprint(1), POISON], duration_ms, now_ms);
            }
            for daemon in 0..self.states.len() {
                let updates = self.states[daemon].take_updates();
                if !updates.is_empty() {
                    self.news.push((now_ms + self.load.news_ms, daemon, updates));
                }
            }
        }
    }

    /// Sends a request to a random engine that is up, if there is one and its daemon admits the
    /// request. Returns whether it does.
    fn send(&mut self, parts: Vec<PartFingerprint>, duration_ms: u64, now_ms: u64) -> bool {
        let daemon = self.random.below(self.states.len() as u64) as usize;
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|engine| self.engines[*engine].1 <= now_ms).collect();
        let number = self.next_number;
        self.next_number += 1;
        let verdict = self.states[daemon].admit_parts(&parts, number, at(now_ms));
        if matches!(verdict, PartVerdict::Refused(_)) {
            return false;
        }
        let is_trial = verdict == PartVerdict::Trial;
        if up.is_empty() {
            if is_trial {
                self.states[daemon].end_part_trial(number);
            }
            return true;
        }
        if parts.contains(&POISON) {
            self.poison_sends.push(now_ms);
        }
        let engine = up[self.random.below(up.len() as u64) as usize];
        let ends_at = now_ms + duration_ms;
        self.running.push(RunningRequest { daemon, engine, number, parts, ends_at, is_trial });
        true
    }

    fn end_requests(&mut self, now_ms: u64) {
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|request| request.ends_at <= now_ms);
        self.running = running;
        for request in ended {
            if request.parts.contains(&POISON) {
                self.poison_crashes.push(now_ms);
                self.interrupt(&request, now_ms);
                self.crash(request.engine, now_ms);
            } else {
                let state = &mut self.states[request.daemon];
                state.complete_parts(&request.parts, at(now_ms));
                if request.is_trial {
                    state.end_part_trial(request.number);
                }
            }
        }
    }

    /// Ends an engine with all its requests; it is back later.
    fn crash(&mut self, engine: usize, now_ms: u64) {
        let (hit, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|request| request.engine == engine);
        self.running = running;
        for request in &hit {
            self.interrupt(request, now_ms);
        }
        self.next_number += 1;
        self.engines[engine] = (EngineIncarnation(self.next_number), now_ms + RESTART_MS);
    }

    fn interrupt(&mut self, request: &RunningRequest, now_ms: u64) {
        let incarnation = self.engines[request.engine].0;
        let state = &mut self.states[request.daemon];
        state.record_doubt(
            incarnation,
            &request.parts,
            DoubtfulEnd::Interrupted,
            false,
            at(now_ms),
        );
        let trial = request.is_trial.then_some(request.number);
        self.probes.push((now_ms + PROBE_MS, request.daemon, incarnation, trial));
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, probes): (Vec<_>, Vec<_>) =
            self.probes.drain(..).partition(|(time, ..)| *time <= now_ms);
        self.probes = probes;
        for (_, daemon, incarnation, trial) in due {
            self.states[daemon].confirm_crash(incarnation, at(now_ms));
            if let Some(number) = trial {
                self.states[daemon].end_part_trial(number);
            }
        }
        let (due, news): (Vec<_>, Vec<_>) =
            self.news.drain(..).partition(|(time, ..)| *time <= now_ms);
        self.news = news;
        for (_, sender, updates) in due {
            for (daemon, state) in self.states.iter_mut().enumerate() {
                if daemon != sender {
                    state.apply_updates(sender as u64 + 1, &updates, at(now_ms));
                }
            }
        }
    }

    /// Returns the number of poison requests that reached engines too late.
    fn late_sends(&self) -> usize {
        let Some(fifth) = self.poison_crashes.get(4) else {
            return 0;
        };
        self.poison_sends.iter().filter(|at| **at > fifth + CONVICTION_LIMIT_MS).count()
    }

    fn admitted_share(&self, from_ms: u64) -> f64 {
        let counted: Vec<_> = self.sound.iter().filter(|(at, _)| *at >= from_ms).collect();
        counted.iter().filter(|(_, is_sent)| *is_sent).count() as f64 / counted.len() as f64
    }
}

const SMALL: WorldLoad = WorldLoad {
    daemons: 8,
    engines: 9,
    news_ms: 12,
    sound_per_second: 55.0,
    poison_per_second: 1.0,
    outage_interval_ms: None,
};
const LARGE: WorldLoad =
    WorldLoad { daemons: 40, engines: 40, news_ms: 60, sound_per_second: 300.0, ..SMALL };

#[test]
fn poison_requests_at_any_rate_stop_and_sound_ones_do_not() {
    for load in [SMALL, LARGE] {
        for poison_per_second in [0.3, 1.0, 4.0, 15.0] {
            for seed in 0..6 {
                let load = WorldLoad { poison_per_second, ..load };
                let mut world = PoisonWorld::new(load, seed);
                world.run(0, 40_000);
                let case = format!("{} daemons, {poison_per_second}/s, seed {seed}", load.daemons);
                assert!(world.late_sends() <= LATE_SEND_LIMIT, "{case}: {}", world.late_sends());
                let share = world.admitted_share(3000);
                assert!(share > 0.95, "{case}: {share} of the sound requests were admitted");
            }
        }
    }
}

#[test]
fn sound_requests_are_admitted_while_half_of_the_engines_crash_again_and_again() {
    for load in [SMALL, LARGE] {
        for (outage_interval_ms, poison_per_second) in [(1000, 0.0), (5000, 0.0), (5000, 1.0)] {
            for seed in 0..6 {
                let outage_interval_ms = Some(outage_interval_ms);
                let load = WorldLoad { outage_interval_ms, poison_per_second, ..load };
                let mut world = PoisonWorld::new(load, seed);
                world.run(0, 40_000);
                let case = format!("{} daemons, {outage_interval_ms:?}, seed {seed}", load.daemons);
                assert!(world.late_sends() <= LATE_SEND_LIMIT, "{case}: {}", world.late_sends());
                let share = world.admitted_share(0);
                assert!(share > 0.95, "{case}: {share} of the sound requests were admitted");
            }
        }
    }
}

#[test]
fn an_unframed_response_counts_only_once_its_engine_is_seen_alive() {
    let mut state = GatewayState::new(1);
    let (engine, parts) = (EngineIncarnation(7), [PartFingerprint(1), POISON]);
    let end = DoubtfulEnd::Unframed;
    assert!(state.record_doubt(engine, &parts, end, false, at(0)));
    assert!(!state.record_doubt(engine, &parts, end, false, at(10)), "one probe for both");
    state.begin_probe(engine);
    state.confirm_alive(engine, at(5));
    assert!(state.parts.is_proven(POISON, at(20)));
    state.confirm_crash(engine, at(30));
    assert_eq!(state.parts.blamed(&parts), parts, "the second one ended after the probe began");
}
