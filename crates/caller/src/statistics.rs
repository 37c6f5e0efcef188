//! Counters and latency histograms over all requests of a replay.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::outcome::{CallerOutcome, CallerResult};

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts outcomes and records the latencies of a replay.
pub struct CallerStatistics {
    sent: u64,
    outcomes: BTreeMap<CallerOutcome, u64>,
    reasons: BTreeMap<String, u64>,
    in_time: u64,
    goodput_tokens: u64,
    duration: Duration,
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
    total_us: Histogram<u64>,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LatencySummary {
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
}

/// Result of a replay, written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct StatisticsSummary {
    pub sent: u64,
    pub whole: u64,
    pub refused: u64,
    pub unknown: u64,
    pub failed: u64,
    pub wrong: u64,
    pub unaccounted: u64,
    pub in_time: u64,
    /// Tokens per second of complete responses that arrived before their deadlines.
    pub goodput_tokens_per_second: f64,
    pub goodput_requests_per_second: f64,
    pub reasons: BTreeMap<String, u64>,
    pub first_token: LatencySummary,
    pub between_tokens: LatencySummary,
    pub total: LatencySummary,
}

impl CallerStatistics {
    /// Makes empty statistics for a number of requests that were sent.
    pub fn new(sent: u64) -> Self {
        let histogram = || {
            Histogram::new(SIGNIFICANT_DIGITS)
                .expect("the histogram accepts this number of significant digits")
        };
        Self {
            sent,
            outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            in_time: 0,
            goodput_tokens: 0,
            duration: Duration::ZERO,
            first_token_us: histogram(),
            between_tokens_us: histogram(),
            total_us: histogram(),
        }
    }

    /// Adds the result of one request.
    pub fn add(&mut self, result: &CallerResult) {
        *self.outcomes.entry(result.outcome).or_default() += 1;
        if !result.reason.is_empty() {
            *self.reasons.entry(result.reason.clone()).or_default() += 1;
        }
        if result.in_time {
            self.in_time += 1;
            self.goodput_tokens += u64::from(result.tokens);
        }
        if let Some(latency) = result.first_token {
            record(&mut self.first_token_us, latency);
        }
        for interval in &result.between_tokens {
            record(&mut self.between_tokens_us, *interval);
        }
        if result.outcome == CallerOutcome::Whole {
            record(&mut self.total_us, result.total);
        }
    }

    /// Sets the duration of the replay, from which the rates are computed.
    pub fn set_duration(&mut self, duration: Duration) {
        self.duration = duration;
    }

    /// Returns whether no response was wrong and every request has an outcome.
    pub fn is_consistent(&self) -> bool {
        let summary = self.summary();
        summary.wrong == 0 && summary.unaccounted == 0
    }

    /// Returns the counts, rates and percentiles.
    pub fn summary(&self) -> StatisticsSummary {
        let count = |outcome| self.outcomes.get(&outcome).copied().unwrap_or_default();
        let seconds = self.duration.as_secs_f64().max(f64::EPSILON);
        StatisticsSummary {
            sent: self.sent,
            whole: count(CallerOutcome::Whole),
            refused: count(CallerOutcome::Refused),
            unknown: count(CallerOutcome::Unknown),
            failed: count(CallerOutcome::Failed),
            wrong: count(CallerOutcome::Wrong),
            unaccounted: self.sent - self.outcomes.values().sum::<u64>(),
            in_time: self.in_time,
            goodput_tokens_per_second: self.goodput_tokens as f64 / seconds,
            goodput_requests_per_second: self.in_time as f64 / seconds,
            reasons: self.reasons.clone(),
            first_token: summarise(&self.first_token_us),
            between_tokens: summarise(&self.between_tokens_us),
            total: summarise(&self.total_us),
        }
    }

    /// Returns the summary as text of several lines.
    pub fn to_text(&self) -> String {
        let summary = self.summary();
        let mut text = String::new();
        let _ = writeln!(
            text,
            "sent {} = whole {} + refused {} + unknown {} + failed {} + wrong {} (unaccounted {})",
            summary.sent,
            summary.whole,
            summary.refused,
            summary.unknown,
            summary.failed,
            summary.wrong,
            summary.unaccounted
        );
        let _ = writeln!(
            text,
            "in time {}; goodput {:.1} tokens/s, {:.2} requests/s",
            summary.in_time, summary.goodput_tokens_per_second, summary.goodput_requests_per_second
        );
        let latencies = [
            ("first token", &summary.first_token),
            ("between tokens", &summary.between_tokens),
            ("full response", &summary.total),
        ];
        for (name, latency) in latencies {
            let _ = writeln!(
                text,
                "{name:<15} p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms",
                latency.p50_ms, latency.p95_ms, latency.p99_ms
            );
        }
        for (reason, count) in &summary.reasons {
            let _ = writeln!(text, "  {count} x {reason}");
        }
        text
    }
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    // The histogram resizes itself, so no value is too large to record.
    let _ = histogram.record(latency.as_micros() as u64);
}

fn summarise(histogram: &Histogram<u64>) -> LatencySummary {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencySummary { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
}
