//! Admission control: admits a request, or rejects it at once with a retry-after time.
//!
//! The daemon has no request queue: it either sends a request to an engine now or
//! refuses it now. Three rules apply, in this order.
//!
//! 1. A request that can't be completed before its deadline is refused.
//! 2. A batch request is refused once the queue time exceeds half of the objective.
//! 3. A request whose first token would come later than the objective is admitted
//!    only if most engines are idle, or if its account holds no more than its
//!    weighted share of the work in progress. The time between the objective and
//!    the deadlines is thus reserved for accounts below their share.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    fleet::AccountPriority,
    refusal::{RefusalReason, RequestRefusal},
    routing::RouteDecision,
    time::Timestamp,
};

/// Share of the objective above which batch requests are refused.
const BATCH_OBJECTIVE_SHARE: f64 = 0.5;
/// Shortest retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest retry-after time of a refusal, before it is spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Number of steps over which the retry-after times of refused callers are spread.
const RETRY_SPREAD_STEPS: u32 = 8;
/// Time after its last request for which an account counts as active.
const ACTIVE_TIME: Duration = Duration::from_secs(10);
/// Weight of an output token relative to a prompt token. An output token takes a
/// whole step of the engine, a prompt token only a small part of one.
const OUTPUT_WEIGHT: u64 = 16;

/// Describes a request that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    pub account: SmolStr,
    pub priority: AccountPriority,
    /// Whether the service has batch priority, below services with interactive users.
    pub batch: bool,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

impl AdmissionRequest {
    /// Returns the account's priority, or batch priority if the service is a batch service.
    pub fn priority(&self) -> AccountPriority {
        if self.batch {
            AccountPriority::Batch
        } else {
            self.priority
        }
    }

    /// Returns the weighted work of the request, in prompt tokens.
    pub fn work(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens) * OUTPUT_WEIGHT
    }
}

/// States the times that the best engine is estimated to achieve for a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionEstimate {
    /// Estimated time until the engine starts the request.
    pub queue: Duration,
    /// Estimated time to the first token.
    pub first_token: Duration,
    /// Estimated time to the last token.
    pub finish: Duration,
    /// Target for the time to the first token, from the configuration.
    pub objective: Duration,
    /// Whether more than half of the candidate engines could start a request almost at once.
    pub mostly_idle: bool,
}

impl AdmissionEstimate {
    /// Returns the estimate for the chosen engine.
    pub fn new(decision: &RouteDecision, objective: Duration) -> Self {
        Self {
            queue: decision.queue,
            first_token: decision.first_token,
            finish: decision.finish,
            objective,
            mostly_idle: decision.idle * 2 > decision.candidates,
        }
    }
}

/// Identifies admitted work until it is released.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the work counts until it is released"]
pub struct AdmissionGrant {
    account: SmolStr,
    work: u64,
}

/// Holds the work in progress of each account at one daemon.
///
/// Its size grows with the number of recently active accounts.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTable {
    accounts: HashMap<SmolStr, AccountWork>,
    /// Accounts with the times at which to check whether they can be removed.
    idle_checks: VecDeque<(Timestamp, SmolStr)>,
    total_work: u64,
    weights: WeightSums,
    refused: u32,
}

/// Sums the weights of the active accounts.
///
/// Batch accounts aren't counted when the share of a normal or urgent account is
/// computed, because those are admitted before them.
#[derive(Clone, Copy, Debug, Default)]
struct WeightSums {
    interactive: u64,
    batch: u64,
}

impl WeightSums {
    fn add(&mut self, priority: AccountPriority) {
        *self.sum_mut(priority) += weight(priority);
    }

    fn remove(&mut self, priority: AccountPriority) {
        *self.sum_mut(priority) -= weight(priority);
    }

    fn sum_mut(&mut self, priority: AccountPriority) -> &mut u64 {
        match priority {
            AccountPriority::Batch => &mut self.batch,
            AccountPriority::Normal | AccountPriority::Urgent => &mut self.interactive,
        }
    }

