//! Which daemon reads which engine, while daemons die, are paused and cut off,
//! and disagree on who is live.

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

const DAEMONS: usize = 6;
const ENGINES: usize = 12;
const SILENCE: Duration = Duration::from_secs(1);
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

/// What can happen between two ticks.
#[derive(Clone, Debug)]
enum ReaderStep {
    /// Time passes.
    Wait { ticks: u8 },
    /// A daemon dies or starts anew, and the others don't learn of it.
    Toggle { daemon: usize },
    /// A daemon's view of another changes, rightly or not.
    Doubt { daemon: usize, other: usize },
    /// The domain is cut in two, or is whole.
    Cut { side: u8 },
    /// An engine stops or starts to answer.
    Mute { engine: usize },
}

fn steps() -> impl Strategy<Value = Vec<ReaderStep>> {
    let step = prop_oneof![
        4 => (1..30_u8).prop_map(|ticks| ReaderStep::Wait { ticks }),
        2 => (0..DAEMONS).prop_map(|daemon| ReaderStep::Toggle { daemon }),
        2 => (0..DAEMONS, 0..DAEMONS)
            .prop_map(|(daemon, other)| ReaderStep::Doubt { daemon, other }),
        1 => any::<u8>().prop_map(|side| ReaderStep::Cut { side }),
        1 => (0..ENGINES).prop_map(|engine| ReaderStep::Mute { engine }),
    ];
    prop::collection::vec(step, 1..40)
}

struct ReaderDaemon {
    name: SmolStr,
    runs: bool,
    view: HashSet<usize>,
    table: ReaderTable,
}

/// Daemons that tell each other at each tick what they have read.
struct ReaderDomain {
    now: Timestamp,
    daemons: Vec<ReaderDaemon>,
    side: u8,
    mute: HashSet<usize>,
    /// Last time at which an engine had a reader on each side of the cut, or
    /// no daemon that could read it, or a daemon came to that side: what one
    /// that comes has heard elsewhere says nothing of the others' silence.
    read_at: [[Timestamp; 2]; ENGINES],
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
            ReaderDaemon { name, runs: true, view: (0..DAEMONS).collect(), table }
        };
        let daemons = (0..DAEMONS).map(daemon).collect();
        let read_at = [[now; 2]; ENGINES];
        let mut domain = Self { now, daemons, side: 0, mute: HashSet::new(), read_at };
        (0..DAEMONS).for_each(|index| domain.start(index));
        domain
    }

    fn start(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.table = ReaderTable::new(daemon.name.clone());
        for engine in 0..ENGINES {
            daemon.table.add(&engine_name(engine), SILENCE, self.now);
        }
        self.show_view(index);
        self.start_bound();
    }

    fn start_bound(&mut self) {
        self.read_at = [[self.now; 2]; ENGINES];
    }

    fn show_view(&mut self, index: usize) {
        let name = |other: &usize| self.daemons[*other].name.clone();
        let mut live: Vec<_> = self.daemons[index].view.iter().map(name).collect();
        live.sort_unstable();
        self.daemons[index].table.observe(&live);
    }

    fn side(&self, daemon: usize) -> usize {
        usize::from(self.side >> daemon & 1)
    }

    fn reads(&self, daemon: usize, engine: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.runs && daemon.table.is_reader(&engine_name(engine), self.now)
    }

    fn apply(&mut self, step: &ReaderStep) -> Result<(), TestCaseError> {
        match *step {
            ReaderStep::Wait { ticks } => {
                for _ in 0..ticks {
                    self.tick()?;
                }
            }
            ReaderStep::Toggle { daemon } => {
                self.daemons[daemon].runs ^= true;
                if self.daemons[daemon].runs {
                    self.start(daemon);
                }
            }
            ReaderStep::Doubt { daemon, other } if daemon != other => {
                let view = &mut self.daemons[daemon].view;
                if !view.remove(&other) {
                    view.insert(other);
                }
                self.show_view(daemon);
            }
            ReaderStep::Doubt { .. } => {}
            ReaderStep::Cut { side } => {
                self.side = side;
                self.start_bound();
            }
            ReaderStep::Mute { engine } => {
                if !self.mute.remove(&engine) {
                    self.mute.insert(engine);
                }
            }
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.now = self.now + TICK;
        for engine in 0..ENGINES {
            for side in 0..2 {
                self.tick_engine(engine, side)?;
            }
        }
        Ok(())
    }

    fn tick_engine(&mut self, engine: usize, side: usize) -> Result<(), TestCaseError> {
        let here: Vec<usize> = (0..DAEMONS)
            .filter(|daemon| self.daemons[*daemon].runs && self.side(*daemon) == side)
            .collect();
        let readers: Vec<usize> =
            here.iter().copied().filter(|daemon| self.reads(*daemon, engine)).collect();
        if here.is_empty() || !readers.is_empty() {
            self.read_at[engine][side] = self.now;
        }
        let unread = self.now.since(self.read_at[engine][side]);
        prop_assert!(
            unread <= SILENCE + MAX_STAGGER,
            "engine {engine} had no reader for {unread:?}"
        );
        let mute = self.mute.contains(&engine);
        let news = if mute { ReaderUpdate::Unchanged } else { ReaderUpdate::Report };
        for reader in readers {
            let name = self.daemons[reader].name.clone();
            for daemon in here.iter().filter(|daemon| **daemon != reader) {
                let table = &mut self.daemons[*daemon].table;
                table.observe_update(&engine_name(engine), &name, news, self.now);
            }
        }
        Ok(())
    }

    fn readers(&self, engine: usize) -> usize {
        (0..DAEMONS).filter(|daemon| self.reads(*daemon, engine)).count()
    }

    /// Heals all, and makes the views agree on who runs.
    fn heal(&mut self) {
        self.side = 0;
        self.mute.clear();
        let running: HashSet<usize> =
            (0..DAEMONS).filter(|index| self.daemons[*index].runs).collect();
        for index in 0..DAEMONS {
            self.daemons[index].view = running.clone();
            self.daemons[index].view.insert(index);
            self.show_view(index);
        }
    }
}

