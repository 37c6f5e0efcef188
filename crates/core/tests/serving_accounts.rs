//! The table of client accounts and the decision about a request.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        accounts::{
            self, AccountCounter, AccountDecision, AccountKey, AccountRequest, AccountTable,
            ConfigurationKnowledge, KeySecret, KeyState, RevocationPolicy, CONFIRMED_AGE_LIMIT,
        },
        configuration::AccountSpec,
    },
    time::Timestamp,
};
use proptest::prelude::*;

fn spec(name: &str, keys: &[&str]) -> AccountSpec {
    AccountSpec {
        name: name.into(),
        keys: keys.iter().copied().map(Into::into).collect(),
        priority: None,
    }
}

fn strict(limit_ms: u64) -> RevocationPolicy {
    RevocationPolicy { is_strict: true, limit: Duration::from_millis(limit_ms) }
}

/// Guards against keys that are found for the wrong account, or found although they are empty.
#[test]
fn a_key_is_found_with_its_account() {
    let secret = KeySecret::new([7; 32]);
    let specs = [spec("a", &["one", "two", ""]), spec("b", &[]), spec("c", &["three", "one"])];
    let table = AccountTable::new(&specs, &secret);
    let find = |key: &str| table.find(&secret.digest(key.as_bytes())).map(|row| row.name.as_str());
    assert_eq!([find("one"), find("two"), find("three")], [Some("a"), Some("a"), Some("c")]);
    assert_eq!([find(""), find("on"), find("One")], [None, None, None]);
    let row = table.find(&secret.digest(b"three")).expect("a known key");
    assert_eq!(row.key, AccountKey::of("c"));
    let other = KeySecret::new([8; 32]);
    assert!(table.find(&other.digest(b"one")).is_none(), "digests don't depend on the secret");
}

/// Guards against a table that loses keys at the largest scale.
#[test]
fn all_keys_of_23000_accounts_are_found() {
    let secret = KeySecret::new([7; 32]);
    let names: Vec<String> = (0..23_000).map(|number| format!("account-{number}")).collect();
    let specs: Vec<_> = names.iter().map(|name| spec(name, &[name])).collect();
    let table = AccountTable::new(&specs, &secret);
    for name in &names {
        let row = table.find(&secret.digest(name.as_bytes()));
        assert_eq!(row.map(|row| row.name.as_str()), Some(name.as_str()));
    }
    assert!(table.find(&secret.digest(b"account-23000")).is_none());
}

/// Guards against metrics with a label for each of many accounts.
#[test]
fn only_the_largest_accounts_are_counted_apart() {
    let mut counter = AccountCounter::default();
    for number in 0..23_000 {
        for _ in 0..if number < 3 { 5 - number } else { 1 } {
            counter.record(&format!("account-{number:05}").into());
        }
    }
    let (largest, others) = counter.largest(4);
    let names: Vec<_> = largest.iter().map(|(name, count)| (name.as_str(), *count)).collect();
    let expected = [("account-00000", 5), ("account-00001", 4), ("account-00002", 3)];
    assert_eq!(names, [&expected[..], &[("account-00003", 1)]].concat());
    assert_eq!(others, 23_000 - 4);
    assert_eq!(AccountCounter::default().largest(4), (Vec::new(), 0));
}

/// Guards against keys in logs.
#[test]
fn no_debug_output_contains_a_key_or_a_digest() {
    let secret = KeySecret::new([0xab; 32]);
    let specs = [spec("a", &["hidden-key"])];
    let table = AccountTable::new(&specs, &secret);
    let digest = secret.digest(b"hidden-key");
    let text = format!("{specs:?} {table:?} {secret:?} {digest:?}");
    assert!(!text.contains("hidden-key") && !text.contains("171"), "{text}");
    assert!(text.contains("KeyDigest { .. }"), "{text}");
}

/// Guards against 401 for a key that may be new, and admission after the limit.
#[test]
fn the_decision_depends_on_the_age_of_the_configuration() {
    let decide = |key, age: Option<u64>, policy| {
        let age = age.map(Duration::from_millis);
        accounts::decide(AccountRequest { key, is_anonymous: false, age }, policy)
    };
    let lax = RevocationPolicy { is_strict: false, ..strict(5000) };
    let fresh = CONFIRMED_AGE_LIMIT.as_millis() as u64;
    for key in [KeyState::Missing, KeyState::Unknown] {
        for policy in [strict(5000), lax] {
            assert_eq!(decide(key, Some(fresh), policy), AccountDecision::Unauthorized);
            assert_eq!(decide(key, Some(fresh + 1), policy), AccountDecision::Unavailable);
            assert_eq!(decide(key, None, policy), AccountDecision::Unavailable);
        }
    }
    let valid = |age, policy| decide(KeyState::Valid, age, policy);
    assert_eq!(valid(Some(4499), strict(5000)), AccountDecision::Admit);
    assert_eq!(valid(Some(4500), strict(5000)), AccountDecision::Unavailable);
    assert_eq!(valid(None, strict(5000)), AccountDecision::Unavailable);
    assert_eq!(valid(Some(3_600_000), lax), AccountDecision::Admit);
    assert_eq!(valid(None, lax), AccountDecision::Admit);
    let anonymous = AccountRequest { key: KeyState::Missing, is_anonymous: true, age: None };
    assert_eq!(accounts::decide(anonymous, strict(5000)), AccountDecision::Admit);
}

