//! How soon an accepted revision is known to all daemons of a failure domain,
//! in steps of a manual clock and with the times that the daemon uses.

use std::time::Duration;

use gooseberry_core::{
    revisions::{
        self, PeerExchange, RevisionTable, WatchCandidate, DOMAIN_WATCHERS, HEARTBEAT_INTERVAL,
        PEER_TIMEOUT, RECONNECT_DELAY, WATCH_POLL_TIMEOUT, WATCH_RETRY_DELAY, WATCH_TIMEOUT_MARGIN,
    },
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

/// Daemons of a failure domain at target size.
const DAEMONS: usize = 38;
/// Time in which the users expect a revision to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Step of the clock, longer than a message takes on its way in a domain.
const STEP: Duration = Duration::from_millis(10);
/// Time at which the platform accepts the revision.
const ACCEPTED: Timestamp = Timestamp::from_millis(10_000);
const OLD: u64 = 1;
const NEW: u64 = 2;
const CASES: u32 = 60;

/// One connection that goes silent; a new one that replaces it works.
#[derive(Clone, Copy, Debug)]
struct SilentLink {
    from: usize,
    to: usize,
    /// Time after the acceptance, or before it if negative.
    after_ms: i64,
}

#[derive(Clone, Debug)]
struct Faults {
    /// Watchers whose connection to the platform is silent at the acceptance.
    silent_watches: usize,
    /// How long before the acceptance each watch began.
    ages_ms: Vec<u64>,
    /// How long before the acceptance each connection's last heartbeat was.
    beats_ms: Vec<u64>,
    links: Vec<SilentLink>,
}

/// What one connection of a daemon to a peer does.
#[derive(Clone, Copy, Debug)]
enum LinkStep {
    /// Waits for a change, at most until then.
    Waits(Timestamp),
    /// Waits for an answer that doesn't come, until then.
    Asks(Timestamp),
    /// Opens a new connection then.
    Opens(Timestamp),
}

#[derive(Clone, Copy, Debug)]
struct PeerLink {
    step: LinkStep,
    silent_from: Option<Timestamp>,
    told: u64,
    /// Revision of the daemon that was last compared on it.
    compared: u64,
}

#[derive(Clone, Copy, Debug)]
enum WatchStep {
    Watches,
    /// Waits on a silent connection, until then.
    Silent(Timestamp),
    Pauses(Timestamp),
}

/// Says who passes a revision on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SpreadRule {
    /// Every daemon, as it is built.
    EveryDaemon,
    /// Only those that wait on the platform, to show that the model notices.
    NaiveWatchersOnly,
}

struct Domain {
    rule: SpreadRule,
    now: Timestamp,
    is_watcher: Vec<bool>,
    tables: Vec<RevisionTable>,
    watches: Vec<WatchStep>,
    /// Links by their origin, then by their target.
    links: Vec<Vec<PeerLink>>,
}

impl Domain {
    fn new(rule: SpreadRule, faults: &Faults) -> Self {
        let daemons = faults.ages_ms.len();
        let is_watcher = watchers(daemons);
        let mut tables = vec![RevisionTable::new([]); daemons];
        for table in &mut tables {
            let _ = table.offer(OLD);
        }
        let mut domain = Self {
            rule,
            now: ACCEPTED,
            is_watcher,
            tables,
            watches: Vec::new(),
            links: Vec::new(),
        };
        let mut silent = faults.silent_watches;
        for (index, age) in faults.ages_ms.iter().enumerate() {
            let is_silent = silent > 0 && domain.is_watcher[index];
            silent -= usize::from(is_silent);
            let end = ACCEPTED + WATCH_POLL_TIMEOUT + WATCH_TIMEOUT_MARGIN;
            domain.watches.push(match is_silent {
                true => WatchStep::Silent(Timestamp::from_millis(end.as_millis() - age)),
                false => WatchStep::Watches,
            });
        }
        for from in 0..daemons {
            let links = (0..daemons).map(|to| {
                let beat = faults.beats_ms[(from * daemons + to) % faults.beats_ms.len()];
                let due = ACCEPTED + HEARTBEAT_INTERVAL;
                let found = faults.links.iter().find(|link| (link.from, link.to) == (from, to));
                PeerLink {
                    step: LinkStep::Waits(Timestamp::from_millis(due.as_millis() - beat)),
                    silent_from: found.map(|link| {
                        Timestamp::from_millis(
                            ACCEPTED.as_millis().saturating_add_signed(link.after_ms),
                        )
                    }),
                    told: OLD,
                    compared: OLD,
                }
            });
            domain.links.push(links.collect());
        }
        domain
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.is_watcher.len() {
            if self.is_watcher[index] {
                self.step_watch(index);
            }
        }
        // What is told in a step is passed on in the next one.
        let known: Vec<_> = self.tables.iter().map(RevisionTable::newest).collect();
        for from in 0..known.len() {
            for to in (0..known.len()).filter(|to| *to != from) {
                self.step_link(from, to, &known);
            }
        }
    }

    fn step_watch(&mut self, index: usize) {
        match self.watches[index] {
            WatchStep::Watches => {
                let _ = self.tables[index].offer(NEW);
            }
            WatchStep::Silent(end) if self.now >= end => {
                self.watches[index] = WatchStep::Pauses(self.now + WATCH_RETRY_DELAY);
            }
            WatchStep::Pauses(end) if self.now >= end => {
                self.watches[index] = WatchStep::Watches;
            }
            WatchStep::Silent(_) | WatchStep::Pauses(_) => {}
        }
    }

