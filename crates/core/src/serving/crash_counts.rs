//! Requests that crash each engine that runs them.
//!
//! A request is counted against when its engine breaks off and turns out to be
//! gone. Ordinary crashes take many requests with them, so one count proves
//! nothing; a request that was there at several crashes in a row is refused.

use std::{collections::HashMap, time::Duration};

use crate::{poison::RequestFingerprint, time::Timestamp};

/// Crashes after which a request is refused.
const CRASH_LIMIT: u32 = 3;
/// Time for which a crash counts.
const CRASH_SPAN: Duration = Duration::from_secs(120);
/// Requests that are remembered.
const SUSPECT_LIMIT: usize = 2048;

#[derive(Clone, Copy, Debug)]
struct CrashCount {
    crashes: u32,
    last: Timestamp,
}

/// Counts the crashes at which a request was running.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    counts: HashMap<RequestFingerprint, CrashCount>,
}

impl CrashTable {
    /// Counts a crash and returns how many there were.
    pub fn record_crash(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> u32 {
        if self.counts.len() >= SUSPECT_LIMIT {
            self.counts.retain(|_, count| now.since(count.last) < CRASH_SPAN);
        }
        let count = self.counts.entry(fingerprint).or_insert(CrashCount { crashes: 0, last: now });
        count.crashes += 1;
        count.last = now;
        count.crashes
    }

    /// Forgets a request that ran to its end.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.counts.remove(&fingerprint);
    }

    /// Tells whether a request must not run again.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint, now: Timestamp) -> bool {
        self.counts
            .get(&fingerprint)
            .is_some_and(|count| count.crashes >= CRASH_LIMIT && now.since(count.last) < CRASH_SPAN)
    }
}
