//! Fencing tokens of the leader's orders.
//!
//! Engines may compare the tokens of different leaders, so a later leader's token must be higher. The
//! revision of the leader key is, but only within an era: revisions go back when the key-value service
//! comes back from a copy. Builds that know no eras take the revision alone, so the tokens of the first
//! era are the same as theirs, and the daemons agree on which era that is.

use crate::serving::store_era::StoreRevision;

/// Difference of the tokens of two eras, which is higher than any revision. The tokens of 8,192 eras
/// are below 2^53, up to which all JSON parsers read integers exactly.
const ERA_STEP: u64 = 1 << 40;

/// The first era, as far as a daemon knows. The key-value service keeps it. It may lose that record with
/// all else that it loses, and a daemon that knows only later eras may write another one, so the earliest
/// one counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstEra {
    known: Option<u64>,
    stored: Option<u64>,
}

impl FirstEra {
    /// Records what the key-value service keeps: the first era, or none. Returns the era that is to be
    /// written in its place if an earlier one is known.
    pub fn record_stored(&mut self, stored: Option<u64>) -> Option<u64> {
        self.stored = stored;
        self.known = stored.into_iter().chain(self.known).min();
        self.known.filter(|known| stored.is_some_and(|stored| *known < stored))
    }

    /// Returns the era that a leader has to write before its first order, if the key-value service
    /// doesn't keep it. `era` is that of the leader key.
    pub fn unstored(&self, era: u64) -> Option<u64> {
        let first_era = self.known.unwrap_or(era).min(era);
        (self.stored != Some(first_era)).then_some(first_era)
    }

    /// Returns whether this daemon has read or written a record.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Returns the fencing token of the leader whose key has this revision, once the key-value service
    /// keeps the first era.
    pub fn token(&self, key: StoreRevision) -> Option<u64> {
        let first_era = self.known.filter(|_| self.stored == self.known)?;
        Some(key.era.saturating_sub(first_era) * ERA_STEP + key.number)
    }
}
