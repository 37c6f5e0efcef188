//! A short soak with a fixed seed, and the seeds that have failed before.

use std::time::Duration;

use gooseberry_soak::{SoakOptions, SoakScenario};

fn soak(seed: u64, seconds: u64, daemons: usize) {
    soak_in(SoakScenario::Mixed, seed, seconds, daemons);
}

fn soak_in(scenario: SoakScenario, seed: u64, seconds: u64, daemons: usize) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let fault_period = Duration::from_secs(seconds);
    let options = SoakOptions { seed, fault_period, daemons, scenario };
    let report = gooseberry_soak::run(options, folder.path());
    assert!(report.served > 0, "no request was served: {report:?}");
    assert!(report.violations.is_empty(), "{:#?} after {:#?}", report.violations, report.faults);
}

/// Guards against a chat service that doesn't recover after faults: when a
/// server had dropped the responses of three chats, chats were refused as
/// crashing their servers.
#[test]
fn seed_102_recovers_after_lost_answers() {
    soak(102, 10, 4);
}

/// Guards against requests with a crashing prompt part that reach engine after engine.
#[test]
fn seed_9003_stops_requests_that_share_a_crashing_part() {
    soak(9003, 12, 4);
}

/// Guards against daemons that start after a conviction which could not be stored, and let further
/// engines crash.
#[test]
fn seed_9406_tells_restarted_daemons_of_a_crashing_part() {
    soak(9406, 12, 4);
}

/// Guards against a plain request that crashes server after server.
#[test]
fn seed_11001_stops_a_plain_request_that_crashes_servers() {
    soak(11001, 12, 4);
}

/// Guards against callers of daemons without links to servers that are refused.
#[test]
fn seed_12000_serves_callers_of_daemons_without_links() {
    soak(12000, 12, 4);
}

/// Guards against requests of daemons without links that all go to a daemon that refuses them.
#[test]
fn seed_12013_does_not_hand_requests_to_a_daemon_that_refuses() {
    soak(12013, 12, 4);
}

/// Guards against callers of daemons without links who are served far worse than others.
#[test]
fn seed_24007_serves_callers_of_daemons_without_links() {
    soak(24007, 12, 4);
}

/// Guards against the same while the store loses its answers and its history.
#[test]
fn seed_24010_serves_callers_of_daemons_without_links() {
    soak(24010, 12, 4);
}

/// Guards against the same after all daemons were killed.
#[test]
fn seed_70206_serves_callers_of_daemons_without_links_after_a_kill() {
    soak(70206, 12, 4);
}

/// Guards against the same after a route has moved.
#[test]
fn seed_70208_serves_callers_of_daemons_without_links_whose_route_moves() {
    soak(70208, 12, 4);
}

/// Guards against the same while nearly all requests of the other daemons are refused too.
#[test]
fn seed_80125_serves_callers_of_daemons_without_links_when_few_are_served() {
    soak(80125, 12, 4);
}

/// Guards against daemons that end by SIGTERM itself when they are stopped just after their start.
#[test]
fn seed_25024_stops_daemons_that_have_just_started() {
    soak(25024, 12, 4);
}

/// Guards against stand-ins whose refusals don't repeat the id of the request, so that none counts.
#[test]
fn seed_27039_counts_refusals_on_kept_connections() {
    soak(27039, 12, 4);
}

/// Guards against the same as seed 25024, after all daemons were killed.
#[test]
fn seed_28008_stops_daemons_that_have_just_started() {
    soak(28008, 12, 4);
}

/// Guards against callers of daemons without links who are refused after their route has moved.
#[test]
fn seed_28014_serves_callers_of_daemons_without_links_whose_route_moves() {
    soak(28014, 12, 4);
}

/// Guards against requests to servers whose entries were given up after an outage, once another follows.
#[test]
fn outages_in_a_row_return_no_server_that_left() {
    soak_in(SoakScenario::Outages, 2, 2, 4);
}

#[test]
fn short_soak_violates_no_invariant() {
    soak(1, 6, 3);
}

/// Guards against a store that comes back from copies of itself while leaders change and servers leave.
#[test]
fn seed_43002_follows_a_store_that_comes_back_from_copies() {
    soak_in(SoakScenario::Drills, 43002, 12, 4);
}
