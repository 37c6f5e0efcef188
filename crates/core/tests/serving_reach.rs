//! When a daemon counts as cut off from a service.

use std::time::Duration;

use gooseberry_core::{
    arena::{Arena, EngineKey},
    serving::reach::ServiceReach,
    time::Timestamp,
};

const PEER: u64 = 7;
const SERVERS: usize = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000) + Duration::from_millis(millis)
}

fn keys() -> Vec<EngineKey> {
    let mut servers: Arena<EngineKey, ()> = Arena::default();
    (0..SERVERS).map(|_| servers.push(())).collect()
}

/// Returns the reach of a service of which two servers failed, the first at 0 ms.
fn failing() -> ServiceReach {
    let mut reach = ServiceReach::default();
    reach.record_failure(keys()[0], at(0));
    reach.record_failure(keys()[1], at(300));
    reach
}

#[test]
fn a_service_that_another_daemon_reaches_since_the_failures_is_cut_off() {
    let mut reach = failing();
    assert!(reach.is_suspect(SERVERS));
    reach.record_report(PEER, at(400));
    assert!(reach.decide(SERVERS));
    assert!(reach.is_cut());
    assert_eq!(reach.reaching_daemons(at(500)).collect::<Vec<_>>(), [PEER]);
    assert_eq!(reach.reaching_daemons(at(2000)).count(), 0);
}

#[test]
fn a_report_from_before_the_failures_shows_nothing() {
    let mut reach = failing();
    reach.record_report(PEER, at(50));
    assert!(!reach.decide(SERVERS), "what was in flight at a crash may arrive that late");
    assert!(!reach.is_cut());
}

#[test]
fn one_server_or_failures_with_a_success_between_them_are_no_cut() {
    let mut reach = ServiceReach::default();
    reach.record_failure(keys()[0], at(0));
    reach.record_failure(keys()[0], at(300));
    reach.record_report(PEER, at(400));
    assert!(!reach.decide(SERVERS), "the same server");
    reach.record_success();
    reach.record_failure(keys()[1], at(500));
    reach.record_report(PEER, at(900));
    assert!(!reach.decide(SERVERS), "another daemon may reach one that is reached here, too");
    assert!(reach.is_suspect(1), "of a single server one failure is all there is");
}

#[test]
fn a_cut_ends_once_half_of_a_check_succeeds() {
    let mut reach = failing();
    reach.record_report(PEER, at(400));
    assert!(reach.decide(SERVERS));
    reach.record_success();
    assert!(reach.is_cut(), "a single link may be left");
    assert!(!reach.record_check(1, 3));
    assert!(reach.record_check(2, 3));
    assert!(!reach.is_cut());
    assert!(!reach.is_suspect(SERVERS));
}
