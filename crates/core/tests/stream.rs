//! Token positions of streamed responses under arbitrary interleavings of attempts.

use gooseberry_core::stream::{AttemptNumber, StreamAssembler, TokenVerdict};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Number of tokens of the response that engines generate.
const RESPONSE_TOKENS: u32 = 24;
/// Number of generated cases for each property.
const CASES: u32 = 2000;

/// One event of the streams of one request.
#[derive(Clone, Debug)]
enum StreamStep {
    /// A new attempt starts at the position that the assembler needs next.
    Restart,
    /// An attempt, running or abandoned, delivers its next tokens.
    Deliver { attempt: usize, tokens: u32 },
    /// An attempt repeats tokens that it sent before.
    Repeat { attempt: usize, repeated: u32 },
    /// Tokens of an attempt are lost in transit.
    LoseTokens { attempt: usize, tokens: u32 },
}

fn step() -> impl Strategy<Value = StreamStep> {
    prop_oneof![
        1 => Just(StreamStep::Restart),
        6 => (0..8_usize, 1..5_u32)
            .prop_map(|(attempt, tokens)| StreamStep::Deliver { attempt, tokens }),
        2 => (0..8_usize, 1..6_u32)
            .prop_map(|(attempt, repeated)| StreamStep::Repeat { attempt, repeated }),
        1 => (0..8_usize, 1..4_u32)
            .prop_map(|(attempt, tokens)| StreamStep::LoseTokens { attempt, tokens }),
    ]
}

/// One attempt, with the position of the engine's next token.
struct EngineStream {
    number: AttemptNumber,
    next: u32,
}

/// Runs the streams of one request and records the tokens that the caller received.
#[derive(Default)]
struct ResponseModel {
    assembler: StreamAssembler,
    attempts: Vec<EngineStream>,
    delivered: Vec<u32>,
}

impl ResponseModel {
    fn restart(&mut self) {
        let next = self.assembler.next_position();
        let number = self.assembler.start_attempt();
        self.attempts.push(EngineStream { number, next });
    }

    /// Offers one token to the assembler and checks its verdict.
    fn offer(&mut self, index: usize, position: u32) -> Result<(), TestCaseError> {
        let number = self.attempts[index].number;
        let expected = self.assembler.next_position();
        match self.assembler.accept(number, position) {
            TokenVerdict::Deliver => {
                prop_assert_eq!(
                    index,
                    self.attempts.len() - 1,
                    "an abandoned attempt delivered a token"
                );
                self.delivered.push(position);
            }
            TokenVerdict::Duplicate => prop_assert!(position < expected),
            TokenVerdict::Gap { expected: reported } => {
                prop_assert!(position > expected);
                prop_assert_eq!(reported, expected);
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
                    if position < RESPONSE_TOKENS {
                        self.attempts[index].next += 1;
                        self.offer(index, position)?;
                    }
                }
            }
            StreamStep::Repeat { attempt, repeated } => {
                let index = attempt % self.attempts.len();
                let next = self.attempts[index].next;
                for position in next.saturating_sub(repeated)..next {
                    self.offer(index, position)?;
                }
            }
            StreamStep::LoseTokens { attempt, tokens } => {
                let index = attempt % self.attempts.len();
                let next = &mut self.attempts[index].next;
                *next = (*next + tokens).min(RESPONSE_TOKENS);
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
fn each_token_is_delivered_once_and_in_order() {
    let steps = prop::collection::vec(step(), 0..80);
    runner()
        .run(&steps, |steps| {
            let mut model = ResponseModel::default();
            model.restart();
            for step in &steps {
                model.apply(step)?;
                let expected: Vec<u32> = (0..model.delivered.len() as u32).collect();
                prop_assert_eq!(&model.delivered, &expected);
            }
            Ok(())
        })
        .expect("each token is delivered once and in order");
}

#[test]
fn a_response_is_complete_once_an_attempt_runs_to_its_end() {
    let steps = prop::collection::vec(step(), 0..80);
    runner()
        .run(&steps, |steps| {
            let mut model = ResponseModel::default();
            model.restart();
            for step in &steps {
                model.apply(step)?;
            }
            model.restart();
            let attempt = model.attempts.len() - 1;
            model.apply(&StreamStep::Deliver { attempt, tokens: RESPONSE_TOKENS })?;
            prop_assert_eq!(model.delivered, (0..RESPONSE_TOKENS).collect::<Vec<_>>());
            Ok(())
        })
        .expect("the last attempt completes the response");
}
