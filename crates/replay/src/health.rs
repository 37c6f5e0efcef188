//! Signals that keep an engine out after failures: a plain error rate, and the
//! burn rate of an error budget over two windows.

use std::collections::VecDeque;

/// Names the signal that keeps engines out.
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
/// Window and least requests of the plain error rate.
const RATE_WINDOW_US: u64 = 60_000_000;
const RATE_THRESHOLD: f64 = 0.05;
/// Windows and limits of the burn rate.
const SHORT_WINDOW_US: u64 = 20_000_000;
const LONG_WINDOW_US: u64 = 120_000_000;
const SHORT_BURN: f64 = 6.0;
const LONG_BURN: f64 = 3.0;
/// Requests in a window below which it says nothing.
const LEAST_REQUESTS: usize = 10;

/// Follows how the requests of one engine ended.
#[derive(Clone, Debug, Default)]
pub struct EngineHealth {
    ends: VecDeque<(u64, bool)>,
}

impl EngineHealth {
    /// Notes the end of a request.
    pub fn record(&mut self, now_us: u64, failed: bool) {
        self.ends.push_back((now_us, failed));
        while self.ends.front().is_some_and(|(at, _)| at + LONG_WINDOW_US < now_us) {
            self.ends.pop_front();
        }
    }

    /// Tells whether a signal keeps the engine out.
    pub fn is_ejected(&self, now_us: u64, signal: HealthSignal) -> bool {
        match signal {
            HealthSignal::None => false,
            HealthSignal::ErrorRate => self.rate(now_us, RATE_WINDOW_US) > RATE_THRESHOLD,
            HealthSignal::BurnRate => {
                self.rate(now_us, SHORT_WINDOW_US) / ERROR_BUDGET > SHORT_BURN
                    && self.rate(now_us, LONG_WINDOW_US) / ERROR_BUDGET > LONG_BURN
            }
        }
    }

    fn rate(&self, now_us: u64, window_us: u64) -> f64 {
        let recent = self.ends.iter().rev().take_while(|(at, _)| at + window_us >= now_us);
        let (all, failed) =
            recent.fold((0, 0), |(all, bad), (_, failed)| (all + 1, bad + usize::from(*failed)));
        if all < LEAST_REQUESTS {
            return 0.0;
        }
        failed as f64 / all as f64
    }
}
