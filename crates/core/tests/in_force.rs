//! The time until all daemons of a failure domain know an accepted revision,
//! modelled in steps of a manual clock with the daemon's own timeouts and delays.

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

/// Number of daemons in a failure domain of the target size.
const DAEMON_COUNT: usize = 38;
/// Time within which users expect a revision to be in force on all daemons.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);
/// Step of the clock, longer than the transit time of a message within a domain.
const CLOCK_STEP: Duration = Duration::from_millis(10);
/// Time at which the platform accepts the revision.
const ACCEPTED_AT: Timestamp = Timestamp::from_millis(10_000);
const OLD_REVISION: u64 = 1;
const NEW_REVISION: u64 = 2;
const CASES: u32 = 60;

/// A connection that stops responding; the connection that replaces it works.
#[derive(Clone, Copy, Debug)]
struct UnresponsiveConnection {
    from: usize,
    to: usize,
    /// Time after the revision was accepted, or before it if negative.
    after_ms: i64,
}

#[derive(Clone, Debug)]
struct InjectedFaults {
    /// Number of watchers whose connection to the platform is unresponsive when the
    /// revision is accepted.
    unresponsive_watches: usize,
    /// Age of each watch when the revision is accepted.
    watch_ages_ms: Vec<u64>,
    /// Time between each connection's last heartbeat and the acceptance of the revision.
    heartbeat_ages_ms: Vec<u64>,
    connections: Vec<UnresponsiveConnection>,
}

/// State of a daemon's connection to a peer.
#[derive(Clone, Copy, Debug)]
enum ConnectionState {
    /// Waits for a change of the revision, at most until the given time.
    Waiting(Timestamp),
    /// Waits for a response that doesn't arrive, until the given time.
    Requesting(Timestamp),
    /// Opens a new connection at the given time.
    Reconnecting(Timestamp),
}

#[derive(Clone, Copy, Debug)]
struct PeerConnection {
    state: ConnectionState,
    unresponsive_from: Option<Timestamp>,
    /// Highest revision that was sent on this connection.
    sent_revision: u64,
    /// The daemon's own revision at the last comparison on this connection.
    compared_revision: u64,
}

/// State of a watcher's watch on the platform.
#[derive(Clone, Copy, Debug)]
enum WatchState {
    Watching,
    /// Waits on an unresponsive connection, until the given time.
    Unresponsive(Timestamp),
    /// Waits before the next watch, until the given time.
    Delayed(Timestamp),
}

/// Selects the daemons that send a revision to their peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PropagationRule {
    /// Every daemon, as in production.
    EveryDaemon,
    /// Only the watchers of the platform, to show that the test detects this rule.
    NaiveWatchersOnly,
}

struct DomainModel {
    rule: PropagationRule,
    now: Timestamp,
    is_watcher: Vec<bool>,
    tables: Vec<RevisionTable>,
    watches: Vec<WatchState>,
    /// Connections by their origin, then by their target.
    connections: Vec<Vec<PeerConnection>>,
}

impl DomainModel {
    fn new(rule: PropagationRule, faults: &InjectedFaults) -> Self {
        let daemons = faults.watch_ages_ms.len();
        let is_watcher = watchers(daemons);
        let mut tables = vec![RevisionTable::new([]); daemons];
        for table in &mut tables {
            let _ = table.offer(OLD_REVISION);
        }
        let mut domain = Self {
            rule,
            now: ACCEPTED_AT,
            is_watcher,
            tables,
            watches: Vec::new(),
            connections: Vec::new(),
        };
        let mut remaining = faults.unresponsive_watches;
        for (index, age_ms) in faults.watch_ages_ms.iter().enumerate() {
            let is_unresponsive = remaining > 0 && domain.is_watcher[index];
            remaining -= usize::from(is_unresponsive);
            let end = ACCEPTED_AT + WATCH_POLL_TIMEOUT + WATCH_TIMEOUT_MARGIN;
            domain.watches.push(match is_unresponsive {
                true => WatchState::Unresponsive(Timestamp::from_millis(end.as_millis() - age_ms)),
                false => WatchState::Watching,
            });
        }
        for from in 0..daemons {
            let connections = (0..daemons).map(|to| {
                let age_ms = faults.heartbeat_ages_ms
                    [(from * daemons + to) % faults.heartbeat_ages_ms.len()];
                let due = ACCEPTED_AT + HEARTBEAT_INTERVAL;
                let fault = faults
                    .connections
                    .iter()
                    .find(|connection| (connection.from, connection.to) == (from, to));
                PeerConnection {
                    state: ConnectionState::Waiting(Timestamp::from_millis(
                        due.as_millis() - age_ms,
                    )),
                    unresponsive_from: fault.map(|connection| {
                        Timestamp::from_millis(
                            ACCEPTED_AT.as_millis().saturating_add_signed(connection.after_ms),
                        )
                    }),
                    sent_revision: OLD_REVISION,
                    compared_revision: OLD_REVISION,
                }
            });
            domain.connections.push(connections.collect());
        }
        domain
    }

