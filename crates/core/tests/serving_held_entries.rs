//! Server entries that the key-value service has got back from a copy.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        directory::{EngineStage, ServerEntry},
        fleet::{OutdatedEntry, ServerFleet},
        held_entries::HeldEntries,
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn entry(started_at_ms: u64) -> ServerEntry {
    ServerEntry {
        id: "one".into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        slots: 6,
        software: "v1".into(),
        is_draining: false,
        stage: EngineStage::Mixed,
        is_reclaimable: false,
        started_at_ms: Some(started_at_ms),
        sequence: 1,
    }
}

#[test]
fn an_entry_of_an_earlier_start_is_outdated() {
    let mut fleet = ServerFleet::default();
    assert_eq!(fleet.outdated(&entry(5)), None);
    fleet.put(entry(5));
    assert_eq!(fleet.outdated(&entry(4)), Some(OutdatedEntry::EarlierStart));
    assert_eq!(fleet.outdated(&entry(5)), None);
    assert_eq!(fleet.outdated(&entry(6)), None);
}

#[test]
fn an_entry_that_was_removed_is_outdated() {
    let mut fleet = ServerFleet::default();
    fleet.put(entry(5));
    fleet.remove("one", START);
    assert_eq!(fleet.outdated(&entry(5)), Some(OutdatedEntry::Removed));
    assert_eq!(fleet.outdated(&entry(6)), None);
}

/// Guards against a server that lives and is never used again, because it had written its entry before
/// this daemon read the restored keys.
#[test]
fn an_entry_that_does_not_expire_counts_in_the_end() {
    let mut restored = HeldEntries::default();
    restored.hold(entry(5), START);
    let after = |seconds| START + Duration::from_secs(seconds);
    assert_eq!(restored.take_confirmed(after(9)), []);
    assert_eq!(restored.take_confirmed(after(10)), [entry(5)]);
    assert_eq!(restored.take_confirmed(after(11)), []);
    restored.hold(entry(5), after(20));
    restored.discard("one");
    assert_eq!(restored.take_confirmed(after(40)), []);
}

#[test]
fn an_entry_of_an_earlier_write_is_outdated() {
    let mut fleet = ServerFleet::default();
    fleet.put(ServerEntry { sequence: 3, ..entry(5) });
    let written = |sequence| ServerEntry { sequence, ..entry(5) };
    assert_eq!(fleet.outdated(&written(2)), Some(OutdatedEntry::EarlierWrite));
    assert_eq!(fleet.outdated(&written(3)), None);
    // The count starts anew with each start.
    assert_eq!(fleet.outdated(&ServerEntry { sequence: 1, ..entry(6) }), None);
}
