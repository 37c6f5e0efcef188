//! Pace of servers that have started or recovered, with a model of the servers and of the delay of
//! updates between daemons.

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        backlog::{PendingPrefill, SendId},
        directory::{EngineStage, ServerEntry},
        fleet::ServerFleet,
        pace::{HeldWork, PaceReason, PaceRoster, PaceStatement, ServerPace},
        prompt::PromptShape,
    },
    time::Timestamp,
};
use proptest::prelude::*;

const STAGE: EngineStage = EngineStage::Prefill;
/// Work of each prompt in tokens, and speed of a mean engine in tokens per millisecond.
const TOKENS: u32 = 4_000;
const SPEED: f64 = 40.0;
const ENGINES: usize = 10;
/// Delay of updates on prefills.
const UPDATE_MS: u64 = 20;
const SUMMARY_MS: u64 = 500;
/// Time at which the last engine starts.
const JOIN_MS: u64 = 8_000;
const RUN_MS: u64 = 20_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn entry(number: usize, start: u64) -> ServerEntry {
    ServerEntry {
        id: format!("e{number}").into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 64,
        software: "v1".into(),
        is_draining: false,
        stage: STAGE,
        is_reclaimable: false,
        started_at_ms: Some(start),
        sequence: 1,
    }
}

fn put(fleet: &mut ServerFleet, number: usize, start: u64, now: Timestamp) -> EngineKey {
    let entry = entry(number, start);
    let id = entry.id.clone();
    let effect = fleet.put(entry);
    let key = fleet.key(&id).expect("a known server");
    fleet.record_start(key, effect, now);
    key
}

/// An engine that prefills one prompt after the other.
struct ModelEngine {
    speed: f64,
    free_at: f64,
    queued: usize,
}

/// A message to all daemons but its sender, at the time at which it arrives.
enum Message {
    Started(usize, SendId),
    Ended(usize, SendId, Option<u32>),
    Paces(Vec<(u64, u64, PaceStatement)>),
}

/// Daemons that keep each of the engines busy, with as many prompts in flight as they allow.
struct Model {
    fleets: Vec<ServerFleet>,
    engines: Vec<ModelEngine>,
    messages: Vec<(u64, usize, Message)>,
    ends: Vec<(u64, usize, usize, SendId, u64)>,
    loses_paces: bool,
    update_ms: u64,
    next: u64,
}

/// What happened at the engine that joined.
#[derive(Debug, Default)]
struct Joined {
    /// Most prompts at the engine while it was paced.
    longest_queue: usize,
    /// Most prompts at the engine in the first 500 ms.
    early_queue: usize,
    /// Time from its start until it had half of its share of the prompts in flight.
    half_share_ms: Option<u64>,
    estimated_speed: f64,
}

impl Model {
    fn new(daemons: usize, joining_speed: f64) -> Self {
        let mut fleets = vec![ServerFleet::default(); daemons];
        for (daemon, fleet) in fleets.iter_mut().enumerate() {
            fleet.enable_pace(daemon as u64);
            for number in 0..ENGINES {
                put(fleet, number, 1, at(0));
            }
        }
        let speed = |number| if number == ENGINES { SPEED * joining_speed } else { SPEED };
        let engine = |number| ModelEngine { speed: speed(number), free_at: 0.0, queued: 0 };
        let engines = (0..=ENGINES).map(engine).collect();
        Self {
            fleets,
            engines,
            messages: Vec::new(),
            ends: Vec::new(),
            loses_paces: false,
            update_ms: UPDATE_MS,
            next: 0,
        }
    }

    fn key(&self, daemon: usize, engine: usize) -> Option<EngineKey> {
        self.fleets[daemon].key(&format!("e{engine}"))
    }

    fn pending() -> PendingPrefill {
        let prompt = PromptShape::new("m", [("p", TOKENS)], TOKENS, 10);
        PendingPrefill {
            prompt,
            tokens: TOKENS,
            sent_at: Timestamp::default(),
            decode_engine: None,
        }
    }

    fn begin(&mut self, daemon: usize, engine: usize, send_id: SendId, now: u64) {
        let Some(key) = self.key(daemon, engine) else { return };
        let pending = PendingPrefill { sent_at: at(now), ..Self::pending() };
        self.fleets[daemon].begin_prefill(key, send_id, pending, 1_000_000, at(now));
    }

    fn end(&mut self, daemon: usize, engine: usize, send_id: SendId, ms: Option<u32>, now: u64) {
        let Some(key) = self.key(daemon, engine) else { return };
        let fleet = &mut self.fleets[daemon];
        if fleet.complete_prefill(key, send_id, 1_000_000, at(now)) {
            if let Some(ms) = ms {
                fleet.record_speed(key, TOKENS, f64::from(ms));
            }
        }
    }

