//! Which software version began a stream: records of streams, and the versions that a service has
//! had. A wrong answer joins what two versions wrote, so in doubt there must be none.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::{
    serving::{
        directory::{EngineStage, ServerEntry},
        fleet::ServerFleet,
        software::{SoftwareKey, StreamKey, StreamOrigins, VersionHistory},
        stage_demand::StageDemand,
        stages,
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Longer than a stream may be resumed.
const LONG: Duration = Duration::from_secs(21);

fn entry(id: &str, service: &str, software: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: service.into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 64,
        software: software.into(),
        is_draining: false,
        stage: EngineStage::Decode,
        is_reclaimable: false,
        started_at_ms: None,
        sequence: 1,
    }
}

fn key(software: &str) -> SoftwareKey {
    SoftwareKey::of(&entry("any", "model", software))
}

#[test]
fn versions_of_different_services_differ() {
    assert_ne!(key("v1"), key("v2"));
    assert_ne!(key("v1"), SoftwareKey::of(&entry("any", "other", "v1")));
    assert_eq!(key("v1"), SoftwareKey::of(&entry("another", "model", "v1")));
}

fn software(origins: &StreamOrigins, stream: StreamKey) -> Option<SoftwareKey> {
    origins.knowledge(stream, &ServerFleet::default()).known()
}

#[test]
fn the_last_record_of_a_stream_counts_until_it_expires() {
    let mut origins = StreamOrigins::default();
    let stream = StreamKey::of("one");
    origins.record(stream, key("v1"), START);
    let later = START + Duration::from_secs(15);
    origins.record(stream, key("v2"), later);
    // The first record expires, the second doesn't.
    origins.record(StreamKey::of("two"), key("v1"), START + LONG);
    assert_eq!(software(&origins, stream), Some(key("v2")));
    origins.record(StreamKey::of("three"), key("v1"), later + LONG);
    assert_eq!(software(&origins, stream), None);
}

#[test]
fn records_of_streams_are_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..100_000 {
        origins.record(StreamKey(number), key("v1"), START);
    }
    assert_eq!(software(&origins, StreamKey(0)), None);
    assert_eq!(software(&origins, StreamKey(99_999)), Some(key("v1")));
    let known = (0..100_000).filter(|number| software(&origins, StreamKey(*number)).is_some());
    assert!(known.count() <= 32_768);
}

fn fleet(versions: &[&str]) -> ServerFleet {
    let mut fleet = ServerFleet::default();
    for (number, software) in versions.iter().enumerate() {
        fleet.put(entry(&format!("e{number}"), "model", software));
    }
    fleet.put(entry("plain", "other", "v9"));
    fleet
}

#[test]
fn a_single_version_is_sure_only_after_a_complete_history() {
    let fleet = fleet(&["v1", "v1"]);
    let mut history = VersionHistory::default();
    let sole = |history: &VersionHistory, now| history.sole_version("model", &fleet, now);
    assert_eq!(sole(&history, START + LONG), None, "nothing was read from the store");
    history.record_complete(START);
    assert_eq!(sole(&history, START + Duration::from_secs(10)), None, "the daemon is new");
    assert_eq!(sole(&history, START + LONG), Some(key("v1")));
    history.record_gap();
    assert_eq!(sole(&history, START + LONG), None, "the store is unreachable");
    history.record_complete(START + LONG);
    assert_eq!(sole(&history, START + LONG + Duration::from_secs(10)), None, "after an outage");
    assert_eq!(sole(&history, START + LONG * 2), Some(key("v1")));
}

#[test]
fn versions_side_by_side_leave_the_origin_open() {
    let fleet = fleet(&["v1", "v2"]);
    let mut history = VersionHistory::default();
    history.record_complete(START);
    assert_eq!(history.sole_version("model", &fleet, START + LONG), None);
    assert!(history.sole_version("other", &fleet, START + LONG).is_some());
}

#[test]
fn a_version_that_has_gone_counts_while_its_streams_may_be_resumed() {
    let fleet = fleet(&["v2"]);
    let mut history = VersionHistory::default();
    history.record_complete(START);
    let gone_at = START + LONG;
    history.record_departure(&entry("old", "model", "v1"), gone_at);
    history.record_departure(&entry("other", "other", "v8"), gone_at);
    assert_eq!(history.sole_version("model", &fleet, gone_at + Duration::from_secs(10)), None);
    assert_eq!(history.sole_version("model", &fleet, gone_at + LONG), Some(key("v2")));
}

/// Guards against streams that can't be resumed because all engines of their version prefill.
#[test]
fn stage_changes_leave_each_version_a_decode_engine() {
    // Each domain has one decode engine too many; the idle ones would change first.
    let mut fleet = ServerFleet::default();
    for (id, domain, software) in
        [("old-a", "a", "v1"), ("new-a", "a", "v2"), ("old-b", "b", "v1"), ("new-b", "b", "v2")]
    {
        fleet.put(ServerEntry { domain: domain.into(), ..entry(id, "model", software) });
        let prefill = entry(&format!("{id}-prefill"), "model", software);
        fleet.put(ServerEntry { domain: domain.into(), stage: EngineStage::Prefill, ..prefill });
    }
    for id in ["old-a", "old-b"] {
        let server = fleet.key(id).expect("known server");
        fleet.server_mut(server).running = 5;
    }
    let changes = stages::plan(&fleet, &"model".into(), &StageDemand::default(), &HashMap::new());
    let mut changed = Vec::new();
    for change in &changes {
        assert_eq!(change.stage, EngineStage::Prefill);
        changed.push(fleet.server(change.engine).entry.software.as_str());
    }
    assert_eq!(changed, ["v2", "v1"], "one decode engine of each version must remain");
}
