//! How memory is shared among callers and taken from those who stall.

use std::time::Duration;

use gooseberry_core::{
    serving::caller_memory::{
        self, BodyProgress, FloodTracker, HolderKey, HolderKind, MemoryLedger, MemoryLimits,
    },
    time::Timestamp,
};
use proptest::prelude::*;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const LARGE: u64 = 4 * 1024 * 1024;
const SMALL: u64 = 100_000;

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn ledger() -> MemoryLedger {
    MemoryLedger::new(MemoryLimits {
        total_bytes: 4 * LARGE,
        small_reserve_bytes: LARGE,
        connections: 100,
        peer_connections: 10,
    })
}

/// Adds a request whose caller made progress last at a time.
fn stalled_request(ledger: &mut MemoryLedger, bytes: u64, since: Timestamp) -> HolderKey {
    let key = ledger.open(HolderKind::Request);
    ledger.resize(key, bytes, since).expect("room for the request");
    ledger.set_stalled_since(key, Some(since));
    key
}

/// Guards against limits that the smallest VM can't keep or one body can't fit in.
#[test]
fn the_limits_suit_each_vm() {
    for (memory_mb, descriptors) in [(64, 256), (120, 3_075), (256, 4_096), (512, 10_250)] {
        let limits = MemoryLimits::new(memory_mb * 1_000_000, descriptors);
        assert!(limits.total_bytes - limits.small_reserve_bytes > LARGE, "{limits:?}");
        assert!(limits.total_bytes + 30_000_000 < memory_mb * 800_000, "{limits:?}");
        // Each connection may need another one to a server.
        assert!((limits.connections + limits.peer_connections) as u64 * 2 <= descriptors - 64);
    }
    // 60 requests/s, each on a connection of its own that is kept for 6 s.
    assert!(MemoryLimits::new(120_000_000, 3_075).connections > 360);
}

/// Guards against all responses exceeding the bound that wait for memory at the same time.
#[test]
fn large_responses_exceed_the_bound_by_a_part_of_it_or_one_at_a_time() {
    let mut ledger = ledger();
    let responses: Vec<_> = (0..12).map(|_| ledger.open(HolderKind::Response)).collect();
    for key in &responses {
        ledger.resize(*key, LARGE / 4, START).expect("room for a part");
    }
    for key in &responses {
        ledger.resize(*key, 2 * LARGE, START).expect_err("no room for the rest");
    }
    let [first, second, third, ..] = responses[..] else { panic!("too few responses") };
    assert!(ledger.overdraw(first, 2 * LARGE), "a part of the bound");
    assert!(!ledger.overdraw(second, 2 * LARGE), "the part is used");
    assert!(ledger.overdraw(first, 4 * LARGE), "one may exceed it by any size");
    assert!(!ledger.overdraw(second, LARGE / 2), "not a second one");
    assert!(ledger.overdraw(third, SMALL), "a small one may always");
    ledger.close(first);
    assert!(ledger.overdraw(second, 4 * LARGE), "the first one has ended");
    assert!(ledger.held_bytes() < 7 * LARGE, "{}", ledger.held_bytes());
}

/// Guards against shedding a caller that is sending in favour of one that has stalled.
#[test]
fn the_longest_stalled_is_shed_first() {
    let mut ledger = ledger();
    let newer = stalled_request(&mut ledger, LARGE, at(500));
    let oldest = stalled_request(&mut ledger, LARGE, at(0));
    let active = stalled_request(&mut ledger, LARGE, at(990));
    let key = ledger.open(HolderKind::Request);
    let shed = ledger.resize(key, LARGE, at(1000)).expect("room after shedding");
    assert_eq!(shed.iter().map(|shed| shed.key).collect::<Vec<_>>(), [oldest]);
    assert_eq!(shed[0].stalled, Duration::from_millis(1000));
    assert!(ledger.contains(newer) && ledger.contains(active) && !ledger.contains(oldest));
    assert_eq!(ledger.held_bytes(), 3 * LARGE);
}

/// Guards against cutting off requests that servers run, and callers that are sending.
#[test]
fn a_request_is_refused_if_nobody_has_stalled() {
    let mut ledger = ledger();
    for _ in 0..3 {
        let key = ledger.open(HolderKind::Request);
        ledger.resize(key, LARGE, at(0)).expect("room");
    }
    let key = ledger.open(HolderKind::Request);
    let fault = ledger.resize(key, LARGE, at(60_000)).expect_err("no room");
    assert_eq!(fault.held_bytes, 3 * LARGE);
    assert_eq!(ledger.held_bytes(), 3 * LARGE);
}

