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
    pub pulses: Vec<LoadDelta>,
    /// Engines that are read but have no newer report.
    pub unchanged: Vec<SmolStr>,
}

impl LoadUpdate {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.pulses.is_empty() && self.unchanged.is_empty()
    }
}

/// Reports that one peer was sent.
#[derive(Debug, Default)]
pub struct SentReports {
    engines: HashMap<SmolStr, ToldReport>,
}

#[derive(Debug, Default)]
struct ToldReport {
    whole: Option<LoadReport>,
    sequence: u64,
    at: Timestamp,
}

impl SentReports {
    /// Adds what a peer has to be sent about an engine, and records it as sent.
    pub fn add_update(
        &mut self,
        news: &mut LoadUpdate,
        engine: &SmolStr,
        reading: &EnginePoll,
        now: Timestamp,
    ) {
        let told = self.engines.entry(engine.clone()).or_default();
        let is_due = now.since(told.at) >= reading.keepalive_interval();
        let is_told = |report: &LoadReport| {
            let whole = told.whole.as_ref();
            whole.is_some_and(|whole| whole.incarnation == report.incarnation)
                && told.sequence >= report.sequence
        };
        let Some(report) = reading.report.as_deref().filter(|report| !is_told(report)) else {
            if is_due {
                told.at = now;
                news.unchanged.push(engine.clone());
            }
            return;
        };
        match told.whole.as_ref().filter(|whole| differs_by_pulse(whole, report)) {
            Some(_) if !is_due => return,
            Some(whole) => news.pulses.push(pulse(engine, whole, report)),
            None => {
                news.reports.push((engine.clone(), report.clone()));
                told.whole = Some(report.clone());
            }
        }
        told.sequence = report.sequence;
        told.at = now;
    }

    /// Records that a peer lacks the full report of an engine.
    pub fn invalidate(&mut self, engine: &str) {
        self.engines.remove(engine);
    }
}

fn pulse(engine: &SmolStr, whole: &LoadReport, report: &LoadReport) -> LoadDelta {
    LoadDelta {
        engine: engine.to_string(),
        base: whole.sequence,
        incarnation: report.incarnation,
        sequence: report.sequence,
        made_at_ms: report.made_at_ms,
        steps: report.steps,
    }
}

fn differs_by_pulse(whole: &LoadReport, report: &LoadReport) -> bool {
    let mut moved = whole.clone();
    moved.sequence = report.sequence;
    moved.made_at_ms = report.made_at_ms;
    moved.steps = report.steps;
    moved == *report
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
    pub fn apply_delta(&self, reader: &str, pulse: &LoadDelta) -> Option<LoadReport> {
        let whole = self.engines.get(pulse.engine.as_str())?.get(reader)?;
        if whole.sequence != pulse.base || whole.incarnation != pulse.incarnation {
            return None;
        }
        let mut report = whole.clone();
        report.sequence = pulse.sequence;
        report.made_at_ms = pulse.made_at_ms;
        report.steps = pulse.steps;
        Some(report)
    }

    /// Drops the engines for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&SmolStr) -> bool) {
        self.engines.retain(|engine, _| keep(engine));
    }
}
