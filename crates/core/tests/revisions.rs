//! A daemon's configuration revision never decreases, whichever peer or platform
//! offers a revision and however often daemons restart.

use std::collections::BTreeSet;

use gooseberry_core::revisions::{
    self, RevisionTable, RevisionVerdict, WatchCandidate, DOMAIN_WATCHERS, STARTUP_TICK_LIMIT,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

const DAEMON_COUNT: usize = 4;
const CASES: u32 = 20_000;

/// Rule by which a starting daemon chooses its revision. The naive rule is wrong on
/// purpose, to show that the property detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartRule {
    /// Waits for the peers' revisions, as in production.
    AskPeersFirst,
    /// Applies the first revision that is offered.
    NaiveFirstOffer,
}

#[derive(Clone, Copy, Debug)]
enum RevisionEvent {
    /// An operator records a new configuration.
    Edit,
    /// The platform loses its data, and its revisions start again at 0.
    LoseData,
    /// A daemon reads the platform's revision.
    Watch(usize),
    /// A daemon gets the revision of a peer.
    Pull(usize, usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    /// Time passes, counted in steps by the daemons that aren't paused.
    Advance(u32),
}

fn events() -> impl Strategy<Value = Vec<RevisionEvent>> {
    let daemon = || 0..DAEMON_COUNT;
    let event = prop_oneof![
        3 => Just(RevisionEvent::Edit),
        1 => Just(RevisionEvent::LoseData),
        4 => daemon().prop_map(RevisionEvent::Watch),
        6 => (daemon(), daemon()).prop_map(|(daemon, peer)| RevisionEvent::Pull(daemon, peer)),
        2 => daemon().prop_map(RevisionEvent::Pause),
        1 => daemon().prop_map(RevisionEvent::Resume),
        3 => daemon().prop_map(RevisionEvent::Restart),
        1 => (1..30u32).prop_map(RevisionEvent::Advance),
    ];
    proptest::collection::vec(event, 1..60)
}

struct DaemonModel {
    table: RevisionTable,
    paused: bool,
    applied: u64,
    /// Peers that have been reachable without a break since this daemon started, with
    /// the newest revision that each had at that start.
    reachable: Vec<(usize, u64)>,
}

struct RevisionModel {
    rule: StartRule,
    recorded: u64,
    daemons: Vec<DaemonModel>,
}

impl RevisionModel {
    fn new(rule: StartRule) -> Self {
        let mut model = Self { rule, recorded: 0, daemons: Vec::new() };
        for daemon in 0..DAEMON_COUNT {
            let table = model.table(daemon);
            model.daemons.push(DaemonModel {
                table,
                paused: false,
                applied: 0,
                reachable: Vec::new(),
            });
        }
        model
    }

    fn table(&self, daemon: usize) -> RevisionTable {
        let peers = (0..DAEMON_COUNT).filter(|peer| *peer != daemon).map(peer_name);
        match self.rule {
            StartRule::AskPeersFirst => RevisionTable::new(peers),
            StartRule::NaiveFirstOffer => RevisionTable::new([]),
        }
    }

    fn apply(&mut self, event: RevisionEvent) -> Result<(), TestCaseError> {
        match event {
            RevisionEvent::Edit => self.recorded += 1,
            RevisionEvent::LoseData => self.recorded = 0,
            RevisionEvent::Watch(daemon) if !self.daemons[daemon].paused => {
                self.offer(daemon, self.recorded)?;
            }
            RevisionEvent::Pull(daemon, peer) if !self.daemons[daemon].paused => {
                self.pull(daemon, peer)?;
            }
            RevisionEvent::Watch(_) | RevisionEvent::Pull(..) => {}
            RevisionEvent::Pause(daemon) => {
                self.daemons[daemon].paused = true;
                self.remove_reachable(daemon);
            }
            RevisionEvent::Resume(daemon) => self.daemons[daemon].paused = false,
            RevisionEvent::Restart(daemon) => self.restart(daemon),
            RevisionEvent::Advance(ticks) => return self.advance(ticks),
        }
        Ok(())
    }

    fn offer(&mut self, daemon: usize, revision: u64) -> Result<(), TestCaseError> {
        if revision > 0 {
            let newest = self.daemons[daemon].table.newest();
            let verdict = self.daemons[daemon].table.offer(revision);
            prop_assert_eq!(verdict == RevisionVerdict::Lower, revision < newest);
        }
        self.apply_next(daemon)
    }

    fn pull(&mut self, daemon: usize, peer: usize) -> Result<(), TestCaseError> {
        if daemon == peer {
            return Ok(());
        }
        if !self.daemons[peer].paused {
            let newest = self.daemons[peer].table.newest();
            self.offer(daemon, newest)?;
        }
        self.daemons[daemon].table.peer_answered(&peer_name(peer));
        self.apply_next(daemon)
    }

