//! Which faults a seed brings, and when.

use std::time::Duration;

use rand::{seq::IndexedRandom, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::SoakOptions;

/// Shortest and longest time between the beginnings of two faults.
const GAP_MS: (u64, u64) = (150, 1200);
/// Shortest and longest time for which a fault lasts.
const LENGTH_MS: (u64, u64) = (200, 2500);
/// Engines of the model service, and servers of the plain ones.
pub const ENGINE_COUNT: usize = 4;
pub const SERVERS_PER_PLAIN_SERVICE: usize = 2;

/// A fault; numbers name daemons or servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum SoakFault {
    /// The process is killed and started again.
    KillDaemon(usize),
    /// All processes are killed at once and started again.
    KillAll,
    /// The process is stopped in its tracks for a while.
    PauseDaemon(usize),
    /// The process is asked to end and started again.
    StopDaemon(usize),
    /// The settings file changes and the process is told.
    ReloadDaemon(usize),
    /// Connections to the store are closed and refused.
    CutStore(usize),
    /// Connections to the store stay open and pass nothing.
    FreezeStore(usize),
    StoreRefuses,
    StoreLosesAnswers,
    StoreSlow,
    StoreForgetsHistory,
    /// Connections to the server are closed and refused.
    CutServer(usize),
    /// Connections to the server stay open and pass nothing.
    FreezeServer(usize),
    /// What the server answers doesn't arrive.
    DeafServer(usize),
    /// All bytes to and from the server come late.
    DelayServer(usize),
    /// The server rejects everything.
    FullServer(usize),
    /// The server runs what comes and closes the connection.
    LoseAnswers(usize),
    /// The server says that it leaves, is gone later and comes back under
    /// another id.
    DrainServer(usize),
    /// Plain calls go to the other service, and back.
    MoveRoute,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    pub at: Duration,
    pub length: Duration,
    pub fault: SoakFault,
}

/// Draws the faults of a seed. They come in series and overlap.
pub fn plan(terms: SoakOptions) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(terms.seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < terms.fault_period {
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        faults.push(PlannedFault { at, length, fault: draw(&mut rng, terms.daemons) });
        at += Duration::from_millis(rng.random_range(GAP_MS.0..GAP_MS.1));
    }
    faults
}

fn draw(rng: &mut ChaCha8Rng, daemons: usize) -> SoakFault {
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
    *kinds.choose(rng).expect("there are kinds")
}
