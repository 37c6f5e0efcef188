//! Fair shares of client accounts while a service is contended.
//!
//! Handles bursts of few accounts beside the steady requests of many, over all daemons. The measure
//! is the work of the last seconds: each daemon counts what its callers ask for and what is sent,
//! and daemons tell each other their largest accounts. From these sums follows a max-min fair
//! share: accounts that ask for less than it get all they ask for, and what they leave is divided
//! evenly among the others. While the service is contended, the standing of an account and the
//! priority of the request limit the queue behind which the request is still sent. Large accounts
//! are refused at shorter queues, so there is room for the others, and no capacity is left unused.
//! A service that isn't contended treats all accounts alike.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use xxhash_rust::xxh3;

use crate::time::Timestamp;

/// Time constant of the exponential decay of counted work. Shorter ones make standings follow
/// single requests, longer ones let a burst run for seconds before it is limited.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Work of a request in addition to that of its prompt, in tokens.
const REQUEST_WORK: f64 = 200.0;
/// Time after a refusal for which a service counts as contended. It spans the time between two
/// updates of another daemon.
const CONTENTION_DURATION: Duration = Duration::from_secs(3);
/// Time after the last contention for which counts are sent to the other daemons.
const REPORT_DURATION: Duration = Duration::from_secs(10);
/// Time for which the counts of a silent daemon are used while others are heard: two lost updates.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a daemon that hears no other one uses the last counts it was told.
pub const LAST_SHARES_DURATION: Duration = Duration::from_secs(20);
/// Largest number of accounts in the updates that a daemon sends at once, for all services together.
pub const ROW_LIMIT: usize = 16;
/// Largest number of services in these updates.
const REPORTED_SERVICE_LIMIT: usize = 4;
/// The same limits for a relay, which sends to up to 46 daemons at the target size: 6 KB/s allow
/// 260 bytes for each each 2 s.
const RELAY_ROW_LIMIT: usize = 10;
const RELAY_SERVICE_LIMIT: usize = 2;
/// Largest number of accounts of a service. Further ones are counted as one account.
const ACCOUNT_LIMIT: usize = 32_768;
/// Largest number of services for which counts of other daemons are kept.
const SERVICE_LIMIT: usize = 256;
/// Largest number of other daemons whose counts are kept for one service.
const DAEMON_LIMIT: usize = 1024;
/// Work, in tokens, below which an account no longer counts as active.
const IDLE_WORK: f64 = 1.0;
/// Shortest time between two calculations of the fair share, and its increase for each account.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
const REFRESH_INTERVAL_PER_ACCOUNT: Duration = Duration::from_micros(50);
/// Part of the served share of all requests below which an account is starved. The requirement is a
/// quarter; the rest is a margin for the time in which it is noticed.
const STARVED_PART: f64 = 0.35;
/// Requests from which the served share of an account at this daemon is representative although it
/// gets more elsewhere.
const STARVED_SAMPLE: f64 = 3.0;
/// Part of the sent work that may be late requests of starved accounts. It bounds the delay of the
/// others if very many small accounts are active.
const LATE_PART: f64 = 0.1;
/// Part of the work asked for from which a group of requests is considered.
const RELEVANT_PART: f64 = 0.02;
/// Usage, relative to the fair share, up to which an account is below its share, and from which it
/// is above it.
const FAIR_USAGE: (f64, f64) = (0.8, 1.1);
/// Usage, relative to the fair share, from which an account has the lowest wait share.
const HIGHEST_USAGE: f64 = 2.0;
/// Wait share at the fair share while other accounts ask for less than theirs.
const FAIR_WAIT_SHARE: f64 = 0.6;
/// Lowest wait share. Engines have little work left when such requests are sent.
const LOWEST_WAIT_SHARE: f64 = 0.2;

/// Hash of an account and a service. Requests without an account count as one account of their
/// route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountHash(pub u64);

impl AccountHash {
    /// Account of all requests that don't fit into the table.
    const OVERFLOW: Self = Self(0);

