//! Which daemon of a failure domain reads the load of which engine.
//!
//! All daemons rank each other for an engine by rendezvous hashing, whose order
//! needs no agreement on who is live. A daemon reads an engine until it hears
//! news of it from a daemon that ranks before it. So the first of those that
//! run always reads, and one that takes over ends only after its successor was
//! heard. Two readers for a while are harmless: reports carry the engine's own
//! sequence.
//!
//! A daemon that hears nothing waits for the silence limit, and a step longer
//! for each live daemon before it, so that a death doesn't set all to reading.
//! The steps add up to [`MAX_STAGGER`] at most, which bounds the time
//! without a reader whatever the views.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::{rendezvous, time::Timestamp};

/// Further wait for each live daemon that ranks before, beyond the first.
pub const STAGGER_STEP: Duration = Duration::from_millis(100);
/// Longest further wait.
pub const MAX_STAGGER: Duration = Duration::from_secs(1);
/// Rank up to which a daemon reads an engine of which others hear no reports:
/// a second opinion, in case only the path of the first is cut.
const OPINION_RANK: usize = 1;

/// Says what a reader told of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderUpdate {
    /// It has a new load report.
    Report,
    /// It asks and gets nothing new.
    Unchanged,
}

/// Decides which engines one daemon reads.
#[derive(Clone, Debug)]
pub struct ReaderTable {
    own: SmolStr,
    live: Vec<SmolStr>,
    engines: HashMap<SmolStr, EngineReading>,
}

#[derive(Clone, Copy, Debug)]
struct EngineReading {
    /// Live daemons that rank before this one.
    rank: usize,
    silence_limit: Duration,
    /// Time of the last news from a daemon that ranks before this one.
    heard: Timestamp,
    /// Time of the last report from such a daemon.
    reported: Timestamp,
}

impl ReaderTable {
    /// Makes the table of a daemon that knows no other.
    pub fn new(own: SmolStr) -> Self {
        Self { live: vec![own.clone()], own, engines: HashMap::new() }
    }

    /// Notes the daemons of the failure domain that are live in this one's view.
    pub fn observe(&mut self, live: &[SmolStr]) {
        if self.live == live {
            return;
        }
        self.live = live.to_vec();
        for (engine, reading) in &mut self.engines {
            reading.rank = rank(&self.own, &self.live, engine);
        }
    }

    /// Adds an engine, or changes its silence limit.
    pub fn add(&mut self, engine: &SmolStr, silence_limit: Duration, now: Timestamp) {
        let rank = rank(&self.own, &self.live, engine);
        let reading = EngineReading { rank, silence_limit, heard: now, reported: now };
        let reading = self.engines.entry(engine.clone()).or_insert(reading);
        reading.silence_limit = silence_limit;
    }

    /// Forgets the engines that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&SmolStr) -> bool) {
        self.engines.retain(|engine, _| keep(engine));
    }

    /// Notes what another daemon told of an engine.
    pub fn observe_update(
        &mut self,
        engine: &str,
        reader: &str,
        news: ReaderUpdate,
        now: Timestamp,
    ) {
        if rendezvous::weight(reader, engine) <= rendezvous::weight(&self.own, engine) {
            return;
        }
        let Some(reading) = self.engines.get_mut(engine) else { return };
        reading.heard = now;
        if news == ReaderUpdate::Report {
            reading.reported = now;
        }
    }

    /// Tells whether this daemon reads an engine now.
    pub fn is_reader(&self, engine: &str, now: Timestamp) -> bool {
        self.engines.get(engine).is_some_and(|reading| reading.is_own(now))
    }

    /// Lists the engines that this daemon reads now.
    pub fn assigned_engines(&self, now: Timestamp) -> impl Iterator<Item = &SmolStr> + '_ {
        let own = self.engines.iter().filter(move |(_, reading)| reading.is_own(now));
        own.map(|(engine, _)| engine)
    }
}

impl EngineReading {
    fn is_own(&self, now: Timestamp) -> bool {
        let steps = self.rank.saturating_sub(1) as u32;
        let stagger = STAGGER_STEP.saturating_mul(steps).min(MAX_STAGGER);
        self.rank == 0
            || now.since(self.heard) >= self.silence_limit + stagger
            || (self.rank <= OPINION_RANK && now.since(self.reported) >= self.silence_limit)
    }
}

fn rank(own: &str, live: &[SmolStr], engine: &str) -> usize {
    let weight = rendezvous::weight(own, engine);
    live.iter().filter(|daemon| rendezvous::weight(daemon, engine) > weight).count()
}
