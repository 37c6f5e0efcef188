//! Memory and connections that a daemon holds for callers.
//!
//! The load is callers who send many large bodies and stall before their end, or don't read their
//! responses. A ledger counts what is held against one bound. When the bound is reached, the holder
//! whose caller has stalled longest is shed, and if nobody has stalled, the request that needs the
//! memory is refused. Part of the bound is reserved for small bodies, so that large ones can't lock
//! ordinary callers out.

use std::{collections::BTreeMap, time::Duration};

use crate::time::Timestamp;

/// Largest body, in bytes, that may use the reserve. Ordinary callers send up to 100 KB.
pub const SMALL_BODY_BYTES: u64 = 128 * 1024;
/// Memory of the process without callers, in bytes. The process takes some 30 MB with 780 engines
/// (`docs/CAPACITY.md`).
const OWN_STATE_BYTES: u64 = 30_000_000;
/// Part of the remaining memory that the bound is. The rest is for the allocator's fragmentation,
/// buffers that are being grown and what is held for servers.
const BOUND_DIVISOR: u64 = 2;
/// Smallest bound, in bytes; it holds one body of 4 MiB beside the reserve.
const MIN_BOUND_BYTES: u64 = 8 * 1024 * 1024;
/// Part of the bound that is reserved for small bodies.
const SMALL_RESERVE_DIVISOR: u64 = 4;
/// Part of the bound by which large responses may exceed it together.
const OVERDRAFT_DIVISOR: u64 = 4;
/// Memory of a connection, in bytes: the read and the write buffer of 8 KiB each, and its task.
const CONNECTION_BYTES: u64 = 24 * 1024;
/// Part of the bound that connections may take.
const CONNECTION_DIVISOR: u64 = 2;
/// Descriptors for listeners, the key-value service, other daemons and the process itself.
const OWN_DESCRIPTORS: u64 = 64;
/// Connections that a daemon accepts even if its settings state hardly any memory or descriptors.
const MIN_CONNECTIONS: u64 = 8;
/// Time without progress after which a holder may be shed. A daemon with a quarter of a core is
/// held up for up to 75 ms by the limit on its processor time.
const MIN_STALL: Duration = Duration::from_millis(250);
/// Smallest buffer of a body, in bytes.
const MIN_CAPACITY_BYTES: usize = 2048;
/// Time over which the rate of a body is measured. It is the earlier timeout of whole bodies, so
/// that no body that was in time then is too slow now.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Time without a shed holder after which the next one belongs to another flood.
const FLOOD_GAP: Duration = Duration::from_secs(10);

/// Bounds on what is held for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Largest memory of bodies and responses, in bytes.
    pub total_bytes: u64,
    /// Part of it that only bodies of up to [`SMALL_BODY_BYTES`] may use.
    pub small_reserve_bytes: u64,
    /// Most connections of callers.
    pub connections: usize,
    /// Most connections of other daemons.
    pub peer_connections: usize,
}

impl MemoryLimits {
    /// Derives the bounds from the memory of the VM, in bytes, and the descriptors that the process
    /// may open. Three eighths of the descriptors are for callers, an eighth for other daemons, and
    /// half for servers, so that each request finds one. Memory of the largest number of connections is set aside.
    pub fn new(memory_bytes: u64, max_descriptors: u64) -> Self {
        let bound = memory_bytes.saturating_sub(OWN_STATE_BYTES) / BOUND_DIVISOR;
        let bound = bound.max(MIN_BOUND_BYTES);
        let descriptors = max_descriptors.saturating_sub(OWN_DESCRIPTORS);
        let by_memory = bound / CONNECTION_DIVISOR / CONNECTION_BYTES;
        let connections = (descriptors * 3 / 8).min(by_memory * 3 / 4).max(MIN_CONNECTIONS);
        let peer_connections = (descriptors / 8).min(by_memory / 4).max(MIN_CONNECTIONS);
        let set_aside = (connections + peer_connections) * CONNECTION_BYTES;
        // One body of 4 MiB has to fit beside the reserve also with hardly any memory.
        let total_bytes = (bound - set_aside.min(bound)).max(MIN_BOUND_BYTES);
        Self {
            total_bytes,
            small_reserve_bytes: total_bytes / SMALL_RESERVE_DIVISOR,
            connections: connections as usize,
            peer_connections: peer_connections as usize,
        }
    }
}

