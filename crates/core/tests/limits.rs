//! Limits of client accounts over all daemons of a failure domain, with lost,
//! late and duplicated grants and with changes of membership. The coordinator of
//! an account grants its daemons shares of a pool for a fixed time.

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

/// Number of daemons of the failure domain.
const DAEMON_COUNT: usize = 5;
/// Limit of the account under test.
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

/// One event of a generated sequence.
#[derive(Clone, Debug)]
enum LimitStep {
    /// Time passes.
    Wait { millis: u64 },
    /// A daemon requests a share from its coordinator; the grant is queued.
    RequestShare { daemon: usize, wanted: u32 },
    /// A queued grant is delivered; it stays in the queue if it is duplicated.
    DeliverGrant { index: usize, duplicated: bool },
    /// A queued grant is lost.
    LoseGrant { index: usize },
    /// A daemon starts or stops, and all views show it at once.
    ToggleDaemon { daemon: usize },
    /// The domain is partitioned, or whole again; all views show it at once.
    /// Daemons with equal bits of `side` reach each other.
    Partition { side: u8 },
    /// One daemon's view of another changes without a change of that daemon.
    ToggleView { daemon: usize, other: usize },
    /// A daemon receives a burst of requests.
    Burst { daemon: usize, requests: u32 },
}

struct GrantMessage {
    daemon: usize,
    share: u32,
    requested_at: Timestamp,
}

struct FakeDomain {
    now: Timestamp,
    views: Vec<DomainView>,
    coordinators: Vec<LimitCoordinator>,
    tables: Vec<LimitTable>,
    messages: Vec<GrantMessage>,
    up: [bool; DAEMON_COUNT],
    side: u8,
    admitted: u64,
    /// Time, by coordinator, until which the shares that it granted may be in use.
    granted_until: Vec<Timestamp>,
}

fn daemon_name(daemon: usize) -> SmolStr {
    format_smolstr!("daemon-{daemon}")
}

fn account() -> SmolStr {
    SmolStr::new("member")
}

impl FakeDomain {
    fn new() -> Self {
        let mut domain = Self {
            now: Timestamp::from_millis(1_000_000),
            views: vec![DomainView::default(); DAEMON_COUNT],
            coordinators: vec![LimitCoordinator::default(); DAEMON_COUNT],
            tables: vec![LimitTable::default(); DAEMON_COUNT],
            messages: Vec::new(),
            up: [true; DAEMON_COUNT],
            side: 0,
            admitted: 0,
            granted_until: vec![Timestamp::default(); DAEMON_COUNT],
        };
        domain.update_views();
        domain
    }

    /// Sets each daemon's view to the daemons that are up on its side.
    fn update_views(&mut self) {
        for daemon in 0..DAEMON_COUNT {
            let is_same_side = |other: usize| self.side >> daemon & 1 == self.side >> other & 1;
            let live = (0..DAEMON_COUNT)
                .filter(|other| *other == daemon || self.up[*other] && is_same_side(*other));
            let view = DomainView {
                live: live.map(daemon_name).collect(),
                known_count: DAEMON_COUNT as u32,
            };
            // The view of a stopped daemon doesn't change until it runs again.
            if self.up[daemon] {
                self.set_view(daemon, view);
            }
        }
    }

    fn set_view(&mut self, daemon: usize, view: DomainView) {
        self.tables[daemon].set_base_share(view.base_share());
        self.coordinators[daemon].observe(view.clone(), self.now);
        self.views[daemon] = view;
    }

    fn apply(&mut self, step: &LimitStep) {
        match *step {
            LimitStep::Wait { millis } => self.wait(millis),
            LimitStep::RequestShare { daemon, wanted } => self.request_share(daemon, wanted),
            LimitStep::DeliverGrant { index, duplicated } => self.deliver(index, duplicated),
            LimitStep::LoseGrant { index } => {
                if index < self.messages.len() {
                    self.messages.remove(index);
                }
            }
            LimitStep::ToggleDaemon { daemon } => {
                self.up[daemon] = !self.up[daemon];
                self.update_views();
            }
            LimitStep::Partition { side } => {
                self.side = side;
                self.update_views();
            }
            LimitStep::ToggleView { daemon, other } => self.toggle_view(daemon, other),
            LimitStep::Burst { daemon, requests } => self.burst(daemon, requests),
        }
    }

