//! Limits of accounts that hold over all daemons of a failure domain, without
//! a message for each request.
//!
//! Half of an account's limit is split evenly between the daemons that a
//! daemon knows of, and each may always use its part. The other half is the
//! pool: the account's home daemon, found by rendezvous hashing, lends shares
//! of it to the daemons that see the account's traffic, each for a short term.
//!
//! A term counts from the asking at the borrower and from the granting at the
//! home, which is later; so a grant that is lost, late or doubled ends at the
//! borrower before the home lends it again, and clocks needn't agree. A home
//! lends only the part of the pool that its live daemons stand for, and nothing
//! new for one term after its view of them has changed, until what an earlier
//! home has lent is over.
//!
//! While all agree on who is live, the shares never add up to more than the
//! limit. While views differ, each further daemon that takes itself for the
//! home may lend the pool once more, until its view is corrected and a term
//! has passed.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::{
    bucket::TokenBucket,
    refusal::{RefusalReason, RequestRefusal},
    rendezvous,
    time::Timestamp,
};

/// The whole limit, in the unit of shares.
pub const FULL_SHARE_PPM: u32 = 1_000_000;
/// Part of the limit that homes lend; the rest is split evenly.
pub const POOL_SHARE_PPM: u32 = 500_000;
/// Time for which a home lends a share.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Longest time between two looks of a home at its view. It is shorter than a
/// term, so that no other home has lent anything in a pause that goes unseen.
pub const MAX_OBSERVE_GAP: Duration = Duration::from_secs(2);
/// Time of its rate that a daemon may save up.
pub const LIMIT_BURST: Duration = Duration::from_secs(2);
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(60);
/// Time over which the demand of an account is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// What is asked for above the measured demand.
const DEMAND_MARGIN: f64 = 1.25;
/// Time after its last request for which an account is remembered.
const ACCOUNT_MEMORY: Duration = Duration::from_secs(30);

/// Holds what a daemon knows of the daemons of its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainView {
    /// Daemons that were heard lately, with this one.
    pub live: Vec<SmolStr>,
    /// Daemons that there may be: a silent one may go on.
    pub known_count: u32,
}

impl DomainView {
    /// Returns the home daemon of an account.
    pub fn coordinator(&self, account: &str) -> Option<&SmolStr> {
        rendezvous::choose(&self.live, account)
    }

    /// Returns the share that each daemon may always use.
    pub fn base_share(&self) -> u32 {
        match self.known_count {
            0 | 1 => FULL_SHARE_PPM,
            known => (FULL_SHARE_PPM - POOL_SHARE_PPM) / known,
        }
    }

    /// Returns the part of the pool that the live daemons stand for.
    fn pool(&self) -> u32 {
        let live = self.live.len() as u64;
        let pool = u64::from(POOL_SHARE_PPM) * live / u64::from(self.known_count.max(1));
        pool.min(u64::from(POOL_SHARE_PPM)) as u32
    }
}

/// Lends shares of the accounts whose home this daemon is.
#[derive(Clone, Debug, Default)]
pub struct LimitCoordinator {
    view: DomainView,
    /// Time of the last look at the view.
    observed_at: Timestamp,
    /// Time before which nothing new is lent.
    quiet_until: Timestamp,
    loans: HashMap<SmolStr, Vec<ShareLoan>>,
}

#[derive(Clone, Debug)]
struct ShareLoan {
    daemon: SmolStr,
    share: u32,
    wanted: u32,
    until: Timestamp,
}

impl LimitCoordinator {
    /// Notes what this daemon knows of its failure domain.
    ///
    /// This has to be called all the time: a gap shows that the process was
    /// paused, and another home may have lent meanwhile.
    pub fn observe(&mut self, view: DomainView, now: Timestamp) {
        if self.view != view || self.was_paused(now) {
            self.view = view;
            self.quiet_until = now + GRANT_DURATION;
        }
        self.observed_at = now;
    }

    fn was_paused(&self, now: Timestamp) -> bool {
        now.since(self.observed_at) > MAX_OBSERVE_GAP
    }

