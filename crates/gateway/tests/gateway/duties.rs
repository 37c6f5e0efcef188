//! Duties of the leader at the platform's API, and usage reports.

use std::{
    collections::{BTreeMap, HashMap},
    thread,
    time::Duration,
};

use async_std::task;
use gooseberry_core::time::Timestamp;
use gooseberry_edges::clock::{Clock, ManualClock};
use gooseberry_gateway::{
    duties::{DutyAuthority, DutyOutcome, LeaderLease},
    settings::DutyOptions,
};
use gooseberry_platform::{
    duties::DutyRequest,
    store::{StoreEndpoint, StoreError},
};
use gooseberry_standins::gateway_mocks::{
    ApiBehaviour, DutyCall, StandinApi, StandinStore, StoreBehaviour,
};
use serde_json::{json, Value};

use crate::support::{self, System};

fn settings(api: &StandinApi) -> Value {
    json!({
        "platform_api": api.address.to_string(), "duties": ["usage_report"], "duty_rate": 20.0,
        "report_window_s": 1.0, "usage_late_s": 20.0, "lease_ms": 3000,
    })
}

fn start(store: &StandinStore, name: &str, api: &StandinApi) -> System {
    let system = System::start_with(store.clone(), name, settings(api));
    system.configure(1);
    system.wait_version(1);
    system
}

/// Returns the number of requests that the API has accepted for an account, once for each window.
fn reported(calls: &[DutyCall], account: &str) -> u64 {
    let mut counts = HashMap::new();
    for call in calls {
        let report: Value = serde_json::from_str(&call.body).expect("a report in JSON");
        let count = report["counts"][account].as_u64().unwrap_or_default();
        counts.insert(report["window-id"].as_u64().expect("a window"), count);
    }
    counts.values().sum()
}

/// Checks that all reports of a window have the same bytes, and that tokens never fall.
fn check(calls: &[DutyCall]) {
    let mut bodies = BTreeMap::new();
    let mut holders = HashMap::new();
    for call in calls {
        assert_eq!(call.path, "/usage");
        let report: Value = serde_json::from_str(&call.body).expect("a report in JSON");
        let first = bodies.entry(report["window-id"].as_u64()).or_insert_with(|| call.body.clone());
        assert_eq!(*first, call.body);
        let holder = holders.entry(call.token).or_insert_with(|| call.holder.clone());
        assert_eq!(*holder, call.holder, "two holders sent the same token");
    }
    assert!(calls.is_sorted_by_key(|call| call.token));
}

fn record(system: &System, account: &str, count: u64) {
    for _ in 0..count {
        system.gateway.usage.record(&account.into());
    }
}

fn stored_reports(store: &StandinStore) -> Vec<String> {
    let keys = store.keys();
    let reports = keys.iter().filter(|key| key.starts_with("gateway/usage/"));
    reports.filter_map(|key| store.value_text(key)).collect()
}

/// Guards against reports that lack the requests of another daemon, and against ones that aren't stored.
#[test]
fn the_leader_reports_the_requests_of_all_daemons() {
    let (store, api) = (StandinStore::start(), StandinApi::start());
    let one = start(&store, "daemon-1", &api);
    let two = start(&store, "daemon-2", &api);
    support::wait_for(|| !api.calls().is_empty());
    record(&one, "alpha", 3);
    record(&two, "alpha", 4);
    record(&two, "beta", 1);
    support::wait_for(|| reported(&api.calls(), "alpha") >= 7);
    support::wait_for(|| reported(&api.calls(), "beta") >= 1);
    let calls = api.calls();
    check(&calls);
    assert_eq!((reported(&calls, "alpha"), reported(&calls, "beta")), (7, 1));
    let stored = stored_reports(&store);
    assert!(calls.iter().all(|call| stored.contains(&call.body)));
}