    /// Returns the hash of an account by its name.
    pub fn of_account(service: ServiceHash, name: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(name.as_bytes(), service.0))
    }

    /// Returns the hash of the requests of a route that have no account.
    pub fn of_route(service: ServiceHash, name: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(name.as_bytes(), !service.0))
    }
}

/// Hash of the name of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceHash(pub u64);

impl ServiceHash {
    /// Returns the hash of a service by its name.
    pub fn of_service(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Usage of an account relative to its fair share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum AccountStanding {
    /// Far fewer of its requests are sent than of all.
    Starved,
    Below,
    Fair,
    Above,
}

impl AccountStanding {
    /// Returns the part of the time in which capacity becomes free, from 0 to 1, in which refused
    /// callers of this standing return. `is_small` states whether the account asks for no more than
    /// its fair share. If all accounts ask for more, their returns need the whole time.
    fn return_part(self, is_small: bool) -> (f64, f64) {
        match self {
            Self::Starved | Self::Below if is_small => (0.0, 0.5),
            Self::Starved | Self::Below => (0.0, 1.0),
            Self::Fair => (0.25, 1.0),
            Self::Above => (0.5, 1.0),
        }
    }
}

/// A request whose standing is assessed.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest {
    pub service: ServiceHash,
    pub account: AccountHash,
    /// Scheduling priority; 0 is the most urgent.
    pub priority: u8,
    /// Prompt tokens to compute.
    pub prefill_tokens: u32,
    /// Hash of the request's id.
    pub request_hash: u64,
    /// Whether this is the first attempt of the request at this daemon.
    pub is_first: bool,
}

impl ShareRequest {
    fn work(&self) -> f64 {
        f64::from(self.prefill_tokens) + REQUEST_WORK
    }
}

/// What the admission of a request to a contended service depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContendedRequest {
    pub standing: AccountStanding,
    /// Part of the objective, from 0 to 1, that the request may wait in the queue.
    pub wait_share: f64,
    /// Whether the request is sent although its first event will be late.
    pub may_be_late: bool,
    /// Time that the service needs for the work that it has refused lately, in milliseconds.
    pub refused_ms: f64,
    /// Point in the time in which capacity becomes free, from 0 to 1, at which the caller returns if
    /// it is refused.
    pub return_position: f64,
    /// Work of the account in the last seconds, at all daemons, in tokens.
    pub usage: f64,
    /// Fair share of an account that asks for more than it, in tokens.
    pub fair_share: f64,
    /// Age of the oldest counts of other daemons that are used, or none if there are none.
    pub told_age: Option<Duration>,
}

/// Which daemons the counts of an update are the sums of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum WorkScope {
    /// The daemon that sends them.
    Daemon = 0,
    /// The daemons of the failure domain for which the sender is a relay.
    Domain = 1,
    /// All daemons, also the receiver.
    Fleet = 2,
}

/// Work of one account at one or several daemons, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountRow {
    pub account: AccountHash,
    pub served: f64,
    pub offered: f64,
}

/// Counts of a service that daemons tell each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkReport {
    /// The accounts that ask for the most work.
    pub rows: Vec<AccountRow>,
    /// Work of all other accounts, in tokens.
    pub rest_served: f64,
    pub rest_offered: f64,
    /// Number of the other accounts.
    pub rest_accounts: u32,
    /// Time since a request was refused, if one was refused lately.
    pub contention_age: Option<Duration>,
}

/// Work of the last seconds, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct WorkCount {
    /// Work that was sent to servers, in tokens.
    served: f64,
    /// Work that was asked for, in tokens.
    offered: f64,
    served_requests: f64,
    offered_requests: f64,
    updated_at: Timestamp,
}

impl WorkCount {
    fn at(&self, now: Timestamp) -> Self {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        Self {
            served: self.served * factor,
            offered: self.offered * factor,
            served_requests: self.served_requests * factor,
            offered_requests: self.offered_requests * factor,
            updated_at: now.max(self.updated_at),
        }
    }