    /// Lends a share of an account's limit, which may be none.
    pub fn grant_share(
        &mut self,
        account: &SmolStr,
        daemon: &str,
        wanted: u32,
        now: Timestamp,
    ) -> u32 {
        let was_paused = self.was_paused(now);
        let loans = self.loans.entry(account.clone()).or_default();
        loans.retain(|loan| loan.until > now);
        let pool = self.view.pool();
        let others = || loans.iter().filter(|loan| loan.daemon != daemon);
        let lent = reserved(others());
        let wanted_by_others: u32 = wishes(others());
        let askers = count_daemons(others()) + 1;
        let fair = (pool / askers).max(pool.saturating_sub(wanted_by_others));
        let mut share = wanted.min(fair).min(pool.saturating_sub(lent));
        if now < self.quiet_until || was_paused {
            share = share.min(reserved(loans.iter().filter(|loan| loan.daemon == daemon)));
        }
        let daemon = SmolStr::new(daemon);
        loans.push(ShareLoan { daemon, share, wanted, until: now + GRANT_DURATION });
        share
    }

    /// Forgets accounts of which nothing is lent.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.loans.retain(|_, loans| {
            loans.retain(|loan| loan.until > now);
            !loans.is_empty()
        });
    }
}

/// Sums what may be in use: for each daemon the largest of its loans, since an
/// answer may be lost and the borrower go on with an earlier one.
fn reserved<'a>(loans: impl Iterator<Item = &'a ShareLoan>) -> u32 {
    largest(loans, |loan| loan.share)
}

/// Sums what the daemons have asked for.
fn wishes<'a>(loans: impl Iterator<Item = &'a ShareLoan>) -> u32 {
    largest(loans, |loan| loan.wanted)
}

fn largest<'a>(
    loans: impl Iterator<Item = &'a ShareLoan>,
    amount: impl Fn(&ShareLoan) -> u32,
) -> u32 {
    let mut by_daemon: HashMap<&SmolStr, u32> = HashMap::new();
    for loan in loans {
        let known = by_daemon.entry(&loan.daemon).or_default();
        *known = (*known).max(amount(loan));
    }
    by_daemon.values().fold(0, |sum, amount| sum.saturating_add(*amount))
}

fn count_daemons<'a>(loans: impl Iterator<Item = &'a ShareLoan>) -> u32 {
    let mut daemons: Vec<&SmolStr> = loans.map(|loan| &loan.daemon).collect();
    daemons.sort_unstable();
    daemons.dedup();
    daemons.len() as u32
}

/// States the limit of an account in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimit {
    pub requests_per_second: f64,
    pub tokens_per_second: f64,
}

impl AccountLimit {
    /// Returns the part of a limit that one of several failure domains has.
    pub fn per_domain(self, domains: usize) -> Self {
        let domains = domains.max(1) as f64;
        Self {
            requests_per_second: self.requests_per_second / domains,
            tokens_per_second: self.tokens_per_second / domains,
        }
    }
}

/// Keeps the accounts that this daemon sees to their shares.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    base: u32,
    accounts: HashMap<SmolStr, AccountLimiter>,
}

#[derive(Clone, Debug)]
struct AccountLimiter {
    limit: AccountLimit,
    requests: TokenBucket,
    tokens: TokenBucket,
    base: u32,
    grant: Option<ShareGrant>,
    demand: AccountDemand,
}

/// Holds the share that is borrowed now.
#[derive(Clone, Copy, Debug)]
struct ShareGrant {
    share: u32,
    asked_at: Timestamp,
}

/// Measures what an account asks for, refused requests included.
#[derive(Clone, Copy, Debug)]
struct AccountDemand {
    window_start: Timestamp,
    requests: f64,
    tokens: f64,
    /// Demand of the last whole window, as a share of the limit.
    measured: f64,
    asked_at: Timestamp,
}

impl LimitTable {
    /// Sets the share that this daemon may always use.
    pub fn set_base_share(&mut self, base: u32) {
        self.base = base;
    }

