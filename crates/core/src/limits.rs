//! Account limits that hold across all daemons of a failure domain, without a
//! message for each request.
//!
//! Half of an account's limit is divided evenly among the daemons that a daemon
//! knows, and each may always use its part. The other half is the pool. The
//! account's coordinator, a daemon chosen by rendezvous hashing, grants shares of
//! the pool for a short time to the daemons that receive the account's requests.
//!
//! The duration of a grant counts from the request at the requesting daemon and
//! from the grant at the coordinator, which is later. So a grant that is lost, late
//! or duplicated expires at the requesting daemon before the coordinator grants that
//! share again, and the clocks needn't agree. A coordinator grants only the part of the
//! pool that corresponds to its live daemons. For one grant duration after its view
//! of the domain has changed it grants nothing new, so that all grants of an earlier
//! coordinator have expired.
//!
//! While all daemons agree on which are live, the shares never add up to more than
//! the limit. While their views differ, each further daemon that considers itself
//! the coordinator may grant the whole pool once more, until its view is corrected
//! and one grant duration has passed.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

use crate::{
    bucket::TokenBucket,
    refusal::{RefusalReason, RequestRefusal},
    rendezvous,
    time::Timestamp,
};

/// The whole limit, in parts per million.
pub const FULL_SHARE_PPM: u32 = 1_000_000;
/// Part of the limit that coordinators grant, in parts per million; the rest is
/// divided evenly.
pub const POOL_SHARE_PPM: u32 = 500_000;
/// Time for which a coordinator grants a share.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Longest time between two calls of [`LimitCoordinator::observe`]. It is shorter
/// than the duration of a grant, so that no other coordinator can have granted
/// anything during an undetected pause of the process.
pub const MAX_OBSERVE_GAP: Duration = Duration::from_secs(2);
/// Burst that a token bucket of a limit may save up, as time at its rate.
pub const LIMIT_BURST: Duration = Duration::from_secs(2);
/// Longest retry-after time of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time over which the demand of an account is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Factor between the measured demand and the share that is requested.
const DEMAND_FACTOR: f64 = 1.25;
/// Time after its last request for which an account is kept.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Holds what a daemon knows about the daemons of its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainView {
    /// Live daemons by their recent heartbeats, including this one.
    pub live: Vec<SmolStr>,
    /// Number of daemons that may exist. An unresponsive daemon may still be running.
    pub known_count: u32,
}

impl DomainView {
    /// Returns the daemon that coordinates an account's limit.
    pub fn coordinator(&self, account: &str) -> Option<&SmolStr> {
        rendezvous::choose(&self.live, account)
    }

    /// Returns the share that each daemon may always use, in parts per million.
    pub fn base_share(&self) -> u32 {
        match self.known_count {
            0 | 1 => FULL_SHARE_PPM,
            known => (FULL_SHARE_PPM - POOL_SHARE_PPM) / known,
        }
    }

    /// Returns the part of the pool that corresponds to the live daemons.
    fn pool(&self) -> u32 {
        let live = self.live.len() as u64;
        let pool = u64::from(POOL_SHARE_PPM) * live / u64::from(self.known_count.max(1));
        pool.min(u64::from(POOL_SHARE_PPM)) as u32
    }
}

/// Grants shares for the accounts that this daemon coordinates.
#[derive(Clone, Debug, Default)]
pub struct LimitCoordinator {
    view: DomainView,
    /// Time of the last call of `observe`.
    observed_at: Timestamp,
    /// Time before which no new share is granted.
    no_grants_until: Timestamp,
    grants: HashMap<SmolStr, Vec<IssuedGrant>>,
}

#[derive(Clone, Debug)]
struct IssuedGrant {
    daemon: SmolStr,
    share: u32,
    wanted: u32,
    until: Timestamp,
}

impl LimitCoordinator {
    /// Records the current view of the failure domain.
    ///
    /// This has to be called at intervals below [`MAX_OBSERVE_GAP`]. A longer gap shows that
    /// the process was paused, and another coordinator may have granted shares meanwhile.
    pub fn observe(&mut self, view: DomainView, now: Timestamp) {
        if self.view != view || self.was_paused(now) {
            self.view = view;
            self.no_grants_until = now + GRANT_DURATION;
        }
        self.observed_at = now;
    }

    fn was_paused(&self, now: Timestamp) -> bool {
        now.since(self.observed_at) > MAX_OBSERVE_GAP
    }

