//! Orders to an engine under arbitrary interleavings of leaders, the platform and
//! the engine.

mod order_world;

use order_world::{EngineKind, ModelOp, OrderModel, ReplaceRule, SendDelivery, WriteDelivery};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};

/// Number of operations that every interleaving stays below.
const MAX_OPS: usize = 90;

fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Runs generated interleavings. Returns the shortest one that violates an
/// invariant, with the violation.
fn find_violation(
    kind: EngineKind,
    rule: ReplaceRule,
    cases: u32,
    seed: u8,
) -> Option<(Vec<ModelOp>, String)> {
    let interleavings = prop::collection::vec(order_world::op(), 1..MAX_OPS);
    let result = runner(cases, seed).run(&interleavings, |ops| {
        let mut model = OrderModel::new(kind, rule);
        for op in &ops {
            model.apply(op);
            prop_assert!(
                model.violation.is_none(),
                "{}",
                model.violation.as_deref().unwrap_or_default()
            );
        }
        Ok(())
    });
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, ops)) => Some((ops, reason.to_string())),
        Err(TestError::Abort(reason)) => panic!("proptest aborted the search: {reason}"),
    }
}

#[test]
fn an_engine_that_checks_fencing_never_gets_conflicting_orders() {
    assert_eq!(
        find_violation(EngineKind::ChecksFencing, ReplaceRule::RequireProof, 20_000, 1),
        None
    );
}

#[test]
fn an_engine_that_ignores_fencing_never_gets_conflicting_orders() {
    assert_eq!(
        find_violation(EngineKind::IgnoresFencing, ReplaceRule::RequireProof, 20_000, 2),
        None
    );
}

/// Runs generated interleavings, ends all faults, and checks the resulting state.
fn check_recovery(
    kind: EngineKind,
    wants_order: bool,
    seed: u8,
    condition: impl Fn(&OrderModel) -> bool,
) {
    let interleavings = prop::collection::vec(order_world::op(), 1..MAX_OPS);
    let result = runner(4000, seed).run(&interleavings, |ops| {
        let mut model = OrderModel::new(kind, ReplaceRule::RequireProof);
        ops.iter().for_each(|op| model.apply(op));
        model.recover(wants_order);
        prop_assert_eq!(&model.violation, &None);
        prop_assert!(condition(&model));
        Ok(())
    });
    result.expect("the leaders recover after the faults have ended");
}

/// Guards against an engine that gets no order any more because the issuer of a
/// pending order died. An order may stay pending if its response was lost and its
/// issuer is alive.
#[test]
fn a_dead_issuer_never_blocks_an_engine_that_ignores_fencing_permanently() {
    check_recovery(EngineKind::IgnoresFencing, false, 4, |model| {
        model.is_settled() || model.is_held_by_live_issuer() || model.all_leaders_dead()
    });
}

/// While any leader process is alive, an engine that checks fencing can get a new
/// order, whatever is pending.
#[test]
fn an_engine_that_checks_fencing_can_always_get_a_new_order() {
    check_recovery(EngineKind::ChecksFencing, true, 5, |model| {
        model.accepted_since_recovery() || model.all_leaders_dead()
    });
}

/// Shows that the invariants detect a wrong rule: replacing a pending record without
/// a proof of death is safe with fencing, and violates them on an engine that
/// ignores fencing.
#[test]
fn replacing_without_proof_violates_an_invariant_if_the_engine_ignores_fencing() {
    let found =
        find_violation(EngineKind::IgnoresFencing, ReplaceRule::ReplaceWithoutProof, 6000, 3);
    let (ops, reason) = found.expect("a counterexample");
    assert!(reason.contains("conflict") || reason.contains("authority"), "{reason}: {ops:?}");
}

/// Runs one interleaving and checks the invariants after each operation.
fn replay(kind: EngineKind, ops: &[ModelOp]) -> OrderModel {
    let mut model = OrderModel::new(kind, ReplaceRule::RequireProof);
    for op in ops {
        model.apply(op);
        assert_eq!(model.violation, None, "after {op:?}");
    }
    model
}

