//! Admission under overload, by a seeded replay against a small fake of the
//! engines under a manual clock.

use std::{collections::BTreeMap, time::Duration};

use gooseberry_core::{
    admission::{AdmissionEstimate, AdmissionGrant, AdmissionRequest, AdmissionTable},
    arena::{ArenaKey, EngineKey, ModelKey},
    fleet::{AccountPriority, EngineRole},
    refusal::{RefusalReason, RequestExecuted},
    routing::{self, EngineView, RoutePhase, RouteRequest},
    time::Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

/// Engines of the fake.
const ENGINES: usize = 4;
/// Time of the fake for one prompt token.
const PER_TOKEN: Duration = Duration::from_micros(40);
/// Time to the first token that is aimed for.
const OBJECTIVE: Duration = Duration::from_millis(430);
/// Length of each replay.
const REPLAY: Duration = Duration::from_secs(60);
/// Seed of all replays.
const SEED: u64 = 20_261_203;

/// Says which rules are in force.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AdmissionRules {
    /// Only what can't meet its deadline is refused.
    DeadlineOnly,
    All,
}

/// Describes the traffic of one account.
#[derive(Clone, Copy)]
struct AccountTraffic {
    name: &'static str,
    priority: AccountPriority,
    requests_per_second: f64,
    prompt_tokens: u32,
    deadline: Duration,
    /// Times that a refused request is sent again at once.
    retries: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountResult {
    offered: u32,
    in_time: u32,
    within_objective: u32,
}

impl AccountResult {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered)
    }
}

/// Engines that compute prompts one after the other.
struct FakeFleet {
    busy_until_us: [u64; ENGINES],
}

impl FakeFleet {
    fn views(&self, now_us: u64) -> impl Iterator<Item = EngineView> + '_ {
        self.busy_until_us.iter().enumerate().map(move |(index, busy)| EngineView {
            backlog_tokens: busy.saturating_sub(now_us) / PER_TOKEN.as_micros() as u64,
            ..EngineView::idle(
                EngineKey::from_index(index),
                ModelKey::from_index(0),
                EngineRole::Mixed,
            )
        })
    }

    /// Runs a prompt and returns the time of its first token.
    fn run(&mut self, engine: EngineKey, tokens: u32, now_us: u64) -> u64 {
        let busy = &mut self.busy_until_us[engine.index()];
        *busy = (*busy).max(now_us) + u64::from(tokens) * PER_TOKEN.as_micros() as u64;
        *busy
    }
}

fn replay(
    traffic: &[AccountTraffic],
    rules: AdmissionRules,
) -> BTreeMap<&'static str, AccountResult> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    for account in traffic {
        let mut at = 0.0;
        while at < REPLAY.as_secs_f64() {
            at += -random.random::<f64>().max(f64::EPSILON).ln() / account.requests_per_second;
            arrivals.push(((at * 1e6) as u64, *account));
        }
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let mut fleet = FakeFleet { busy_until_us: [0; ENGINES] };
    let mut table = AdmissionTable::default();
    let mut running: Vec<(u64, AdmissionGrant)> = Vec::new();
    let mut results: BTreeMap<&'static str, AccountResult> = BTreeMap::new();
    for (now_us, account) in arrivals {
        running.retain(|(end, grant)| {
            if *end <= now_us {
                table.release(grant);
            }
            *end > now_us
        });
        let result = results.entry(account.name).or_default();
        result.offered += 1;
        for _ in 0..=account.retries {
            if let Some((engine, grant)) = decide(&fleet, &mut table, &account, rules, now_us) {
                let end = fleet.run(engine, account.prompt_tokens, now_us);
                let span = Duration::from_micros(end - now_us);
                result.in_time += u32::from(span <= account.deadline);
                result.within_objective += u32::from(span <= OBJECTIVE);
                running.extend(grant.map(|grant| (end, grant)));
                break;
            }
        }
    }
    results
}

