//! Orders under arbitrary interleavings of stewards, platform and engine.

mod order_world;

use order_world::{EngineKind, Op, OrderWorld, Rule, SendFate, WriteFate};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};

/// Longest interleaving.
const LONGEST: usize = 90;

fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Replays interleavings and returns the shortest that breaks an invariant.
fn search(kind: EngineKind, rule: Rule, cases: u32, seed: u8) -> Option<(Vec<Op>, String)> {
    let interleavings = prop::collection::vec(order_world::op(), 1..LONGEST);
    let result = runner(cases, seed).run(&interleavings, |ops| {
        let mut world = OrderWorld::new(kind, rule);
        for op in &ops {
            world.apply(op);
            prop_assert!(world.fault.is_none(), "{}", world.fault.as_deref().unwrap_or_default());
        }
        Ok(())
    });
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, ops)) => Some((ops, reason.to_string())),
        Err(TestError::Abort(reason)) => panic!("the search was given up: {reason}"),
    }
}

#[test]
fn an_engine_that_checks_fencing_never_gets_conflicting_orders() {
    assert_eq!(search(EngineKind::Checks, Rule::Proof, 20_000, 1), None);
}

#[test]
fn an_engine_that_ignores_fencing_never_gets_conflicting_orders() {
    assert_eq!(search(EngineKind::Ignores, Rule::Proof, 20_000, 2), None);
}

/// Runs interleavings, ends all faults, and checks what stands then.
fn check_healed(kind: EngineKind, wants: bool, seed: u8, holds: impl Fn(&OrderWorld) -> bool) {
    let interleavings = prop::collection::vec(order_world::op(), 1..LONGEST);
    let result = runner(4000, seed).run(&interleavings, |ops| {
        let mut world = OrderWorld::new(kind, Rule::Proof);
        ops.iter().for_each(|op| world.apply(op));
        world.heal(wants);
        prop_assert_eq!(&world.fault, &None);
        prop_assert!(holds(&world));
        Ok(())
    });
    result.expect("the stewards get on once the faults have ended");
}

/// What may be left is an order whose answer was lost and whose issuer lives.
#[test]
fn a_dead_issuer_never_blocks_an_engine_that_ignores_fencing_for_good() {
    check_healed(EngineKind::Ignores, false, 4, |world| {
        world.is_settled() || world.is_held_by_live_issuer() || world.all_dead()
    });
}

/// While a steward lives, an engine that checks fencing can always be ordered.
#[test]
fn an_engine_that_checks_fencing_can_always_be_ordered_again() {
    check_healed(EngineKind::Checks, true, 5, |world| {
        world.taken_since_healed() || world.all_dead()
    });
}

/// The invariants have teeth: claiming over a pending record without proof,
/// which fencing makes safe, breaks them on an engine that ignores fencing.
#[test]
fn replacing_without_proof_breaks_an_engine_that_ignores_fencing() {
    let found = search(EngineKind::Ignores, Rule::ReplaceWithoutProof, 6000, 3);
    let (ops, reason) = found.expect("a counterexample");
    assert!(reason.contains("conflict") || reason.contains("authority"), "{reason}: {ops:?}");
}

/// Replays one interleaving.
fn replay(kind: EngineKind, ops: &[Op]) -> OrderWorld {
    let mut world = OrderWorld::new(kind, Rule::Proof);
    for op in ops {
        world.apply(op);
        assert_eq!(world.fault, None, "after {op:?}");
    }
    world
}

fn read(steward: usize) -> Op {
    Op::Read { steward, back: 0 }
}

fn report(steward: usize) -> Op {
    Op::Report { steward, back: 0 }
}

fn step(steward: usize) -> Op {
    Op::Step { steward, wants: true, fate: WriteFate::Answered }
}

fn fire(steward: usize) -> Op {
    Op::Fire { steward, fate: SendFate::Answered }
}

fn write(steward: usize, fate: WriteFate) -> Op {
    Op::Step { steward, wants: true, fate }
}

/// Steward 0 claims and is stopped before its send; steward 1 has seen both
/// the claim and a report made long after it.
fn stopped_before_the_send() -> Vec<Op> {
    vec![read(0), step(0), step(0), read(1), Op::Advance(12_000), report(1)]
}

#[test]
fn a_stopped_issuer_keeps_its_engine_if_that_ignores_fencing() {
    let mut ops = stopped_before_the_send();
    ops.extend([step(1), step(1), fire(1), fire(0), Op::Advance(2000), report(1), step(1)]);
    let world = replay(EngineKind::Ignores, &ops);
    assert_eq!(world.taken(), ["vm-0/940000/0"]);
}

#[test]
fn a_stopped_issuer_is_fenced_off_by_an_engine_that_checks() {
    let mut ops = stopped_before_the_send();
    ops.extend([step(1), step(1), fire(1), fire(0)]);
    let world = replay(EngineKind::Checks, &ops);
    assert_eq!(world.taken(), ["vm-1/940000/0"]);
}

#[test]
fn a_lost_answer_of_a_claim_is_recognised_and_the_order_is_sent_once() {
    let lost = write(0, WriteFate::AnswerLost);
    let ops = [read(0), lost, read(0), step(0), fire(0), step(0), fire(0)];
    let world = replay(EngineKind::Ignores, &ops);
    assert_eq!(world.taken(), ["vm-0/940000/0"]);
}