    fn apply_next(&mut self, daemon: usize) -> Result<(), TestCaseError> {
        let entry = &mut self.daemons[daemon];
        let Some(revision) = entry.table.next_to_apply() else { return Ok(()) };
        prop_assert!(
            revision > entry.applied,
            "revision {revision} was applied after revision {}",
            entry.applied
        );
        let highest_known = entry.reachable.iter().map(|(_, newest)| *newest).max();
        let highest_known = highest_known.unwrap_or_default();
        prop_assert!(
            entry.applied > 0 || revision >= highest_known,
            "a daemon started with revision {revision} while a peer had {highest_known}"
        );
        entry.applied = revision;
        Ok(())
    }

    /// Removes a daemon from the reachable peers of all daemons, since it isn't
    /// reachable for a while.
    fn remove_reachable(&mut self, removed: usize) {
        for daemon in &mut self.daemons {
            daemon.reachable.retain(|(peer, _)| *peer != removed);
        }
    }

    fn restart(&mut self, daemon: usize) {
        self.remove_reachable(daemon);
        let peers = (0..DAEMON_COUNT).filter(|peer| *peer != daemon && !self.daemons[*peer].paused);
        let reachable = peers.map(|peer| (peer, self.daemons[peer].table.newest())).collect();
        let table = self.table(daemon);
        self.daemons[daemon] = DaemonModel { table, paused: false, applied: 0, reachable };
    }

    /// Advances the clock. Reachable peers respond before the wait for unresponsive
    /// ones ends.
    fn advance(&mut self, ticks: u32) -> Result<(), TestCaseError> {
        for daemon in 0..DAEMON_COUNT {
            if self.daemons[daemon].paused {
                continue;
            }
            for peer in 0..DAEMON_COUNT {
                if peer != daemon && !self.daemons[peer].paused {
                    self.pull(daemon, peer)?;
                }
            }
        }
        for daemon in 0..DAEMON_COUNT {
            if !self.daemons[daemon].paused {
                (0..ticks).for_each(|_| self.daemons[daemon].table.tick());
                self.apply_next(daemon)?;
            }
        }
        Ok(())
    }

    /// Ends all faults and checks that all daemons apply the same revision, which is at
    /// least the recorded one.
    fn converge(&mut self) -> Result<(), TestCaseError> {
        for daemon in &mut self.daemons {
            daemon.paused = false;
        }
        for daemon in 0..DAEMON_COUNT {
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

fn peer_name(daemon: usize) -> SmolStr {
    format_smolstr!("peer-{daemon}")
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn run(rule: StartRule) -> Result<(), TestError<Vec<RevisionEvent>>> {
    runner(CASES).run(&events(), |events| {
        let mut model = RevisionModel::new(rule);
        for event in events {
            model.apply(event)?;
        }
        model.converge()
    })
}

#[test]
fn a_daemon_never_applies_a_lower_revision_and_starts_with_the_highest_of_its_peers() {
    run(StartRule::AskPeersFirst).unwrap();
}

#[test]
fn applying_the_first_offer_at_startup_is_detected() {
    let error = run(StartRule::NaiveFirstOffer).unwrap_err();
    println!("{error}");
    assert!(error.to_string().contains("started with"), "{error}");
}

#[test]
fn an_unresponsive_peer_delays_startup_by_the_tick_limit_at_most() {
    let mut table = RevisionTable::new([peer_name(0), peer_name(1)]);
    table.peer_answered(&peer_name(0));
    assert_eq!(table.offer(3), RevisionVerdict::Accepted);
    (1..STARTUP_TICK_LIMIT).for_each(|_| table.tick());
    assert_eq!(table.next_to_apply(), None);
    table.tick();
    assert_eq!(table.next_to_apply(), Some(3));
    assert_eq!(table.next_to_apply(), None);
}

#[test]
fn one_or_two_daemons_of_a_domain_watch_the_platform() {
    let domain = proptest::collection::btree_map("[a-z]{1,6}", any::<bool>(), 1..40);
    let result = runner(2_000).run(&domain, |domain| {
        let candidates: Vec<_> = domain
            .iter()
            .map(|(name, reachable)| WatchCandidate { name, platform_reachable: *reachable })
            .collect();
        let reachable_count =
            candidates.iter().filter(|candidate| candidate.platform_reachable).count();
        let watchers: Vec<_> = candidates
            .iter()
            .filter(|own| {
                let peers = candidates.iter().filter(|peer| peer.name != own.name).copied();
                revisions::should_watch(**own, peers)
            })
            .collect();
        let expected = if reachable_count == 0 { candidates.len() } else { reachable_count };
        prop_assert_eq!(watchers.len(), expected.min(DOMAIN_WATCHERS));
        prop_assert!(
            reachable_count == 0 || watchers.iter().all(|watcher| watcher.platform_reachable)
        );
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_daemon_without_peers_watches_the_platform() {
    for platform_reachable in [false, true] {
        assert!(revisions::should_watch(WatchCandidate { name: "alone", platform_reachable }, []));
    }
}
