//! Retry budgets of this daemon, one per service.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::retries::RetryBudget;
use gooseberry_edges::clock::Clock;
use parking_lot::Mutex;
use smol_str::SmolStr;

/// `Retry-After` of refusals for an exhausted retry budget.
pub const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Retry budgets of all services.
#[derive(Debug)]
pub struct RetryTable {
    clock: Clock,
    budgets: Mutex<HashMap<SmolStr, RetryBudget>>,
}

impl RetryTable {
    /// Creates a table of unused budgets.
    pub fn new(clock: Clock) -> Self {
        Self { clock, budgets: Mutex::default() }
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&self, service: &SmolStr) {
        let now = self.clock.now();
        self.budgets.lock().entry(service.clone()).or_default().record_first_attempt(now);
    }

    /// Grants a retry, unless the service's budget is exhausted.
    pub fn try_retry(&self, service: &SmolStr, share: f64) -> bool {
        let now = self.clock.now();
        let granted =
            self.budgets.lock().entry(service.clone()).or_default().try_acquire(share, now);
        if !granted {
            tracing::warn!(%service, "retry denied: retry budget of the service is exhausted");
        }
        granted
    }
}
