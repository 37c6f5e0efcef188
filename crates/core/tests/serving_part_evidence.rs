//! Which prompt parts are convicted of crashing engines, and what ordinary crashes do to others.

use std::time::Duration;

use gooseberry_core::{
    serving::{
        part_evidence::{EngineIncarnation, PartEvidence, PartVerdict, RefusalReason},
        prompt::PartFingerprint,
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const FIRST: PartFingerprint = PartFingerprint(1);
const POISON: PartFingerprint = PartFingerprint(2);
const SOUND: PartFingerprint = PartFingerprint(3);

/// Plays crashes of one engine each, so many milliseconds apart.
fn crash(evidence: &mut PartEvidence, count: u64, apart_ms: u64, parts: &[PartFingerprint]) {
    for number in 0..count {
        evidence.record_crash(EngineIncarnation(number), parts, at(number * apart_ms));
    }
}

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn refusal(verdict: PartVerdict) -> Option<RefusalReason> {
    match verdict {
        PartVerdict::Refused(refusal) => Some(refusal.reason),
        PartVerdict::Clear | PartVerdict::Trial => None,
    }
}

#[test]
fn a_part_is_convicted_by_its_third_crash_and_those_before_it_are_not() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 2, 900, &[FIRST, POISON]);
    assert_eq!(evidence.admit(&[FIRST, POISON], 1, at(1000)), PartVerdict::Clear);
    crash(&mut evidence, 3, 900, &[FIRST, POISON]);
    let verdict = evidence.admit(&[FIRST, POISON], 1, at(2000));
    assert_eq!(refusal(verdict), Some(RefusalReason::Convicted));
    assert_eq!(evidence.admit(&[FIRST, SOUND], 2, at(2000)), PartVerdict::Clear);
    assert_eq!(evidence.admit(&[POISON], 3, at(2000)), verdict, "whatever else it holds");
}

#[test]
fn the_order_of_the_reports_does_not_decide_which_part_is_convicted() {
    let mut evidence = PartEvidence::default();
    for number in 0..3 {
        let (engine, now) = (EngineIncarnation(number), at(number * 900));
        evidence.record_crash(engine, &[FIRST, PartFingerprint(10 + number)], now);
        evidence.record_crash(engine, &[FIRST, POISON], now + Duration::from_millis(20));
    }
    assert!(evidence.is_convicted(POISON));
    assert!(!evidence.is_convicted(FIRST));
    assert_eq!(evidence.admit(&[FIRST, SOUND], 1, at(3000)), PartVerdict::Clear);
}

#[test]
fn a_completed_request_acquits_its_parts() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 2, 900, &[SOUND]);
    evidence.record_completion(&[SOUND], at(1000));
    crash(&mut evidence, 5, 900, &[POISON]);
    evidence.record_crash(EngineIncarnation(9), &[SOUND], at(4000));
    assert_eq!(evidence.admit(&[SOUND], 1, at(4000)), PartVerdict::Clear);
    let changes = evidence.record_completion(&[POISON], at(4000));
    assert_eq!(changes.acquitted, [POISON]);
    assert_eq!(evidence.admit(&[POISON], 1, at(4000)), PartVerdict::Clear);
}

#[test]
fn engines_that_crash_at_once_do_not_keep_proven_parts_waiting() {
    let mut evidence = PartEvidence::default();
    evidence.record_completion(&[FIRST, SOUND], START);
    crash(&mut evidence, 9, 5, &[FIRST, SOUND]);
    assert_eq!(evidence.admit(&[FIRST, SOUND], 1, at(100)), PartVerdict::Clear);
}

#[test]
fn engines_that_crash_at_once_under_a_new_part_leave_it_one_trial_at_a_time() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 5, 5, &[SOUND]);
    assert_eq!(evidence.admit(&[SOUND], 1, at(100)), PartVerdict::Trial);
    assert_eq!(refusal(evidence.admit(&[SOUND], 2, at(100))), Some(RefusalReason::OnTrial));
    assert_eq!(evidence.admit(&[SOUND], 1, at(100)), PartVerdict::Trial, "a repeat of the trial");
    evidence.record_completion(&[SOUND], at(400));
    assert_eq!(evidence.admit(&[SOUND], 2, at(400)), PartVerdict::Clear);
}