    /// Grants a share of an account's limit, which may be zero.
    pub fn grant_share(
        &mut self,
        account: &SmolStr,
        daemon: &str,
        wanted: u32,
        now: Timestamp,
    ) -> u32 {
        let was_paused = self.was_paused(now);
        let grants = self.grants.entry(account.clone()).or_default();
        grants.retain(|grant| grant.until > now);
        let pool = self.view.pool();
        let others = || grants.iter().filter(|grant| grant.daemon != daemon);
        let granted = total_granted(others());
        let wanted_by_others: u32 = total_wanted(others());
        let requesters = count_daemons(others()) + 1;
        let fair_share = (pool / requesters).max(pool.saturating_sub(wanted_by_others));
        let mut share = wanted.min(fair_share).min(pool.saturating_sub(granted));
        if now < self.no_grants_until || was_paused {
            share = share.min(total_granted(grants.iter().filter(|grant| grant.daemon == daemon)));
        }
        let daemon = SmolStr::new(daemon);
        grants.push(IssuedGrant { daemon, share, wanted, until: now + GRANT_DURATION });
        share
    }

    /// Removes expired grants, and accounts without a grant.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.until > now);
            !grants.is_empty()
        });
    }
}

/// Sums the shares that may be in use. For each daemon the largest of its grants
/// counts, since a response may be lost and the daemon may keep using an earlier grant.
fn total_granted<'a>(grants: impl Iterator<Item = &'a IssuedGrant>) -> u32 {
    sum_largest_by_daemon(grants, |grant| grant.share)
}

/// Sums the shares that the daemons have requested.
fn total_wanted<'a>(grants: impl Iterator<Item = &'a IssuedGrant>) -> u32 {
    sum_largest_by_daemon(grants, |grant| grant.wanted)
}

fn sum_largest_by_daemon<'a>(
    grants: impl Iterator<Item = &'a IssuedGrant>,
    amount: impl Fn(&IssuedGrant) -> u32,
) -> u32 {
    let mut by_daemon: HashMap<&SmolStr, u32> = HashMap::new();
    for grant in grants {
        let largest = by_daemon.entry(&grant.daemon).or_default();
        *largest = (*largest).max(amount(grant));
    }
    by_daemon.values().fold(0, |sum, amount| sum.saturating_add(*amount))
}

fn count_daemons<'a>(grants: impl Iterator<Item = &'a IssuedGrant>) -> u32 {
    let mut daemons: Vec<&SmolStr> = grants.map(|grant| &grant.daemon).collect();
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
    /// Returns the limit in one of `domains` failure domains.
    pub fn per_domain(self, domains: usize) -> Self {
        let domains = domains.max(1) as f64;
        Self {
            requests_per_second: self.requests_per_second / domains,
            tokens_per_second: self.tokens_per_second / domains,
        }
    }
}

/// Enforces this daemon's share of the limit of each account.
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

/// Holds the granted share that is in use.
#[derive(Clone, Copy, Debug)]
struct ShareGrant {
    share: u32,
    requested_at: Timestamp,
}

/// Measures the demand of an account, including refused requests.
#[derive(Clone, Copy, Debug)]
struct AccountDemand {
    window_start: Timestamp,
    requests: f64,
    tokens: f64,
    /// Demand in the last complete window, as a fraction of the limit.
    measured: f64,
    last_request_at: Timestamp,
}

impl LimitTable {
    /// Sets the share that this daemon may always use, in parts per million.
    pub fn set_base_share(&mut self, base: u32) {
        self.base = base;
    }

