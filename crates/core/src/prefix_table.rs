//! Estimates which prompt prefixes each engine has in its KV cache, in pieces. A piece is
//! a KV cache block.
//!
//! The table is updated by the engines' cache events, which arrive late and with gaps,
//! and by this daemon's own sends. Its entries are hints: a wrong one costs time and never
//! causes a wrong response. Memory is bounded by two generations: when the young one is
//! full, it replaces the old one, which is dropped.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

/// Maximum number of caches kept for each piece. A newer one replaces the oldest.
const HOLDER_LIMIT: usize = 4;
/// The hints of a cache are dropped if more events were lost than its estimated number of
/// pieces divided by this.
const LOST_EVENT_DIVISOR: u64 = 4;
/// Number of lost events up to which the hints of a cache are always kept.
const TOLERATED_LOST_EVENTS: u64 = 16;

/// Identifies the cache of one engine, across configuration revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheKey(u32);

/// Describes that a piece was stored in a cache or evicted from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Sequence number of the cache's event, which shows whether events were lost.
    pub sequence: u64,
    /// Hash of the prefix that ends with the piece.
    pub piece: u64,
    /// Whether the piece was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Lists how many leading pieces of a prompt each cache is estimated to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixHits {
    rows: [(CacheKey, u32); HOLDER_LIMIT],
    len: usize,
}

impl PrefixHits {
    /// Returns the number of leading pieces in a cache.
    pub fn pieces(&self, cache: CacheKey) -> u32 {
        let row = self.rows[..self.len].iter().find(|(key, _)| *key == cache);
        row.map_or(0, |(_, pieces)| *pieces)
    }
}

type PieceMap = HashMap<u64, PieceHolders, BuildHasherDefault<PieceHasher>>;

/// Uses a piece as its own hash, because a piece is identified by a hash.
#[derive(Clone, Copy, Debug, Default)]
struct PieceHasher(u64);

impl Hasher for PieceHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, piece: u64) {
        self.0 = piece;
    }
}

/// Holds the hints of all caches.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    capacity: usize,
    young: PieceMap,
    old: PieceMap,
    caches: Vec<CacheState>,
}

/// Holds the state of one cache.
#[derive(Clone, Debug, Default)]
struct CacheState {
    /// Current epoch, which is incremented to drop all hints of the cache. Hints of an
    /// earlier epoch are ignored.
    epoch: u32,
    last_sequence: u64,
    /// Number of events that were lost in this epoch.
    lost_events: u64,
    /// Number of pieces that the cache is estimated to hold.
    piece_count: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PieceHolder {
    cache: CacheKey,
    epoch: u32,
}

/// Holds the caches that have one piece, the newest last.
#[derive(Clone, Copy, Debug, Default)]
struct PieceHolders {
    rows: [PieceHolder; HOLDER_LIMIT],
    len: u8,
}

impl PieceHolders {
    fn iter(&self) -> impl Iterator<Item = PieceHolder> + '_ {
        self.rows[..usize::from(self.len)].iter().copied()
    }

    fn remove(&mut self, cache: CacheKey) -> Option<PieceHolder> {
        let len = usize::from(self.len);
        let index = self.rows[..len].iter().position(|row| row.cache == cache)?;
        let removed = self.rows[index];
        self.rows.copy_within(index + 1..len, index);
        self.len -= 1;
        Some(removed)
    }

    fn push(&mut self, holder: PieceHolder) {
        if usize::from(self.len) == HOLDER_LIMIT {
            self.rows.copy_within(1.., 0);
            self.len -= 1;
        }
        self.rows[usize::from(self.len)] = holder;
        self.len += 1;
    }
}

