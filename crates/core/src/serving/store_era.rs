//! Eras of the key-value service, and what is known as of one of them.
//!
//! The service may come back from a copy of itself. What was written since is gone, and it gives out
//! the same revisions and leases again for other changes. It states an era in its responses, which
//! rises each time, so what is known of it holds only in the era that it comes from.

use std::fmt;

/// A revision of the key-value service, in the era that gave it out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    pub era: u64,
    pub number: u64,
}

impl StoreRevision {
    /// Creates a revision from its number in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of era {}", self.number, self.era)
    }
}

/// Why a response can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EraError {
    #[error("the response is of era {era} of the key-value service, which is now in era {newest}")]
    Late { era: u64, newest: u64 },
    #[error("the key-value service has come back from a copy: era {known} has ended, it is now in era {newest}")]
    Ended { known: u64, newest: u64 },
}

/// The newest era of the key-value service that a process knows. Services that state no era are in
/// era 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewestEra {
    stated: Option<u64>,
    has_changed: bool,
}

impl NewestEra {
    /// Returns the number of the era.
    pub fn number(self) -> u64 {
        self.stated.unwrap_or_default()
    }

    /// Returns whether the service has stated more than one era.
    pub fn has_changed(self) -> bool {
        self.has_changed
    }

    /// Checks, before a call is made, what it rests on: a revision or a lease of the era `known`.
    ///
    /// # Errors
    ///
    /// Returns [`EraError::Ended`] if there is a newer era.
    pub fn check(self, known: u64) -> Result<(), EraError> {
        let newest = self.number();
        if known < newest {
            return Err(EraError::Ended { known, newest });
        }
        Ok(())
    }

    /// Records a response and returns its era. `stated` is the era that the response states, and `known`
    /// that of the revision or lease which the call rested on, if it rested on one.
    ///
    /// # Errors
    ///
    /// Returns an error if the response can't be used: its own era has ended, or that of what the call
    /// rested on.
    pub fn record(&mut self, stated: Option<u64>, known: Option<u64>) -> Result<u64, EraError> {
        let newest = self.number();
        let era = stated.unwrap_or(newest);
        if era < newest {
            return Err(EraError::Late { era, newest });
        }
        if stated.is_some() {
            self.has_changed |= self.stated.is_some() && era > newest;
            self.stated = stated;
        }
        known.map_or(Ok(()), |known| self.check(known))?;
        Ok(era)
    }
}
