//! Selects whether a daemon gets the changes of the key-value service from the service itself or
//! from a relay.
//!
//! In large fleets each watch of each daemon would be billed, so a relay forwards the changes. A
//! relay may lose its connection to the service while this daemon still has one. Then the daemon
//! watches the service itself at once. While the service fails too, the delays between calls to it
//! grow.

use std::time::Duration;

use crate::{serving::backoff::RetryBackoff, time::Timestamp};

/// Time for which the service is watched after a relay failed.
const DIRECT_WATCH_DURATION: Duration = Duration::from_secs(3);
/// First and longest delay after a failed call of a daemon without a relay. A daemon whose
/// connection has recovered has 3 s, the least `stable-ms` of the deployments, to get a new
/// configuration. A call on an unresponsive connection takes 2.2 s of it.
const RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// First and longest delay after a failed call before a daemon that has a relay may call the
/// service again. In deployments that need relays, `stable-ms` is 4 s.
const PROBE_DELAY: Duration = Duration::from_millis(1000);
const MAX_PROBE_DELAY: Duration = Duration::from_millis(1500);
/// Longest time for which a relay holds a request until there are changes (long poll).
pub const RELAY_WAIT: Duration = Duration::from_millis(1200);
/// Longest time for which the service itself holds a watch while the configuration has accounts, and
/// for which a relay holds a request then. The start of the call counts, so the configuration of a
/// daemon with a relay is up to 2 x 700 + 2 x 500 + 300 (batching) ms and some round trips old:
/// less than `accounts::CONFIRMED_AGE_LIMIT`.
pub const ACCOUNT_WATCH_WAIT: Duration = Duration::from_millis(700);
const ACCOUNT_RELAY_WAIT: Duration = Duration::from_millis(500);
/// The same for a daemon whose own last call to the service failed: it has to know soon whether the relay
/// responds, and what has changed.
const FAILING_RELAY_WAIT: Duration = Duration::from_millis(250);
/// Time beyond the wait after which a request to a relay times out.
const RELAY_SLACK: Duration = Duration::from_millis(500);
/// Delay before a relay that failed is called again.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Source of the changes of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WatchSource {
    /// The key-value service itself.
    Store,
    /// The relay of this daemon's failure domain.
    Relay,
}

/// Why a relay sent no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// It is unreachable or has no connection to the service.
    Unreachable,
    /// It doesn't have the changes that this daemon needs: they are too old, or of another era.
    Compacted,
}

/// How long a request to a relay may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCall {
    /// Time for which the relay is to hold the request until there are changes.
    pub wait: Duration,
    pub timeout: Duration,
}

/// Decides which source a daemon calls next, and when.
#[derive(Clone, Copy, Debug)]
pub struct WatchPlan {
    /// Time until which the service is watched even if there is a relay.
    direct_until: Timestamp,
    /// Time from which the service may be called again if the relay is unreachable.
    probe_at: Timestamp,
    backoff: RetryBackoff,
    probe_backoff: RetryBackoff,
}

impl WatchPlan {
    /// Creates a plan. `daemon` is a hash that differs between daemons.
    pub fn new(daemon: u64, now: Timestamp) -> Self {
        Self {
            direct_until: now,
            probe_at: now,
            backoff: RetryBackoff::new(RETRY_DELAY, MAX_RETRY_DELAY, daemon),
            probe_backoff: RetryBackoff::new(PROBE_DELAY, MAX_PROBE_DELAY, daemon),
        }
    }

    /// Returns the source to call now.
    pub fn source(&self, has_relay: bool, now: Timestamp) -> WatchSource {
        if has_relay && now >= self.direct_until {
            WatchSource::Relay
        } else {
            WatchSource::Store
        }
    }

    /// Returns how long the next request to the relay may take. `is_failing` states whether the last
    /// call to the service itself failed; then a relay that doesn't respond mustn't delay the next one.
    pub fn relay_call(&self, is_failing: bool, now: Timestamp) -> RelayCall {
        if !is_failing {
            return RelayCall { wait: RELAY_WAIT, timeout: RELAY_WAIT + RELAY_SLACK };
        }
        // Relays of builds that don't know `wait` hold each request for the longest time.
        let until_probe = self.probe_at.since(now).min(RELAY_WAIT + RELAY_SLACK);
        let timeout = until_probe.max(FAILING_RELAY_WAIT + RELAY_SLACK);
        RelayCall { wait: FAILING_RELAY_WAIT, timeout }
    }

    /// Returns the same for a configuration with accounts, whose age is limited.
    pub fn account_relay_call(&self, is_failing: bool, now: Timestamp) -> RelayCall {
        let RelayCall { wait, timeout } = self.relay_call(is_failing, now);
        RelayCall {
            wait: wait.min(ACCOUNT_RELAY_WAIT),
            timeout: timeout.min(ACCOUNT_RELAY_WAIT + RELAY_SLACK),
        }
    }

    /// Records that a relay failed. Returns the delay before it is called again, or none if the
    /// service is to be called.
    pub fn relay_failed(&mut self, failure: RelayFailure, now: Timestamp) -> Option<Duration> {
        if failure == RelayFailure::Unreachable && now < self.probe_at {
            return Some(RELAY_RETRY_DELAY);
        }
        self.direct_until = now + DIRECT_WATCH_DURATION;
        None
    }

    /// Records that the service failed. Returns the delay before the next call.
    pub fn store_failed(&mut self, has_relay: bool, now: Timestamp) -> Duration {
        if has_relay {
            self.direct_until = now;
            self.probe_at = now + self.probe_backoff.next_delay();
            return Duration::ZERO;
        }
        self.backoff.next_delay()
    }

    /// Records a response of the service.
    pub fn store_responded(&mut self) {
        self.backoff.reset();
        self.probe_backoff.reset();
    }
}