    fn send(&mut self, daemon: usize, engine: usize, now: u64) {
        let send_id = SendId { daemon: daemon as u64, number: self.next };
        self.next += 1;
        let key = self.key(daemon, engine).expect("a known server");
        self.begin(daemon, engine, send_id, now);
        self.fleets[daemon].record_paced_send(key, at(now));
        self.fleets[daemon].server_mut(key).running += 1;
        let model = &mut self.engines[engine];
        let was_alone = model.queued == 0;
        model.queued += 1;
        model.free_at = model.free_at.max(now as f64) + f64::from(TOKENS) / model.speed;
        let ms = if was_alone { (model.free_at - now as f64) as u64 } else { 0 };
        self.ends.push((model.free_at as u64, daemon, engine, send_id, ms));
        self.messages.push((now + self.update_ms, daemon, Message::Started(engine, send_id)));
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.ends).into_iter().partition(|end| end.0 <= now);
        self.ends = later;
        let due: Vec<(u64, usize, usize, SendId, u64)> = due;
        for (_, daemon, engine, send_id, ms) in due {
            self.engines[engine].queued -= 1;
            let ms = (ms > 0).then_some(ms as u32);
            self.end(daemon, engine, send_id, ms, now);
            if let Some(key) = self.key(daemon, engine) {
                self.fleets[daemon].server_mut(key).running -= 1;
                self.fleets[daemon].record_paced_end(key, at(now));
            }
            self.messages.push((now + self.update_ms, daemon, Message::Ended(engine, send_id, ms)));
        }
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|it| it.0 <= now);
        self.messages = later;
        let due: Vec<(u64, usize, Message)> = due;
        for (_, sender, message) in due {
            for daemon in (0..self.fleets.len()).filter(|daemon| *daemon != sender) {
                match &message {
                    Message::Started(engine, send_id) => self.begin(daemon, *engine, *send_id, now),
                    Message::Ended(engine, send_id, ms) => {
                        self.end(daemon, *engine, *send_id, *ms, now);
                    }
                    Message::Paces(rows) => {
                        for (server, incarnation, statement) in rows {
                            let fleet = &mut self.fleets[daemon];
                            fleet.apply_pace(*server, *incarnation, *statement, at(now));
                        }
                    }
                }
            }
        }
    }

    fn summarize(&mut self, daemon: usize, now: u64) {
        let count = self.fleets.len() as u64;
        let peers = (0..count).filter(|other| *other != daemon as u64).collect();
        let fleet = &mut self.fleets[daemon];
        fleet.update_pace(peers, at(now));
        let row = |(key, statement)| {
            let entry = &fleet.server(key).entry;
            let hash = gooseberry_core::serving::fleet::server_hash(&entry.id);
            (hash, gooseberry_core::serving::fleet::incarnation(entry).0, statement)
        };
        let rows: Vec<_> = fleet.pace_statements(at(now)).into_iter().map(row).collect();
        if !rows.is_empty() && !self.loses_paces {
            self.messages.push((now + self.update_ms, daemon, Message::Paces(rows)));
        }
    }

    /// Keeps `target` prompts in flight at each engine, and the joining engine as full as it looks
    /// to the daemons.
    fn run(&mut self, target: usize) -> Joined {
        let mut joined = Joined::default();
        let daemons = self.fleets.len();
        for now in (0..RUN_MS).step_by(5) {
            self.deliver(now);
            for daemon in 0..daemons {
                if now % SUMMARY_MS == (daemon as u64 * 5) % SUMMARY_MS {
                    self.summarize(daemon, now);
                }
            }
            if now == JOIN_MS {
                for fleet in &mut self.fleets {
                    put(fleet, ENGINES, 2, at(now));
                }
            }
            for engine in 0..ENGINES {
                while self.engines[engine].queued < target {
                    self.send(self.next as usize * 7 % daemons, engine, now);
                }
            }
            // Each daemon takes the joining engine for the best while it knows of less than there.
            for daemon in 0..daemons {
                let Some(key) = self.key(daemon, ENGINES) else { continue };
                let fleet = &self.fleets[daemon];
                let seems_free = fleet.server(key).backlog.len() < target;
                if seems_free && fleet.is_within_pace(key, at(now)) {
                    self.send(daemon, ENGINES, now);
                }
            }
            let queued = self.engines[ENGINES].queued;
            if (JOIN_MS..JOIN_MS + 500).contains(&now) {
                joined.early_queue = joined.early_queue.max(queued);
            }
            let is_paced = |daemon: usize| {
                let key = self.key(daemon, ENGINES);
                key.is_some_and(|key| self.fleets[daemon].server(key).pace.is_paced())
            };
            if (0..daemons).all(is_paced) {
                joined.longest_queue = joined.longest_queue.max(queued);
            }
            if now >= JOIN_MS && queued * 2 >= target && joined.half_share_ms.is_none() {
                joined.half_share_ms = Some(now - JOIN_MS);
            }
        }
        let key = self.key(0, ENGINES).expect("a known server");
        joined.estimated_speed = self.fleets[0].server(key).prefill_speed();
        joined
    }
}