    fn record_offered(&mut self, work: f64, now: Timestamp) {
        *self = self.at(now);
        self.offered += work;
        self.offered_requests += 1.0;
    }

    fn record_served(&mut self, work: f64, now: Timestamp) {
        *self = self.at(now);
        self.served += work;
        self.served_requests += 1.0;
    }

    /// Returns the part of the requests that was sent.
    fn served_part(&self) -> f64 {
        self.served_requests / self.offered_requests.max(f64::EPSILON)
    }

    fn is_idle(&self) -> bool {
        self.offered.max(self.served) < IDLE_WORK
    }
}

/// Counts of another daemon.
#[derive(Clone, Debug)]
struct ToldWork {
    report: WorkReport,
    scope: WorkScope,
    told_at: Timestamp,
}

/// Sums of served and offered work, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct WorkSums {
    served: f64,
    offered: f64,
}

impl WorkSums {
    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.offered += other.offered;
    }

    fn max(self, other: Self) -> Self {
        Self { served: self.served.max(other.served), offered: self.offered.max(other.offered) }
    }
}

/// Work that other daemons tell of one account: the sum of daemons and failure domains, and the
/// sum that a relay makes of all daemons, this one included.
#[derive(Clone, Copy, Debug, Default)]
struct ToldSums {
    parts: WorkSums,
    fleet: WorkSums,
}

impl ToldSums {
    fn record(&mut self, scope: WorkScope, sums: WorkSums) {
        match scope {
            WorkScope::Daemon | WorkScope::Domain => self.parts.add(sums),
            WorkScope::Fleet => self.fleet = self.fleet.max(sums),
        }
    }

    /// Returns the sum over all daemons, given that of this one.
    fn with_own(self, own: WorkSums) -> WorkSums {
        let mut sums = self.parts;
        sums.add(own);
        sums.max(self.fleet)
    }
}

/// The fair share and what it was calculated from.
#[derive(Clone, Debug, Default)]
struct ShareView {
    calculated_at: Option<Timestamp>,
    fair_share: f64,
    /// Whether accounts that ask for less than the fair share need room.
    has_small_accounts: bool,
    told: HashMap<AccountHash, ToldSums>,
    /// Time of the oldest counts that are used.
    told_at: Option<Timestamp>,
}

/// Counts of one service.
#[derive(Clone, Debug, Default)]
struct ServiceShares {
    accounts: HashMap<AccountHash, WorkCount>,
    total: WorkCount,
    priorities: BTreeMap<u8, WorkCount>,
    /// Late requests of starved accounts.
    late: WorkCount,
    /// Time of this daemon's last refusal.
    refused_at: Option<Timestamp>,
    /// Time of the last refusal of another daemon.
    peer_refused_at: Option<Timestamp>,
    /// Counts of other daemons, by the hash of their name and incarnation.
    told: HashMap<u64, ToldWork>,
    view: ShareView,
}

/// Shares of the accounts of all services, as known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    services: HashMap<ServiceHash, ServiceShares>,
}

impl ShareTable {
    /// Counts a request and returns its standing, or none while its service isn't contended.
    pub fn assess(&mut self, request: &ShareRequest, now: Timestamp) -> Option<ContendedRequest> {
        let shares = self.services.entry(request.service).or_default();
        if request.is_first {
            shares.record_offered(request, now);
        }
        if !shares.is_contended(CONTENTION_DURATION, now) {
            return None;
        }
        shares.refresh(now);
        Some(shares.contended_request(request, now))
    }

    /// Counts a request that is sent. `is_late` states whether its first event is expected late
    /// behind a queue.
    pub fn record_send(&mut self, request: &ShareRequest, is_late: bool, now: Timestamp) {
        let shares = self.services.entry(request.service).or_default();
        let work = request.work();
        shares.account_mut(request.account).record_served(work, now);
        shares.total.record_served(work, now);
        if is_late {
            shares.late.record_served(work, now);
        }
    }