/// Guards against shedding holders although that doesn't make enough room.
#[test]
fn nobody_is_shed_in_vain() {
    let mut ledger = ledger();
    let stalled = stalled_request(&mut ledger, SMALL, at(0));
    let running = ledger.open(HolderKind::Request);
    ledger.resize(running, 3 * LARGE - SMALL, at(0)).expect("room");
    let key = ledger.open(HolderKind::Request);
    ledger.resize(key, LARGE, at(5000)).expect_err("no room");
    assert!(ledger.contains(stalled));
}

/// Guards against a flood of large bodies locking out ordinary callers.
#[test]
fn small_bodies_find_room_when_large_ones_have_taken_all() {
    let mut ledger = ledger();
    while {
        let key = ledger.open(HolderKind::Request);
        ledger.resize(key, LARGE, at(0)).is_ok()
    } {}
    for _ in 0..LARGE / SMALL {
        let key = ledger.open(HolderKind::Request);
        assert_eq!(ledger.resize(key, SMALL, at(0)), Ok(Vec::new()));
    }
}

/// Guards against a body growing further after it was shed.
#[test]
fn a_shed_holder_gets_no_memory() {
    let mut ledger = ledger();
    let key = stalled_request(&mut ledger, SMALL, at(0));
    assert_eq!(ledger.shed_longest_stalled(at(100)), None);
    let shed = ledger.shed_longest_stalled(at(300)).expect("a stalled request");
    assert_eq!((shed.key, shed.kind), (key, HolderKind::Request));
    assert_eq!(ledger.resize(key, LARGE, at(300)), Ok(Vec::new()));
    assert!(!ledger.contains(key));
    assert_eq!(ledger.held_bytes(), 0);
}

/// Guards against a body that stalls or trickles holding its memory, and against a timeout of a
/// long body that keeps coming.
#[test]
fn a_body_below_the_least_rate_is_too_slow() {
    let mut fast = BodyProgress::new(1000, at(0));
    for second in 1..60 {
        assert!(fast.record(1000, at(second * 1000)), "{second} s");
    }
    let mut stalled = BodyProgress::new(1000, at(0));
    assert!(stalled.record(4_000_000, at(100)));
    assert_eq!(stalled.time_left(at(100)), Duration::from_millis(4900));
    assert!(stalled.record(0, at(5000)));
    assert!(!stalled.record(100, at(10_000)));
}

/// Guards against a log line for each connection of a flood.
#[test]
fn a_flood_is_recorded_once() {
    let mut floods = FloodTracker::default();
    let begun = (0..100).filter(|step| floods.record(at(step * 500))).count();
    assert_eq!(begun, 1);
    assert!(floods.record(at(100_000)));
}

/// Guards against a copy for each fragment, and against a buffer far larger than its body.
#[test]
fn a_buffer_doubles_up_to_its_longest_size() {
    let next = caller_memory::next_capacity;
    assert_eq!(next(0, 10, 1 << 22), 2048);
    assert_eq!(next(0, 10, 10), 10);
    assert_eq!(next(1 << 16, (1 << 16) + 1, 1 << 22), 1 << 17);
    assert_eq!(next(1 << 16, 70_000, 70_000), 70_000);
}

proptest! {
    /// Guards against the ledger losing count of what is held, and against its passing the bound.
    #[test]
    fn the_ledger_counts_what_is_held(
        steps in prop::collection::vec((0..8_usize, 0..2 * LARGE, 0..3_u8, 0..2000_u64), 1..200),
    ) {
        let mut ledger = ledger();
        let mut now = 0;
        let mut held: Vec<Option<(HolderKey, u64)>> = vec![None; 8];
        for (slot, bytes, action, pause) in steps {
            now += pause;
            let key = match held[slot] {
                Some((key, _)) => key,
                None => ledger.open(HolderKind::Request),
            };
            if action == 0 {
                ledger.close(key);
                held[slot] = None;
            } else if let Ok(shed) = ledger.resize(key, bytes, at(now)) {
                held[slot] = Some((key, bytes));
                held.iter_mut().for_each(|slot| {
                    *slot = slot.filter(|(key, _)| shed.iter().all(|shed| shed.key != *key));
                });
                ledger.set_stalled_since(key, (action == 1).then_some(at(now)));
            } else if held[slot].is_none() {
                ledger.close(key);
            }
            let sum = held.iter().flatten().map(|(_, bytes)| bytes).sum::<u64>();
            prop_assert_eq!(ledger.held_bytes(), sum);
            prop_assert!(sum <= 4 * LARGE);
        }
    }
}