/// Guards against a new engine that all daemons flood at once, and against one that stays idle. While
/// it is paced, its queue is bounded by its peers'; 1 daemon of 90 sends each share.
#[test]
fn one_new_engine_among_ten_is_neither_overloaded_nor_idle() {
    for daemons in [1, 20, 90] {
        let mut model = Model::new(daemons, 1.0);
        let joined = model.run(8);
        let half_share_ms = joined.half_share_ms.expect("reaches half of its share");
        assert!(half_share_ms <= 4_000, "{daemons} daemons: {joined:?}");
        assert!((1..=8).contains(&joined.longest_queue), "{daemons} daemons: {joined:?}");
        assert!(joined.early_queue <= 2, "{daemons} daemons: {joined:?}");
        let first = model.fleets[0].key("e10").expect("a known server");
        assert!(!model.fleets[0].server(first).pace.is_paced(), "{daemons} daemons");
    }
}

/// Shows that the model has the fault: without pace, all daemons send to the new engine at once.
#[test]
fn without_pace_a_new_engine_is_flooded() {
    let mut model = Model::new(90, 1.0);
    model.fleets = model.fleets.iter().map(|_| unpaced_fleet()).collect();
    let joined = model.run(8);
    assert!(joined.early_queue > 8 * 4, "{joined:?}");
}

fn unpaced_fleet() -> ServerFleet {
    let mut fleet = ServerFleet::default();
    for number in 0..ENGINES {
        put(&mut fleet, number, 1, at(0));
    }
    fleet
}

/// Guards against speeds that are found only after the engine has been overloaded or idle for long.
#[test]
fn slow_and_fast_engines_are_found_and_leave_the_pace() {
    for speed in [0.7, 1.7] {
        let mut model = Model::new(20, speed);
        let joined = model.run(8);
        assert!(joined.half_share_ms.is_some_and(|ms| ms <= 6_000), "{speed}: {joined:?}");
        assert!((1..=8).contains(&joined.longest_queue), "{speed}: {joined:?}");
        let error = joined.estimated_speed / (SPEED * speed) - 1.0;
        assert!(error.abs() < 0.15, "{speed}: {joined:?}");
    }
}

/// Guards against daemons that never hear of a pace and send their whole share for ever.
#[test]
fn lost_updates_neither_overload_nor_starve_an_engine() {
    let mut model = Model::new(20, 1.0);
    model.loses_paces = true;
    let joined = model.run(8);
    assert!(joined.half_share_ms.is_some_and(|ms| ms <= 6_000), "{joined:?}");
    assert!((1..=8).contains(&joined.longest_queue), "{joined:?}");
}

/// Guards against sends that pile up while updates are on their way. A slot of 100 ms covers them.
#[test]
fn late_updates_do_not_overload_an_engine() {
    let mut model = Model::new(20, 1.0);
    model.update_ms = 90;
    let joined = model.run(8);
    assert!(joined.half_share_ms.is_some_and(|ms| ms <= 6_000), "{joined:?}");
    assert!((1..=8).contains(&joined.longest_queue), "{joined:?}");
}

/// Guards against windows that an update from long ago sets back.
#[test]
fn an_update_that_arrives_late_does_not_count() {
    let mut pace = paced(0.5, at(5_000));
    pace.apply(PaceStatement { window: 0.125, changed_at: at(3_000) }, at(5_100));
    assert!((pace.window() - 0.5).abs() < 1e-9);
    pace.apply(PaceStatement { window: 0.25, changed_at: at(4_900) }, at(5_100));
    assert!((pace.window() - 0.25).abs() < 1e-9, "made at about the same time, and smaller");
}

#[test]
fn a_service_that_starts_as_a_whole_is_not_paced() {
    let mut fleet = ServerFleet::default();
    fleet.enable_pace(0);
    let keys: Vec<EngineKey> =
        (0..ENGINES).map(|number| put(&mut fleet, number, 1, at(number as u64 * 300))).collect();
    assert!(keys.iter().all(|key| !fleet.server(*key).pace.is_paced()));
}

#[test]
fn without_the_setting_no_engine_is_paced() {
    let mut fleet = ServerFleet::default();
    let first = put(&mut fleet, 0, 1, at(0));
    let second = put(&mut fleet, 1, 2, at(60_000));
    fleet.update_pace(Vec::new(), at(60_000));
    assert!(!fleet.server(first).pace.is_paced() && !fleet.server(second).pace.is_paced());
    assert!(fleet.is_within_pace(second, at(60_000)));
    assert!(fleet.pace_statements(at(60_000)).is_empty());
}

