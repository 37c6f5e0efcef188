//! Revisions only grow, whoever offers one and however often a daemon restarts.

use std::collections::BTreeSet;

use gooseberry_core::revisions::{
    self, RevisionTable, RevisionVerdict, WatchCandidate, DOMAIN_WATCHERS, STARTUP_TICK_LIMIT,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

const DAEMONS: usize = 4;
const CASES: u32 = 20_000;

/// Breaks the rule on purpose, to show that the property notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartRule {
    AskPeersFirst,
    NaiveFirstOffer,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator records a new text.
    Edit,
    /// The platform loses its data and begins again.
    LoseData,
    Watch(usize),
    Pull(usize, usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    /// Time passes, counted in steps by the daemons that aren't paused.
    Advance(u32),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let daemon = || 0..DAEMONS;
    let event = prop_oneof![
        3 => Just(Event::Edit),
        1 => Just(Event::LoseData),
        4 => daemon().prop_map(Event::Watch),
        6 => (daemon(), daemon()).prop_map(|(daemon, peer)| Event::Pull(daemon, peer)),
        2 => daemon().prop_map(Event::Pause),
        1 => daemon().prop_map(Event::Resume),
        3 => daemon().prop_map(Event::Restart),
        1 => (1..30u32).prop_map(Event::Advance),
    ];
    proptest::collection::vec(event, 1..60)
}

struct Daemon {
    table: RevisionTable,
    paused: bool,
    applied: u64,
    /// Peers that could be asked at each moment since the start, with the
    /// newest revision that each had then.
    reachable: Vec<(usize, u64)>,
}

struct World {
    rule: StartRule,
    recorded: u64,
    daemons: Vec<Daemon>,
}

impl World {
    fn new(rule: StartRule) -> Self {
        let mut world = Self { rule, recorded: 0, daemons: Vec::new() };
        for daemon in 0..DAEMONS {
            let table = world.table(daemon);
            world.daemons.push(Daemon { table, paused: false, applied: 0, reachable: Vec::new() });
        }
        world
    }

    fn table(&self, daemon: usize) -> RevisionTable {
        let peers = (0..DAEMONS).filter(|peer| *peer != daemon).map(name);
        match self.rule {
            StartRule::AskPeersFirst => RevisionTable::new(peers),
            StartRule::NaiveFirstOffer => RevisionTable::new([]),
        }
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Edit => self.recorded += 1,
            Event::LoseData => self.recorded = 0,
            Event::Watch(daemon) if !self.daemons[daemon].paused => {
                self.offer(daemon, self.recorded)?;
            }
            Event::Pull(daemon, peer) if !self.daemons[daemon].paused => {
                self.pull(daemon, peer)?;
            }
            Event::Watch(_) | Event::Pull(..) => {}
            Event::Pause(daemon) => {
                self.daemons[daemon].paused = true;
                self.forget(daemon);
            }
            Event::Resume(daemon) => self.daemons[daemon].paused = false,
            Event::Restart(daemon) => self.restart(daemon),
            Event::Advance(ticks) => return self.advance(ticks),
        }
        Ok(())
    }

    fn offer(&mut self, daemon: usize, revision: u64) -> Result<(), TestCaseError> {
        if revision > 0 {
            let newest = self.daemons[daemon].table.newest();
            let verdict = self.daemons[daemon].table.offer(revision);
            prop_assert_eq!(verdict == RevisionVerdict::Lower, revision < newest);
        }
        self.put_in_force(daemon)
    }

    fn pull(&mut self, daemon: usize, peer: usize) -> Result<(), TestCaseError> {
        if daemon == peer {
            return Ok(());
        }
        if !self.daemons[peer].paused {
            let newest = self.daemons[peer].table.newest();
            self.offer(daemon, newest)?;
        }
        self.daemons[daemon].table.peer_answered(&name(peer));
        self.put_in_force(daemon)
    }

    fn put_in_force(&mut self, daemon: usize) -> Result<(), TestCaseError> {
        let entry = &mut self.daemons[daemon];
        let Some(revision) = entry.table.next_to_apply() else { return Ok(()) };
        prop_assert!(revision > entry.applied, "{revision} after {}", entry.applied);
        let known = entry.reachable.iter().map(|(_, newest)| *newest).max();
        let known = known.unwrap_or_default();
        prop_assert!(
            entry.applied > 0 || revision >= known,
            "started with {revision} while a peer had {known}"
        );
        entry.applied = revision;
        Ok(())
    }

    /// A daemon that can't be asked for a while can't be counted on.
    fn forget(&mut self, gone: usize) {
        for daemon in &mut self.daemons {
            daemon.reachable.retain(|(peer, _)| *peer != gone);
        }
    }

    fn restart(&mut self, daemon: usize) {
        self.forget(daemon);
        let peers = (0..DAEMONS).filter(|peer| *peer != daemon && !self.daemons[*peer].paused);
        let reachable = peers.map(|peer| (peer, self.daemons[peer].table.newest())).collect();
        let table = self.table(daemon);
        self.daemons[daemon] = Daemon { table, paused: false, applied: 0, reachable };
    }

    /// Peers that can be asked answer before the wait for silent ones ends.
    fn advance(&mut self, ticks: u32) -> Result<(), TestCaseError> {
        for daemon in 0..DAEMONS {
            if self.daemons[daemon].paused {
                continue;
            }
            for peer in 0..DAEMONS {
                if peer != daemon && !self.daemons[peer].paused {
                    self.pull(daemon, peer)?;
                }
            }
        }
        for daemon in 0..DAEMONS {
            if !self.daemons[daemon].paused {
                (0..ticks).for_each(|_| self.daemons[daemon].table.tick());
                self.put_in_force(daemon)?;
            }
        }
        Ok(())
    }

    /// With the faults over, all daemons come to the highest revision known.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for daemon in &mut self.daemons {
            daemon.paused = false;
        }
        for daemon in 0..DAEMONS {
            self.offer(daemon, self.recorded)?;
        }
        self.advance(STARTUP_TICK_LIMIT)?;
        self.advance(STARTUP_TICK_LIMIT)?;
        let applied: BTreeSet<_> = self.daemons.iter().map(|daemon| daemon.applied).collect();
        prop_assert_eq!(applied.len(), 1, "{:?}", applied);
        prop_assert!(applied.iter().all(|applied| *applied >= self.recorded));
        Ok(())
    }
}

