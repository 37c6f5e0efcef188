//! Fencing tokens never go back, whatever the key-value service loses.

use gooseberry_core::serving::{fencing::FirstEra, store_era::StoreRevision};

fn token(first_era: &FirstEra, era: u64, revision: u64) -> Option<u64> {
    first_era.token(StoreRevision::new(era, revision))
}

/// Builds that know no eras take the revision as the token in every era, and daemons of both run side by
/// side while they are replaced.
#[test]
fn tokens_of_the_first_era_are_those_of_earlier_builds() {
    let mut first_era = FirstEra::default();
    assert_eq!(first_era.unstored(4), Some(4));
    first_era.record_stored(Some(4));
    assert_eq!(token(&first_era, 4, 106), Some(106));
}

#[test]
fn tokens_of_a_later_era_are_higher_although_its_revisions_are_lower() {
    let mut first_era = FirstEra::default();
    first_era.record_stored(Some(4));
    assert!(token(&first_era, 5, 7) > token(&first_era, 4, 1 << 39));
    assert!(token(&first_era, 6, 1) > token(&first_era, 5, 900));
}

/// Guards against a leader that takes the era in which the record was lost for the first one.
#[test]
fn a_lost_record_is_written_again_with_the_same_era() {
    let mut first_era = FirstEra::default();
    first_era.record_stored(Some(4));
    first_era.record_stored(None);
    assert_eq!(token(&first_era, 5, 7), None, "no order before it is stored");
    assert_eq!(first_era.unstored(5), Some(4));
}

/// Guards against tokens of a daemon that started after the record was lost: they would be lower than
/// those of a leader before it.
#[test]
fn a_daemon_that_knows_an_earlier_first_era_corrects_the_record() {
    let mut newcomer = FirstEra::default();
    let mut witness = FirstEra::default();
    witness.record_stored(Some(4));
    newcomer.record_stored(Some(5));
    assert_eq!(witness.record_stored(Some(5)), Some(4));
    assert_eq!(token(&witness, 5, 7), None);
    assert_eq!(newcomer.record_stored(Some(4)), None);
    witness.record_stored(Some(4));
    assert_eq!(token(&newcomer, 5, 7), token(&witness, 5, 7));
}
