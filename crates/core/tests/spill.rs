//! Spill over links between regions keeps to the link's rate.

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

/// Rate of the link, in bytes a second.
const RATE: f64 = 1000.0;
/// Largest request with its answer, in bytes.
const LARGEST: u64 = 20_000;
/// Seconds of its rate that a link may save up.
const BURST: f64 = 2.0;

fn links(rate: f64) -> Vec<(SmolStr, f64)> {
    vec![(SmolStr::new("north-south"), rate)]
}

#[test]
fn the_volume_keeps_to_the_rate_and_one_request() {
    let config = Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    };
    let step = (0..4000_u64, 1..LARGEST, any::<bool>());
    let steps = proptest::collection::vec(step, 1..200);
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let start = Timestamp::from_millis(1_000_000);
        let mut now = start;
        let mut table = SpillTable::default();
        table.configure(&links(RATE), now);
        for (millis, bytes, edited) in steps {
            now = now + Duration::from_millis(millis);
            if edited {
                // An edit that leaves the link as it is gives it nothing.
                table.configure(&links(RATE), now);
            }
            if table.open_links(now).allows(LinkUse::Metered(0)) {
                table.record_request(0, bytes / 2, now);
                table.charge(0, bytes - bytes / 2, now);
            }
            let bound = RATE * (now.since(start).as_secs_f64() + BURST) + LARGEST as f64;
            let volume = table.volume(0).bytes;
            prop_assert!(volume as f64 <= bound, "{volume} above {bound}");
        }
        Ok(())
    });
    outcome.expect("the volume is bounded");
}

#[test]
fn a_link_without_a_rate_carries_nothing() {
    let now = Timestamp::from_millis(1000);
    let mut table = SpillTable::default();
    table.configure(&links(0.0), now);
    let open = table.open_links(now + Duration::from_secs(60));
    assert!(!open.allows(LinkUse::Metered(0)));
    assert!(!open.allows(LinkUse::Closed));
    assert!(open.allows(LinkUse::Local));
}