#[test]
fn no_engine_is_without_a_reader_beyond_the_bound() {
    let mut runner = TestRunner::new(config(41));
    let outcome = runner.run(&steps(), |steps| {
        let mut domain = ReaderDomain::new();
        steps.iter().try_for_each(|step| domain.apply(step))
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn one_daemon_reads_each_engine_once_views_agree() {
    let mut runner = TestRunner::new(config(42));
    let outcome = runner.run(&steps(), |steps| {
        let mut domain = ReaderDomain::new();
        steps.iter().try_for_each(|step| domain.apply(step))?;
        domain.heal();
        domain.apply(&ReaderStep::Wait { ticks: 30 })?;
        let expected = usize::from(domain.daemons.iter().any(|daemon| daemon.runs));
        for engine in 0..ENGINES {
            prop_assert_eq!(domain.readers(engine), expected, "readers of engine {}", engine);
        }
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn the_engines_of_a_dead_daemon_are_read_within_the_bound() {
    for dead in 0..DAEMONS {
        let mut domain = ReaderDomain::new();
        domain.apply(&ReaderStep::Wait { ticks: 20 }).expect("readers");
        domain.apply(&ReaderStep::Toggle { daemon: dead }).expect("readers");
        // The others go on to take the dead one for live.
        domain.apply(&ReaderStep::Wait { ticks: 11 }).expect("readers");
        for engine in 0..ENGINES {
            assert_eq!(domain.readers(engine), 1, "readers of engine {engine}");
        }
    }
}

#[test]
fn an_engine_that_gives_nothing_is_read_by_two_and_no_more() {
    let mut domain = ReaderDomain::new();
    domain.apply(&ReaderStep::Mute { engine: 0 }).expect("readers");
    domain.apply(&ReaderStep::Wait { ticks: 40 }).expect("readers");
    assert_eq!(domain.readers(0), 2);
}

#[test]
fn a_daemon_that_knows_no_other_reads_all() {
    let now = Timestamp::from_millis(1_000_000);
    let mut table = ReaderTable::new("daemon-0".into());
    for engine in 0..ENGINES {
        table.add(&engine_name(engine), SILENCE, now);
    }
    assert_eq!(table.assigned_engines(now).count(), ENGINES);
}

#[test]
fn daemons_share_the_engines() {
    let daemons: Vec<SmolStr> = (0..38).map(|index| format_smolstr!("daemon-{index}")).collect();
    let mut counts = vec![0_u32; daemons.len()];
    for engine in 0..780 {
        let reader = rendezvous::choose(&daemons, &engine_name(engine)).expect("a reader");
        counts[daemons.iter().position(|daemon| daemon == reader).expect("its place")] += 1;
    }
    // Twenty each on the average.
    assert!(counts.iter().all(|count| (6..=40).contains(count)), "{counts:?}");
}
