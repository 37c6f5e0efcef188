//! Requests that crash the engines that run them.
//!
//! A crash counts against a request if its engine aborted the response or sent none. Whether the
//! engine is still running isn't checked. Ordinary crashes affect many requests at once, so a
//! single crash proves nothing. A request that was running at several crashes in a row is refused.

use std::{collections::HashMap, time::Duration};

use crate::{poison::RequestFingerprint, time::Timestamp};

/// Number of crashes from which a request is refused.
const CRASH_LIMIT: u32 = 3;
/// Time after its last crash for which a request stays quarantined. Older counts are removed
/// when the table is full.
const CRASH_WINDOW: Duration = Duration::from_secs(120);
/// Number of counts from which the table is full.
const COUNT_LIMIT: usize = 2048;

#[derive(Clone, Copy, Debug)]
struct CrashCount {
    crashes: u32,
    last_at: Timestamp,
}

/// Counts, per request, the crashes at which it was running. Requests with the same fingerprint
/// share a count.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    counts: HashMap<RequestFingerprint, CrashCount>,
}

impl CrashTable {
    /// Counts a crash against a request and returns the number of its crashes.
    pub fn record_crash(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> u32 {
        if self.counts.len() >= COUNT_LIMIT {
            self.counts.retain(|_, count| now.since(count.last_at) < CRASH_WINDOW);
        }
        let count =
            self.counts.entry(fingerprint).or_insert(CrashCount { crashes: 0, last_at: now });
        count.crashes += 1;
        count.last_at = now;
        count.crashes
    }

    /// Clears the count of a request that completed.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.counts.remove(&fingerprint);
    }

    /// Returns whether a request is quarantined, so that it must not run again.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint, now: Timestamp) -> bool {
        self.counts.get(&fingerprint).is_some_and(|count| {
            count.crashes >= CRASH_LIMIT && now.since(count.last_at) < CRASH_WINDOW
        })
    }
}
