//! KV memory, divided into pieces (KV cache blocks), with a cache of prompt prefixes.

use std::collections::{HashMap, VecDeque};

use gooseberry_core::time::Timestamp;
use gooseberry_wire::engine::CacheEvent;

/// Every 40th cache event is dropped, to simulate lossy event delivery.
const LOST_EVENT_INTERVAL: u64 = 40;
/// Largest number of events kept for clients that poll them.
const MAX_EVENTS: usize = 4096;

/// KV memory of an engine: pieces that sequences hold, and cached prefixes in the rest.
#[derive(Debug)]
pub struct KvMemory {
    total_pieces: u32,
    held_pieces: u32,
    /// Cached pieces with the tick of their last use.
    cached: HashMap<u64, u64>,
    ticks: u64,
    /// Number of the last event, dropped ones included.
    last_sequence: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

impl KvMemory {
    /// Makes empty memory of a number of pieces.
    pub fn new(total_pieces: u32) -> Self {
        Self {
            total_pieces,
            held_pieces: 0,
            cached: HashMap::new(),
            ticks: 0,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of pieces that no sequence holds.
    pub fn free_pieces(&self) -> u32 {
        self.total_pieces - self.held_pieces
    }

    /// Allocates pieces to a sequence, evicting cached ones if necessary; returns `false`
    /// if too few are free.
    pub fn allocate(&mut self, pieces: u32, now: Timestamp) -> bool {
        if self.free_pieces() < pieces {
            return false;
        }
        self.held_pieces += pieces;
        self.evict(now);
        true
    }

    /// Releases the pieces of a sequence.
    pub fn release(&mut self, pieces: u32) {
        self.held_pieces -= pieces;
    }

    /// Returns how many leading pieces of a prompt are cached, and marks these as used.
    pub fn match_prefix(&mut self, pieces: &[u64]) -> u32 {
        self.ticks += 1;
        let mut matched = 0;
        for piece in pieces {
            let Some(last_use) = self.cached.get_mut(piece) else { break };
            *last_use = self.ticks;
            matched += 1;
        }
        matched
    }

    /// Caches the pieces of a prompt.
    pub fn store(&mut self, pieces: &[u64], now: Timestamp) {
        self.ticks += 1;
        for piece in pieces {
            if self.cached.insert(*piece, self.ticks).is_none() {
                self.record_event(*piece, true, now);
            }
        }
        self.evict(now);
    }

    /// Evicts all cached pieces, as a change of the model does.
    pub fn clear(&mut self, now: Timestamp) {
        let pieces: Vec<_> = self.cached.drain().map(|(piece, _)| piece).collect();
        for piece in pieces {
            self.record_event(piece, false, now);
        }
    }

    /// Returns the events with a number above `after` that were made no later than `visible`.
    pub fn events(&self, after: u64, visible: Timestamp) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(made_at, event)| *made_at <= visible && event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn evict(&mut self, now: Timestamp) {
        let free_pieces = self.free_pieces() as usize;
        if self.cached.len() <= free_pieces {
            return;
        }
        let mut by_use: Vec<_> =
            self.cached.iter().map(|(piece, last_use)| (*last_use, *piece)).collect();
        by_use.sort_unstable();
        for (_, piece) in by_use.into_iter().take(self.cached.len() - free_pieces) {
            self.cached.remove(&piece);
            self.record_event(piece, false, now);
        }
    }

    fn record_event(&mut self, piece: u64, stored: bool, now: Timestamp) {
        self.last_sequence += 1;
        if self.last_sequence.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        self.events.push_back((now, CacheEvent { sequence: self.last_sequence, piece, stored }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
