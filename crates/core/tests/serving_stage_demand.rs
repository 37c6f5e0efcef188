//! How many engines decode under loads of different mixes.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        backlog::{PendingPrefill, SendId},
        directory::{EngineStage, ServerEntry},
        fleet::ServerFleet,
        prompt::PromptShape,
        stage_demand::StageDemand,
        stages,
    },
    time::Timestamp,
};
use smol_str::SmolStr;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SERVICE: SmolStr = SmolStr::new_inline("model");

/// A mix of requests and the engines that serve it.
#[derive(Clone, Copy)]
struct Mix {
    engines_per_domain: &'static [usize],
    slots: u32,
    /// Initial share of engines that decode.
    decode_share: f64,
    requests_per_s: u64,
    prefill_tokens: u32,
    /// Tokens that a prefill engine reads in a millisecond.
    speed: f64,
    /// Mean time for which a stream holds a slot.
    stream_ms: f64,
}

/// Prompts that are read in milliseconds, and 76 streams in 100 slots.
const SHORT_PREFILLS: Mix = Mix {
    engines_per_domain: &[4, 4, 4, 4, 3, 3],
    slots: 8,
    decode_share: 0.8,
    requests_per_s: 770,
    prefill_tokens: 3500,
    speed: 942.0,
    stream_ms: 120.0,
};

/// Prompts that keep engines busy for 75 ms, and streams that use few of many slots.
const LONG_PREFILLS: Mix = Mix {
    engines_per_domain: &[15, 15, 15, 15, 15, 15],
    slots: 64,
    decode_share: 0.65,
    requests_per_s: 540,
    prefill_tokens: 4000,
    speed: 50.0,
    stream_ms: 500.0,
};

struct World {
    mix: Mix,
    fleet: ServerFleet,
    demand: StageDemand,
    sent: u64,
    now: Timestamp,
}

impl World {
    fn new(mix: Mix) -> Self {
        let mut fleet = ServerFleet::default();
        for (domain, engines) in mix.engines_per_domain.iter().enumerate() {
            for number in 0..*engines {
                let is_decode = (number as f64) < *engines as f64 * mix.decode_share;
                let stage = if is_decode { EngineStage::Decode } else { EngineStage::Prefill };
                fleet.put(ServerEntry {
                    id: format!("{domain}-{number}").into(),
                    service: SERVICE,
                    address: "127.0.0.1:1".parse().expect("valid address"),
                    domain: format!("d{domain}").into(),
                    slots: mix.slots,
                    software: "v1".into(),
                    is_draining: false,
                    stage,
                    is_reclaimable: false,
                    started_at_ms: Some(1),
                    sequence: 1,
                });
            }
        }
        Self { mix, fleet, demand: StageDemand::default(), sent: 0, now: START }
    }

    fn decode_engines(&self) -> Vec<EngineKey> {
        let engines = self.fleet.iter();
        let engines = engines.filter(|(_, state)| state.entry.stage == EngineStage::Decode);
        engines.map(|(key, _)| key).collect()
    }

    /// Returns the slots that streams of this load hold, at a multiple of its rate.
    fn streams(&self, factor: f64) -> f64 {
        self.mix.requests_per_s as f64 * factor * self.mix.stream_ms / 1000.0
    }

    /// Plays the load for some seconds, with one planning round a second. Returns the largest number
    /// of changes of a round.
    fn play(&mut self, seconds: u64, factor: f64) -> usize {
        let mut most_changes = 0;
        for _ in 0..seconds {
            self.play_second(factor);
            self.demand.observe(&self.fleet, &SERVICE, self.now);
            let changes = stages::plan(&self.fleet, &SERVICE, &self.demand, &HashMap::new());
            most_changes = most_changes.max(changes.len());
            for change in changes {
                let mut entry = self.fleet.server(change.engine).entry.clone();
                entry.stage = change.stage;
                self.fleet.put(entry);
            }
        }
        most_changes
    }

    fn play_second(&mut self, factor: f64) {
        let decode_engines = self.decode_engines();
        let running = (self.streams(factor) / decode_engines.len() as f64).round() as u32;
        for key in &decode_engines {
            self.fleet.server_mut(*key).running = running.min(self.mix.slots);
        }
        let keys = self.fleet.keys();
        let count = (self.mix.requests_per_s as f64 * factor) as u64;
        for _ in 0..count {
            self.sent += 1;
            self.now = START + self.elapsed(count);
            let key = keys[self.sent as usize % keys.len()];
            // An engine's speed is known by its samples.
            let is_decode = self.fleet.server(key).entry.stage == EngineStage::Decode;
            let speed = if is_decode { self.mix.speed / 2.0 } else { self.mix.speed };
            let tokens = self.mix.prefill_tokens;
            self.fleet.record_speed(key, tokens, f64::from(tokens) / speed);
            let id = SendId { daemon: 1, number: self.sent };
            let prompt = PromptShape::new("m", [("p", tokens)], tokens, 10);
            let prefill = PendingPrefill { prompt, tokens, sent_at: self.now, decode_engine: None };
            self.fleet.begin_prefill(key, id, prefill, 1_000_000, self.now);
            self.fleet.complete_prefill(key, id, 1_000_000, self.now);
        }
        self.now = START + Duration::from_secs(self.now.since(START).as_secs() + 1);
    }

    /// Returns the time since the start at which the latest request of a second is sent.
    fn elapsed(&self, per_second: u64) -> Duration {
        let second = Duration::from_secs(self.now.since(START).as_secs());
        second + Duration::from_millis(999 * (self.sent % per_second) / per_second)
    }
}

/// Guards against streams without slots: with a quarter of 22 engines decoding, 770 requests a second
/// shared 48 slots although each prompt took only 4 ms, and most were rejected.
#[test]
fn short_prefills_leave_their_engines_to_streams() {
    let mut world = World::new(SHORT_PREFILLS);
    world.play(60, 1.0);
    let slots = world.decode_engines().len() as f64 * f64::from(SHORT_PREFILLS.slots);
    assert!(slots >= world.streams(1.2), "{slots} slots for {} streams", world.streams(1.0));
    let stays = world.decode_engines();
    world.play(60, 1.0);
    assert_eq!(world.decode_engines(), stays, "a steady load causes no orders");
}

#[test]
fn long_prefills_get_three_of_four_engines() {
    let mut world = World::new(LONG_PREFILLS);
    world.play(60, 1.0);
    let share = world.decode_engines().len() as f64 / world.fleet.keys().len() as f64;
    assert!((0.2..0.3).contains(&share), "{share}");
}

/// A stage change takes an engine offline for seconds, and a burst is over by then.
#[test]
fn a_burst_of_three_seconds_causes_no_orders() {
    for mix in [SHORT_PREFILLS, LONG_PREFILLS] {
        let mut world = World::new(mix);
        world.play(60, 1.0);
        assert_eq!(world.play(3, 1.7), 0);
        assert_eq!(world.play(10, 1.0), 0);
    }
}

/// A mix that changes for good is followed.
#[test]
fn outputs_that_grow_get_more_slots() {
    let mut world = World::new(Mix { stream_ms: 20.0, ..SHORT_PREFILLS });
    world.play(60, 1.0);
    let before = world.decode_engines().len();
    world.mix.stream_ms = 120.0;
    world.play(60, 1.0);
    let after = world.decode_engines().len();
    assert!(after > before, "{before}, then {after}");
    let slots = after as f64 * f64::from(SHORT_PREFILLS.slots);
    assert!(slots >= world.streams(1.1), "{slots} slots for {} streams", world.streams(1.0));
}