    /// Records that a request was refused because of the queue, so its service is contended.
    pub fn record_refusal(&mut self, request: &ShareRequest, now: Timestamp) {
        self.services.entry(request.service).or_default().refused_at = Some(now);
    }

    /// Returns whether a service is contended here or, as far as this daemon was told, elsewhere.
    pub fn is_contended(&self, service: ServiceHash, now: Timestamp) -> bool {
        self.services
            .get(&service)
            .is_some_and(|shares| shares.is_contended(CONTENTION_DURATION, now))
    }

    /// Returns the number of accounts of a service that this daemon counts.
    pub fn account_count(&self, service: ServiceHash) -> usize {
        self.services.get(&service).map_or(0, |shares| shares.accounts.len())
    }

    /// Returns the counts for the other daemons, of the services that were contended lately.
    pub fn reports(&self, scope: WorkScope, now: Timestamp) -> Vec<(ServiceHash, WorkReport)> {
        let contended = self.services.iter();
        let mut contended: Vec<_> =
            contended.filter(|(_, shares)| shares.is_contended(REPORT_DURATION, now)).collect();
        contended.sort_by(|one, other| other.1.total.offered.total_cmp(&one.1.total.offered));
        let (services, rows) = match scope {
            WorkScope::Daemon => (REPORTED_SERVICE_LIMIT, ROW_LIMIT),
            WorkScope::Domain | WorkScope::Fleet => (RELAY_SERVICE_LIMIT, RELAY_ROW_LIMIT),
        };
        contended.truncate(services);
        let rows = rows / contended.len().max(1);
        let report = |(service, shares): (&ServiceHash, &ServiceShares)| {
            (*service, shares.report(scope, rows, now))
        };
        contended.into_iter().map(report).collect()
    }

    /// Records the counts of another daemon.
    pub fn record_report(
        &mut self,
        daemon: u64,
        service: ServiceHash,
        scope: WorkScope,
        mut report: WorkReport,
        now: Timestamp,
    ) {
        if self.services.len() >= SERVICE_LIMIT && !self.services.contains_key(&service) {
            return;
        }
        report.rows.truncate(ROW_LIMIT);
        let shares = self.services.entry(service).or_default();
        if let Some(age) = report.contention_age {
            shares.peer_refused_at = shares.peer_refused_at.max(Some(now - age));
        }
        if shares.told.len() < DAEMON_LIMIT || shares.told.contains_key(&daemon) {
            shares.told.insert(daemon, ToldWork { report, scope, told_at: now });
        }
    }

    /// Removes idle accounts and counts of daemons that have been silent for too long.
    pub fn remove_expired(&mut self, now: Timestamp) {
        for shares in self.services.values_mut() {
            shares.remove_expired(now);
        }
        self.services.retain(|_, shares| !shares.accounts.is_empty() || !shares.told.is_empty());
    }
}

impl ServiceShares {
    fn is_contended(&self, duration: Duration, now: Timestamp) -> bool {
        let refused_at = self.refused_at.max(self.peer_refused_at);
        refused_at.is_some_and(|at| now.since(at) < duration)
    }

    fn account_mut(&mut self, account: AccountHash) -> &mut WorkCount {
        let has_room = self.accounts.len() < ACCOUNT_LIMIT || self.accounts.contains_key(&account);
        let account = if has_room { account } else { AccountHash::OVERFLOW };
        self.accounts.entry(account).or_default()
    }

    fn record_offered(&mut self, request: &ShareRequest, now: Timestamp) {
        let work = request.work();
        self.account_mut(request.account).record_offered(work, now);
        self.priorities.entry(request.priority).or_default().record_offered(work, now);
        self.total.record_offered(work, now);
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.accounts.retain(|_, count| !count.at(now).is_idle());
        self.priorities.retain(|_, count| !count.at(now).is_idle());
        self.told.retain(|_, told| now.since(told.told_at) < LAST_SHARES_DURATION);
    }