#[test]
fn two_crashed_trials_convict_a_part_under_which_five_engines_crashed_at_once() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 5, 5, &[FIRST, POISON]);
    for trial in 0..2 {
        let now = at(4000 + 600 * trial);
        assert_eq!(evidence.admit(&[FIRST, POISON], trial, now), PartVerdict::Trial);
        evidence.record_crash(EngineIncarnation(10 + trial), &[FIRST, POISON], now);
        evidence.end_trial(trial);
    }
    let verdict = evidence.admit(&[FIRST, POISON], 9, at(5000));
    assert_eq!(refusal(verdict), Some(RefusalReason::Convicted));
}

#[test]
fn a_trial_whose_end_is_not_reported_does_not_block_its_part_for_good() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 3, 5, &[SOUND]);
    assert_eq!(evidence.admit(&[SOUND], 1, at(100)), PartVerdict::Trial);
    assert_eq!(evidence.admit(&[SOUND], 2, at(5000)), PartVerdict::Trial);
}

#[test]
fn ordinary_crashes_in_a_row_do_not_convict_a_proven_part() {
    let mut evidence = PartEvidence::default();
    evidence.record_completion(&[FIRST], START);
    crash(&mut evidence, 5, 1000, &[FIRST, POISON]);
    assert!(evidence.is_convicted(POISON));
    crash(&mut evidence, 3, 1000, &[FIRST]);
    assert_eq!(evidence.admit(&[FIRST], 1, at(6000)), PartVerdict::Clear);
}

#[test]
fn a_part_that_another_daemon_has_completed_is_no_longer_convicted_like_an_unknown_one() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 3, 900, &[SOUND]);
    assert!(evidence.is_convicted(SOUND));
    let changes = evidence.record_proven(&[SOUND], at(2000));
    assert_eq!(changes.acquitted, [SOUND]);
    assert_eq!(evidence.admit(&[SOUND], 1, at(2000)), PartVerdict::Clear);
}

#[test]
fn a_proven_part_that_begins_to_crash_engines_is_convicted_too() {
    let mut evidence = PartEvidence::default();
    evidence.record_completion(&[POISON], START);
    crash(&mut evidence, 6, 900, &[POISON]);
    assert!(evidence.is_convicted(POISON));
}

#[test]
fn a_sentence_ends_with_a_trial_and_grows_with_each_crash() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 3, 900, &[POISON]);
    let later = at(1800) + Duration::from_secs(300);
    assert_eq!(evidence.admit(&[POISON], 1, later), PartVerdict::Trial);
    evidence.record_crash(EngineIncarnation(9), &[POISON], later);
    let verdict = evidence.admit(&[POISON], 2, later + Duration::from_secs(599));
    assert_eq!(refusal(verdict), Some(RefusalReason::Convicted));
}

#[test]
fn a_conviction_of_another_daemon_holds_at_once() {
    let (mut one, mut other) = (PartEvidence::default(), PartEvidence::default());
    crash(&mut one, 2, 900, &[FIRST, POISON]);
    let changes = one.record_crash(EngineIncarnation(2), &[FIRST, POISON], at(1800));
    other.apply_conviction(&changes.convicted[0], at(1900));
    let verdict = other.admit(&[FIRST, POISON], 1, at(1900));
    assert_eq!(refusal(verdict), Some(RefusalReason::Convicted));
    other.record_crash(EngineIncarnation(2), &[FIRST, SOUND], at(1900));
    assert_eq!(other.admit(&[FIRST, SOUND], 1, at(1900)), PartVerdict::Clear);
}

#[test]
fn the_number_of_parts_is_bounded_and_convicted_ones_are_kept() {
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 3, 900, &[POISON]);
    for number in 0..20_000 {
        evidence.record_completion(&[PartFingerprint(100 + number)], at(2000 + number));
    }
    assert!(evidence.is_convicted(POISON));
    let known =
        (0..20_000).filter(|number| evidence.is_proven(PartFingerprint(100 + number), at(30_000)));
    assert!(known.count() <= 4096);
}