fn decide(
    fleet: &FakeFleet,
    table: &mut AdmissionTable,
    account: &AccountTraffic,
    rules: AdmissionRules,
    now_us: u64,
) -> Option<(EngineKey, Option<AdmissionGrant>)> {
    let request = RouteRequest {
        model: ModelKey::from_index(0),
        phase: RoutePhase::Whole,
        prompt_tokens: account.prompt_tokens,
        output_tokens: 1,
        time_left: account.deadline,
        bytes: 0,
    };
    let decision = routing::choose(&request, fleet.views(now_us), |_| 0, |_| false)?;
    if rules == AdmissionRules::DeadlineOnly {
        return (decision.finish <= account.deadline).then_some((decision.engine, None));
    }
    let request = admission_request(account);
    let offer = AdmissionEstimate::new(&decision, OBJECTIVE);
    let grant = table.admit(&request, &offer, Timestamp::from_millis(now_us / 1000));
    grant.ok().map(|grant| (decision.engine, Some(grant)))
}

fn admission_request(account: &AccountTraffic) -> AdmissionRequest {
    AdmissionRequest {
        account: SmolStr::new(account.name),
        priority: account.priority,
        batch: false,
        prompt_tokens: account.prompt_tokens,
        output_tokens: 1,
        time_left: account.deadline,
    }
}

/// An account that uses a twentieth of the fleet.
const QUIET: AccountTraffic = AccountTraffic {
    name: "quiet",
    priority: AccountPriority::Normal,
    requests_per_second: 5.0,
    prompt_tokens: 1000,
    deadline: Duration::from_secs(2),
    retries: 0,
};

fn compare(name: &str, other: AccountTraffic) -> (AccountResult, AccountResult, AccountResult) {
    let before = replay(&[QUIET, other], AdmissionRules::DeadlineOnly);
    let after = replay(&[QUIET, other], AdmissionRules::All);
    println!("{name} (seed {SEED}) before: {before:?}\n{name} after: {after:?}");
    (before["quiet"], after["quiet"], after[other.name])
}

#[test]
fn a_hot_account_does_not_starve_a_quiet_one() {
    let hot = AccountTraffic {
        name: "hot",
        requests_per_second: 200.0,
        prompt_tokens: 2000,
        deadline: Duration::from_secs(10),
        ..QUIET
    };
    let (before, after, hot) = compare("hot", hot);
    assert!(before.share() < 0.6, "the replay doesn't produce the fault: {before:?}");
    assert!(after.share() >= 0.99, "{after:?}");
    // The fleet carries 50 such requests a second.
    assert!(hot.in_time >= 2400, "{hot:?}");
}

#[test]
fn a_retry_storm_does_not_starve_a_quiet_account() {
    let storm = AccountTraffic {
        name: "storm",
        requests_per_second: 100.0,
        prompt_tokens: 2000,
        retries: 20,
        deadline: Duration::from_secs(10),
        ..QUIET
    };
    let (before, after, _) = compare("storm", storm);
    assert!(before.share() < 0.6, "the replay doesn't produce the fault: {before:?}");
    assert!(after.share() >= 0.99, "{after:?}");
}

#[test]
fn giant_prompts_do_not_starve_a_quiet_account() {
    let giant = AccountTraffic {
        name: "giant",
        requests_per_second: 5.0,
        prompt_tokens: 50_000,
        deadline: Duration::from_secs(8),
        ..QUIET
    };
    let (before, after, giant) = compare("giant", giant);
    assert!(before.share() < 0.6, "the replay doesn't produce the fault: {before:?}");
    assert!(after.share() >= 0.99, "{after:?}");
    // The fleet carries 2 such prompts a second; half of it is theirs.
    assert!(giant.in_time >= 50, "{giant:?}");
}

