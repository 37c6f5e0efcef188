//! Load updates from one daemon to another.
//!
//! A report that differs from the last full one only in fields that change with
//! every report is sent as a delta. The receiver returns the engines whose full
//! report it lacks, and gets those with the next update.

use std::collections::HashMap;

use gooseberry_core::time::Timestamp;
use gooseberry_wire::{engine::LoadReport, loads::LoadDelta};
use smol_str::SmolStr;

use crate::loads::polling::EnginePoll;

/// Update for one peer.
#[derive(Clone, Debug, Default)]
pub struct LoadUpdate {
    /// Full reports, each with the engine's name in the configuration.
    pub reports: Vec<(SmolStr, LoadReport)>,
    pub deltas: Vec<LoadDelta>,
    /// Engines that are read but have no newer report.
    pub unchanged: Vec<SmolStr>,
}

impl LoadUpdate {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.deltas.is_empty() && self.unchanged.is_empty()
    }
}

/// Reports that one peer was sent.
#[derive(Debug, Default)]
pub struct SentReports {
    engines: HashMap<SmolStr, SentReport>,
}

#[derive(Debug, Default)]
struct SentReport {
    base: Option<LoadReport>,
    sequence: u64,
    sent_at: Timestamp,
}

impl SentReports {
    /// Adds what a peer has to be sent about an engine, and records it as sent.
    pub fn add_update(
        &mut self,
        update: &mut LoadUpdate,
        engine: &SmolStr,
        poll: &EnginePoll,
        now: Timestamp,
    ) {
        let sent = self.engines.entry(engine.clone()).or_default();
        let is_due = now.since(sent.sent_at) >= poll.keepalive_interval();
        let is_sent = |report: &LoadReport| {
            let base = sent.base.as_ref();
            base.is_some_and(|base| base.incarnation == report.incarnation)
                && sent.sequence >= report.sequence
        };
        let Some(report) = poll.report.as_deref().filter(|report| !is_sent(report)) else {
            if is_due {
                sent.sent_at = now;
                update.unchanged.push(engine.clone());
            }
            return;
        };
        match sent.base.as_ref().filter(|base| differs_only_by_delta(base, report)) {
            Some(_) if !is_due => return,
            Some(base) => update.deltas.push(delta(engine, base, report)),
            None => {
                update.reports.push((engine.clone(), report.clone()));
                sent.base = Some(report.clone());
            }
        }
        sent.sequence = report.sequence;
        sent.sent_at = now;
    }

    /// Records that a peer lacks the full report of an engine.
    pub fn invalidate(&mut self, engine: &str) {
        self.engines.remove(engine);
    }
}

fn delta(engine: &SmolStr, base: &LoadReport, report: &LoadReport) -> LoadDelta {
    LoadDelta {
        engine: engine.to_string(),
        base: base.sequence,
        incarnation: report.incarnation,
        sequence: report.sequence,
        made_at_ms: report.made_at_ms,
        steps: report.steps,
    }
}

fn differs_only_by_delta(base: &LoadReport, report: &LoadReport) -> bool {
    let mut updated = base.clone();
    updated.sequence = report.sequence;
    updated.made_at_ms = report.made_at_ms;
    updated.steps = report.steps;
    updated == *report
}

/// Last full report from each daemon for each engine.
#[derive(Debug, Default)]
pub struct ReceivedReports {
    engines: HashMap<SmolStr, HashMap<SmolStr, LoadReport>>,
}

impl ReceivedReports {
    /// Stores a full report for the deltas that follow.
    pub fn insert(&mut self, engine: &SmolStr, reader: &SmolStr, report: LoadReport) {
        let readers = self.engines.entry(engine.clone()).or_default();
        readers.insert(reader.clone(), report);
    }

    /// Builds the report that a delta represents, if its base report is known.
    pub fn apply_delta(&self, reader: &str, delta: &LoadDelta) -> Option<LoadReport> {
        let base = self.engines.get(delta.engine.as_str())?.get(reader)?;
        if base.sequence != delta.base || base.incarnation != delta.incarnation {
            return None;
        }
        let mut report = base.clone();
        report.sequence = delta.sequence;
        report.made_at_ms = delta.made_at_ms;
        report.steps = delta.steps;
        Some(report)
    }

    /// Drops the engines for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&SmolStr) -> bool) {
        self.engines.retain(|engine, _| keep(engine));
    }
}