#[test]
fn a_conviction_of_another_daemon_does_not_refuse_a_part_that_has_completed_here() {
    let (mut one, mut other) = (PartEvidence::default(), PartEvidence::default());
    crash(&mut one, 3, 900, &[SOUND]);
    assert!(one.is_convicted(SOUND), "this daemon has seen no completed request");
    other.record_completion(&[SOUND], at(1500));
    other.apply_conviction(&one.convictions()[0], at(2000));
    assert_eq!(other.admit(&[SOUND], 1, at(2000)), PartVerdict::Clear);
}

#[test]
fn a_conviction_of_another_daemon_holds_although_another_part_explains_its_crashes_here() {
    let (mut one, mut other) = (PartEvidence::default(), PartEvidence::default());
    crash(&mut one, 3, 900, &[FIRST, POISON]);
    crash(&mut other, 3, 900, &[SOUND, FIRST]);
    assert!(other.is_convicted(FIRST));
    assert!(other.apply_conviction(&one.convictions()[0], at(2000)));
    let verdict = other.admit(&[POISON], 1, at(2000));
    assert_eq!(refusal(verdict), Some(RefusalReason::Convicted));
}

#[test]
fn a_whole_request_is_on_trial_after_its_third_crash_and_not_before() {
    let request = PartFingerprint::of_request(7);
    let mut evidence = PartEvidence::default();
    for number in 0..3 {
        assert_eq!(evidence.admit(&[request], number, at(0)), PartVerdict::Clear);
        evidence.record_crash(EngineIncarnation(number), &[request], at(0));
    }
    assert_eq!(evidence.admit(&[request], 4, at(10)), PartVerdict::Trial);
    let verdict = evidence.admit(&[request], 5, at(10));
    assert_eq!(refusal(verdict), Some(RefusalReason::OnTrial));
    evidence.record_completion(&[request], at(20));
    assert_eq!(evidence.admit(&[request], 5, at(20)), PartVerdict::Clear);
}

#[test]
fn two_crashes_in_trials_of_a_whole_request_convict_it_however_close_they_are() {
    let (request, plain) = (PartFingerprint::of_request(7), PartFingerprint::of_request(8));
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 3, 50, &[FIRST, request]);
    crash(&mut evidence, 3, 50, &[FIRST, plain]);
    for number in 3..5 {
        assert!(!evidence.is_convicted(request));
        let engine = EngineIncarnation(number);
        evidence.record_trial_crash(engine, &[FIRST, request], at(number * 50));
        evidence.record_crash(engine, &[plain], at(number * 50));
    }
    assert!(evidence.is_convicted(request));
    assert!(!evidence.is_convicted(plain), "its engines crashed together, and not in its trials");
    assert!(!evidence.is_convicted(FIRST), "the request explains the crashes");
}

#[test]
fn crashes_that_another_daemon_recorded_before_a_kill_count_with_those_after_it() {
    let request = PartFingerprint::of_request(7);
    let mut before = PartEvidence::default();
    crash(&mut before, 1, 1000, &[request]);
    assert_eq!(
        before.suspect_history(request, at(1000)),
        None,
        "ordinary crashes hit many requests"
    );
    crash(&mut before, 2, 1000, &[request]);
    let history = before.suspect_history(request, at(3000)).expect("two crashes");
    let mut after = PartEvidence::default();
    let restored_at = at(60_000);
    after.restore_history(&history, restored_at);
    assert!(!after.is_convicted(request));
    after.record_crash(EngineIncarnation(99), &[request], restored_at + Duration::from_secs(1));
    assert!(after.is_convicted(request), "the crashes are episodes of their own");
}

#[test]
fn only_whole_requests_without_a_verdict_are_remembered() {
    let (part, request) = (PartFingerprint(7), PartFingerprint::of_request(7));
    let mut evidence = PartEvidence::default();
    crash(&mut evidence, 2, 1000, &[part, request]);
    assert_eq!(evidence.suspect_history(part, at(2000)), None);
    assert!(evidence.suspect_history(request, at(2000)).is_some());
    evidence.record_completion(&[request], at(2500));
    assert_eq!(evidence.suspect_history(request, at(3000)), None);
}
