//! What holds of one era of the key-value service decides nothing in the next one.

use gooseberry_core::serving::store_era::{EraError, NewestEra, StoreRevision};

#[test]
fn what_is_known_of_an_era_that_has_ended_is_not_used() {
    let mut newest = NewestEra::default();
    assert_eq!(newest.record(Some(4), None), Ok(4));
    assert_eq!(newest.record(Some(4), Some(4)), Ok(4));
    assert!(!newest.has_changed());
    // The response has the new era, but the call rested on a revision or a lease of the old one.
    assert_eq!(newest.record(Some(5), Some(4)), Err(EraError::Ended { known: 4, newest: 5 }));
    assert!(newest.has_changed());
    assert_eq!(newest.check(4), Err(EraError::Ended { known: 4, newest: 5 }));
    assert_eq!(newest.check(5), Ok(()));
}

/// Guards against a response of the old era that arrives late, on a slow link, and is taken for news.
#[test]
fn late_responses_of_an_era_that_has_ended_are_ignored() {
    let mut newest = NewestEra::default();
    assert_eq!(newest.record(Some(5), None), Ok(5));
    assert_eq!(newest.record(Some(4), None), Err(EraError::Late { era: 4, newest: 5 }));
    assert_eq!(newest.number(), 5);
}

#[test]
fn a_service_that_states_no_era_has_one() {
    let mut newest = NewestEra::default();
    assert_eq!(newest.record(None, Some(0)), Ok(0));
    assert_eq!(newest.record(Some(7), Some(0)), Err(EraError::Ended { known: 0, newest: 7 }));
    assert!(!newest.has_changed(), "the first era that is stated");
    assert_eq!(newest.record(None, Some(7)), Ok(7));
}

#[test]
fn revisions_of_a_later_era_are_newer() {
    assert!(StoreRevision::new(2, 1) > StoreRevision::new(1, 900));
    assert!(StoreRevision::new(2, 2) > StoreRevision::new(2, 1));
}
