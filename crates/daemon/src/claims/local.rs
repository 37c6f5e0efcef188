//! Claims of this process that the platform hasn't taken in their final state.

use std::{collections::HashMap, sync::Arc, time::Duration};

use gooseberry_core::claims::ClaimRow;
use gooseberry_edges::clock::Clock;
use parking_lot::Mutex;
use smol_str::SmolStr;

/// Interval at which a stopping daemon looks whether all claims are settled.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Knows the claims of this process by path, newer than the platform does.
///
/// A caller that asks this daemon again gets its answer from here while the
/// platform is down.
#[derive(Clone, Debug, Default)]
pub struct LocalClaims {
    rows: Arc<Mutex<HashMap<SmolStr, ClaimRow>>>,
}

impl LocalClaims {
    /// Returns the claim at a path, if this process holds it.
    pub fn get(&self, path: &str) -> Option<ClaimRow> {
        self.rows.lock().get(path).cloned()
    }

    /// Notes a claim or its new state.
    pub fn insert(&self, path: SmolStr, row: ClaimRow) {
        self.rows.lock().insert(path, row);
    }

    /// Forgets a claim that the platform has taken in its final state.
    pub fn remove(&self, path: &str, claim: &str) {
        let mut rows = self.rows.lock();
        if rows.get(path).is_some_and(|row| row.claim == claim) {
            rows.remove(path);
        }
    }

    /// Waits until all claims are settled and returns how many aren't.
    pub async fn wait_settled(&self, clock: &Clock, limit: Duration) -> usize {
        let deadline = clock.now() + limit;
        loop {
            let left = self.rows.lock().len();
            if left == 0 || clock.now() >= deadline {
                return left;
            }
            clock.sleep(DRAIN_INTERVAL).await;
        }
    }
}
