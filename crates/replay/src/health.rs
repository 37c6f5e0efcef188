//! Signals that eject a failing engine from routing: the error rate over one
//! window, and the burn rate of an error budget over two windows.

use std::collections::VecDeque;

/// Names the signal that ejects engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum HealthSignal {
    None,
    /// Error rate over one window against a threshold.
    ErrorRate,
    /// Burn rate of the error budget, high over both a short and a long window.
    BurnRate,
}

/// Share of requests that may fail.
const ERROR_BUDGET: f64 = 0.01;
/// Window and threshold of the error rate.
const RATE_WINDOW_US: u64 = 60_000_000;
const RATE_THRESHOLD: f64 = 0.05;
/// Windows and limits of the burn rate.
const SHORT_WINDOW_US: u64 = 20_000_000;
const LONG_WINDOW_US: u64 = 120_000_000;
const SHORT_BURN_LIMIT: f64 = 6.0;
const LONG_BURN_LIMIT: f64 = 3.0;
/// Fewest requests in a window from which a rate is computed; below, the rate is 0.
const MIN_REQUESTS: usize = 10;

/// Records the results of the requests of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineHealth {
    results: VecDeque<(u64, bool)>,
}

impl EngineHealth {
    /// Records the result of a request.
    pub fn record(&mut self, now_us: u64, failed: bool) {
        self.results.push_back((now_us, failed));
        while self.results.front().is_some_and(|(at, _)| at + LONG_WINDOW_US < now_us) {
            self.results.pop_front();
        }
    }

    /// Returns whether a signal ejects the engine.
    pub fn is_ejected(&self, now_us: u64, signal: HealthSignal) -> bool {
        match signal {
            HealthSignal::None => false,
            HealthSignal::ErrorRate => self.rate(now_us, RATE_WINDOW_US) > RATE_THRESHOLD,
            HealthSignal::BurnRate => {
                self.rate(now_us, SHORT_WINDOW_US) / ERROR_BUDGET > SHORT_BURN_LIMIT
                    && self.rate(now_us, LONG_WINDOW_US) / ERROR_BUDGET > LONG_BURN_LIMIT
            }
        }
    }

    fn rate(&self, now_us: u64, window_us: u64) -> f64 {
        let recent = self.results.iter().rev().take_while(|(at, _)| at + window_us >= now_us);
        let (all, failed) =
            recent.fold((0, 0), |(all, bad), (_, failed)| (all + 1, bad + usize::from(*failed)));
        if all < MIN_REQUESTS {
            return 0.0;
        }
        failed as f64 / all as f64
    }
}
