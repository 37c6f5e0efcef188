//! The limit of the calls to the platform's API.

use std::time::Duration;

use gooseberry_core::{serving::call_rate::CallRate, time::Timestamp};

/// Guards against a second with more calls than the rate, wherever it begins.
#[test]
fn no_second_has_more_calls_than_the_rate() {
    for rate in [0.4, 1.0, 2.5, 10.0] {
        let mut calls = CallRate::new(rate);
        let times = (0..60_000).step_by(7).map(Timestamp::from_millis);
        let sent: Vec<_> = times.filter(|now| calls.try_call(*now)).collect();
        let span = Duration::from_secs_f64((1.0 / rate).max(1.0));
        for at in &sent {
            let count = sent.iter().filter(|it| **it >= *at && it.since(*at) <= span).count();
            assert!(count as f64 <= rate.max(1.0), "{count} calls at a rate of {rate}");
        }
        assert!(sent.len() as f64 > 60.0 * rate * 0.7, "{} calls at {rate}", sent.len());
    }
}

/// Guards against calls at a rate that allows none.
#[test]
fn a_rate_of_zero_allows_no_calls() {
    assert!(!CallRate::new(0.0).try_call(Timestamp::from_millis(1)));
}