    /// Charges a request to its account's share, or refuses it.
    ///
    /// A request of any size is admitted while the levels of both buckets are positive.
    /// Its tokens are charged after that, so a level may become negative.
    ///
    /// # Errors
    ///
    /// Returns the refusal with its retry-after time.
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
        limiter.demand.record(limit, tokens, now);
        limiter.acquire(tokens, now)
    }

    /// Lists the shares that active accounts need beyond this daemon's base share.
    pub fn wanted_shares(&mut self, now: Timestamp) -> Vec<(SmolStr, u32)> {
        let base = self.base;
        self.accounts
            .retain(|_, limiter| now.since(limiter.demand.last_request_at) < ACCOUNT_IDLE_TIMEOUT);
        let mut wanted_shares = Vec::new();
        for (account, limiter) in &mut self.accounts {
            limiter.demand.advance_window(limiter.limit, now);
            let wanted = limiter.demand.measured * DEMAND_FACTOR * f64::from(FULL_SHARE_PPM);
            let wanted = (wanted as u32).saturating_sub(base);
            if wanted > 0 {
                wanted_shares.push((account.clone(), wanted.min(POOL_SHARE_PPM)));
            }
        }
        wanted_shares
    }

    /// Applies a share that was granted in response to a request sent at `requested_at`.
    ///
    /// An expired grant, or one older than the current one, is ignored.
    pub fn apply_grant(
        &mut self,
        account: &str,
        share: u32,
        requested_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(limiter) = self.accounts.get_mut(account) else { return };
        limiter.expire_grant(now);
        let newer = limiter.grant.is_none_or(|grant| grant.requested_at < requested_at);
        if newer && now < requested_at + GRANT_DURATION {
            limiter.grant = Some(ShareGrant { share, requested_at });
            limiter.set_rates(now);
        }
    }

    /// Returns the share of an account's limit that this daemon may use now.
    pub fn share(&mut self, account: &str, now: Timestamp) -> u32 {
        let Some(limiter) = self.accounts.get_mut(account) else { return self.base };
        limiter.expire_grant(now);
        limiter.share()
    }
}

impl AccountLimiter {
    fn new(limit: AccountLimit, base: u32, now: Timestamp) -> Self {
        let fraction = f64::from(base) / f64::from(FULL_SHARE_PPM);
        Self {
            limit,
            requests: TokenBucket::full(limit.requests_per_second * fraction, LIMIT_BURST, now),
            tokens: TokenBucket::full(limit.tokens_per_second * fraction, LIMIT_BURST, now),
            base,
            grant: None,
            demand: AccountDemand {
                window_start: now,
                requests: 0.0,
                tokens: 0.0,
                measured: 0.0,
                last_request_at: now,
            },
        }
    }

    fn update(&mut self, limit: AccountLimit, base: u32, now: Timestamp) {
        self.expire_grant(now);
        if self.limit != limit || self.base != base {
            self.limit = limit;
            self.base = base;
            self.set_rates(now);
        }
    }

    /// Removes an expired grant, with the rates reduced from the time of its expiry.
    fn expire_grant(&mut self, now: Timestamp) {
        let expires_at = self.grant.map(|grant| grant.requested_at + GRANT_DURATION);
        if let Some(expires_at) = expires_at.filter(|expires_at| *expires_at <= now) {
            self.grant = None;
            self.set_rates(expires_at);
        }
    }

    fn share(&self) -> u32 {
        self.base + self.grant.map_or(0, |grant| grant.share)
    }

    fn set_rates(&mut self, at: Timestamp) {
        let fraction = f64::from(self.share()) / f64::from(FULL_SHARE_PPM);
        self.requests.set_rate(self.limit.requests_per_second * fraction, at);
        self.tokens.set_rate(self.limit.tokens_per_second * fraction, at);
    }

    fn acquire(&mut self, tokens: u32, now: Timestamp) -> Result<(), RequestRefusal> {
        let wait =
            self.requests.time_until_available(now).max(self.tokens.time_until_available(now));
        if !wait.is_zero() {
            let refusal = RequestRefusal::not_executed(RefusalReason::LimitReached);
            return Err(refusal.retry_after(wait.min(MAX_RETRY_AFTER)));
        }
        self.requests.charge(1.0, now);
        self.tokens.charge(f64::from(tokens), now);
        Ok(())
    }
}

impl AccountDemand {
    fn record(&mut self, limit: AccountLimit, tokens: u32, now: Timestamp) {
        self.advance_window(limit, now);
        self.requests += 1.0;
        self.tokens += f64::from(tokens);
        self.last_request_at = now;
    }

    /// Starts a new window if the current one is complete.
    fn advance_window(&mut self, limit: AccountLimit, now: Timestamp) {
        let duration = now.since(self.window_start);
        if duration < DEMAND_WINDOW {
            return;
        }
        let seconds = duration.as_secs_f64();
        let requests = self.requests / seconds / limit.requests_per_second.max(f64::EPSILON);
        let tokens = self.tokens / seconds / limit.tokens_per_second.max(f64::EPSILON);
        self.measured = requests.max(tokens);
        self.window_start = now;
        (self.requests, self.tokens) = (0.0, 0.0);
    }
}