    fn step_link(&mut self, from: usize, to: usize, known: &[u64]) {
        let now = self.now;
        let by_watcher = self.is_watcher[from] || self.is_watcher[to];
        if self.rule == SpreadRule::NaiveWatchersOnly && !by_watcher {
            return;
        }
        let link = &mut self.links[from][to];
        match link.step {
            LinkStep::Waits(end) if now < end && link.compared == known[from] => return,
            LinkStep::Waits(_) => {}
            LinkStep::Asks(end) if now >= end => {
                link.step = LinkStep::Opens(now + RECONNECT_DELAY);
                return;
            }
            LinkStep::Opens(end) if now >= end => {
                (link.silent_from, link.told) = (None, 0);
            }
            LinkStep::Asks(_) | LinkStep::Opens(_) => return,
        }
        if link.silent_from.is_some_and(|since| now >= since) {
            link.step = LinkStep::Asks(now + PEER_TIMEOUT);
            return;
        }
        link.step = LinkStep::Waits(now + HEARTBEAT_INTERVAL);
        link.compared = known[from];
        match revisions::compare(known[from], known[to], link.told) {
            PeerExchange::Ask => drop(self.tables[from].offer(known[to])),
            PeerExchange::Tell => {
                link.told = known[from];
                let _ = self.tables[to].offer(known[from]);
            }
            PeerExchange::Nothing => {}
        }
    }

    /// Returns the time after the acceptance at which all daemons know of it.
    fn spread(&mut self) -> Duration {
        while self.tables.iter().any(|table| table.newest() < NEW) {
            self.step();
        }
        self.now.since(ACCEPTED)
    }
}

/// Tells of each daemon of a domain whether it waits on the platform.
fn watchers(daemons: usize) -> Vec<bool> {
    let names: Vec<_> = (0..daemons).map(|index| format_smolstr!("daemon-{index}")).collect();
    let watches = |own| {
        let peers = names.iter().filter(|name| *name != own);
        revisions::should_watch(candidate(own), peers.map(candidate))
    };
    names.iter().map(watches).collect()
}

fn candidate(name: &SmolStr) -> WatchCandidate<'_> {
    WatchCandidate { name, platform_reachable: true }
}

fn link() -> impl Strategy<Value = SilentLink> {
    (0..DAEMONS, 0..DAEMONS, -1_000..4_000_i64).prop_map(|(from, to, after_ms)| SilentLink {
        from,
        to,
        after_ms,
    })
}

fn faults() -> impl Strategy<Value = Faults> {
    let ages = proptest::collection::vec(0..WATCH_POLL_TIMEOUT.as_millis() as u64, DAEMONS);
    let beats = proptest::collection::vec(0..HEARTBEAT_INTERVAL.as_millis() as u64, 97);
    // Up to a quarter of all connections between the daemons.
    let links = proptest::collection::vec(link(), 0..DAEMONS * DAEMONS / 4);
    (0..=DOMAIN_WATCHERS, ages, beats, links).prop_map(
        |(silent_watches, ages_ms, beats_ms, links)| Faults {
            silent_watches,
            ages_ms,
            beats_ms,
            links,
        },
    )
}

#[test]
fn every_daemon_knows_a_revision_in_time_although_watches_and_links_are_silent() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&faults(), |faults| {
        let spread = Domain::new(SpreadRule::EveryDaemon, &faults).spread();
        prop_assert!(spread <= IN_FORCE, "known everywhere after {spread:?}");
        Ok::<_, TestCaseError>(())
    });
    result.unwrap();
}

/// Makes the faults in which everything that may be silent is so at the worst
/// time: both watches have just begun, and the connections of some daemons,
/// either way to so many watchers, fall silent at a given time.
fn worst_faults(daemons: usize, silent_watchers: usize, after_ms: i64) -> Faults {
    let is_watcher = watchers(daemons);
    let all = || 0..daemons;
    let mut links = Vec::new();
    for watcher in all().filter(|index| is_watcher[*index]).take(silent_watchers) {
        for other in all().filter(|index| !is_watcher[*index]).take(daemons.div_ceil(4)) {
            links.push(SilentLink { from: other, to: watcher, after_ms });
            links.push(SilentLink { from: watcher, to: other, after_ms });
        }
    }
    Faults { silent_watches: DOMAIN_WATCHERS, ages_ms: vec![0; daemons], beats_ms: vec![0], links }
}

/// Returns the longest spread over all times at which connections fall silent.
fn worst_spread(rule: SpreadRule, daemons: usize, silent_watchers: usize) -> Duration {
    let times = (-1_000..4_000).step_by(50);
    let spread =
        |after_ms| Domain::new(rule, &worst_faults(daemons, silent_watchers, after_ms)).spread();
    times.map(spread).max().expect("some times")
}

#[test]
fn two_silent_watches_and_silent_links_to_both_watchers_at_the_worst_time() {
    let worst = worst_spread(SpreadRule::EveryDaemon, DAEMONS, DOMAIN_WATCHERS);
    println!("{DAEMONS} daemons: {worst:?}");
    assert!(worst <= IN_FORCE, "{worst:?}");
}

#[test]
fn a_small_domain_with_two_silent_watches_and_silent_links_to_one_watcher() {
    let worst = worst_spread(SpreadRule::EveryDaemon, 3, 1);
    println!("3 daemons: {worst:?}");
    assert!(worst <= IN_FORCE, "{worst:?}");
}

#[test]
fn passing_on_by_watchers_only_is_noticed() {
    let worst = worst_spread(SpreadRule::NaiveWatchersOnly, DAEMONS, DOMAIN_WATCHERS);
    println!("{DAEMONS} daemons, by watchers only: {worst:?}");
    assert!(worst > IN_FORCE, "{worst:?}");
}