    fn own_sums(&self, account: AccountHash, now: Timestamp) -> WorkSums {
        let own = self.accounts.get(&account).copied().unwrap_or_default().at(now);
        WorkSums { served: own.served, offered: own.offered }
    }

    /// Returns the counts of other daemons that are used: those heard lately, or the last known ones
    /// if no daemon was heard lately.
    fn used_reports(&self, now: Timestamp) -> impl Iterator<Item = &ToldWork> {
        let heard_at = self.told.values().map(|told| told.told_at).max();
        let is_cut = heard_at.is_some_and(|at| now.since(at) >= SILENCE_LIMIT);
        let limit = if is_cut { LAST_SHARES_DURATION } else { SILENCE_LIMIT };
        self.told.values().filter(move |told| now.since(told.told_at) < limit)
    }

    /// Returns the own accounts with their work, and those that ask for the most first, up to a
    /// number of them.
    fn sorted_accounts(&self, count: usize, now: Timestamp) -> Vec<AccountRow> {
        let rows = self.accounts.iter().map(|(account, work)| {
            let work = work.at(now);
            AccountRow { account: *account, served: work.served, offered: work.offered }
        });
        let mut rows: Vec<_> = rows.collect();
        sort_largest(&mut rows, count);
        rows
    }

    /// Calculates the fair share again if it is out of date.
    fn refresh(&mut self, now: Timestamp) {
        let interval = REFRESH_INTERVAL + REFRESH_INTERVAL_PER_ACCOUNT * self.accounts.len() as u32;
        if self.view.calculated_at.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        let mut told: HashMap<AccountHash, ToldSums> = HashMap::new();
        let mut rest = ToldSums::default();
        let mut rest_accounts = 0;
        let mut told_at: Option<Timestamp> = None;
        for used in self.used_reports(now) {
            let report = &used.report;
            for row in &report.rows {
                let sums = WorkSums { served: row.served, offered: row.offered };
                told.entry(row.account).or_default().record(used.scope, sums);
            }
            let sums = WorkSums { served: report.rest_served, offered: report.rest_offered };
            rest.record(used.scope, sums);
            rest_accounts = rest_accounts.max(report.rest_accounts);
            told_at = Some(told_at.map_or(used.told_at, |at| at.min(used.told_at)));
        }
        let own = self.sorted_accounts(ROW_LIMIT, now);
        // Accounts that no daemon names count with their average. Most of them are at many daemons,
        // so the largest number of them that a daemon has is closer to their number than the sum.
        let mut own_rest = WorkSums::default();
        let mut own_rest_accounts = 0;
        let mut named: HashMap<AccountHash, WorkSums> = told
            .iter()
            .map(|(account, sums)| (*account, sums.with_own(WorkSums::default())))
            .collect();
        for (index, row) in own.iter().enumerate() {
            let sums = WorkSums { served: row.served, offered: row.offered };
            match told.get(&row.account) {
                Some(told) => {
                    named.insert(row.account, told.with_own(sums));
                }
                None if index < ROW_LIMIT || rest_accounts == 0 => {
                    named.insert(row.account, sums);
                }
                None => {
                    own_rest.add(sums);
                    own_rest_accounts += 1;
                }
            }
        }
        let rest = rest.with_own(own_rest);
        let rest_accounts = rest_accounts.max(own_rest_accounts);
        let mut demands: Vec<DemandGroup> = named
            .values()
            .map(|sums| DemandGroup { demand: sums.offered.max(sums.served), accounts: 1 })
            .collect();
        if rest_accounts > 0 {
            let demand = rest.offered.max(rest.served) / f64::from(rest_accounts);
            demands.push(DemandGroup { demand, accounts: rest_accounts });
        }
        let capacity = rest.served + named.values().map(|sums| sums.served).sum::<f64>();
        let fair_share = fair_share(&mut demands, capacity);
        let work = |group: &DemandGroup| group.demand * f64::from(group.accounts);
        let offered: f64 = demands.iter().map(work).sum();
        let small = demands.iter().filter(|group| group.demand <= fair_share).map(work);
        let has_small_accounts = small.sum::<f64>() > offered * RELEVANT_PART;
        self.view =
            ShareView { calculated_at: Some(now), fair_share, has_small_accounts, told, told_at };
    }