/// Identifies a holder in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderKey(u64);

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HolderKind {
    /// A request, with the part of its body that has arrived.
    Request,
    /// A response, or a part of one, that its caller hasn't read.
    Response,
}

/// There is no memory for a holder, and no other one has stalled that could be shed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{held_bytes} of {total_bytes} bytes are held for callers, and no caller has stalled")]
pub struct MemoryExhausted {
    pub held_bytes: u64,
    pub total_bytes: u64,
}

/// A holder that was shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShedHolder {
    pub key: HolderKey,
    pub kind: HolderKind,
    pub bytes: u64,
    /// Time since its caller last made progress.
    pub stalled: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: HolderKind,
    bytes: u64,
    /// Time of the caller's last progress, or none if it is not the caller that is waited for.
    stalled_since: Option<Timestamp>,
}

/// Counts the memory that is held for callers.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    held_bytes: u64,
    next_key: u64,
    holders: BTreeMap<HolderKey, Holder>,
    /// The large response that last exceeded the bound.
    overdrawn: Option<HolderKey>,
}

impl MemoryLedger {
    /// Creates an empty ledger.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { limits, held_bytes: 0, next_key: 0, holders: BTreeMap::new(), overdrawn: None }
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Adds a holder without memory.
    pub fn open(&mut self, kind: HolderKind) -> HolderKey {
        let key = HolderKey(self.next_key);
        self.next_key += 1;
        self.holders.insert(key, Holder { kind, bytes: 0, stalled_since: None });
        key
    }

    /// Returns whether a holder is in the ledger: it was neither shed nor closed.
    pub fn contains(&self, key: HolderKey) -> bool {
        self.holders.contains_key(&key)
    }

