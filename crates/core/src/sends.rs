//! What this daemon has sent to an engine since its last load report was made.
//!
//! A report lags, so it counts only what was sent before it was made; what was
//! sent after is added by the sender until a later report counts it too.

use std::collections::VecDeque;

use crate::time::Timestamp;

/// Sends that are remembered for one engine; older ones count as reported.
const KEPT_SENDS: usize = 64;

/// Names one send to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendNumber(u64);

#[derive(Clone, Copy, Debug)]
struct SendEntry {
    number: SendNumber,
    sent_at: Timestamp,
    prompt_tokens: u32,
}

/// Remembers the latest sends to one engine.
#[derive(Clone, Debug, Default)]
pub struct UnreportedSends {
    entries: VecDeque<SendEntry>,
    next: u64,
    tokens: u64,
}

impl UnreportedSends {
    /// Notes a send.
    pub fn push(&mut self, prompt_tokens: u32, now: Timestamp) -> SendNumber {
        if self.entries.len() == KEPT_SENDS {
            self.drop_oldest();
        }
        let number = SendNumber(self.next);
        self.next += 1;
        self.entries.push_back(SendEntry { number, sent_at: now, prompt_tokens });
        self.tokens += u64::from(prompt_tokens);
        number
    }

    /// Notes that the prompt of a send was computed, or that the send ended.
    pub fn remove(&mut self, number: SendNumber) {
        let found = self.entries.iter().position(|entry| entry.number == number);
        if let Some(entry) = found.and_then(|index| self.entries.remove(index)) {
            self.tokens -= u64::from(entry.prompt_tokens);
        }
    }

    /// Notes a load report, which counts what was sent before it was made.
    pub fn observe_report(&mut self, made_at: Timestamp) {
        while self.entries.front().is_some_and(|entry| entry.sent_at < made_at) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.tokens -= u64::from(entry.prompt_tokens);
        }
    }

    /// Returns the number of sends that no report counts yet.
    pub fn requests(&self) -> u32 {
        self.entries.len() as u32
    }

    /// Returns their prompt tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