    fn contended_request(&self, request: &ShareRequest, now: Timestamp) -> ContendedRequest {
        let own = self.accounts.get(&request.account).copied().unwrap_or_default().at(now);
        let total = self.total.at(now);
        let told = self.view.told.get(&request.account).copied().unwrap_or_default();
        let sums = told.with_own(self.own_sums(request.account, now));
        // An account may exceed its share by one request: work can't be divided further.
        let request_work = (total.served / total.served_requests.max(1.0)).max(REQUEST_WORK);
        let usage = (sums.served - request_work).max(0.0) / self.view.fair_share.max(1.0);
        let position = request.request_hash as f64 / u64::MAX as f64;
        // Most daemons see too few requests of a small account to tell whether it is starved. Among
        // those with less urgent requests only a part is sent, so that the order of urgency holds.
        let (more_urgent, _) = self.other_priorities(request.priority, now);
        let is_tried =
            more_urgent == 0 || own.offered_requests >= STARVED_SAMPLE || position < STARVED_PART;
        let is_starved = is_tried
            && own.served_part() < total.served_part() * STARVED_PART
            && (usage < FAIR_USAGE.0 || own.offered_requests >= STARVED_SAMPLE);
        let is_small = sums.offered <= self.view.fair_share;
        let standing = if is_starved {
            AccountStanding::Starved
        } else if is_small || usage < FAIR_USAGE.0 {
            AccountStanding::Below
        } else if usage <= FAIR_USAGE.1 {
            AccountStanding::Fair
        } else {
            AccountStanding::Above
        };
        let late = self.late.at(now);
        let may_be_late = is_starved && late.served <= total.served * LATE_PART;
        let wait_share = match standing {
            AccountStanding::Starved => 1.0,
            AccountStanding::Below | AccountStanding::Fair | AccountStanding::Above => {
                self.urgency_band(request.priority, self.usage_wait_share(standing, usage), now)
            }
        };
        let refused_ms = (total.offered - total.served).max(0.0) / total.served.max(1.0)
            * DECAY_TIME.as_secs_f64()
            * 1000.0;
        let (earliest, latest) = standing.return_part(is_small);
        ContendedRequest {
            standing,
            wait_share,
            may_be_late,
            refused_ms,
            return_position: earliest + (latest - earliest) * position,
            usage: sums.served,
            fair_share: self.view.fair_share,
            told_age: self.view.told_at.map(|at| now.since(at)),
        }
    }

    /// Returns the wait share by an account's usage, without its priority.
    fn usage_wait_share(&self, standing: AccountStanding, usage: f64) -> f64 {
        let fair = if self.view.has_small_accounts { FAIR_WAIT_SHARE } else { 1.0 };
        match standing {
            AccountStanding::Starved | AccountStanding::Below => 1.0,
            AccountStanding::Fair => fair,
            AccountStanding::Above => {
                let excess = (usage - FAIR_USAGE.1) / (HIGHEST_USAGE - FAIR_USAGE.1);
                fair - (fair - LOWEST_WAIT_SHARE) * excess.clamp(0.0, 1.0)
            }
        }
    }

    /// Maps a wait share into the band of a priority, so that each request goes before all less
    /// urgent ones. Bands are of equal width, one for each priority with relevant work.
    fn urgency_band(&self, priority: u8, wait_share: f64, now: Timestamp) -> f64 {
        let (more_urgent, less_urgent) = self.other_priorities(priority, now);
        (f64::from(less_urgent) + wait_share) / f64::from(more_urgent + less_urgent + 1)
    }

