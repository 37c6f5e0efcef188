//! Counts of request outcomes. Each accepted request ends with exactly one outcome.

use std::{collections::BTreeMap, ops};

use smol_str::SmolStr;

/// States how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestOutcome {
    /// The caller received the complete response.
    Whole,
    /// The caller was informed that the request has not run.
    Refused,
    /// The caller was informed that the request may have run.
    Unknown,
    /// The caller received an explicit error or an incomplete response, or disconnected.
    Failed,
}

/// Identifies a row of the outcome counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OutcomeKey {
    pub service: SmolStr,
    pub account: SmolStr,
}

/// Counts the requests of one account at one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeRow {
    pub accepted: u64,
    pub whole: u64,
    pub refused: u64,
    pub unknown: u64,
    pub failed: u64,
}

impl OutcomeRow {
    /// Returns the number of requests that haven't ended.
    pub fn running(&self) -> u64 {
        self.accepted - self.whole - self.refused - self.unknown - self.failed
    }
}

impl ops::Add for OutcomeRow {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            accepted: self.accepted + other.accepted,
            whole: self.whole + other.whole,
            refused: self.refused + other.refused,
            unknown: self.unknown + other.unknown,
            failed: self.failed + other.failed,
        }
    }
}

/// Counts the outcomes of all requests of one daemon.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTable {
    rows: BTreeMap<OutcomeKey, OutcomeRow>,
}

impl OutcomeTable {
    /// Counts an accepted request, which may be refused later.
    pub fn accept(&mut self, key: OutcomeKey) {
        self.rows.entry(key).or_default().accepted += 1;
    }

    /// Counts the outcome of a request that was accepted before.
    pub fn end(&mut self, key: &OutcomeKey, outcome: RequestOutcome) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        match outcome {
            RequestOutcome::Whole => row.whole += 1,
            RequestOutcome::Refused => row.refused += 1,
            RequestOutcome::Unknown => row.unknown += 1,
            RequestOutcome::Failed => row.failed += 1,
        }
    }

    /// Returns all rows, ordered by service and account.
    pub fn iter(&self) -> impl Iterator<Item = (&OutcomeKey, &OutcomeRow)> {
        self.rows.iter()
    }
}
