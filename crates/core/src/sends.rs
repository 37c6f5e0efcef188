//! Requests that this daemon has sent to an engine since its last load report was made.
//!
//! A load report arrives with a delay and counts only the requests sent before it was made.
//! The sender adds those that it sent afterwards, until a later report counts them too.

use std::collections::VecDeque;

use crate::time::Timestamp;

/// Maximum number of sends kept for one engine; older ones are treated as reported.
const SEND_LIMIT: usize = 64;

/// Identifies one send to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendNumber(u64);

#[derive(Clone, Copy, Debug)]
struct SendEntry {
    number: SendNumber,
    sent_at: Timestamp,
    prompt_tokens: u32,
}

/// Holds the sends to one engine that no load report has counted.
#[derive(Clone, Debug, Default)]
pub struct UnreportedSends {
    entries: VecDeque<SendEntry>,
    next: u64,
    tokens: u64,
}

impl UnreportedSends {
    /// Records a send.
    pub fn push(&mut self, prompt_tokens: u32, now: Timestamp) -> SendNumber {
        if self.entries.len() == SEND_LIMIT {
            self.drop_oldest();
        }
        let number = SendNumber(self.next);
        self.next += 1;
        self.entries.push_back(SendEntry { number, sent_at: now, prompt_tokens });
        self.tokens += u64::from(prompt_tokens);
        number
    }

    /// Removes a send after its prompt has been prefilled or its request has ended.
    pub fn remove(&mut self, number: SendNumber) {
        let found = self.entries.iter().position(|entry| entry.number == number);
        if let Some(entry) = found.and_then(|index| self.entries.remove(index)) {
            self.tokens -= u64::from(entry.prompt_tokens);
        }
    }

    /// Removes the sends that a load report counts, which are those before it was made.
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

    /// Returns the number of sends that no report has counted.
    pub fn requests(&self) -> u32 {
        self.entries.len() as u32
    }

    /// Returns the number of prompt tokens of the sends that no report has counted.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
