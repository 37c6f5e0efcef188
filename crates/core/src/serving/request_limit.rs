//! The rate of requests that a server says it takes from all daemons together.
//!
//! Every daemon keeps a token bucket for each limited server and takes a token for its own sends as
//! well as for those that other daemons report, so any daemon may use what the others leave. A
//! daemon that doesn't hear all others refills its bucket more slowly, by the share of the daemons
//! that it hears: parts of the system that are cut off from each other then keep the limit together.

use std::time::Duration;

use crate::time::Timestamp;

/// Rate at which a server with a lower limit gets requests. Without any, no response could show
/// that the limit has ended.
const MIN_PER_SECOND: f64 = 0.25;
/// Time whose tokens a bucket holds at most; it always holds one.
const BURST_SECONDS: f64 = 0.5;
/// Time whose tokens a bucket may be short of. Daemons that send at the same moment take more tokens
/// than there are, and the server then gets nothing until the tokens are made up for.
const DEBT_SECONDS: f64 = 8.0;
/// Time after which a limit from a response of this daemon isn't repeated to the others.
const REPEAT_DURATION: Duration = Duration::from_secs(5);
/// Longest time by which returns are spread.
const MAX_SPREAD: Duration = Duration::from_secs(2);

/// The limit that one server has stated, with its token bucket.
#[derive(Clone, Debug)]
pub struct RequestLimit {
    /// Requests per second, or none if the server takes any rate.
    per_second: Option<f64>,
    /// Send time of the newest request whose response stated the limit.
    stated_at: Timestamp,
    /// Send time of the request whose response ended the last limit.
    ended_at: Timestamp,
    /// Time of the last response to this daemon that stated the limit.
    heard_at: Option<Timestamp>,
    /// Share of the daemons that this one hears, itself included.
    share: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Default for RequestLimit {
    fn default() -> Self {
        Self {
            per_second: None,
            stated_at: Timestamp::default(),
            ended_at: Timestamp::default(),
            heard_at: None,
            share: 1.0,
            tokens: 0.0,
            refilled_at: Timestamp::default(),
        }
    }
}

impl RequestLimit {
    /// Returns the limit in requests per second, or none if the server takes any rate.
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Records what the response to a request sent at `sent_at` states.
    ///
    /// Responses may overtake each other, so a response without a limit ends it only if its request
    /// was sent after the newest one whose response stated the limit. Returns whether the limit
    /// changed.
    pub fn record_statement(
        &mut self,
        per_second: Option<f64>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        match (self.per_second, per_second) {
            (None, None) => false,
            (Some(_), None) => {
                let has_ended = sent_at > self.stated_at;
                if has_ended {
                    self.per_second = None;
                    self.ended_at = sent_at;
                    self.heard_at = None;
                }
                has_ended
            }
            (_, Some(_)) if sent_at < self.ended_at.max(self.stated_at) => false,
            (old, Some(limit)) => {
                self.refill(now);
                if old.is_none() {
                    self.tokens = 0.0;
                }
                self.per_second = Some(limit);
                self.stated_at = sent_at;
                self.tokens = self.tokens.min(self.capacity());
                old != per_second
            }
        }
    }

    /// Records that this daemon got a response that stated the limit.
    pub fn record_heard(&mut self, now: Timestamp) {
        self.heard_at = Some(now);
    }

    /// Returns the limit with the send time of its request, for daemons that may not know it, if a
    /// response to this daemon stated it recently.
    pub fn statement_to_repeat(&self, now: Timestamp) -> Option<(f64, Timestamp)> {
        let is_recent = self.heard_at.is_some_and(|at| now.since(at) < REPEAT_DURATION);
        self.per_second.filter(|_| is_recent).map(|limit| (limit, self.stated_at))
    }

    /// Sets the share of the daemons that this one hears, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        self.refill(now);
        self.share = share;
    }

    /// Returns whether a request may be sent now.
    pub fn has_token(&self, now: Timestamp) -> bool {
        self.per_second.is_none() || self.tokens_at(now) >= 1.0
    }

    /// Returns the time until a request may be sent.
    pub fn time_to_token(&self, now: Timestamp) -> Duration {
        if self.has_token(now) {
            return Duration::ZERO;
        }
        let seconds = (1.0 - self.tokens_at(now)) / self.rate();
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Records a request that this or another daemon sends. Takes the token also if there is none:
    /// daemons may send at the same time, and some requests can't wait.
    pub fn take_token(&mut self, now: Timestamp) {
        if self.per_second.is_some() {
            self.refill(now);
            self.tokens = (self.tokens - 1.0).max(-self.rate() * DEBT_SECONDS);
        }
    }

    /// Returns the rate at which all daemons together send to the server, per second, or infinity if
    /// it takes any rate.
    pub fn sent_per_second(&self) -> f64 {
        self.per_second.map_or(f64::INFINITY, |limit| limit.max(MIN_PER_SECOND))
    }

    /// Returns the rate at which this daemon's bucket is refilled, per second.
    fn rate(&self) -> f64 {
        self.sent_per_second() * self.share
    }

    fn capacity(&self) -> f64 {
        (self.per_second.unwrap_or_default() * BURST_SECONDS).max(1.0)
    }

    fn tokens_at(&self, now: Timestamp) -> f64 {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.rate();
        (self.tokens + refilled).min(self.capacity())
    }

    fn refill(&mut self, now: Timestamp) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }
}

/// Spreads the returns of callers that were refused because the limits or the quiet of a service's
/// servers held their requests back.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnQueue {
    /// Time at which the caller that was refused last is to return.
    last_return_at: Timestamp,
}

impl ReturnQueue {
    /// Returns the retry-after of a refused request: the time until a server may get one, or one
    /// `interval` between requests after the return of the caller that was refused before.
    pub fn next(
        &mut self,
        time_to_request: Duration,
        interval: Duration,
        now: Timestamp,
    ) -> Duration {
        let latest = now + MAX_SPREAD;
        let after_last = (self.last_return_at + interval).min(latest);
        let return_at = (now + time_to_request).max(after_last);
        self.last_return_at = return_at;
        return_at.since(now)
    }
}