/// Guards against a pause of a second that costs an engine its share.
#[test]
fn an_engine_that_is_slow_for_a_second_is_not_paced() {
    let mut fleet = ServerFleet::default();
    fleet.enable_pace(0);
    let key = put(&mut fleet, 0, 1, at(0));
    put(&mut fleet, 1, 1, at(0));
    for ms in [10_000, 10_900] {
        fleet.server_mut(key).health.record_unreachable(at(ms));
        fleet.record_unavailable(key, at(ms));
    }
    fleet.record_response(key, 1_000.0, at(11_000));
    assert!(!fleet.server(key).pace.is_paced());
    fleet.record_response(key, 50.0, at(11_100));
    assert!(!fleet.server(key).pace.is_paced());
}

#[test]
fn an_engine_that_failed_for_longer_recovers_in_steps() {
    let mut fleet = ServerFleet::default();
    fleet.enable_pace(0);
    let key = put(&mut fleet, 0, 1, at(0));
    put(&mut fleet, 1, 1, at(0));
    for ms in [10_000, 11_000, 13_000] {
        fleet.server_mut(key).health.record_unreachable(at(ms));
        fleet.record_unavailable(key, at(ms));
    }
    assert!(fleet.server(key).pace.is_paced());
    for ms in (13_500..16_000).step_by(100) {
        fleet.record_response(key, 50.0, at(ms));
    }
    assert!(!fleet.server(key).pace.is_paced());
}

/// Guards against the pace of an earlier start that holds back a later one, or the other way round.
#[test]
fn a_pace_of_another_incarnation_does_not_count() {
    let mut fleet = ServerFleet::default();
    fleet.enable_pace(0);
    let key = put(&mut fleet, 0, 1, at(0));
    let server = gooseberry_core::serving::fleet::server_hash("e0");
    let statement = PaceStatement { window: 0.25, changed_at: at(10) };
    fleet.apply_pace(server, 1, statement, at(20));
    assert!(!fleet.server(key).pace.is_paced());
    let incarnation = gooseberry_core::serving::fleet::incarnation(&fleet.server(key).entry).0;
    fleet.apply_pace(server, incarnation, statement, at(20));
    assert!(fleet.server(key).pace.is_paced());
    put(&mut fleet, 0, 2, at(30));
    assert!(!fleet.server(key).pace.is_paced());
}

fn paced(window: f64, changed_at: Timestamp) -> ServerPace {
    let mut pace = ServerPace::default();
    pace.begin(PaceReason::Started, at(0));
    pace.apply(PaceStatement { window, changed_at }, changed_at);
    pace
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against daemons that together send more than the window in one slot.
    #[test]
    fn the_parts_of_all_daemons_keep_to_the_window(
        daemons in 1_u64..91,
        typical in 1_f64..200.0,
        held in 0_f64..50.0,
        slot in 0_u64..1000,
    ) {
        let now = at(10_000 + slot * 100);
        let held = HeldWork { requests: held.floor(), tokens: 0.0 };
        let mut sends = 0.0;
        let mut limit = 0.0;
        for own in 0..daemons {
            let peers = (0..daemons).filter(|peer| *peer != own).collect();
            let roster = PaceRoster { own, peers, heard_share: 1.0 };
            let mut pace = paced(0.5, at(5_000));
            pace.set_typical(HeldWork { requests: typical, tokens: 0.0 }, 0.0);
            limit = pace.limit().requests;
            let mut known = held;
            while pace.allows(7, STAGE, known, &roster, now) {
                pace.record_send(STAGE, now);
                known.requests += 1.0;
                sends += 1.0;
            }
        }
        prop_assert!(held.requests + sends <= limit.max(held.requests), "{sends} of {limit}");
    }

    /// Windows keep to their bounds and change at most once in an interval, whatever happens.
    #[test]
    fn windows_keep_to_their_bounds(
        events in prop::collection::vec((0_u8..6, 0_u64..900, 0_f64..3.0), 1..100)
    ) {
        let mut pace = paced(0.5, at(100));
        let mut now = 1_000;
        for (kind, wait, value) in events {
            now += wait;
            match kind {
                0 => pace.record_refusal(at(now)),
                1 => pace.record_response(100.0, 0.0, value * 300.0, HeldWork::default(), at(now)),
                2 => pace.apply(PaceStatement { window: value, changed_at: at(now) }, at(now)),
                3 => pace.expire(at(now)),
                4 => pace.record_unavailable(at(now)),
                _ => pace.record_success(),
            }
            prop_assert!((0.03..=1.0).contains(&pace.window()));
            prop_assert!(pace.limit().requests >= 1.0);
        }
    }
}
