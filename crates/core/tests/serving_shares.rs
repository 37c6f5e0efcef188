//! Fair shares of client accounts, in a simulation of many daemons before one queue of engines.

use std::time::Duration;

use gooseberry_core::{
    arena::{Arena, EngineKey},
    serving::{
        admission::{self, AdmissionDecision, AdmissionRequest},
        placement::{Placement, PlacementPath},
        shares::{
            self, AccountHash, AccountStanding, ContendedRequest, DemandGroup, ServiceHash,
            ShareRequest, ShareTable, WorkScope,
        },
    },
    time::Timestamp,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: ServiceHash = ServiceHash(1);
const START_MS: u64 = 1_000_000;
/// Prefill speed of one engine and of all ten, in tokens per millisecond.
const ENGINE_SPEED: f64 = 40.0;
const FLEET_SPEED: f64 = 400.0;
const OBJECTIVE: Duration = Duration::from_millis(600);
const DEADLINE_MS: u64 = 6000;
const SEED: u64 = 20261206;

fn placement(wait_ms: f64, prefill_tokens: u32) -> Placement {
    let engine: EngineKey = Arena::default().push(());
    Placement {
        path: PlacementPath::Whole { engine },
        first_event_ms: wait_ms + f64::from(prefill_tokens) / ENGINE_SPEED + 30.0,
        wait_ms,
        prefill_tokens,
        shared_prefill_tokens: 0,
        fetch: None,
    }
}

fn admission_request(left_ms: u64, contention: Option<ContendedRequest>) -> AdmissionRequest {
    AdmissionRequest {
        objective: OBJECTIVE,
        waited: Duration::ZERO,
        time_left: Duration::from_millis(left_ms),
        contention,
    }
}

/// Requests of one account.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    per_second: f64,
    tokens: u32,
    priority: u8,
}

const QUIET: Traffic = Traffic { per_second: 4.0, tokens: 1000, priority: 1 };

/// Callers of one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountResult {
    callers: u32,
    served: u32,
    returned: u32,
    served_on_return: u32,
}

impl AccountResult {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.callers.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    account: usize,
    returns_at: u64,
    deadline: u64,
}

/// What happens to the daemons.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Part of the reports that are lost.
    loss: f64,
    /// Whether half of the daemons start again in the middle of the run.
    has_restarts: bool,
    /// Whether accounts are ignored, as without them in the configuration.
    is_unshared: bool,
}

struct World {
    tables: Vec<(u64, ShareTable)>,
    random: ChaCha8Rng,
    queued_tokens: f64,
    faults: Faults,
    results: Vec<AccountResult>,
    /// Time at which the last callers come for the first time.
    ends_at_ms: u64,
    /// Tokens that are sent up to then.
    served_tokens: f64,
    late: u32,
}

impl World {
    fn attempt(
        &mut self,
        caller: Caller,
        traffic: Traffic,
        is_return: bool,
        now_ms: u64,
    ) -> Option<Caller> {
        let now = Timestamp::from_millis(now_ms);
        let daemon = self.random.random_range(0..self.tables.len());
        let table = &mut self.tables[daemon].1;
        let request = ShareRequest {
            service: SERVICE,
            account: AccountHash(caller.account as u64 + 1),
            priority: traffic.priority,
            prefill_tokens: traffic.tokens,
            request_hash: self.random.random(),
            is_first: true,
        };
        let contention = table.assess(&request, now).filter(|_| !self.faults.is_unshared);
        let placement = placement(self.queued_tokens / FLEET_SPEED, traffic.tokens);
        let admission = admission_request(caller.deadline.saturating_sub(now_ms), contention);
        let decision = admission::decide(admission, &placement);
        let result = &mut self.results[caller.account];
        result.returned += u32::from(is_return);
        match decision {
            AdmissionDecision::Send => {
                let is_late = admission::is_late(&admission, &placement);
                table.record_send(&request, is_late, now);
                self.queued_tokens += f64::from(traffic.tokens);
                if now_ms < self.ends_at_ms {
                    self.served_tokens += f64::from(traffic.tokens);
                }
                self.late += u32::from(is_late);
                result.served += 1;
                result.served_on_return += u32::from(is_return);
                None
            }
            AdmissionDecision::Refuse { retry_after } => {
                if admission::is_queue_refusal(&admission, &placement) {
                    table.record_refusal(&request, now);
                }
                let returns_at = now_ms + retry_after.as_millis() as u64;
                (!is_return && returns_at < caller.deadline)
                    .then_some(Caller { returns_at, ..caller })
            }
        }
    }