    /// Returns the sum of the weights that an account of this priority shares with.
    fn competing_weight(&self, priority: AccountPriority) -> u64 {
        match priority {
            AccountPriority::Batch => self.interactive + self.batch,
            AccountPriority::Normal | AccountPriority::Urgent => self.interactive,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct AccountWork {
    work: u64,
    requests: u32,
    /// Priority of the last request.
    priority: AccountPriority,
    /// Time of the last request.
    last_request_at: Timestamp,
}

impl AdmissionTable {
    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal with its retry-after time.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        estimate: &AdmissionEstimate,
        now: Timestamp,
    ) -> Result<AdmissionGrant, RequestRefusal> {
        self.remove_expired(now);
        self.record_request(request, now);
        if estimate.finish > request.time_left {
            let delay = estimate.finish - request.time_left;
            return Err(self.refuse(RefusalReason::DeadlineUnmeetable, delay));
        }
        if !self.allows(request, estimate) {
            return Err(self.refuse(RefusalReason::Overloaded, estimate.queue));
        }
        Ok(self.add_work(request))
    }

    /// Applies the rules on batch requests and on account shares.
    fn allows(&self, request: &AdmissionRequest, estimate: &AdmissionEstimate) -> bool {
        let batch = request.priority() == AccountPriority::Batch;
        let limit = if batch {
            estimate.objective.mul_f64(BATCH_OBJECTIVE_SHARE)
        } else {
            estimate.objective
        };
        if batch && estimate.queue > limit {
            return false;
        }
        estimate.first_token <= limit
            || estimate.mostly_idle
            || self.is_within_share(&request.account)
    }

    /// Tells whether an account holds no more than its share of the work.
    ///
    /// The request itself isn't counted. Otherwise two accounts with large requests
    /// could each be refused until the other holds more.
    fn is_within_share(&self, account: &str) -> bool {
        self.accounts.get(account).is_none_or(|account| {
            let weights = self.weights.competing_weight(account.priority);
            let held = u128::from(account.work) * u128::from(weights);
            held <= u128::from(self.total_work) * u128::from(weight(account.priority))
        })
    }

    /// Records the account as active.
    fn record_request(&mut self, request: &AdmissionRequest, now: Timestamp) {
        let priority = request.priority();
        let account = self.accounts.entry(request.account.clone()).or_insert_with(|| {
            self.weights.add(priority);
            self.idle_checks.push_back((now + ACTIVE_TIME, request.account.clone()));
            AccountWork { work: 0, requests: 0, priority, last_request_at: now }
        });
        self.weights.remove(account.priority);
        self.weights.add(priority);
        account.priority = priority;
        account.last_request_at = now;
    }

    fn add_work(&mut self, request: &AdmissionRequest) -> AdmissionGrant {
        let work = request.work();
        if let Some(account) = self.accounts.get_mut(&request.account) {
            account.work += work;
            account.requests += 1;
            self.total_work += work;
        }
        AdmissionGrant { account: request.account.clone(), work }
    }

    /// Subtracts the work of an ended request.
    pub fn release(&mut self, grant: &AdmissionGrant) {
        let Some(account) = self.accounts.get_mut(&grant.account) else { return };
        account.work -= grant.work;
        account.requests -= 1;
        self.total_work -= grant.work;
    }

    /// Removes accounts that have been idle for [`ACTIVE_TIME`].
    ///
    /// Each account has one entry in the queue. An account that is still active when
    /// its entry comes up is moved to the end.
    fn remove_expired(&mut self, now: Timestamp) {
        while self.idle_checks.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, name)) = self.idle_checks.pop_front() else { return };
            let Some(account) = self.accounts.get(&name).copied() else { continue };
            if account.requests > 0 || now.since(account.last_request_at) < ACTIVE_TIME {
                self.idle_checks.push_back((now + ACTIVE_TIME, name));
            } else {
                self.weights.remove(account.priority);
                self.accounts.remove(&name);
            }
        }
    }

    /// Refuses a request. The retry-after times differ between callers, so that they
    /// don't all retry at the same moment.
    fn refuse(&mut self, reason: RefusalReason, delay: Duration) -> RequestRefusal {
        self.refused = self.refused.wrapping_add(1);
        let spread =
            1.0 + f64::from(self.refused % RETRY_SPREAD_STEPS) / f64::from(RETRY_SPREAD_STEPS);
        let delay = delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(spread);
        RequestRefusal::not_executed(reason).retry_after(delay)
    }

    /// Returns the work in progress of an account, in prompt tokens.
    pub fn work(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |account| account.work)
    }

    /// Returns the number of recently active accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}

/// Returns the weight of an account's share.
fn weight(priority: AccountPriority) -> u64 {
    match priority {
        AccountPriority::Batch => 1,
        AccountPriority::Normal => 4,
        AccountPriority::Urgent => 16,
    }
}

/// Returns the priority number that is sent to an engine.
pub fn engine_priority(priority: AccountPriority) -> u32 {
    match priority {
        AccountPriority::Batch => 0,
        AccountPriority::Normal => 1,
        AccountPriority::Urgent => 2,
    }
}