    /// Advances the clock; daemons that are up observe their views meanwhile.
    fn wait(&mut self, millis: u64) {
        let mut remaining_millis = millis;
        while remaining_millis > 0 {
            let duration = remaining_millis.min(500);
            self.now = self.now + Duration::from_millis(duration);
            remaining_millis -= duration;
            for daemon in (0..DAEMON_COUNT).filter(|daemon| self.up[*daemon]) {
                self.coordinators[daemon].observe(self.views[daemon].clone(), self.now);
            }
        }
    }

    fn request_share(&mut self, daemon: usize, wanted: u32) {
        // A daemon that is down neither requests nor grants a share.
        let coordinator = self.views[daemon].coordinator("member").cloned();
        let coordinator =
            (0..DAEMON_COUNT).find(|other| coordinator.as_ref() == Some(&daemon_name(*other)));
        let Some(coordinator) =
            coordinator.filter(|coordinator| self.up[daemon] && self.up[*coordinator])
        else {
            return;
        };
        // The limiter of an account is created by its first request.
        let _ = self.tables[daemon].acquire(&account(), LIMIT, 0, self.now).is_ok_and(|()| {
            self.admitted += 1;
            true
        });
        let share = self.coordinators[coordinator].grant_share(
            &account(),
            &daemon_name(daemon),
            wanted,
            self.now,
        );
        if share > 0 {
            self.granted_until[coordinator] = self.now + GRANT_DURATION;
        }
        self.messages.push(GrantMessage { daemon, share, requested_at: self.now });
    }

    fn deliver(&mut self, index: usize, duplicated: bool) {
        let Some(message) = self.messages.get(index) else { return };
        let (daemon, share, requested_at) = (message.daemon, message.share, message.requested_at);
        self.tables[daemon].apply_grant("member", share, requested_at, self.now);
        if !duplicated {
            self.messages.remove(index);
        }
    }

    fn toggle_view(&mut self, daemon: usize, other: usize) {
        if daemon == other {
            return;
        }
        let mut view = self.views[daemon].clone();
        match view.live.iter().position(|live| *live == daemon_name(other)) {
            Some(position) => drop(view.live.remove(position)),
            None => view.live.push(daemon_name(other)),
        }
        self.set_view(daemon, view);
    }

    fn burst(&mut self, daemon: usize, requests: u32) {
        for _ in 0..requests {
            let outcome = self.tables[daemon].acquire(&account(), LIMIT, 1, self.now);
            self.admitted += u64::from(outcome.is_ok());
        }
    }

    /// Returns the sum of the shares that the daemons may use now, in parts per
    /// million.
    fn total(&mut self) -> u32 {
        let now = self.now;
        self.tables.iter_mut().map(|table| table.share("member", now)).sum()
    }

    /// Returns the number of coordinators whose grants may be in use now.
    fn active_coordinators(&self) -> u32 {
        self.granted_until.iter().filter(|until| **until > self.now).count() as u32
    }
}