fn read(leader: usize) -> ModelOp {
    ModelOp::Read { leader, versions_back: 0 }
}

fn report(leader: usize) -> ModelOp {
    ModelOp::Report { leader, versions_back: 0 }
}

fn step(leader: usize) -> ModelOp {
    ModelOp::Step { leader, wants_order: true, delivery: WriteDelivery::Completed }
}

fn send(leader: usize) -> ModelOp {
    ModelOp::Send { leader, delivery: SendDelivery::Completed }
}

fn write(leader: usize, delivery: WriteDelivery) -> ModelOp {
    ModelOp::Step { leader, wants_order: true, delivery }
}

/// Leader 0 claims the record and is stopped before it sends its order. Leader 1 has
/// read the claim and an engine report that was made 12 s later.
fn stopped_before_the_send() -> Vec<ModelOp> {
    vec![read(0), step(0), step(0), read(1), ModelOp::Advance(12_000), report(1)]
}

#[test]
fn a_stopped_issuer_keeps_its_claim_on_an_engine_that_ignores_fencing() {
    let mut ops = stopped_before_the_send();
    ops.extend([step(1), step(1), send(1), send(0), ModelOp::Advance(2000), report(1), step(1)]);
    let model = replay(EngineKind::IgnoresFencing, &ops);
    assert_eq!(model.accepted(), ["vm-0/940000/0"]);
}

#[test]
fn an_engine_that_checks_fencing_refuses_the_order_of_a_stopped_issuer() {
    let mut ops = stopped_before_the_send();
    ops.extend([step(1), step(1), send(1), send(0)]);
    let model = replay(EngineKind::ChecksFencing, &ops);
    assert_eq!(model.accepted(), ["vm-1/940000/0"]);
}

#[test]
fn a_claim_whose_response_was_lost_is_recognised_and_its_order_is_sent_once() {
    let lost = write(0, WriteDelivery::ResponseLost);
    let ops = [read(0), lost, read(0), step(0), send(0), step(0), send(0)];
    let model = replay(EngineKind::IgnoresFencing, &ops);
    assert_eq!(model.accepted(), ["vm-0/940000/0"]);
}

#[test]
fn a_claim_that_is_read_back_too_late_is_released_and_its_order_is_not_sent() {
    let lost = write(0, WriteDelivery::ResponseLost);
    let (down, up) = (ModelOp::Platform { down: true }, ModelOp::Platform { down: false });
    let ops = [read(0), lost, down, read(0), step(0), ModelOp::Advance(3000), up, read(0), step(0)];
    let model = replay(EngineKind::IgnoresFencing, &ops);
    assert!(model.accepted().is_empty());
    assert!(model.is_settled());
}

#[test]
fn an_engine_gets_a_new_order_after_a_proof_of_death_and_a_later_report() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(ModelOp::Send { leader: 0, delivery: SendDelivery::Lost });
    ops.extend([
        ModelOp::Kill(0),
        read(1),
        ModelOp::Advance(12_000),
        report(1),
        step(1),
        step(1),
        send(1),
    ]);
    assert!(replay(EngineKind::IgnoresFencing, &ops).accepted().is_empty());
    ops.extend([
        ModelOp::List { leader: 1, versions_back: 0 },
        ModelOp::Advance(4000),
        report(1),
        step(1),
    ]);
    // The report was made before the proof was complete.
    ops.extend([step(1), send(1)]);
    assert!(replay(EngineKind::IgnoresFencing, &ops).accepted().is_empty());
    ops.extend([ModelOp::Advance(2000), report(1), step(1), step(1), step(1), send(1)]);
    assert_eq!(replay(EngineKind::IgnoresFencing, &ops).accepted().len(), 1);
}

#[test]
fn a_claim_over_another_is_not_settled_before_the_engine_reports_its_fencing_token() {
    let mut ops = stopped_before_the_send();
    ops.extend([step(1), ModelOp::Advance(2001), step(1), send(0)]);
    replay(EngineKind::ChecksFencing, &ops);
}