impl PrefixTable {
    /// Creates an empty table that holds at most twice `capacity` pieces.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, young: PieceMap::default(), old: PieceMap::default(), caches: Vec::new() }
    }

    /// Adds a cache without any hints.
    pub fn add_cache(&mut self) -> CacheKey {
        self.caches.push(CacheState::default());
        CacheKey(self.caches.len() as u32 - 1)
    }

    /// Returns the sequence number of the last event of a cache.
    pub fn last_sequence(&self, cache: CacheKey) -> u64 {
        self.caches[cache.0 as usize].last_sequence
    }

    /// Drops all hints of a cache, whose engine has restarted.
    pub fn reset(&mut self, cache: CacheKey) {
        let state = &mut self.caches[cache.0 as usize];
        *state = CacheState { epoch: state.epoch.wrapping_add(1), ..CacheState::default() };
    }

    /// Applies an event of a cache; an event that was applied before is ignored.
    ///
    /// A lost event may have been an eviction. A few lost events leave most hints correct;
    /// after many of them the older hints of the cache are dropped.
    pub fn observe(&mut self, cache: CacheKey, update: CacheUpdate) {
        let state = &mut self.caches[cache.0 as usize];
        if update.sequence <= state.last_sequence {
            return;
        }
        state.lost_events += update.sequence - state.last_sequence - 1;
        state.last_sequence = update.sequence;
        if state.lost_events > (state.piece_count / LOST_EVENT_DIVISOR).max(TOLERATED_LOST_EVENTS) {
            state.epoch = state.epoch.wrapping_add(1);
            state.lost_events = 0;
            state.piece_count = 0;
        }
        if update.stored {
            self.store(cache, update.piece);
        } else {
            self.evict(cache, update.piece);
        }
    }

    /// Records that a cache holds the pieces of a prompt, because its engine has processed
    /// the prompt for this daemon.
    pub fn record_stored(&mut self, cache: CacheKey, pieces: &[u64]) {
        for piece in pieces {
            self.store(cache, *piece);
        }
    }

    fn store(&mut self, cache: CacheKey, piece: u64) {
        if self.young.len() >= self.capacity && !self.young.contains_key(&piece) {
            self.old = std::mem::take(&mut self.young);
        }
        let old_holders = self.old.get(&piece).copied();
        let holders = self.young.entry(piece).or_insert_with(|| old_holders.unwrap_or_default());
        let state = &mut self.caches[cache.0 as usize];
        let previous = holders.remove(cache);
        if previous.is_none_or(|holder| holder.epoch != state.epoch) {
            state.piece_count += 1;
        }
        holders.push(PieceHolder { cache, epoch: state.epoch });
    }

    fn evict(&mut self, cache: CacheKey, piece: u64) {
        let young = self.young.get_mut(&piece).and_then(|holders| holders.remove(cache));
        let old = self.old.get_mut(&piece).and_then(|holders| holders.remove(cache));
        let state = &mut self.caches[cache.0 as usize];
        if young.or(old).is_some_and(|holder| holder.epoch == state.epoch) {
            state.piece_count = state.piece_count.saturating_sub(1);
        }
    }

    /// Finds the caches that hold the first piece of a prompt, and how many leading pieces
    /// each of them holds.
    ///
    /// A hash also covers all pieces before its own, so the last piece in a cache is found by
    /// binary search, and the lookup of a long prompt costs little more than that of a short
    /// one.
    pub fn lookup(&self, pieces: &[u64]) -> PrefixHits {
        let mut hits = PrefixHits::default();
        let Some(first) = pieces.first().and_then(|piece| self.holders(*piece)) else {
            return hits;
        };
        for holder in first.iter().filter(|holder| self.is_current(holder)) {
            let held = pieces.partition_point(|piece| self.holds(holder.cache, *piece));
            hits.rows[hits.len] = (holder.cache, held.max(1) as u32);
            hits.len += 1;
        }
        hits
    }

    fn holds(&self, cache: CacheKey, piece: u64) -> bool {
        let Some(holders) = self.holders(piece) else { return false };
        let found = holders.iter().find(|holder| holder.cache == cache);
        found.is_some_and(|holder| self.is_current(&holder))
    }

    fn holders(&self, piece: u64) -> Option<&PieceHolders> {
        self.young.get(&piece).or_else(|| self.old.get(&piece))
    }

    fn is_current(&self, holder: &PieceHolder) -> bool {
        self.caches[holder.cache.0 as usize].epoch == holder.epoch
    }

    /// Returns the number of entries in the table. A piece in both generations counts twice.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Tells whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
