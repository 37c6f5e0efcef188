//! The retry budget under arbitrary traffic and under a brown-out.

use std::time::Duration;

use gooseberry_core::{
    retries::{RetryBudget, MIN_RETRIES, RETRY_WINDOW},
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const SHARE: f64 = 0.1;
const START: Timestamp = Timestamp::from_millis(1_000_000);
const CASES: u32 = 500;
/// Most attempts for each request under a brown-out.
const AMPLIFICATION_LIMIT: f64 = 1.1;

#[derive(Clone, Debug)]
enum BudgetStep {
    First(u16),
    Retry(u16),
    Wait(Duration),
}

fn step() -> impl Strategy<Value = BudgetStep> {
    prop_oneof![
        (1..400_u16).prop_map(BudgetStep::First),
        (1..400_u16).prop_map(BudgetStep::Retry),
        (1..40_000_u64).prop_map(|millis| BudgetStep::Wait(Duration::from_millis(millis))),
    ]
}

fn since(times: &[Timestamp], now: Timestamp, span: Duration) -> u64 {
    times.iter().filter(|time| now.since(**time) < span).count() as u64
}

#[test]
fn retries_stay_within_the_share_or_the_floor() {
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
                    BudgetStep::First(count) => {
                        (0..count).for_each(|_| budget.record_first_attempt(now));
                        first.extend((0..count).map(|_| now));
                    }
                    BudgetStep::Retry(count) => {
                        let granted = (0..count).filter(|_| budget.try_acquire(SHARE, now));
                        let granted = granted.count();
                        retries.extend((0..granted).map(|_| now));
                    }
                    BudgetStep::Wait(span) => now = now + span,
                }
                let allowed = (since(&first, now, RETRY_WINDOW) as f64 * SHARE) as u64;
                let used = since(&retries, now, RETRY_WINDOW / 2);
                let first_before = since(&first, now, RETRY_WINDOW * 2);
                let allowed_before = (first_before as f64 * SHARE) as u64;
                prop_assert!(used <= allowed.max(allowed_before).max(MIN_RETRIES));
            }
            Ok(())
        })
        .expect("the property holds");
}

/// Runs requests of which each attempt fails, and returns the attempts for each.
fn amplification(requests_per_second: u64, span: Duration, attempts: u32) -> f64 {
    let mut budget = RetryBudget::default();
    let requests = requests_per_second * span.as_secs();
    let mut made = 0;
    for request in 0..requests {
        let now = START + Duration::from_millis(request * 1000 / requests_per_second);
        budget.record_first_attempt(now);
        made += 1;
        for _ in 1..attempts {
            if budget.try_acquire(SHARE, now) {
                made += 1;
            }
        }
    }
    made as f64 / requests as f64
}

#[test]
fn a_brown_out_is_not_amplified() {
    for (rate, seconds) in [(200, 10), (200, 600), (50, 60), (1000, 5)] {
        let attempts = amplification(rate, Duration::from_secs(seconds), 3);
        assert!(attempts <= AMPLIFICATION_LIMIT, "{attempts} at {rate} a second");
    }
}

#[test]
fn a_service_with_little_traffic_has_the_floor() {
    let mut budget = RetryBudget::default();
    budget.record_first_attempt(START);
    let granted = (0..100).filter(|_| budget.try_acquire(SHARE, START)).count() as u64;
    assert_eq!(granted, MIN_RETRIES);
    assert!(budget.try_acquire(SHARE, START + RETRY_WINDOW));
}
