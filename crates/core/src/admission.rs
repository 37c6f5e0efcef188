//! Whether a request is let in, or refused at once with the time to come back.
//!
//! There is no queue in the daemon: a request either goes to an engine now or
//! gets its final answer now. Three rules apply, in this order.
//!
//! 1. A request that can't end before its deadline is refused.
//! 2. Batch work is refused as soon as the queue nears the objective.
//! 3. A request whose first token would come later than the objective is let in
//!    only if most engines are free, or if its account holds no more than its
//!    weighted share of the work in progress. The room between the objective
//!    and the deadlines is thus kept for accounts below their share.

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

/// Share of the objective beyond which batch work is refused.
const BATCH_SHARE: f64 = 0.5;
/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(60);
/// Times over which the returns of refused callers are spread.
const RETRY_SLOTS: u32 = 8;
/// Time after its last request for which an account keeps its share.
const ACTIVE_TIME: Duration = Duration::from_secs(10);
/// Weight of an output token against a prompt token: it takes a step, of which
/// a prompt token takes only a small part.
const OUTPUT_WEIGHT: u64 = 16;

/// Describes a request that asks to be let in.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    pub account: SmolStr,
    pub priority: AccountPriority,
    /// Whether the service yields to those that people wait for.
    pub batch: bool,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

impl AdmissionRequest {
    /// Returns the priority with the service's own taken in.
    pub fn priority(&self) -> AccountPriority {
        if self.batch {
            AccountPriority::Batch
        } else {
            self.priority
        }
    }

    /// Returns the work that the request brings, in prompt tokens.
    pub fn work(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens) * OUTPUT_WEIGHT
    }
}

/// States what the best engine can offer a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionEstimate {
    /// Estimated time until the engine begins with the request.
    pub queue: Duration,
    /// Estimated time to the first token.
    pub first_token: Duration,
    /// Estimated time to the last token.
    pub finish: Duration,
    /// Time to the first token that the deployment aims for.
    pub objective: Duration,
    /// Whether most engines would begin with a request almost at once.
    pub mostly_idle: bool,
}

impl AdmissionEstimate {
    /// Makes the offer of a chosen engine.
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

/// Names an admission that has to be given back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the work counts until it is given back"]
pub struct AdmissionGrant {
    account: SmolStr,
    work: u64,
}

/// Holds the work in progress of each account at one daemon.
///
/// Its size follows the accounts that were active lately.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTable {
    accounts: HashMap<SmolStr, AccountWork>,
    /// Accounts without work, by the time at which they may be forgotten.
    idle: VecDeque<(Timestamp, SmolStr)>,
    total: u64,
    weights: WeightSums,
    refused: u32,
}

/// Sums the weights of the active accounts.
///
/// Batch accounts take no room from people, who are let in before them.
#[derive(Clone, Copy, Debug, Default)]
struct WeightSums {
    people: u64,
    batch: u64,
}

impl WeightSums {
    fn add(&mut self, priority: AccountPriority) {
        *self.of(priority) += weight(priority);
    }

    fn remove(&mut self, priority: AccountPriority) {
        *self.of(priority) -= weight(priority);
    }

    fn of(&mut self, priority: AccountPriority) -> &mut u64 {
        match priority {
            AccountPriority::Batch => &mut self.batch,
            AccountPriority::Normal | AccountPriority::Urgent => &mut self.people,
        }
    }

