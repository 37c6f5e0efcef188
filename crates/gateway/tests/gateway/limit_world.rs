//! Simulated daemons that keep the limit of one server while they are killed, started and cut off,
//! without a network.

use std::time::Duration;

use gooseberry_core::{
    arena::EngineKey,
    serving::directory::{EngineStage, ServerEntry},
    time::Timestamp,
};
use gooseberry_gateway::{state::GatewayState, updates::SendUpdate};

const DAEMONS: usize = 8;
const NEWS_MS: u64 = 12;
const SUMMARY_MS: u64 = 500;
const RESPONSE_MS: u64 = 20;
/// Time after a fault of a daemon for which its requests don't count.
const EXCUSED_MS: u64 = 3000;
const RUN_MS: u64 = 60_000;

struct LimitedDaemon {
    number: u64,
    state: GatewayState,
    /// Time from which the daemon runs.
    runs_from: u64,
    /// Time until which it hears no other daemon.
    cut_until: u64,
    faulted_at: Option<u64>,
}

struct LimitWorld {
    daemons: Vec<LimitedDaemon>,
    limit: f64,
    seed: u64,
    news: Vec<(u64, usize, Vec<SendUpdate>)>,
    responses: Vec<(u64, usize, u64)>,
    /// Sends that count, and all sends.
    counted: Vec<u64>,
    sent: Vec<u64>,
}

fn at(now_ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + now_ms)
}

fn new_state(number: u64) -> GatewayState {
    let mut state = GatewayState::new(number);
    let entry = ServerEntry {
        id: "one".into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 64,
        software: "v1".into(),
        is_draining: false,
        stage: EngineStage::Mixed,
        is_reclaimable: false,
        started_at_ms: None,
        sequence: 1,
    };
    state.put_server(entry, at(0));
    state
}

fn key(state: &GatewayState) -> EngineKey {
    state.fleet.key("one").expect("a server")
}

impl LimitWorld {
    fn new(limit: f64, seed: u64) -> Self {
        let daemons = (0..DAEMONS as u64).map(|number| LimitedDaemon {
            number,
            state: new_state(number + 1),
            runs_from: 0,
            cut_until: 0,
            faulted_at: None,
        });
        Self {
            daemons: daemons.collect(),
            limit,
            seed,
            news: Vec::new(),
            responses: Vec::new(),
            counted: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % limit
    }

    /// Kills or cuts off a daemon each `fault_interval_ms`, while requests come at a rate.
    fn run(&mut self, per_second: f64, fault_interval_ms: Option<u64>) {
        for now_ms in 0..RUN_MS {
            self.deliver(now_ms);
            if fault_interval_ms.is_some_and(|interval| now_ms > 0 && now_ms % interval == 0) {
                self.break_daemon(now_ms);
            }
            if (self.below(1_000_000) as f64) < per_second * 1000.0 {
                let daemon = self.below(DAEMONS as u64) as usize;
                self.send(daemon, now_ms);
            }
            for number in 0..DAEMONS {
                let daemon = &mut self.daemons[number];
                let mut updates = daemon.state.take_updates();
                if now_ms % SUMMARY_MS == daemon.number * 60 && now_ms >= daemon.runs_from {
                    daemon.state.remove_expired_peers(at(now_ms));
                    daemon.state.update_daemon_share(DAEMONS - 1, at(now_ms));
                    let (pending, running) = daemon.state.own_summary();
                    updates.push(SendUpdate::Summary { pending, running });
                    updates.extend(daemon.state.limits_to_repeat(at(now_ms)));
                }
                if !updates.is_empty() && now_ms >= daemon.cut_until {
                    self.news.push((now_ms + NEWS_MS, number, updates));
                }
            }
        }
    }

    fn send(&mut self, number: usize, now_ms: u64) {
        let daemon = &mut self.daemons[number];
        let key = key(&daemon.state);
        let runs = now_ms >= daemon.runs_from;
        if runs && daemon.state.fleet.server(key).accepts_request(at(now_ms)) {
            daemon.state.record_send(key, at(now_ms));
            self.sent.push(now_ms);
            if daemon.faulted_at.is_none_or(|at| now_ms > at + EXCUSED_MS) {
                self.counted.push(now_ms);
            }
            self.responses.push((now_ms + RESPONSE_MS, number, now_ms));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, responses): (Vec<_>, Vec<_>) =
            self.responses.drain(..).partition(|(time, ..)| *time <= now_ms);
        self.responses = responses;
        for (_, number, sent_at) in due {
            let limit = Some(self.limit);
            let state = &mut self.daemons[number].state;
            state.record_limit(key(state), limit, at(sent_at), at(now_ms));
        }
        let (due, news): (Vec<_>, Vec<_>) =
            self.news.drain(..).partition(|(time, ..)| *time <= now_ms);
        self.news = news;
        for (_, sender, updates) in due {
            for (number, daemon) in self.daemons.iter_mut().enumerate() {
                let hears = now_ms >= daemon.runs_from && now_ms >= daemon.cut_until;
                if number != sender && hears {
                    daemon.state.apply_updates(sender as u64 + 1, &updates, at(now_ms));
                }
            }
        }
    }

    fn break_daemon(&mut self, now_ms: u64) {
        let number = self.below(DAEMONS as u64) as usize;
        let is_kill = self.below(2) == 0;
        let duration_ms = 500 + self.below(8000);
        let daemon = &mut self.daemons[number];
        if is_kill {
            daemon.state = new_state(number as u64 + 1);
            daemon.runs_from = now_ms + 1000;
            daemon.faulted_at = Some(now_ms + 1000);
        } else {
            daemon.cut_until = now_ms + duration_ms;
            daemon.faulted_at = Some(now_ms + duration_ms);
        }
    }

    /// Returns the largest number of counted sends within four seconds, from three seconds on.
    fn busiest_window(&self) -> usize {
        let counted: Vec<_> = self.counted.iter().filter(|at| **at >= 3000).collect();
        let windows = counted.iter().enumerate().map(|(number, start)| {
            counted[number..].iter().take_while(|at| ***at - **start < 4000).count()
        });
        windows.max().unwrap_or(0)
    }
}

#[test]
fn daemons_that_come_and_go_and_are_cut_off_keep_a_limit_and_use_it() {
    for limit in [0.8, 3.5, 12.0] {
        for fault_interval_ms in [None, Some(7000), Some(2500)] {
            for seed in 0..8 {
                let mut world = LimitWorld::new(limit, seed);
                world.run(60.0, fault_interval_ms);
                let case = format!("limit {limit}, faults each {fault_interval_ms:?}, seed {seed}");
                let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
                let busiest = world.busiest_window();
                assert!(busiest <= allowed, "{case}: {busiest} of {allowed}");
                let used = world.sent.len() as f64 / Duration::from_millis(RUN_MS).as_secs_f64();
                assert!(used >= 0.7 * limit, "{case}: {used} per second");
            }
        }
    }
}
