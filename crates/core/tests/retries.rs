//! The retry budget under arbitrary traffic, and under a brown-out in which every
//! attempt fails.

use std::time::Duration;

use gooseberry_core::{
    retries::{RetryBudget, MIN_RETRIES, RETRY_WINDOW},
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const RETRY_SHARE: f64 = 0.1;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const CASES: u32 = 500;
/// Largest number of attempts per request under a brown-out.
const AMPLIFICATION_LIMIT: f64 = 1.1;

#[derive(Clone, Debug)]
enum BudgetStep {
    FirstAttempts(u16),
    Retries(u16),
    Wait(Duration),
}

fn step() -> impl Strategy<Value = BudgetStep> {
    prop_oneof![
        (1..400_u16).prop_map(BudgetStep::FirstAttempts),
        (1..400_u16).prop_map(BudgetStep::Retries),
        (1..40_000_u64).prop_map(|millis| BudgetStep::Wait(Duration::from_millis(millis))),
    ]
}

/// Returns how many of the times lie within the window that ends now.
fn count_within(times: &[Timestamp], now: Timestamp, window: Duration) -> u64 {
    times.iter().filter(|time| now.since(**time) < window).count() as u64
}

#[test]
fn retries_stay_within_the_share_or_the_minimum() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec(step(), 0..60);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut budget = RetryBudget::default();
            let (mut first, mut retries) = (Vec::new(), Vec::new());
            let mut now = START;
            for step in steps {
                match step {
                    BudgetStep::FirstAttempts(count) => {
                        (0..count).for_each(|_| budget.record_first_attempt(now));
                        first.extend((0..count).map(|_| now));
                    }
                    BudgetStep::Retries(count) => {
                        let granted = (0..count).filter(|_| budget.try_acquire(RETRY_SHARE, now));
                        let granted = granted.count();
                        retries.extend((0..granted).map(|_| now));
                    }
                    BudgetStep::Wait(duration) => now = now + duration,
                }
                let allowed = (count_within(&first, now, RETRY_WINDOW) as f64 * RETRY_SHARE) as u64;
                let used = count_within(&retries, now, RETRY_WINDOW / 2);
                let first_before = count_within(&first, now, RETRY_WINDOW * 2);
                let allowed_before = (first_before as f64 * RETRY_SHARE) as u64;
                prop_assert!(used <= allowed.max(allowed_before).max(MIN_RETRIES));
            }
            Ok(())
        })
        .expect("retries stay within the budget");
}

/// Runs requests whose attempts all fail. Returns the attempts per request.
fn amplification(requests_per_second: u64, duration: Duration, attempts: u32) -> f64 {
    let mut budget = RetryBudget::default();
    let requests = requests_per_second * duration.as_secs();
    let mut attempt_count = 0;
    for request in 0..requests {
        let now = START + Duration::from_millis(request * 1000 / requests_per_second);
        budget.record_first_attempt(now);
        attempt_count += 1;
        for _ in 1..attempts {
            if budget.try_acquire(RETRY_SHARE, now) {
                attempt_count += 1;
            }
        }
    }
    attempt_count as f64 / requests as f64
}

#[test]
fn a_brown_out_is_not_amplified() {
    for (rate, seconds) in [(200, 10), (200, 600), (50, 60), (1000, 5)] {
        let attempts = amplification(rate, Duration::from_secs(seconds), 3);
        assert!(
            attempts <= AMPLIFICATION_LIMIT,
            "{attempts} attempts per request at {rate} requests a second"
        );
    }
}

#[test]
fn a_service_with_little_traffic_gets_the_minimum_of_retries() {
    let mut budget = RetryBudget::default();
    budget.record_first_attempt(START);
    let granted = (0..100).filter(|_| budget.try_acquire(RETRY_SHARE, START)).count() as u64;
    assert_eq!(granted, MIN_RETRIES);
    assert!(budget.try_acquire(RETRY_SHARE, START + RETRY_WINDOW));
}