#[test]
fn a_claim_that_is_read_back_too_late_is_released_and_not_sent() {
    let lost = write(0, WriteFate::AnswerLost);
    let (down, up) = (Op::Platform { down: true }, Op::Platform { down: false });
    let ops = [read(0), lost, down, read(0), step(0), Op::Advance(3000), up, read(0), step(0)];
    let world = replay(EngineKind::Ignores, &ops);
    assert!(world.taken().is_empty());
    assert!(world.is_settled());
}

#[test]
fn an_engine_is_ordered_again_after_a_proof_of_death_and_a_fresh_report() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(Op::Fire { steward: 0, fate: SendFate::Lost });
    ops.extend([Op::Kill(0), read(1), Op::Advance(12_000), report(1), step(1), step(1), fire(1)]);
    assert!(replay(EngineKind::Ignores, &ops).taken().is_empty());
    ops.extend([Op::List { steward: 1, back: 0 }, Op::Advance(4000), report(1), step(1)]);
    // The report was made before the proof was complete.
    ops.extend([step(1), fire(1)]);
    assert!(replay(EngineKind::Ignores, &ops).taken().is_empty());
    ops.extend([Op::Advance(2000), report(1), step(1), step(1), step(1), fire(1)]);
    assert_eq!(replay(EngineKind::Ignores, &ops).taken().len(), 1);
}

#[test]
fn a_claim_over_another_is_not_settled_before_the_engine_has_seen_its_token() {
    let mut ops = stopped_before_the_send();
    ops.extend([step(1), Op::Advance(2001), step(1), fire(0)]);
    replay(EngineKind::Checks, &ops);
}

#[test]
fn a_sent_order_is_remembered_while_a_claim_over_it_is_on_its_way() {
    let ops = [
        read(1),
        step(1),
        step(1),
        Op::Advance(10_000),
        report(1),
        Op::Fire { steward: 1, fate: SendFate::Delayed },
        write(1, WriteFate::Delayed),
        Op::Step { steward: 1, wants: false, fate: WriteFate::Answered },
        Op::DeliverOrder(0),
    ];
    replay(EngineKind::Checks, &ops);
}

#[test]
fn a_list_made_before_a_process_started_does_not_prove_its_death() {
    let mut ops = vec![Op::Kill(0), Op::List { steward: 2, back: 0 }, Op::Advance(3000)];
    ops.extend([Op::Restart(0), read(0), step(0), read(2), step(0), step(2)]);
    ops.extend([Op::Advance(1500), report(2), step(2), fire(0)]);
    replay(EngineKind::Ignores, &ops);
}

#[test]
fn a_report_older_than_the_proof_of_death_does_not_free_an_engine() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(Op::Fire { steward: 0, fate: SendFate::Delayed });
    ops.extend([report(1), read(1), Op::Kill(0), Op::List { steward: 1, back: 0 }]);
    // The dead process's kernel delivers what it had buffered.
    ops.extend([Op::Advance(2900), Op::DeliverOrder(0), Op::Advance(200)]);
    ops.extend([step(1), step(1), step(1), fire(1)]);
    let world = replay(EngineKind::Ignores, &ops);
    assert_eq!(world.taken(), ["vm-0/940000/0"]);
}

#[test]
fn an_order_of_a_dead_issuer_that_is_being_carried_out_is_waited_for() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(Op::Fire { steward: 0, fate: SendFate::Delayed });
    ops.extend([read(1), Op::Kill(0), Op::List { steward: 1, back: 0 }]);
    ops.extend([Op::Advance(2900), Op::DeliverOrder(0), Op::Advance(200), step(1)]);
    ops.extend([Op::Advance(1100), report(1), step(1), step(1), step(1), fire(1)]);
    assert_eq!(replay(EngineKind::Ignores, &ops).taken(), ["vm-0/940000/0"]);
    ops.extend([Op::Advance(500), report(1), step(1), step(1), step(1), fire(1)]);
    assert_eq!(replay(EngineKind::Ignores, &ops).taken().len(), 2);
}

#[test]
fn the_kernel_of_a_dead_issuer_has_time_to_deliver_before_the_next_order() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(Op::Fire { steward: 0, fate: SendFate::Delayed });
    ops.extend([read(1), Op::Kill(0), Op::List { steward: 1, back: 0 }, step(1)]);
    ops.extend([Op::Advance(1100), report(1), step(1), step(1), step(1), fire(1)]);
    ops.extend([Op::Advance(1000), Op::DeliverOrder(0)]);
    assert_eq!(replay(EngineKind::Ignores, &ops).taken(), ["vm-0/940000/0"]);
}

#[test]
fn a_steward_that_started_after_a_death_learns_of_it_from_the_list() {
    let mut ops = vec![read(2), step(2), Op::Kill(2), Op::Kill(0), Op::Kill(1)];
    ops.extend([Op::Advance(3000), Op::Restart(0), read(0), step(0)]);
    let list = Op::List { steward: 0, back: 0 };
    ops.extend([list, Op::Advance(4000), step(0), Op::Advance(2000), report(0), step(0)]);
    assert!(replay(EngineKind::Ignores, &ops).is_settled());
}
