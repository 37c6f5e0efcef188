//! Assignment of readers, the daemons that poll an engine's load, while daemons die,
//! are partitioned and have different views of the live daemons.

use std::{collections::HashSet, time::Duration};

use gooseberry_core::{
    readers::{ReaderTable, ReaderUpdate, MAX_STAGGER},
    rendezvous,
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

const DAEMON_COUNT: usize = 6;
const ENGINE_COUNT: usize = 12;
const UPDATE_TIMEOUT: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(100);

fn config(seed: u64) -> Config {
    Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// One event of a generated sequence.
#[derive(Clone, Debug)]
enum ReaderStep {
    /// Time passes.
    Wait { ticks: u8 },
    /// A daemon dies or starts, and the views of the others don't change.
    ToggleDaemon { daemon: usize },
    /// A daemon's view of another changes, whether or not that daemon runs.
    ToggleView { daemon: usize, other: usize },
    /// The domain is partitioned in two, or whole again. Daemons with equal bits of
    /// `side` reach each other.
    Partition { side: u8 },
    /// An engine stops or starts to respond.
    ToggleEngine { engine: usize },
}

fn steps() -> impl Strategy<Value = Vec<ReaderStep>> {
    let step = prop_oneof![
        4 => (1..30_u8).prop_map(|ticks| ReaderStep::Wait { ticks }),
        2 => (0..DAEMON_COUNT).prop_map(|daemon| ReaderStep::ToggleDaemon { daemon }),
        2 => (0..DAEMON_COUNT, 0..DAEMON_COUNT)
            .prop_map(|(daemon, other)| ReaderStep::ToggleView { daemon, other }),
        1 => any::<u8>().prop_map(|side| ReaderStep::Partition { side }),
        1 => (0..ENGINE_COUNT).prop_map(|engine| ReaderStep::ToggleEngine { engine }),
    ];
    prop::collection::vec(step, 1..40)
}

struct ReaderDaemon {
    name: SmolStr,
    is_running: bool,
    view: HashSet<usize>,
    table: ReaderTable,
}

/// Daemons that send each other at each tick what they have read.
struct ReaderDomain {
    now: Timestamp,
    daemons: Vec<ReaderDaemon>,
    side: u8,
    unresponsive: HashSet<usize>,
    /// For each engine and each side of the partition, the last time at which the
    /// engine had a reader there, the side had no running daemon, or a daemon joined
    /// the side. Joining restarts the bound, because the updates that the daemon
    /// received on the other side don't show when the daemons here stopped sending.
    last_read_at: [[Timestamp; 2]; ENGINE_COUNT],
}

fn engine_name(engine: usize) -> SmolStr {
    format_smolstr!("engine-{engine}")
}

impl ReaderDomain {
    fn new() -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let daemon = |index| {
            let name = format_smolstr!("daemon-{index}");
            let table = ReaderTable::new(name.clone());
            ReaderDaemon { name, is_running: true, view: (0..DAEMON_COUNT).collect(), table }
        };
        let daemons = (0..DAEMON_COUNT).map(daemon).collect();
        let last_read_at = [[now; 2]; ENGINE_COUNT];
        let mut domain = Self { now, daemons, side: 0, unresponsive: HashSet::new(), last_read_at };
        (0..DAEMON_COUNT).for_each(|index| domain.start(index));
        domain
    }

    fn start(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.table = ReaderTable::new(daemon.name.clone());
        for engine in 0..ENGINE_COUNT {
            daemon.table.add(&engine_name(engine), UPDATE_TIMEOUT, self.now);
        }
        self.apply_view(index);
        self.restart_bound();
    }

    fn restart_bound(&mut self) {
        self.last_read_at = [[self.now; 2]; ENGINE_COUNT];
    }

    fn apply_view(&mut self, index: usize) {
        let name = |other: &usize| self.daemons[*other].name.clone();
        let mut live: Vec<_> = self.daemons[index].view.iter().map(name).collect();
        live.sort_unstable();
        self.daemons[index].table.observe(&live);
    }

    fn side(&self, daemon: usize) -> usize {
        usize::from(self.side >> daemon & 1)
    }

    fn is_reader(&self, daemon: usize, engine: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.is_running && daemon.table.is_reader(&engine_name(engine), self.now)
    }

    fn apply(&mut self, step: &ReaderStep) -> Result<(), TestCaseError> {
        match *step {
            ReaderStep::Wait { ticks } => {
                for _ in 0..ticks {
                    self.tick()?;
                }
            }
            ReaderStep::ToggleDaemon { daemon } => {
                self.daemons[daemon].is_running ^= true;
                if self.daemons[daemon].is_running {
                    self.start(daemon);
                }
            }
            ReaderStep::ToggleView { daemon, other } if daemon != other => {
                let view = &mut self.daemons[daemon].view;
                if !view.remove(&other) {
                    view.insert(other);
                }
                self.apply_view(daemon);
            }
            ReaderStep::ToggleView { .. } => {}
            ReaderStep::Partition { side } => {
                self.side = side;
                self.restart_bound();
            }
            ReaderStep::ToggleEngine { engine } => {
                if !self.unresponsive.remove(&engine) {
                    self.unresponsive.insert(engine);
                }
            }
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.now = self.now + TICK;
        for engine in 0..ENGINE_COUNT {
            for side in 0..2 {
                self.tick_engine(engine, side)?;
            }
        }
        Ok(())
    }

    fn tick_engine(&mut self, engine: usize, side: usize) -> Result<(), TestCaseError> {
        let side_daemons: Vec<usize> = (0..DAEMON_COUNT)
            .filter(|daemon| self.daemons[*daemon].is_running && self.side(*daemon) == side)
            .collect();
        let readers: Vec<usize> =
            side_daemons.iter().copied().filter(|daemon| self.is_reader(*daemon, engine)).collect();
        if side_daemons.is_empty() || !readers.is_empty() {
            self.last_read_at[engine][side] = self.now;
        }
        let unread_time = self.now.since(self.last_read_at[engine][side]);
        prop_assert!(
            unread_time <= UPDATE_TIMEOUT + MAX_STAGGER,
            "engine {engine} had no reader for {unread_time:?}"
        );
        let unresponsive = self.unresponsive.contains(&engine);
        let update = if unresponsive { ReaderUpdate::Unchanged } else { ReaderUpdate::Report };
        for reader in readers {
            let name = self.daemons[reader].name.clone();
            for daemon in side_daemons.iter().filter(|daemon| **daemon != reader) {
                let table = &mut self.daemons[*daemon].table;
                table.observe_update(&engine_name(engine), &name, update, self.now);
            }
        }
        Ok(())
    }

    fn reader_count(&self, engine: usize) -> usize {
        (0..DAEMON_COUNT).filter(|daemon| self.is_reader(*daemon, engine)).count()
    }

    /// Ends all faults and sets each daemon's view to the running daemons.
    fn end_faults(&mut self) {
        self.side = 0;
        self.unresponsive.clear();
        let running: HashSet<usize> =
            (0..DAEMON_COUNT).filter(|index| self.daemons[*index].is_running).collect();
        for index in 0..DAEMON_COUNT {
            self.daemons[index].view = running.clone();
            self.daemons[index].view.insert(index);
            self.apply_view(index);
        }
    }
}

#[test]
fn no_engine_is_without_a_reader_for_longer_than_the_bound() {
    let mut runner = TestRunner::new(config(41));
    let outcome = runner.run(&steps(), |steps| {
        let mut domain = ReaderDomain::new();
        steps.iter().try_for_each(|step| domain.apply(step))
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn each_engine_has_one_reader_once_the_views_agree() {
    let mut runner = TestRunner::new(config(42));
    let outcome = runner.run(&steps(), |steps| {
        let mut domain = ReaderDomain::new();
        steps.iter().try_for_each(|step| domain.apply(step))?;
        domain.end_faults();
        domain.apply(&ReaderStep::Wait { ticks: 30 })?;
        let expected = usize::from(domain.daemons.iter().any(|daemon| daemon.is_running));
        for engine in 0..ENGINE_COUNT {
            prop_assert_eq!(domain.reader_count(engine), expected, "readers of engine {}", engine);
        }
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn the_engines_of_a_dead_daemon_are_read_within_the_bound() {
    for dead in 0..DAEMON_COUNT {
        let mut domain = ReaderDomain::new();
        domain
            .apply(&ReaderStep::Wait { ticks: 20 })
            .expect("each engine has a reader within the bound");
        domain
            .apply(&ReaderStep::ToggleDaemon { daemon: dead })
            .expect("each engine has a reader within the bound");
        // The views of the other daemons still contain the dead one.
        domain
            .apply(&ReaderStep::Wait { ticks: 11 })
            .expect("each engine has a reader within the bound");
        for engine in 0..ENGINE_COUNT {
            assert_eq!(domain.reader_count(engine), 1, "readers of engine {engine}");
        }
    }
}

#[test]
fn an_unresponsive_engine_has_two_readers_and_no_more() {
    let mut domain = ReaderDomain::new();
    domain
        .apply(&ReaderStep::ToggleEngine { engine: 0 })
        .expect("each engine has a reader within the bound");
    domain
        .apply(&ReaderStep::Wait { ticks: 40 })
        .expect("each engine has a reader within the bound");
    assert_eq!(domain.reader_count(0), 2);
}

#[test]
fn a_daemon_without_peers_reads_all_engines() {
    let now = Timestamp::from_millis(1_000_000);
    let mut table = ReaderTable::new("daemon-0".into());
    for engine in 0..ENGINE_COUNT {
        table.add(&engine_name(engine), UPDATE_TIMEOUT, now);
    }
    assert_eq!(table.assigned_engines(now).count(), ENGINE_COUNT);
}

#[test]
fn engines_are_spread_over_the_daemons() {
    let daemons: Vec<SmolStr> = (0..38).map(|index| format_smolstr!("daemon-{index}")).collect();
    let mut counts = vec![0_u32; daemons.len()];
    for engine in 0..780 {
        let reader = rendezvous::choose(&daemons, &engine_name(engine)).expect("a reader");
        counts[daemons
            .iter()
            .position(|daemon| daemon == reader)
            .expect("the reader is one of the daemons")] += 1;
    }
    // The average is about twenty engines for each daemon.
    assert!(counts.iter().all(|count| (6..=40).contains(count)), "{counts:?}");
}
