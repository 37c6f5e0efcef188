//! Positions of streamed answers under arbitrary interleavings of attempts.

use gooseberry_core::stream::{AttemptNumber, StreamAssembler, TokenVerdict};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Length of the answer that engines generate.
const ANSWER: u32 = 24;
/// Cases of each property.
const CASES: u32 = 2000;

/// What may happen to the streams of one request, in any order.
#[derive(Clone, Debug)]
enum StreamStep {
    /// A new attempt starts at the position that the assembler asks for.
    Restart,
    /// An attempt, running or abandoned, delivers its next tokens.
    Deliver { attempt: usize, tokens: u32 },
    /// An attempt repeats tokens that it sent before.
    Repeat { attempt: usize, back: u32 },
    /// An attempt loses tokens on the way.
    Lose { attempt: usize, tokens: u32 },
}

fn step() -> impl Strategy<Value = StreamStep> {
    prop_oneof![
        1 => Just(StreamStep::Restart),
        6 => (0..8_usize, 1..5_u32)
            .prop_map(|(attempt, tokens)| StreamStep::Deliver { attempt, tokens }),
        2 => (0..8_usize, 1..6_u32)
            .prop_map(|(attempt, back)| StreamStep::Repeat { attempt, back }),
        1 => (0..8_usize, 1..4_u32)
            .prop_map(|(attempt, tokens)| StreamStep::Lose { attempt, tokens }),
    ]
}

/// One attempt as its engine sees it.
struct EngineSide {
    number: AttemptNumber,
    next: u32,
}

/// Runs the streams of one request and keeps what the caller got.
#[derive(Default)]
struct AnswerModel {
    assembler: StreamAssembler,
    attempts: Vec<EngineSide>,
    delivered: Vec<u32>,
}

impl AnswerModel {
    fn restart(&mut self) {
        let next = self.assembler.next_position();
        let number = self.assembler.start_attempt();
        self.attempts.push(EngineSide { number, next });
    }

    /// Hands one token to the assembler and checks its verdict.
    fn offer(&mut self, index: usize, position: u32) -> Result<(), TestCaseError> {
        let number = self.attempts[index].number;
        let expected = self.assembler.next_position();
        match self.assembler.accept(number, position) {
            TokenVerdict::Deliver => {
                prop_assert_eq!(index, self.attempts.len() - 1, "an abandoned attempt delivered");
                self.delivered.push(position);
            }
            TokenVerdict::Duplicate => prop_assert!(position < expected),
            TokenVerdict::Gap { expected: named } => {
                prop_assert!(position > expected);
                prop_assert_eq!(named, expected);
                self.restart();
            }
            TokenVerdict::OtherAttempt => prop_assert!(index < self.attempts.len() - 1),
        }
        Ok(())
    }

    fn apply(&mut self, step: &StreamStep) -> Result<(), TestCaseError> {
        match *step {
            StreamStep::Restart => self.restart(),
            StreamStep::Deliver { attempt, tokens } => {
                let index = attempt % self.attempts.len();
                for _ in 0..tokens {
                    let position = self.attempts[index].next;
                    if position < ANSWER {
                        self.attempts[index].next += 1;
                        self.offer(index, position)?;
                    }
                }
            }
            StreamStep::Repeat { attempt, back } => {
                let index = attempt % self.attempts.len();
                let next = self.attempts[index].next;
                for position in next.saturating_sub(back)..next {
                    self.offer(index, position)?;
                }
            }
            StreamStep::Lose { attempt, tokens } => {
                let index = attempt % self.attempts.len();
                let next = &mut self.attempts[index].next;
                *next = (*next + tokens).min(ANSWER);
            }
        }
        Ok(())
    }
}

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn each_token_comes_once_and_in_order() {
    let steps = prop::collection::vec(step(), 0..80);
    runner()
        .run(&steps, |steps| {
            let mut model = AnswerModel::default();
            model.restart();
            for step in &steps {
                model.apply(step)?;
                let expected: Vec<u32> = (0..model.delivered.len() as u32).collect();
                prop_assert_eq!(&model.delivered, &expected);
            }
            Ok(())
        })
        .expect("the property holds");
}

#[test]
fn an_answer_becomes_whole_once_an_attempt_runs_through() {
    let steps = prop::collection::vec(step(), 0..80);
    runner()
        .run(&steps, |steps| {
            let mut model = AnswerModel::default();
            model.restart();
            for step in &steps {
                model.apply(step)?;
            }
            model.restart();
            let attempt = model.attempts.len() - 1;
            model.apply(&StreamStep::Deliver { attempt, tokens: ANSWER })?;
            prop_assert_eq!(model.delivered, (0..ANSWER).collect::<Vec<_>>());
            Ok(())
        })
        .expect("the property holds");
}