#[test]
fn accounts_with_giant_prompts_share_the_whole_fleet() {
    let giant = |name| AccountTraffic {
        name,
        requests_per_second: 5.0,
        prompt_tokens: 50_000,
        deadline: Duration::from_secs(8),
        ..QUIET
    };
    let results = replay(&[giant("first"), giant("second")], AdmissionRules::All);
    println!("two giants (seed {SEED}): {results:?}");
    let (first, second) = (results["first"].in_time, results["second"].in_time);
    assert!(first + second >= 108, "the fleet carries 120 in the time: {results:?}");
    assert!(first.abs_diff(second) <= 6, "{results:?}");
}

#[test]
fn batch_work_yields_to_people_who_wait() {
    let summaries = AccountTraffic {
        name: "summaries",
        priority: AccountPriority::Batch,
        requests_per_second: 100.0,
        prompt_tokens: 4000,
        deadline: Duration::from_secs(30),
        ..QUIET
    };
    let (before, after, batch) = compare("batch", summaries);
    let within =
        |result: AccountResult| f64::from(result.within_objective) / f64::from(result.offered);
    assert!(within(before) < 0.6, "the replay doesn't produce the fault: {before:?}");
    assert!(within(after) >= 0.99, "{after:?}");
    // The fleet carries 25 such requests a second.
    assert!(batch.in_time >= 1000, "{batch:?}");
}

#[test]
fn an_idle_batch_account_takes_no_room_from_people() {
    let mut table = AdmissionTable::default();
    let now = Timestamp::from_millis(1000);
    let offer = |queue| AdmissionEstimate {
        queue,
        first_token: queue,
        finish: queue,
        objective: OBJECTIVE,
        mostly_idle: false,
    };
    let batch = AccountTraffic { name: "batch", priority: AccountPriority::Batch, ..QUIET };
    let done = table.admit(&admission_request(&batch), &offer(Duration::ZERO), now);
    table.release(&done.expect("a grant"));
    for _ in 0..10 {
        let grant = table.admit(&admission_request(&QUIET), &offer(OBJECTIVE * 2), now);
        assert!(grant.is_ok(), "{grant:?}");
    }
    let refused = table.admit(&admission_request(&batch), &offer(OBJECTIVE * 2), now);
    assert_eq!(refused.expect_err("a refusal").reason, RefusalReason::Overloaded);
}

#[test]
fn a_single_account_may_use_the_whole_fleet() {
    let hot =
        AccountTraffic { name: "hot", requests_per_second: 200.0, prompt_tokens: 2000, ..QUIET };
    let alone = replay(&[hot], AdmissionRules::All)["hot"];
    assert!(alone.in_time >= 2900, "{alone:?}");
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_with_the_time_to_come_back() {
    let mut table = AdmissionTable::default();
    let offer = AdmissionEstimate {
        queue: Duration::from_secs(6),
        first_token: Duration::from_secs(6),
        finish: Duration::from_secs(7),
        objective: OBJECTIVE,
        mostly_idle: false,
    };
    let refusal = table
        .admit(&admission_request(&QUIET), &offer, Timestamp::default())
        .expect_err("a refusal");
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnmeetable);
    assert_eq!(refusal.executed, RequestExecuted::No);
    let retry = refusal.retry_after.expect("a time to come back");
    assert!(retry >= Duration::from_secs(5) && retry < Duration::from_secs(10), "{retry:?}");
}

#[test]
fn an_idle_account_is_forgotten() {
    let mut table = AdmissionTable::default();
    let offer = AdmissionEstimate {
        queue: Duration::ZERO,
        first_token: Duration::ZERO,
        finish: Duration::ZERO,
        objective: OBJECTIVE,
        mostly_idle: false,
    };
    let now = Timestamp::from_millis(1000);
    let grant = table.admit(&admission_request(&QUIET), &offer, now).expect("a grant");
    table.release(&grant);
    let other = AccountTraffic { name: "other", ..QUIET };
    let later = now + Duration::from_secs(60);
    let _kept = table.admit(&admission_request(&other), &offer, later).expect("a grant");
    assert_eq!((table.account_count(), table.work("quiet")), (1, 0));
}
