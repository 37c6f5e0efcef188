//! Positions of a streamed answer.
//!
//! Each token carries its position in the whole answer. The assembler passes
//! each position on once and in order, whichever attempt it comes from, so
//! that a resumed stream has neither gaps nor repeats.

/// Says what to do with a token that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// The token is the next one.
    Deliver,
    /// The token was delivered before.
    Duplicate,
    /// Tokens before this one are missing: the attempt can't be used further.
    Gap { expected: u32 },
    /// The token belongs to another attempt than the running one.
    OtherAttempt,
}

/// Numbers the attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

/// Follows the positions of one answer over all its attempts.
#[derive(Clone, Debug, Default)]
pub struct StreamAssembler {
    attempt: AttemptNumber,
    next: u32,
}

impl StreamAssembler {
    /// Starts a new attempt; tokens of earlier ones are foreign from now on.
    pub fn start_attempt(&mut self) -> AttemptNumber {
        self.attempt.0 += 1;
        self.attempt
    }

    /// Returns the position that the next token must have.
    pub fn next_position(&self) -> u32 {
        self.next
    }

    /// Judges a token and moves on if it is the next one.
    pub fn accept(&mut self, attempt: AttemptNumber, position: u32) -> TokenVerdict {
        if attempt != self.attempt {
            return TokenVerdict::OtherAttempt;
        }
        if position < self.next {
            return TokenVerdict::Duplicate;
        }
        if position > self.next {
            return TokenVerdict::Gap { expected: self.next };
        }
        self.next += 1;
        TokenVerdict::Deliver
    }
}