fn name(daemon: usize) -> SmolStr {
    format_smolstr!("peer-{daemon}")
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn run(rule: StartRule) -> Result<(), TestError<Vec<Event>>> {
    runner(CASES).run(&events(), |events| {
        let mut world = World::new(rule);
        for event in events {
            world.apply(event)?;
        }
        world.settle()
    })
}

#[test]
fn a_daemon_never_goes_back_and_starts_with_the_highest_that_its_peers_have() {
    run(StartRule::AskPeersFirst).unwrap();
}

#[test]
fn taking_the_first_offer_at_the_start_is_noticed() {
    let error = run(StartRule::NaiveFirstOffer).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("started with"), "{error}");
}

#[test]
fn a_silent_peer_holds_a_start_up_no_longer_than_the_grace() {
    let mut table = RevisionTable::new([name(0), name(1)]);
    table.peer_answered(&name(0));
    assert_eq!(table.offer(3), RevisionVerdict::Accepted);
    (1..STARTUP_TICK_LIMIT).for_each(|_| table.tick());
    assert_eq!(table.next_to_apply(), None);
    table.tick();
    assert_eq!(table.next_to_apply(), Some(3));
    assert_eq!(table.next_to_apply(), None);
}

#[test]
fn one_or_two_daemons_of_a_domain_wait_on_the_platform() {
    let domain = proptest::collection::btree_map("[a-z]{1,6}", any::<bool>(), 1..40);
    let result = runner(2_000).run(&domain, |domain| {
        let candidates: Vec<_> = domain
            .iter()
            .map(|(name, reachable)| WatchCandidate { name, platform_reachable: *reachable })
            .collect();
        let able = candidates.iter().filter(|candidate| candidate.platform_reachable).count();
        let watchers: Vec<_> = candidates
            .iter()
            .filter(|own| {
                let peers = candidates.iter().filter(|peer| peer.name != own.name).copied();
                revisions::should_watch(**own, peers)
            })
            .collect();
        let expected = if able == 0 { candidates.len() } else { able };
        prop_assert_eq!(watchers.len(), expected.min(DOMAIN_WATCHERS));
        prop_assert!(able == 0 || watchers.iter().all(|watcher| watcher.platform_reachable));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_daemon_that_hears_nobody_waits_itself() {
    for platform_reachable in [false, true] {
        assert!(revisions::should_watch(WatchCandidate { name: "alone", platform_reachable }, []));
    }
}
