//! How long a server is used whose entry is missing.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        directory::{EngineStage, ServerEntry},
        fleet::ServerFleet,
        watch_plan::{RelayFailure, WatchPlan, WatchSource},
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Time after the first response for which a missing entry may still come back.
const REWRITE_MS: u64 = 2000;

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 6,
        software: "v1".into(),
        is_draining: false,
        stage: EngineStage::Mixed,
        is_reclaimable: false,
        started_at_ms: Some(1),
        sequence: 1,
    }
}

fn is_usable(fleet: &ServerFleet, now: Timestamp) -> bool {
    fleet.server(fleet.key("one").expect("known server")).is_usable(now)
}

/// A fleet whose only entry is found missing after an outage that ends at 0 ms.
fn fleet_with_lapsed_entry() -> ServerFleet {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one"));
    fleet.connectivity.record_failure(START - Duration::from_millis(100));
    fleet.record_store_response(START, START);
    fleet.remove("one", START);
    assert!(is_usable(&fleet, after(REWRITE_MS - 1)));
    fleet
}

#[test]
fn a_server_that_was_given_up_is_not_used_again_after_a_later_outage() {
    let mut fleet = fleet_with_lapsed_entry();
    assert!(!is_usable(&fleet, after(9000)));
    fleet.connectivity.record_failure(after(9000));
    fleet.record_store_response(after(9200), after(9200));
    assert!(!is_usable(&fleet, after(9300)));
}

#[test]
fn failures_in_a_row_do_not_keep_a_server_in_use_whose_entry_is_missing() {
    let mut fleet = fleet_with_lapsed_entry();
    for number in 1..8 {
        let failed_ms = number * 1500;
        fleet.connectivity.record_failure(after(failed_ms));
        fleet.record_store_response(after(failed_ms + 100), after(failed_ms + 100));
        let now = after(failed_ms + 600);
        assert!(now < after(REWRITE_MS) || !is_usable(&fleet, now), "used at {failed_ms} + 600 ms");
    }
}

#[test]
fn a_server_that_said_it_leaves_gets_no_requests_when_its_entry_returns() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry("one"));
    let key = fleet.key("one").expect("known server");
    fleet.server_mut(key).is_leaving = true;
    fleet.remove("one", START);
    fleet.put(entry("one"));
    assert!(!is_usable(&fleet, START));
    fleet.remove("one", START);
    fleet.put(ServerEntry { started_at_ms: Some(2), ..entry("one") });
    assert!(is_usable(&fleet, START));
}

/// A member of a relayed domain is in touch again 4 s after its cut has healed, the least `stable-ms`
/// of the deployments with relays.
#[test]
fn a_relay_that_does_not_respond_delays_no_call_of_a_member_that_returns() {
    const STABLE_MS: u64 = 4000;
    const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
    let phases = (20_000..24_000).step_by(20).map(after);
    // The relay refuses some requests at once after each failed call to the service, then stops
    // responding.
    for (healed_at, refusals) in phases.flat_map(|at| (0..8).map(move |count| (at, count))) {
        let mut refused = 0;
        let mut plan = WatchPlan::new(healed_at.as_millis(), START);
        let mut now = START;
        let returned_at = loop {
            match plan.source(true, now) {
                WatchSource::Store if now >= healed_at => break now,
                WatchSource::Store => {
                    now = now + CALL_TIMEOUT;
                    now = now + plan.store_failed(true, now);
                    refused = 0;
                }
                WatchSource::Relay => {
                    if refused < refusals {
                        refused += 1;
                    } else {
                        now = now + plan.relay_call(true, now).timeout;
                    }
                    let delay = plan.relay_failed(RelayFailure::Unreachable, now);
                    now = now + delay.unwrap_or_default();
                }
            }
        };
        let waited = returned_at.since(healed_at);
        assert!(waited < Duration::from_millis(STABLE_MS), "{waited:?}");
    }
}

#[test]
fn an_old_list_of_a_relay_does_not_end_an_outage() {
    let mut fleet = ServerFleet::default();
    fleet.connectivity.record_failure(START);
    fleet.record_store_response(START - Duration::from_millis(500), after(100));
    assert!(fleet.connectivity.is_unreachable());
    fleet.record_store_response(after(50), after(200));
    assert!(!fleet.connectivity.is_unreachable());
}