    /// Returns the weights between which an account of a priority shares.
    fn beside(&self, priority: AccountPriority) -> u64 {
        match priority {
            AccountPriority::Batch => self.people + self.batch,
            AccountPriority::Normal | AccountPriority::Urgent => self.people,
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
    asked_at: Timestamp,
}

impl AdmissionTable {
    /// Lets a request in, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the time after which to come back.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        offer: &AdmissionEstimate,
        now: Timestamp,
    ) -> Result<AdmissionGrant, RequestRefusal> {
        self.remove_expired(now);
        self.note(request, now);
        if offer.finish > request.time_left {
            let span = offer.finish - request.time_left;
            return Err(self.refuse(RefusalReason::DeadlineUnmeetable, span));
        }
        if !self.allows(request, offer) {
            return Err(self.refuse(RefusalReason::Overloaded, offer.queue));
        }
        Ok(self.enter(request))
    }

    /// Applies the rules on batch work and on shares.
    fn allows(&self, request: &AdmissionRequest, offer: &AdmissionEstimate) -> bool {
        let batch = request.priority() == AccountPriority::Batch;
        let limit = if batch { offer.objective.mul_f64(BATCH_SHARE) } else { offer.objective };
        if batch && offer.queue > limit {
            return false;
        }
        offer.first_token <= limit || offer.mostly_idle || self.is_within_share(&request.account)
    }

    /// Tells whether an account holds no more than its share of the work.
    ///
    /// The request that asks isn't counted: else two accounts with large
    /// requests would each wait for the other to hold more.
    fn is_within_share(&self, account: &str) -> bool {
        self.accounts.get(account).is_none_or(|account| {
            let weights = self.weights.beside(account.priority);
            let held = u128::from(account.work) * u128::from(weights);
            held <= u128::from(self.total) * u128::from(weight(account.priority))
        })
    }

    /// Counts the account as active.
    fn note(&mut self, request: &AdmissionRequest, now: Timestamp) {
        let priority = request.priority();
        let account = self.accounts.entry(request.account.clone()).or_insert_with(|| {
            self.weights.add(priority);
            self.idle.push_back((now + ACTIVE_TIME, request.account.clone()));
            AccountWork { work: 0, requests: 0, priority, asked_at: now }
        });
        self.weights.remove(account.priority);
        self.weights.add(priority);
        account.priority = priority;
        account.asked_at = now;
    }

    fn enter(&mut self, request: &AdmissionRequest) -> AdmissionGrant {
        let work = request.work();
        if let Some(account) = self.accounts.get_mut(&request.account) {
            account.work += work;
            account.requests += 1;
            self.total += work;
        }
        AdmissionGrant { account: request.account.clone(), work }
    }

    /// Takes the work of an ended request out.
    pub fn release(&mut self, grant: &AdmissionGrant) {
        let Some(account) = self.accounts.get_mut(&grant.account) else { return };
        account.work -= grant.work;
        account.requests -= 1;
        self.total -= grant.work;
    }

    /// Drops accounts that have been idle for long.
    ///
    /// Each account stands once in the queue; one that is still active when
    /// its turn comes goes to the end.
    fn remove_expired(&mut self, now: Timestamp) {
        while self.idle.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, name)) = self.idle.pop_front() else { return };
            let Some(account) = self.accounts.get(&name).copied() else { continue };
            if account.requests > 0 || now.since(account.asked_at) < ACTIVE_TIME {
                self.idle.push_back((now + ACTIVE_TIME, name));
            } else {
                self.weights.remove(account.priority);
                self.accounts.remove(&name);
            }
        }
    }

    /// Refuses a request, with times that differ from one caller to the next,
    /// so that they don't come back all together.
    fn refuse(&mut self, reason: RefusalReason, span: Duration) -> RequestRefusal {
        self.refused = self.refused.wrapping_add(1);
        let spread = 1.0 + f64::from(self.refused % RETRY_SLOTS) / f64::from(RETRY_SLOTS);
        let span = span.clamp(LEAST_RETRY, LONGEST_RETRY).mul_f64(spread);
        RequestRefusal::not_executed(reason).retry_after(span)
    }

    /// Returns the work in progress of an account, in prompt tokens.
    pub fn work(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |account| account.work)
    }

    /// Returns the number of accounts that were active lately.
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

/// Returns the priority that an engine is told.
pub fn engine_priority(priority: AccountPriority) -> u32 {
    match priority {
        AccountPriority::Batch => 0,
        AccountPriority::Normal => 1,
        AccountPriority::Urgent => 2,
    }
}
