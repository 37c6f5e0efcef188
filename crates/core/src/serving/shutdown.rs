//! Whether a daemon that is shutting down still accepts a request.
//!
//! Requests arrive until the exit: at first because the load balancer doesn't know of the stop yet, and
//! later because it uses daemons that aren't ready if too few of a failure domain are. What still runs at
//! the exit is aborted, while the caller of a request that is refused can use another daemon. How long a
//! request takes isn't known, but it ends with its deadline. So a request is accepted if its deadline is
//! before the exit. Before the load balancer knows, refusing all others would turn callers away from
//! daemons that are all being stopped at once, so a request is also accepted if all recent ones of its
//! route would have ended in time.

use std::time::Duration;

use crate::time::Timestamp;

/// Time after the start of the shutdown in which the load balancer still sends new connections: two of
/// its health checks, which it makes every second.
pub const NOTICE_DURATION: Duration = Duration::from_millis(2600);
/// Time after the deadline of a request in which its response may still be on its way to the caller.
const RESPONSE_SLACK: Duration = Duration::from_millis(150);
/// Time for which the duration of a request counts as recent, at least. It counts for up to twice as long.
const RECENT_DURATION: Duration = Duration::from_secs(60);

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownProgress {
    pub since_start: Duration,
    pub until_exit: Duration,
}

/// Longest duration of the recent requests of a route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentDurations {
    /// Longest duration since `begun_at`.
    current: Option<Duration>,
    /// Longest duration of the time before, which was as long.
    previous: Option<Duration>,
    begun_at: Timestamp,
}

impl RecentDurations {
    /// Records the duration of a request that has ended.
    pub fn record(&mut self, duration: Duration, now: Timestamp) {
        self.expire(now);
        self.current = self.current.max(Some(duration));
    }

    /// Returns the longest duration, or none if there was no recent request.
    pub fn longest(&self, now: Timestamp) -> Option<Duration> {
        let mut recent = *self;
        recent.expire(now);
        recent.current.max(recent.previous)
    }

    fn expire(&mut self, now: Timestamp) {
        let age = now.since(self.begun_at);
        if age < RECENT_DURATION {
            return;
        }
        let was_recent = age < 2 * RECENT_DURATION;
        self.previous = self.current.take().filter(|_| was_recent);
        self.begun_at = now;
    }
}

/// Returns whether a request is accepted. `time_left` is the time until its deadline, or the timeout of
/// its route if that is earlier, and `longest` that of the recent requests of its route.
pub fn accepts(time_left: Duration, longest: Option<Duration>, progress: ShutdownProgress) -> bool {
    if time_left + RESPONSE_SLACK <= progress.until_exit {
        return true;
    }
    progress.since_start < NOTICE_DURATION
        && longest.is_some_and(|longest| longest + RESPONSE_SLACK <= progress.until_exit)
}
