//! Where a daemon gets the changes of the key-value service from.
//!
//! Answers large fleets, in which each watch of each daemon would be paid for: a
//! relay passes changes on. A relay may be cut off from the service while this
//! daemon isn't, so the service itself is asked then, at once and, while it fails
//! too, ever more seldom.

use std::time::Duration;

use crate::{serving::backoff::RetryBackoff, time::Timestamp};

/// Time for which the service is asked after a relay gave no news.
const DIRECT_SPAN: Duration = Duration::from_secs(3);
/// Pause after the first failed call; later ones grow up to the longest. A daemon
/// whose link has healed has 3 s, the least `stable-ms` of the deployments, to learn
/// of a new configuration, of which a call on a silent connection takes 2.2 s.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The same for a daemon that has a relay; deployments that need relays state 4 s.
const PROBE_PAUSE: Duration = Duration::from_millis(1000);
const LONGEST_PROBE_PAUSE: Duration = Duration::from_millis(1500);
/// Pause before a relay that gave no news is asked again.
const RELAY_PAUSE: Duration = Duration::from_millis(250);

/// Whom to ask for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchSource {
    Service,
    Relay,
}

/// Why a relay gave no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// It can't be reached or has no contact with the service.
    Unreachable,
    /// It no longer has what this daemon lacks.
    Compacted,
}

/// Decides whom a daemon asks next, and when.
#[derive(Clone, Copy, Debug)]
pub struct WatchPlan {
    /// Until when the service is asked although there is a relay.
    direct_until: Timestamp,
    /// When the service may be asked again although there is a relay.
    probe_at: Timestamp,
    pace: RetryBackoff,
    probe_pace: RetryBackoff,
}

impl WatchPlan {
    /// Makes a plan. `daemon` is a hash that differs between daemons.
    pub fn new(daemon: u64, now: Timestamp) -> Self {
        Self {
            direct_until: now,
            probe_at: now,
            pace: RetryBackoff::new(RETRY_PAUSE, LONGEST_PAUSE, daemon),
            probe_pace: RetryBackoff::new(PROBE_PAUSE, LONGEST_PROBE_PAUSE, daemon),
        }
    }

    /// Returns whom to ask now.
    pub fn source(&self, has_relay: bool, now: Timestamp) -> WatchSource {
        if has_relay && now >= self.direct_until {
            WatchSource::Relay
        } else {
            WatchSource::Service
        }
    }

    /// Notes that a relay gave no news; returns the pause before it is asked again,
    /// or none if the service is to be asked.
    pub fn relay_failed(&mut self, lack: RelayFailure, now: Timestamp) -> Option<Duration> {
        if lack == RelayFailure::Unreachable && now < self.probe_at {
            return Some(RELAY_PAUSE);
        }
        self.direct_until = now + DIRECT_SPAN;
        None
    }

    /// Notes that the service failed; returns the pause before the next question.
    pub fn service_failed(&mut self, has_relay: bool, now: Timestamp) -> Duration {
        if has_relay {
            self.direct_until = now;
            self.probe_at = now + self.probe_pace.next_delay();
            return Duration::ZERO;
        }
        self.pace.next_delay()
    }

    /// Notes an answer of the service.
    pub fn service_answered(&mut self) {
        self.pace.reset();
        self.probe_pace.reset();
    }
}