    fn exchange(&mut self, now: Timestamp) {
        let reports: Vec<_> = self
            .tables
            .iter()
            .map(|(daemon, table)| (*daemon, table.reports(WorkScope::Daemon, now)))
            .collect();
        for (receiver, table) in &mut self.tables {
            table.remove_expired(now);
            for (daemon, reports) in &reports {
                for (service, report) in reports {
                    if daemon != receiver && !self.random.random_bool(self.faults.loss) {
                        let scope = WorkScope::Daemon;
                        table.record_report(*daemon, *service, scope, report.clone(), now);
                    }
                }
            }
        }
    }
}

/// Runs accounts at 20 daemons. Callers return once, as told. `traffic` gives the requests of each
/// account at a time in milliseconds.
fn simulate(duration_ms: u64, faults: Faults, traffic: impl Fn(u64) -> Vec<Traffic>) -> World {
    let tables = (0..20).map(|daemon| (daemon, ShareTable::default())).collect();
    let random = ChaCha8Rng::seed_from_u64(SEED);
    let results = vec![AccountResult::default(); traffic(0).len()];
    let (queued_tokens, served_tokens, late) = (0.0, 0.0, 0);
    let ends_at_ms = START_MS + duration_ms;
    let mut world =
        World { tables, random, queued_tokens, faults, results, ends_at_ms, served_tokens, late };
    let mut returning: Vec<Caller> = Vec::new();
    for time in 0..duration_ms + DEADLINE_MS {
        let now_ms = START_MS + time;
        world.queued_tokens = (world.queued_tokens - FLEET_SPEED).max(0.0);
        if faults.has_restarts && time == duration_ms / 2 {
            for (daemon, table) in &mut world.tables[..10] {
                *daemon += 100;
                *table = ShareTable::default();
            }
        }
        if time % 2000 == 0 {
            world.exchange(Timestamp::from_millis(now_ms));
        }
        let accounts = traffic(time);
        let (due, later): (Vec<_>, Vec<_>) =
            returning.into_iter().partition(|caller| caller.returns_at <= now_ms);
        returning = later;
        for caller in due {
            world.attempt(caller, accounts[caller.account], true, now_ms);
        }
        if time >= duration_ms {
            continue;
        }
        for (account, row) in accounts.iter().enumerate() {
            let mut count = row.per_second / 1000.0;
            while world.random.random::<f64>() < count {
                count -= 1.0;
                world.results[account].callers += 1;
                let deadline = now_ms + DEADLINE_MS;
                let caller = Caller { account, returns_at: 0, deadline };
                returning.extend(world.attempt(caller, *row, false, now_ms));
            }
        }
    }
    world
}

/// Account 0 sends 200 times as much as usual from 3 s to 13 s.
fn one_burst(time: u64) -> Vec<Traffic> {
    let mut accounts = vec![QUIET; 50];
    if (3000..13_000).contains(&time) {
        accounts[0].per_second = 800.0;
    }
    accounts
}

fn others_share(world: &World) -> f64 {
    let others = &world.results[1..];
    let served: u32 = others.iter().map(|result| result.served).sum();
    f64::from(served) / f64::from(others.iter().map(|result| result.callers).sum::<u32>())
}

/// Guards against a burst of one account that takes the capacity of the others, whose max-min share
/// is all that they ask for. The margin is a twentieth.
#[test]
fn a_burst_of_one_account_leaves_the_others_their_share() {
    let unshared = Faults { is_unshared: true, ..Faults::default() };
    let before = others_share(&simulate(15_000, unshared, one_burst));
    let world = simulate(15_000, Faults::default(), one_burst);
    let after = others_share(&world);
    println!(
        "others served {before:.3} without shares, {after:.3} with them; {:?}",
        world.results[0]
    );
    println!("{} late, {:.0} tokens", world.late, world.served_tokens);
    assert!(before < 0.8, "the burst doesn't contend the service: {before}");
    assert!(after >= 0.95, "{after}");
}

/// Guards against capacity that is left idle while a large account asks for it.
#[test]
fn a_large_account_uses_what_the_others_leave() {
    let heavy = |_| vec![Traffic { per_second: 800.0, ..QUIET }, QUIET];
    let world = simulate(10_000, Faults::default(), heavy);
    let part = world.served_tokens / (FLEET_SPEED * 10_000.0);
    println!("{part:.3} of the capacity used, {:?}", world.results);
    assert!(part >= 0.95, "{part}");
}

