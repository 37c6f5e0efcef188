//! KV memory in pieces, with a cache of prompt prefixes.

use std::collections::{HashMap, VecDeque};

use gooseberry_core::time::Timestamp;
use gooseberry_wire::engine::CacheEvent;

/// Every event whose number is a multiple of this one is lost.
const LOST_EVENT_INTERVAL: u64 = 40;
/// Events kept for readers.
const KEPT_EVENTS: usize = 4096;

/// Holds KV memory: what sequences use, and cached prefixes in the rest.
#[derive(Debug)]
pub struct KvMemory {
    total: u32,
    used: u32,
    /// Cached pieces with the time of their last use.
    cached: HashMap<u64, u64>,
    ticks: u64,
    sequence: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

impl KvMemory {
    /// Makes empty memory of a number of pieces.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            used: 0,
            cached: HashMap::new(),
            ticks: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of pieces that no sequence uses.
    pub fn free_pieces(&self) -> u32 {
        self.total - self.used
    }

    /// Takes pieces for a sequence, evicting cached ones if it has to.
    pub fn allocate(&mut self, pieces: u32, now: Timestamp) -> bool {
        if self.free_pieces() < pieces {
            return false;
        }
        self.used += pieces;
        self.evict(now);
        true
    }

    /// Gives the pieces of a sequence back.
    pub fn release(&mut self, pieces: u32) {
        self.used -= pieces;
    }

    /// Returns how many leading pieces of a prompt are cached.
    pub fn match_prefix(&mut self, pieces: &[u64]) -> u32 {
        self.ticks += 1;
        let mut hit = 0;
        for piece in pieces {
            let Some(last_use) = self.cached.get_mut(piece) else { break };
            *last_use = self.ticks;
            hit += 1;
        }
        hit
    }

    /// Caches the pieces of a prompt.
    pub fn store(&mut self, pieces: &[u64], now: Timestamp) {
        self.ticks += 1;
        for piece in pieces {
            if self.cached.insert(*piece, self.ticks).is_none() {
                self.note(*piece, true, now);
            }
        }
        self.evict(now);
    }

    /// Drops everything that is cached, as a change of the model does.
    pub fn clear(&mut self, now: Timestamp) {
        let pieces: Vec<_> = self.cached.drain().map(|(piece, _)| piece).collect();
        for piece in pieces {
            self.note(piece, false, now);
        }
    }

    /// Lists the events after a number that are older than the lag.
    pub fn events(&self, after: u64, visible: Timestamp) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(made_at, event)| *made_at <= visible && event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn evict(&mut self, now: Timestamp) {
        let room = self.free_pieces() as usize;
        if self.cached.len() <= room {
            return;
        }
        let mut by_use: Vec<_> = self.cached.iter().map(|(piece, used)| (*used, *piece)).collect();
        by_use.sort_unstable();
        for (_, piece) in by_use.into_iter().take(self.cached.len() - room) {
            self.cached.remove(&piece);
            self.note(piece, false, now);
        }
    }

    fn note(&mut self, piece: u64, stored: bool, now: Timestamp) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        self.events.push_back((now, CacheEvent { sequence: self.sequence, piece, stored }));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
