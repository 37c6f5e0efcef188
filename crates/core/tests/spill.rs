//! Requests that spill over a link between regions stay within the link's rate.

use std::time::Duration;

use gooseberry_core::{
    spill::{LinkUse, SpillTable},
    time::Timestamp,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use smol_str::SmolStr;

/// Rate of the link, in bytes per second.
const RATE_BYTES_PER_SECOND: f64 = 1000.0;
/// Upper bound of a request's size with its response, in bytes.
const MAX_REQUEST_BYTES: u64 = 20_000;
/// Burst that a link may accumulate, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

fn links(rate: f64) -> Vec<(SmolStr, f64)> {
    vec![(SmolStr::new("north-south"), rate)]
}

#[test]
fn the_volume_stays_within_the_rate_the_burst_and_one_request() {
    let config = Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    };
    let step = (0..4000_u64, 1..MAX_REQUEST_BYTES, any::<bool>());
    let steps = proptest::collection::vec(step, 1..200);
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let start = Timestamp::from_millis(1_000_000);
        let mut now = start;
        let mut table = SpillTable::default();
        table.configure(&links(RATE_BYTES_PER_SECOND), now);
        for (millis, bytes, reconfigured) in steps {
            now = now + Duration::from_millis(millis);
            if reconfigured {
                // A configuration change that keeps the link's rate adds nothing to its budget.
                table.configure(&links(RATE_BYTES_PER_SECOND), now);
            }
            if table.open_links(now).allows(LinkUse::Metered(0)) {
                table.record_request(0, bytes / 2, now);
                table.charge(0, bytes - bytes / 2, now);
            }
            let bound = RATE_BYTES_PER_SECOND * (now.since(start).as_secs_f64() + BURST_SECONDS)
                + MAX_REQUEST_BYTES as f64;
            let volume = table.volume(0).bytes;
            prop_assert!(
                volume as f64 <= bound,
                "a volume of {volume} bytes is above the bound of {bound} bytes"
            );
        }
        Ok(())
    });
    outcome.expect("the volume stays within the bound");
}

#[test]
fn a_link_with_a_rate_of_zero_is_never_open() {
    let now = Timestamp::from_millis(1000);
    let mut table = SpillTable::default();
    table.configure(&links(0.0), now);
    let open = table.open_links(now + Duration::from_secs(60));
    assert!(!open.allows(LinkUse::Metered(0)));
    assert!(!open.allows(LinkUse::Closed));
    assert!(open.allows(LinkUse::Local));
}
