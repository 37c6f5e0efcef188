//! Decides which daemon of a failure domain polls the load of which engine. The daemon
//! that polls an engine is its reader.
//!
//! All daemons are ranked for an engine by rendezvous hashing, which needs no agreement on
//! which daemons are live. A daemon polls an engine until it receives updates about it from
//! a daemon with a better rank. So the running daemon with the best rank always polls, and
//! a daemon that took over stops only after it has received an update from its successor.
//! Two readers at the same time do no harm, because reports carry the engine's own sequence
//! number.
//!
//! A daemon that receives no updates waits for the update timeout, and one further step for
//! each live daemon with a better rank, so that not all daemons start to poll when one
//! reader dies. The steps add up to [`MAX_STAGGER`] at most, which bounds the time without
//! a reader whatever the views of the daemons are.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::{rendezvous, time::Timestamp};

/// Further wait for each live daemon with a better rank, except the first.
pub const STAGGER_STEP: Duration = Duration::from_millis(100);
/// Longest further wait.
pub const MAX_STAGGER: Duration = Duration::from_secs(1);
/// Rank up to which a daemon polls an engine for which others receive no reports, in case
/// only the network path of the first reader is broken.
const BACKUP_RANK: usize = 1;

/// States what a reader reported about an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderUpdate {
    /// It received a new load report.
    Report,
    /// It polls the engine and receives no new report.
    Unchanged,
}

/// Decides which engines one daemon polls.
#[derive(Clone, Debug)]
pub struct ReaderTable {
    own: SmolStr,
    live: Vec<SmolStr>,
    engines: HashMap<SmolStr, EngineReading>,
}

#[derive(Clone, Copy, Debug)]
struct EngineReading {
    /// Number of live daemons with a better rank.
    rank: usize,
    update_timeout: Duration,
    /// Time of the last update from a daemon with a better rank.
    updated_at: Timestamp,
    /// Time of the last load report from such a daemon.
    reported_at: Timestamp,
}

impl ReaderTable {
    /// Creates the table of a daemon that knows no other.
    pub fn new(own: SmolStr) -> Self {
        Self { live: vec![own.clone()], own, engines: HashMap::new() }
    }

    /// Sets the daemons of the failure domain that are live in this daemon's view.
    pub fn observe(&mut self, live: &[SmolStr]) {
        if self.live == live {
            return;
        }
        self.live = live.to_vec();
        for (engine, reading) in &mut self.engines {
            reading.rank = rank(&self.own, &self.live, engine);
        }
    }

    /// Adds an engine, or changes its update timeout.
    pub fn add(&mut self, engine: &SmolStr, update_timeout: Duration, now: Timestamp) {
        let rank = rank(&self.own, &self.live, engine);
        let reading = EngineReading { rank, update_timeout, updated_at: now, reported_at: now };
        let reading = self.engines.entry(engine.clone()).or_insert(reading);
        reading.update_timeout = update_timeout;
    }

    /// Removes the engines that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&SmolStr) -> bool) {
        self.engines.retain(|engine, _| keep(engine));
    }

    /// Applies an update about an engine from another daemon.
    pub fn observe_update(
        &mut self,
        engine: &str,
        reader: &str,
        update: ReaderUpdate,
        now: Timestamp,
    ) {
        if rendezvous::weight(reader, engine) <= rendezvous::weight(&self.own, engine) {
            return;
        }
        let Some(reading) = self.engines.get_mut(engine) else { return };
        reading.updated_at = now;
        if update == ReaderUpdate::Report {
            reading.reported_at = now;
        }
    }

    /// Tells whether this daemon polls an engine now.
    pub fn is_reader(&self, engine: &str, now: Timestamp) -> bool {
        self.engines.get(engine).is_some_and(|reading| reading.is_active(now))
    }

    /// Lists the engines that this daemon polls now.
    pub fn assigned_engines(&self, now: Timestamp) -> impl Iterator<Item = &SmolStr> + '_ {
        let own = self.engines.iter().filter(move |(_, reading)| reading.is_active(now));
        own.map(|(engine, _)| engine)
    }
}

impl EngineReading {
    fn is_active(&self, now: Timestamp) -> bool {
        let steps = self.rank.saturating_sub(1) as u32;
        let stagger = STAGGER_STEP.saturating_mul(steps).min(MAX_STAGGER);
        self.rank == 0
            || now.since(self.updated_at) >= self.update_timeout + stagger
            || (self.rank <= BACKUP_RANK && now.since(self.reported_at) >= self.update_timeout)
    }
}

fn rank(own: &str, live: &[SmolStr], engine: &str) -> usize {
    let weight = rendezvous::weight(own, engine);
    live.iter().filter(|daemon| rendezvous::weight(daemon, engine) > weight).count()
}
