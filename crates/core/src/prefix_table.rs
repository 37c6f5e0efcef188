//! Which engines are believed to cache which prompt prefixes.
//!
//! The table is fed by the engines' cache events, which come late and with
//! gaps, and by this daemon's own sends. Everything in it is a hint: a wrong
//! one costs time, never a wrong answer. Memory is bounded by two generations:
//! when the young one is full it becomes the old one, and the old one goes.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

/// Caches kept for each piece; the newest push out the oldest.
const HOLDERS: usize = 4;
/// Hints of a cache are dropped once the lost events exceed one part in this
/// many of the pieces that it is believed to hold.
const LOST_PART: u64 = 4;
/// Lost events that never drop the hints of a cache.
const LOST_FLOOR: u64 = 16;

/// Names the cache of one engine, over all configuration revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheKey(u32);

/// Reports that a piece was stored in a cache or evicted from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheUpdate {
    pub sequence: u64,
    /// Hash of the prefix that ends with the piece.
    pub piece: u64,
    pub stored: bool,
}

/// Lists how many leading pieces of a prompt each cache is believed to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixHits {
    rows: [(CacheKey, u32); HOLDERS],
    len: usize,
}

impl PrefixHits {
    /// Returns the leading pieces that a cache holds.
    pub fn pieces(&self, cache: CacheKey) -> u32 {
        let row = self.rows[..self.len].iter().find(|(key, _)| *key == cache);
        row.map_or(0, |(_, pieces)| *pieces)
    }
}

type PieceMap = HashMap<u64, PieceHolders, BuildHasherDefault<PieceHasher>>;

/// Takes a piece as its own hash, which it is.
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

/// Holds what is known of one cache as a whole.
#[derive(Clone, Debug, Default)]
struct CacheState {
    /// Hints of an earlier epoch no longer count.
    epoch: u32,
    last_sequence: u64,
    /// Events that were lost in this epoch.
    lost: u64,
    /// Pieces that the cache is believed to hold.
    known: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PieceHolder {
    cache: CacheKey,
    epoch: u32,
}

/// Holds the caches of one piece, the newest last.
#[derive(Clone, Copy, Debug, Default)]
struct PieceHolders {
    rows: [PieceHolder; HOLDERS],
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
        if usize::from(self.len) == HOLDERS {
            self.rows.copy_within(1.., 0);
            self.len -= 1;
        }
        self.rows[usize::from(self.len)] = holder;
        self.len += 1;
    }
}

impl PrefixTable {
    /// Makes an empty table that holds at most twice `capacity` pieces.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, young: PieceMap::default(), old: PieceMap::default(), caches: Vec::new() }
    }

    /// Adds a cache of which nothing is known.
    pub fn add_cache(&mut self) -> CacheKey {
        self.caches.push(CacheState::default());
        CacheKey(self.caches.len() as u32 - 1)
    }

    /// Returns the sequence number of the last event of a cache.
    pub fn last_sequence(&self, cache: CacheKey) -> u64 {
        self.caches[cache.0 as usize].last_sequence
    }

    /// Forgets all hints of a cache, whose engine has begun anew.
    pub fn reset(&mut self, cache: CacheKey) {
        let state = &mut self.caches[cache.0 as usize];
        *state = CacheState { epoch: state.epoch.wrapping_add(1), ..CacheState::default() };
    }

    /// Applies an event of a cache; one that came before is ignored.
    ///
    /// A lost event may have been an eviction. A few of them leave most hints
    /// right; once they are many, the older hints of the cache are dropped.
    pub fn observe(&mut self, cache: CacheKey, change: CacheUpdate) {
        let state = &mut self.caches[cache.0 as usize];
        if change.sequence <= state.last_sequence {
            return;
        }
        state.lost += change.sequence - state.last_sequence - 1;
        state.last_sequence = change.sequence;
        if state.lost > (state.known / LOST_PART).max(LOST_FLOOR) {
            state.epoch = state.epoch.wrapping_add(1);
            state.lost = 0;
            state.known = 0;
        }
        if change.stored {
            self.store(cache, change.piece);
        } else {
            self.evict(cache, change.piece);
        }
    }

    /// Notes that a cache holds pieces, as it does after a request of ours.
    pub fn record_stored(&mut self, cache: CacheKey, pieces: &[u64]) {
        for piece in pieces {
            self.store(cache, *piece);
        }
    }

    fn store(&mut self, cache: CacheKey, piece: u64) {
        if self.young.len() >= self.capacity && !self.young.contains_key(&piece) {
            self.old = std::mem::take(&mut self.young);
        }
        let inherited = self.old.get(&piece).copied();
        let holders = self.young.entry(piece).or_insert_with(|| inherited.unwrap_or_default());
        let state = &mut self.caches[cache.0 as usize];
        let before = holders.remove(cache);
        if before.is_none_or(|holder| holder.epoch != state.epoch) {
            state.known += 1;
        }
        holders.push(PieceHolder { cache, epoch: state.epoch });
    }

    fn evict(&mut self, cache: CacheKey, piece: u64) {
        let young = self.young.get_mut(&piece).and_then(|holders| holders.remove(cache));
        let old = self.old.get_mut(&piece).and_then(|holders| holders.remove(cache));
        let state = &mut self.caches[cache.0 as usize];
        if young.or(old).is_some_and(|holder| holder.epoch == state.epoch) {
            state.known = state.known.saturating_sub(1);
        }
    }

    /// Finds the caches that hold the first pieces of a prompt.
    ///
    /// A hash covers all pieces before its own, so the last piece that a cache
    /// holds is found by bisection, and a long prompt costs little more than a
    /// short one.
    pub fn lookup(&self, pieces: &[u64]) -> PrefixHits {
        let mut hits = PrefixHits::default();
        let Some(first) = pieces.first().and_then(|piece| self.holders(*piece)) else {
            return hits;
        };
        for holder in first.iter().filter(|holder| self.counts(holder)) {
            let held = pieces.partition_point(|piece| self.holds(holder.cache, *piece));
            hits.rows[hits.len] = (holder.cache, held.max(1) as u32);
            hits.len += 1;
        }
        hits
    }

    fn holds(&self, cache: CacheKey, piece: u64) -> bool {
        let Some(holders) = self.holders(piece) else { return false };
        let found = holders.iter().find(|holder| holder.cache == cache);
        found.is_some_and(|holder| self.counts(&holder))
    }

    fn holders(&self, piece: u64) -> Option<&PieceHolders> {
        self.young.get(&piece).or_else(|| self.old.get(&piece))
    }

    fn counts(&self, holder: &PieceHolder) -> bool {
        self.caches[holder.cache.0 as usize].epoch == holder.epoch
    }

    /// Returns the number of pieces in the table.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Tells whether the table holds no hints.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