#[test]
fn a_sent_order_stays_known_while_the_write_of_a_claim_over_it_is_delayed() {
    let ops = [
        read(1),
        step(1),
        step(1),
        ModelOp::Advance(10_000),
        report(1),
        ModelOp::Send { leader: 1, delivery: SendDelivery::Delayed },
        write(1, WriteDelivery::Delayed),
        ModelOp::Step { leader: 1, wants_order: false, delivery: WriteDelivery::Completed },
        ModelOp::DeliverOrder(0),
    ];
    replay(EngineKind::ChecksFencing, &ops);
}

#[test]
fn a_list_made_before_a_process_started_does_not_prove_its_death() {
    let mut ops = vec![
        ModelOp::Kill(0),
        ModelOp::List { leader: 2, versions_back: 0 },
        ModelOp::Advance(3000),
    ];
    ops.extend([ModelOp::Restart(0), read(0), step(0), read(2), step(0), step(2)]);
    ops.extend([ModelOp::Advance(1500), report(2), step(2), send(0)]);
    replay(EngineKind::IgnoresFencing, &ops);
}

#[test]
fn a_report_older_than_the_proof_of_death_does_not_release_an_engine() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(ModelOp::Send { leader: 0, delivery: SendDelivery::Delayed });
    ops.extend([
        report(1),
        read(1),
        ModelOp::Kill(0),
        ModelOp::List { leader: 1, versions_back: 0 },
    ]);
    // The kernel of the dead process delivers its buffered data.
    ops.extend([ModelOp::Advance(2900), ModelOp::DeliverOrder(0), ModelOp::Advance(200)]);
    ops.extend([step(1), step(1), step(1), send(1)]);
    let model = replay(EngineKind::IgnoresFencing, &ops);
    assert_eq!(model.accepted(), ["vm-0/940000/0"]);
}

#[test]
fn no_order_is_sent_while_an_order_of_a_dead_issuer_is_being_applied() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(ModelOp::Send { leader: 0, delivery: SendDelivery::Delayed });
    ops.extend([read(1), ModelOp::Kill(0), ModelOp::List { leader: 1, versions_back: 0 }]);
    ops.extend([ModelOp::Advance(2900), ModelOp::DeliverOrder(0), ModelOp::Advance(200), step(1)]);
    ops.extend([ModelOp::Advance(1100), report(1), step(1), step(1), step(1), send(1)]);
    assert_eq!(replay(EngineKind::IgnoresFencing, &ops).accepted(), ["vm-0/940000/0"]);
    ops.extend([ModelOp::Advance(500), report(1), step(1), step(1), step(1), send(1)]);
    assert_eq!(replay(EngineKind::IgnoresFencing, &ops).accepted().len(), 2);
}

#[test]
fn no_order_is_sent_while_the_kernel_of_a_dead_issuer_may_still_deliver() {
    let mut ops = vec![read(0), step(0), step(0)];
    ops.push(ModelOp::Send { leader: 0, delivery: SendDelivery::Delayed });
    ops.extend([read(1), ModelOp::Kill(0), ModelOp::List { leader: 1, versions_back: 0 }, step(1)]);
    ops.extend([ModelOp::Advance(1100), report(1), step(1), step(1), step(1), send(1)]);
    ops.extend([ModelOp::Advance(1000), ModelOp::DeliverOrder(0)]);
    assert_eq!(replay(EngineKind::IgnoresFencing, &ops).accepted(), ["vm-0/940000/0"]);
}

#[test]
fn a_leader_that_started_after_a_death_detects_it_from_the_list() {
    let mut ops = vec![read(2), step(2), ModelOp::Kill(2), ModelOp::Kill(0), ModelOp::Kill(1)];
    ops.extend([ModelOp::Advance(3000), ModelOp::Restart(0), read(0), step(0)]);
    let list = ModelOp::List { leader: 0, versions_back: 0 };
    ops.extend([list, ModelOp::Advance(4000), step(0), ModelOp::Advance(2000), report(0), step(0)]);
    assert!(replay(EngineKind::IgnoresFencing, &ops).is_settled());
}