    /// Records the time of the last progress of the caller that a holder waits for, or that it
    /// doesn't wait for its caller.
    pub fn set_stalled_since(&mut self, key: HolderKey, since: Option<Timestamp>) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.stalled_since = since;
        }
    }

    /// Sets the memory of a holder, in bytes, and returns the holders that were shed for it. Their
    /// memory counts as free from now on. A holder that isn't in the ledger stays out of it.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if shedding can't make enough room.
    pub fn resize(
        &mut self,
        key: HolderKey,
        bytes: u64,
        now: Timestamp,
    ) -> Result<Vec<ShedHolder>, MemoryExhausted> {
        let Some(holder) = self.holders.get(&key) else {
            return Ok(Vec::new());
        };
        let others = self.held_bytes - holder.bytes;
        let reserve = if bytes > SMALL_BODY_BYTES { self.limits.small_reserve_bytes } else { 0 };
        let limit = self.limits.total_bytes - reserve;
        let is_growth = bytes > holder.bytes;
        let missing = if is_growth { (others + bytes).saturating_sub(limit) } else { 0 };
        let shed = self.choose_shed(key, missing, now)?;
        for victim in &shed {
            self.close(victim.key);
        }
        self.force(key, bytes);
        Ok(shed)
    }

    /// Sets the memory of a holder, in bytes, whatever the bound.
    pub fn force(&mut self, key: HolderKey, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&key) {
            self.held_bytes = self.held_bytes - holder.bytes + bytes;
            holder.bytes = bytes;
        }
    }

    /// Sets the memory of a response, in bytes, beyond the bound, and returns whether it was set.
    ///
    /// Responses that each hold a part of their memory and wait for the rest would wait for ever, so
    /// large ones may exceed the bound by a part of it together, and one of them by any size. Small ones
    /// always may.
    pub fn overdraw(&mut self, key: HolderKey, bytes: u64) -> bool {
        let Some(holder) = self.holders.get(&key) else {
            return true;
        };
        if bytes > SMALL_BODY_BYTES {
            let limit = self.limits.total_bytes + self.limits.total_bytes / OVERDRAFT_DIVISOR;
            let exceeds = self.held_bytes - holder.bytes + bytes > limit;
            let other = self.overdrawn.filter(|other| *other != key && self.contains(*other));
            if exceeds && other.is_some() {
                return false;
            }
            self.overdrawn = Some(key);
        }
        self.force(key, bytes);
        true
    }

    /// Sheds the holder whose caller has stalled longest, for the sake of its connection.
    pub fn shed_longest_stalled(&mut self, now: Timestamp) -> Option<ShedHolder> {
        let victim = self.stalled(now).min_by_key(|(since, _)| *since).map(|(_, shed)| shed)?;
        self.close(victim.key);
        Some(victim)
    }

    /// Removes a holder and its memory.
    pub fn close(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(&key) {
            self.held_bytes -= holder.bytes;
        }
    }

    fn stalled(&self, now: Timestamp) -> impl Iterator<Item = (Timestamp, ShedHolder)> + '_ {
        self.holders.iter().filter_map(move |(key, holder)| {
            let since = holder.stalled_since?;
            let stalled = now.since(since);
            let shed = ShedHolder { key: *key, kind: holder.kind, bytes: holder.bytes, stalled };
            (stalled >= MIN_STALL).then_some((since, shed))
        })
    }

    /// Chooses the holders to shed for some missing bytes: those that have stalled longest.
    fn choose_shed(
        &self,
        key: HolderKey,
        missing: u64,
        now: Timestamp,
    ) -> Result<Vec<ShedHolder>, MemoryExhausted> {
        if missing == 0 {
            return Ok(Vec::new());
        }
        let mut candidates: Vec<_> =
            self.stalled(now).filter(|(_, shed)| shed.key != key && shed.bytes > 0).collect();
        candidates.sort_by_key(|(since, shed)| (*since, shed.key));
        let mut freed = 0;
        let mut shed = Vec::new();
        for (_, candidate) in candidates {
            if freed >= missing {
                break;
            }
            freed += candidate.bytes;
            shed.push(candidate);
        }
        if freed < missing {
            let total_bytes = self.limits.total_bytes;
            return Err(MemoryExhausted { held_bytes: self.held_bytes, total_bytes });
        }
        Ok(shed)
    }
}

/// Returns the next capacity of a buffer, in bytes, that has to hold `needed` bytes and never more
/// than `longest`. It doubles, so that a body is copied about once.
pub fn next_capacity(capacity: usize, needed: usize, longest: usize) -> usize {
    let doubled = capacity.saturating_mul(2).max(MIN_CAPACITY_BYTES).min(longest);
    doubled.max(needed)
}

/// Measures whether a body arrives at the least rate.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    min_window_bytes: u64,
    window_start: Timestamp,
    window_bytes: u64,
}

impl BodyProgress {
    /// Starts at the head of a request; `min_rate` is in bytes per second.
    pub fn new(min_rate: u64, now: Timestamp) -> Self {
        let min_window_bytes = min_rate.saturating_mul(RATE_WINDOW.as_secs());
        Self { min_window_bytes, window_start: now, window_bytes: 0 }
    }

    /// Records bytes that have arrived. Returns whether the body is fast enough.
    pub fn record(&mut self, bytes: usize, now: Timestamp) -> bool {
        self.window_bytes += bytes as u64;
        if now.since(self.window_start) < RATE_WINDOW {
            return true;
        }
        let is_enough = self.window_bytes >= self.min_window_bytes;
        (self.window_start, self.window_bytes) = (now, 0);
        is_enough
    }

    /// Returns the time until the rate is checked next.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        (self.window_start + RATE_WINDOW).since(now)
    }
}

/// Groups shed holders into floods, each of which is logged once.
#[derive(Clone, Copy, Debug, Default)]
pub struct FloodTracker {
    last_shed_at: Option<Timestamp>,
}

impl FloodTracker {
    /// Records that holders were shed or requests were refused. Returns whether this begins a
    /// flood.
    pub fn record(&mut self, now: Timestamp) -> bool {
        let last = self.last_shed_at.replace(now);
        last.is_none_or(|last| now.since(last) >= FLOOD_GAP)
    }
}