/// Guards against accounts that get nothing: the served part of each is at least a quarter of that of
/// all requests, with many equal accounts, tiny ones, and ones with very long prompts.
#[test]
fn no_account_starves() {
    let mixed = |_| {
        let mut accounts = vec![Traffic { per_second: 100.0, ..QUIET }; 8];
        accounts.extend(vec![Traffic { per_second: 1.0, ..QUIET }; 60]);
        accounts.extend(vec![Traffic { per_second: 10.0, tokens: 12_000, ..QUIET }; 2]);
        accounts.extend(vec![Traffic { priority: 2, ..QUIET }; 10]);
        accounts
    };
    let world = simulate(20_000, Faults::default(), mixed);
    let served: u32 = world.results.iter().map(|result| result.served).sum();
    let callers: u32 = world.results.iter().map(|result| result.callers).sum();
    let all = f64::from(served) / f64::from(callers);
    let least = world.results.iter().map(AccountResult::served_share).fold(1.0, f64::min);
    println!("served {all:.3} of all, least {least:.3}, {} late", world.late);
    for (first, name) in [(0, "large"), (8, "tiny"), (68, "long"), (70, "less urgent")] {
        println!("{name}: {:?}", world.results[first]);
    }
    assert!(least >= all / 4.0, "{least} of {all}");
}

/// Guards against callers of one burst that return together: what was refused fits into the capacity
/// of the next two seconds, so nearly all who return as told are served.
#[test]
fn a_caller_that_returns_as_told_is_served() {
    let burst = |time| {
        let per_second = if time < 300 { 50.0 } else { 0.5 };
        vec![Traffic { per_second, ..QUIET }; 50]
    };
    let world = simulate(6000, Faults::default(), burst);
    let returned: u32 = world.results.iter().map(|result| result.returned).sum();
    let served: u32 = world.results.iter().map(|result| result.served_on_return).sum();
    println!("{served} of {returned} served on their return");
    assert!(returned >= 100, "the burst doesn't contend the service: {returned}");
    assert!(f64::from(served) >= f64::from(returned) * 0.9, "{served} of {returned}");
}

/// Guards against shares that depend on reports: a daemon that hears no other one uses its own
/// counts, and one that has just started learns those of the others.
#[test]
fn lost_reports_and_restarts_leave_the_others_most_of_their_share() {
    let cut = Faults { loss: 1.0, ..Faults::default() };
    let lossy = Faults { loss: 0.3, ..Faults::default() };
    let restarts = Faults { has_restarts: true, ..Faults::default() };
    for (name, faults) in [("cut", cut), ("lossy", lossy), ("restarts", restarts)] {
        let part = others_share(&simulate(15_000, faults, one_burst));
        println!("{name}: others served {part:.3}");
        assert!(part >= 0.9, "{name}: {part}");
    }
}

fn request(account: u64, priority: u8) -> ShareRequest {
    ShareRequest {
        service: SERVICE,
        account: AccountHash(account),
        priority,
        prefill_tokens: 1000,
        request_hash: 0,
        is_first: true,
    }
}

/// Guards against a daemon that forgets the large accounts when it is partitioned, and against one
/// that limits them for ever by what it was told once.
#[test]
fn the_last_known_shares_are_used_for_a_while() {
    let at = |ms| Timestamp::from_millis(START_MS + ms);
    let mut teller = ShareTable::default();
    for account in 1..=10 {
        for number in 0..40 {
            teller.assess(&request(account, 1), at(0));
            if account == 1 || number < 5 {
                teller.record_send(&request(account, 1), false, at(0));
            }
        }
    }
    teller.record_refusal(&request(1, 1), at(0));
    let mut table = ShareTable::default();
    for (service, report) in teller.reports(WorkScope::Daemon, at(0)) {
        table.record_report(7, service, WorkScope::Daemon, report, at(0));
    }
    let mut standing = |ms| {
        for account in 1..=10 {
            table.assess(&request(account, 1), at(ms));
            table.record_send(&request(account, 1), false, at(ms));
        }
        table.record_refusal(&request(1, 1), at(ms));
        table.remove_expired(at(ms));
        table.assess(&request(1, 1), at(ms)).map(|contention| contention.standing)
    };
    assert_eq!(standing(1000), Some(AccountStanding::Above));
    assert_eq!(standing(12_000), Some(AccountStanding::Above));
    let limit = shares::LAST_SHARES_DURATION.as_millis() as u64;
    assert_ne!(standing(limit + 3000), Some(AccountStanding::Above));
}

