//! The report of a replay.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::requests::{ReplayOutcome, ReplayRequest};

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Collects measurements while a replay runs.
#[derive(Debug)]
pub struct ReplayStatistics {
    pub first_token_us: Histogram<u64>,
    pub between_tokens_us: Histogram<u64>,
    pub role_changes: Vec<RoleRow>,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub cross_region_bytes: u64,
    pub ejected_after_ms: Option<u64>,
    pub false_ejections: u64,
}

impl Default for ReplayStatistics {
    fn default() -> Self {
        let histogram = || {
            Histogram::new(SIGNIFICANT_DIGITS).expect("the number of significant digits is valid")
        };
        Self {
            first_token_us: histogram(),
            between_tokens_us: histogram(),
            role_changes: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            cross_region_bytes: 0,
            ejected_after_ms: None,
            false_ejections: 0,
        }
    }
}

/// Length in seconds of the windows for which goodput is reported.
const WINDOW_S: u64 = 20;

/// Sums the output tokens of the requests that arrived in a window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WindowRow {
    pub offered: u64,
    pub useful: u64,
}

/// Describes one role change of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleRow {
    pub at_ms: u64,
    pub engine: String,
    pub from: String,
    pub to: String,
}

/// Holds percentiles of a duration, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LatencySummary {
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
}

/// Holds the figures of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayReport {
    pub policy: String,
    pub objective: String,
    pub seed: u64,
    pub sent: u64,
    /// Requests with a complete response before their deadline.
    pub whole: u64,
    pub refused: u64,
    pub failed: u64,
    pub unaccounted: u64,
    pub refusals: BTreeMap<String, u64>,
    pub failures: BTreeMap<String, u64>,
    /// Output tokens of these complete responses.
    pub useful_tokens: u64,
    pub goodput_tokens_per_second: f64,
    /// Output tokens per second that all requests together ask for.
    pub offered_tokens_per_second: f64,
    pub goodput_requests_per_second: f64,
    pub role_changes: u64,
    pub first_token: LatencySummary,
    pub between_tokens: LatencySummary,
    /// Share of prompt tokens that were cached.
    pub prefix_hit_rate: f64,
    pub cross_region_bytes: u64,
    /// Time from the start of a bad version to the first ejection of an engine that has it.
    pub ejected_after_ms: Option<u64>,
    /// Number of ejections of engines without a bad version.
    pub false_ejections: u64,
    pub role_orders: Vec<RoleRow>,
    pub windows: Vec<WindowRow>,
}

/// Identifies a run by its policy, objective and seed.
#[derive(Clone, Debug)]
pub struct RunLabel {
    pub policy: String,
    pub objective: String,
    pub seed: u64,
}

impl ReplayReport {
    /// Summarises a replay. Rates are relative to the time until the last arrival.
    pub fn new(label: RunLabel, requests: &[ReplayRequest], statistics: &ReplayStatistics) -> Self {
        let duration_us = requests.last().map_or(0, |request| request.at_us);
        let seconds = (duration_us as f64 / 1e6).max(1.0);
        let mut report = Self {
            policy: label.policy,
            objective: label.objective,
            seed: label.seed,
            sent: requests.len() as u64,
            whole: 0,
            refused: 0,
            failed: 0,
            unaccounted: 0,
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            useful_tokens: 0,
            goodput_tokens_per_second: 0.0,
            offered_tokens_per_second: 0.0,
            windows: Vec::new(),
            goodput_requests_per_second: 0.0,
            role_changes: statistics.role_changes.len() as u64,
            role_orders: statistics.role_changes.clone(),
            first_token: summarise(&statistics.first_token_us),
            between_tokens: summarise(&statistics.between_tokens_us),
            prefix_hit_rate: statistics.cached_tokens as f64
                / statistics.prompt_tokens.max(1) as f64,
            cross_region_bytes: statistics.cross_region_bytes,
            ejected_after_ms: statistics.ejected_after_ms,
            false_ejections: statistics.false_ejections,
        };
        for request in requests {
            report.add(request);
        }
        let offered: u64 = report.windows.iter().map(|row| row.offered).sum();
        report.offered_tokens_per_second = offered as f64 / seconds;
        report.goodput_tokens_per_second = report.useful_tokens as f64 / seconds;
        report.goodput_requests_per_second = report.whole as f64 / seconds;
        report
    }

    fn add(&mut self, request: &ReplayRequest) {
        let window = (request.at_us / 1_000_000 / WINDOW_S) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, WindowRow::default());
        }
        let tokens = u64::from(request.useful_tokens());
        self.windows[window].offered += tokens;
        if request.outcome == Some(ReplayOutcome::Completed) {
            self.windows[window].useful += tokens;
        }
        match request.outcome {
            Some(ReplayOutcome::Completed) => {
                self.whole += 1;
                self.useful_tokens += u64::from(request.useful_tokens());
            }
            Some(ReplayOutcome::Refused(kind)) => {
                self.refused += 1;
                *self.refusals.entry(kind.to_string()).or_default() += 1;
            }
            Some(ReplayOutcome::Failed(kind)) => {
                self.failed += 1;
                *self.failures.entry(kind.to_string()).or_default() += 1;
            }
            None => self.unaccounted += 1,
        }
    }

    /// Returns the report as text for people.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "policy {}, objective {}, seed {}\n\
             sent {} = whole {} + refused {} + failed {} (unaccounted {})\n\
             goodput {:.1} of {:.1} tokens/s, {:.2} requests/s; role changes {}\n",
            self.policy,
            self.objective,
            self.seed,
            self.sent,
            self.whole,
            self.refused,
            self.failed,
            self.unaccounted,
            self.goodput_tokens_per_second,
            self.offered_tokens_per_second,
            self.goodput_requests_per_second,
            self.role_changes,
        );
        for (name, latency) in
            [("first token", &self.first_token), ("between tokens", &self.between_tokens)]
        {
            text += &format!(
                "{name:<15} p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms\n",
                latency.p50_ms, latency.p95_ms, latency.p99_ms
            );
        }
        text += &format!(
            "prefix hit rate {:.3}, cross-region bytes {}\n",
            self.prefix_hit_rate, self.cross_region_bytes
        );
        for (reason, count) in self.refusals.iter().chain(&self.failures) {
            text += &format!("  {count} x {reason}\n");
        }
        for row in &self.role_orders {
            text += &format!("  {} ms: {} {} -> {}\n", row.at_ms, row.engine, row.from, row.to);
        }
        text
    }
}

fn summarise(histogram: &Histogram<u64>) -> LatencySummary {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencySummary { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
}