    /// Takes a request out of its account's share, or refuses it.
    ///
    /// A request is let in while neither bucket is in debt, however large it
    /// is, and its tokens are paid for after that.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the time to come back.
    pub fn acquire(
        &mut self,
        account: &SmolStr,
        limit: AccountLimit,
        tokens: u32,
        now: Timestamp,
    ) -> Result<(), RequestRefusal> {
        let base = self.base;
        let limiter = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountLimiter::new(limit, base, now));
        limiter.update(limit, base, now);
        limiter.demand.note(limit, tokens, now);
        limiter.take(tokens, now)
    }

    /// Lists what the active accounts want beyond this daemon's own part.
    pub fn wanted_shares(&mut self, now: Timestamp) -> Vec<(SmolStr, u32)> {
        let base = self.base;
        self.accounts.retain(|_, limiter| now.since(limiter.demand.asked_at) < ACCOUNT_MEMORY);
        let mut wishes = Vec::new();
        for (account, limiter) in &mut self.accounts {
            limiter.demand.roll(limiter.limit, now);
            let wanted = limiter.demand.measured * DEMAND_MARGIN * f64::from(FULL_SHARE_PPM);
            let wanted = (wanted as u32).saturating_sub(base);
            if wanted > 0 {
                wishes.push((account.clone(), wanted.min(POOL_SHARE_PPM)));
            }
        }
        wishes
    }

    /// Notes a share that was lent in answer to an asking of `asked_at`.
    ///
    /// One that is over, or older than the present one, changes nothing.
    pub fn apply_grant(&mut self, account: &str, share: u32, asked_at: Timestamp, now: Timestamp) {
        let Some(limiter) = self.accounts.get_mut(account) else { return };
        limiter.settle(now);
        let newer = limiter.grant.is_none_or(|grant| grant.asked_at < asked_at);
        if newer && now < asked_at + GRANT_DURATION {
            limiter.grant = Some(ShareGrant { share, asked_at });
            limiter.set_rates(now);
        }
    }

    /// Returns the share of an account's limit that this daemon may use now.
    pub fn share(&mut self, account: &str, now: Timestamp) -> u32 {
        let Some(limiter) = self.accounts.get_mut(account) else { return self.base };
        limiter.settle(now);
        limiter.share()
    }
}

impl AccountLimiter {
    fn new(limit: AccountLimit, base: u32, now: Timestamp) -> Self {
        let part = f64::from(base) / f64::from(FULL_SHARE_PPM);
        Self {
            limit,
            requests: TokenBucket::full(limit.requests_per_second * part, LIMIT_BURST, now),
            tokens: TokenBucket::full(limit.tokens_per_second * part, LIMIT_BURST, now),
            base,
            grant: None,
            demand: AccountDemand {
                window_start: now,
                requests: 0.0,
                tokens: 0.0,
                measured: 0.0,
                asked_at: now,
            },
        }
    }

    fn update(&mut self, limit: AccountLimit, base: u32, now: Timestamp) {
        self.settle(now);
        if self.limit != limit || self.base != base {
            self.limit = limit;
            self.base = base;
            self.set_rates(now);
        }
    }

    /// Ends a grant whose term is over, from the time at which it was.
    fn settle(&mut self, now: Timestamp) {
        let over = self.grant.map(|grant| grant.asked_at + GRANT_DURATION);
        if let Some(over) = over.filter(|over| *over <= now) {
            self.grant = None;
            self.set_rates(over);
        }
    }

    fn share(&self) -> u32 {
        self.base + self.grant.map_or(0, |grant| grant.share)
    }

    fn set_rates(&mut self, at: Timestamp) {
        let part = f64::from(self.share()) / f64::from(FULL_SHARE_PPM);
        self.requests.set_rate(self.limit.requests_per_second * part, at);
        self.tokens.set_rate(self.limit.tokens_per_second * part, at);
    }

    fn take(&mut self, tokens: u32, now: Timestamp) -> Result<(), RequestRefusal> {
        let wait =
            self.requests.time_until_available(now).max(self.tokens.time_until_available(now));
        if !wait.is_zero() {
            let refusal = RequestRefusal::not_executed(RefusalReason::LimitReached);
            return Err(refusal.retry_after(wait.min(LONGEST_RETRY)));
        }
        self.requests.charge(1.0, now);
        self.tokens.charge(f64::from(tokens), now);
        Ok(())
    }
}

impl AccountDemand {
    fn note(&mut self, limit: AccountLimit, tokens: u32, now: Timestamp) {
        self.roll(limit, now);
        self.requests += 1.0;
        self.tokens += f64::from(tokens);
        self.asked_at = now;
    }

    /// Closes the window if its time is over.
    fn roll(&mut self, limit: AccountLimit, now: Timestamp) {
        let span = now.since(self.window_start);
        if span < DEMAND_WINDOW {
            return;
        }
        let seconds = span.as_secs_f64();
        let requests = self.requests / seconds / limit.requests_per_second.max(f64::EPSILON);
        let tokens = self.tokens / seconds / limit.tokens_per_second.max(f64::EPSILON);
        self.measured = requests.max(tokens);
        self.window_start = now;
        (self.requests, self.tokens) = (0.0, 0.0);
    }
}
