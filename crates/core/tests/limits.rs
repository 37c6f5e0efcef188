//! Limits of accounts over all daemons of a failure domain, under lost, late
//! and doubled grants and changes of membership.

use std::time::Duration;

use gooseberry_core::{
    limits::{
        AccountLimit, DomainView, LimitCoordinator, LimitTable, FULL_SHARE_PPM, GRANT_DURATION,
        LIMIT_BURST, POOL_SHARE_PPM,
    },
    refusal::RefusalReason,
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner},
};
use smol_str::{format_smolstr, SmolStr};

/// Daemons of the domain.
const DAEMONS: usize = 5;
/// Limit of the account that is tried.
const LIMIT: AccountLimit =
    AccountLimit { requests_per_second: 100.0, tokens_per_second: 1_000_000.0 };

fn config(seed: u64) -> Config {
    Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// What can happen next.
#[derive(Clone, Debug)]
enum LimitStep {
    /// Time passes.
    Wait { millis: u64 },
    /// A daemon asks its home; the answer waits to be delivered.
    Ask { daemon: usize, wanted: u32 },
    /// An answer that waits is delivered, and kept for another time if doubled.
    Deliver { index: usize, doubled: bool },
    /// An answer that waits is lost.
    Lose { index: usize },
    /// A daemon comes or goes, and all learn it at once.
    Toggle { daemon: usize },
    /// The domain is cut in two, and both sides learn it at once, or is whole.
    Cut { side: u8 },
    /// One daemon believes that another has gone, or come back.
    Doubt { daemon: usize, other: usize },
    /// A daemon gets a burst of requests.
    Burst { daemon: usize, requests: u32 },
}

struct GrantMessage {
    daemon: usize,
    share: u32,
    asked_at: Timestamp,
}

struct FakeDomain {
    now: Timestamp,
    views: Vec<DomainView>,
    homes: Vec<LimitCoordinator>,
    tables: Vec<LimitTable>,
    messages: Vec<GrantMessage>,
    up: [bool; DAEMONS],
    side: u8,
    admitted: u64,
    /// Homes with the time until which what they lent may be in use.
    lenders: Vec<Timestamp>,
}

fn name(daemon: usize) -> SmolStr {
    format_smolstr!("daemon-{daemon}")
}

fn account() -> SmolStr {
    SmolStr::new("member")
}

impl FakeDomain {
    fn new() -> Self {
        let mut domain = Self {
            now: Timestamp::from_millis(1_000_000),
            views: vec![DomainView::default(); DAEMONS],
            homes: vec![LimitCoordinator::default(); DAEMONS],
            tables: vec![LimitTable::default(); DAEMONS],
            messages: Vec::new(),
            up: [true; DAEMONS],
            side: 0,
            admitted: 0,
            lenders: vec![Timestamp::default(); DAEMONS],
        };
        domain.share_views();
        domain
    }

    /// Lets every daemon know who is up on its side.
    fn share_views(&mut self) {
        for daemon in 0..DAEMONS {
            let together = |other: usize| self.side >> daemon & 1 == self.side >> other & 1;
            let live = (0..DAEMONS)
                .filter(|other| *other == daemon || self.up[*other] && together(*other));
            let view = DomainView { live: live.map(name).collect(), known_count: DAEMONS as u32 };
            // A daemon that is paused learns nothing until it goes on.
            if self.up[daemon] {
                self.set_view(daemon, view);
            }
        }
    }

    fn set_view(&mut self, daemon: usize, view: DomainView) {
        self.tables[daemon].set_base_share(view.base_share());
        self.homes[daemon].observe(view.clone(), self.now);
        self.views[daemon] = view;
    }

    fn apply(&mut self, step: &LimitStep) {
        match *step {
            LimitStep::Wait { millis } => self.wait(millis),
            LimitStep::Ask { daemon, wanted } => self.ask(daemon, wanted),
            LimitStep::Deliver { index, doubled } => self.deliver(index, doubled),
            LimitStep::Lose { index } => {
                if index < self.messages.len() {
                    self.messages.remove(index);
                }
            }
            LimitStep::Toggle { daemon } => {
                self.up[daemon] = !self.up[daemon];
                self.share_views();
            }
            LimitStep::Cut { side } => {
                self.side = side;
                self.share_views();
            }
            LimitStep::Doubt { daemon, other } => self.doubt(daemon, other),
            LimitStep::Burst { daemon, requests } => self.burst(daemon, requests),
        }
    }

    /// Lets time pass; daemons that are up look at their views meanwhile.
    fn wait(&mut self, millis: u64) {
        let mut left = millis;
        while left > 0 {
            let span = left.min(500);
            self.now = self.now + Duration::from_millis(span);
            left -= span;
            for daemon in (0..DAEMONS).filter(|daemon| self.up[*daemon]) {
                self.homes[daemon].observe(self.views[daemon].clone(), self.now);
            }
        }
    }

    fn ask(&mut self, daemon: usize, wanted: u32) {
        // A daemon that is down neither asks nor lends.
        let home = self.views[daemon].coordinator("member").cloned();
        let home = (0..DAEMONS).find(|other| home.as_ref() == Some(&name(*other)));
        let Some(home) = home.filter(|home| self.up[daemon] && self.up[*home]) else { return };
        // A limiter exists from an account's first request on.
        let _ = self.tables[daemon].acquire(&account(), LIMIT, 0, self.now).is_ok_and(|()| {
            self.admitted += 1;
            true
        });
        let share = self.homes[home].grant_share(&account(), &name(daemon), wanted, self.now);
        if share > 0 {
            self.lenders[home] = self.now + GRANT_DURATION;
        }
        self.messages.push(GrantMessage { daemon, share, asked_at: self.now });
    }

    fn deliver(&mut self, index: usize, doubled: bool) {
        let Some(message) = self.messages.get(index) else { return };
        let (daemon, share, asked_at) = (message.daemon, message.share, message.asked_at);
        self.tables[daemon].apply_grant("member", share, asked_at, self.now);
        if !doubled {
            self.messages.remove(index);
        }
    }

    fn doubt(&mut self, daemon: usize, other: usize) {
        if daemon == other {
            return;
        }
        let mut view = self.views[daemon].clone();
        match view.live.iter().position(|live| *live == name(other)) {
            Some(position) => drop(view.live.remove(position)),
            None => view.live.push(name(other)),
        }
        self.set_view(daemon, view);
    }

    fn burst(&mut self, daemon: usize, requests: u32) {
        for _ in 0..requests {
            let taken = self.tables[daemon].acquire(&account(), LIMIT, 1, self.now);
            self.admitted += u64::from(taken.is_ok());
        }
    }

    /// Sums the shares that the daemons may use now.
    fn total(&mut self) -> u32 {
        let now = self.now;
        self.tables.iter_mut().map(|table| table.share("member", now)).sum()
    }

    fn lending(&self) -> u32 {
        self.lenders.iter().filter(|until| **until > self.now).count() as u32
    }
}

fn common_step() -> BoxedStrategy<LimitStep> {
    prop_oneof![
        3 => (1..2500_u64).prop_map(|millis| LimitStep::Wait { millis }),
        6 => (0..DAEMONS, 0..=POOL_SHARE_PPM)
            .prop_map(|(daemon, wanted)| LimitStep::Ask { daemon, wanted }),
        6 => (0..6_usize, any::<bool>())
            .prop_map(|(index, doubled)| LimitStep::Deliver { index, doubled }),
        1 => (0..6_usize).prop_map(|index| LimitStep::Lose { index }),
        2 => (0..DAEMONS, 1..80_u32)
            .prop_map(|(daemon, requests)| LimitStep::Burst { daemon, requests }),
    ]
    .boxed()
}

fn run(
    seed: u64,
    step: BoxedStrategy<LimitStep>,
    check: impl Fn(&mut FakeDomain) -> Result<(), TestCaseError>,
) {
    let mut runner = TestRunner::new(config(seed));
    let outcome = runner.run(&proptest::collection::vec(step, 1..120), |steps| {
        let mut domain = FakeDomain::new();
        for step in &steps {
            domain.apply(step);
            check(&mut domain)?;
        }
        Ok(())
    });
    outcome.expect("the shares keep to the bound");
}

#[test]
fn shares_never_exceed_the_limit_while_daemons_come_and_go() {
    let toggle = (0..DAEMONS).prop_map(|daemon| LimitStep::Toggle { daemon });
    let step = prop_oneof![9 => common_step(), 1 => toggle].boxed();
    run(31, step, |domain| {
        let total = domain.total();
        prop_assert!(total <= FULL_SHARE_PPM, "{total}");
        Ok(())
    });
}

#[test]
fn shares_never_exceed_the_limit_while_the_domain_is_cut() {
    let cut = any::<u8>().prop_map(|side| LimitStep::Cut { side });
    let step = prop_oneof![9 => common_step(), 1 => cut].boxed();
    run(32, step, |domain| {
        let total = domain.total();
        prop_assert!(total <= FULL_SHARE_PPM, "{total}");
        Ok(())
    });
}

#[test]
fn each_daemon_that_takes_itself_for_the_home_lends_the_pool_at_most_once() {
    let doubt =
        (0..DAEMONS, 0..DAEMONS).prop_map(|(daemon, other)| LimitStep::Doubt { daemon, other });
    let step = prop_oneof![4 => common_step(), 1 => doubt].boxed();
    run(33, step, |domain| {
        let bound = FULL_SHARE_PPM - POOL_SHARE_PPM + POOL_SHARE_PPM * domain.lending();
        let total = domain.total();
        prop_assert!(total <= bound, "{total} above {bound}");
        Ok(())
    });
}

#[test]
fn requests_keep_to_the_limit_the_burst_and_one_for_each_daemon() {
    let toggle = (0..DAEMONS).prop_map(|daemon| LimitStep::Toggle { daemon });
    let step = prop_oneof![9 => common_step(), 1 => toggle].boxed();
    let start = FakeDomain::new().now;
    run(34, step, |domain| {
        let span = (domain.now.since(start) + LIMIT_BURST).as_secs_f64();
        let bound = LIMIT.requests_per_second * span + DAEMONS as f64;
        prop_assert!(domain.admitted as f64 <= bound, "{} above {bound}", domain.admitted);
        Ok(())
    });
}

#[test]
fn a_daemon_with_all_the_traffic_gets_the_pool_and_a_fair_part_beside_another() {
    let mut domain = FakeDomain::new();
    domain.apply(&LimitStep::Wait { millis: 3000 });
    domain.apply(&LimitStep::Ask { daemon: 0, wanted: POOL_SHARE_PPM });
    domain.apply(&LimitStep::Deliver { index: 0, doubled: false });
    let now = domain.now;
    let base = domain.views[0].base_share();
    assert_eq!(domain.tables[0].share("member", now), base + POOL_SHARE_PPM);
    for _ in 0..6 {
        domain.apply(&LimitStep::Wait { millis: 1000 });
        for daemon in [0, 1] {
            domain.apply(&LimitStep::Ask { daemon, wanted: POOL_SHARE_PPM });
            domain.apply(&LimitStep::Deliver { index: 0, doubled: false });
        }
    }
    let now = domain.now;
    for daemon in [0, 1] {
        assert_eq!(domain.tables[daemon].share("member", now), base + POOL_SHARE_PPM / 2);
    }
}

#[test]
fn an_account_without_any_rate_is_told_a_finite_time() {
    let limit = AccountLimit { requests_per_second: 0.0, tokens_per_second: 0.0 };
    let mut table = LimitTable::default();
    table.set_base_share(FULL_SHARE_PPM);
    let refused = table.acquire(&account(), limit, 1, Timestamp::from_millis(1)).expect_err("none");
    let retry = refused.retry_after.expect("a time to come back");
    assert!(retry <= Duration::from_secs(60), "{retry:?}");
}

#[test]
fn a_daemon_that_is_cut_off_goes_on_with_its_own_part() {
    let mut domain = FakeDomain::new();
    domain.apply(&LimitStep::Burst { daemon: 3, requests: 1 });
    domain.apply(&LimitStep::Wait { millis: 60_000 });
    let now = domain.now;
    let part = (FULL_SHARE_PPM - POOL_SHARE_PPM) / DAEMONS as u32;
    assert_eq!(domain.tables[3].share("member", now), part);
    domain.apply(&LimitStep::Burst { daemon: 3, requests: 100 });
    // A tenth of 100 requests a second, saved up for two seconds.
    assert_eq!(domain.admitted, 21);
    let refused = domain.tables[3].acquire(&account(), LIMIT, 1, now).expect_err("a refusal");
    assert_eq!((refused.reason.clone(), refused.status()), (RefusalReason::LimitReached, 429));
    assert!(refused.retry_after.is_some());
}