    /// Returns how many more urgent and less urgent priorities have relevant work.
    fn other_priorities(&self, priority: u8, now: Timestamp) -> (u32, u32) {
        let relevant = self.total.at(now).offered * RELEVANT_PART;
        let is_relevant = |count: &WorkCount| count.at(now).offered > relevant;
        let relevant = self.priorities.iter().filter(|(_, count)| is_relevant(count));
        relevant.fold((0, 0), |(more, less), (other, _)| match other.cmp(&priority) {
            Ordering::Less => (more + 1, less),
            Ordering::Equal => (more, less),
            Ordering::Greater => (more, less + 1),
        })
    }

    fn report(&self, scope: WorkScope, limit: usize, now: Timestamp) -> WorkReport {
        let parts: Vec<&ToldWork> = match scope {
            WorkScope::Daemon => Vec::new(),
            WorkScope::Domain => {
                self.used_reports(now).filter(|told| told.scope == WorkScope::Daemon).collect()
            }
            WorkScope::Fleet => {
                self.used_reports(now).filter(|told| told.scope != WorkScope::Fleet).collect()
            }
        };
        let mut sums: HashMap<AccountHash, WorkSums> = HashMap::new();
        let own_rows = self.sorted_accounts(0, now);
        for row in own_rows.iter().chain(parts.iter().flat_map(|told| &told.report.rows)) {
            let work = WorkSums { served: row.served, offered: row.offered };
            sums.entry(row.account).or_default().add(work);
        }
        let row = |(account, sums): (AccountHash, WorkSums)| AccountRow {
            account,
            served: sums.served,
            offered: sums.offered,
        };
        let mut rows: Vec<_> = sums.into_iter().map(row).collect();
        sort_largest(&mut rows, limit);
        let rest = rows.split_off(limit.min(rows.len()));
        let reports = || parts.iter().map(|told| &told.report);
        let told_ages = parts
            .iter()
            .filter_map(|told| Some(told.report.contention_age? + now.since(told.told_at)));
        let own_age = self.refused_at.map(|at| now.since(at));
        WorkReport {
            rest_served: rest.iter().map(|row| row.served).sum::<f64>()
                + reports().map(|report| report.rest_served).sum::<f64>(),
            rest_offered: rest.iter().map(|row| row.offered).sum::<f64>()
                + reports().map(|report| report.rest_offered).sum::<f64>(),
            rest_accounts: reports()
                .map(|report| report.rest_accounts)
                .chain([rest.len() as u32])
                .max()
                .unwrap_or_default(),
            contention_age: told_ages.chain(own_age).min().filter(|age| *age < REPORT_DURATION),
            rows,
        }
    }
}

/// Accounts that ask for the same amount of work, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct DemandGroup {
    pub demand: f64,
    pub accounts: u32,
}

/// Returns the max-min fair share of an account: the level at which demands, each limited to it,
/// fill the capacity. It is infinite if the capacity exceeds all demands. Sorts the groups.
pub fn fair_share(groups: &mut [DemandGroup], capacity: f64) -> f64 {
    groups.sort_by(|one, other| one.demand.total_cmp(&other.demand));
    let mut accounts: f64 = groups.iter().map(|group| f64::from(group.accounts)).sum();
    let mut left = capacity;
    for group in groups {
        if group.demand * accounts > left {
            return left / accounts;
        }
        left -= group.demand * f64::from(group.accounts);
        accounts -= f64::from(group.accounts);
    }
    f64::INFINITY
}

/// Moves the `count` accounts that ask for the most to the front. Equal ones are ordered by their
/// hashes, so that the daemons of a fleet name the same ones.
fn sort_largest(rows: &mut [AccountRow], count: usize) {
    let by_demand = |one: &AccountRow, other: &AccountRow| {
        other.offered.total_cmp(&one.offered).then(one.account.cmp(&other.account))
    };
    if count > 0 && count < rows.len() {
        rows.select_nth_unstable_by(count - 1, by_demand);
    }
}
