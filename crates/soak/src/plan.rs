//! The faults of a seed and their times.

use std::time::Duration;

use gooseberry_harness::proxy::ProxyState;
use rand::{
    seq::{IndexedRandom, SliceRandom},
    Rng, SeedableRng,
};
use rand_chacha::ChaCha8Rng;

use crate::{SoakOptions, SoakScenario};

/// Shortest and longest time between the starts of two faults.
const FAULT_INTERVAL_MS: (u64, u64) = (150, 1200);
/// Shortest and longest duration of a fault.
const FAULT_DURATION_MS: (u64, u64) = (200, 2500);
/// Shortest and longest time between the starts of two faults that cut streams.
const CUT_INTERVAL_MS: (u64, u64) = (800, 3000);
/// Earliest and latest time of the first poison request.
const POISON_START_MS: (u64, u64) = (200, 6000);
/// Shortest and longest time between two poison requests.
const POISON_INTERVAL_MS: (u64, u64) = (120, 450);
/// Share of the seeds that have poison requests.
const POISON_SHARE: f64 = 0.75;
/// Earliest and latest time from which a server names a limit.
const LIMIT_START_MS: (u64, u64) = (200, 8000);
/// Lowest and highest limit, in requests per second.
const LIMITS_PER_SECOND: (f64, f64) = (0.5, 12.0);
/// Share of the seeds in which a server names a limit.
const LIMIT_SHARE: f64 = 0.75;
/// Earliest and latest start, and shortest and longest duration, of a cut of daemons' links.
const LINK_CUT_START_MS: (u64, u64) = (500, 4000);
const LINK_CUT_MS: (u64, u64) = (5000, 9000);
/// Share of the seeds in which daemons lose their links.
const LINK_CUT_SHARE: f64 = 0.5;
/// Shortest and longest duration of the first of two outages around a server that leaves.
const FIRST_OUTAGE_MS: (u64, u64) = (1000, 1500);
/// Shortest and longest time from its end to the next outage, and duration of that one.
const OUTAGE_GAP_MS: (u64, u64) = (4000, 4800);
const NEXT_OUTAGE_MS: (u64, u64) = (300, 800);
/// Time after both in which requests show whether the server is used again.
const OUTAGE_PAUSE: Duration = Duration::from_millis(2500);
/// Time into the first outage at which the server leaves, and time for which it serves on.
const LEAVE_DELAY: Duration = Duration::from_millis(300);
const SERVE_ON_DURATION: Duration = Duration::from_secs(10);
/// Youngest and oldest copy from which the store comes back, and shortest and longest time between two
/// such returns.
const COPY_AGE_MS: (u64, u64) = (1000, 5000);
const DRILL_INTERVAL_MS: (u64, u64) = (1500, 7000);
/// Number of engines of the model service.
pub const ENGINE_COUNT: usize = 4;
/// Number of servers of each of the two plain services.
pub const SERVERS_PER_PLAIN_SERVICE: usize = 2;

/// A fault. The numbers are indexes of daemons or servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum SoakFault {
    /// The process is killed and started again.
    KillDaemon(usize),
    /// All processes are killed at once and started again.
    KillAll,
    /// The process is paused and later resumed.
    PauseDaemon(usize),
    /// The process is asked to shut down and started again after it has ended.
    StopDaemon(usize),
    /// The settings file changes and the process is asked to reload it.
    ReloadDaemon(usize),
    /// The daemon's connections to the store are closed, and new ones are refused.
    CutStore(usize),
    /// The daemon's connections to the store stay open but transfer no bytes.
    FreezeStore(usize),
    /// The store is unavailable.
    StoreRefuses,
    /// The store drops its responses.
    StoreLosesAnswers,
    /// The store responds late.
    StoreSlow,
    /// At the end, the store is away for a moment and comes back from the copy of the beginning.
    RestoreStore,
    /// The store compacts its revisions, so that watches from older ones fail.
    StoreForgetsHistory,
    /// Connections to the server are closed, and new ones are refused.
    CutServer(usize),
    /// Connections to the server stay open but transfer no bytes.
    FreezeServer(usize),
    /// Requests reach the server, but its responses don't arrive.
    DeafServer(usize),
    /// All bytes to and from the server are delayed.
    DelayServer(usize),
    /// The server rejects every request; if the length of the fault is even in milliseconds, it also
    /// asks for quiet.
    FullServer(usize),
    /// The server executes requests and closes the connection without a response.
    LoseAnswers(usize),
    /// The server breaks off its streams inside an event, without framing.
    CutStreams(usize),
    /// The server's entry is set to draining, is removed later and is replaced
    /// by one with another id.
    DrainServer(usize),
    /// The server's entry is removed, and the server serves on. At the end it is replaced by one with
    /// another id.
    LeaveSilently(usize),
    /// The route of plain calls changes to the other plain service.
    MoveRoute,
}

