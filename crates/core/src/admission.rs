//! Whether a request is let in, or refused at once with the time to come back.
//!
//! There is no queue in the daemon: a request either goes to an engine now or
//! gets its final answer now. Three rules apply, in this order.
//!
//! 1. A request that can't end before its deadline is refused.
//! 2. Batch work is refused as soon as the wait nears the objective.
//! 3. Beyond the objective, an account may hold no more than its weighted
//!    share of the work that is in progress. The room between the objective and
//!    the deadlines is thus kept for accounts below their share.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::{
    fleet::AccountPriority,
    refusal::{RefusalReason, RequestRefusal},
};

/// Share of the objective beyond which batch work is refused.
const BATCH_SHARE: f64 = 0.5;
/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(60);
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
pub struct AdmissionOffer {
    /// Estimated time to the first token.
    pub wait: Duration,
    /// Estimated time to the last token.
    pub finish: Duration,
    /// Time to the first token that the deployment aims for.
    pub objective: Duration,
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
/// Its size follows the requests in progress, not the accounts that exist.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTable {
    accounts: HashMap<SmolStr, AccountWork>,
    total: u64,
    weights: u64,
}

#[derive(Clone, Copy, Debug)]
struct AccountWork {
    work: u64,
    requests: u32,
    weight: u64,
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
        offer: &AdmissionOffer,
    ) -> Result<AdmissionGrant, RequestRefusal> {
        if offer.finish > request.time_left {
            return Err(refuse(
                RefusalReason::DeadlineUnmeetable,
                offer.finish - request.time_left,
            ));
        }
        if offer.wait > self.wait_limit(request, offer) {
            return Err(refuse(RefusalReason::Overloaded, offer.wait));
        }
        Ok(self.enter(request))
    }

    /// Returns the longest wait for which a request is let in.
    fn wait_limit(&self, request: &AdmissionRequest, offer: &AdmissionOffer) -> Duration {
        match request.priority() {
            AccountPriority::Batch => offer.objective.mul_f64(BATCH_SHARE),
            AccountPriority::Normal | AccountPriority::Urgent if self.is_within_share(request) => {
                Duration::MAX
            }
            AccountPriority::Normal | AccountPriority::Urgent => offer.objective,
        }
    }

    /// Tells whether an account stays within its share of the work.
    ///
    /// An account without work in progress always does, so that no request is
    /// too large to be let in alone.
    fn is_within_share(&self, request: &AdmissionRequest) -> bool {
        let Some(account) = self.accounts.get(&request.account) else { return true };
        let held = u128::from(account.work + request.work()) * u128::from(self.weights);
        held <= u128::from(self.total) * u128::from(account.weight)
    }

    fn enter(&mut self, request: &AdmissionRequest) -> AdmissionGrant {
        let work = request.work();
        let weight = weight(request.priority());
        let weights = &mut self.weights;
        let account = self.accounts.entry(request.account.clone()).or_insert_with(|| {
            *weights += weight;
            AccountWork { work: 0, requests: 0, weight }
        });
        account.work += work;
        account.requests += 1;
        self.total += work;
        AdmissionGrant { account: request.account.clone(), work }
    }

    /// Takes the work of an ended request out.
    pub fn leave(&mut self, grant: &AdmissionGrant) {
        let Some(account) = self.accounts.get_mut(&grant.account) else { return };
        account.work -= grant.work;
        account.requests -= 1;
        self.total -= grant.work;
        if account.requests == 0 {
            self.weights -= account.weight;
            self.accounts.remove(&grant.account);
        }
    }

    /// Returns the work in progress of an account, in prompt tokens.
    pub fn work(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |account| account.work)
    }

    /// Returns the number of accounts with work in progress.
    pub fn accounts(&self) -> usize {
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

fn refuse(reason: RefusalReason, span: Duration) -> RequestRefusal {
    let span = span.clamp(LEAST_RETRY, LONGEST_RETRY);
    RequestRefusal::not_executed(reason).retry_after(span)
}