/// Guards against a report that changes when it is repeated: after a refusal, after an outage of the API,
/// and after an answer was lost.
#[test]
fn reports_are_repeated_byte_for_byte_until_they_are_accepted() {
    let (store, api) = (StandinStore::start(), StandinApi::start());
    let one = start(&store, "daemon-1", &api);
    for behaviour in
        [ApiBehaviour::Refusing(429), ApiBehaviour::DroppingResponses, ApiBehaviour::Refusing(500)]
    {
        api.set_behaviour(behaviour);
        record(&one, "alpha", 1);
        let repeated = || {
            let calls = api.calls();
            let last = calls.last().cloned();
            calls.iter().filter(|call| Some(*call) == last.as_ref()).count() > 1
        };
        support::wait_for(repeated);
    }
    api.set_behaviour(ApiBehaviour::Down);
    record(&one, "alpha", 1);
    thread::sleep(Duration::from_secs(10));
    let before = api.calls().len();
    api.set_behaviour(ApiBehaviour::Accepting);
    support::wait_for(|| api.calls().len() > before && reported(&api.calls(), "alpha") == 4);
    check(&api.calls());
}

/// Guards against a second report of a window whose leader ended after it had stored the first one, and
/// against a window that nobody reports.
#[test]
fn the_next_leader_sends_what_the_previous_one_stored() {
    let (store, api) = (StandinStore::start(), StandinApi::start());
    let one = start(&store, "daemon-1", &api);
    support::wait_for(|| !api.calls().is_empty());
    api.set_behaviour(ApiBehaviour::Down);
    record(&one, "alpha", 5);
    let has_stored =
        |store: &StandinStore| stored_reports(store).iter().any(|text| text.contains("alpha"));
    support::wait_for(|| has_stored(&store));
    one.gateway.set_stopping();
    let two = start(&store, "daemon-2", &api);
    record(&two, "alpha", 2);
    api.set_behaviour(ApiBehaviour::Accepting);
    support::wait_for(|| reported(&api.calls(), "alpha") == 7);
    let calls = api.calls();
    check(&calls);
    assert_eq!(calls.last().map(|call| call.holder.as_str()), Some("daemon-2"));
}

/// Guards against two different reports of a window, the second one from a store that has come back from
/// a copy without the first.
#[test]
fn no_window_is_reported_differently_after_the_store_came_back_from_a_copy() {
    let (store, api) = (StandinStore::start(), StandinApi::start());
    store.state_era(1);
    let one = start(&store, "daemon-1", &api);
    let copy = store.copy();
    support::wait_for(|| api.calls().len() >= 2);
    record(&one, "alpha", 2);
    support::wait_for(|| reported(&api.calls(), "alpha") == 2);
    store.restore(&copy);
    let before = api.calls().last().map_or(0, |call| call.token);
    record(&one, "alpha", 1);
    support::wait_for(|| api.calls().last().is_some_and(|call| call.token > before));
    record(&one, "alpha", 3);
    support::wait_for(|| reported(&api.calls(), "alpha") >= 5);
    check(&api.calls());
}

/// Guards against a call on authority that lapsed in a suspension during the renewal of the lease.
#[test]
fn nothing_is_sent_after_a_suspension_during_the_renewal() {
    let (store, api) = (StandinStore::start(), StandinApi::start());
    let manual = ManualClock::at(Timestamp::from_millis(1_000_000));
    let limit = Duration::from_secs(5);
    let mut client = StoreEndpoint::new(store.address).client();
    let lease = task::block_on(client.grant_lease(limit, limit)).expect("a lease");
    let options = DutyOptions {
        api: api.address,
        duties: Vec::new(),
        rate: 20.0,
        requires_fencing: false,
        turn_interval: Duration::from_secs(3),
        thaw: Duration::from_millis(300),
        report_window: Duration::from_secs(5),
        report_delay: Duration::from_secs(10),
    };
    let lease = LeaderLease { lease, clock: Clock::Manual(manual.clone()) };
    let mut authority = DutyAuthority::new(options, "daemon-1".into(), 7, lease);
    let request = DutyRequest::replicas("model", "a", 3, true);
    let accepted = task::block_on(authority.call(&mut client, &request)).expect("is called");
    assert_eq!((accepted, api.calls().len()), (DutyOutcome::Accepted, 1));
    store.set_behaviour(StoreBehaviour::Slow(Duration::from_millis(200)));
    let suspending = thread::spawn(move || {
        thread::sleep(Duration::from_millis(100));
        manual.suspend(Duration::from_secs(6));
    });
    let result = task::block_on(authority.call(&mut client, &request));
    suspending.join().expect("the suspension ends");
    assert!(matches!(result, Err(StoreError::TimedOut(_))), "{result:?}");
    assert_eq!(api.calls().len(), 1);
}