/// A fault with its start and its duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    pub at: Duration,
    pub length: Duration,
    pub fault: SoakFault,
}

/// What requests that crash their servers have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonKind {
    /// They share a prompt part, and no two are alike.
    SharedPart,
    /// They are the same request to a plain service.
    SameRequest,
}

/// Daemons that lose their links to all servers for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkPlan {
    pub at: Duration,
    pub length: Duration,
    pub daemons: Vec<usize>,
    pub state: ProxyState,
}

/// Returns the cut of links of a seed, which half of the seeds have.
pub fn plan_links(options: SoakOptions) -> Option<LinkPlan> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed.rotate_left(32).wrapping_add(2));
    let states = [ProxyState::Unreachable, ProxyState::Closed, ProxyState::RefusingNew];
    let mut daemons: Vec<usize> = (0..options.daemons).collect();
    daemons.shuffle(&mut rng);
    daemons.truncate(rng.random_range(1..options.daemons.max(2)));
    let plan = LinkPlan {
        at: Duration::from_millis(rng.random_range(LINK_CUT_START_MS.0..LINK_CUT_START_MS.1)),
        length: Duration::from_millis(rng.random_range(LINK_CUT_MS.0..LINK_CUT_MS.1)),
        daemons,
        state: *states.choose(&mut rng).expect("the list of states isn't empty"),
    };
    let is_planned = rng.random_bool(LINK_CUT_SHARE) && options.scenario.is_mixed();
    is_planned.then_some(plan)
}

/// Requests that crash their servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonPlan {
    pub kind: PoisonKind,
    /// Time of the first request.
    pub from: Duration,
    /// Time between two requests.
    pub interval: Duration,
}

/// Returns the poison requests of a seed. Three of four seeds have those of each kind.
pub fn plan_poison(options: SoakOptions) -> impl Iterator<Item = PoisonPlan> {
    let seed = options.seed.rotate_left(32);
    let plans = [
        plan_poison_of(PoisonKind::SharedPart, seed),
        plan_poison_of(PoisonKind::SameRequest, seed.wrapping_add(1)),
    ];
    plans.into_iter().flatten().filter(move |_| options.scenario.is_mixed())
}

fn plan_poison_of(kind: PoisonKind, seed: u64) -> Option<PoisonPlan> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = PoisonPlan {
        kind,
        from: Duration::from_millis(rng.random_range(POISON_START_MS.0..POISON_START_MS.1)),
        interval: Duration::from_millis(
            rng.random_range(POISON_INTERVAL_MS.0..POISON_INTERVAL_MS.1),
        ),
    };
    rng.random_bool(POISON_SHARE).then_some(plan)
}

/// A server that names a limit from some time on until the end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitPlan {
    pub server: usize,
    pub per_second: f64,
    pub from: Duration,
}

/// Returns the server of a seed that names a limit, which three of four seeds have.
pub fn plan_limit(options: SoakOptions) -> Option<LimitPlan> {
    let mut rng = ChaCha8Rng::seed_from_u64(!options.seed.rotate_left(32));
    let plan = LimitPlan {
        server: rng.random_range(0..ENGINE_COUNT + 2 * SERVERS_PER_PLAIN_SERVICE),
        per_second: rng.random_range(LIMITS_PER_SECOND.0..LIMITS_PER_SECOND.1),
        from: Duration::from_millis(rng.random_range(LIMIT_START_MS.0..LIMIT_START_MS.1)),
    };
    rng.random_bool(LIMIT_SHARE).then_some(plan)
}

/// Returns the faults of a seed, ordered by start. Faults may overlap.
pub fn plan(options: SoakOptions) -> Vec<PlannedFault> {
    let mut faults = match options.scenario {
        SoakScenario::Mixed => plan_mixed(options),
        SoakScenario::Outages => plan_outages(options),
        SoakScenario::Drills => {
            plan_mixed(options).into_iter().chain(plan_drills(options)).collect()
        }
    };
    faults.sort_by_key(|planned| planned.at);
    faults
}