    fn step(&mut self) {
        self.now = self.now + CLOCK_STEP;
        for index in 0..self.is_watcher.len() {
            if self.is_watcher[index] {
                self.step_watch(index);
            }
        }
        // A revision that arrives in a step is sent on in the next one.
        let known_revisions: Vec<_> = self.tables.iter().map(RevisionTable::newest).collect();
        for from in 0..known_revisions.len() {
            for to in (0..known_revisions.len()).filter(|to| *to != from) {
                self.step_connection(from, to, &known_revisions);
            }
        }
    }

    fn step_watch(&mut self, index: usize) {
        match self.watches[index] {
            WatchState::Watching => {
                let _ = self.tables[index].offer(NEW_REVISION);
            }
            WatchState::Unresponsive(end) if self.now >= end => {
                self.watches[index] = WatchState::Delayed(self.now + WATCH_RETRY_DELAY);
            }
            WatchState::Delayed(end) if self.now >= end => {
                self.watches[index] = WatchState::Watching;
            }
            WatchState::Unresponsive(_) | WatchState::Delayed(_) => {}
        }
    }

    fn step_connection(&mut self, from: usize, to: usize, known_revisions: &[u64]) {
        let now = self.now;
        let by_watcher = self.is_watcher[from] || self.is_watcher[to];
        if self.rule == PropagationRule::NaiveWatchersOnly && !by_watcher {
            return;
        }
        let connection = &mut self.connections[from][to];
        match connection.state {
            ConnectionState::Waiting(end)
                if now < end && connection.compared_revision == known_revisions[from] =>
            {
                return
            }
            ConnectionState::Waiting(_) => {}
            ConnectionState::Requesting(end) if now >= end => {
                connection.state = ConnectionState::Reconnecting(now + RECONNECT_DELAY);
                return;
            }
            ConnectionState::Reconnecting(end) if now >= end => {
                (connection.unresponsive_from, connection.sent_revision) = (None, 0);
            }
            ConnectionState::Requesting(_) | ConnectionState::Reconnecting(_) => return,
        }
        if connection.unresponsive_from.is_some_and(|since| now >= since) {
            connection.state = ConnectionState::Requesting(now + PEER_TIMEOUT);
            return;
        }
        connection.state = ConnectionState::Waiting(now + HEARTBEAT_INTERVAL);
        connection.compared_revision = known_revisions[from];
        match revisions::compare(
            known_revisions[from],
            known_revisions[to],
            connection.sent_revision,
        ) {
            PeerExchange::Ask => drop(self.tables[from].offer(known_revisions[to])),
            PeerExchange::Tell => {
                connection.sent_revision = known_revisions[from];
                let _ = self.tables[to].offer(known_revisions[from]);
            }
            PeerExchange::Nothing => {}
        }
    }

    /// Returns the time from the acceptance until all daemons know the revision.
    fn propagation_time(&mut self) -> Duration {
        while self.tables.iter().any(|table| table.newest() < NEW_REVISION) {
            self.step();
        }
        self.now.since(ACCEPTED_AT)
    }
}

/// Returns for each daemon of a domain whether it watches the platform.
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

fn connection() -> impl Strategy<Value = UnresponsiveConnection> {
    (0..DAEMON_COUNT, 0..DAEMON_COUNT, -1_000..4_000_i64)
        .prop_map(|(from, to, after_ms)| UnresponsiveConnection { from, to, after_ms })
}