/// Guards against work that counts twice because a relay sends a member sums that include its own.
#[test]
fn a_relay_adds_up_the_work_of_its_domain() {
    let now = Timestamp::from_millis(START_MS);
    let mut tables = vec![ShareTable::default(); 3];
    for table in &mut tables {
        for number in 0..10 {
            table.assess(&request(1, 1), now);
            if number < 5 {
                table.record_send(&request(1, 1), false, now);
            }
        }
        table.record_refusal(&request(1, 1), now);
    }
    let reports: Vec<_> =
        tables.iter().flat_map(|table| table.reports(WorkScope::Daemon, now)).collect();
    for (daemon, (service, report)) in (1..).zip(&reports[1..]) {
        tables[0].record_report(daemon, *service, WorkScope::Daemon, report.clone(), now);
    }
    let (service, sums) = tables[0].reports(WorkScope::Fleet, now).remove(0);
    assert_eq!((sums.rows[0].served, sums.rows[0].offered), (18_000.0, 36_000.0));
    let domain = tables[0].reports(WorkScope::Domain, now).remove(0).1;
    assert_eq!(domain, sums);
    tables[1].record_report(0, service, WorkScope::Fleet, sums, now);
    let again = ShareRequest { is_first: false, ..request(1, 1) };
    let contention = tables[1].assess(&again, now).expect("contended");
    assert_eq!(contention.usage, 18_000.0);
    // Sums of all daemons aren't told again, so none goes round.
    let own = tables[1].reports(WorkScope::Daemon, now).remove(0).1;
    assert_eq!(own.rows[0].served, 6000.0);
}

/// Guards against a table that grows with the number of accounts, and reports that do.
#[test]
fn tables_and_reports_are_bounded() {
    let now = Timestamp::from_millis(START_MS);
    let mut table = ShareTable::default();
    for account in 1..=50_000 {
        table.assess(&request(account, 1), now);
    }
    table.record_refusal(&request(1, 1), now);
    assert!(table.account_count(SERVICE) <= 32_769, "{}", table.account_count(SERVICE));
    let reports = table.reports(WorkScope::Daemon, now);
    assert_eq!(reports.len(), 1);
    assert!(reports[0].1.rows.len() <= shares::ROW_LIMIT);
    assert_eq!(reports[0].1.rows.len() + reports[0].1.rest_accounts as usize, 32_769);
    let later = now + Duration::from_secs(120);
    table.remove_expired(later);
    assert_eq!(table.account_count(SERVICE), 0);
}

proptest! {
    /// Guards against capacity that the fair share gives twice or not at all.
    #[test]
    fn the_fair_share_fills_the_capacity(
        demands in proptest::collection::vec((0.0..1000.0_f64, 1..20_u32), 1..50),
        capacity in 1.0..10_000.0_f64,
    ) {
        let group = |(demand, accounts)| DemandGroup { demand, accounts };
        let mut groups: Vec<_> = demands.into_iter().map(group).collect();
        let level = shares::fair_share(&mut groups, capacity);
        let sum = |level: f64| -> f64 {
            groups.iter().map(|group| group.demand.min(level) * f64::from(group.accounts)).sum()
        };
        let expected = capacity.min(sum(f64::INFINITY));
        prop_assert!((sum(level) - expected).abs() < 1e-6 * capacity.max(1.0));
    }

    /// Guards against a less urgent request that is sent behind a queue at which a more urgent one is
    /// refused, whatever the accounts have used.
    #[test]
    fn more_urgent_requests_may_wait_longer(
        sends in proptest::collection::vec((1..6_u64, 0..4_u8, any::<bool>()), 20..200),
        account in 1..6_u64,
        other in 1..6_u64,
    ) {
        let now = Timestamp::from_millis(START_MS);
        let mut table = ShareTable::default();
        for (account, priority, is_sent) in sends {
            table.assess(&request(account, priority), now);
            if is_sent {
                table.record_send(&request(account, priority), false, now);
            }
        }
        table.record_refusal(&request(1, 0), now);
        let mut assess = |account, priority| {
            let again = ShareRequest { is_first: false, ..request(account, priority) };
            table.assess(&again, now).expect("contended")
        };
        let (urgent, less_urgent) = (assess(account, 0), assess(other, 3));
        if less_urgent.standing != AccountStanding::Starved {
            prop_assert!(urgent.wait_share >= less_urgent.wait_share);
        }
    }

    /// Guards against a Retry-After outside its bounds or after the caller's deadline.
    #[test]
    fn retry_after_stays_within_bounds_and_deadline(
        wait_ms in 0.0..20_000.0_f64,
        left_ms in 0..10_000_u64,
        wait_share in 0.0..1.0_f64,
        refused_ms in 0.0..100_000.0_f64,
        return_position in 0.0..1.0_f64,
    ) {
        let contention = ContendedRequest {
            standing: AccountStanding::Fair,
            wait_share,
            may_be_late: false,
            refused_ms,
            return_position,
            usage: 0.0,
            fair_share: 1.0,
            told_age: None,
        };
        let admission = admission_request(left_ms, Some(contention));
        let decision = admission::decide(admission, &placement(wait_ms, 1000));
        if let AdmissionDecision::Refuse { retry_after } = decision {
            let ms = retry_after.as_millis() as u64;
            prop_assert!(ms <= left_ms && ms <= 2000);
            prop_assert!(ms >= left_ms.min(200));
        }
    }
}