fn plan_mixed(options: SoakOptions) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < options.fault_period {
        let length =
            Duration::from_millis(rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1));
        faults.push(PlannedFault { at, length, fault: random_fault(&mut rng, options.daemons) });
        at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS.0..FAULT_INTERVAL_MS.1));
    }
    faults.extend(plan_cut_streams(options));
    faults
}

/// Returns the faults that cut streams. They have a generator of their own, so that the seeds that
/// failed before them keep their other faults.
fn plan_cut_streams(options: SoakOptions) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(!options.seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(CUT_INTERVAL_MS.0..CUT_INTERVAL_MS.1));
    while at < options.fault_period {
        let length =
            Duration::from_millis(rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1));
        let fault = SoakFault::CutStreams(rng.random_range(0..ENGINE_COUNT));
        faults.push(PlannedFault { at, length, fault });
        at += Duration::from_millis(rng.random_range(CUT_INTERVAL_MS.0..CUT_INTERVAL_MS.1));
    }
    faults
}

/// Returns the returns of the store from copies, which may overlap.
fn plan_drills(options: SoakOptions) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed.rotate_left(16));
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..DRILL_INTERVAL_MS.0));
    while at < options.fault_period {
        let length = Duration::from_millis(rng.random_range(COPY_AGE_MS.0..COPY_AGE_MS.1));
        faults.push(PlannedFault { at, length, fault: SoakFault::RestoreStore });
        at += Duration::from_millis(rng.random_range(DRILL_INTERVAL_MS.0..DRILL_INTERVAL_MS.1));
    }
    faults
}

/// Returns pairs of outages, one after the other, each around a server that leaves and serves on.
fn plan_outages(options: SoakOptions) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < options.fault_period {
        let mut outage = |at, (shortest, longest): (u64, u64)| {
            let daemon = rng.random_range(0..options.daemons);
            let kinds = [
                SoakFault::StoreRefuses,
                SoakFault::StoreLosesAnswers,
                SoakFault::CutStore(daemon),
            ];
            let fault = *kinds.choose(&mut rng).expect("the list of faults isn't empty");
            let length = Duration::from_millis(rng.random_range(shortest..longest));
            PlannedFault { at, length, fault }
        };
        let first = outage(at, FIRST_OUTAGE_MS);
        let gap = Duration::from_millis(OUTAGE_GAP_MS.0);
        let next = outage(at + first.length + gap, NEXT_OUTAGE_MS);
        let server = rng.random_range(0..ENGINE_COUNT + 2 * SERVERS_PER_PLAIN_SERVICE);
        let fault = SoakFault::LeaveSilently(server);
        faults.push(first);
        faults.push(PlannedFault { at: at + LEAVE_DELAY, length: SERVE_ON_DURATION, fault });
        let delay = Duration::from_millis(rng.random_range(0..OUTAGE_GAP_MS.1 - OUTAGE_GAP_MS.0));
        faults.push(PlannedFault { at: next.at + delay, ..next });
        at = next.at + delay + next.length + OUTAGE_PAUSE;
    }
    faults
}

fn random_fault(rng: &mut ChaCha8Rng, daemons: usize) -> SoakFault {
    let daemon = rng.random_range(0..daemons);
    let server = rng.random_range(0..ENGINE_COUNT + 2 * SERVERS_PER_PLAIN_SERVICE);
    let kinds = [
        SoakFault::KillDaemon(daemon),
        SoakFault::KillDaemon(daemon),
        SoakFault::KillAll,
        SoakFault::PauseDaemon(daemon),
        SoakFault::StopDaemon(daemon),
        SoakFault::StopDaemon(daemon),
        SoakFault::ReloadDaemon(daemon),
        SoakFault::CutStore(daemon),
        SoakFault::FreezeStore(daemon),
        SoakFault::StoreRefuses,
        SoakFault::StoreLosesAnswers,
        SoakFault::StoreSlow,
        SoakFault::StoreForgetsHistory,
        SoakFault::CutServer(server),
        SoakFault::FreezeServer(server),
        SoakFault::DeafServer(server),
        SoakFault::DelayServer(server),
        SoakFault::FullServer(server),
        SoakFault::LoseAnswers(server),
        SoakFault::DrainServer(server),
        SoakFault::DrainServer(server),
        SoakFault::MoveRoute,
        SoakFault::MoveRoute,
    ];
    *kinds.choose(rng).expect("the list of faults isn't empty")
}
