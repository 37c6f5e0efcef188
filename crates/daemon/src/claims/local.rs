//! Claims of this process whose final state isn't in the key-value store yet.

use std::{collections::HashMap, sync::Arc, time::Duration};

use gooseberry_core::claims::ClaimRow;
use gooseberry_edges::clock::Clock;
use parking_lot::Mutex;
use smol_str::SmolStr;

/// Interval at which a stopping daemon checks whether all claims are settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Claims of this process by path, ahead of the key-value store.
///
/// A caller that retries at this daemon gets its response from here while the
/// platform is unavailable.
#[derive(Clone, Debug, Default)]
pub struct LocalClaims {
    rows: Arc<Mutex<HashMap<SmolStr, ClaimRow>>>,
}

impl LocalClaims {
    /// Returns the claim at a path, if this process holds it.
    pub fn get(&self, path: &str) -> Option<ClaimRow> {
        self.rows.lock().get(path).cloned()
    }

    /// Stores a claim or its new state.
    pub fn insert(&self, path: SmolStr, row: ClaimRow) {
        self.rows.lock().insert(path, row);
    }

    /// Removes a claim once the key-value store has its final state.
    pub fn remove(&self, path: &str, claim: &str) {
        let mut rows = self.rows.lock();
        if rows.get(path).is_some_and(|row| row.claim == claim) {
            rows.remove(path);
        }
    }

    /// Waits until all claims are settled, and returns the number that aren't at
    /// the limit.
    pub async fn wait_settled(&self, clock: &Clock, limit: Duration) -> usize {
        let deadline = clock.now() + limit;
        loop {
            let unsettled = self.rows.lock().len();
            if unsettled == 0 || clock.now() >= deadline {
                return unsettled;
            }
            clock.sleep(SETTLE_POLL_INTERVAL).await;
        }
    }
}
