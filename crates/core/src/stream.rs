//! Positions of the tokens of a streamed response.
//!
//! Each token has a position in the complete response. The assembler delivers each position
//! once and in order, whichever attempt it comes from, so a resumed stream has neither gaps
//! nor duplicates.

/// States how to handle a received token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// The token is the next one.
    Deliver,
    /// The token was delivered before.
    Duplicate,
    /// Tokens before this one are missing, so the attempt can't be used further.
    Gap { expected: u32 },
    /// The token belongs to another attempt than the current one.
    OtherAttempt,
}

/// Identifies an attempt of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

/// Tracks the positions of one response across all of its attempts.
#[derive(Clone, Debug, Default)]
pub struct StreamAssembler {
    attempt: AttemptNumber,
    next: u32,
}

impl StreamAssembler {
    /// Starts a new attempt; tokens of earlier attempts are rejected from now on.
    pub fn start_attempt(&mut self) -> AttemptNumber {
        self.attempt.0 += 1;
        self.attempt
    }

    /// Returns the position that the next token must have.
    pub fn next_position(&self) -> u32 {
        self.next
    }

    /// Returns how to handle a token, and advances if it is the next one.
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