fn faults() -> impl Strategy<Value = InjectedFaults> {
    let watch_ages =
        proptest::collection::vec(0..WATCH_POLL_TIMEOUT.as_millis() as u64, DAEMON_COUNT);
    let heartbeat_ages = proptest::collection::vec(0..HEARTBEAT_INTERVAL.as_millis() as u64, 97);
    // Up to a quarter of all connections between the daemons.
    let connections = proptest::collection::vec(connection(), 0..DAEMON_COUNT * DAEMON_COUNT / 4);
    (0..=DOMAIN_WATCHERS, watch_ages, heartbeat_ages, connections).prop_map(
        |(unresponsive_watches, watch_ages_ms, heartbeat_ages_ms, connections)| InjectedFaults {
            unresponsive_watches,
            watch_ages_ms,
            heartbeat_ages_ms,
            connections,
        },
    )
}

#[test]
fn every_daemon_knows_a_revision_in_time_despite_unresponsive_watches_and_connections() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&faults(), |faults| {
        let propagation_time =
            DomainModel::new(PropagationRule::EveryDaemon, &faults).propagation_time();
        prop_assert!(
            propagation_time <= PROPAGATION_LIMIT,
            "all daemons knew the revision only after {propagation_time:?}"
        );
        Ok::<_, TestCaseError>(())
    });
    result.unwrap();
}

/// Returns the faults of the worst case: both watches have just begun on
/// unresponsive connections, and the connections between a quarter of the daemons
/// and the given number of watchers, in both directions, stop responding at the
/// given time.
fn worst_case_faults(daemons: usize, watcher_count: usize, after_ms: i64) -> InjectedFaults {
    let is_watcher = watchers(daemons);
    let indices = || 0..daemons;
    let mut connections = Vec::new();
    for watcher in indices().filter(|index| is_watcher[*index]).take(watcher_count) {
        for other in indices().filter(|index| !is_watcher[*index]).take(daemons.div_ceil(4)) {
            connections.push(UnresponsiveConnection { from: other, to: watcher, after_ms });
            connections.push(UnresponsiveConnection { from: watcher, to: other, after_ms });
        }
    }
    InjectedFaults {
        unresponsive_watches: DOMAIN_WATCHERS,
        watch_ages_ms: vec![0; daemons],
        heartbeat_ages_ms: vec![0],
        connections,
    }
}

/// Returns the longest propagation time over all times at which the connections
/// stop responding.
fn worst_propagation_time(rule: PropagationRule, daemons: usize, watcher_count: usize) -> Duration {
    let times = (-1_000..4_000).step_by(50);
    let propagation_time = |after_ms| {
        DomainModel::new(rule, &worst_case_faults(daemons, watcher_count, after_ms))
            .propagation_time()
    };
    times.map(propagation_time).max().expect("at least one time")
}

/// Guards against a revision that reaches some daemons too late because both
/// watches and the connections to both watchers stop responding at the worst time.
#[test]
fn revisions_arrive_in_time_with_unresponsive_connections_to_both_watchers() {
    let worst = worst_propagation_time(PropagationRule::EveryDaemon, DAEMON_COUNT, DOMAIN_WATCHERS);
    println!("{DAEMON_COUNT} daemons: {worst:?}");
    assert!(worst <= PROPAGATION_LIMIT, "{worst:?}");
}

#[test]
fn revisions_arrive_in_time_in_a_small_domain_with_unresponsive_connections_to_one_watcher() {
    let worst = worst_propagation_time(PropagationRule::EveryDaemon, 3, 1);
    println!("3 daemons: {worst:?}");
    assert!(worst <= PROPAGATION_LIMIT, "{worst:?}");
}

#[test]
fn propagation_by_watchers_only_is_detected() {
    let worst =
        worst_propagation_time(PropagationRule::NaiveWatchersOnly, DAEMON_COUNT, DOMAIN_WATCHERS);
    println!("{DAEMON_COUNT} daemons, by watchers only: {worst:?}");
    assert!(worst > PROPAGATION_LIMIT, "{worst:?}");
}