fn common_step() -> BoxedStrategy<LimitStep> {
    prop_oneof![
        3 => (1..2500_u64).prop_map(|millis| LimitStep::Wait { millis }),
        6 => (0..DAEMON_COUNT, 0..=POOL_SHARE_PPM)
            .prop_map(|(daemon, wanted)| LimitStep::RequestShare { daemon, wanted }),
        6 => (0..6_usize, any::<bool>())
            .prop_map(|(index, duplicated)| LimitStep::DeliverGrant { index, duplicated }),
        1 => (0..6_usize).prop_map(|index| LimitStep::LoseGrant { index }),
        2 => (0..DAEMON_COUNT, 1..80_u32)
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
    outcome.expect("shares and requests stay within the bound");
}

#[test]
fn shares_never_exceed_the_limit_while_daemons_start_and_stop() {
    let toggle = (0..DAEMON_COUNT).prop_map(|daemon| LimitStep::ToggleDaemon { daemon });
    let step = prop_oneof![9 => common_step(), 1 => toggle].boxed();
    run(31, step, |domain| {
        let total = domain.total();
        prop_assert!(total <= FULL_SHARE_PPM, "shares of {total} ppm are above the limit");
        Ok(())
    });
}

#[test]
fn shares_never_exceed_the_limit_while_the_domain_is_partitioned() {
    let partition = any::<u8>().prop_map(|side| LimitStep::Partition { side });
    let step = prop_oneof![9 => common_step(), 1 => partition].boxed();
    run(32, step, |domain| {
        let total = domain.total();
        prop_assert!(total <= FULL_SHARE_PPM, "shares of {total} ppm are above the limit");
        Ok(())
    });
}

/// Daemons whose views differ may each act as coordinator of one account. Guards
/// against grants above one pool per coordinator.
#[test]
fn each_daemon_that_acts_as_coordinator_grants_the_pool_at_most_once() {
    let toggle_view = (0..DAEMON_COUNT, 0..DAEMON_COUNT)
        .prop_map(|(daemon, other)| LimitStep::ToggleView { daemon, other });
    let step = prop_oneof![4 => common_step(), 1 => toggle_view].boxed();
    run(33, step, |domain| {
        let bound = FULL_SHARE_PPM - POOL_SHARE_PPM + POOL_SHARE_PPM * domain.active_coordinators();
        let total = domain.total();
        prop_assert!(total <= bound, "shares of {total} ppm are above the bound of {bound} ppm");
        Ok(())
    });
}

#[test]
fn admitted_requests_stay_within_the_limit_the_burst_and_one_per_daemon() {
    let toggle = (0..DAEMON_COUNT).prop_map(|daemon| LimitStep::ToggleDaemon { daemon });
    let step = prop_oneof![9 => common_step(), 1 => toggle].boxed();
    let start = FakeDomain::new().now;
    run(34, step, |domain| {
        let duration = (domain.now.since(start) + LIMIT_BURST).as_secs_f64();
        let bound = LIMIT.requests_per_second * duration + DAEMON_COUNT as f64;
        prop_assert!(
            domain.admitted as f64 <= bound,
            "{} admitted requests are above the bound of {bound}",
            domain.admitted
        );
        Ok(())
    });
}

#[test]
fn a_daemon_with_all_the_traffic_gets_the_pool_and_two_daemons_half_of_it_each() {
    let mut domain = FakeDomain::new();
    domain.apply(&LimitStep::Wait { millis: 3000 });
    domain.apply(&LimitStep::RequestShare { daemon: 0, wanted: POOL_SHARE_PPM });
    domain.apply(&LimitStep::DeliverGrant { index: 0, duplicated: false });
    let now = domain.now;
    let base = domain.views[0].base_share();
    assert_eq!(domain.tables[0].share("member", now), base + POOL_SHARE_PPM);
    for _ in 0..6 {
        domain.apply(&LimitStep::Wait { millis: 1000 });
        for daemon in [0, 1] {
            domain.apply(&LimitStep::RequestShare { daemon, wanted: POOL_SHARE_PPM });
            domain.apply(&LimitStep::DeliverGrant { index: 0, duplicated: false });
        }
    }
    let now = domain.now;
    for daemon in [0, 1] {
        assert_eq!(domain.tables[daemon].share("member", now), base + POOL_SHARE_PPM / 2);
    }
}

#[test]
fn an_account_with_a_limit_of_zero_gets_a_finite_retry_after() {
    let limit = AccountLimit { requests_per_second: 0.0, tokens_per_second: 0.0 };
    let mut table = LimitTable::default();
    table.set_base_share(FULL_SHARE_PPM);
    let refused =
        table.acquire(&account(), limit, 1, Timestamp::from_millis(1)).expect_err("a refusal");
    let retry = refused.retry_after.expect("a retry-after");
    assert!(retry <= Duration::from_secs(60), "{retry:?}");
}

#[test]
fn a_daemon_that_gets_no_grants_uses_its_base_share() {
    let mut domain = FakeDomain::new();
    domain.apply(&LimitStep::Burst { daemon: 3, requests: 1 });
    domain.apply(&LimitStep::Wait { millis: 60_000 });
    let now = domain.now;
    let base_share = (FULL_SHARE_PPM - POOL_SHARE_PPM) / DAEMON_COUNT as u32;
    assert_eq!(domain.tables[3].share("member", now), base_share);
    domain.apply(&LimitStep::Burst { daemon: 3, requests: 100 });
    // A tenth of 100 requests a second, accumulated for two seconds, and the request
    // of the first burst.
    assert_eq!(domain.admitted, 21);
    let refused = domain.tables[3].acquire(&account(), LIMIT, 1, now).expect_err("a refusal");
    assert_eq!((refused.reason.clone(), refused.status()), (RefusalReason::LimitReached, 429));
    assert!(refused.retry_after.is_some());
}