/// Guards against knowledge of an earlier era, or a later call's response overtaken by an earlier one's.
#[test]
fn knowledge_is_as_old_as_the_call_and_ends_with_its_era() {
    let at = Timestamp::from_millis;
    let age = |knowledge: &ConfigurationKnowledge, era, now| {
        knowledge.age(era, at(now)).map(|age| age.as_millis())
    };
    let mut knowledge = ConfigurationKnowledge::default();
    assert_eq!(age(&knowledge, 0, 100), None);
    knowledge.confirm(0, at(1000));
    knowledge.confirm(0, at(900));
    assert_eq!(age(&knowledge, 0, 1500), Some(500));
    assert_eq!(age(&knowledge, 1, 1500), None);
    knowledge.confirm(1, at(1400));
    assert_eq!(age(&knowledge, 1, 1500), Some(100));
    knowledge.confirm(0, at(1499));
    assert_eq!(age(&knowledge, 1, 1500), Some(100));
}

/// A call to the store or to a relay. Suspensions of the caller or the other side make its parts longer.
#[derive(Clone, Copy, Debug)]
struct CallTimes {
    is_relay: bool,
    /// Times of the call, of the read at the other side, and of the response, each in milliseconds
    /// after the one before.
    pause: u64,
    until_read: u64,
    until_response: u64,
}

fn call_times() -> impl Strategy<Value = CallTimes> {
    let part = || prop_oneof![4 => 0_u64..600, 1 => 0_u64..7000];
    (any::<bool>(), part(), part(), part()).prop_map(
        |(is_relay, pause, until_read, until_response)| CallTimes {
            is_relay,
            pause,
            until_read,
            until_response,
        },
    )
}

/// What a daemon knows: whether its configuration has the change of the keys, and since when.
#[derive(Clone, Copy, Debug, Default)]
struct KnownState {
    has_change: bool,
    knowledge: ConfigurationKnowledge,
}

/// Carries out calls one after another, those of the relay to the store and those of a daemon to the
/// relay, which overlap. Returns what the daemon knows from each time on.
fn known_states(calls: &[CallTimes], changed_at: u64) -> Vec<(u64, KnownState)> {
    let at = Timestamp::from_millis;
    let mut relay: Vec<(u64, KnownState)> = vec![(0, KnownState::default())];
    let mut now = 0;
    for call in calls.iter().filter(|call| !call.is_relay) {
        let called_at = now + call.pause;
        let read_at = called_at + call.until_read;
        now = read_at + call.until_response;
        let mut state = relay[relay.len() - 1].1;
        state.has_change |= read_at >= changed_at;
        state.knowledge.confirm(0, at(called_at));
        relay.push((now, state));
    }
    let mut daemon = vec![(0, KnownState::default())];
    let mut now = 0;
    for call in calls.iter().filter(|call| call.is_relay) {
        let called_at = now + call.pause;
        let read_at = called_at + call.until_read;
        now = read_at + call.until_response;
        let answer = relay.iter().rfind(|(from, _)| *from <= read_at).expect("a state").1;
        let mut state = daemon[daemon.len() - 1].1;
        if let Some(age) = answer.knowledge.age(0, at(read_at)) {
            state.has_change |= answer.has_change;
            state.knowledge.confirm(0, at(called_at) - age);
        }
        daemon.push((now, state));
    }
    relay.extend(daemon);
    relay
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Guards against a daemon that admits a request that was sent after the limit, through whatever
    /// interleaving of calls, relays and suspensions, and against 401 for a key that has been in force
    /// for 4 s.
    #[test]
    fn no_interleaving_admits_a_removed_key_or_refuses_an_added_one(
        calls in proptest::collection::vec(call_times(), 0..12),
        changed_at in 0_u64..20_000,
        waits in proptest::collection::vec(0_u64..9000, 4),
    ) {
        for (from, state) in known_states(&calls, changed_at) {
            for wait in &waits {
                let now = from + wait;
                let age = state.knowledge.age(0, Timestamp::from_millis(now));
                let decide = |key| {
                    let request = AccountRequest { key, is_anonymous: false, age };
                    accounts::decide(request, strict(5000))
                };
                let removed =
                    if state.has_change { KeyState::Unknown } else { KeyState::Valid };
                let is_late = now > changed_at + 5000;
                prop_assert!(!is_late || decide(removed) != AccountDecision::Admit);
                let added =
                    if state.has_change { KeyState::Valid } else { KeyState::Unknown };
                let is_in_force = now >= changed_at + 4000;
                prop_assert!(!is_in_force || decide(added) != AccountDecision::Unauthorized);
            }
        }
    }
}
